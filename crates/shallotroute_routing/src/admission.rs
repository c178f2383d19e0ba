//! Admission control of a pool: decides which requests may be sent now, which wait and which are refused.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_types::class::Class;

/// The maximum number of requests of one class that wait for a pool.
const MAX_WAITING: usize = 1024;

/// The weight of a new run time in the moving average.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// The shortest retry delay that a refused request gets.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest retry delay that a refused request gets.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The requests for one pool, running and waiting. A notifier of type `T` tells a waiting request that it
/// is admitted.
#[derive(Debug)]
pub struct Queue<T> {
    /// The waiting requests, by class in the order of [`Class::ALL`].
    queues: [ClassQueue<T>; Class::ALL.len()],
    running: u32,
    /// The virtual time of stride scheduling: C. Waldspurger, W. Weihl, "Stride scheduling:
    /// deterministic proportional-share resource management", MIT/LCS/TM-528, 1995.
    pass: f64,
    /// The moving average of the run time of admitted requests, in seconds.
    mean_run_time: Option<f64>,
    next_number: u64,
}

/// The waiting requests of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    waiting: VecDeque<Waiter<T>>,
    /// The virtual time at which the class is next admitted.
    pass: f64,
}

#[derive(Debug)]
struct Waiter<T> {
    number: u64,
    deadline: Instant,
    notifier: T,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Admitted,
    /// The request waits under this number, which [`Queue::cancel`] takes.
    Queued(u64),
    /// The request is refused.
    Refused(Refusal),
}

/// The reason of a refusal and the retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// The delay after which a retry may succeed.
    pub retry_after: Duration,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The maximum number of requests of its class is waiting.
    #[display("the queue of the class is full")]
    QueueFull,
    /// The request is expected to wait past its deadline.
    #[display("the expected wait is longer than the request may wait")]
    WaitTooLong,
}

/// Returns a class's relative share of the admissions while several classes wait. No class starves, and a
/// class of higher priority goes first most of the time.
pub const fn weight(class: Class) -> f64 {
    match class {
        Class::Interactive => 16.0,
        Class::Training => 4.0,
        Class::Batch => 1.0,
    }
}

/// Returns the instant until which a request may wait, halfway to its deadline. This leaves time for its
/// run, and after a refusal, for the caller to try another node.
pub fn wait_deadline(now: Instant, deadline: Instant) -> Instant {
    now + deadline.saturating_duration_since(now) / 2
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let queue = || ClassQueue {
            waiting: VecDeque::new(),
            pass: 0.0,
        };
        Self {
            queues: [queue(), queue(), queue()],
            running: 0,
            pass: 0.0,
            mean_run_time: None,
            next_number: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Decides on a new request that may wait until `deadline`. Up to `capacity` requests may run at once.
    /// `notifier` is called only when the request waits.
    pub fn submit(
        &mut self,
        class: Class,
        capacity: u32,
        deadline: Instant,
        now: Instant,
        notifier: impl FnOnce() -> T,
    ) -> Decision {
        if self.running < capacity && self.total_waiting() == 0 {
            self.running += 1;
            return Decision::Admitted;
        }
        let length = self.class_queue(class).waiting.len();
        let wait = self.expected_wait(class, capacity);
        let reason = if length >= MAX_WAITING {
            Reason::QueueFull
        } else if now + wait > deadline {
            Reason::WaitTooLong
        } else {
            return Decision::Queued(self.push(class, deadline, notifier()));
        };
        Decision::Refused(Refusal {
            reason,
            retry_after: clamp_retry_after(wait),
        })
    }

    /// Counts an admitted request as ended after it ran for `duration`; `None` when it was never sent.
    pub fn complete(&mut self, duration: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(duration) = duration {
            let seconds = duration.as_secs_f64();
            let before = self.mean_run_time.unwrap_or(seconds);
            self.mean_run_time = Some(before + RUN_TIME_WEIGHT * (seconds - before));
        }
    }

    /// Admits the next waiting request if fewer than `capacity` run, and returns its notifier. Requests
    /// whose deadline has passed are dropped with their notifiers.
    pub fn admit_next(&mut self, capacity: u32, now: Instant) -> Option<T> {
        while self.running < capacity {
            let class = self.next_class()?;
            let queue = self.class_queue(class);
            let waiter = queue.waiting.pop_front()?;
            if waiter.deadline <= now {
                continue;
            }
            let pass = queue.pass;
            queue.pass += 1.0 / weight(class);
            self.pass = self.pass.max(pass);
            self.running += 1;
            return Some(waiter.notifier);
        }
        None
    }

    /// Removes a waiting request and returns its retry delay; `None` when it no longer waits.
    pub fn cancel(&mut self, class: Class, number: u64, capacity: u32) -> Option<Duration> {
        let delay = clamp_retry_after(self.expected_wait(class, capacity));
        let waiting = &mut self.class_queue(class).waiting;
        let position = waiting.iter().position(|it| it.number == number)?;
        waiting.remove(position);
        Some(delay)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the numbers of waiting requests by class, highest priority first.
    pub fn queue_lengths(&self) -> [usize; Class::ALL.len()] {
        std::array::from_fn(|index| self.queues[index].waiting.len())
    }

    fn total_waiting(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    fn push(&mut self, class: Class, deadline: Instant, notifier: T) -> u64 {
        let (number, pass) = (self.next_number, self.pass);
        self.next_number += 1;
        let queue = self.class_queue(class);
        if queue.waiting.is_empty() {
            // A class gains no credit for the time in which none of its requests waited.
            queue.pass = queue.pass.max(pass);
        }
        queue.waiting.push_back(Waiter {
            number,
            deadline,
            notifier,
        });
        number
    }

    fn next_class(&self) -> Option<Class> {
        let queues = Class::ALL.iter().zip(&self.queues);
        queues
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .min_by(|left, right| left.1.pass.total_cmp(&right.1.pass))
            .map(|(class, _)| *class)
    }

    /// Returns the expected time until a request that joins the class's queue now is admitted: the number
    /// of requests ahead of it and itself, divided by the class's share of the rate at which running
    /// requests end.
    fn expected_wait(&self, class: Class, capacity: u32) -> Duration {
        let Some(run_time) = self.mean_run_time else {
            return Duration::ZERO;
        };
        let queues = Class::ALL.iter().zip(&self.queues);
        let competing: f64 = queues
            .filter(|(other, queue)| **other != class && !queue.waiting.is_empty())
            .map(|(other, _)| weight(*other))
            .sum();
        let share = weight(class) / (weight(class) + competing);
        let ahead = self.queues[class_index(class)].waiting.len() as f64 + 1.0;
        let seconds = ahead * run_time / f64::from(capacity.max(1)) / share;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
    }

    fn class_queue(&mut self, class: Class) -> &mut ClassQueue<T> {
        &mut self.queues[class_index(class)]
    }
}

fn class_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Training => 1,
        Class::Batch => 2,
    }
}

fn clamp_retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
