//! Speeds up the last samples of a step, its tail, by a higher priority and hedged attempts.

use std::time::{Duration, Instant};

use shallotroute_config::object::Tail;
use shallotroute_types::{class::Class, name::Name};

use super::Scheduler;
use crate::step::{AttemptId, Key, Progress, Step};

/// The share of a step's samples that counts as its tail.
const TAIL_SHARE: f64 = 0.1;

/// How many mean attempt durations a first attempt runs before it is hedged. A new attempt is
/// expected to take one such duration.
const HEDGE_AFTER_MEANS: f64 = 1.0;

/// How much the priority number of samples in the tail is lowered.
const TAIL_PRIORITY_BONUS: u8 = 2;

/// The most that the priority number of samples is raised because their step is ahead of the
/// current one.
const MAX_PRIORITY_PENALTY: u64 = 5;

impl Scheduler {
    /// Returns the priority number of an attempt. Lower numbers are served first.
    pub(super) fn priority(&self, key: &Key, steps_ahead: u64) -> u8 {
        let base = Class::Training.priority() + steps_ahead.min(MAX_PRIORITY_PENALTY) as u8;
        let step = self.steps.get(key);
        match self.tail_policy(&key.trainer) {
            Tail::Priority | Tail::Hedge if steps_ahead == 0 && step.is_some_and(is_in_tail) => {
                base - TAIL_PRIORITY_BONUS
            }
            Tail::None | Tail::Priority | Tail::Hedge => base,
        }
    }

    /// Starts hedged attempts for the tails of current steps on slots that no waiting sample takes.
    pub(super) fn start_hedges(&mut self, now: Instant) {
        let mut candidates: Vec<(Instant, Key, u32, Name)> = Vec::new();
        for trainer in self.configuration.trainers.keys() {
            if self.tail_policy(trainer) != Tail::Hedge {
                continue;
            }
            let current = self.current_step(trainer);
            let mut steps = self.steps_of(trainer);
            let step = steps.find(|(key, step)| key.step >= current && !step.is_fully_sent());
            if let Some((key, step)) = step
                && step.waiting.is_empty()
                && is_in_tail(step)
            {
                candidates.extend(self.stragglers(now, key, step));
            }
        }
        candidates.sort();
        for (_, key, position, server) in candidates {
            if let Some(engine) = self.select_engine(now, &key, 0, position, &[server]) {
                self.counters.for_trainer(&key.trainer).hedged += 1;
                self.start_attempt(now, &key, position, &engine, 0);
            }
        }
    }

    /// Returns the samples whose only attempt has run long enough to be hedged, each with the start
    /// and the engine of that attempt.
    fn stragglers(&self, now: Instant, key: &Key, step: &Step) -> Vec<(Instant, Key, u32, Name)> {
        let trainer = self.trainers.get(&key.trainer);
        let Some(mean) = trainer.and_then(|trainer| trainer.sample_seconds) else {
            return Vec::new();
        };
        let delay = Duration::from_secs_f64(mean * HEDGE_AFTER_MEANS);
        let only_attempt = |position: &u32| match &step.samples[*position as usize].progress {
            Progress::Running(attempts) if attempts.len() == 1 => Some(attempts[0]),
            _ => None,
        };
        step.running
            .iter()
            .filter_map(|position| Some((*position, only_attempt(position)?)))
            .filter_map(|(position, attempt): (u32, AttemptId)| {
                let running = self.attempts.get(&attempt)?;
                let server = running.origin.server.clone();
                (now >= running.started_at + delay)
                    .then(|| (running.started_at, key.clone(), position, server))
            })
            .collect()
    }

    fn tail_policy(&self, trainer: &str) -> Tail {
        let object = self.configuration.trainers.get(trainer);
        object.map_or(Tail::None, |object| object.tail)
    }
}

/// Returns whether so few samples are unfinished that they are the step's tail.
fn is_in_tail(step: &Step) -> bool {
    let tail_size = (step.samples.len() as f64 * TAIL_SHARE).ceil() as usize;
    step.unfinished() <= tail_size
}
