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
const CAPACITY: usize = 256;

/// The counters and the last requests.
pub(crate) struct Journal {
    pub(crate) metrics: Metrics,
    clock: Arc<dyn Clock>,
    lines: Mutex<VecDeque<Line>>,
}

/// One request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Line {
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
    journal: Arc<Journal>,
    at: Instant,
    line: Mutex<Line>,
    broken: AtomicBool,
}

impl Journal {
    pub(crate) fn new(metrics: Metrics, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            metrics,
            clock,
            lines: Mutex::default(),
        })
    }

    /// Takes note of a request of a known caller.
    pub(crate) fn start(
        self: &Arc<Self>,
        id: &Arc<str>,
        caller: &Name,
        class: Class,
        at: Instant,
    ) -> Arc<Progress> {
        self.metrics.start(class);
        Arc::new(Progress {
            journal: Arc::clone(self),
            at,
            broken: AtomicBool::new(false),
            line: Mutex::new(Line {
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
    pub(crate) fn lines(&self) -> Vec<Line> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }
}

impl Progress {
    pub(crate) fn route(&self, route: &Name) {
        self.line().route = Some(route.clone());
    }

    pub(crate) fn attempt(&self, choice: &Choice) {
        self.line().attempts.push(Attempt {
            server: choice.name.clone(),
            reason: choice.reason,
            candidates: choice.candidates,
            load: choice.load,
            evidence: None,
        });
    }

    /// Takes note of how the last attempt failed.
    pub(crate) fn fail(&self, evidence: Evidence) {
        if let Some(attempt) = self.line().attempts.last_mut() {
            attempt.evidence = Some(evidence.to_string());
        }
    }

    pub(crate) fn end(&self, outcome: Outcome, code: Option<&'static str>) {
        let mut line = self.line();
        line.outcome = outcome;
        line.code = code;
    }

    /// Takes note that the response broke off after a part of it went to the caller.
    pub(crate) fn mark_broken(&self, evidence: Evidence) {
        if !self.broken.swap(true, Ordering::Relaxed) {
            self.journal.metrics.cut.inc();
        }
        self.fail(evidence);
        self.end(Outcome::Unknown, Some("answer_cut"));
    }

    /// Tells whether the response broke off.
    pub(crate) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    fn line(&self) -> MutexGuard<'_, Line> {
        self.line.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        let now = self.journal.clock.now();
        let elapsed = now.saturating_duration_since(self.at);
        let line = self.line.get_mut().unwrap_or_else(PoisonError::into_inner);
        line.elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let metrics = &self.journal.metrics;
        metrics.finish(line.class, line.outcome, elapsed);
        let lines = &self.journal.lines;
        let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() >= CAPACITY {
            lines.pop_front();
        }
        lines.push_back(line.clone());
    }
}
