//! Enforces this node's share of a caller's limit: a token bucket for the request rate, and a count for the
//! concurrency.

use std::time::{Duration, Instant};

use shallotroute_config::object::Limit;

/// The retry delay that a caller gets when too many of its requests are in progress.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The longest retry delay that a caller gets.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// Added to each retry delay, so that rounding does not leave the token a fraction short when the caller
/// retries.
const ROUNDING_MARGIN: Duration = Duration::from_micros(1);

/// The limiter of one caller's requests at this node.
#[derive(Clone, Debug)]
pub struct Limiter {
    tokens: f64,
    refilled_at: Instant,
    in_progress: u32,
}

impl Limiter {
    /// Creates a limiter with a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: f64::INFINITY,
            refilled_at: now,
            in_progress: 0,
        }
    }

    /// Counts a request as started if this node's `share` of the limit, 0.0 to 1.0, allows it. Each
    /// success must be followed by one [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Returns the delay after which the request may be retried when the share is used up.
    pub fn acquire(&mut self, limit: &Limit, share: f64, now: Instant) -> Result<(), Duration> {
        let rate = limit.requests_per_second * share;
        // With a bucket smaller than one token, no request would ever pass.
        let burst = (f64::from(limit.burst) * share).max(1.0);
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.refilled_at = now;
        let concurrency = limit
            .concurrency
            .map(|total| (f64::from(total) * share).max(1.0));
        if concurrency.is_some_and(|allowed| f64::from(self.in_progress) + 1.0 > allowed) {
            return Err(CONCURRENCY_RETRY_AFTER);
        }
        if self.tokens < 1.0 {
            let delay = Duration::try_from_secs_f64((1.0 - self.tokens) / rate);
            return Err(delay.map_or(MAX_RETRY_AFTER, |delay| {
                (delay + ROUNDING_MARGIN).min(MAX_RETRY_AFTER)
            }));
        }
        self.tokens -= 1.0;
        self.in_progress += 1;
        Ok(())
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Counts a request as ended.
    pub fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}
