//! How the nodes that run batch jobs of one service share its servers.
//!
//! Answers the load of several trainers whose steps need very different amounts of generation: with
//! equal shares the largest one falls behind by a little with each step, while slots of the others
//! stand idle. The nodes tell each other several times a second what their jobs lack and what they
//! have in flight. From that each computes its share of the slots, and which servers have a free one.
//! No node has to answer: a share is at least the equal one of as many jobs as are known, and the
//! last report of a silent node counts until it has left or [`REPORT_RETENTION`] has passed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    name::Name,
    node::{Id, Incarnation},
};

use crate::admission::share::{self, Need};

/// How long the report of a node counts that sends no further one.
pub const REPORT_RETENTION: Duration = Duration::from_secs(5);

/// How long the requests in flight of a report count.
const LOAD_RETENTION: Duration = Duration::from_secs(1);

/// How long a report that names demands or loads is complete. Its node sends the next one after a
/// tenth of that, and an empty one at its end.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// The maximum number of requests in flight at one server that are believed of one node, in multiples
/// of the server's slots. Servers queue a few more requests than they have slots.
const MAX_BELIEVED_LOAD: usize = 2;

/// The time constant of [`Backlog`]: about two steps of a trainer, so that the times at which steps
/// begin do not matter.
const BACKLOG_TIME_CONSTANT: Duration = Duration::from_secs(8);

/// The maximum number of items that are believed of one job.
const MAX_BELIEVED_ITEMS: usize = 100_000;

/// The maximum number of jobs, and of servers, that are believed of one report.
const MAX_REPORT_LENGTH: usize = 4096;

/// What one job lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The service whose servers generate the job's items.
    pub service: Name,
    /// The model that generates them.
    pub model: Name,
    /// The number of items that generate or wait for a server.
    pub items: usize,
}

/// The requests of a node's batch jobs in flight at one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: Name,
    /// The number of requests.
    pub requests: usize,
}

/// What a node tells the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What each of its unfinished jobs lacks.
    pub demands: Vec<Demand>,
    /// Its requests in flight; servers without one may be left out.
    pub loads: Vec<Load>,
}

impl Report {
    /// Returns whether the node neither runs jobs nor has requests in flight.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty() && self.loads.is_empty()
    }
}

/// The latest reports of the other nodes.
#[derive(Debug, Default)]
pub struct Board {
    reports: BTreeMap<Id, Entry>,
    /// The live nodes whose last report was not empty and has expired.
    silent: BTreeSet<Id>,
}

#[derive(Debug)]
struct Entry {
    incarnation: Incarnation,
    received_at: Instant,
    report: Report,
    /// What the jobs need, by position in the report's demands; empty if the node does not say it.
    needs: Vec<Need>,
}

impl Board {
    /// Records the report of a node's process. A report of an earlier process is ignored.
    pub fn record(&mut self, node: &Id, incarnation: Incarnation, report: Report, now: Instant) {
        self.insert(node, incarnation, report, Vec::new(), now);
    }

    /// Records the report of a node's process that says what its jobs need. A report of an earlier process
    /// is ignored.
    pub fn record_needs(
        &mut self,
        node: &Id,
        incarnation: Incarnation,
        report: share::Report,
        now: Instant,
    ) {
        let share::Report { mut needs, loads } = report;
        needs.truncate(MAX_REPORT_LENGTH);
        let demands = needs.iter().map(|need| need.demand.clone()).collect();
        self.insert(node, incarnation, Report { demands, loads }, needs, now);
    }

    fn insert(
        &mut self,
        node: &Id,
        incarnation: Incarnation,
        mut report: Report,
        needs: Vec<Need>,
        now: Instant,
    ) {
        let is_outdated = self
            .reports
            .get(node)
            .is_some_and(|entry| incarnation < entry.incarnation);
        if is_outdated {
            return;
        }
        report.demands.truncate(MAX_REPORT_LENGTH);
        report.loads.truncate(MAX_REPORT_LENGTH);
        let entry = Entry {
            incarnation,
            received_at: now,
            report,
            needs,
        };
        self.reports.insert(node.clone(), entry);
        self.silent.remove(node);
    }

    /// Returns whether no report is known, and none is missing.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.silent.is_empty()
    }

    /// Returns whether no live node that had demands or loads is silent.
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_late =
            |entry: &Entry| !entry.report.is_empty() && now >= entry.received_at + REPORT_LIFETIME;
        self.silent.is_empty() && !self.reports.values().any(is_late)
    }

    /// Drops the reports of nodes that have left, and those that are too old.
    pub fn expire(&mut self, is_live: impl Fn(&Id) -> bool, now: Instant) {
        let silent = &mut self.silent;
        self.reports.retain(|node, entry| {
            let is_expired = now >= entry.received_at + REPORT_RETENTION;
            if is_expired && !entry.report.is_empty() {
                silent.insert(node.clone());
            }
            !is_expired && is_live(node)
        });
        silent.retain(|node| is_live(node));
    }

    /// Returns what the jobs of other nodes lack.
    pub fn demands(&self) -> impl Iterator<Item = &Demand> {
        self.reports
            .values()
            .flat_map(|entry| &entry.report.demands)
    }

    /// Returns what the jobs of other nodes need. For nodes that do not say it, `unknown` returns the need
    /// of a job that lacks as much.
    pub fn needs(&self, unknown: impl Fn(&Demand) -> Need) -> Vec<Need> {
        let mut needs = Vec::new();
        for entry in self.reports.values() {
            match entry.needs.is_empty() {
                true => needs.extend(entry.report.demands.iter().map(&unknown)),
                false => needs.extend_from_slice(&entry.needs),
            }
        }
        needs
    }

    /// Returns the requests of other nodes in flight by server. `slots` returns the number of slots of
    /// a server; `None` for an unknown one.
    pub fn loads(
        &self,
        slots: impl Fn(&str) -> Option<usize>,
        now: Instant,
    ) -> BTreeMap<Name, usize> {
        let mut loads: BTreeMap<Name, usize> = BTreeMap::new();
        for entry in self.reports.values() {
            if now >= entry.received_at + LOAD_RETENTION {
                continue;
            }
            for load in &entry.report.loads {
                let Some(slots) = slots(&load.server) else {
                    continue;
                };
                let believed = load.requests.min(slots * MAX_BELIEVED_LOAD);
                *loads.entry(load.server.clone()).or_default() += believed;
            }
        }
        loads
    }
}

/// The slots that a job can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Supply {
    /// The slots of all servers of the service.
    pub total: usize,
    /// The slots of the servers that have loaded a version which the job accepts.
    pub eligible: usize,
}

/// Returns how many items of a job may generate at once, beside the demands of other jobs.
///
/// Where most servers are eligible, as before the first new version, all jobs of the service compete
/// for them. Otherwise the servers are divided between the models, and only jobs of the same model
/// compete.
pub fn job_slots<'a>(
    supply: Supply,
    own: &Demand,
    others: impl Iterator<Item = &'a Demand>,
) -> usize {
    let is_divided = supply.eligible * 2 <= supply.total;
    let slots = match is_divided {
        true => supply.eligible,
        false => supply.total,
    };
    let competing: Vec<usize> = others
        .filter(|other| other.service == own.service && other.items > 0)
        .filter(|other| !is_divided || other.model == own.model)
        .map(|other| other.items)
        .collect();
    share(slots, own.items, &competing)
}

/// The moving average of the number of items that each model generates or that wait for it, by which
/// servers are divided between the models.
///
/// Answers the load of trainers that share servers and whose steps differ in work by a factor of ten:
/// with as many servers for each model, the largest one falls behind with each step while the servers
/// of the smallest one idle.
#[derive(Debug, Default)]
pub struct Backlog {
    items: BTreeMap<Name, f64>,
    updated_at: Option<Instant>,
}

impl Backlog {
    /// Updates the averages by the demands at `now`.
    pub fn update<'a>(&mut self, demands: impl Iterator<Item = &'a Demand>, now: Instant) {
        let mut current: BTreeMap<&Name, usize> = BTreeMap::new();
        for demand in demands {
            let items = current.entry(&demand.model).or_default();
            *items = items.saturating_add(demand.items.min(MAX_BELIEVED_ITEMS));
        }
        let elapsed = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let weight = 1.0 - (-elapsed.as_secs_f64() / BACKLOG_TIME_CONSTANT.as_secs_f64()).exp();
        for model in current.keys() {
            self.items.entry((*model).clone()).or_default();
        }
        for (model, average) in &mut self.items {
            let items = current.get(model).copied().unwrap_or_default();
            *average += weight * (items as f64 - *average);
        }
    }

    /// Returns the average of a model; 0 for an unknown one.
    pub fn items(&self, model: &str) -> f64 {
        self.items.get(model).copied().unwrap_or_default()
    }
}

/// Returns the number of slots for one job that lacks `own` items, beside jobs that lack `others`: the
/// largest share that can be given to all jobs that need as much, where those that need less get what
/// they need. At least one.
///
/// D. Bertsekas and R. Gallager, "Data Networks", section 6.5.2 (max-min fairness).
pub fn share(slots: usize, own: usize, others: &[usize]) -> usize {
    let mut demands: Vec<usize> = others.to_vec();
    demands.push(own);
    demands.sort_unstable();
    let mut left = slots;
    for (index, demand) in demands.iter().enumerate() {
        let equal = left / (demands.len() - index);
        if *demand > equal {
            return equal.clamp(1, own.max(1));
        }
        if *demand == own {
            break;
        }
        left -= demand;
    }
    own.max(1)
}
