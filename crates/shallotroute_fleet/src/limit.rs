//! The rate of requests that a backend server in need has named in its answers. It holds for as long as
//! the server names it, and is the sum over all nodes.

use std::time::{Duration, Instant};

use shallotroute_types::name::Name;

/// A number of requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// What a response says about the limit of the server that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The server takes this rate from all nodes together.
    Limited(Rate),
    /// The server names no limit, or no longer.
    Unlimited,
    /// The response may come from another server, or is malformed.
    Silent,
}

/// What a node has seen of the limit of a server's process.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The server.
    pub server: Name,
    /// The Unix time of the start of the server's process, in milliseconds.
    pub born: u64,
    /// The rate that the last answer named; `None` if it named none.
    pub rate: Option<Rate>,
    /// The time since that answer.
    pub age: Duration,
}

/// The limit of one server as a node knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    rate: Rate,
    observed_at: Instant,
}

impl Rate {
    /// Creates a rate; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Known {
    /// Creates the knowledge of a limit that an answer has named at `now`.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            observed_at: now,
        }
    }

    /// Returns the rate that was named last.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Records that an answer has named the limit. Returns whether the rate is another one.
    pub fn observe(&mut self, rate: Rate, now: Instant) -> bool {
        self.observed_at = now;
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
