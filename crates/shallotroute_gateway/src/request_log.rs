//! Records how requests end: metrics of all requests, and log entries of the latest ones with the servers
//! that were chosen.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use serde::Serialize;
use shallotroute_routing::{outcome::Evidence, pool::Choice, selection::Reason};
use shallotroute_types::{class::Class, clock::Clock, name::Name, outcome::Outcome};

use crate::metrics::Metrics;

/// The number of finished requests that the log holds.
const MAX_ENTRIES: usize = 256;

/// The metrics of all requests and the entries of the latest ones.
pub(crate) struct RequestLog {
    pub(crate) metrics: Metrics,
    clock: Arc<dyn Clock>,
    entries: Mutex<VecDeque<Entry>>,
}

/// The entry of one request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    id: Arc<str>,
    caller: Name,
    class: Class,
    route: Option<Name>,
    attempts: Vec<Attempt>,
    outcome: Outcome,
    code: Option<&'static str>,
    elapsed_ms: f64,
}

/// An attempt at a request, with the reason why the server was chosen.
#[derive(Clone, Debug, Serialize)]
struct Attempt {
    server: Name,
    reason: Reason,
    candidates: usize,
    load: u32,
    evidence: Option<String>,
}

/// A request in progress. Dropping it adds its entry to the log.
pub(crate) struct Progress {
    log: Arc<RequestLog>,
    started_at: Instant,
    entry: Mutex<Entry>,
    interrupted: AtomicBool,
}

impl RequestLog {
    pub(crate) fn new(metrics: Metrics, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            metrics,
            clock,
            entries: Mutex::default(),
        })
    }

    /// Records the start of an authenticated caller's request.
    pub(crate) fn start(
        self: &Arc<Self>,
        id: &Arc<str>,
        caller: &Name,
        class: Class,
        started_at: Instant,
    ) -> Arc<Progress> {
        self.metrics.record_start(class);
        Arc::new(Progress {
            log: Arc::clone(self),
            started_at,
            interrupted: AtomicBool::new(false),
            entry: Mutex::new(Entry {
                id: Arc::clone(id),
                caller: caller.clone(),
                class,
                route: None,
                attempts: Vec::new(),
                // Stays in place when the caller disconnects before the request has ended.
                outcome: Outcome::Unknown,
                code: None,
                elapsed_ms: 0.0,
            }),
        })
    }

    /// Returns the entries of the latest finished requests, oldest first.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.iter().cloned().collect()
    }
}

impl Progress {
    pub(crate) fn set_route(&self, route: &Name) {
        self.entry().route = Some(route.clone());
    }

    pub(crate) fn add_attempt(&self, choice: &Choice) {
        self.entry().attempts.push(Attempt {
            server: choice.name.clone(),
            reason: choice.reason,
            candidates: choice.candidates,
            load: choice.load,
            evidence: None,
        });
    }

    /// Records how the last attempt failed.
    pub(crate) fn record_failure(&self, evidence: Evidence) {
        if let Some(attempt) = self.entry().attempts.last_mut() {
            attempt.evidence = Some(evidence.to_string());
        }
    }

    pub(crate) fn record_end(&self, outcome: Outcome, code: Option<&'static str>) {
        let mut entry = self.entry();
        entry.outcome = outcome;
        entry.code = code;
    }

    /// Records that the response broke off after a part of it was sent to the caller.
    pub(crate) fn record_interruption(&self, evidence: Evidence) {
        if !self.interrupted.swap(true, Ordering::Relaxed) {
            self.log.metrics.interruptions.inc();
        }
        self.record_failure(evidence);
        self.record_end(Outcome::Unknown, Some("answer_cut"));
    }

    /// Returns whether the response broke off after a part of it was sent to the caller.
    pub(crate) fn is_interrupted(&self) -> bool {
        self.interrupted.load(Ordering::Relaxed)
    }

    fn entry(&self) -> MutexGuard<'_, Entry> {
        self.entry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let now = self.log.clock.now();
        let elapsed = now.saturating_duration_since(self.started_at);
        let entry = self.entry.get_mut().unwrap_or_else(PoisonError::into_inner);
        entry.elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let metrics = &self.log.metrics;
        metrics.record_finish(entry.class, entry.outcome, elapsed);
        let entries = &self.log.entries;
        let mut entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() >= MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry.clone());
    }
}
