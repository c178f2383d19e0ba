//! A token bucket with two priorities, and the backoff after failures; time is passed in.

use std::time::{Duration, Instant};

/// The first backoff after a failure; it doubles with each further one.
const BACKOFF_START: Duration = Duration::from_millis(50);

/// The longest backoff; bounds how late a lease is renewed after an outage.
const BACKOFF_END: Duration = Duration::from_secs(1);

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
    /// Callers of high priority that wait; others leave the tokens to them.
    urgent: usize,
}

impl Bucket {
    /// Makes a full bucket that gains `rate` tokens per second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: now,
            urgent: 0,
        }
    }

    /// Changes the rate and the burst.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Notes that a caller of high priority begins to wait.
    pub fn enter(&mut self) {
        self.urgent += 1;
    }

    /// Notes that a caller of high priority no longer waits.
    pub fn leave(&mut self) {
        self.urgent = self.urgent.saturating_sub(1);
    }

    /// Takes a token, or returns the time after which another attempt makes sense.
    ///
    /// # Errors
    ///
    /// The time to wait.
    pub fn take(&mut self, urgent: bool, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        let reserved = if urgent { 0.0 } else { self.urgent as f64 };
        let missing = 1.0 + reserved - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(missing / self.rate))
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.filled = self.filled.max(now);
    }
}

/// Exponential backoff with jitter.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Notes a success, which ends the backoff.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; `jitter` in 0..1 spreads the nodes' next attempts over the second half of the
    /// backoff.
    pub fn fail(&mut self, jitter: f64, now: Instant) {
        let full = BACKOFF_START
            .saturating_mul(1 << self.failures.min(16))
            .min(BACKOFF_END);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + full.mul_f64(0.5 + jitter / 2.0));
    }

    /// Returns how long calls have to wait.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
