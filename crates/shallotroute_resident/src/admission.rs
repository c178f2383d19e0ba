//! Keeps what this node sends to each service within what [`shallotroute_fleet::admission`] decides.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use prometheus_client::metrics::{counter::Counter, family::Family};
use shallotroute_fleet::{
    admission::{
        Policy, Request,
        governor::{self, Admission, End, Governor, Shortage, Source, Summary},
        share::Hold,
    },
    retry::{self, Attempts, RequestFailure},
};
use shallotroute_types::name::Name;

use crate::{
    forward::AttemptOutcome,
    metric::{Label, Metrics},
};

/// The maximum number of services, and of routes, whose state is kept; it is cleared when it is full.
const MAX_SERVICES: usize = 1024;

/// The reason in the log of a request that was turned away before it was sent.
pub(crate) const REFUSAL_REASON: &str = "the service accepts too few of the requests that it gets";

/// The state of each service, as this node sees it.
pub(crate) struct Governors {
    policy: Policy,
    /// What was delayed or turned away, by what was done.
    decisions: Family<Label, Counter>,
    governors: Mutex<BTreeMap<Name, Governor>>,
    /// The time for which an item of a job keeps a slot, by route.
    holds: Mutex<BTreeMap<Name, Hold>>,
}

impl Governors {
    /// Creates the state of a node that has sent nothing. `decisions` counts what is delayed or turned
    /// away.
    pub(crate) fn new(policy: Policy, decisions: Family<Label, Counter>) -> Arc<Self> {
        Arc::new(Self {
            policy,
            decisions,
            governors: Mutex::default(),
            holds: Mutex::default(),
        })
    }

    /// Returns the policy in the settings.
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    /// Records the time that a completed attempt of a route's item has kept a slot.
    pub(crate) fn record_hold(&self, route: &Name, elapsed: Duration) {
        let mut holds = lock(&self.holds);
        if holds.len() >= MAX_SERVICES && !holds.contains_key(route) {
            holds.clear();
        }
        holds.entry(route.clone()).or_default().record(elapsed);
    }

    /// Returns the time for which an item of a route keeps a slot.
    pub(crate) fn hold(&self, route: &Name) -> Duration {
        let holds = lock(&self.holds);
        holds.get(route).copied().unwrap_or_default().mean()
    }

    /// Returns how many more scorings may be sent to a service now.
    pub(crate) fn scoring_room(&self, service: &Name, now: Instant) -> usize {
        let governors = self.lock();
        let governor = governors.get(service);
        governor.map_or(usize::MAX, |governor| governor.scoring_room(now))
    }

    /// Decides whether a scoring may be sent now.
    ///
    /// # Errors
    ///
    /// Returns the delay before it may be sent.
    pub(crate) fn admit_scoring(
        self: &Arc<Self>,
        service: &Name,
        is_repeat: bool,
        now: Instant,
    ) -> Result<Scoring, Duration> {
        let admission = self.with(service, now, |governor| {
            governor.admit_scoring(is_repeat, rand::random(), now)
        });
        match admission {
            Admission::Granted => Ok(Scoring {
                governors: Arc::clone(self),
                service: service.clone(),
                is_repeat,
                end: None,
                now,
            }),
            Admission::Deferred(delay) => {
                Metrics::count(&self.decisions, "scoring_deferred");
                Err(delay)
            }
        }
    }

    /// Begins a caller's request. Returns the state of its attempts.
    ///
    /// # Errors
    ///
    /// Returns the failure of a request that is turned away.
    pub(crate) fn begin(
        &self,
        service: &Name,
        priority: u8,
        policy: retry::Policy,
        now: Instant,
    ) -> Result<Attempts, RequestFailure> {
        let request = Request {
            priority,
            target_latency: policy.target_latency,
            timeout: policy.deadline.saturating_duration_since(now),
        };
        let (refusal, patience) = self.with(service, now, |governor| {
            governor.record_request(priority, now);
            let shortage = governor.shortage(now);
            let random = rand::random();
            let refusal = request.refusal(self.policy, &shortage, random);
            if refusal.is_some() {
                governor.record_refusal(now);
            }
            (refusal, request.patience(self.policy, &shortage, random))
        });
        if let Some(retry_after) = refusal {
            Metrics::count(&self.decisions, turned_away_label(priority));
            return Err(RequestFailure::NotRun { retry_after });
        }
        Ok(Attempts::new(policy)
            .with_spread(rand::random())
            .with_patience(patience))
    }

    /// Returns the shortage by which a caller's request would be admitted or turned away. Nothing is counted.
    pub(crate) fn preview(&self, service: &Name, priority: u8, now: Instant) -> Shortage {
        let known = self.lock().get(service).cloned();
        let mut governor = known.unwrap_or_else(|| Governor::new(now));
        governor.record_request(priority, now);
        governor.shortage(now)
    }

    /// Decides whether the next attempt of a caller's request may be sent, which a first one always may.
    pub(crate) fn may_send(&self, service: &Name, attempts: &Attempts, now: Instant) -> bool {
        if !attempts.is_repeat() {
            return true;
        }
        let may_send = self.with(service, now, |governor| governor.take_repeat(now));
        if !may_send {
            Metrics::count(&self.decisions, "repeat_denied");
        }
        may_send
    }

    /// Records that a rejected request of a caller waits for its next try. By cost, scorings make room
    /// for it.
    pub(crate) fn record_wait(&self, service: &Name, until: Instant, now: Instant) {
        if self.policy == Policy::ByCost {
            self.with(service, now, |governor| {
                governor.record_waiting_caller(until);
            });
        }
    }

    /// Records the end of an attempt of a caller's request.
    pub(crate) fn finish(&self, service: &Name, is_repeat: bool, end: End, now: Instant) {
        self.finish_attempt(service, Source::Caller, is_repeat, end, now);
    }

    /// Records that a caller's request has failed. One that did not run for another reason than a lack of room, such
    /// as servers that crashed under it before, says nothing about the service.
    pub(crate) fn record_failure(
        &self,
        service: &Name,
        attempts: &Attempts,
        failure: RequestFailure,
        now: Instant,
    ) {
        if attempts.lacks_room() && matches!(failure, RequestFailure::NotRun { .. }) {
            self.with(service, now, |governor| governor.record_refusal(now));
        }
    }

    /// Returns what an operator sees of each service.
    pub(crate) fn summaries(&self, now: Instant) -> Vec<(Name, Summary)> {
        let governors = self.lock();
        let summary =
            |(service, governor): (&Name, &Governor)| (service.clone(), governor.summary(now));
        governors.iter().map(summary).collect()
    }

    fn finish_attempt(
        &self,
        service: &Name,
        source: Source,
        is_repeat: bool,
        end: End,
        now: Instant,
    ) {
        let (was_bounded, is_bounded, summary) = self.with(service, now, |governor| {
            let was_bounded = governor.is_bounded();
            governor.finish(source, is_repeat, end, rand::random(), now);
            let is_bounded = governor.is_bounded();
            (was_bounded, is_bounded, governor.summary(now))
        });
        // At most one pair of lines in the time of recovery.
        if was_bounded != is_bounded {
            spdlog::info!("scorings at a service", kv: {
                service = service.as_str(),
                bounded = is_bounded,
                rejected_share = summary.rejected_share,
            });
        }
    }

    fn with<T>(&self, service: &Name, now: Instant, act: impl FnOnce(&mut Governor) -> T) -> T {
        let mut governors = self.lock();
        if governors.len() >= MAX_SERVICES && !governors.contains_key(service) {
            governors.clear();
        }
        let governor = governors
            .entry(service.clone())
            .or_insert_with(|| Governor::new(now));
        act(governor)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, Governor>> {
        lock(&self.governors)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A scoring in flight. One that is dropped without an end, because its job has ended, had no response.
pub(crate) struct Scoring {
    governors: Arc<Governors>,
    service: Name,
    is_repeat: bool,
    end: Option<End>,
    /// When the scoring began or ended.
    now: Instant,
}

impl Scoring {
    /// Ends the scoring.
    pub(crate) fn finish(mut self, end: End, now: Instant) {
        self.end = Some(end);
        self.now = now;
    }
}

impl Drop for Scoring {
    fn drop(&mut self) {
        let end = self.end.unwrap_or(End::NoResponse);
        self.governors.finish_attempt(
            &self.service,
            Source::Scoring,
            self.is_repeat,
            end,
            self.now,
        );
    }
}

/// Returns a pause around `mean`, spread so that nodes and tasks that failed together do not call again
/// together.
pub(crate) fn pause(mean: Duration) -> Duration {
    governor::spread(mean, rand::random())
}

/// Returns the end of an attempt that took `elapsed`.
pub(crate) fn end(outcome: &AttemptOutcome, elapsed: Duration) -> End {
    match outcome {
        AttemptOutcome::Answer { .. } => End::Responded(elapsed),
        AttemptOutcome::NotRun(_) => End::Rejected,
        _ => End::NoResponse,
    }
}

fn turned_away_label(priority: u8) -> &'static str {
    match priority {
        0 => "turned_away_priority_0",
        1 => "turned_away_priority_1",
        _ => "turned_away_priority_2",
    }
}
