//! The state of a pool's backend servers as a node sees it.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;
use shallotroute_config::object;
use shallotroute_types::{location::Zone, name::Name, version::Version};

use crate::{
    affinity::Estimate,
    outcome::Evidence,
    retry::Budget,
    selection::{self, Criteria, Reason},
    server::{Availability, Counters, Report, Server, Weights},
};

/// The interval at which the median latency and the capacity of the servers are recalculated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// A pool as this node sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    selection: object::Selection,
    servers: Vec<Server>,
    /// The index from which the next selection starts.
    next_turn: usize,
    retry_budget: Budget,
    /// The lower median of the servers' latencies, in seconds.
    latency: Option<f64>,
    latency_at: Option<Instant>,
    capacity: Option<(u32, Instant)>,
    /// The estimated content of the servers' prefix caches.
    caches: Estimate,
    withdrawn: BTreeSet<(Name, Version)>,
}

/// The properties of a request that decide which servers may get it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The availability zone of the node itself.
    pub zone: &'a Zone,
    /// The hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// The model or adapter of the request, and the base model of an adapter.
    pub models: &'a [&'a str],
    /// The servers that had an attempt at the request.
    pub tried: &'a [Name],
}

/// A chosen backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server's name.
    pub name: Name,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The number of servers that could have been chosen.
    pub candidates: usize,
    /// The server's load before this request.
    pub load: u32,
    /// Why the server was chosen.
    pub reason: Reason,
}

impl Pool {
    /// Creates the state of a pool of which nothing is known but its object in the configuration.
    pub fn new(object: &object::Pool) -> Self {
        let mut pool = Self {
            selection: object.selection,
            servers: Vec::new(),
            next_turn: 0,
            retry_budget: Budget::new(Budget::RETRIES_PER_REQUEST),
            latency: None,
            latency_at: None,
            capacity: None,
            caches: Estimate::default(),
            withdrawn: BTreeSet::new(),
        };
        pool.update(object);
        pool
    }

    /// Applies a new revision of the object. Servers that keep their name and address keep their state.
    pub fn update(&mut self, object: &object::Pool) {
        self.selection = object.selection;
        self.capacity = None;
        let mut known = std::mem::take(&mut self.servers);
        for object in &object.servers {
            let is_same = |server: &Server| {
                server.object.name == object.name && server.object.address == object.address
            };
            let server = match known.iter().position(is_same) {
                Some(index) => {
                    let mut server = known.swap_remove(index);
                    server.object = object.clone();
                    server
                }
                None => Server::new(object.clone()),
            };
            self.servers.push(server);
        }
    }

    /// Sets the versions of models that get no new work.
    pub fn set_withdrawn(&mut self, versions: BTreeSet<(Name, Version)>) {
        self.withdrawn = versions;
    }

    /// Applies the host list; `is_leaving` returns whether the list names a server as leaving.
    pub fn apply_host_list(&mut self, is_leaving: impl Fn(&Name) -> bool) {
        for server in &mut self.servers {
            server.set_listed_leaving(is_leaving(&server.object.name));
        }
    }

    /// Returns how many requests this node may run at once: its share of the slots among `members` live
    /// members, or all slots that the requests of other senders leave free, whichever is more. The result
    /// is cached for a short interval, and `members` is called only when it is recalculated.
    pub fn capacity(&mut self, now: Instant, members: impl FnOnce() -> usize) -> u32 {
        match self.capacity {
            Some((capacity, at)) if now.saturating_duration_since(at) < REFRESH_INTERVAL => {
                capacity
            }
            Some(_) | None => {
                let capacity = self.calculate_capacity(now, members());
                self.capacity = Some((capacity, now));
                capacity
            }
        }
    }

    /// Returns the capacity as last calculated; 1 when it has not been since the last update.
    pub fn last_capacity(&self) -> u32 {
        self.capacity.map_or(1, |(capacity, _)| capacity)
    }

    fn calculate_capacity(&self, now: Instant, members: usize) -> u32 {
        let (mut slots, mut others) = (0_u32, 0_u32);
        for server in &self.servers {
            if server.availability(now) != Availability::Leaving {
                slots = slots.saturating_add(server.object.slots);
                let other_load = server.load(now) - server.in_progress();
                others = others.saturating_add(other_load.min(server.object.slots));
            }
        }
        let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        let share = slots.div_ceil(members);
        // At least one request is admitted, so that a pool without servers fails it at once.
        share.max(slots - others).max(1)
    }

    /// Chooses a server and counts the request as sent to it. Returns `None` when no server may get the
    /// request. Call it immediately before sending, since it is the check for leaving servers.
    pub fn choose<R: Rng>(
        &mut self,
        query: &Query<'_>,
        now: Instant,
        random: &mut R,
    ) -> Option<Choice> {
        let usable = match self.usable(query, Availability::Open, now) {
            open if !open.is_empty() => open,
            _ => self.usable(query, Availability::Failing, now),
        };
        self.refresh_latency(now);
        let criteria = Criteria {
            zone: query.zone,
            prefix: query.prefix,
            holder: query.prefix.and_then(|it| self.caches.holder(it, now)),
            latency: self.latency,
        };
        let (servers, turn) = (&self.servers, self.next_turn);
        let (index, reason) = selection::choose(
            self.selection,
            servers,
            &usable,
            &criteria,
            turn,
            now,
            random,
        )?;
        self.next_turn = index + 1;
        let server = &mut self.servers[index];
        let load = server.load(now);
        server.record_send();
        Some(Choice {
            name: server.object.name.clone(),
            address: server.object.address,
            candidates: usable.len(),
            load,
            reason,
        })
    }

    /// Records how an attempt at a server ended `elapsed` after it was sent.
    pub fn record_attempt(
        &mut self,
        name: &Name,
        evidence: Evidence,
        elapsed: Duration,
        now: Instant,
    ) {
        if let Some(server) = self.server(name) {
            server.record_attempt(evidence, elapsed, now);
        }
    }

    /// Corrects the estimate of the prefix caches by a response of the server. `cached` is the number of
    /// prompt tokens that came from its cache, if the engine reported it.
    pub fn record_prefix(&mut self, prefix: u64, name: &Name, cached: Option<u64>, now: Instant) {
        self.caches.record(prefix, name, cached, now);
    }

    /// Returns the servers that refused this node or another one as leaving, each with the time since its
    /// refusal.
    pub fn leaving_refusals(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&object::Server, Duration)> {
        let servers = self.servers.iter();
        servers.filter_map(move |server| Some((&server.object, server.leaving_refusal_age(now)?)))
    }

    /// Records that a server refused another node at `at` as leaving. Returns whether the server was not
    /// known to be leaving and now is.
    pub fn record_peer_refusal(
        &mut self,
        name: &Name,
        address: SocketAddr,
        at: Instant,
        now: Instant,
    ) -> bool {
        let server = self.server(name);
        server
            .filter(|it| it.object.address == address)
            .is_some_and(|it| it.record_peer_refusal(at, now))
    }

    /// Counts a request at a server as finished.
    pub fn record_finish(&mut self, name: &Name) {
        if let Some(server) = self.server(name) {
            server.record_finish();
        }
    }

    /// Returns each server's name, address and counters, to be read when reports are requested.
    pub fn server_counters(&self, now: Instant) -> Vec<(Name, SocketAddr, Counters)> {
        let entry = |server: &Server| {
            let object = &server.object;
            (object.name.clone(), object.address, server.counters(now))
        };
        self.servers.iter().map(entry).collect()
    }

    /// Applies a server's report that was requested when the server had these counters; `None` records
    /// that the server can't be reached.
    pub fn apply_report(
        &mut self,
        name: &Name,
        counters: Counters,
        report: Option<Report>,
        now: Instant,
    ) {
        if let Some(server) = self.server(name) {
            match report {
                Some(report) => server.apply_report(counters, report),
                None => server.record_failure(now),
            }
        }
    }

    /// Applies the weights of a server's report that was requested when the server had these counters.
    pub fn apply_weights(&mut self, name: &Name, counters: Counters, weights: Weights) {
        if let Some(server) = self.server(name) {
            server.apply_weights(counters, weights);
        }
    }

    /// Returns the retry budget that the pool's requests share.
    pub fn retry_budget(&mut self) -> &mut Budget {
        &mut self.retry_budget
    }

    /// Returns the servers in the order of the configuration.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns the indexes of the servers that may get the request. Servers without its model are included
    /// only when no other one reports it, and servers that replace its weights only while no other one has
    /// a free slot.
    fn usable(&self, query: &Query<'_>, availability: Availability, now: Instant) -> Vec<usize> {
        let servers = self.servers.iter().enumerate();
        let mut usable: Vec<usize> = servers
            .filter(|(_, server)| !query.tried.contains(&server.object.name))
            .filter(|(_, server)| server.availability(now) == availability)
            .filter(|(_, server)| !server.has_withdrawn_version(query.models, &self.withdrawn))
            .map(|(index, _)| index)
            .collect();
        let is_missing = |index: usize| self.servers[index].is_missing_models(query.models, now);
        if usable.iter().any(|it| !is_missing(*it)) {
            usable.retain(|it| !is_missing(*it));
        }
        let is_swapping = |index: usize| self.servers[index].is_swapping(query.models, now);
        let is_free = |index: usize| {
            let server = &self.servers[index];
            !is_swapping(index) && server.load(now) < server.object.slots
        };
        if usable.iter().any(|it| is_swapping(*it)) && usable.iter().any(|it| is_free(*it)) {
            usable.retain(|it| !is_swapping(*it));
        }
        usable
    }

    fn refresh_latency(&mut self, now: Instant) {
        let is_due = self
            .latency_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL);
        if is_due {
            let latencies = self.servers.iter().filter_map(|it| it.latency(now));
            let mut latencies: Vec<f64> = latencies.collect();
            latencies.sort_by(f64::total_cmp);
            // The lower median compares the slower one of two servers with the faster one.
            let middle = latencies.len().saturating_sub(1) / 2;
            self.latency = latencies.get(middle).copied();
            self.latency_at = Some(now);
        }
    }

    fn server(&mut self, name: &Name) -> Option<&mut Server> {
        self.servers.iter_mut().find(|it| it.object.name == *name)
    }
}
