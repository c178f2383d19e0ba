//! The clock interface, through which tests replace the system's time by their own.

use std::time::{Instant, SystemTime};

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time, for deadlines and durations.
    fn now(&self) -> Instant;

    /// Returns the calendar time, for timestamps in records; it may jump in either direction.
    fn wall_time(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
