//! The clock interface, through which tests replace the system's time by their own.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time, for deadlines and durations. It stands still while the host is
    /// suspended.
    fn now(&self) -> Instant;

    /// Returns the time since the boot of the host, including its suspensions, for the age of what other
    /// hosts may have changed meanwhile.
    fn boot_time(&self) -> Duration;

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

    fn boot_time(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::try_from(time).unwrap_or_default()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
