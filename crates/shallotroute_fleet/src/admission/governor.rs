//! What a node sends to one service whose servers reject requests.
//!
//! Answers the load pattern of a scoring service that is short: thousands of outputs wait for their
//! scores, each was sent again as soon as it was rejected, and the server that had no limit got
//! thirteen times the requests of a usual day, with callers' requests among them. The scorings in
//! flight are bounded by additive increase and multiplicative decrease, repeats by a budget beside
//! first tries, and pauses grow exponentially and are spread at random.
//!
//! While servers reject nothing, nothing is bounded.

use std::time::{Duration, Instant};

/// The share of rejected attempts from which on the scorings are bounded. Servers that are full for a
/// moment reject single requests on any day.
const SHED_SHARE: f64 = 0.1;

/// The number of recent rejections from which on the scorings are bounded.
const MIN_REJECTIONS: f64 = 2.0;

/// The time constant of the recent attempts and rejections.
const PERIOD: Duration = Duration::from_secs(2);

/// The shortest time between two decreases. The requests that are in flight at a decrease are rejected
/// together.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The time without a rejection after which the scorings are no longer bounded.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// The first pause of all scorings after a rejection with one in flight; each further one doubles it.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// The longest such pause. It bounds how late the end of a shortage is noticed.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// The pause while no server may be sent a scoring.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(50);

/// The time in which most callers come back that were turned away.
const RETURN_TIME: Duration = Duration::from_millis(200);

/// The interval between the scorings that a node sends while callers keep waiting, so that jobs are not
/// starved.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(500);

/// The delay of a repeat for which the budget has nothing left.
const BUDGET_DELAY: Duration = Duration::from_millis(300);

/// The repeats that each first try adds to the budget.
const REPEATS_PER_FIRST_TRY: f64 = 0.1;

/// The repeats that each second adds to the budget: the last outputs of a job are scored without first
/// tries beside them.
const REPEATS_PER_SECOND: f64 = 1.0;

/// The largest budget, which is also the first one.
const MAX_REPEATS: f64 = 30.0;

/// The number of priorities that are told apart. Further ones count as the last of them.
pub const PRIORITIES: usize = 3;

/// The attempts at one service and their recent outcomes, as one node sees them.
#[derive(Clone, Debug)]
pub struct Governor {
    /// The scorings in flight.
    scorings: usize,
    /// The maximum number of scorings in flight; `None` without a bound.
    window: Option<f64>,
    decreased_at: Option<Instant>,
    rejected_at: Option<Instant>,
    /// The number of pauses since the service last ran a request.
    pauses: u32,
    paused_until: Option<Instant>,
    /// When the last scoring was granted.
    granted_at: Option<Instant>,
    /// Until when a rejected caller waits for its next try.
    caller_waits_until: Option<Instant>,
    budget: f64,
    recent: Recent,
    /// The moving average of the time in which the service responds, in seconds.
    service_time: f64,
    updated_at: Instant,
}

/// Counts that decay with [`PERIOD`].
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    attempts: f64,
    rejections: f64,
    /// Requests of callers by priority, whether they were sent or not.
    requested: [f64; PRIORITIES],
    /// Those among them that were turned away, by the servers or before they were sent.
    refused: f64,
}

/// Whose request an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller's.
    Caller,
    /// That of a batch job for the score of an output.
    Scoring,
}

/// The outcome of an attempt at the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A server has responded after this time, also with an error of its own.
    Responded(Duration),
    /// A server did not run the request.
    Rejected,
    /// There is no response, or no server could be reached.
    NoResponse,
    /// No server may be sent the request for this time, if it is known.
    Unsent(Option<Duration>),
}

/// Whether a scoring may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It counts as in flight until [`Governor::finish`].
    Granted,
    /// Not before this time has passed.
    Deferred(Duration),
}

/// How short a service is of room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// The recent requests of callers by priority, whether they were sent or not.
    pub requested: [f64; PRIORITIES],
    /// Those among them that were turned away, by the servers or before they were sent.
    pub refused: f64,
    /// The time over which both are counted.
    pub period: Duration,
    /// The time in which the service responds.
    pub service_time: Duration,
}

/// What an operator sees of a governor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// The scorings in flight.
    pub scorings: usize,
    /// The maximum number of scorings in flight; `None` without a bound.
    pub window: Option<f64>,
    /// The share of recent attempts that servers rejected.
    pub rejected_share: f64,
    /// The repeats that the budget has left.
    pub budget: f64,
    /// The remaining pause of all scorings.
    pub pause: Duration,
}

impl Governor {
    /// Creates the state of a service that has rejected nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            scorings: 0,
            window: None,
            decreased_at: None,
            rejected_at: None,
            pauses: 0,
            paused_until: None,
            granted_at: None,
            caller_waits_until: None,
            budget: MAX_REPEATS,
            recent: Recent::default(),
            service_time: 0.0,
            updated_at: now,
        }
    }

    /// Returns how many more scorings may be sent now.
    pub fn scoring_room(&self, now: Instant) -> usize {
        let is_before = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if is_before(self.paused_until) {
            return 0;
        }
        let window = match is_before(self.caller_waits_until) {
            true => usize::from(
                self.granted_at
                    .is_none_or(|at| now >= at + TRICKLE_INTERVAL),
            ),
            false => self.window.map_or(usize::MAX, |window| window as usize),
        };
        window.saturating_sub(self.scorings)
    }

    /// Decides whether a scoring may be sent. `random` is in `0.0..1.0`.
    pub fn admit_scoring(&mut self, is_repeat: bool, random: f64, now: Instant) -> Admission {
        self.update(now);
        if self.scoring_room(now) == 0 {
            let pause = self
                .paused_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            return Admission::Deferred(pause + spread(PAUSE_MIN, random));
        }
        match is_repeat {
            true if !self.take_repeat(now) => {
                return Admission::Deferred(spread(BUDGET_DELAY, random));
            }
            true => {}
            false => self.earn(REPEATS_PER_FIRST_TRY),
        }
        self.scorings += 1;
        self.granted_at = Some(now);
        Admission::Granted
    }

    /// Records a request of a caller before its first try.
    pub fn record_request(&mut self, priority: u8, now: Instant) {
        self.update(now);
        self.recent.requested[rank(priority)] += 1.0;
        self.earn(REPEATS_PER_FIRST_TRY);
    }

    /// Records that a caller's request was turned away. It comes back soon, and scorings make room for it.
    pub fn record_refusal(&mut self, now: Instant) {
        self.update(now);
        self.recent.refused += 1.0;
        self.record_waiting_caller(now + RETURN_TIME);
    }

    /// Takes a repeat from the budget. Returns whether it may be sent, which it always may while the
    /// service is not short: a crash of servers fails many requests at once, and others run them.
    pub fn take_repeat(&mut self, now: Instant) -> bool {
        self.update(now);
        let is_left = self.budget >= 1.0;
        self.budget = (self.budget - 1.0).max(0.0);
        is_left || !self.is_short()
    }

    /// Returns a repeat that was not sent to the budget.
    pub fn return_repeat(&mut self) {
        self.earn(1.0);
    }

    /// Records that a rejected caller waits until its next try, for which scorings make room.
    pub fn record_waiting_caller(&mut self, until: Instant) {
        self.caller_waits_until = self.caller_waits_until.max(Some(until));
    }

    /// Records the end of an attempt. One that was a repeat and has run gives back what it took from the
    /// budget. `random` is in `0.0..1.0`.
    pub fn finish(&mut self, source: Source, is_repeat: bool, end: End, random: f64, now: Instant) {
        self.update(now);
        if source == Source::Scoring {
            self.scorings = self.scorings.saturating_sub(1);
        }
        match end {
            End::Responded(elapsed) => self.record_response(source, is_repeat, elapsed),
            End::Rejected => self.record_rejection(source, random, now),
            End::NoResponse => self.recent.attempts += 1.0,
            End::Unsent(wait) => {
                if is_repeat {
                    self.return_repeat();
                }
                if source == Source::Scoring {
                    let wait = wait.unwrap_or(UNAVAILABLE_PAUSE).min(PAUSE_MAX);
                    self.pause(wait + spread(UNAVAILABLE_PAUSE, random) / 2, now);
                }
            }
        }
    }

    /// Returns how short the service is of room.
    pub fn shortage(&mut self, now: Instant) -> Shortage {
        self.update(now);
        Shortage {
            requested: self.recent.requested,
            refused: self.recent.refused,
            period: PERIOD,
            service_time: Duration::from_secs_f64(self.service_time),
        }
    }

    /// Returns whether the scorings in flight are bounded.
    pub fn is_bounded(&self) -> bool {
        self.window.is_some()
    }

    /// Returns whether the service rejects more than single requests.
    pub fn is_short(&self) -> bool {
        self.recent.rejections >= MIN_REJECTIONS
            && self.recent.rejections >= SHED_SHARE * self.recent.attempts
    }

    /// Returns what an operator sees.
    pub fn summary(&self, now: Instant) -> Summary {
        Summary {
            scorings: self.scorings,
            window: self.window,
            rejected_share: self.recent.rejections / self.recent.attempts.max(1.0),
            budget: self.budget,
            pause: self
                .paused_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
        }
    }

    fn record_response(&mut self, source: Source, is_repeat: bool, elapsed: Duration) {
        self.recent.attempts += 1.0;
        self.pauses = 0;
        if let Some(window) = &mut self.window
            && source == Source::Scoring
        {
            *window += 1.0 / *window;
        }
        if is_repeat {
            self.earn(1.0);
        }
        let elapsed = elapsed.as_secs_f64();
        self.service_time = match self.service_time > 0.0 {
            true => self.service_time + 0.1 * (elapsed - self.service_time),
            false => elapsed,
        };
    }

    fn record_rejection(&mut self, source: Source, random: f64, now: Instant) {
        self.recent.attempts += 1.0;
        self.recent.rejections += 1.0;
        self.rejected_at = Some(now);
        if !self.is_short() {
            return;
        }
        let is_alone = self.window.is_some_and(|window| window < 2.0);
        let is_due = self
            .decreased_at
            .is_none_or(|last| now >= last + DECREASE_INTERVAL);
        if is_due {
            self.decreased_at = Some(now);
            // The rejected scoring no longer counts as in flight.
            let in_flight = self.scorings as f64 + 1.0;
            let window = self
                .window
                .map_or(in_flight, |window| window.min(in_flight));
            self.window = Some((window / 2.0).max(1.0));
        }
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        if source == Source::Scoring && is_alone && !is_paused {
            let pause = PAUSE_MIN * 2_u32.pow(self.pauses.min(8));
            self.pauses += 1;
            self.pause(spread(pause.min(PAUSE_MAX), random), now);
        }
    }

    fn pause(&mut self, pause: Duration, now: Instant) {
        self.paused_until = self.paused_until.max(Some(now + pause));
    }

    fn earn(&mut self, repeats: f64) {
        self.budget = (self.budget + repeats).min(MAX_REPEATS);
    }

    fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.earn(REPEATS_PER_SECOND * elapsed.as_secs_f64());
        let factor = (-elapsed.as_secs_f64() / PERIOD.as_secs_f64()).exp();
        let recent = &mut self.recent;
        let totals = [
            &mut recent.attempts,
            &mut recent.rejections,
            &mut recent.refused,
        ];
        for count in totals.into_iter().chain(&mut recent.requested) {
            *count *= factor;
        }
        let has_recovered = self
            .rejected_at
            .is_none_or(|last| now >= last + RECOVERY_TIME);
        if has_recovered {
            self.window = None;
        }
    }
}

/// Returns the position of a priority among the [`PRIORITIES`].
pub fn rank(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// Returns a time between half and one and a half times `mean`. `random` is in `0.0..1.0`.
pub fn spread(mean: Duration, random: f64) -> Duration {
    mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
}
