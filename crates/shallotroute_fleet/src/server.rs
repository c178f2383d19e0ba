//! The backend servers in the host list, what this node has learned of each from its own requests,
//! and the choice of one for a request.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotroute_types::{location::Zone, name::Name, version::Version};

/// The first pause after a server answered "not run"; it doubles with each further one: a full
/// server frees a slot soon, a server that loads a version needs about a second.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after refusals.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(400);

/// The first pause after a failed or silent request; it doubles with each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause after failures; a restarted server is found again within this time.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);

/// The weight of a whole answer in the moving average of a server's pace.
const PACE_WEIGHT: f64 = 0.2;

/// The weight of the time between two events in the moving average of a server's pace.
const EVENT_WEIGHT: f64 = 0.08;

/// The most that one event counts, in multiples of the average: a server that loads a version
/// pauses once and is not slow.
const MAX_EVENT: f64 = 3.0;

/// A server counts as slow when its pace is this many times the usual one.
const SLOW_FACTOR: f64 = 1.8;

/// What a server in another availability zone costs, as a share of one request in progress.
const ZONE_PENALTY: f64 = 0.05;

/// A backend server as the host list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its identity, new with most starts.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The requests that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The Unix time of its start, in milliseconds; tells two starts with one identity apart.
    pub born: u64,
    /// The version of each model that it has loaded.
    pub models: BTreeMap<Name, Version>,
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered; the time is that of the whole answer, or the mean time between two events.
    Answered(Duration),
    /// The server did not run it.
    Refused,
    /// The connection failed, the answer was no answer, or none came.
    Failed,
    /// This node ended it for a reason that says nothing of the server.
    Dropped,
}

/// What a request needs of a server.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a str,
    /// The model and the oldest version that may be used.
    pub model: Option<(&'a str, Version)>,
    /// Servers that should not be chosen while there is another.
    pub avoid: &'a [Name],
    /// The server that has the request's prompt cached.
    pub cached: Option<&'a str>,
    /// Whether a server whose slots this node fills already is out of the question.
    pub within_slots: bool,
}

/// What this node knows of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// The server as the host list has it.
    pub server: Server,
    /// This node's requests in progress there.
    pub running: usize,
    /// The failures since its last answer.
    pub failures: u32,
    /// How long it gets no request while there is another.
    pub paused: Duration,
    /// The mean time of an answer, or between two events.
    pub pace: Option<Duration>,
    /// Whether its entry has vanished and may return.
    pub missing: bool,
}

/// The servers that this node knows.
#[derive(Debug, Default)]
pub struct Roster {
    zone: Option<Zone>,
    entries: BTreeMap<Name, Entry>,
    /// Entries that vanish before this instant may be back soon.
    unsettled_until: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    server: Server,
    running: usize,
    failures: u32,
    refusals: u32,
    paused_until: Option<Instant>,
    pace: Option<f64>,
    missing_since: Option<Instant>,
}

/// How long an entry that vanished in an outage may stay away: the host list promises two seconds.
const RETURN_TIME: Duration = Duration::from_secs(2);

impl Roster {
    /// Starts without servers; those in `zone` are preferred.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone: Some(zone),
            ..Self::default()
        }
    }

    /// Puts an entry in place of the one with the same identity. Returns whether a new process runs
    /// under that identity.
    pub fn insert(&mut self, server: Server) -> bool {
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

    /// Removes an entry, at once or, while the host list is unsettled, when it does not return.
    pub fn remove(&mut self, id: &str, now: Instant) {
        match self.unsettled_until {
            Some(until) if now < until => {
                if let Some(entry) = self.entries.get_mut(id) {
                    entry.missing_since.get_or_insert(now);
                }
            }
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Replaces all entries by a list that was read as a whole.
    pub fn replace(&mut self, servers: Vec<Server>, now: Instant) {
        let gone: Vec<Name> = self
            .entries
            .keys()
            .filter(|id| !servers.iter().any(|server| server.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
        for server in servers {
            self.insert(server);
        }
    }

    /// Notes that the host list could not be read until `now`.
    pub fn regained(&mut self, now: Instant) {
        self.unsettled_until = Some(now + RETURN_TIME);
    }

    /// Drops the entries that did not return in time.
    pub fn expire(&mut self, now: Instant) {
        if self.unsettled_until.is_some_and(|until| now >= until) {
            self.entries
                .retain(|_, entry| entry.missing_since.is_none());
            self.unsettled_until = None;
        }
    }

    /// Returns a server.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns what is known of each server, for people.
    pub fn summaries(&self, now: Instant) -> Vec<Summary> {
        self.entries
            .values()
            .map(|entry| Summary {
                server: entry.server.clone(),
                running: entry.running,
                failures: entry.failures,
                paused: entry
                    .paused_until
                    .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
                pace: entry.pace.map(Duration::from_secs_f64),
                missing: entry.missing_since.is_some(),
            })
            .collect()
    }

    /// Returns the slots of the servers of a service that take requests.
    pub fn slots(&self, service: &str) -> usize {
        self.servers()
            .filter(|server| &*server.service == service && !server.draining)
            .map(|server| server.slots)
            .sum()
    }

    /// Returns the requests of this node that run at a server.
    pub fn running(&self, id: &str) -> usize {
        self.entries.get(id).map_or(0, |entry| entry.running)
    }

    /// Returns the mean time between two events of a service's servers.
    pub fn typical_pace(&self, service: &str) -> Option<Duration> {
        let mut paces: Vec<f64> = self
            .entries
            .values()
            .filter(|entry| &*entry.server.service == service)
            .filter_map(|entry| entry.pace)
            .collect();
        paces.sort_by(f64::total_cmp);
        paces
            .get(paces.len() / 2)
            .map(|pace| Duration::from_secs_f64(*pace))
    }

    /// Notes the time between two events of a stream.
    pub fn observe_event(&mut self, id: &str, gap: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.failures = 0;
            entry.refusals = 0;
            let gap = gap.as_secs_f64();
            entry.pace = Some(match entry.pace {
                Some(last) => last + EVENT_WEIGHT * (gap.min(last * MAX_EVENT) - last),
                None => gap,
            });
        }
    }

    /// Returns the servers of a service that are much slower than the others, and the free slots of
    /// the others that have a model in at least the version `oldest`.
    pub fn slow(&self, service: &str, model: &str, oldest: Version) -> (Vec<Name>, usize) {
        let Some(typical) = self.typical_pace(service) else {
            return (Vec::new(), 0);
        };
        let limit = typical.as_secs_f64() * SLOW_FACTOR;
        let mut slow = Vec::new();
        let mut spare = 0;
        for entry in self.entries.values() {
            let server = &entry.server;
            if &*server.service != service {
                continue;
            }
            let fits = !server.draining
                && server
                    .models
                    .get(model)
                    .is_some_and(|version| *version >= oldest);
            match entry.pace {
                Some(pace) if pace > limit => slow.push(server.id.clone()),
                _ if fits => spare += server.slots.saturating_sub(entry.running),
                _ => {}
            }
        }
        (slow, spare)
    }

    /// Notes that a request begins at a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.running += 1;
        }
    }

    /// Notes how a request ended at a server.
    pub fn end(&mut self, id: &str, outcome: Outcome, now: Instant) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.running = entry.running.saturating_sub(1);
        match outcome {
            Outcome::Answered(pace) => entry.answered(pace),
            Outcome::Refused => entry.refused(now),
            Outcome::Failed => entry.failed(now),
            Outcome::Dropped => {}
        }
    }

    /// Notes the version that an answer of a server named.
    pub fn observe_version(&mut self, id: &str, model: &str, version: Version) {
        if let Some(entry) = self.entries.get_mut(id)
            && let Some(known) = entry.server.models.get_mut(model)
        {
            *known = version;
        }
    }

    /// Chooses the server with the least load for its pace. Servers to avoid, and those that failed
    /// a moment ago, are chosen when there is no other.
    pub fn choose(&self, need: &Need<'_>, now: Instant) -> Option<&Server> {
        let fits = |entry: &&Entry| entry.fits(need);
        let calm = |entry: &&Entry| {
            entry.paused_until.is_none_or(|until| now >= until)
                && !need.avoid.contains(&entry.server.id)
                && entry.missing_since.is_none()
        };
        let candidates = || self.entries.values().filter(fits);
        let typical = self
            .typical_pace(need.service)
            .map_or(0.0, |pace| pace.as_secs_f64());
        let best = |entries: &mut dyn Iterator<Item = &'_ Entry>| {
            entries
                .map(|entry| (self.cost(entry, need, typical), &entry.server))
                .min_by(|(one, _), (other, _)| one.total_cmp(other))
                .map(|(_, server)| server.id.clone())
        };
        let id = best(&mut candidates().filter(calm)).or_else(|| match need.model {
            // Work of a batch waits for a server; a caller's request takes what there is.
            Some(_) => None,
            None => best(
                &mut candidates()
                    .filter(|entry| !need.avoid.contains(&entry.server.id))
                    .chain(candidates().filter(|_| need.avoid.is_empty())),
            ),
        })?;
        self.get(&id)
    }

    /// Rates a server: the lower, the better.
    fn cost(&self, entry: &Entry, need: &Need<'_>, typical: f64) -> f64 {
        let pace = match (entry.pace, typical) {
            (Some(pace), typical) if typical > 0.0 => (pace / typical).max(0.5),
            _ => 1.0,
        };
        let slots = entry.server.slots.max(1) as f64;
        let load = (entry.running as f64 + 0.5) / slots * pace * pace;
        let distance = match self.zone.as_ref() == Some(&entry.server.zone) {
            true => 0.0,
            false => ZONE_PENALTY / slots,
        };
        let cached = need.cached == Some(&*entry.server.id) && entry.running < entry.server.slots;
        match cached {
            true => load / 2.0 + distance,
            false => load + distance,
        }
    }
}

impl Entry {
    fn new(server: Server) -> Self {
        Self {
            server,
            running: 0,
            failures: 0,
            refusals: 0,
            paused_until: None,
            pace: None,
            missing_since: None,
        }
    }

    fn fits(&self, need: &Need<'_>) -> bool {
        let server = &self.server;
        let version_fits = need.model.is_none_or(|(model, oldest)| {
            server
                .models
                .get(model)
                .is_some_and(|version| *version >= oldest)
        });
        &*server.service == need.service
            && !server.draining
            && version_fits
            && (!need.within_slots || self.running < server.slots)
    }

    fn answered(&mut self, pace: Duration) {
        self.failures = 0;
        self.refusals = 0;
        let pace = pace.as_secs_f64();
        self.pace = Some(match self.pace {
            Some(last) => last + PACE_WEIGHT * (pace - last),
            None => pace,
        });
    }

    fn refused(&mut self, now: Instant) {
        // Requests that were sent together are refused together.
        if self.paused_until.is_some_and(|until| now < until) {
            return;
        }
        let pause = REFUSAL_PAUSE * 2_u32.saturating_pow(self.refusals.min(8));
        self.refusals += 1;
        self.paused_until = Some(now + pause.min(MAX_REFUSAL_PAUSE));
    }

    fn failed(&mut self, now: Instant) {
        let pause = FAILURE_PAUSE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.paused_until = Some(now + pause.min(MAX_FAILURE_PAUSE));
    }
}
