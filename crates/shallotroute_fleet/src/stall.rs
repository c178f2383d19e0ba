//! When an event stream counts as stalled.
//!
//! Answers two loads at once: a server that sends a byte now and then but never a whole event, which
//! must not hold its caller until the deadline, and a server that is slow but sound, whose stream must
//! not be cut. Only whole events count, and a stream that has paused before may pause as long again.

use std::time::{Duration, Instant};

/// The shortest time without an event after which a stream counts as stalled.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout in multiples of the route's target latency. Callers wait twice as long.
const TARGET_FACTOR: u32 = 2;

/// The timeout in multiples of the longest time between two events of the stream so far.
const GAP_FACTOR: u32 = 3;

/// Watches the events of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    timeout: Duration,
    last_event_at: Instant,
    has_event: bool,
}

impl Watchdog {
    /// Starts to watch a stream of a route with this target latency.
    pub fn new(target_latency: Duration, now: Instant) -> Self {
        Self {
            timeout: MIN_TIMEOUT.max(target_latency * TARGET_FACTOR),
            last_event_at: now,
            has_event: false,
        }
    }

    /// Records a whole event.
    pub fn record_event(&mut self, now: Instant) {
        if self.has_event {
            let gap = now.saturating_duration_since(self.last_event_at);
            self.timeout = self.timeout.max(gap * GAP_FACTOR);
        }
        self.has_event = true;
        self.last_event_at = now;
    }

    /// Returns when the stream counts as stalled if no event comes before.
    pub fn deadline(&self) -> Instant {
        self.last_event_at + self.timeout
    }
}
