//! The order between the steps of several trainers on one pool.

use std::{cmp::Ordering, time::Duration};

pub use shallotroute_config::object::Order;

/// What the order looks at, for one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// A number that rises with each submitted step.
    pub sequence: u64,
    /// Time from the scheduler's start to the submission.
    pub submitted: Duration,
    /// Earlier unfinished steps of the same trainer.
    pub steps_ahead: u64,
    /// Attempts of the trainer that run.
    pub running_attempts: u32,
    /// The trainer's share.
    pub share: f64,
    /// Seconds that the whole step takes on all slots of the pool.
    pub total_seconds: f64,
    /// Seconds that the rest of the step takes on all slots of the pool.
    pub remaining_seconds: f64,
}

/// Compares two steps; the lesser one gets the next slot.
pub fn compare(order: Order, left: &Candidate, right: &Candidate) -> Ordering {
    let by = |key: fn(&Candidate) -> f64| key(left).total_cmp(&key(right));
    // A trainer waits for its current step, not for those that are generated ahead.
    let current = left.steps_ahead.cmp(&right.steps_ahead);
    let ranked = match order {
        Order::Fcfs => Ordering::Equal,
        Order::Fair => {
            by(|step| f64::from(step.running_attempts) / step.share.max(f64::MIN_POSITIVE))
        }
        Order::LeastRemaining => current.then(by(|step| {
            step.remaining_seconds / step.share.max(f64::MIN_POSITIVE)
        })),
        Order::Joint => current.then(by(mean_busy_time)),
    };
    ranked.then(left.sequence.cmp(&right.sequence))
}

/// Returns the middle finish time in seconds: the start plus half the processing time, the latter
/// divided by the share. For work without interruption this is the mean busy time of M. Goemans et al.,
/// "Single machine scheduling with release dates", SIAM Journal on Discrete Mathematics 15(2), 2002.
fn mean_busy_time(step: &Candidate) -> f64 {
    step.submitted.as_secs_f64() + step.total_seconds / step.share.max(f64::MIN_POSITIVE) / 2.0
}
