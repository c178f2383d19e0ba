//! Schedules the steps of the trainers on one pool as a state machine: events in, actions out.

mod attempts;
mod dump;
mod event;
mod placement;
mod pulls;
mod tail;

use std::{
    collections::{BTreeMap, HashMap},
    mem,
    sync::Arc,
    time::{Duration, Instant},
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallotroute_types::{name::Name, node::Id, node::Incarnation, version::Version};

pub use self::event::{Action, AdmissionError, Event, Pull, Score, Start};
use crate::{
    configuration::Configuration,
    counters::Table,
    delivery::Refusal,
    engine::{Engine, POLL_INTERVAL, Poll, Report},
    provenance::Recorder,
    staleness::Policy,
    step::{AttemptId, Key, Origin, Progress, Specification, Step},
};

/// How many past steps of a trainer are retained: those whose groups were all sent, and those
/// before the step that the trainer pulls. The trainer pulls a step again if its last responses
/// were lost.
pub const MAX_PAST_STEPS: usize = 2;

/// How many steps a trainer may have besides past ones.
pub const MAX_OPEN_STEPS: usize = 16;

/// Runs the steps of the trainers on one pool.
#[derive(Debug)]
pub struct Scheduler {
    configuration: Arc<Configuration>,
    node: Id,
    incarnation: Incarnation,
    started_at: Instant,
    random: ChaCha8Rng,
    engines: BTreeMap<Name, Engine>,
    trainers: BTreeMap<Name, Trainer>,
    steps: BTreeMap<Key, Step>,
    attempts: HashMap<AttemptId, Running>,
    pulls: BTreeMap<u64, Pull>,
    counters: Table,
    actions: Vec<Action>,
    /// The last number given to an attempt, a step's sequence or a poll.
    last_number: u64,
    /// The engine that was selected last, for round-robin selection.
    last_selected: Option<Name>,
}

/// The state of a trainer.
#[derive(Debug, Default)]
struct Trainer {
    version: Option<Version>,
    /// The step of the trainer's last pull.
    current_step: u64,
    /// The trainer's version in its last pull.
    pulled_version: Version,
    /// Exponentially weighted mean of the seconds that an attempt takes.
    sample_seconds: Option<f64>,
}

/// A running attempt.
#[derive(Debug)]
struct Running {
    key: Key,
    position: u32,
    origin: Origin,
    recorder: Recorder,
    started_at: Instant,
    last_token_at: Instant,
}

impl Scheduler {
    /// Creates a scheduler without steps. `seed` initializes the random choice among equal engines.
    pub fn new(
        now: Instant,
        configuration: Arc<Configuration>,
        node: Id,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        let mut scheduler = Self {
            configuration: Arc::clone(&configuration),
            node,
            incarnation,
            started_at: now,
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: BTreeMap::new(),
            trainers: BTreeMap::new(),
            steps: BTreeMap::new(),
            attempts: HashMap::new(),
            pulls: BTreeMap::new(),
            counters: Table::default(),
            actions: Vec::new(),
            last_number: 0,
            last_selected: None,
        };
        scheduler.configure(now, configuration);
        scheduler
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Configured(configuration) => self.configure(now, configuration),
            Event::Submitted(key, specification) => self.submit_step(now, key, specification),
            Event::Announced(trainer, version) => self.set_trainer_version(now, &trainer, version),
            Event::VersionRecovered(trainer, version) => {
                if self.version(&trainer).is_none() {
                    self.set_trainer_version(now, &trainer, version);
                }
            }
            Event::Pulled(pull) => self.handle_pull(now, pull),
            Event::PullAbandoned(number) => drop(self.pulls.remove(&number)),
            Event::StepDeleted(key) => self.delete_step(now, &key, Refusal::UnknownStep),
            Event::Polled(server, number, report) => self.handle_poll(now, &server, number, report),
            Event::LoadStarted(server, model) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    engine.loading_model = Some(model);
                }
            }
            Event::LoadEnded(server) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    engine.loading_model = None;
                    engine.invalidate();
                }
                self.poll_engines(now);
            }
            Event::Tokens(attempt, identity, chunk) => {
                self.handle_tokens(now, attempt, &identity, &chunk)
            }
            Event::AttemptEnded(attempt, identity, tokens) => {
                self.handle_end(now, attempt, &identity, tokens)
            }
            Event::AttemptFailed(attempt, outcome) => self.handle_failure(now, attempt, outcome),
            Event::Scored(key, position, attempt, score) => {
                self.handle_score(now, &key, position, attempt, score);
            }
            Event::Resumed => {
                self.engines.values_mut().for_each(Engine::invalidate);
                self.poll_engines(now);
            }
            Event::Tick => self.handle_tick(now),
        }
        mem::take(&mut self.actions)
    }

    /// Checks whether a step may be submitted. Submitting an existing step again is allowed.
    ///
    /// # Errors
    ///
    /// Returns an error when the trainer does not sample on this pool or has too many open steps,
    /// or when the step exists with another specification.
    pub fn admit(&self, key: &Key, specification: &Specification) -> Result<(), AdmissionError> {
        if !self.configuration.trainers.contains_key(&key.trainer) {
            return Err(AdmissionError::UnknownTrainer);
        }
        if let Some(step) = self.steps.get(key) {
            return match *step.specification == *specification {
                true => Ok(()),
                false => Err(AdmissionError::Conflict),
            };
        }
        let steps = self.steps_of(&key.trainer);
        let open = steps.filter(|(key, step)| !self.is_past(key, step));
        match open.count() < MAX_OPEN_STEPS {
            true => Ok(()),
            false => Err(AdmissionError::TooMany),
        }
    }

    /// Returns the specification of a step, or `None` when the scheduler does not have the step.
    pub fn specification(&self, key: &Key) -> Option<Arc<Specification>> {
        self.steps
            .get(key)
            .map(|step| Arc::clone(&step.specification))
    }

    /// Returns the keys of all steps, past ones included.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.steps.keys()
    }

    /// Returns the version that the trainer last announced or named in a pull, or `None` when there
    /// was neither.
    pub fn version(&self, trainer: &str) -> Option<Version> {
        self.trainers
            .get(trainer)
            .and_then(|trainer| trainer.version)
    }

    /// Returns the counters since the last call and resets them.
    pub fn take_counters(&mut self) -> Table {
        mem::take(&mut self.counters)
    }

    fn configure(&mut self, now: Instant, configuration: Arc<Configuration>) {
        self.configure_engines(&configuration);
        self.configuration = configuration;
        let removed: Vec<Key> = self
            .steps
            .keys()
            .filter(|key| !self.configuration.trainers.contains_key(&key.trainer))
            .cloned()
            .collect();
        for key in removed {
            self.delete_step(now, &key, Refusal::Moved);
        }
        let trainers: Vec<Name> = self.configuration.trainers.keys().cloned().collect();
        for trainer in &trainers {
            self.cancel_undeliverable(trainer);
        }
        self.discard_undeliverable_for_pulls();
        self.poll_engines(now);
        self.place_waiting(now);
    }

    fn configure_engines(&mut self, configuration: &Configuration) {
        let servers = &configuration.servers;
        let displaced: Vec<AttemptId> = self
            .engines
            .iter()
            .filter(|(name, engine)| {
                servers
                    .get(*name)
                    .is_none_or(|server| server.address != engine.address)
            })
            .flat_map(|(_, engine)| engine.attempts.iter().copied())
            .collect();
        for attempt in displaced {
            self.cancel_stream(attempt);
            self.requeue(attempt, None);
        }
        let mut engines = mem::take(&mut self.engines);
        for (name, server) in servers {
            let known = engines
                .remove(name)
                .filter(|engine| engine.address == server.address);
            let mut engine = known
                .unwrap_or_else(|| Engine::new(server.address, server.zone.clone(), server.slots));
            engine.slots = server.slots;
            engine.is_leaving = server.is_leaving;
            self.engines.insert(name.clone(), engine);
        }
    }

    fn submit_step(&mut self, now: Instant, key: Key, specification: Arc<Specification>) {
        if self.steps.contains_key(&key) {
            return;
        }
        let sequence = self.next_number();
        let trainer = key.trainer.clone();
        self.steps
            .insert(key, Step::new(specification, now, sequence));
        self.evict_past_steps(now, &trainer);
        self.place_waiting(now);
    }

    fn evict_past_steps(&mut self, now: Instant, trainer: &Name) {
        let past: Vec<Key> = self
            .steps_of(trainer)
            .filter(|(key, step)| self.is_past(key, step))
            .map(|(key, _)| key.clone())
            .collect();
        let excess = past.len().saturating_sub(MAX_PAST_STEPS);
        for key in past.into_iter().take(excess) {
            self.delete_step(now, &key, Refusal::UnknownStep);
        }
    }

    /// Returns whether all groups of the step were sent or the trainer pulls a later step.
    fn is_past(&self, key: &Key, step: &Step) -> bool {
        step.is_fully_sent() || key.step < self.current_step(&key.trainer)
    }

    fn current_step(&self, trainer: &str) -> u64 {
        self.trainers
            .get(trainer)
            .map_or(0, |trainer| trainer.current_step)
    }

    fn delete_step(&mut self, now: Instant, key: &Key, refusal: Refusal) {
        let Some(step) = self.steps.remove(key) else {
            return;
        };
        for sample in step.samples {
            if let Progress::Running(attempts) = sample.progress {
                for attempt in attempts {
                    self.cancel(attempt);
                }
            }
        }
        self.refuse_pull(key, refusal);
        self.place_waiting(now);
    }

    fn set_trainer_version(&mut self, now: Instant, trainer: &Name, version: Version) {
        self.trainers.entry(trainer.clone()).or_default().version = Some(version);
        for pull in self
            .pulls
            .values_mut()
            .filter(|pull| pull.key.trainer == *trainer)
        {
            pull.version = pull.version.max(version);
        }
        self.cancel_undeliverable(trainer);
        self.discard_undeliverable_for_pulls();
        self.place_waiting(now);
    }

    fn handle_poll(&mut self, now: Instant, server: &str, number: u64, report: Option<Report>) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        match report {
            Some(report) => engine.record_report(now, number, report),
            None if engine
                .pending_poll
                .is_some_and(|poll| poll.number == number) =>
            {
                engine.report = None;
                engine.pending_poll = None;
            }
            None => {}
        }
        self.place_waiting(now);
    }

    fn poll_engines(&mut self, now: Instant) {
        for (name, engine) in &mut self.engines {
            let due = engine
                .poll_sent_at
                .is_none_or(|at| now >= at + POLL_INTERVAL);
            if engine.pending_poll.is_some() || !due {
                continue;
            }
            self.last_number += 1;
            engine.poll_sent_at = Some(now);
            engine.pending_poll = Some(Poll {
                number: self.last_number,
                running_attempts: engine.attempts.len(),
            });
            self.actions.push(Action::Poll {
                server: name.clone(),
                address: engine.address,
                number: self.last_number,
            });
        }
    }

    fn handle_tick(&mut self, now: Instant) {
        self.poll_engines(now);
        self.fail_stalled(now);
        self.request_due_scores(now);
        self.expire_pulls(now);
        self.place_waiting(now);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn steps_of<'a>(
        &'a self,
        trainer: &Name,
    ) -> impl Iterator<Item = (&'a Key, &'a Step)> + use<'a> {
        let first = Key {
            trainer: trainer.clone(),
            step: 0,
        };
        let last = Key {
            trainer: trainer.clone(),
            step: u64::MAX,
        };
        self.steps.range(first..=last)
    }

    fn policy(&self, trainer: &str) -> Option<Policy> {
        let object = self.configuration.trainers.get(trainer)?;
        Some(Policy {
            staleness_bound: object.staleness_bound,
            idle_weight: object.idle_weight,
        })
    }

    fn trainer_version(&self, trainer: &str) -> Version {
        self.version(trainer).unwrap_or_default()
    }

    fn since_start(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.started_at)
    }
}
