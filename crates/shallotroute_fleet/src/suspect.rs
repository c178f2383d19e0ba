//! Requests under which backend servers crashed.
//!
//! A request may crash each server that begins to run it, and come again at any node. It is told from the
//! requests that only ran beside it by repetition: a crash is held against each request that the server
//! had not answered, a success clears a request, and after [`MAX_CRASHES`] crashes it is blocked at all nodes.
//! Until then no second copy of it is sent, and after the second crash it is sent only while two other servers
//! of the service are left.
//!
//! Answers the load pattern of a small service whose servers crash one after the other within a
//! fraction of a second, so that no caller is served.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

/// The number of crashes after which a request is blocked. Fewer would block requests that twice ran
/// beside another one.
pub const MAX_CRASHES: usize = 3;

/// How long crashes are held against a request after the last one, and how long it is blocked. It may
/// run again afterwards: the servers may have been repaired.
pub const RETENTION: Duration = Duration::from_secs(600);

/// How long a broken connection may turn out to be the crash of its server. The host list drops the
/// entry of a crashed server after some missed heartbeats.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(8);

/// The advised delay before a caller retries a request that is held back; servers that crashed are back
/// after some seconds.
const HOLD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The time within which servers that crashed come back. Until then they count as servers of their
/// service, whether they are listed or not.
const RESTART_PERIOD: Duration = Duration::from_secs(10);

/// The maximum number of requests that are remembered; those with the fewest crashes yield.
const MAX_REQUESTS: usize = 10_000;

/// The maximum number of crashes that are remembered of one request.
const MAX_REMEMBERED_CRASHES: usize = 8;

/// The maximum number of broken connections that are remembered.
const MAX_PENDING: usize = 1_000;

/// A digest of what a request asks for. It is equal whenever the request comes again, under whatever identity.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub Name);

/// A process of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// The server.
    pub server: Name,
    /// The Unix time of the process's start, in milliseconds.
    pub born: u64,
}

/// What all nodes know of a request, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The processes that crashed while they had the request.
    pub crashed: BTreeSet<Process>,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Clear,
    /// It may be sent, to one server at a time.
    Suspect,
    /// It may be sent when more servers are available.
    Held {
        /// The advised delay before its caller retries.
        retry_after: Duration,
    },
    /// It is not sent any more.
    Blocked {
        /// The time until it may be sent again.
        retry_after: Duration,
    },
}

/// The requests that a node knows of.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Requests whose connections broke, by the process that had them.
    pending: BTreeMap<Process, (Instant, BTreeSet<Fingerprint>)>,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    last_crash_at: Instant,
}

impl Entry {
    fn expires_at(&self) -> Instant {
        self.last_crash_at + RETENTION
    }
}

impl Record {
    /// Adds the crashes of another record. Returns whether there are any new ones.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.crashed.len();
        for process in &other.crashed {
            if self.crashed.len() >= MAX_REMEMBERED_CRASHES {
                break;
            }
            self.crashed.insert(process.clone());
        }
        self.crashed.len() > before
    }
}

impl Suspects {
    /// Returns whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests of which a crash is known, and of those that are blocked.
    pub fn counts(&self) -> (usize, usize) {
        let is_blocked = |entry: &&Entry| entry.record.crashed.len() >= MAX_CRASHES;
        let blocked = self.entries.values().filter(is_blocked).count();
        (self.entries.len(), blocked)
    }

    /// Returns what is known of a request.
    pub fn record(&self, request: &Fingerprint) -> Record {
        let entry = self.entries.get(request);
        entry.map_or_else(Record::default, |entry| entry.record.clone())
    }

    /// Returns whether a process is known to have crashed.
    pub fn has_crashed(&self, process: &Process) -> bool {
        let mut records = self.entries.values().map(|entry| &entry.record);
        records.any(|record| record.crashed.contains(process))
    }

    /// Decides whether a request may be sent to a service that has `listed` servers in the host list, of
    /// which `available` take requests.
    pub fn verdict(
        &self,
        request: &Fingerprint,
        available: usize,
        listed: usize,
        now: Instant,
    ) -> Verdict {
        let Some(entry) = self.entries.get(request) else {
            return Verdict::Clear;
        };
        let retry_after = entry.expires_at().saturating_duration_since(now);
        if retry_after.is_zero() {
            return Verdict::Clear;
        }
        let crashes = entry.record.crashed.len();
        // So many that one more crash leaves two.
        let needed = match now < entry.last_crash_at + RESTART_PERIOD {
            true => MAX_CRASHES,
            false => MAX_CRASHES.min(listed),
        };
        match crashes {
            0 => Verdict::Clear,
            // Most requests under which one server crashed only ran beside another one, or the server failed
            // by itself.
            1 => Verdict::Suspect,
            MAX_CRASHES.. => Verdict::Blocked { retry_after },
            _ if available < needed => Verdict::Held {
                retry_after: HOLD_RETRY_AFTER,
            },
            _ => Verdict::Suspect,
        }
    }

    /// Records that a process crashed while it had a request. Returns what is known of the request now, or
    /// `None` if that is nothing new.
    pub fn record_crash(
        &mut self,
        request: &Fingerprint,
        process: Process,
        now: Instant,
    ) -> Option<Record> {
        let crash = Record {
            crashed: BTreeSet::from([process]),
        };
        self.merge(request, &crash, now)
            .then(|| self.record(request))
    }

    /// Records what another node knows of a request. Returns whether it is new.
    pub fn merge(&mut self, request: &Fingerprint, record: &Record, now: Instant) -> bool {
        if !self.entries.contains_key(request) {
            self.make_room(now);
        }
        let entry = self
            .entries
            .entry(request.clone())
            .or_insert_with(|| Entry {
                record: Record::default(),
                last_crash_at: now,
            });
        let is_new = entry.record.merge(record);
        if is_new {
            entry.last_crash_at = now;
        }
        is_new
    }

    /// Forgets a request: it has succeeded, or its record has ended. Returns whether it was known.
    pub fn remove(&mut self, request: &Fingerprint) -> bool {
        for (_, requests) in self.pending.values_mut() {
            requests.remove(request);
        }
        self.entries.remove(request).is_some()
    }

    /// Records that the connection on which a process had a request broke, which may be the process's
    /// crash.
    pub fn record_break(&mut self, request: &Fingerprint, process: Process, now: Instant) {
        self.pending
            .retain(|_, (broken_at, _)| now < *broken_at + CONFIRMATION_PERIOD);
        if self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&process) {
            return;
        }
        let (_, requests) = self
            .pending
            .entry(process)
            .or_insert_with(|| (now, BTreeSet::new()));
        requests.insert(request.clone());
    }

    /// Returns the requests that a process had when their connections broke shortly before `now`. The
    /// process has turned out to be gone.
    pub fn take_broken(&mut self, process: &Process, now: Instant) -> BTreeSet<Fingerprint> {
        match self.pending.remove(process) {
            Some((broken_at, requests)) if now < broken_at + CONFIRMATION_PERIOD => requests,
            _ => BTreeSet::new(),
        }
    }

    /// Forgets all broken connections: the node lost its own links.
    pub fn discard_broken(&mut self) {
        self.pending.clear();
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < MAX_REQUESTS {
            return;
        }
        self.entries.retain(|_, entry| now < entry.expires_at());
        let least = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.record.crashed.len(), entry.last_crash_at))
            .map(|(request, _)| request.clone());
        if self.entries.len() >= MAX_REQUESTS
            && let Some(least) = least
        {
            self.entries.remove(&least);
        }
    }
}
