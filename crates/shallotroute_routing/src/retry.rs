//! Decides whether a request is retried after a failed attempt.

use std::time::Duration;

use shallotroute_types::outcome::Outcome;

use crate::outcome::{Evidence, Refusal};

/// A retry budget: a token bucket that is filled by requests and emptied by retries, so that retries stay a
/// fixed share of the recent requests.
#[derive(Clone, Debug)]
pub struct Budget {
    retries_per_request: f64,
    available: f64,
}

impl Budget {
    /// The default number of retries per request.
    pub const RETRIES_PER_REQUEST: f64 = 0.1;

    /// The number of retries that are available before a pool has had any requests, so that the first
    /// failure after a start can be retried.
    const INITIAL_RETRIES: f64 = 10.0;

    /// The maximum number of saved retries. It bounds a burst of retries after a long time without
    /// failures.
    const MAX_SAVED_RETRIES: f64 = 100.0;

    /// Creates a budget of `retries_per_request`, 0.0 to 1.0.
    pub fn new(retries_per_request: f64) -> Self {
        Self {
            retries_per_request,
            available: Self::INITIAL_RETRIES,
        }
    }

    /// Counts a request of a caller, which adds its share of a retry.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.retries_per_request).min(Self::MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        let is_granted = self.available >= 1.0;
        if is_granted {
            self.available -= 1.0;
        }
        is_granted
    }
}

/// A failed attempt, and its request's state after it.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// How the attempt ended, as seen on the wire.
    pub evidence: Evidence,
    /// Whether the request may run twice.
    pub is_idempotent: bool,
    /// Whether a byte of a response has been sent to the caller.
    pub has_response_started: bool,
    /// The time until the request's deadline.
    pub time_left: Duration,
}

/// The time to the deadline below which another attempt is not worth its load.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Returns whether the request should be retried at another server. A retry is taken out of `budget`,
/// except after a refusal as leaving.
pub fn should_retry(attempt: &FailedAttempt, budget: &mut Budget) -> bool {
    if attempt.has_response_started || attempt.time_left < MIN_TIME_LEFT {
        return false;
    }
    let is_safe = match attempt.evidence.outcome() {
        Outcome::NotRun => true,
        Outcome::Unknown => attempt.is_idempotent,
        Outcome::Ran => false,
    };
    match attempt.evidence {
        // A leaving server has done no work for the request, so a retry adds no load. Without this
        // exception, a rolling restart of half a pool would use up the budget.
        Evidence::Refused(Refusal::Leaving) => is_safe,
        _ => is_safe && budget.try_withdraw(),
    }
}
