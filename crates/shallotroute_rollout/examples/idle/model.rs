//! Engines and trainers in virtual time around one scheduler and its controller.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use shallotroute_config::{
    object::{
        Backend, Fencing, Object, Order, Pool, Selection, Server, ServerState, Swap, Tail, Trainer,
    },
    set::Set,
};
use shallotroute_rollout::{
    configuration::Configuration,
    delivery::Answer,
    engine::Report,
    provenance::Chunk,
    receipt::Receipt,
    scheduler::{Action, Event, Pull, Scheduler, Start},
    step::{AttemptId, Key, Specification},
    swap::{self, Controller},
};
use shallotroute_types::{
    fence::Fence, name::Name, node::Incarnation, revision::Revision, version::Version,
};

use crate::load::{
    ENGINES, GROUP_SIZE, LOAD_SECONDS, MAX_TOKENS, SLOTS, STEPS, TICK, TOKEN_SECONDS, TRAINERS,
    length, uniform,
};

#[derive(Clone, Copy)]
pub(crate) struct Policy {
    pub(crate) order: Order,
    pub(crate) tail: Tail,
    pub(crate) swap: Swap,
    pub(crate) selection: Selection,
}

struct Stream {
    start: Start,
    engine: usize,
    length: u32,
    emitted: u32,
    since: f64,
}

#[derive(Default)]
pub(crate) struct Learner {
    step: u64,
    version: u64,
    receipt: Receipt,
    waiting: Option<f64>,
    pub(crate) idle: f64,
    pub(crate) staleness: Vec<u64>,
    done: bool,
}

pub(crate) struct Model {
    seed: u64,
    by_attempt: bool,
    base: Instant,
    time: f64,
    scheduler: Scheduler,
    controller: Controller,
    pub(crate) speeds: Vec<f64>,
    versions: Vec<BTreeMap<Name, u64>>,
    streams: BTreeMap<AttemptId, Stream>,
    inbox: VecDeque<Event>,
    queue: BinaryHeap<Reverse<(u64, u64, Due)>>,
    pub(crate) learners: Vec<Learner>,
    number: u64,
    pub(crate) doomed: u64,
    pub(crate) hedged: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    End(AttemptId),
    Loaded(usize, Name, u64),
    Trained(usize),
}

impl Model {
    pub(crate) fn new(seed: u64, policy: Policy, by_attempt: bool) -> Self {
        let configuration = configuration(policy);
        let base = Instant::now();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let speeds = (0..ENGINES)
            .map(|_| 0.8 + 0.6 * uniform(&mut random))
            .collect();
        let models = || TRAINERS.map(|(name, ..)| (Name::from(name), 0)).into();
        let node = "node-1".into();
        Self {
            seed,
            by_attempt,
            base,
            time: 0.0,
            scheduler: Scheduler::new(base, Arc::clone(&configuration), node, Incarnation(1), seed),
            controller: Controller::new(configuration),
            speeds,
            versions: (0..ENGINES).map(|_| models()).collect(),
            streams: BTreeMap::new(),
            inbox: VecDeque::new(),
            queue: BinaryHeap::new(),
            learners: TRAINERS.iter().map(|_| Learner::default()).collect(),
            number: 0,
            doomed: 0,
            hedged: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        self.control(swap::Event::LeaseChanged(Some(Fence(1))));
        self.push(0.0, Due::Tick);
        (0..TRAINERS.len()).for_each(|trainer| self.begin(trainer));
        while !self.learners.iter().all(|learner| learner.done) {
            let Some(Reverse((time, _, due))) = self.queue.pop() else {
                panic!("nothing is left to happen");
            };
            self.time = time as f64 / 1e6;
            match due {
                Due::Tick => self.tick(),
                Due::End(attempt) => self.end(attempt),
                Due::Loaded(engine, model, version) => self.loaded(engine, model, version),
                Due::Trained(trainer) => self.trained(trainer),
            }
        }
        for (_, counters) in self.scheduler.take_counters().iter() {
            self.doomed += counters.doomed;
            self.hedged += counters.hedged;
        }
    }

    fn push(&mut self, delay: f64, due: Due) {
        self.number += 1;
        let time = ((self.time + delay) * 1e6).round() as u64;
        self.queue.push(Reverse((time, self.number, due)));
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.time)
    }

    /// Hands an event to the scheduler and carries out what follows from it.
    fn send(&mut self, event: Event) {
        self.inbox.push_back(event);
        while let Some(event) = self.inbox.pop_front() {
            for action in self.scheduler.handle(self.now(), event) {
                match action {
                    Action::Start(start) => self.start(*start),
                    Action::Cancel(attempt) => drop(self.streams.remove(&attempt)),
                    Action::Answer(number, Ok(answer)) => {
                        self.take(number as usize % TRAINERS.len(), &answer);
                    }
                    Action::Answer(..) | Action::Score(_) => {}
                    Action::Poll { server, number, .. } => {
                        let report = self.report(&server);
                        self.inbox
                            .push_back(Event::Polled(server, number, Some(report)));
                    }
                }
            }
        }
    }

    fn control(&mut self, event: swap::Event) {
        for action in self.controller.handle(self.now(), event) {
            match action {
                swap::Action::Poll { server, number, .. } => {
                    let report = self.report(&server);
                    self.control(swap::Event::Polled(server, number, Some(report)));
                }
                swap::Action::Load(command) => {
                    let engine = index_of(&command.server);
                    let due = Due::Loaded(engine, command.model.clone(), command.version.0);
                    self.push(LOAD_SECONDS, due);
                    self.send(Event::LoadStarted(command.server, command.model));
                }
            }
        }
    }

    fn report(&self, server: &Name) -> Report {
        let engine = index_of(server);
        let load = self
            .streams
            .values()
            .filter(|stream| stream.engine == engine);
        let versions = self.versions[engine].iter();
        Report {
            incarnation: 1,
            models: versions
                .map(|(model, version)| (model.clone(), Version(*version)))
                .collect(),
            swapping: None,
            load: load.count() as u32,
            slots: SLOTS,
            is_leaving: false,
        }
    }

    fn start(&mut self, start: Start) {
        let salt = if self.by_attempt { start.attempt.0 } else { 0 };
        let length = length(self.seed, &start.sample, salt);
        let engine = index_of(&start.server);
        let seconds = f64::from(length) * TOKEN_SECONDS * self.speeds[engine];
        self.push(seconds, Due::End(start.attempt));
        let stream = Stream {
            engine,
            length,
            emitted: 0,
            since: self.time,
            start,
        };
        self.streams.insert(stream.start.attempt, stream);
    }

    /// Reports the tokens that a stream has produced up to now.
    fn emit(&mut self, attempt: AttemptId, all: bool) {
        let Some(stream) = self.streams.get_mut(&attempt) else {
            return;
        };
        let rate = TOKEN_SECONDS * self.speeds[stream.engine];
        let produced = ((self.time - stream.since) / rate) as u32;
        let produced = if all {
            stream.length
        } else {
            produced.min(stream.length)
        };
        let (start, count) = (stream.emitted, produced - stream.emitted);
        if count == 0 {
            return;
        }
        stream.emitted = produced;
        let version = Version(self.versions[stream.engine][&stream.start.model]);
        let chunk = Chunk {
            start,
            count,
            text: String::new(),
            version,
        };
        let identity = stream.start.identity.clone();
        self.send(Event::Tokens(attempt, identity, chunk));
    }

    fn tick(&mut self) {
        let attempts: Vec<AttemptId> = self.streams.keys().copied().collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.emit(attempt, false));
        self.send(Event::Tick);
        self.control(swap::Event::Tick);
        self.push(TICK, Due::Tick);
    }

    fn end(&mut self, attempt: AttemptId) {
        self.emit(attempt, true);
        if let Some(stream) = self.streams.remove(&attempt) {
            self.send(Event::AttemptEnded(
                attempt,
                stream.start.identity,
                stream.length,
            ));
        }
    }

    fn loaded(&mut self, engine: usize, model: Name, version: u64) {
        let streams = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.engine == engine);
        let attempts: Vec<AttemptId> = streams.map(|(attempt, _)| *attempt).collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.emit(attempt, false));
        self.versions[engine].insert(model, version);
        let server = name_of(engine);
        self.send(Event::LoadEnded(server.clone()));
        self.control(swap::Event::CommandEnded(server, swap::Outcome::Done));
    }

    /// The trainer submits its step and the one after it, and pulls.
    fn begin(&mut self, trainer: usize) {
        let (name, groups, _) = TRAINERS[trainer];
        let step = self.learners[trainer].step;
        for step in step..(step + 2).min(STEPS) {
            let key = Key {
                trainer: name.into(),
                step,
            };
            let prompts = (0..groups).map(|group| group.to_string().into()).collect();
            let body = Specification {
                prompts,
                group_size: GROUP_SIZE,
                max_tokens: MAX_TOKENS,
            };
            self.send(Event::Submitted(key, Arc::new(body)));
        }
        self.learners[trainer].receipt = Receipt::default();
        self.learners[trainer].waiting = Some(self.time);
        let pull = self.pull(trainer);
        self.send(pull);
    }

    fn pull(&mut self, trainer: usize) -> Event {
        let learner = &self.learners[trainer];
        self.number += 1;
        Event::Pulled(Pull {
            // The trainer is found again by the number.
            number: self.number * TRAINERS.len() as u64 + trainer as u64,
            key: Key {
                trainer: TRAINERS[trainer].0.into(),
                step: learner.step,
            },
            receipt: learner.receipt.clone(),
            version: Version(learner.version),
            max_groups: 256,
            opened_at: self.now(),
            deadline: self.now() + Duration::from_secs(1_000_000),
        })
    }

    fn take(&mut self, trainer: usize, answer: &Answer) {
        let learner = &mut self.learners[trainer];
        for group in &answer.groups {
            learner.receipt.insert(group.group);
            for sample in &group.samples {
                let oldest = sample.oldest_version().unwrap_or_default();
                learner
                    .staleness
                    .push(learner.version.saturating_sub(oldest.0));
            }
        }
        if !answer.complete {
            let pull = self.pull(trainer);
            self.inbox.push_back(pull);
            return;
        }
        if let Some(since) = learner.waiting.take() {
            learner.idle += self.time - since;
        }
        self.push(TRAINERS[trainer].2, Due::Trained(trainer));
    }

    fn trained(&mut self, trainer: usize) {
        let learner = &mut self.learners[trainer];
        learner.step += 1;
        learner.version += 1;
        if learner.step == STEPS {
            learner.done = true;
            return;
        }
        let (name, version) = (Name::from(TRAINERS[trainer].0), Version(learner.version));
        self.send(Event::Announced(name.clone(), version));
        self.control(swap::Event::Announced(name, version));
        self.begin(trainer);
    }
}

fn configuration(policy: Policy) -> Arc<Configuration> {
    let trainer = |(name, ..): (&str, u32, f64)| {
        Object::Trainer(Trainer {
            name: name.into(),
            model: name.into(),
            pool: "samplers".into(),
            scorer: None,
            staleness_bound: 1,
            idle_weight: 0.5,
            share: 1.0,
            order: policy.order,
            tail: policy.tail,
            swap: policy.swap,
        })
    };
    let server = |index: usize| Server {
        name: name_of(index),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        zone: "colombo".into(),
        slots: SLOTS,
        state: ServerState::Active,
    };
    let pool = Object::Pool(Pool {
        name: "samplers".into(),
        backend: Backend::Engine,
        fencing: Some(Fencing::Checked),
        models: TRAINERS.map(|(name, ..)| name.into()).into(),
        selection: policy.selection,
        servers: (0..ENGINES).map(server).collect(),
    });
    let set = Set::new(TRAINERS.map(trainer).into_iter().chain([pool]));
    let configuration = Configuration::new(&set, Revision(1), &"samplers".into());
    Arc::new(configuration.expect("the pool is one of engines"))
}

fn name_of(engine: usize) -> Name {
    format!("engine-{engine}").into()
}

fn index_of(server: &str) -> usize {
    server
        .trim_start_matches("engine-")
        .parse()
        .expect("engines are numbered")
}
