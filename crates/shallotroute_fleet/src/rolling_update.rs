//! Plans the orders that move model servers to new weight versions.
//!
//! When one model gets new versions faster than its servers can load them one after the other, a few
//! servers load at a time while the others keep serving. When several models share the servers, each
//! server is assigned to one model, so that a new version occupies only that model's servers. Models
//! get servers by the work that waits for them.

mod division;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, version::Version};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use self::division::Division;
use crate::{capacity::Backlog, server::Server};

/// The slots that a model needs, in multiples of the average number of its items that generate or wait.
/// The items of a step arrive together.
const SLOTS_PER_ITEM: f64 = 2.0;

/// The part of an equal division that each model needs at least. A model whose trainer pauses keeps
/// servers for its next step.
const MIN_PART: f64 = 0.25;

/// One in this many servers may load at a time; concurrent loads slow each other down.
const SERVERS_PER_LOAD: usize = 5;

/// One in this many servers of a model may load it at a time, so that the others can serve.
const MODEL_SERVERS_PER_LOAD: usize = 3;

/// The assumed duration of a load before any load has ended. The server is checked after this time.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(900);

/// The lower bound of the estimated duration of a load.
const MIN_LOAD_TIME: Duration = Duration::from_millis(100);

/// An observed load time is reduced by one part in this many if the load had already ended at its
/// first check, because it took less time than was observed. The first number applies until a check
/// has come too early once, the second from then on.
const LOAD_TIME_REDUCTIONS: [u32; 2] = [8, 128];

/// The number of recent loads whose median is the estimated load time. The median tolerates a slow
/// server or one that leaves checks unanswered.
const RECENT_LOADS: usize = 7;

/// The interval between a report of an unfinished load and the next check.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between a check and the next one if no report arrives: the timeout of the call.
const UNANSWERED_CHECK_INTERVAL: Duration = Duration::from_millis(800);

/// The time without a report after which a load is no longer counted as in progress.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time by which the host list may lag behind a server's own report.
const MAX_LIST_LAG: Duration = Duration::from_secs(3);

/// The delay before a server gets another order after an order with an unknown outcome.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server that loads.
    pub server: Name,
    /// The model to load.
    pub model: Name,
    /// The version to load.
    pub version: Version,
    /// The number of orders that the server is expected to have accepted before. The server rejects
    /// the order if its count differs. `None` if the server has not reported since its start, or
    /// since an order with an unknown outcome; the order then names no count.
    pub expected_orders: Option<u64>,
}

/// A server's report of its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The Unix time of the server's start, in milliseconds.
    pub born: u64,
    /// Whether the server is carrying out an order.
    pub is_busy: bool,
    /// The number of orders that the server has accepted since its start.
    pub accepted_orders: u64,
    /// The loaded version of each model.
    pub models: BTreeMap<Name, Version>,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server carries out the order.
    Accepted,
    /// The server already has the version.
    AlreadyLoaded,
    /// The order was not given because the server is carrying out another one.
    Busy,
    /// The order was rejected or lost, and the number of accepted orders is no longer known.
    Unknown,
}

/// A model with servers that need an order.
struct PendingModel {
    model: Name,
    target: Version,
    /// The servers with an older version, the oldest first.
    outdated: Vec<(Version, Name)>,
    /// The number of servers that load the model.
    loading: usize,
    /// The maximum of `loading`.
    max_loading: usize,
}

impl PendingModel {
    /// Returns the number of versions by which the most outdated server is behind.
    fn lag(&self) -> u64 {
        self.outdated
            .first()
            .map_or(0, |(version, _)| self.target.0.saturating_sub(version.0))
    }
}

/// An order in flight, or the load that it started.
#[derive(Debug)]
struct Load {
    model: Name,
    /// When the server accepted the order; `None` if the load was not started by this planner's order.
    accepted_at: Option<Instant>,
    /// When to check next whether the load has ended; `None` while the order is in flight.
    check_at: Option<Instant>,
    /// Whether a check has found the load unfinished.
    was_checked_early: bool,
    /// When the server counts as free without a report; `None` while the order is in flight.
    expires_at: Option<Instant>,
}

/// Decides which server gets which order, and when a server is checked for the end of its load.
#[derive(Debug)]
pub struct Planner {
    /// Orders in flight and loads in progress, by server.
    loading: BTreeMap<Name, Load>,
    /// The observed durations of the most recent loads, oldest first.
    recent_load_times: VecDeque<Duration>,
    /// Whether any check has found a load unfinished.
    was_checked_early: bool,
    /// The last report of each server, and the time from which it holds: the end of the expected
    /// load after an accepted order.
    reports: BTreeMap<Name, (Report, Instant)>,
    /// The servers in back-off, with its end.
    retry_at: BTreeMap<Name, Instant>,
    /// The number of servers for each model, by service.
    divisions: BTreeMap<Name, Division>,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            loading: BTreeMap::new(),
            recent_load_times: VecDeque::from([INITIAL_LOAD_TIME; RECENT_LOADS]),
            was_checked_early: false,
            reports: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            divisions: BTreeMap::new(),
        }
    }
}

impl Planner {
    /// Returns the orders to give at `now`, and counts their servers as loading. The servers are divided
    /// between the models by their `backlog`.
    ///
    /// Every order must be followed by a call of [`Planner::record_outcome`].
    pub fn plan(
        &mut self,
        targets: &BTreeMap<Name, Version>,
        servers: &[Server],
        backlog: &Backlog,
        now: Instant,
    ) -> Vec<Order> {
        self.remove_expired(servers, now);
        self.divide(servers, backlog, now);
        let assignments = self.assign(targets, servers, now);
        let max_loading = servers
            .iter()
            .filter(|server| !server.models.is_empty())
            .count()
            .div_ceil(SERVERS_PER_LOAD);
        let mut pending: Vec<PendingModel> = assignments
            .into_iter()
            .filter_map(|(model, assigned)| self.pending_model(model, &assigned, targets, now))
            .collect();
        let mut orders = Vec::new();
        while self.loading.len() < max_loading {
            // The model with the largest lag comes first, so that no model is starved.
            let next = pending
                .iter_mut()
                .filter(|model| model.loading < model.max_loading && !model.outdated.is_empty())
                .max_by_key(|model| (model.lag(), Reverse(model.loading)));
            let Some(next) = next else {
                break;
            };
            let (_, server) = next.outdated.remove(0);
            next.loading += 1;
            let load = Load {
                model: next.model.clone(),
                accepted_at: None,
                check_at: None,
                was_checked_early: false,
                expires_at: None,
            };
            self.loading.insert(server.clone(), load);
            orders.push(Order {
                expected_orders: self
                    .reports
                    .get(&server)
                    .map(|(report, _)| report.accepted_orders),
                server,
                model: next.model.clone(),
                version: next.target,
            });
        }
        orders
    }

    /// Returns the servers of a model that may get an order, the most outdated first. Returns `None`
    /// if the model has no target version.
    fn pending_model(
        &self,
        model: &Name,
        assigned: &[&Server],
        targets: &BTreeMap<Name, Version>,
        now: Instant,
    ) -> Option<PendingModel> {
        let target = *targets.get(model)?;
        let mut outdated: Vec<(Version, Name)> = assigned
            .iter()
            .filter(|server| !self.loading.contains_key(&server.id))
            .filter(|server| !self.retry_at.contains_key(&server.id))
            .filter_map(|server| {
                Some((self.loaded_version(server, model, now)?, server.id.clone()))
            })
            .filter(|(version, _)| *version < target)
            .collect();
        outdated.sort();
        let loading = self.loading.values().filter(|load| load.model == *model);
        Some(PendingModel {
            model: model.clone(),
            target,
            outdated,
            loading: loading.count(),
            max_loading: assigned.len().div_ceil(MODEL_SERVERS_PER_LOAD),
        })
    }

    /// Returns the servers to ask for a report at `now` because their loads may have ended.
    pub fn due_checks(&mut self, now: Instant) -> Vec<Name> {
        let mut servers = Vec::new();
        for (server, load) in &mut self.loading {
            if load.check_at.is_some_and(|at| at <= now) {
                load.check_at = Some(now + UNANSWERED_CHECK_INTERVAL);
                servers.push(server.clone());
            }
        }
        servers
    }

    /// Records a report of a server.
    pub fn record_report(&mut self, server: &Name, report: Report, now: Instant) {
        self.update_load(server, report.is_busy, now);
        self.reports.insert(server.clone(), (report, now));
    }

    /// Records whether a server still loads, and updates the estimated load time when it does not.
    fn update_load(&mut self, server: &Name, is_busy: bool, now: Instant) {
        let Some(load) = self.loading.get_mut(server) else {
            return;
        };
        if load.check_at.is_none() {
            return;
        }
        if is_busy {
            load.was_checked_early = true;
            load.check_at = Some(now + CHECK_INTERVAL);
            load.expires_at = Some(now + REPORT_TIMEOUT);
            return;
        }
        if let Some(accepted_at) = load.accepted_at {
            self.was_checked_early |= load.was_checked_early;
            let mut load_time = now.saturating_duration_since(accepted_at);
            if !load.was_checked_early {
                load_time -= load_time / LOAD_TIME_REDUCTIONS[usize::from(self.was_checked_early)];
            }
            self.recent_load_times.pop_front();
            self.recent_load_times
                .push_back(load_time.max(MIN_LOAD_TIME));
        }
        self.loading.remove(server);
    }

    /// Returns the estimated duration of a load: the median of the recent ones.
    fn estimated_load_time(&self) -> Duration {
        let mut sorted = Vec::from_iter(self.recent_load_times.iter().copied());
        sorted.sort();
        sorted[sorted.len() / 2]
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, order: &Order, outcome: OrderOutcome, now: Instant) {
        match outcome {
            OrderOutcome::Accepted => {
                let expected_end = now + self.estimated_load_time();
                if let Some(load) = self.loading.get_mut(&order.server) {
                    load.accepted_at = Some(now);
                    load.check_at = Some(expected_end);
                    load.expires_at = Some(expected_end + REPORT_TIMEOUT);
                }
                if let Some((report, valid_from)) = self.reports.get_mut(&order.server) {
                    report.accepted_orders += 1;
                    report.models.insert(order.model.clone(), order.version);
                    *valid_from = expected_end;
                }
            }
            OrderOutcome::AlreadyLoaded => {
                self.loading.remove(&order.server);
                if let Some((report, valid_from)) = self.reports.get_mut(&order.server) {
                    report.models.insert(order.model.clone(), order.version);
                    *valid_from = now;
                }
            }
            OrderOutcome::Busy => {
                if let Some(load) = self.loading.get_mut(&order.server) {
                    load.check_at = Some(now + CHECK_INTERVAL);
                    load.expires_at = Some(now + REPORT_TIMEOUT);
                }
            }
            OrderOutcome::Unknown => {
                self.loading.remove(&order.server);
                self.reports.remove(&order.server);
                self.retry_at
                    .insert(order.server.clone(), now + RETRY_DELAY);
            }
        }
    }

    /// Removes loads whose reports are overdue, reports of earlier processes of a server, the state
    /// of servers that are gone, and back-offs that have ended.
    fn remove_expired(&mut self, servers: &[Server], now: Instant) {
        let find = |id: &Name| servers.iter().find(|server| server.id == *id);
        self.reports
            .retain(|id, (report, _)| find(id).is_some_and(|server| server.born == report.born));
        self.loading.retain(|id, load| {
            find(id).is_some() && load.expires_at.is_none_or(|expires_at| now < expires_at)
        });
        self.retry_at.retain(|_, until| now < *until);
    }

    /// Decides how many servers of each service follow each model.
    fn divide(&mut self, servers: &[Server], backlog: &Backlog, now: Instant) {
        let mut services: BTreeMap<&Name, Vec<&Server>> = BTreeMap::new();
        for server in servers.iter().filter(|server| !server.is_draining) {
            services.entry(&server.service).or_default().push(server);
        }
        self.divisions
            .retain(|service, _| services.contains_key(service));
        for (service, servers) in services {
            let count = servers.len();
            let needs = needed_servers(&servers, backlog);
            match self.divisions.get_mut(service) {
                Some(division) => division.update(count, &needs, now),
                None => {
                    let division = Division::new(count, &needs, now);
                    self.divisions.insert(service.clone(), division);
                }
            }
        }
    }

    /// Assigns each server to one of its models. A server goes to the model whose target version it is
    /// closest to, so that assignments are stable.
    fn assign<'a>(
        &self,
        targets: &BTreeMap<Name, Version>,
        servers: &'a [Server],
        now: Instant,
    ) -> BTreeMap<&'a Name, Vec<&'a Server>> {
        let mut candidates = Vec::new();
        for server in servers.iter().filter(|server| !server.is_draining) {
            for model in server.models.keys() {
                let Some(version) = self.loaded_version(server, model, now) else {
                    continue;
                };
                let target = targets.get(model).copied().unwrap_or_default();
                let lag = target.0.saturating_sub(version.0);
                candidates.push((lag, weight(&server.id, model), server, model));
            }
        }
        candidates.sort_by_key(|candidate| (candidate.0, candidate.1));
        let mut assignments: BTreeMap<&Name, Vec<&Server>> = BTreeMap::new();
        let mut assigned_ids = BTreeSet::new();
        for (_, _, server, model) in candidates {
            let division = self.divisions.get(&server.service);
            let count = division.map_or(0, |division| division.count(model));
            let model_servers = assignments.entry(model).or_default();
            if model_servers.len() < count && assigned_ids.insert(&server.id) {
                model_servers.push(server);
            }
        }
        assignments
    }

    /// Returns the version of a model that a server has loaded, by the server's own report if the
    /// host list may lag behind it.
    fn loaded_version(&self, server: &Server, model: &Name, now: Instant) -> Option<Version> {
        let models = match self.reports.get(&server.id) {
            Some((report, valid_from)) if now < *valid_from + MAX_LIST_LAG => &report.models,
            _ => &server.models,
        };
        models.get(model).copied()
    }
}

/// Returns how many of a service's servers each model needs.
fn needed_servers(servers: &[&Server], backlog: &Backlog) -> BTreeMap<Name, f64> {
    let models: BTreeSet<&Name> = servers
        .iter()
        .flat_map(|server| server.models.keys())
        .collect();
    let slots: usize = servers.iter().map(|server| server.slots).sum();
    let slots_per_server = slots.max(1) as f64 / servers.len().max(1) as f64;
    let min_servers = MIN_PART * servers.len() as f64 / models.len().max(1) as f64;
    models
        .into_iter()
        .map(|model| {
            let needed = backlog.items(model) * SLOTS_PER_ITEM / slots_per_server;
            (model.clone(), needed.max(min_servers))
        })
        .collect()
}

/// Returns the rendezvous hash that orders servers for a model at equal lag.
fn weight(server: &str, model: &str) -> u64 {
    xxh3_64_with_seed(server.as_bytes(), xxh3_64(model.as_bytes()))
}
