//! Whether a request is sent once more after a failed attempt.

use std::time::Duration;

use shallotroute_types::outcome::Outcome;

use crate::outcome::{Evidence, Refusal};

/// A share of recent requests that may be sent once more.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// The default share of recent requests.
    pub const SHARE: f64 = 0.1;

    /// Retries that a pool may make before it has had any requests, so that the first failure after
    /// a start can be retried.
    const RESERVE: f64 = 10.0;

    /// The most retries that can be saved up. It bounds a burst of retries after a long time without
    /// failures.
    const CAPACITY: f64 = 100.0;

    /// Makes a budget of `share` retries per request, 0.0 to 1.0.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: Self::RESERVE,
        }
    }

    /// Counts a request of a caller.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(Self::CAPACITY);
    }

    /// Takes one retry; tells whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How it ended.
    pub evidence: Evidence,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether a byte of a response has been sent to the caller.
    pub answered: bool,
    /// The time until the request's deadline.
    pub left: Duration,
}

/// The least time that is worth another attempt.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// Tells whether the request may be sent once more, to another server, and takes the retry from the
/// budget.
pub fn allow(attempt: &Attempt, budget: &mut Budget) -> bool {
    if attempt.answered || attempt.left < MIN_LEFT {
        return false;
    }
    let safe = match attempt.evidence.outcome() {
        Outcome::NotRun => true,
        Outcome::Unknown => attempt.idempotent,
        Outcome::Ran => false,
    };
    match attempt.evidence {
        // A leaving server has done no work for the request, so a retry adds no load. Without this
        // exception a rolling restart of half a pool would use the budget up.
        Evidence::Refused(Refusal::Leaving) => safe,
        _ => safe && budget.withdraw(),
    }
}
