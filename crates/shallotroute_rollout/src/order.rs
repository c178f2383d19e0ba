//! Ranks the steps of the trainers on one pool for the next free slot.

use std::{cmp::Ordering, time::Duration};

pub use shallotroute_config::object::Order;

/// A step that wants a slot, with the values that orders compare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// A number that increases with each submitted step.
    pub sequence: u64,
    /// Time from the scheduler's start to the submission of the step.
    pub submitted: Duration,
    /// How many earlier steps of the same trainer are unfinished.
    pub steps_ahead: u64,
    /// Running attempts of the trainer over all of its steps.
    pub running_attempts: u32,
    /// The trainer's configured share of the pool.
    pub share: f64,
    /// Seconds that the whole step is expected to take on all slots of the pool.
    pub total_seconds: f64,
    /// Seconds that the rest of the step is expected to take on all slots of the pool.
    pub remaining_seconds: f64,
}

/// Compares two steps. The lesser one gets the next slot.
pub fn compare(order: Order, left: &Candidate, right: &Candidate) -> Ordering {
    let by = |key: fn(&Candidate) -> f64| key(left).total_cmp(&key(right));
    // A trainer idles only until its current step is complete, so steps generated ahead rank lower.
    let by_steps_ahead = left.steps_ahead.cmp(&right.steps_ahead);
    let ranked = match order {
        Order::Fcfs => Ordering::Equal,
        Order::Fair => {
            by(|step| f64::from(step.running_attempts) / step.share.max(f64::MIN_POSITIVE))
        }
        Order::LeastRemaining => by_steps_ahead.then(by(|step| {
            step.remaining_seconds / step.share.max(f64::MIN_POSITIVE)
        })),
        Order::Joint => by_steps_ahead.then(by(mean_busy_time)),
    };
    ranked.then(left.sequence.cmp(&right.sequence))
}

/// Returns the step's mean busy time in seconds: the submission time plus half the processing time
/// divided by the share. For work without interruption this is the measure of M. Goemans et al.,
/// "Single machine scheduling with release dates", SIAM Journal on Discrete Mathematics 15(2),
/// 2002.
fn mean_busy_time(step: &Candidate) -> f64 {
    step.submitted.as_secs_f64() + step.total_seconds / step.share.max(f64::MIN_POSITIVE) / 2.0
}
