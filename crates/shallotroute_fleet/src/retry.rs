//! Retry and hedging policy of one request.
//!
//! When a server is silent or slow, an idempotent request is hedged: a second server gets it early
//! enough to respond within the route's target latency. When all servers reject the request, the
//! caller is told within half of the target latency, so that it can retry while a response is still
//! useful.

use std::time::{Duration, Instant};

use shallotroute_types::name::Name;

use crate::{access::Denial, admission::Patience, suspect::Verdict};

/// The share of the target latency after which a request is hedged, in percent. A request is about
/// 25 ms of work, so that the second server can still respond within the target latency.
const HEDGE_DELAY_PERCENT: u32 = 55;

/// The share of the target latency for which a rejected request is retried, in percent.
const RETRY_WINDOW_PERCENT: u32 = 20;

/// The delay before the same servers are tried again, on average.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// The longest delay of a request that is retried for longer, see [`Attempts::with_patience`].
const RETRY_DELAY_MAX: Duration = Duration::from_millis(60);

/// The advised retry delay of a caller whose request full servers rejected. A server frees a slot
/// within the time of a few requests.
const RETRY_AFTER_REJECTED: Duration = Duration::from_millis(200);

/// The advised retry delay of a caller when no server could be reached. Callers retry once or twice,
/// and a server that is down needs longer than one that is full.
const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_millis(700);

/// The retry policy of a request.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The maximum number of servers that the request is sent to; a server may get it again after
    /// it rejected it.
    pub max_attempts: usize,
    /// When the request arrived.
    pub started_at: Instant,
    /// The time after `started_at` within which the caller should have a response.
    pub target_latency: Duration,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// The failure of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The server responded that it did not run the request.
    NotRun,
    /// The server could not be reached and did not run the request.
    Unreachable,
    /// Neither this node nor another one reaches servers, so that the request did not run.
    NoWay,
    /// The request may have run at the server.
    MayHaveRun,
}

/// The next action for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server, preferably one that has not been tried.
    Send,
    /// Wait until this instant, or until an attempt in flight ends.
    WaitUntil(Instant),
    /// Stop, and report the failure to the caller.
    Fail(RequestFailure),
}

/// The failure of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFailure {
    /// The request did not run and will not run.
    NotRun {
        /// The advised delay before the caller retries.
        retry_after: Duration,
    },
    /// The request did not run and will not run, because its API key is no longer valid.
    Unauthorized,
    /// The request may have run, and is not retried.
    OutcomeUnknown,
    /// The deadline passed; the request may have run or may still be running.
    TimedOut,
}

/// The attempts of one request so far.
#[derive(Clone, Debug)]
pub struct Attempts {
    policy: Policy,
    /// The servers tried so far.
    servers: Vec<Name>,
    in_flight: usize,
    may_have_run: bool,
    /// Whether a server has responded that it did not run the request.
    was_rejected: bool,
    /// The end of the delay before the same servers are tried again.
    retry_at: Option<Instant>,
    /// Until when the limits of all servers deny an attempt.
    limited_until: Option<Instant>,
    /// Whether no server can be reached from here in any way.
    has_no_way: bool,
    /// Whether servers crashed under the request before.
    verdict: Verdict,
    /// Why the request may not be sent any more.
    denial: Option<Denial>,
    /// How long a rejected request is retried; `None` for [`RETRY_WINDOW_PERCENT`].
    patience: Option<Patience>,
    /// Whether no server is left that has not rejected the request.
    is_rejected_by_all: bool,
    /// The number of delays so far.
    delays: u32,
    /// The factor by which delays are spread.
    spread: f64,
}

impl Attempts {
    /// Creates the state before the first attempt.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            servers: Vec::new(),
            in_flight: 0,
            may_have_run: false,
            was_rejected: false,
            retry_at: None,
            limited_until: None,
            has_no_way: false,
            verdict: Verdict::Clear,
            denial: None,
            patience: None,
            is_rejected_by_all: false,
            delays: 0,
            spread: 1.0,
        }
    }

    /// Spreads the delays before the same servers are tried again between half and one and a half times
    /// their mean. `random` is in `0.0..1.0`.
    #[must_use]
    pub fn with_spread(mut self, random: f64) -> Self {
        self.spread = 0.5 + random.clamp(0.0, 1.0);
        self
    }

    /// Sets how long a rejected request is retried, with delays that grow, and what its caller is told then.
    /// It ends at once when all servers have rejected it: none gets it again, because a late copy of its
    /// rejection would look like one of the second attempt.
    #[must_use]
    pub fn with_patience(mut self, patience: Option<Patience>) -> Self {
        self.patience = patience;
        self
    }

    /// Sets whether the request may be sent, in view of servers that crashed under it. Returns whether the
    /// verdict is of another kind than before.
    pub fn set_verdict(&mut self, verdict: Verdict) -> bool {
        let former = std::mem::replace(&mut self.verdict, verdict);
        std::mem::discriminant(&former) != std::mem::discriminant(&verdict)
    }

    /// Returns the policy of the request.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the servers that the request was sent to, in the order of their first attempts.
    pub fn servers(&self) -> &[Name] {
        &self.servers
    }

    /// Returns whether the next attempt is not the first one.
    pub fn is_repeat(&self) -> bool {
        !self.servers.is_empty()
    }

    /// Returns whether the request lacked room: a server has rejected it, or limits deny it.
    pub fn lacks_room(&self) -> bool {
        self.was_rejected || self.limited_until.is_some()
    }

    /// Records that the request was sent to a server.
    pub fn record_attempt(&mut self, server: &Name) {
        self.in_flight += 1;
        self.limited_until = None;
        if !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
    }

    /// Records that an attempt failed.
    pub fn record_failure(&mut self, failure: AttemptFailure, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match failure {
            AttemptFailure::MayHaveRun => self.may_have_run = true,
            AttemptFailure::NotRun => self.was_rejected = true,
            AttemptFailure::NoWay => self.has_no_way = true,
            AttemptFailure::Unreachable => {}
        }
        if failure != AttemptFailure::MayHaveRun && self.is_exhausted() {
            self.delay(now);
        }
    }

    /// Records that an attempt at a server has no answer because this node lost its links. The request may have
    /// run; the server may be tried again.
    pub fn record_link_loss(&mut self, server: &Name) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run = true;
        self.servers.retain(|tried| tried != server);
    }

    /// Records that an attempt was not sent because the caller may not have it sent any more.
    pub fn record_denial(&mut self, denial: Denial) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.denial = Some(denial);
    }

    /// Records that no server is available for an attempt.
    pub fn record_no_server(&mut self, now: Instant) {
        self.delay(now);
        self.limited_until = None;
        self.is_rejected_by_all = self.was_rejected;
    }

    /// Records that the budget of repeats denies an attempt.
    pub fn record_denied(&mut self, now: Instant) {
        self.delay(now);
        self.limited_until = None;
    }

    /// Records that the limits of all servers deny an attempt for some time.
    pub fn record_limited(&mut self, wait: Duration, now: Instant) {
        self.retry_at = Some(now + wait.max(RETRY_DELAY));
        self.limited_until = Some(now + wait);
    }

    /// Returns the next action at `now`.
    pub fn decide(&self, now: Instant) -> Decision {
        let policy = &self.policy;
        if now >= policy.deadline {
            return Decision::Fail(match self.may_have_run || self.in_flight > 0 {
                true => RequestFailure::TimedOut,
                false => self.not_run_failure(now),
            });
        }
        if self.in_flight > 0 {
            return self.decide_in_flight(now);
        }
        if let Some(denial) = self.denial {
            return Decision::Fail(match (self.may_have_run, denial) {
                (true, _) => RequestFailure::OutcomeUnknown,
                (false, Denial::Unauthorized) => RequestFailure::Unauthorized,
                (false, Denial::Stale { retry_after }) => RequestFailure::NotRun { retry_after },
            });
        }
        if self.may_have_run && (!policy.is_idempotent || self.is_exhausted()) {
            return Decision::Fail(RequestFailure::OutcomeUnknown);
        }
        if let Verdict::Held { retry_after } | Verdict::Blocked { retry_after } = self.verdict {
            return Decision::Fail(match self.may_have_run {
                true => RequestFailure::OutcomeUnknown,
                false => RequestFailure::NotRun { retry_after },
            });
        }
        if self.has_no_way {
            return Decision::Fail(match self.may_have_run {
                true => RequestFailure::OutcomeUnknown,
                false => self.not_run_failure(now),
            });
        }
        let retry_for = self.patience.map_or(
            policy.target_latency * RETRY_WINDOW_PERCENT / 100,
            |patience| patience.retry_for,
        );
        let give_up_at = policy.started_at + retry_for;
        let is_denied = self.limited_until.is_some_and(|until| until > give_up_at)
            || (self.patience.is_some() && self.is_rejected_by_all);
        match self.retry_at {
            // Waiting is of no use if the limits deny the last attempt too.
            Some(until) if now < until && !is_denied => {
                Decision::WaitUntil(until.min(policy.deadline))
            }
            Some(_) if now >= give_up_at || is_denied => Decision::Fail(match self.may_have_run {
                true => RequestFailure::OutcomeUnknown,
                false => self.not_run_failure(now),
            }),
            _ => Decision::Send,
        }
    }

    fn decide_in_flight(&self, now: Instant) -> Decision {
        let policy = &self.policy;
        let may_hedge = policy.is_idempotent
            && self.in_flight == 1
            && !self.is_exhausted()
            && self.denial.is_none()
            && self.verdict == Verdict::Clear;
        if !may_hedge {
            return Decision::WaitUntil(policy.deadline);
        }
        let hedge_at = policy.started_at + policy.target_latency * HEDGE_DELAY_PERCENT / 100;
        // The second server may have been sought before, in vain.
        let hedge_at = hedge_at.max(self.retry_at.unwrap_or(hedge_at));
        match now >= hedge_at {
            true => Decision::Send,
            false => Decision::WaitUntil(hedge_at.min(policy.deadline)),
        }
    }

    /// Starts the delay before the same servers are tried again.
    fn delay(&mut self, now: Instant) {
        let mut delay = RETRY_DELAY;
        if self.patience.is_some() {
            delay = (delay * 2_u32.pow(self.delays.min(2))).min(RETRY_DELAY_MAX);
        }
        self.delays += 1;
        self.retry_at = Some(now + delay.mul_f64(self.spread));
    }

    fn is_exhausted(&self) -> bool {
        self.servers.len() >= self.policy.max_attempts
    }

    fn not_run_failure(&self, now: Instant) -> RequestFailure {
        let limited_for = self
            .limited_until
            .map(|until| until.saturating_duration_since(now));
        RequestFailure::NotRun {
            retry_after: match (limited_for, self.was_rejected) {
                (Some(limited_for), _) => limited_for.max(RETRY_AFTER_REJECTED),
                (None, true) => self
                    .patience
                    .map_or(RETRY_AFTER_REJECTED, |patience| patience.retry_after),
                (None, false) => RETRY_AFTER_UNREACHABLE,
            },
        }
    }
}
