//! How fresh a node's configuration provably is, and when the node fetches a proof itself.
//!
//! Answers the load that strict revocation makes at the store: only nodes that watch it confirm their
//! configuration there, about once a second; the others get the proofs of their sources. A node whose
//! sources have no proof fetches its own, at a random time and with growing delays, so that hundreds of
//! nodes that lost the store together do not call it together when it returns.
//!
//! All times are since the boot of the host, which includes its suspensions.

use std::time::Duration;

/// The age from which a node asks to be taken out of rotation, as a fraction of the bound. The load
/// balancer needs two failed probes, which it makes every second.
const LEAVING: f64 = 0.6;

/// The age from which a node serves no requests with keys, as a fraction of the bound. The clocks of two
/// hosts run apart by at most 0.05 %.
const STALE: f64 = 0.99;

/// The interval between two proofs from the store, as a fraction of the bound.
const INTERVAL: f64 = 0.2;

/// The shortest interval between two proofs from the store, which bounds the calls under a tiny bound.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// The longest interval between two proofs from the store.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The fraction of the interval by which proofs of different nodes are spread.
const INTERVAL_SPREAD: f64 = 0.2;

/// The age at which a node fetches a proof because its source has none, as a fraction of the bound. Along
/// three sources the age stays below 0.3 of 5 s.
const SEEK: f64 = 0.4;

/// The range over which nodes whose source answers without a proof spread their calls, as a fraction of the
/// bound. A node calls before it leaves the rotation.
const UNPROVEN_SPREAD: f64 = 0.1;

/// The same for nodes whose sources pass on proofs and have none now, most likely because the store is
/// away. Their first calls take up to half the bound, in which the store has room for all of 1,700 nodes.
const FOLLOWING_SPREAD: f64 = 0.5;

/// The delay after a failed call of a node that watches the store, as a fraction of the interval. At most
/// three nodes of an availability zone watch it.
const WATCHING_RETRY: f64 = 0.25;

/// The longest delay after failed calls of other nodes, before jitter, as a fraction of the bound.
const MAX_RETRY: f64 = 0.8;

/// The shortest time after which a rejected caller is to try again; it reaches another node then.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest time after which a rejected caller is to try again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Whether a node may decide about keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The node's configuration is provably fresh enough.
    Fresh,
    /// The same, but it will not be soon unless the node gets a new proof.
    Leaving,
    /// A change of the configuration may have been missed for longer than the bound.
    Stale {
        /// When a rejected caller should try again.
        retry_after: Duration,
    },
}

impl Standing {
    /// Returns the name of the state for logs, metrics and the dump.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Leaving => "leaving",
            Self::Stale { .. } => "stale",
        }
    }
}

/// A source's proof, as its response reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passed {
    /// The age of the source's proof at the time of its response.
    pub age: Duration,
    /// How long the source held the request.
    pub held: Duration,
}

/// As of when a node's copy of the configuration is proven to be complete.
#[derive(Clone, Debug)]
pub struct Chain {
    bound: Duration,
    confirmed_at: Option<Duration>,
}

impl Chain {
    /// Creates a chain without a proof. `bound` is how long after its removal a key may still work.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed_at: None,
        }
    }

    /// Records that the store has answered a read or a watch of the whole configuration that was sent at
    /// `sent_at`, after its answer has been applied. Returns whether this is newer than the last proof.
    pub fn confirm(&mut self, sent_at: Duration) -> bool {
        let is_newer = self.confirmed_at.is_none_or(|last| last < sent_at);
        if is_newer {
            self.confirmed_at = Some(sent_at);
        }
        is_newer
    }

    /// Records the proof in a source's response to a request that was sent at `sent_at`, after the response
    /// has been applied. Returns whether it is newer than the last proof.
    ///
    /// The source responded at `sent_at + held` at the earliest, so that the transit of the request and of
    /// the response counts towards the age. A proof that returns to the node that it came from is therefore
    /// never newer than the original.
    pub fn confirm_from_source(
        &mut self,
        sent_at: Duration,
        passed: Passed,
        now: Duration,
    ) -> bool {
        let responded_at = sent_at.saturating_add(passed.held).min(now);
        responded_at
            .checked_sub(passed.age)
            .is_some_and(|confirmed_at| self.confirm(confirmed_at))
    }

    /// Returns as of when the copy is complete; `None` without a proof.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Returns the age of the proof; `None` without one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the node may decide about keys.
    pub fn standing(&self, now: Duration) -> Standing {
        let stale_age = self.bound.mul_f64(STALE);
        match self.age(now) {
            Some(age) if age < self.bound.mul_f64(LEAVING) => Standing::Fresh,
            Some(age) if age < stale_age => Standing::Leaving,
            Some(age) => Standing::Stale {
                // The longer there has been no proof, the longer it will probably take.
                retry_after: ((age - stale_age) / 2).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            },
            None => Standing::Stale {
                retry_after: MIN_RETRY_AFTER,
            },
        }
    }

    /// Returns whether a response to a follower is due before there is a change, because this node's proof
    /// is much newer than the follower's. `follower_age` is the age of the follower's proof when it sent its
    /// request, which has been held for `held`.
    ///
    /// Without such responses each source on the way would add the time for which it holds requests.
    pub fn is_worth_passing(
        &self,
        follower_age: Option<Duration>,
        held: Duration,
        now: Duration,
    ) -> bool {
        let Some(age) = self.age(now).filter(|age| *age < self.bound) else {
            return false;
        };
        follower_age.is_none_or(|follower_age| {
            follower_age.saturating_add(held) >= age + interval(self.bound) / 2
        })
    }
}

/// How a node gets proofs without fetching them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// It watches the store itself and has to fetch all proofs.
    Watching,
    /// Its source answers calls, but gives no proofs (a former build).
    Unproven,
    /// Its sources pass on their proofs, or it has no source at present.
    Following,
}

/// Decides when a node fetches its next proof from the store.
#[derive(Clone, Debug)]
pub struct Fetcher {
    bound: Duration,
    /// Since when the node has needed proofs. Before it, proofs were no more frequent than watches ended.
    active_since: Duration,
    /// Before this time a failed call is not repeated.
    not_before: Duration,
    /// The number of calls that have failed since the last success.
    failures: u32,
    /// A random number in `0.0..1.0`, by which the calls of different nodes are spread.
    uniform: f64,
}

impl Fetcher {
    /// Creates the fetcher of a node that needs proofs from `now` on. `uniform` is a random number in
    /// `0.0..1.0`.
    pub fn new(bound: Duration, now: Duration, uniform: f64) -> Self {
        Self {
            bound,
            active_since: now,
            not_before: now,
            failures: 0,
            uniform,
        }
    }

    /// Returns when the next proof is to be fetched.
    ///
    /// Nodes that need proofs from the same moment on, because of a new configuration, wait for those of their
    /// sources first.
    pub fn due_at(&self, confirmed_at: Option<Duration>, path: Path) -> Duration {
        let interval = interval(self.bound);
        let confirmed_at = confirmed_at.filter(|at| *at >= self.active_since);
        let due_at = match (path, confirmed_at) {
            (Path::Watching, None) => self.active_since,
            (Path::Watching, Some(at)) => {
                at + interval.mul_f64(1.0 - INTERVAL_SPREAD * self.uniform)
            }
            (Path::Unproven, None) => self.active_since + interval.mul_f64(self.uniform),
            (Path::Unproven, Some(at)) => {
                at + self.bound.mul_f64(SEEK + UNPROVEN_SPREAD * self.uniform)
            }
            (Path::Following, at) => {
                let age = self.bound.mul_f64(SEEK + FOLLOWING_SPREAD * self.uniform);
                at.unwrap_or(self.active_since) + age
            }
        };
        due_at.max(self.not_before)
    }

    /// Records that a call succeeded. `uniform` is a new random number in `0.0..1.0`.
    pub fn record_success(&mut self, uniform: f64) {
        self.failures = 0;
        self.not_before = Duration::ZERO;
        self.uniform = uniform;
    }

    /// Records that a call failed at `now`. `uniform` is a new random number in `0.0..1.0`.
    pub fn record_failure(&mut self, path: Path, now: Duration, uniform: f64) {
        let interval = interval(self.bound);
        let delay = match path {
            Path::Watching => interval.mul_f64(WATCHING_RETRY),
            Path::Unproven | Path::Following => interval
                .saturating_mul(2 << self.failures.min(8))
                .min(self.bound.mul_f64(MAX_RETRY)),
        };
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + delay.mul_f64(1.0 + uniform);
        self.uniform = uniform;
    }
}

fn interval(bound: Duration) -> Duration {
    bound.mul_f64(INTERVAL).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
