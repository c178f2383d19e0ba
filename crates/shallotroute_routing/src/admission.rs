//! Which requests may be sent now, which wait and which are refused.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_types::class::Class;

/// The most requests of one class that wait for a pool.
const MAX_WAITING: usize = 1024;

/// The weight of a new duration in the moving average.
const DURATION_WEIGHT: f64 = 0.1;

/// The least time after which a refused request may come again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest time after which a refused request may come again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Requests for one pool. `T` is what wakes a waiting request.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: [Lane<T>; Class::ALL.len()],
    running: u32,
    /// The virtual time of stride scheduling: C. Waldspurger, W. Weihl, "Stride scheduling:
    /// deterministic proportional-share resource management", MIT/LCS/TM-528, 1995.
    pass: f64,
    /// How long an admitted request runs, in seconds.
    duration: Option<f64>,
    next: u64,
}

#[derive(Debug)]
struct Lane<T> {
    waiting: VecDeque<Waiter<T>>,
    pass: f64,
}

#[derive(Debug)]
struct Waiter<T> {
    number: u64,
    deadline: Instant,
    ticket: T,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Admitted,
    /// It waits under this number.
    Waiting(u64),
    /// It is refused.
    Refused(Refusal),
}

/// Why a request is refused, and when it may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which a retry makes sense.
    pub retry_after: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// Too many requests of its class wait.
    #[display("the queue of the class is full")]
    Full,
    /// It would wait past its deadline.
    #[display("the expected wait is longer than the request may wait")]
    Late,
}

/// Returns a class's share of admissions relative to the others' while several classes wait. No class
/// starves, and an earlier class goes before a later one most of the time.
pub const fn weight(class: Class) -> f64 {
    match class {
        Class::Interactive => 16.0,
        Class::Training => 4.0,
        Class::Batch => 1.0,
    }
}

/// Returns until when a request may wait: it keeps half of its time for its run, and a refusal leaves
/// the caller time for another node.
pub fn wait_until(now: Instant, deadline: Instant) -> Instant {
    now + deadline.saturating_duration_since(now) / 2
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let lane = || Lane {
            waiting: VecDeque::new(),
            pass: 0.0,
        };
        Self {
            lanes: [lane(), lane(), lane()],
            running: 0,
            pass: 0.0,
            duration: None,
            next: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Decides on a request that may wait until `deadline`. `capacity` requests may run at once.
    pub fn enter(
        &mut self,
        class: Class,
        capacity: u32,
        deadline: Instant,
        now: Instant,
        ticket: impl FnOnce() -> T,
    ) -> Decision {
        if self.running < capacity && self.waiting() == 0 {
            self.running += 1;
            return Decision::Admitted;
        }
        let length = self.lane(class).waiting.len();
        let wait = self.expected_wait(class, capacity);
        let reason = if length >= MAX_WAITING {
            Reason::Full
        } else if now + wait > deadline {
            Reason::Late
        } else {
            return Decision::Waiting(self.push(class, deadline, ticket()));
        };
        Decision::Refused(Refusal {
            reason,
            retry_after: clamp(wait),
        })
    }

    /// Counts an admitted request as ended after it ran for `duration`, or, without one, as never
    /// sent.
    pub fn leave(&mut self, duration: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(duration) = duration {
            let seconds = duration.as_secs_f64();
            let before = self.duration.unwrap_or(seconds);
            self.duration = Some(before + DURATION_WEIGHT * (seconds - before));
        }
    }

    /// Admits the next waiting request if there is room. Requests whose deadline is over are dropped
    /// with their tickets.
    pub fn admit(&mut self, capacity: u32, now: Instant) -> Option<T> {
        while self.running < capacity {
            let class = self.next_class()?;
            let lane = self.lane(class);
            let waiter = lane.waiting.pop_front()?;
            if waiter.deadline <= now {
                continue;
            }
            let pass = lane.pass;
            lane.pass += 1.0 / weight(class);
            self.pass = self.pass.max(pass);
            self.running += 1;
            return Some(waiter.ticket);
        }
        None
    }

    /// Takes a waiting request out and returns after which time it may come again; `None` when it is
    /// not waiting any more.
    pub fn cancel(&mut self, class: Class, number: u64, capacity: u32) -> Option<Duration> {
        let wait = clamp(self.expected_wait(class, capacity));
        let waiting = &mut self.lane(class).waiting;
        let position = waiting.iter().position(|it| it.number == number)?;
        waiting.remove(position);
        Some(wait)
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests wait, by class, highest priority first.
    pub fn lengths(&self) -> [usize; Class::ALL.len()] {
        std::array::from_fn(|index| self.lanes[index].waiting.len())
    }

    fn waiting(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting.len()).sum()
    }

    fn push(&mut self, class: Class, deadline: Instant, ticket: T) -> u64 {
        let (number, pass) = (self.next, self.pass);
        self.next += 1;
        let lane = self.lane(class);
        if lane.waiting.is_empty() {
            // A class that had nothing to send does not save up a claim.
            lane.pass = lane.pass.max(pass);
        }
        lane.waiting.push_back(Waiter {
            number,
            deadline,
            ticket,
        });
        number
    }

    fn next_class(&self) -> Option<Class> {
        let lanes = Class::ALL.iter().zip(&self.lanes);
        lanes
            .filter(|(_, lane)| !lane.waiting.is_empty())
            .min_by(|left, right| left.1.pass.total_cmp(&right.1.pass))
            .map(|(class, _)| *class)
    }

    /// Returns the time until a request that joins the class's queue now is admitted: the requests
    /// before it and itself, at the class's share of the rate at which running requests end.
    fn expected_wait(&self, class: Class, capacity: u32) -> Duration {
        let Some(duration) = self.duration else {
            return Duration::ZERO;
        };
        let lanes = Class::ALL.iter().zip(&self.lanes);
        let competing: f64 = lanes
            .filter(|(other, lane)| **other != class && !lane.waiting.is_empty())
            .map(|(other, _)| weight(*other))
            .sum();
        let share = weight(class) / (weight(class) + competing);
        let ahead = self.lanes[index(class)].waiting.len() as f64 + 1.0;
        let seconds = ahead * duration / f64::from(capacity.max(1)) / share;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
    }

    fn lane(&mut self, class: Class) -> &mut Lane<T> {
        &mut self.lanes[index(class)]
    }
}

fn index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Training => 1,
        Class::Batch => 2,
    }
}

fn clamp(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
