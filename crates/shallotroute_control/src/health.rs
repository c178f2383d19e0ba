//! Logs when an external service becomes unavailable and when it is available again.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicBool, Ordering},
};

/// The health of an external service: whether the last call to it failed.
pub(crate) struct Health {
    service: &'static str,
    is_failing: AtomicBool,
}

impl Health {
    pub(crate) fn new(service: &'static str) -> Self {
        Self {
            service,
            is_failing: AtomicBool::new(false),
        }
    }

    /// Records the result of a call and logs a change. Further failures are logged at debug level
    /// only, because calls are repeated several times a second during an outage.
    pub(crate) fn log_change<T, E: Debug>(&self, result: &Result<T, E>) {
        let is_failing = result.is_err();
        let was_failing = self.is_failing.swap(is_failing, Ordering::Relaxed);
        match result {
            Err(error) if !was_failing => {
                spdlog::warn!("{} is unavailable: {:?}", self.service, error)
            }
            Err(error) => spdlog::debug!("{} is still unavailable: {:?}", self.service, error),
            Ok(_) if was_failing => spdlog::info!("{} is available again", self.service),
            Ok(_) => {}
        }
    }
}
