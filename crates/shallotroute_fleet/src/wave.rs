//! The orders that move servers to new versions.
//!
//! Answers two load patterns. When one model gets versions faster than all servers can load them one
//! after the other, a few load at a time and the others go on serving. When several models share the
//! servers, each server follows one model, so that a new version costs a share of the servers and not
//! all of them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, version::Version};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::server::Server;

/// One server of this many may load at a time; more loads at once slow one another down.
const SERVERS_PER_LOAD: usize = 5;

/// One follower of a model of this many may load at a time, so that the others can serve.
const FOLLOWERS_PER_LOAD: usize = 3;

/// How long a load is taken to last before one was seen; when it is over, the server is asked.
const FIRST_LOAD_TIME: Duration = Duration::from_millis(900);

/// The shortest time after which a server is asked whether its load has ended.
const MIN_LOAD_TIME: Duration = Duration::from_millis(100);

/// A load that was over when its server was asked counts as shorter than it seemed, by this part of the
/// time: the first while no server was asked too early, the second from then on.
const SHORTENING: [u32; 2] = [8, 128];

/// The ended loads whose median is the time of the next one; a median, as a single server may be slow or
/// leave questions unanswered.
const RECENT_LOADS: usize = 7;

/// The pause between a report of a load that goes on and the next question about it.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// The pause after a question that is not answered: as long as the answer may take.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(800);

/// How long a server may leave questions about its load unanswered until it counts as free.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// How long the host list may lag behind what a server itself said.
const LIST_LAG: Duration = Duration::from_secs(3);

/// The pause after an order that was refused or lost.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Version,
    /// The orders that the server has accepted before, as far as known; it refuses the order when
    /// the count differs. None when it has not reported since its start.
    pub accepted_before: Option<u64>,
}

/// What a server said of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The Unix time of its start, in milliseconds.
    pub born: u64,
    /// Whether it carries out an order.
    pub busy: bool,
    /// The orders that it has accepted.
    pub orders: u64,
    /// The version of each model.
    pub models: BTreeMap<Name, Version>,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The server carries it out.
    Accepted,
    /// What it asks for held already.
    Held,
    /// It was not given, because the server carries out another one.
    Busy,
    /// It was refused or lost, and the count of accepted orders is not known any more.
    Unknown,
}

/// The servers of one model that need an order.
struct Waiting {
    model: Name,
    target: Version,
    /// The servers with their versions, the furthest behind first.
    servers: Vec<(Version, Name)>,
    /// The servers that load the model now.
    loading: usize,
    /// The most that may load it at a time.
    most: usize,
}

impl Waiting {
    /// Returns how many versions the first server is behind.
    fn lag(&self) -> u64 {
        self.servers
            .first()
            .map_or(0, |(version, _)| self.target.0.saturating_sub(version.0))
    }
}

/// An order on its way, or the load that it began.
#[derive(Debug)]
struct Load {
    model: Name,
    /// When the order was accepted, if this planner gave it.
    accepted: Option<Instant>,
    /// When the server is asked next whether the load has ended; none while the order is on its way.
    check_at: Option<Instant>,
    /// Whether the server was asked before the load had ended.
    asked_early: bool,
    /// When the server counts as free without an answer; none while the order is on its way.
    limit: Option<Instant>,
}

/// Decides which server gets which order.
#[derive(Debug)]
pub struct Planner {
    loading: BTreeMap<Name, Load>,
    /// How long the last loads took, in the order of their ends.
    recent: VecDeque<Duration>,
    /// Whether a server was asked before its load had ended.
    asked_early: bool,
    reports: BTreeMap<Name, (Report, Instant)>,
    paused: BTreeMap<Name, Instant>,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            loading: BTreeMap::new(),
            recent: VecDeque::from([FIRST_LOAD_TIME; RECENT_LOADS]),
            asked_early: false,
            reports: BTreeMap::new(),
            paused: BTreeMap::new(),
        }
    }
}

impl Planner {
    /// Returns the orders to give now.
    pub fn plan(
        &mut self,
        targets: &BTreeMap<Name, Version>,
        servers: &[Server],
        now: Instant,
    ) -> Vec<Order> {
        self.forget(servers, now);
        let followers = self.follow(targets, servers, now);
        let most = servers
            .iter()
            .filter(|server| !server.models.is_empty())
            .count()
            .div_ceil(SERVERS_PER_LOAD);
        let mut waiting: Vec<Waiting> = followers
            .into_iter()
            .filter_map(|(model, followers)| self.waiting(model, &followers, targets, now))
            .collect();
        let mut orders = Vec::new();
        while self.loading.len() < most {
            // The model that is furthest behind comes first, so that none is starved by the others.
            let next = waiting
                .iter_mut()
                .filter(|model| model.loading < model.most && !model.servers.is_empty())
                .max_by_key(|model| (model.lag(), Reverse(model.loading)));
            let Some(next) = next else {
                break;
            };
            let (_, server) = next.servers.remove(0);
            next.loading += 1;
            let load = Load {
                model: next.model.clone(),
                accepted: None,
                check_at: None,
                asked_early: false,
                limit: None,
            };
            self.loading.insert(server.clone(), load);
            orders.push(Order {
                accepted_before: self.reports.get(&server).map(|(report, _)| report.orders),
                server,
                model: next.model.clone(),
                version: next.target,
            });
        }
        orders
    }

    /// Returns the followers of a model that need an order, the furthest behind first.
    fn waiting(
        &self,
        model: &Name,
        followers: &[&Server],
        targets: &BTreeMap<Name, Version>,
        now: Instant,
    ) -> Option<Waiting> {
        let target = *targets.get(model)?;
        let mut servers: Vec<(Version, Name)> = followers
            .iter()
            .filter(|server| !self.loading.contains_key(&server.id))
            .filter(|server| !self.paused.contains_key(&server.id))
            .filter_map(|server| Some((self.version(server, model, now)?, server.id.clone())))
            .filter(|(version, _)| *version < target)
            .collect();
        servers.sort();
        let loading = self.loading.values().filter(|load| load.model == *model);
        Some(Waiting {
            model: model.clone(),
            target,
            servers,
            loading: loading.count(),
            most: followers.len().div_ceil(FOLLOWERS_PER_LOAD),
        })
    }

    /// Returns the servers to ask now whether their loads have ended.
    pub fn checks(&mut self, now: Instant) -> Vec<Name> {
        let mut servers = Vec::new();
        for (server, load) in &mut self.loading {
            if load.check_at.is_some_and(|at| at <= now) {
                load.check_at = Some(now + UNANSWERED_PAUSE);
                servers.push(server.clone());
            }
        }
        servers
    }

    /// Notes what a server reported.
    pub fn report(&mut self, server: &Name, report: Report, now: Instant) {
        self.note_load(server, report.busy, now);
        self.reports.insert(server.clone(), (report, now));
    }

    /// Notes whether a server still loads, and learns from it how long a load takes.
    fn note_load(&mut self, server: &Name, busy: bool, now: Instant) {
        let Some(load) = self.loading.get_mut(server) else {
            return;
        };
        if load.check_at.is_none() {
            return;
        }
        if busy {
            load.asked_early = true;
            load.check_at = Some(now + CHECK_PAUSE);
            load.limit = Some(now + SILENCE_LIMIT);
            return;
        }
        if let Some(accepted) = load.accepted {
            self.asked_early |= load.asked_early;
            let mut load_time = now.saturating_duration_since(accepted);
            if !load.asked_early {
                load_time -= load_time / SHORTENING[usize::from(self.asked_early)];
            }
            self.recent.pop_front();
            self.recent.push_back(load_time.max(MIN_LOAD_TIME));
        }
        self.loading.remove(server);
    }

    /// Returns how long a load is expected to last.
    fn load_time(&self) -> Duration {
        let mut sorted = Vec::from_iter(self.recent.iter().copied());
        sorted.sort();
        sorted[sorted.len() / 2]
    }

    /// Notes how an order ended.
    pub fn finish(&mut self, order: &Order, end: End, now: Instant) {
        match end {
            End::Accepted => {
                let done_at = now + self.load_time();
                if let Some(load) = self.loading.get_mut(&order.server) {
                    load.accepted = Some(now);
                    load.check_at = Some(done_at);
                    load.limit = Some(done_at + SILENCE_LIMIT);
                }
                if let Some((report, at)) = self.reports.get_mut(&order.server) {
                    report.orders += 1;
                    report.models.insert(order.model.clone(), order.version);
                    *at = done_at;
                }
            }
            End::Held => {
                self.loading.remove(&order.server);
                if let Some((report, at)) = self.reports.get_mut(&order.server) {
                    report.models.insert(order.model.clone(), order.version);
                    *at = now;
                }
            }
            End::Busy => {
                if let Some(load) = self.loading.get_mut(&order.server) {
                    load.check_at = Some(now + CHECK_PAUSE);
                    load.limit = Some(now + SILENCE_LIMIT);
                }
            }
            End::Unknown => {
                self.loading.remove(&order.server);
                self.reports.remove(&order.server);
                self.paused.insert(order.server.clone(), now + RETRY_PAUSE);
            }
        }
    }

    fn forget(&mut self, servers: &[Server], now: Instant) {
        let find = |id: &Name| servers.iter().find(|server| server.id == *id);
        self.reports
            .retain(|id, (report, _)| find(id).is_some_and(|server| server.born == report.born));
        self.loading
            .retain(|id, load| find(id).is_some() && load.limit.is_none_or(|limit| now < limit));
        self.paused.retain(|_, until| now < *until);
    }

    /// Divides the servers among the models that they have, as evenly as possible. Each follows the
    /// model whose version it lacks least, so that the division stays as it is.
    fn follow<'a>(
        &self,
        targets: &BTreeMap<Name, Version>,
        servers: &'a [Server],
        now: Instant,
    ) -> BTreeMap<&'a Name, Vec<&'a Server>> {
        let mut pairs = Vec::new();
        let mut sizes: BTreeMap<&Name, usize> = BTreeMap::new();
        for server in servers.iter().filter(|server| !server.draining) {
            *sizes.entry(&server.service).or_default() += 1;
            for model in server.models.keys() {
                let Some(version) = self.version(server, model, now) else {
                    continue;
                };
                let target = targets.get(model).copied().unwrap_or_default();
                let lag = target.0.saturating_sub(version.0);
                pairs.push((lag, weight(&server.id, model), server, model));
            }
        }
        pairs.sort_by_key(|pair| (pair.0, pair.1));
        // The servers that are left when all models have the same number; each goes to one model.
        let mut rest: BTreeMap<&Name, usize> = BTreeMap::new();
        let mut followers: BTreeMap<&Name, Vec<&Server>> = BTreeMap::new();
        let mut taken = BTreeSet::new();
        for (_, _, server, model) in pairs {
            let size = sizes[&server.service];
            let share = size / server.models.len();
            let rest = rest
                .entry(&server.service)
                .or_insert(size % server.models.len());
            let others = followers.entry(model).or_default();
            let extra = others.len() == share && *rest > 0;
            if (others.len() < share || extra) && taken.insert(&server.id) {
                *rest -= usize::from(extra);
                others.push(server);
            }
        }
        followers
    }

    /// Returns the version that a server has, by its own report if that is newer than the list.
    fn version(&self, server: &Server, model: &Name, now: Instant) -> Option<Version> {
        let models = match self.reports.get(&server.id) {
            Some((report, at)) if now < *at + LIST_LAG => &report.models,
            _ => &server.models,
        };
        models.get(model).copied()
    }
}

fn weight(server: &str, model: &str) -> u64 {
    xxh3_64_with_seed(server.as_bytes(), xxh3_64(model.as_bytes()))
}
