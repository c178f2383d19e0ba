//! What a node knows of one backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use shallotroute_config::object;
use shallotroute_types::{name::Name, version::Version};

use crate::outcome::{Evidence, Refusal};

/// How long a refusal as leaving holds when no newer report of the server contradicts it. It is
/// longer than the lag of the host list, which names the server by then.
const LEAVING_HOLD: Duration = Duration::from_secs(60);

/// How long a server that refused as overloaded gets no work. Places become free within a few token
/// times, and a longer hold would refuse interactive requests that the server would take first.
const OVERLOAD_HOLD: Duration = Duration::from_millis(100);

/// How long a server gets no work after a first failed connection while others can be reached.
const FAILURE_HOLD: Duration = Duration::from_millis(200);

/// The longest hold after repeated failures.
const MAX_FAILURE_HOLD: Duration = Duration::from_secs(5);

/// The age from which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The age from which a measured latency is ignored, so that a server that was slow gets work again.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(10);

/// The weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// A backend server in a node's view.
#[derive(Clone, Debug)]
pub struct Server {
    /// The operators' object.
    pub object: object::Server,
    /// A hash of its name, for rendezvous hashing.
    pub(crate) key: u64,
    listed_leaving: bool,
    refused_leaving: Option<Instant>,
    overloaded: Option<Instant>,
    failures: u32,
    failed: Option<Instant>,
    report: Option<Reported>,
    weights: Weights,
    weights_at: Option<Instant>,
    sent: u64,
    finished: u64,
    latency: Option<Latency>,
}

/// Whether a server may get a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It may.
    #[display("open")]
    Open,
    /// Its last connections failed; it may when no other server is open.
    #[display("failing")]
    Failing,
    /// It refused as overloaded a moment ago.
    #[display("overloaded")]
    Overloaded,
    /// It takes no new work.
    #[display("leaving")]
    Leaving,
}

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests of all senders in progress or waiting.
    pub load: u32,
    /// Whether it wants no new work.
    pub leaving: bool,
}

/// The weights that an engine says it has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Weights {
    /// The version of each model that is loaded whole.
    pub versions: BTreeMap<Name, Version>,
    /// A model whose weights are being replaced.
    pub swapping: Option<Name>,
}

/// The state of a server, for people.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it may get a request.
    pub availability: Availability,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Requests of this node in progress.
    pub in_progress: u32,
    /// Requests of all senders in progress.
    pub load: u32,
    /// The moving average of the time to a response, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests that this node has sent.
    pub sent: u64,
    /// The weights by the last report.
    pub weights: Weights,
}

/// A server that refused a request as leaving, as one node tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The pool.
    pub pool: Name,
    /// The server.
    pub server: Name,
    /// Where it listened.
    pub address: SocketAddr,
    /// How long ago it refused.
    pub age: Duration,
}

/// The counters at the time when a report was asked for.
#[derive(Clone, Copy, Debug)]
pub struct Mark {
    at: Instant,
    sent: u64,
    finished: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    report: Report,
    mark: Mark,
}

#[derive(Clone, Copy, Debug)]
struct Latency {
    seconds: f64,
    at: Instant,
}

impl Server {
    /// Makes the view of a server of which nothing is known yet.
    pub fn new(object: object::Server) -> Self {
        let mut key = [0; 8];
        key.copy_from_slice(&blake3::hash(object.name.as_bytes()).as_bytes()[..8]);
        Self {
            object,
            key: u64::from_le_bytes(key),
            listed_leaving: false,
            refused_leaving: None,
            overloaded: None,
            failures: 0,
            failed: None,
            report: None,
            weights: Weights::default(),
            weights_at: None,
            sent: 0,
            finished: 0,
            latency: None,
        }
    }

    /// Tells whether the server may get a request.
    pub fn availability(&self, now: Instant) -> Availability {
        let within = |at: Option<Instant>, hold| {
            at.is_some_and(|at| now.saturating_duration_since(at) < hold)
        };
        if self.object.state == object::ServerState::Leaving
            || self.listed_leaving
            || self.report.is_some_and(|it| it.report.leaving)
            || within(self.refused_leaving, LEAVING_HOLD)
        {
            Availability::Leaving
        } else if within(self.overloaded, OVERLOAD_HOLD) {
            Availability::Overloaded
        } else if within(self.failed, self.failure_hold()) {
            Availability::Failing
        } else {
            Availability::Open
        }
    }

    /// Returns the requests of this node in progress.
    pub fn in_progress(&self) -> u32 {
        u32::try_from(self.sent - self.finished).unwrap_or(u32::MAX)
    }

    /// Returns the requests of all senders in progress: those of the last report, and those that
    /// this node has sent since.
    pub fn load(&self, now: Instant) -> u32 {
        let own = self.in_progress();
        let Some(Reported { report, mark }) = self.report else {
            return own;
        };
        if now.saturating_duration_since(mark.at) > MAX_REPORT_AGE {
            return own;
        }
        let sent = u64::from(report.load) + (self.sent - mark.sent);
        let left = sent.saturating_sub(self.finished - mark.finished);
        u32::try_from(left).unwrap_or(u32::MAX).max(own)
    }

    /// Returns the moving average of the time to a response, in seconds, while it is recent.
    pub fn latency(&self, now: Instant) -> Option<f64> {
        self.latency
            .filter(|it| now.saturating_duration_since(it.at) < MAX_LATENCY_AGE)
            .map(|it| it.seconds)
    }

    /// Returns the state for people.
    pub fn summary(&self, now: Instant) -> Summary {
        Summary {
            name: self.object.name.clone(),
            zone: self.object.zone.clone(),
            availability: self.availability(now),
            slots: self.object.slots,
            in_progress: self.in_progress(),
            load: self.load(now),
            latency_ms: self.latency(now).map(|seconds| seconds * 1_000.0),
            sent: self.sent,
            weights: self.weights.clone(),
        }
    }

    /// Tells whether the weights of one of `models` are being replaced.
    pub fn is_swapping(&self, models: &[&str], now: Instant) -> bool {
        let swapping = self.weights.swapping.as_ref();
        swapping.is_some_and(|it| models.contains(&it.as_str())) && self.has_recent_weights(now)
    }

    /// Tells whether none of `models` is loaded, as after a swap that failed partway.
    pub fn is_missing(&self, models: &[&str], now: Instant) -> bool {
        let versions = &self.weights.versions;
        !models.is_empty()
            && !versions.keys().any(|it| models.contains(&it.as_str()))
            && self.has_recent_weights(now)
    }

    fn has_recent_weights(&self, now: Instant) -> bool {
        self.weights_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_REPORT_AGE)
    }

    /// Tells whether the last reported version of one of `models` is withdrawn. It holds until a
    /// newer report, however old it is.
    pub fn is_withdrawn(&self, models: &[&str], withdrawn: &BTreeSet<(Name, Version)>) -> bool {
        withdrawn.iter().any(|(model, version)| {
            models.contains(&model.as_str()) && self.weights.versions.get(model) == Some(version)
        })
    }

    /// Takes over the weights of a report that was asked for at `mark`, unless a later one has
    /// overtaken it.
    pub fn weights(&mut self, mark: Mark, weights: Weights) {
        if self.weights_at.is_none_or(|at| at <= mark.at) {
            self.weights = weights;
            self.weights_at = Some(mark.at);
        }
    }

    /// Takes over what the host list says.
    pub fn list(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Counts a request as sent.
    pub fn send(&mut self) {
        self.sent += 1;
    }

    /// Counts a request as finished.
    pub fn finish(&mut self) {
        self.finished = (self.finished + 1).min(self.sent);
    }

    /// Returns the counters, to be taken when a report is asked for.
    pub fn mark(&self, now: Instant) -> Mark {
        Mark {
            at: now,
            sent: self.sent,
            finished: self.finished,
        }
    }

    /// Takes over a report that was asked for at `mark`. A refusal that came after the mark is newer
    /// than the report and stays. A report that a later one has overtaken is dropped.
    pub fn report(&mut self, mark: Mark, report: Report) {
        if self.report.is_some_and(|it| it.mark.at > mark.at) {
            return;
        }
        self.report = Some(Reported { report, mark });
        self.failed = self.failed.filter(|at| *at > mark.at);
        if self.failed.is_none() {
            self.failures = 0;
        }
        self.overloaded = self.overloaded.filter(|at| *at > mark.at);
        self.refused_leaving = self.refused_leaving.filter(|at| *at > mark.at);
    }

    /// Takes note of how an attempt ended `elapsed` after it was sent.
    pub fn observe(&mut self, evidence: Evidence, elapsed: Duration, now: Instant) {
        match evidence {
            Evidence::Refused(Refusal::Leaving) => self.refused_leaving = Some(now),
            // An engine without the model is held back until the next report says more.
            Evidence::Refused(Refusal::Overloaded | Refusal::NotLoaded) => {
                self.overloaded = Some(now);
            }
            Evidence::NotSent | Evidence::NoResponse => self.fail(now),
            Evidence::TimedOut => self.measure(elapsed, now),
            Evidence::Foreign | Evidence::Cut => {}
            Evidence::Whole => {
                self.failures = 0;
                self.failed = None;
                self.measure(elapsed, now);
            }
        }
    }

    /// Returns how long ago the server refused as leaving, while that holds.
    pub fn refused_leaving(&self, now: Instant) -> Option<Duration> {
        self.refused_leaving
            .map(|at| now.saturating_duration_since(at))
            .filter(|age| *age < LEAVING_HOLD)
    }

    /// Takes note that the server refused another node at `at` as leaving; tells whether this is news. A
    /// report that was asked for later is newer and stays.
    pub fn refuse_leaving(&mut self, at: Instant, now: Instant) -> bool {
        let is_known = self.refused_leaving(now).is_some();
        if self.report.is_some_and(|it| it.mark.at >= at) {
            return false;
        }
        self.refused_leaving = self.refused_leaving.max(Some(at));
        !is_known && self.refused_leaving(now).is_some()
    }

    /// Takes note that the server can't be reached.
    pub fn fail(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failed = Some(now);
    }

    fn measure(&mut self, elapsed: Duration, now: Instant) {
        let seconds = elapsed.as_secs_f64();
        let seconds = self.latency(now).map_or(seconds, |before| {
            before + LATENCY_WEIGHT * (seconds - before)
        });
        self.latency = Some(Latency { seconds, at: now });
    }

    fn failure_hold(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(5);
        (FAILURE_HOLD * 2_u32.pow(doublings)).min(MAX_FAILURE_HOLD)
    }
}
