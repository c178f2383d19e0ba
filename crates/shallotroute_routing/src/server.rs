//! The state of one backend server as a node sees it.

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

/// How long a server that refused as leaving gets no work, unless a newer report of it contradicts. It
/// outlasts the lag of the host list, which names the server as leaving by then.
const LEAVING_REFUSAL_TTL: Duration = Duration::from_secs(60);

/// How long a server that refused as overloaded gets no work. Slots become free within a few token times;
/// with a longer delay, interactive requests would be refused that the server would accept.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The first back-off after a failed connection, during which a server gets no work while others can be
/// reached.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// The longest back-off after repeated failures.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The age beyond which the load and the weights of a report are ignored, except for withdrawn versions.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The age from which a measured latency is ignored, so that a server that was slow gets work again.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(10);

/// The weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// A backend server as this node sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's object in the configuration.
    pub object: object::Server,
    /// The hash of the server's name, for rendezvous hashing.
    pub(crate) name_hash: u64,
    /// Whether the host list names the server as leaving.
    is_listed_leaving: bool,
    /// When the server last refused a request as leaving, of this node or another one.
    refused_leaving_at: Option<Instant>,
    overloaded_at: Option<Instant>,
    /// The number of consecutive failures to reach the server.
    failures: u32,
    failed_at: Option<Instant>,
    report: Option<TimedReport>,
    weights: Weights,
    weights_at: Option<Instant>,
    sent: u64,
    finished: u64,
    mean_latency: Option<Latency>,
}

/// Whether a server may get a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// The server may get requests.
    #[display("open")]
    Open,
    /// The last connections failed; the server gets requests only when no other one is open.
    #[display("failing")]
    Failing,
    /// The server refused a request as overloaded a moment ago.
    #[display("overloaded")]
    Overloaded,
    /// The server takes no new work.
    #[display("leaving")]
    Leaving,
}

/// A server's report on its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The number of requests of all senders, in progress or waiting.
    pub load: u32,
    /// Whether the server takes no new work.
    pub is_leaving: bool,
}

/// An engine's report on its weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Weights {
    /// The version of each model that is completely loaded.
    pub versions: BTreeMap<Name, Version>,
    /// The model whose weights are being replaced, if any.
    pub swapping: Option<Name>,
}

/// A summary of a server's state for the dump that operators read.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The server's name.
    pub name: Name,
    /// The server's availability zone.
    pub zone: Name,
    /// Whether the server may get a request.
    pub availability: Availability,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The number of requests of this node in progress.
    pub in_progress: u32,
    /// The number of requests of all senders in progress.
    pub load: u32,
    /// The moving average of the time to a response, in milliseconds; `None` when it is not recent.
    pub latency_ms: Option<f64>,
    /// The number of requests that this node has sent to it.
    pub sent: u64,
    /// The weights by the last report.
    pub weights: Weights,
}

/// A message between nodes: a server refused a request as leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The pool that the server belongs to.
    pub pool: Name,
    /// The server that refused.
    pub server: Name,
    /// The address at which it refused; a server of the same name elsewhere is a new one.
    pub address: SocketAddr,
    /// How long ago it refused.
    pub age: Duration,
}

/// A server's request counters at the time when a report was requested from it.
#[derive(Clone, Copy, Debug)]
pub struct Counters {
    at: Instant,
    sent: u64,
    finished: u64,
}

/// A report with the counters at the time when it was requested.
#[derive(Clone, Copy, Debug)]
struct TimedReport {
    report: Report,
    counters: Counters,
}

#[derive(Clone, Copy, Debug)]
struct Latency {
    seconds: f64,
    at: Instant,
}

impl Server {
    /// Creates the state of a server of which nothing is known yet.
    pub fn new(object: object::Server) -> Self {
        let mut name_hash = [0; 8];
        name_hash.copy_from_slice(&blake3::hash(object.name.as_bytes()).as_bytes()[..8]);
        Self {
            object,
            name_hash: u64::from_le_bytes(name_hash),
            is_listed_leaving: false,
            refused_leaving_at: None,
            overloaded_at: None,
            failures: 0,
            failed_at: None,
            report: None,
            weights: Weights::default(),
            weights_at: None,
            sent: 0,
            finished: 0,
            mean_latency: None,
        }
    }

    /// Returns whether the server may get a request.
    pub fn availability(&self, now: Instant) -> Availability {
        let is_within = |at: Option<Instant>, period| {
            at.is_some_and(|at| now.saturating_duration_since(at) < period)
        };
        if self.object.state == object::ServerState::Leaving
            || self.is_listed_leaving
            || self.report.is_some_and(|it| it.report.is_leaving)
            || is_within(self.refused_leaving_at, LEAVING_REFUSAL_TTL)
        {
            Availability::Leaving
        } else if is_within(self.overloaded_at, OVERLOAD_RETRY_DELAY) {
            Availability::Overloaded
        } else if is_within(self.failed_at, self.backoff()) {
            Availability::Failing
        } else {
            Availability::Open
        }
    }

    /// Returns the number of requests of this node in progress.
    pub fn in_progress(&self) -> u32 {
        u32::try_from(self.sent - self.finished).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests of all senders in progress: the load of the last report, corrected
    /// by the requests that this node has sent and finished since.
    pub fn load(&self, now: Instant) -> u32 {
        let own = self.in_progress();
        let Some(TimedReport { report, counters }) = self.report else {
            return own;
        };
        if now.saturating_duration_since(counters.at) > MAX_REPORT_AGE {
            return own;
        }
        let total = u64::from(report.load) + (self.sent - counters.sent);
        let remaining = total.saturating_sub(self.finished - counters.finished);
        u32::try_from(remaining).unwrap_or(u32::MAX).max(own)
    }

    /// Returns the moving average of the time to a response, in seconds; `None` when it is not recent.
    pub fn latency(&self, now: Instant) -> Option<f64> {
        self.mean_latency
            .filter(|it| now.saturating_duration_since(it.at) < MAX_LATENCY_AGE)
            .map(|it| it.seconds)
    }

    /// Returns the summary for the dump.
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

    /// Returns whether the weights of one of `models` are being replaced, by a recent report.
    pub fn is_swapping(&self, models: &[&str], now: Instant) -> bool {
        let swapping = self.weights.swapping.as_ref();
        swapping.is_some_and(|it| models.contains(&it.as_str())) && self.has_recent_weights(now)
    }

    /// Returns whether none of `models` is loaded by a recent report, which happens after a swap that
    /// failed partway.
    pub fn is_missing_models(&self, models: &[&str], now: Instant) -> bool {
        let versions = &self.weights.versions;
        !models.is_empty()
            && !versions.keys().any(|it| models.contains(&it.as_str()))
            && self.has_recent_weights(now)
    }

    fn has_recent_weights(&self, now: Instant) -> bool {
        self.weights_at
            .is_some_and(|at| now.saturating_duration_since(at) <= MAX_REPORT_AGE)
    }

    /// Returns whether the last reported version of one of `models` is withdrawn. The report counts
    /// however old it is, until a newer one replaces it.
    pub fn has_withdrawn_version(
        &self,
        models: &[&str],
        withdrawn: &BTreeSet<(Name, Version)>,
    ) -> bool {
        withdrawn.iter().any(|(model, version)| {
            models.contains(&model.as_str()) && self.weights.versions.get(model) == Some(version)
        })
    }

    /// Applies the weights of a report that was requested when the server had these counters. A report
    /// that was requested before the last applied one is ignored.
    pub fn apply_weights(&mut self, counters: Counters, weights: Weights) {
        if self.weights_at.is_none_or(|at| at <= counters.at) {
            self.weights = weights;
            self.weights_at = Some(counters.at);
        }
    }

    /// Sets whether the host list names the server as leaving.
    pub fn set_listed_leaving(&mut self, is_leaving: bool) {
        self.is_listed_leaving = is_leaving;
    }

    /// Counts a request as sent.
    pub fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Counts a request as finished.
    pub fn record_finish(&mut self) {
        self.finished = (self.finished + 1).min(self.sent);
    }

    /// Returns the request counters, to be read when a report is requested.
    pub fn counters(&self, now: Instant) -> Counters {
        Counters {
            at: now,
            sent: self.sent,
            finished: self.finished,
        }
    }

    /// Applies a report that was requested when the server had these counters. A refusal or failure after
    /// that is newer than the report and stays. A report that was requested before the last applied one is
    /// ignored.
    pub fn apply_report(&mut self, counters: Counters, report: Report) {
        if self.report.is_some_and(|it| it.counters.at > counters.at) {
            return;
        }
        self.report = Some(TimedReport { report, counters });
        self.failed_at = self.failed_at.filter(|at| *at > counters.at);
        if self.failed_at.is_none() {
            self.failures = 0;
        }
        self.overloaded_at = self.overloaded_at.filter(|at| *at > counters.at);
        self.refused_leaving_at = self.refused_leaving_at.filter(|at| *at > counters.at);
    }

    /// Records how an attempt ended `elapsed` after it was sent.
    pub fn record_attempt(&mut self, evidence: Evidence, elapsed: Duration, now: Instant) {
        match evidence {
            Evidence::Refused(Refusal::Leaving) => self.refused_leaving_at = Some(now),
            // An engine without the model gets no work for the same delay; the next report tells more.
            Evidence::Refused(Refusal::Overloaded | Refusal::NotLoaded) => {
                self.overloaded_at = Some(now);
            }
            Evidence::NotSent | Evidence::NoResponse => self.record_failure(now),
            Evidence::TimedOut => self.record_latency(elapsed, now),
            Evidence::Foreign | Evidence::Truncated => {}
            Evidence::Complete => {
                self.failures = 0;
                self.failed_at = None;
                self.record_latency(elapsed, now);
            }
        }
    }

    /// Returns the age of the last refusal as leaving, while it is in effect.
    pub fn leaving_refusal_age(&self, now: Instant) -> Option<Duration> {
        self.refused_leaving_at
            .map(|at| now.saturating_duration_since(at))
            .filter(|age| *age < LEAVING_REFUSAL_TTL)
    }

    /// Records that the server refused another node at `at` as leaving. A report that was requested later
    /// takes precedence. Returns whether the server was not known to be leaving and now is.
    pub fn record_peer_refusal(&mut self, at: Instant, now: Instant) -> bool {
        let is_known = self.leaving_refusal_age(now).is_some();
        if self.report.is_some_and(|it| it.counters.at >= at) {
            return false;
        }
        self.refused_leaving_at = self.refused_leaving_at.max(Some(at));
        !is_known && self.leaving_refusal_age(now).is_some()
    }

    /// Records a failure to reach the server.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(now);
    }

    fn record_latency(&mut self, elapsed: Duration, now: Instant) {
        let seconds = elapsed.as_secs_f64();
        let seconds = self.latency(now).map_or(seconds, |before| {
            before + LATENCY_WEIGHT * (seconds - before)
        });
        self.mean_latency = Some(Latency { seconds, at: now });
    }

    fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(5);
        (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX)
    }
}
