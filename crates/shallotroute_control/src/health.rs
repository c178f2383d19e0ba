//! Logs when an outside service stops serving calls and when it serves them again.

use std::{
    fmt::Debug,
    sync::atomic::{AtomicBool, Ordering},
};

/// Whether the last call to a service failed.
pub(crate) struct Health {
    service: &'static str,
    failing: AtomicBool,
}

impl Health {
    pub(crate) fn new(service: &'static str) -> Self {
        Self {
            service,
            failing: AtomicBool::new(false),
        }
    }

    /// Notes a call's result. Only a change is a warning, because calls are repeated several times
    /// a second during an outage.
    pub(crate) fn note<T, E: Debug>(&self, result: &Result<T, E>) {
        let failing = result.is_err();
        let failed = self.failing.swap(failing, Ordering::Relaxed);
        match result {
            Err(error) if !failed => spdlog::warn!("{} does not answer: {:?}", self.service, error),
            Err(error) => spdlog::debug!("{} still does not answer: {:?}", self.service, error),
            Ok(_) if failed => spdlog::info!("{} answers again", self.service),
            Ok(_) => {}
        }
    }
}
