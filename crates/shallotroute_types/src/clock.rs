//! The clock interface.

use std::time::{Instant, SystemTime};

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time, for deadlines and durations.
    fn now(&self) -> Instant;

    /// Returns the calendar time, for records that people read.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
