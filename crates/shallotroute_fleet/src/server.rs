//! Load balancing over the backend servers of the host list, by what this node has observed of each.

pub mod ranking;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Bound,
    time::{Duration, Instant},
};

use shallotroute_types::{location::Zone, name::Name, version::Version};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    capacity::Supply,
    limit::{self, Claim, Class, Notice, Observation, Rate, Statement},
    software::{History, Listing},
};

/// The first back-off after a rejection; each further one doubles it. A full server frees a slot soon,
/// a server that loads a version needs about a second.
const REJECTION_BACKOFF_MIN: Duration = Duration::from_millis(100);

/// The longest back-off after rejections.
const REJECTION_BACKOFF_MAX: Duration = Duration::from_millis(400);

/// The first back-off after a failed or unanswered request; each further one doubles it.
const FAILURE_BACKOFF_MIN: Duration = Duration::from_millis(500);

/// The longest back-off after failures. A restarted server is used again within this time.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// The cost of a server that has named a limit, in requests in flight. Its permits are for requests that
/// other servers can't take soon.
const LIMIT_COST: f64 = 1.0;

/// The back-off of a process that is known to have crashed. The host list drops its entry or names another
/// process before.
const CRASH_BACKOFF: Duration = Duration::from_secs(10);

/// The longest delay that a server may advise. A server in trouble may name any number.
const MAX_ADVISED_DELAY: Duration = Duration::from_secs(30);

/// The weight of one response time in the moving average of a server's latency.
const RESPONSE_WEIGHT: f64 = 0.2;

/// The weight of one interval between stream events in the moving average of a server's latency.
const EVENT_WEIGHT: f64 = 0.08;

/// The cap on one interval between events, in multiples of the average. A server that loads a version
/// pauses once and does not count as slow for it.
const MAX_EVENT_FACTOR: f64 = 3.0;

/// The ratio of a server's latency to the median above which the server counts as slow.
const SLOW_RATIO: f64 = 1.8;

/// The cost of a server in another availability zone, in requests in flight.
const ZONE_COST: f64 = 0.05;

/// The largest cost by which servers of equal load are told apart, in requests in flight. It is above
/// [`ZONE_COST`], so that nodes of one zone do not all begin with the same servers.
const MAX_SPREAD_COST: f64 = 0.2;

/// A backend server according to the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The server's identity; most restarts change it.
    pub id: Name,
    /// The service that the server belongs to.
    pub service: Name,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: Zone,
    /// The number of requests that the server runs at a time.
    pub slots: usize,
    /// Whether the server is about to leave and takes no new requests.
    pub is_draining: bool,
    /// The time that a draining server has left, when its entry was written; `None` if the entry does
    /// not say.
    pub leaves_after: Option<Duration>,
    /// Whether the platform may reclaim the server.
    pub is_spot: bool,
    /// The Unix time of the server's start, in milliseconds; distinguishes restarts under the same
    /// identity.
    pub born: u64,
    /// The version of the server's software, which is independent of the versions of its models.
    /// Servers of several software versions may serve side by side, and the events of one can't be
    /// continued by another. Empty if the entry names none.
    pub software: Name,
    /// The loaded version of each model; empty for a server without models.
    pub models: BTreeMap<Name, Version>,
}

/// The outcome of a request at a server, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server responded. The duration is the response time or, for a stream, the mean interval
    /// between two events.
    Succeeded(Duration),
    /// The server did not run the request.
    Rejected,
    /// The connection failed, the response was invalid, or none arrived.
    Failed,
    /// The outcome says nothing about the server's health.
    Neutral,
}

/// The requirements of a request for a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service that runs the request.
    pub service: &'a str,
    /// The model and its oldest acceptable version; `None` for a request without a model.
    pub model: Option<(&'a str, Version)>,
    /// The version of the software that began the stream to continue; `None` for a request that
    /// starts from the beginning.
    pub software: Option<&'a str>,
    /// Servers that are not chosen.
    pub avoid: &'a [Name],
    /// The server that has the request's prompt in its prefix cache.
    pub cached_on: Option<&'a str>,
    /// The rank of the batch job that the request belongs to; `None` for a caller's request. A batch
    /// item takes only a server that has a slot which is free of this node's requests of the same or
    /// a lower rank.
    ///
    /// When a job moves to another node, its last long outputs arrive there after the newer job has
    /// filled all slots. They are critical for the older job and would otherwise wait until the
    /// shorter outputs of the newer one end.
    pub batch_rank: Option<Rank>,
    /// Whose request it is, which decides who gets the permits of a server with a limit.
    pub class: Class,
}

/// The rank of a batch job among others: the Unix time at which it is due, in milliseconds. The
/// job that is due first has the lowest rank and takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u64);

/// A server and what this node has observed of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// The server according to the host list.
    pub server: Server,
    /// The number of this node's requests in flight at the server.
    pub in_flight: usize,
    /// The number of failures since the last response.
    pub failures: u32,
    /// The remaining back-off; zero if there is none.
    pub back_off: Duration,
    /// The moving average of response times or, for streams, of intervals between events. `None`
    /// before the first response.
    pub mean_latency: Option<Duration>,
    /// Whether the entry has vanished from the host list after an outage and may still return.
    pub is_missing: bool,
    /// The rate of requests that the server takes from all nodes together; `None` without a limit.
    pub limit: Option<Rate>,
}

/// Chooses backend servers by load, latency, version and availability zone.
#[derive(Debug, Default)]
pub struct Balancer {
    zone: Option<Zone>,
    /// Varies between nodes which of several equal servers is chosen.
    seed: u64,
    entries: BTreeMap<Name, Entry>,
    /// The end of the recovery period after an outage; until then entries that vanish from the host
    /// list may return.
    recovering_until: Option<Instant>,
    /// The servers that have said themselves that they are leaving, with their start times and when
    /// they said so last.
    leaving: BTreeMap<Name, (u64, Instant)>,
    /// The software versions of servers that are no longer in `entries`.
    software: History,
}

#[derive(Debug)]
struct Entry {
    server: Server,
    in_flight: usize,
    /// The requests of other nodes' batch jobs in flight.
    foreign: usize,
    /// The requests in flight that belong to batch jobs, by the rank of their job.
    batch_in_flight: BTreeMap<Rank, usize>,
    failures: u32,
    rejections: u32,
    back_off_until: Option<Instant>,
    /// Until when the server has asked not to be sent what it rejected.
    advised_until: Option<Instant>,
    /// The moving average that [`Summary::mean_latency`] returns, in seconds.
    mean_latency: Option<f64>,
    missing_since: Option<Instant>,
    /// When the server is gone according to its entries; `None` if they do not say.
    leaves_at: Option<Instant>,
    /// The limit that the server has named; `None` without one.
    limit: Option<limit::Known>,
}

/// How long a server's statement that it is leaving is kept; it exits within a minute.
const LEAVING_RETENTION: Duration = Duration::from_secs(120);

/// The time for which entries may be missing after an outage; the host list guarantees two seconds.
const RECOVERY_PERIOD: Duration = Duration::from_secs(2);

impl Balancer {
    /// Creates a balancer without servers that prefers those in `zone`.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone: Some(zone),
            ..Self::default()
        }
    }

    /// Sets the seed by which the node chooses among servers of equal cost. Nodes with different seeds
    /// that start requests at the same time choose different servers.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Adds a server or replaces the one with the same identity. Returns whether a new process runs
    /// under that identity; observations of the former process are dropped then.
    ///
    /// A server that has said that it is leaving stays draining, whatever an entry of the same process
    /// says: the host list lags.
    pub fn insert(&mut self, mut server: Server) -> bool {
        match self.leaving.get(&server.id) {
            Some((born, _)) if *born == server.born => server.is_draining = true,
            Some(_) => {
                self.leaving.remove(&server.id);
            }
            None => {}
        }
        if let Some(Entry { server: former, .. }) = self.entries.get(&server.id)
            && (&former.service, &former.software) != (&server.service, &server.software)
        {
            self.software
                .record_former(&former.service, &former.software, None);
        }
        match self.entries.get_mut(&server.id) {
            Some(entry) if entry.server.born == server.born => {
                entry.missing_since = None;
                entry.server = server;
                false
            }
            _ => {
                self.entries.insert(server.id.clone(), Entry::new(server));
                true
            }
        }
    }

    /// Records that a server has said that it is leaving. Returns whether that is new.
    ///
    /// Answers the load pattern of servers that are taken away at short notice: their entries say so
    /// late, or never.
    pub fn record_leaving(&mut self, id: &str, now: Instant) -> bool {
        self.leaving
            .retain(|_, (_, said_at)| now < *said_at + LEAVING_RETENTION);
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let is_new = !entry.server.is_draining;
        entry.server.is_draining = true;
        let statement = (entry.server.born, now);
        self.leaving.insert(entry.server.id.clone(), statement);
        is_new
    }

    /// Records how long a draining server has left, as its last entry says. The earliest time counts: entries
    /// arrive late.
    pub fn record_departure(&mut self, id: &str, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let leaves_after = entry.server.leaves_after;
        let leaves_at = leaves_after.and_then(|left| now.checked_add(left));
        entry.leaves_at = match (entry.leaves_at, leaves_at) {
            (Some(former), Some(at)) if entry.server.is_draining => Some(former.min(at)),
            (former, None) if entry.server.is_draining => former,
            (_, at) => at,
        };
    }

    /// Returns the draining servers of a service whose departure is known, with the time left.
    pub fn departures(&self, service: &str, now: Instant) -> BTreeMap<Name, Duration> {
        let entries = self.entries.values();
        entries
            .filter(|entry| &*entry.server.service == service && entry.server.is_draining)
            .filter_map(|entry| {
                let left = entry.leaves_at?.saturating_duration_since(now);
                Some((entry.server.id.clone(), left))
            })
            .collect()
    }

    /// Records what a response of a server says about its limit. Returns an observation if that is
    /// something else than before.
    pub fn record_limit(
        &mut self,
        id: &str,
        statement: Statement,
        now: Instant,
    ) -> Option<Observation> {
        let entry = self.entries.get_mut(id)?;
        let (has_changed, rate) = match (statement, &mut entry.limit) {
            (Statement::Silent, _) | (Statement::Unlimited, None) => return None,
            (Statement::Unlimited, Some(_)) => {
                entry.limit = None;
                (true, None)
            }
            (Statement::Limited(rate), Some(known)) => (known.observe(rate, now), Some(rate)),
            (Statement::Limited(rate), None) => {
                entry.limit = Some(limit::Known::new(rate, now));
                (true, Some(rate))
            }
        };
        has_changed.then(|| Observation {
            server: entry.server.id.clone(),
            born: entry.server.born,
            rate,
            age: Duration::ZERO,
        })
    }

    /// Records a limit of a server's process of which its home tells all nodes. What this node has seen
    /// itself counts more.
    pub fn record_notice(&mut self, id: &str, notice: &Notice, now: Instant) {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.server.born == notice.born
        {
            entry
                .limit
                .get_or_insert_with(|| limit::Known::from_notice(notice.rate, now));
        }
    }

    /// Returns the claim for a permit to send a request to a server; `None` if the server has no limit.
    pub fn limit_claim(&self, id: &str, class: Class, now: Instant) -> Option<Claim> {
        let entry = self.entries.get(id)?;
        let known = entry.limit.as_ref()?;
        Some(known.claim(entry.server.id.clone(), entry.server.born, class, now))
    }

    /// Records that a server takes no requests of a class for some time.
    pub fn record_denial(&mut self, id: &str, class: Class, retry_after: Duration, now: Instant) {
        if let Some(known) = self
            .entries
            .get_mut(id)
            .and_then(|entry| entry.limit.as_mut())
        {
            known.record_denial(class, retry_after, now);
        }
    }

    /// Records that the limit of a server's process has ended, as another node has seen.
    pub fn end_limit(&mut self, id: &str, born: u64) {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.server.born == born
        {
            entry.limit = None;
        }
    }

    /// Returns whether a request may be sent to a server although no node divides its rate.
    pub fn take_trial(&mut self, id: &str, now: Instant) -> bool {
        let limit = self
            .entries
            .get_mut(id)
            .and_then(|entry| entry.limit.as_mut());
        limit.is_none_or(|known| known.take_trial(now))
    }

    /// Returns the time until the first server that only its limit excludes may be asked for a permit
    /// again; `None` if there is none.
    pub fn next_permit(&self, requirements: &Requirements<'_>, now: Instant) -> Option<Duration> {
        self.entries
            .values()
            .filter(|entry| entry.meets(requirements))
            .filter_map(|entry| entry.denied_until(requirements.class, now))
            .min()
            .map(|until| until.saturating_duration_since(now))
    }

    /// Removes a server. During the recovery period after an outage of the host list it is only
    /// marked as missing.
    pub fn remove(&mut self, id: &str, now: Instant) {
        match self.recovering_until {
            Some(until) if now < until => {
                if let Some(entry) = self.entries.get_mut(id) {
                    entry.missing_since.get_or_insert(now);
                }
            }
            _ => {
                if let Some(Entry { server, .. }) = self.entries.remove(id) {
                    self.software
                        .record_former(&server.service, &server.software, Some(now));
                }
            }
        }
    }

    /// Starts the recovery period when the host list can be read again after an outage.
    pub fn start_recovery(&mut self, now: Instant) {
        self.recovering_until = Some(now + RECOVERY_PERIOD);
    }

    /// Removes the servers that are still missing at the end of the recovery period.
    pub fn remove_missing(&mut self, now: Instant) {
        if self.recovering_until.is_some_and(|until| now >= until) {
            let missing = self
                .entries
                .extract_if(.., |_, entry| entry.missing_since.is_some());
            for (_, Entry { server, .. }) in missing {
                self.software
                    .record_former(&server.service, &server.software, Some(now));
            }
            self.recovering_until = None;
        }
    }

    /// Records that the host list has been read completely.
    pub fn record_first_read(&mut self, now: Instant) {
        self.software.record_first_read(now);
    }

    /// Records that changes of the host list may have been missed until `now`.
    pub fn record_gap(&mut self, now: Instant) {
        self.software.record_gap(now);
    }

    /// Returns what this node knows of the software versions of a service's servers in the `period`
    /// before `now`. Draining and missing servers count, as do those that were removed in that period.
    pub fn software(&mut self, service: &str, period: Duration, now: Instant) -> Listing {
        let servers = self.entries.values().map(|entry| &entry.server);
        let present = servers
            .filter(|server| &*server.service == service)
            .map(|server| &server.software);
        let versions = self.software.versions(service, present, period, now);
        let known = self.software.knowledge(&versions, period, now);
        Listing { versions, known }
    }

    /// Returns the server with an identity.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Returns all servers, including missing ones.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns a summary of each server for operators.
    pub fn summaries(&self, now: Instant) -> Vec<Summary> {
        self.entries
            .values()
            .map(|entry| entry.summary(now))
            .collect()
    }

    /// Returns the sum of the slots of a service's servers that are not draining.
    pub fn total_slots(&self, service: &str) -> usize {
        self.servers()
            .filter(|server| &*server.service == service && !server.is_draining)
            .map(|server| server.slots)
            .sum()
    }

    /// Returns the number of this node's requests in flight at a server.
    pub fn in_flight(&self, id: &str) -> usize {
        self.entries.get(id).map_or(0, |entry| entry.in_flight)
    }

    /// Returns the slots of a service's servers that are not draining, and of those among them that have
    /// loaded at least the version `oldest` of a model.
    pub fn supply(&self, service: &str, model: &str, oldest: Version) -> Supply {
        let has_version = |server: &&Server| {
            let loaded = server.models.get(model);
            loaded.is_some_and(|version| *version >= oldest)
        };
        let servers = || {
            self.servers()
                .filter(|server| &*server.service == service && !server.is_draining)
        };
        Supply {
            total: servers().map(|server| server.slots).sum(),
            eligible: servers()
                .filter(has_version)
                .map(|server| server.slots)
                .sum(),
        }
    }

    /// Returns the number of this node's batch requests in flight by server, without idle servers.
    pub fn batch_loads(&self) -> impl Iterator<Item = (&Name, usize)> {
        self.entries
            .iter()
            .map(|(id, entry)| (id, entry.batch_in_flight.values().sum()))
            .filter(|(_, requests)| *requests > 0)
    }

    /// Returns the number of this node's requests of callers in flight at a service's servers.
    pub fn caller_requests(&self, service: &str) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| &*entry.server.service == service)
            .map(|entry| {
                let batch: usize = entry.batch_in_flight.values().sum();
                entry.in_flight.saturating_sub(batch)
            })
            .sum()
    }

    /// Replaces the number of other nodes' batch requests in flight at each server.
    pub fn set_foreign_loads(&mut self, loads: &BTreeMap<Name, usize>) {
        for (id, entry) in &mut self.entries {
            entry.foreign = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Returns the median of the mean latencies of a service's servers. `None` before the first
    /// observation.
    pub fn median_latency(&self, service: &str) -> Option<Duration> {
        let mut latencies: Vec<f64> = self
            .entries
            .values()
            .filter(|entry| &*entry.server.service == service)
            .filter_map(|entry| entry.mean_latency)
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies
            .get(latencies.len() / 2)
            .map(|latency| Duration::from_secs_f64(*latency))
    }

    /// Records the interval between two events of a stream.
    pub fn record_event_interval(&mut self, id: &str, interval: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.failures = 0;
            entry.rejections = 0;
            let interval = interval.as_secs_f64();
            entry.mean_latency = Some(match entry.mean_latency {
                Some(mean) => mean + EVENT_WEIGHT * (interval.min(mean * MAX_EVENT_FACTOR) - mean),
                None => interval,
            });
        }
    }

    /// Returns the slow servers of a service, and the software versions of its servers that are not
    /// draining and have loaded at least the version `oldest` of a model, each with the number of free
    /// slots at those among them that are not slow.
    pub fn slow_servers(
        &self,
        service: &str,
        model: &str,
        oldest: Version,
    ) -> (Vec<Name>, BTreeMap<Name, usize>) {
        let threshold = self
            .median_latency(service)
            .map_or(f64::INFINITY, |median| median.as_secs_f64() * SLOW_RATIO);
        let mut slow = Vec::new();
        let mut free_slots = BTreeMap::new();
        for entry in self.entries.values() {
            let server = &entry.server;
            if &*server.service != service {
                continue;
            }
            let is_eligible = !server.is_draining
                && server
                    .models
                    .get(model)
                    .is_some_and(|version| *version >= oldest);
            let is_slow = entry
                .mean_latency
                .is_some_and(|latency| latency > threshold);
            if is_slow {
                slow.push(server.id.clone());
            }
            if is_eligible {
                let free = match is_slow {
                    true => 0,
                    false => server.slots.saturating_sub(entry.load()),
                };
                *free_slots.entry(server.software.clone()).or_default() += free;
            }
        }
        (slow, free_slots)
    }

    /// Records that a request was dispatched to a server.
    pub fn record_start(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.in_flight += 1;
        }
    }

    /// Records that a request which was dispatched to a server belongs to a batch job of this rank.
    pub fn record_batch_start(&mut self, id: &str, rank: Rank) {
        if let Some(entry) = self.entries.get_mut(id) {
            *entry.batch_in_flight.entry(rank).or_default() += 1;
        }
    }

    /// Records that a request of a batch job of this rank is no longer in flight.
    pub fn record_batch_end(&mut self, id: &str, rank: Rank) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if let Some(count) = entry.batch_in_flight.get_mut(&rank) {
            *count -= 1;
            if *count == 0 {
                entry.batch_in_flight.remove(&rank);
            }
        }
    }

    /// Records the end of a request at a server.
    pub fn record_end(&mut self, id: &str, outcome: Outcome, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Succeeded(latency) => entry.record_success(latency),
            Outcome::Rejected => entry.record_rejection(now),
            Outcome::Failed => entry.record_failure(now),
            Outcome::Neutral => {}
        }
    }

    /// Records the delay that a server has advised with a rejection. Until it has passed, the server gets no
    /// requests of batch jobs, and those of callers only if there is no other.
    pub fn record_advice(&mut self, id: &str, delay: Duration, now: Instant) {
        if let Some(entry) = self.entries.get_mut(id) {
            let until = now + delay.min(MAX_ADVISED_DELAY);
            entry.advised_until = entry.advised_until.max(Some(until));
        }
    }

    /// Records that a server's process has crashed, as this node or another one has seen.
    pub fn record_crash(&mut self, id: &str, born: u64, now: Instant) {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.server.born == born
        {
            entry.back_off_until = Some(now + CRASH_BACKOFF);
        }
    }

    /// Forgets all failures and the back-offs after them: this node has lost its links, and what it has observed says
    /// nothing about the servers.
    pub fn clear_failures(&mut self) {
        for entry in self.entries.values_mut() {
            if std::mem::take(&mut entry.failures) > 0 {
                entry.back_off_until = None;
            }
        }
    }

    /// Returns whether the last request or connection at a server failed.
    pub fn has_failures(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.failures > 0)
    }

    /// Returns the servers other than `except` by which the node's links are checked: those without failures first,
    /// in an order that depends on `random`.
    pub fn witnesses(&self, except: Option<&str>, random: u64) -> Vec<Server> {
        let mut witnesses: Vec<&Entry> = self
            .entries
            .values()
            .filter(|entry| !entry.server.is_draining && entry.missing_since.is_none())
            .filter(|entry| Some(&*entry.server.id) != except)
            .collect();
        witnesses.sort_by_key(|entry| {
            let position = xxh3_64_with_seed(entry.server.id.as_bytes(), random);
            (entry.failures, position)
        });
        witnesses
            .into_iter()
            .map(|entry| entry.server.clone())
            .collect()
    }

    /// Returns the number of a service's servers that take requests, and of all that are not draining.
    pub fn available_servers(&self, service: &str, now: Instant) -> (usize, usize) {
        let listed = || {
            self.entries
                .values()
                .filter(|entry| &*entry.server.service == service && !entry.server.is_draining)
        };
        let is_available = |entry: &&Entry| {
            entry.missing_since.is_none() && entry.back_off_until.is_none_or(|until| now >= until)
        };
        (listed().filter(is_available).count(), listed().count())
    }

    /// Records the version that a server named in a response. Models that the host list does not
    /// name for the server are ignored.
    pub fn record_version(&mut self, id: &str, model: &str, version: Version) {
        if let Some(entry) = self.entries.get_mut(id)
            && let Some(loaded) = entry.server.models.get_mut(model)
        {
            *loaded = version;
        }
    }

    /// Returns the eligible server with the lowest cost, or `None` if there is none.
    ///
    /// Servers that are in back-off or missing are a last resort, and only for requests without a
    /// model. A server whose limit denies the request is none at all, and one that has just rejected
    /// requests is none for those of batch jobs.
    pub fn choose(&self, requirements: &Requirements<'_>, now: Instant) -> Option<&Server> {
        let median = self.median_seconds(requirements.service);
        self.entries
            .values()
            .filter_map(|entry| {
                let tier = entry.tier(requirements, now).ok()?;
                Some(((tier, self.cost(entry, requirements, median)), entry))
            })
            .min_by(|(one, _), (other, _)| ranking::compare(*one, *other))
            .map(|(_, entry)| &entry.server)
    }

    /// Returns the median latency of a service's servers, in seconds; zero before the first observation.
    fn median_seconds(&self, service: &str) -> f64 {
        self.median_latency(service)
            .map_or(0.0, |latency| latency.as_secs_f64())
    }

    /// Returns the cost of sending a request to a server: its load per slot, weighted by the square
    /// of its latency relative to the median. A cached prompt halves it.
    fn cost(&self, entry: &Entry, requirements: &Requirements<'_>, median: f64) -> f64 {
        let relative_latency = match (entry.mean_latency, median) {
            (Some(latency), median) if median > 0.0 => (latency / median).max(0.5),
            _ => 1.0,
        };
        let slots = entry.server.slots.max(1) as f64;
        let load = (entry.load() as f64 + 0.5) / slots * relative_latency * relative_latency;
        let zone_cost = match self.zone.as_ref() == Some(&entry.server.zone) {
            true => 0.0,
            false => ZONE_COST / slots,
        };
        let is_cached =
            requirements.cached_on == Some(&*entry.server.id) && entry.load() < entry.server.slots;
        let limit_cost = match entry.limit {
            Some(_) => LIMIT_COST / slots,
            None => 0.0,
        };
        let preference_cost = zone_cost + limit_cost + self.spread_cost(&entry.server.id) / slots;
        match is_cached {
            true => load / 2.0 + preference_cost,
            false => load + preference_cost,
        }
    }

    /// Returns a cost that orders equal servers differently at each node.
    fn spread_cost(&self, id: &str) -> f64 {
        match self.seed {
            0 => 0.0,
            seed => {
                let uniform = (xxh3_64_with_seed(id.as_bytes(), seed) >> 11) as f64;
                MAX_SPREAD_COST * uniform / (1_u64 << 53) as f64
            }
        }
    }
}

impl Entry {
    fn new(server: Server) -> Self {
        Self {
            server,
            in_flight: 0,
            foreign: 0,
            batch_in_flight: BTreeMap::new(),
            failures: 0,
            rejections: 0,
            back_off_until: None,
            advised_until: None,
            mean_latency: None,
            missing_since: None,
            leaves_at: None,
            limit: None,
        }
    }

    /// Returns until when the server's limit denies requests of a class.
    fn denied_until(&self, class: Class, now: Instant) -> Option<Instant> {
        self.limit.as_ref()?.denied_until(class, now)
    }

    /// Returns whether the server meets all requirements of a request, apart from its limit.
    fn meets(&self, requirements: &Requirements<'_>) -> bool {
        self.obstacle(requirements).is_none()
    }

    /// Returns whether the server is in back-off because it rejected requests, or has advised a delay
    /// that has not passed.
    fn is_rejecting(&self, now: Instant) -> bool {
        let is_before = |until: Option<Instant>| until.is_some_and(|until| now < until);
        (self.rejections > 0 && is_before(self.back_off_until)) || is_before(self.advised_until)
    }

    /// Returns the number of requests in flight that are known.
    fn load(&self) -> usize {
        self.in_flight + self.foreign
    }

    /// Returns whether a slot is free of requests whose rank is not above `rank`. The server queues as
    /// many requests as it has slots while those of lower ranks run.
    fn has_slot(&self, rank: Rank) -> bool {
        let above = self
            .batch_in_flight
            .range((Bound::Excluded(rank), Bound::Unbounded));
        let yielding: usize = above.map(|(_, count)| count).sum();
        let slots = self.server.slots;
        self.load() < slots + yielding.min(slots)
    }

    fn record_success(&mut self, latency: Duration) {
        self.failures = 0;
        self.rejections = 0;
        let latency = latency.as_secs_f64();
        self.mean_latency = Some(match self.mean_latency {
            Some(mean) => mean + RESPONSE_WEIGHT * (latency - mean),
            None => latency,
        });
    }

    fn record_rejection(&mut self, now: Instant) {
        // Requests that were dispatched together are rejected together and count as one rejection.
        if self.back_off_until.is_some_and(|until| now < until) {
            return;
        }
        let delay = REJECTION_BACKOFF_MIN * 2_u32.saturating_pow(self.rejections.min(8));
        self.rejections += 1;
        self.back_off_until = Some(now + delay.min(REJECTION_BACKOFF_MAX));
    }

    fn record_failure(&mut self, now: Instant) {
        let delay = FAILURE_BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.back_off_until = Some(now + delay.min(FAILURE_BACKOFF_MAX));
    }
}
