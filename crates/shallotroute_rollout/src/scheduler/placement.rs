//! Places samples: decides which sample gets the next free slot, and on which engine.

use std::{sync::Arc, time::Instant};

use rand_chacha::rand_core::Rng;
use shallotroute_config::object::Selection;
use shallotroute_types::name::Name;

use super::{Action, Running, Scheduler, Start};
use crate::{
    engine::{Blocked, Engine},
    order::{Candidate, compare},
    provenance::Recorder,
    step::{AttemptId, Key, Origin, Progress, Step},
};

/// The share of an engine's slots that is reserved for callers' requests on a shared pool.
const RESERVED_SHARE: f64 = 0.125;

/// The expected seconds per token before an attempt has completed.
const DEFAULT_TOKEN_SECONDS: f64 = 0.02;

impl Scheduler {
    /// Starts attempts until no waiting sample finds a slot, then hedges with the slots that are
    /// left.
    pub(super) fn place_waiting(&mut self, now: Instant) {
        while self.place_next(now) {}
        self.start_hedges(now);
    }

    fn place_next(&mut self, now: Instant) -> bool {
        if !self
            .engines
            .values()
            .any(|engine| engine.free_slots(self.reserved_slots(engine)) > 0)
        {
            return false;
        }
        let order = self.configuration.order();
        let mut candidates = self.candidates(now);
        candidates.sort_by(|left, right| compare(order, &left.1, &right.1));
        for (key, candidate, position) in candidates {
            if let Some(server) =
                self.select_engine(now, &key, candidate.steps_ahead, position, &[])
            {
                self.start_attempt(now, &key, position, &server, candidate.steps_ahead);
                return true;
            }
        }
        false
    }

    /// Returns the next waiting sample of each trainer: the first one that is not in back-off, of
    /// the earliest step that has one.
    fn candidates(&self, now: Instant) -> Vec<(Key, Candidate, u32)> {
        let mut candidates = Vec::new();
        for trainer in self.configuration.trainers.keys() {
            let current = self.current_step(trainer);
            let (past, upcoming): (Vec<_>, Vec<_>) = self
                .steps_of(trainer)
                .partition(|(key, _)| key.step < current);
            let mut steps_ahead = 0;
            // Steps before the one that the trainer pulls come last, since it no longer waits for
            // them.
            for (key, step) in upcoming.into_iter().chain(past) {
                let next = step.waiting.iter().copied().find(|&position| {
                    let sample = &step.samples[position as usize];
                    sample.backoff_until.is_none_or(|time| now >= time)
                });
                if let Some(position) = next {
                    candidates.push((
                        key.clone(),
                        self.candidate(key, step, steps_ahead),
                        position,
                    ));
                    break;
                }
                steps_ahead += u64::from(key.step >= current && !self.is_trained_on(key, step));
            }
        }
        candidates
    }

    /// Returns whether the step was completely sent and the trainer's version has increased since
    /// its last pull. Until then the increase is still expected and makes the samples of later
    /// steps staler.
    fn is_trained_on(&self, key: &Key, step: &Step) -> bool {
        let trainer = self.trainers.get(&key.trainer);
        step.is_fully_sent()
            && trainer.is_some_and(|trainer| trainer.version > Some(trainer.pulled_version))
    }

    fn candidate(&self, key: &Key, step: &Step, steps_ahead: u64) -> Candidate {
        let object = self.configuration.trainers.get(&key.trainer);
        let known = self
            .trainers
            .get(&key.trainer)
            .and_then(|trainer| trainer.sample_seconds);
        let expected = f64::from(step.specification.max_tokens) * DEFAULT_TOKEN_SECONDS;
        let slots: u32 = self.engines.values().map(|engine| engine.slots).sum();
        let seconds = known.unwrap_or(expected) / f64::from(slots.max(1));
        let running = self
            .steps_of(&key.trainer)
            .map(|(_, step)| step.running.len())
            .sum::<usize>();
        Candidate {
            sequence: step.sequence,
            submitted: self.since_start(step.submitted_at),
            steps_ahead,
            running_attempts: running as u32,
            share: object.map_or(1.0, |object| object.share),
            total_seconds: seconds * step.samples.len() as f64,
            remaining_seconds: seconds * step.unfinished() as f64,
        }
    }

    /// Returns how many slots of the engine are reserved for callers' requests.
    pub(super) fn reserved_slots(&self, engine: &Engine) -> u32 {
        match self.configuration.serves_callers && engine.slots > 1 {
            true => (f64::from(engine.slots) * RESERVED_SHARE).ceil() as u32,
            false => 0,
        }
    }

    /// Checks whether the engine may run a sample of the trainer that is `steps_ahead` steps ahead.
    ///
    /// # Errors
    ///
    /// Returns the reason when it may not.
    pub(super) fn check_engine(
        &self,
        now: Instant,
        trainer: &Name,
        steps_ahead: u64,
        engine: &Engine,
    ) -> Result<(), Blocked> {
        let object = self
            .configuration
            .trainers
            .get(trainer)
            .ok_or(Blocked::NotLoaded)?;
        let loaded = engine.usable_version(now, &object.model)?;
        let is_admitted = self.policy(trainer).is_some_and(|policy| {
            policy.allows_start(self.trainer_version(trainer), steps_ahead, loaded)
        });
        if !is_admitted || self.is_withdrawn(trainer, loaded) {
            return Err(Blocked::Version);
        }
        match engine.free_slots(self.reserved_slots(engine)) {
            0 => Err(Blocked::Full),
            _ => Ok(()),
        }
    }

    /// Selects an engine other than `excluded` for a sample. Returns `None` when no engine may run
    /// it.
    pub(super) fn select_engine(
        &mut self,
        now: Instant,
        key: &Key,
        steps_ahead: u64,
        position: u32,
        excluded: &[Name],
    ) -> Option<Name> {
        let draw = self.random.next_u64();
        let usable: Vec<&Name> = self
            .engines
            .iter()
            .filter(|(name, _)| !excluded.contains(name))
            .filter(|(_, engine)| {
                self.check_engine(now, &key.trainer, steps_ahead, engine)
                    .is_ok()
            })
            .map(|(name, _)| name)
            .collect();
        let chosen = match self.configuration.selection {
            Selection::RoundRobin => {
                let after = usable
                    .iter()
                    .find(|name| Some(**name) > self.last_selected.as_ref());
                after.or(usable.first()).copied()
            }
            Selection::LeastLoaded => usable
                .iter()
                .copied()
                .min_by(|left, right| self.utilization(left).total_cmp(&self.utilization(right))),
            Selection::Adaptive => self.select_adaptive(key, position, &usable, draw),
        };
        let chosen = chosen.cloned();
        self.last_selected.clone_from(&chosen);
        chosen
    }

    /// Returns the engine with the least cost. An engine that runs a sample of the same group is
    /// preferred if it does not cost much more, because its cache holds the prompt.
    ///
    /// A choice between two random candidates, which keeps independent schedulers from overloading
    /// the same engine, would only miss better engines here: one scheduler places all samples of a
    /// pool.
    fn select_adaptive<'a>(
        &self,
        key: &Key,
        position: u32,
        usable: &[&'a Name],
        draw: u64,
    ) -> Option<&'a Name> {
        let count = usable.len();
        if count == 0 {
            return None;
        }
        // A random start breaks ties between equal engines. With a fixed start, the engines that
        // come first by name would get all short steps.
        let offset = (draw % count as u64) as usize;
        let rotated = usable[offset..].iter().chain(&usable[..offset]).copied();
        let best = rotated
            .min_by(|left, right| self.token_cost(left).total_cmp(&self.token_cost(right)))?;
        let limit = self.token_cost(best) * MAX_AFFINITY_COST;
        let sibling = self.sibling_engine(key, position);
        let preferred = usable
            .iter()
            .copied()
            .find(|name| Some(*name) == sibling.as_ref());
        preferred
            .filter(|name| self.token_cost(name) <= limit)
            .or(Some(best))
    }

    /// Returns the engine of the group's last sample that has a running attempt.
    fn sibling_engine(&self, key: &Key, position: u32) -> Option<Name> {
        let step = self.steps.get(key)?;
        let group = step.group_and_index(position).0;
        step.positions(group)
            .filter_map(|other| match &step.samples[other as usize].progress {
                Progress::Running(attempts) => attempts.last(),
                _ => None,
            })
            .filter_map(|attempt| self.attempts.get(attempt))
            .map(|running| running.origin.server.clone())
            .next_back()
    }

    fn utilization(&self, server: &str) -> f64 {
        self.engines.get(server).map_or(f64::MAX, |engine| {
            f64::from(engine.load()) / f64::from(engine.slots.max(1))
        })
    }

    /// Returns the cost of one more attempt on the engine: the expected seconds per token, scaled
    /// by the engine's load relative to its slots.
    fn token_cost(&self, server: &str) -> f64 {
        self.engines.get(server).map_or(f64::MAX, |engine| {
            let slots = f64::from(engine.slots.max(1));
            let load = f64::from(engine.load() + 1) / slots;
            load * engine.token_seconds.unwrap_or(DEFAULT_TOKEN_SECONDS)
        })
    }

    fn running_attempt(&self, now: Instant, key: &Key, position: u32, start: &Start) -> Running {
        Running {
            key: key.clone(),
            position,
            origin: Origin {
                server: start.server.clone(),
                revision: self.configuration.revision,
                node: self.node.clone(),
                pool: self.configuration.pool.clone(),
            },
            recorder: Recorder::new(start.identity.clone()),
            started_at: now,
            last_token_at: now,
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        key: &Key,
        position: u32,
        server: &Name,
        steps_ahead: u64,
    ) {
        let attempt = AttemptId(self.next_number());
        let priority = self.priority(key, steps_ahead);
        let object = self.configuration.trainers.get(&key.trainer);
        let (step, engine) = (self.steps.get_mut(key), self.engines.get_mut(server));
        let (Some(step), Some(engine), Some(object)) = (step, engine, object) else {
            return;
        };
        let sample = step.sample_identity(key, position);
        let identity = format!("{sample}/{}.{}.{attempt}", self.node, self.incarnation);
        let is_replacement = step.add_attempt(position, attempt);
        engine.attempts.insert(attempt);
        let start = Start {
            attempt,
            sample,
            identity,
            server: server.clone(),
            address: engine.address,
            model: object.model.clone(),
            prompt: Arc::clone(step.prompt(position)),
            max_tokens: step.specification.max_tokens,
            priority,
        };
        let running = self.running_attempt(now, key, position, &start);
        self.attempts.insert(attempt, running);
        self.counters
            .for_trainer(&key.trainer)
            .record_start(is_replacement);
        self.actions.push(Action::Start(Box::new(start)));
    }
}

/// The greatest cost, relative to the best engine, of an engine that is preferred because its
/// prefix cache holds the prompt.
const MAX_AFFINITY_COST: f64 = 1.25;
