//! Decides what is delayed or turned away when a service has too little room.
//!
//! Answers two load patterns: batch jobs that together need more slots than there are, and requests at
//! a service whose servers reject them. [`share`] divides the slots between the jobs, [`governor`]
//! bounds what a node sends to a service that rejects requests, and this module decides how long a
//! rejected plain request is retried, and which one is turned away at once.
//!
//! The inputs are what the node has observed itself and the reports of the other nodes' jobs; nothing
//! is read from the store.

pub mod governor;
pub mod share;

use std::time::Duration;

use self::governor::{PRIORITIES, Shortage, rank};

/// How it is decided who waits or is turned away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// In the order of arrival, whatever a request's priority or deadline.
    #[default]
    FirstCome,
    /// By priority, deadline and the work that is needed.
    ByCost,
}

impl Policy {
    /// Returns the policy's name in settings, logs and the dump.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstCome => "first_come",
            Self::ByCost => "by_cost",
        }
    }
}

/// The shares of the time up to the target latency in which a rejected request is retried, by
/// priority, in percent. A retry of a less urgent request takes a slot from a more urgent one.
const RETRY_PERCENT: [u32; PRIORITIES] = [100, 70, 40];

/// The number of requests that a node sends to a short service for each that it accepts. Further ones
/// would only be rejected there; the excess finds out when the shortage ends. Compare B. Beyer et al.,
/// "Site Reliability Engineering", chapter 21 (client-side throttling), where it is 2. With 1.5, less urgent
/// requests took more of the servers: 234 of some 2,100 urgent callers were refused in the storm test, 184 with 1.25.
const SENT_PER_ACCEPTED: f64 = 1.25;

/// The part of the accepted requests that each priority may send in any case, so that none is starved.
const MIN_SHARE: f64 = 0.1;

/// The shortest advised delay of a caller that a short service turned away: a server frees a slot
/// within the time of a few requests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest advised delay. The shortage may end sooner than it began.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A caller's request, as far as it decides who waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The priority of its workspace if it has one, else of its route; 0 is the highest.
    pub priority: u8,
    /// The time within which its caller should have the response.
    pub target_latency: Duration,
    /// How long its caller waits.
    pub timeout: Duration,
}

/// How long a request that full servers reject is retried, and what its caller is then told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// The time after the request's arrival in which it is retried.
    pub retry_for: Duration,
    /// The advised delay before the caller sends it again.
    pub retry_after: Duration,
}

impl Request {
    /// Returns how long the request is retried and what its caller is told then; `None` where the
    /// policy is [`Policy::FirstCome`], which has fixed values. `random` is in `0.0..1.0`.
    pub fn patience(self, policy: Policy, shortage: &Shortage, random: f64) -> Option<Patience> {
        if policy == Policy::FirstCome {
            return None;
        }
        let useful = self.target_latency.min(self.timeout);
        let last_start = useful.saturating_sub(shortage.service_time);
        Some(Patience {
            retry_for: last_start * RETRY_PERCENT[rank(self.priority)] / 100,
            retry_after: shortage.retry_after(random),
        })
    }

    /// Returns the advised delay of a request that is turned away before it is sent, because the
    /// service accepts too few of those that it gets; `None` if it is sent. `random` is in `0.0..1.0`.
    pub fn refusal(self, policy: Policy, shortage: &Shortage, random: f64) -> Option<Duration> {
        let excess = self.excess(policy, shortage);
        (random < excess).then(|| shortage.retry_after(random / excess))
    }

    /// Returns the part of such requests that is turned away before it is sent; not positive if none is.
    pub fn excess(self, policy: Policy, shortage: &Shortage) -> f64 {
        if policy == Policy::FirstCome {
            return 0.0;
        }
        let rank = rank(self.priority);
        let more_urgent: f64 = shortage.requested[..rank].iter().sum();
        let accepted = shortage.accepted();
        let room = SENT_PER_ACCEPTED * accepted - more_urgent;
        let own = shortage.requested[rank];
        (own - room.max(MIN_SHARE * accepted)) / (own + 1.0)
    }
}

impl Shortage {
    /// Returns the requests that the service has accepted, or still may.
    fn accepted(&self) -> f64 {
        (self.requested.iter().sum::<f64>() - self.refused).max(0.0)
    }

    /// Returns the time in which the service accepts as many requests as it has turned away lately, so
    /// that those that come back find room. `random` is in `0.0..1.0`.
    fn retry_after(&self, random: f64) -> Duration {
        let per_accepted = self.refused / self.accepted().max(f64::MIN_POSITIVE);
        let backlog = per_accepted * self.period.as_secs_f64();
        let spread = backlog * (0.75 + random / 2.0);
        Duration::try_from_secs_f64(spread)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
