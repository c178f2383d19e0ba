//! This node's share of a caller's limit.

use std::time::{Duration, Instant};

use shallotroute_config::object::Limit;

/// When a request that found too many of its caller's requests in progress may come again.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(500);

/// The longest time that a caller is told to wait.
const MAX_RETRY: Duration = Duration::from_secs(3600);

/// Added to a wait so that the request that comes again after it finds its token whole.
const ROUNDING: Duration = Duration::from_micros(1);

/// Requests of one caller, as a token bucket and a count.
#[derive(Clone, Debug)]
pub struct Meter {
    tokens: f64,
    at: Instant,
    in_progress: u32,
}

impl Meter {
    /// Makes a meter with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: f64::INFINITY,
            at: now,
            in_progress: 0,
        }
    }

    /// Counts a request that the node's `share` of the limit, 0.0 to 1.0, allows.
    ///
    /// # Errors
    ///
    /// The limit is reached; the request may come again after the time given.
    pub fn enter(&mut self, limit: &Limit, share: f64, now: Instant) -> Result<(), Duration> {
        let rate = limit.requests_per_second * share;
        // A share below one request would refuse everything.
        let burst = (f64::from(limit.burst) * share).max(1.0);
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.at = now;
        let concurrency = limit
            .concurrency
            .map(|most| (f64::from(most) * share).max(1.0));
        if concurrency.is_some_and(|most| f64::from(self.in_progress) + 1.0 > most) {
            return Err(CONCURRENCY_RETRY);
        }
        if self.tokens < 1.0 {
            let wait = Duration::try_from_secs_f64((1.0 - self.tokens) / rate);
            return Err(wait.map_or(MAX_RETRY, |wait| (wait + ROUNDING).min(MAX_RETRY)));
        }
        self.tokens -= 1.0;
        self.in_progress += 1;
        Ok(())
    }

    /// Returns how many requests are in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Counts a request as ended.
    pub fn leave(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}
