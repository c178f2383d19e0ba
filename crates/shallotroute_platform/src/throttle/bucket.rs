//! A token bucket with two priorities, and an exponential back-off. Callers pass in the time.

use std::time::{Duration, Instant};

/// The back-off after the first failure; each further failure doubles it.
const BACKOFF_MIN: Duration = Duration::from_millis(50);

/// The maximum back-off. It bounds the delay of lease renewals after an outage.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A token bucket in which callers of low priority leave tokens to waiting callers of high
/// priority.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// In tokens per second.
    rate: f64,
    /// The maximum of `tokens`.
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
    /// The number of waiting callers of high priority.
    urgent_waiters: usize,
}

impl Bucket {
    /// Creates a full bucket that gains `rate` tokens per second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
            urgent_waiters: 0,
        }
    }

    /// Changes the rate and the burst from `now` on. Tokens above the new burst are lost.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Registers a waiting caller of high priority, for which one token is reserved.
    pub fn add_urgent_waiter(&mut self) {
        self.urgent_waiters += 1;
    }

    /// Deregisters a caller of high priority that no longer waits.
    pub fn remove_urgent_waiter(&mut self) {
        self.urgent_waiters = self.urgent_waiters.saturating_sub(1);
    }

    /// Takes a token. Callers that are not `is_urgent` get only tokens that no waiting caller of
    /// high priority has reserved.
    ///
    /// # Errors
    ///
    /// Returns the time until a token becomes available if no other caller takes it.
    pub fn try_take(&mut self, is_urgent: bool, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let reserved = if is_urgent {
            0.0
        } else {
            self.urgent_waiters as f64
        };
        let missing = 1.0 + reserved - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(missing / self.rate))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// An exponential back-off with jitter.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    /// The number of consecutive failures.
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Records a success, which ends the back-off.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. `jitter`, in 0..1, spreads the nodes' next attempts over the second half
    /// of the back-off.
    pub fn record_failure(&mut self, jitter: f64, now: Instant) {
        let backoff = BACKOFF_MIN
            .saturating_mul(1 << self.failures.min(16))
            .min(BACKOFF_MAX);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + backoff.mul_f64(0.5 + jitter / 2.0));
    }

    /// Returns the time until calls may be made again; zero without a back-off.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
