//! What became of each request: its counters, and for the last ones why they went where they went.

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

/// How many requests the journal keeps.
const MAX_ENTRIES: usize = 256;

/// The counters and the last requests.
pub(crate) struct RequestLog {
    pub(crate) metrics: Metrics,
    clock: Arc<dyn Clock>,
    entries: Mutex<VecDeque<Entry>>,
}

/// One request.
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

/// One attempt of a request.
#[derive(Clone, Debug, Serialize)]
struct Attempt {
    server: Name,
    reason: Reason,
    candidates: usize,
    load: u32,
    evidence: Option<String>,
}

/// A request in progress. It is written down when the last clone is dropped.
pub(crate) struct Progress {
    log: Arc<RequestLog>,
    started: Instant,
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

    /// Takes note of a request of a known caller.
    pub(crate) fn start(
        self: &Arc<Self>,
        id: &Arc<str>,
        caller: &Name,
        class: Class,
        started: Instant,
    ) -> Arc<Progress> {
        self.metrics.record_start(class);
        Arc::new(Progress {
            log: Arc::clone(self),
            started,
            interrupted: AtomicBool::new(false),
            entry: Mutex::new(Entry {
                id: Arc::clone(id),
                caller: caller.clone(),
                class,
                route: None,
                attempts: Vec::new(),
                // A request that its caller gives up leaves this.
                outcome: Outcome::Unknown,
                code: None,
                elapsed_ms: 0.0,
            }),
        })
    }

    /// Returns the last requests, oldest first.
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

    /// Takes note of how the last attempt failed.
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

    /// Takes note that the response broke off after a part of it went to the caller.
    pub(crate) fn record_interruption(&self, evidence: Evidence) {
        if !self.interrupted.swap(true, Ordering::Relaxed) {
            self.log.metrics.interruptions.inc();
        }
        self.record_failure(evidence);
        self.record_end(Outcome::Unknown, Some("answer_cut"));
    }

    /// Tells whether the response broke off.
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
        let elapsed = now.saturating_duration_since(self.started);
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
