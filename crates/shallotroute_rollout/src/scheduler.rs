//! The scheduler of one pool: events in, actions out.

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

pub use self::event::{Action, Event, Inadmissible, Pull, Score, Start};
use crate::{
    configuration::Configuration,
    counters::Table,
    delivery::Refusal,
    engine::{Engine, POLL_INTERVAL, Poll, Report},
    provenance::Recorder,
    staleness::Policy,
    step::{Attempt, Key, Origin, Progress, Specification, Step},
};

/// How many steps of a trainer are kept that were delivered whole or that it has gone past. The last
/// answers of a step may have been lost.
pub const PAST_STEPS: usize = 2;

/// How many other steps a trainer may have.
pub const OPEN_STEPS: usize = 16;

/// Runs the steps of the trainers of one pool.
#[derive(Debug)]
pub struct Scheduler {
    configuration: Arc<Configuration>,
    node: Id,
    incarnation: Incarnation,
    started: Instant,
    random: ChaCha8Rng,
    engines: BTreeMap<Name, Engine>,
    trainers: BTreeMap<Name, Trainer>,
    steps: BTreeMap<Key, Step>,
    attempts: HashMap<Attempt, Running>,
    pulls: BTreeMap<u64, Pull>,
    counters: Table,
    actions: Vec<Action>,
    next: u64,
    cursor: Option<Name>,
}

/// What is known of a trainer.
#[derive(Debug, Default)]
struct Trainer {
    version: Option<Version>,
    /// The step of its last pull.
    current: u64,
    /// Its version in that pull.
    pulled: Version,
    /// Mean seconds of a whole attempt, exponentially weighted.
    sample_seconds: Option<f64>,
}

/// An attempt that runs.
#[derive(Debug)]
struct Running {
    key: Key,
    position: u32,
    origin: Origin,
    recorder: Recorder,
    started: Instant,
    last: Instant,
}

impl Scheduler {
    /// Makes a scheduler without steps. `seed` feeds the random choice of engines.
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
            started: now,
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: BTreeMap::new(),
            trainers: BTreeMap::new(),
            steps: BTreeMap::new(),
            attempts: HashMap::new(),
            pulls: BTreeMap::new(),
            counters: Table::default(),
            actions: Vec::new(),
            next: 0,
            cursor: None,
        };
        scheduler.configure(now, configuration);
        scheduler
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Configured(configuration) => self.configure(now, configuration),
            Event::Submitted(key, specification) => self.submit(now, key, specification),
            Event::Announced(trainer, version) => self.announce(now, &trainer, version),
            Event::Recovered(trainer, version) => {
                if self.version(&trainer).is_none() {
                    self.announce(now, &trainer, version);
                }
            }
            Event::Pulled(pull) => self.pull(now, pull),
            Event::Abandoned(number) => drop(self.pulls.remove(&number)),
            Event::Deleted(key) => self.delete(now, &key, Refusal::UnknownStep),
            Event::Polled(server, number, report) => self.polled(now, &server, number, report),
            Event::Commanded(server, model) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    engine.commanded = Some(model);
                }
            }
            Event::CommandEnded(server) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    engine.commanded = None;
                    engine.forget();
                }
                self.poll(now);
            }
            Event::Tokens(attempt, identity, chunk) => self.tokens(now, attempt, &identity, &chunk),
            Event::Ended(attempt, identity, tokens) => self.ended(now, attempt, &identity, tokens),
            Event::Failed(attempt, outcome) => self.failed(now, attempt, outcome),
            Event::Scored(key, position, attempt, score) => {
                self.scored(now, &key, position, attempt, score);
            }
            Event::Resumed => {
                self.engines.values_mut().for_each(Engine::forget);
                self.poll(now);
            }
            Event::Tick => self.tick(now),
        }
        mem::take(&mut self.actions)
    }

    /// Tells whether a step may be submitted; a step that exists with the same specification may.
    ///
    /// # Errors
    ///
    /// The trainer is not the pool's, has too many open steps, or the step differs from the
    /// existing one.
    pub fn admit(&self, key: &Key, specification: &Specification) -> Result<(), Inadmissible> {
        if !self.configuration.trainers.contains_key(&key.trainer) {
            return Err(Inadmissible::UnknownTrainer);
        }
        if let Some(step) = self.steps.get(key) {
            return match *step.specification == *specification {
                true => Ok(()),
                false => Err(Inadmissible::Conflict),
            };
        }
        let steps = self.steps_of(&key.trainer);
        let open = steps.filter(|(key, step)| !self.is_past(key, step));
        match open.count() < OPEN_STEPS {
            true => Ok(()),
            false => Err(Inadmissible::TooMany),
        }
    }

    /// Returns a step's specification.
    pub fn specification(&self, key: &Key) -> Option<Arc<Specification>> {
        self.steps
            .get(key)
            .map(|step| Arc::clone(&step.specification))
    }

    /// Returns the keys of the steps.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.steps.keys()
    }

    /// Returns the trainer's version as last announced or pulled with.
    pub fn version(&self, trainer: &str) -> Option<Version> {
        self.trainers
            .get(trainer)
            .and_then(|trainer| trainer.version)
    }

    /// Returns the counts since the last call.
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
            self.delete(now, &key, Refusal::Moved);
        }
        let trainers: Vec<Name> = self.configuration.trainers.keys().cloned().collect();
        for trainer in &trainers {
            self.stop_doomed(trainer);
        }
        self.discard_for_pulls();
        self.poll(now);
        self.place(now);
    }

    fn configure_engines(&mut self, configuration: &Configuration) {
        let servers = &configuration.servers;
        let gone: Vec<Attempt> = self
            .engines
            .iter()
            .filter(|(name, engine)| {
                servers
                    .get(*name)
                    .is_none_or(|server| server.address != engine.address)
            })
            .flat_map(|(_, engine)| engine.attempts.iter().copied())
            .collect();
        for attempt in gone {
            self.cancel(attempt);
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
            engine.leaving = server.leaving;
            self.engines.insert(name.clone(), engine);
        }
    }

    fn submit(&mut self, now: Instant, key: Key, specification: Arc<Specification>) {
        if self.steps.contains_key(&key) {
            return;
        }
        let sequence = self.number();
        let trainer = key.trainer.clone();
        self.steps
            .insert(key, Step::new(specification, now, sequence));
        self.evict(now, &trainer);
        self.place(now);
    }

    fn evict(&mut self, now: Instant, trainer: &Name) {
        let past: Vec<Key> = self
            .steps_of(trainer)
            .filter(|(key, step)| self.is_past(key, step))
            .map(|(key, _)| key.clone())
            .collect();
        let excess = past.len().saturating_sub(PAST_STEPS);
        for key in past.into_iter().take(excess) {
            self.delete(now, &key, Refusal::UnknownStep);
        }
    }

    /// Tells whether a step was in answers as a whole or the trainer pulls a later one.
    fn is_past(&self, key: &Key, step: &Step) -> bool {
        step.is_settled() || key.step < self.current(&key.trainer)
    }

    fn current(&self, trainer: &str) -> u64 {
        self.trainers
            .get(trainer)
            .map_or(0, |trainer| trainer.current)
    }

    fn delete(&mut self, now: Instant, key: &Key, refusal: Refusal) {
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
        self.refuse(key, refusal);
        self.place(now);
    }

    fn announce(&mut self, now: Instant, trainer: &Name, version: Version) {
        self.trainers.entry(trainer.clone()).or_default().version = Some(version);
        for pull in self
            .pulls
            .values_mut()
            .filter(|pull| pull.key.trainer == *trainer)
        {
            pull.version = pull.version.max(version);
        }
        self.stop_doomed(trainer);
        self.discard_for_pulls();
        self.place(now);
    }

    fn polled(&mut self, now: Instant, server: &str, number: u64, report: Option<Report>) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        match report {
            Some(report) => engine.take(now, number, report),
            None if engine.poll.is_some_and(|poll| poll.number == number) => {
                engine.report = None;
                engine.poll = None;
            }
            None => {}
        }
        self.place(now);
    }

    fn poll(&mut self, now: Instant) {
        for (name, engine) in &mut self.engines {
            let due = engine.polled.is_none_or(|at| now >= at + POLL_INTERVAL);
            if engine.poll.is_some() || !due {
                continue;
            }
            self.next += 1;
            engine.polled = Some(now);
            engine.poll = Some(Poll {
                number: self.next,
                attempts: engine.attempts.len(),
            });
            self.actions.push(Action::Poll {
                server: name.clone(),
                address: engine.address,
                number: self.next,
            });
        }
    }

    fn tick(&mut self, now: Instant) {
        self.poll(now);
        self.stop_stalled(now);
        self.score_due(now);
        self.expire_pulls(now);
        self.place(now);
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
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
            bound: object.staleness_bound,
            idle_weight: object.idle_weight,
        })
    }

    fn trainer_version(&self, trainer: &str) -> Version {
        self.version(trainer).unwrap_or_default()
    }

    fn since_start(&self, time: Instant) -> Duration {
        time.saturating_duration_since(self.started)
    }
}
