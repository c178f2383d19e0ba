//! How often and when one request is sent: a pure decision over what has happened to it so far.
//!
//! Answers two load patterns. When one server is silent or slow, an idempotent request is sent to a
//! second one early enough to meet the route's objective. When all servers refuse, the caller is told
//! after half of the objective at most, so that it can come back while an answer is still worth
//! something.

use std::time::{Duration, Instant};

use shallotroute_types::name::Name;

/// The share of the objective after which a second server is asked, in percent: 25 ms of work leave
/// room for a second answer within the objective.
const HEDGE_PERCENT: u32 = 55;

/// The share of the objective for which refusals are tried again, in percent.
const REFUSAL_PERCENT: u32 = 20;

/// The pause before servers that refused are asked again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(15);

/// After this time a caller that full servers refused may come back; a server frees a slot within a
/// few requests' work.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(200);

/// After this time a caller may come back when no server could be reached. Callers come back once or
/// twice, and a server that is down needs longer than one that is full.
const RETRY_AFTER_DOWN: Duration = Duration::from_millis(700);

/// What holds for a request.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The most servers to which it may be sent.
    pub attempts: usize,
    /// When it came in.
    pub begun: Instant,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// When its caller no longer waits.
    pub deadline: Instant,
}

/// How one send ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The server did not run it.
    NotRun,
    /// The server could not be reached, and did not run it.
    Unreachable,
    /// It may have run.
    Unknown,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it to another server.
    Send,
    /// Wait for an answer, at most until this instant.
    Wait(Instant),
    /// Tell the caller.
    Give(Verdict),
}

/// What a caller without an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run and never will; it may come again after this time.
    NotRun {
        /// The time after which another try makes sense.
        retry_after: Duration,
    },
    /// The request may have run.
    Failed,
    /// The request may have run or still runs; its time is over.
    TimedOut,
}

/// The sends of one request.
#[derive(Clone, Debug)]
pub struct Tries {
    plan: Plan,
    servers: Vec<Name>,
    in_flight: usize,
    may_have_run: bool,
    /// Whether a server has answered that it does not run the request.
    refused: bool,
    pause_until: Option<Instant>,
}

impl Tries {
    /// Starts before the first send.
    pub fn new(plan: Plan) -> Self {
        Self {
            plan,
            servers: Vec::new(),
            in_flight: 0,
            may_have_run: false,
            refused: false,
            pause_until: None,
        }
    }

    /// Returns the servers to which the request was sent.
    pub fn servers(&self) -> &[Name] {
        &self.servers
    }

    /// Notes a send.
    pub fn sent(&mut self, server: &Name) {
        self.in_flight += 1;
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    /// Notes that a send has ended without an answer for the caller.
    pub fn missed(&mut self, miss: Miss, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match miss {
            Miss::Unknown => self.may_have_run = true,
            Miss::NotRun => self.refused = true,
            Miss::Unreachable => {}
        }
        if miss != Miss::Unknown && self.exhausted() {
            self.pause_until = Some(now + REFUSAL_PAUSE);
        }
    }

    /// Notes that no server takes requests.
    pub fn no_server(&mut self, now: Instant) {
        self.pause_until = Some(now + REFUSAL_PAUSE);
    }

    /// Returns what to do at `now`.
    pub fn step(&self, now: Instant) -> Step {
        let plan = &self.plan;
        if now >= plan.deadline {
            return Step::Give(match self.may_have_run || self.in_flight > 0 {
                true => Verdict::TimedOut,
                false => self.not_run(),
            });
        }
        if self.in_flight > 0 {
            return self.step_in_flight(now);
        }
        if self.may_have_run && (!plan.repeatable || self.exhausted()) {
            return Step::Give(Verdict::Failed);
        }
        match self.pause_until {
            Some(until) if now < until => Step::Wait(until.min(plan.deadline)),
            Some(_) if now >= plan.begun + plan.objective * REFUSAL_PERCENT / 100 => {
                Step::Give(match self.may_have_run {
                    true => Verdict::Failed,
                    false => self.not_run(),
                })
            }
            _ => Step::Send,
        }
    }

    fn step_in_flight(&self, now: Instant) -> Step {
        let plan = &self.plan;
        let may_hedge = plan.repeatable && self.in_flight == 1 && !self.exhausted();
        if !may_hedge {
            return Step::Wait(plan.deadline);
        }
        let hedge_at = plan.begun + plan.objective * HEDGE_PERCENT / 100;
        match now >= hedge_at {
            true => Step::Send,
            false => Step::Wait(hedge_at.min(plan.deadline)),
        }
    }

    fn exhausted(&self) -> bool {
        self.servers.len() >= self.plan.attempts
    }

    fn not_run(&self) -> Verdict {
        Verdict::NotRun {
            retry_after: match self.refused {
                true => RETRY_AFTER_FULL,
                false => RETRY_AFTER_DOWN,
            },
        }
    }
}
