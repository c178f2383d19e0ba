//! The backend servers of a pool in a node's view.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;
use shallotroute_config::object;
use shallotroute_types::{name::Name, place::Zone, version::Version};

use crate::{
    affinity::Estimate,
    outcome::Evidence,
    retry::Budget,
    selection::{self, Preference, Reason},
    server::{Availability, Mark, Report, Server, Weights},
};

/// How often the typical latency and the capacity of the servers are calculated anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// A pool in a node's view.
#[derive(Clone, Debug)]
pub struct Pool {
    selection: object::Selection,
    servers: Vec<Server>,
    turn: usize,
    budget: Budget,
    latency: Option<f64>,
    latency_at: Option<Instant>,
    capacity: Option<(u32, Instant)>,
    estimate: Estimate,
    withdrawn: BTreeSet<(Name, Version)>,
}

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The node's own availability zone.
    pub zone: &'a Zone,
    /// The hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// The model or adapter of the request, and the model below an adapter.
    pub models: &'a [&'a str],
    /// The servers that had an attempt at the request.
    pub tried: &'a [Name],
}

/// A chosen backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many servers could have been chosen.
    pub candidates: usize,
    /// The server's load before the request.
    pub load: u32,
    /// Why it was chosen.
    pub reason: Reason,
}

impl Pool {
    /// Makes the view of a pool of which nothing is known yet.
    pub fn new(object: &object::Pool) -> Self {
        let mut pool = Self {
            selection: object.selection,
            servers: Vec::new(),
            turn: 0,
            budget: Budget::new(Budget::SHARE),
            latency: None,
            latency_at: None,
            capacity: None,
            estimate: Estimate::default(),
            withdrawn: BTreeSet::new(),
        };
        pool.update(object);
        pool
    }

    /// Takes over a new revision of the object and keeps what is known of servers that stay.
    pub fn update(&mut self, object: &object::Pool) {
        self.selection = object.selection;
        self.capacity = None;
        let mut known = std::mem::take(&mut self.servers);
        for object in &object.servers {
            let same = |server: &Server| {
                server.object.name == object.name && server.object.address == object.address
            };
            let server = match known.iter().position(same) {
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

    /// Takes over the versions of models that get no new work.
    pub fn withdraw(&mut self, versions: BTreeSet<(Name, Version)>) {
        self.withdrawn = versions;
    }

    /// Takes over the host list; `leaving` tells whether it names a server as leaving.
    pub fn list(&mut self, leaving: impl Fn(&Name) -> bool) {
        for server in &mut self.servers {
            server.list(leaving(&server.object.name));
        }
    }

    /// Returns how many requests this node may run at once: its share of the slots among `members`
    /// live members, or all slots that the requests of others leave free, if these are more.
    pub fn capacity(&mut self, now: Instant, members: impl FnOnce() -> usize) -> u32 {
        match self.capacity {
            Some((capacity, at)) if now.saturating_duration_since(at) < REFRESH_INTERVAL => {
                capacity
            }
            Some(_) | None => {
                let capacity = self.slots(now, members());
                self.capacity = Some((capacity, now));
                capacity
            }
        }
    }

    /// Returns the capacity as last calculated.
    pub fn last_capacity(&self) -> u32 {
        self.capacity.map_or(1, |(capacity, _)| capacity)
    }

    fn slots(&self, now: Instant, members: usize) -> u32 {
        let (mut slots, mut others) = (0_u32, 0_u32);
        for server in &self.servers {
            if server.availability(now) != Availability::Leaving {
                slots = slots.saturating_add(server.object.slots);
                let foreign = server.load(now) - server.in_progress();
                others = others.saturating_add(foreign.min(server.object.slots));
            }
        }
        let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        let share = slots.div_ceil(members);
        // At least one request passes, so that a pool without servers answers at once.
        share.max(slots - others).max(1)
    }

    /// Chooses a server and counts the request as sent to it. This is the check for leaving servers
    /// at the moment of sending.
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
        self.refresh(now);
        let preference = Preference {
            zone: query.zone,
            prefix: query.prefix,
            holder: query.prefix.and_then(|it| self.estimate.holder(it, now)),
            latency: self.latency,
        };
        let (servers, turn) = (&self.servers, self.turn);
        let (index, reason) = selection::choose(
            self.selection,
            servers,
            &usable,
            &preference,
            turn,
            now,
            random,
        )?;
        self.turn = index + 1;
        let server = &mut self.servers[index];
        let load = server.load(now);
        server.send();
        Some(Choice {
            name: server.object.name.clone(),
            address: server.object.address,
            candidates: usable.len(),
            load,
            reason,
        })
    }

    /// Takes note of how an attempt at a server ended `elapsed` after it was sent.
    pub fn observe(&mut self, name: &Name, evidence: Evidence, elapsed: Duration, now: Instant) {
        if let Some(server) = self.server(name) {
            server.observe(evidence, elapsed, now);
        }
    }

    /// Corrects the estimate of the servers' prefix caches by a response.
    pub fn learn(&mut self, prefix: u64, name: &Name, cached: Option<u64>, now: Instant) {
        self.estimate.learn(prefix, name, cached, now);
    }

    /// Returns the servers that refused this node as leaving, or others that told of it, with the times
    /// since.
    pub fn leaving(&self, now: Instant) -> impl Iterator<Item = (&object::Server, Duration)> {
        let servers = self.servers.iter();
        servers.filter_map(move |server| Some((&server.object, server.refused_leaving(now)?)))
    }

    /// Takes note that a server refused another node at `at` as leaving; tells whether this is news.
    pub fn refuse_leaving(
        &mut self,
        name: &Name,
        address: SocketAddr,
        at: Instant,
        now: Instant,
    ) -> bool {
        let server = self.server(name);
        server
            .filter(|it| it.object.address == address)
            .is_some_and(|it| it.refuse_leaving(at, now))
    }

    /// Counts a request at a server as finished.
    pub fn finish(&mut self, name: &Name) {
        if let Some(server) = self.server(name) {
            server.finish();
        }
    }

    /// Returns the servers with their counters, to be asked for a report.
    pub fn marks(&self, now: Instant) -> Vec<(Name, SocketAddr, Mark)> {
        let mark = |server: &Server| {
            let object = &server.object;
            (object.name.clone(), object.address, server.mark(now))
        };
        self.servers.iter().map(mark).collect()
    }

    /// Takes over a server's report that was asked for at `mark`, or, without one, that the server
    /// can't be reached.
    pub fn report(&mut self, name: &Name, mark: Mark, report: Option<Report>, now: Instant) {
        if let Some(server) = self.server(name) {
            match report {
                Some(report) => server.report(mark, report),
                None => server.fail(now),
            }
        }
    }

    /// Takes over the weights of a server's report that was asked for at `mark`.
    pub fn weights(&mut self, name: &Name, mark: Mark, weights: Weights) {
        if let Some(server) = self.server(name) {
            server.weights(mark, weights);
        }
    }

    /// Returns the retry budget of the pool's requests.
    pub fn budget(&mut self) -> &mut Budget {
        &mut self.budget
    }

    /// Returns the servers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns the servers that may get the request: those without its model only when no other one
    /// reports it, and those that replace its weights only while no other one has a free slot.
    fn usable(&self, query: &Query<'_>, availability: Availability, now: Instant) -> Vec<usize> {
        let servers = self.servers.iter().enumerate();
        let mut usable: Vec<usize> = servers
            .filter(|(_, server)| !query.tried.contains(&server.object.name))
            .filter(|(_, server)| server.availability(now) == availability)
            .filter(|(_, server)| !server.is_withdrawn(query.models, &self.withdrawn))
            .map(|(index, _)| index)
            .collect();
        let is_missing = |index: usize| self.servers[index].is_missing(query.models, now);
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

    fn refresh(&mut self, now: Instant) {
        let due = self
            .latency_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL);
        if due {
            let latencies = self.servers.iter().filter_map(|it| it.latency(now));
            let mut latencies: Vec<f64> = latencies.collect();
            latencies.sort_by(f64::total_cmp);
            // The lower median, so that of two servers the slower one is compared with the faster.
            let middle = latencies.len().saturating_sub(1) / 2;
            self.latency = latencies.get(middle).copied();
            self.latency_at = Some(now);
        }
    }

    fn server(&mut self, name: &Name) -> Option<&mut Server> {
        self.servers.iter_mut().find(|it| it.object.name == *name)
    }
}
