//! Simulates engines and trainers in virtual time around one scheduler and its swap controller.

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
    delivery::Response,
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
    ENGINES, GROUP_SIZE, LOAD_SECONDS, MAX_TOKENS, SLOTS, STEPS, TICK_SECONDS, TOKEN_SECONDS,
    TRAINERS, length, uniform,
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
    reported: u32,
    started_at: f64,
}

#[derive(Default)]
pub(crate) struct Learner {
    step: u64,
    version: u64,
    receipt: Receipt,
    waiting_since: Option<f64>,
    pub(crate) idle_seconds: f64,
    pub(crate) staleness: Vec<u64>,
    is_done: bool,
}

pub(crate) struct Model {
    seed: u64,
    draws_by_attempt: bool,
    start_time: Instant,
    now_seconds: f64,
    scheduler: Scheduler,
    controller: Controller,
    pub(crate) slowdowns: Vec<f64>,
    versions: Vec<BTreeMap<Name, u64>>,
    streams: BTreeMap<AttemptId, Stream>,
    inbox: VecDeque<Event>,
    timers: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    pub(crate) learners: Vec<Learner>,
    last_number: u64,
    pub(crate) doomed: u64,
    pub(crate) hedged: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Tick,
    StreamEnd(AttemptId),
    Loaded(usize, Name, u64),
    Trained(usize),
}

impl Model {
    pub(crate) fn new(seed: u64, policy: Policy, draws_by_attempt: bool) -> Self {
        let configuration = configuration(policy);
        let start_time = Instant::now();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let slowdowns = (0..ENGINES)
            .map(|_| 0.8 + 0.6 * uniform(&mut random))
            .collect();
        let models = || TRAINERS.map(|(name, ..)| (Name::from(name), 0)).into();
        let node = "node-1".into();
        Self {
            seed,
            draws_by_attempt,
            start_time,
            now_seconds: 0.0,
            scheduler: Scheduler::new(
                start_time,
                Arc::clone(&configuration),
                node,
                Incarnation(1),
                seed,
            ),
            controller: Controller::new(configuration),
            slowdowns,
            versions: (0..ENGINES).map(|_| models()).collect(),
            streams: BTreeMap::new(),
            inbox: VecDeque::new(),
            timers: BinaryHeap::new(),
            learners: TRAINERS.iter().map(|_| Learner::default()).collect(),
            last_number: 0,
            doomed: 0,
            hedged: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        self.control(swap::Event::LeaseChanged(Some(Fence(1))));
        self.set_timer(0.0, Timer::Tick);
        (0..TRAINERS.len()).for_each(|trainer| self.begin_step(trainer));
        while !self.learners.iter().all(|learner| learner.is_done) {
            let Some(Reverse((time, _, timer))) = self.timers.pop() else {
                panic!("no timer is set although a trainer has not finished");
            };
            self.now_seconds = time as f64 / 1e6;
            match timer {
                Timer::Tick => self.tick(),
                Timer::StreamEnd(attempt) => self.end_stream(attempt),
                Timer::Loaded(engine, model, version) => self.finish_load(engine, model, version),
                Timer::Trained(trainer) => self.finish_training(trainer),
            }
        }
        for (_, counters) in self.scheduler.take_counters().iter() {
            self.doomed += counters.doomed;
            self.hedged += counters.hedged;
        }
    }

    fn set_timer(&mut self, delay: f64, timer: Timer) {
        self.last_number += 1;
        let time = ((self.now_seconds + delay) * 1e6).round() as u64;
        self.timers.push(Reverse((time, self.last_number, timer)));
    }

    fn now(&self) -> Instant {
        self.start_time + Duration::from_secs_f64(self.now_seconds)
    }

    /// Passes an event to the scheduler and carries out the actions.
    fn send(&mut self, event: Event) {
        self.inbox.push_back(event);
        while let Some(event) = self.inbox.pop_front() {
            for action in self.scheduler.handle(self.now(), event) {
                match action {
                    Action::Start(start) => self.start_stream(*start),
                    Action::Cancel(attempt) => drop(self.streams.remove(&attempt)),
                    Action::Respond(number, Ok(response)) => {
                        self.receive_groups(number as usize % TRAINERS.len(), &response);
                    }
                    Action::Respond(..) | Action::Score(_) => {}
                    Action::Poll { server, number, .. } => {
                        let report = self.report(&server);
                        self.inbox
                            .push_back(Event::Polled(server, number, Some(report)));
                    }
                }
            }
        }
    }

    /// Passes an event to the swap controller and carries out the actions.
    fn control(&mut self, event: swap::Event) {
        for action in self.controller.handle(self.now(), event) {
            match action {
                swap::Action::Poll { server, number, .. } => {
                    let report = self.report(&server);
                    self.control(swap::Event::Polled(server, number, Some(report)));
                }
                swap::Action::Load(command) => {
                    let engine = index_of(&command.server);
                    let timer = Timer::Loaded(engine, command.model.clone(), command.version.0);
                    self.set_timer(LOAD_SECONDS, timer);
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

    fn start_stream(&mut self, start: Start) {
        let salt = if self.draws_by_attempt {
            start.attempt.0
        } else {
            0
        };
        let length = length(self.seed, &start.sample, salt);
        let engine = index_of(&start.server);
        let seconds = f64::from(length) * TOKEN_SECONDS * self.slowdowns[engine];
        self.set_timer(seconds, Timer::StreamEnd(start.attempt));
        let stream = Stream {
            engine,
            length,
            reported: 0,
            started_at: self.now_seconds,
            start,
        };
        self.streams.insert(stream.start.attempt, stream);
    }

    /// Reports the tokens that a stream has generated since the last report, or all that are left
    /// with `is_complete`.
    fn report_tokens(&mut self, attempt: AttemptId, is_complete: bool) {
        let Some(stream) = self.streams.get_mut(&attempt) else {
            return;
        };
        let token_seconds = TOKEN_SECONDS * self.slowdowns[stream.engine];
        let generated = ((self.now_seconds - stream.started_at) / token_seconds) as u32;
        let generated = if is_complete {
            stream.length
        } else {
            generated.min(stream.length)
        };
        let (start, count) = (stream.reported, generated - stream.reported);
        if count == 0 {
            return;
        }
        stream.reported = generated;
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
            .for_each(|attempt| self.report_tokens(attempt, false));
        self.send(Event::Tick);
        self.control(swap::Event::Tick);
        self.set_timer(TICK_SECONDS, Timer::Tick);
    }

    fn end_stream(&mut self, attempt: AttemptId) {
        self.report_tokens(attempt, true);
        if let Some(stream) = self.streams.remove(&attempt) {
            self.send(Event::AttemptEnded(
                attempt,
                stream.start.identity,
                stream.length,
            ));
        }
    }

    fn finish_load(&mut self, engine: usize, model: Name, version: u64) {
        let streams = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.engine == engine);
        let attempts: Vec<AttemptId> = streams.map(|(attempt, _)| *attempt).collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.report_tokens(attempt, false));
        self.versions[engine].insert(model, version);
        let server = name_of(engine);
        self.send(Event::LoadEnded(server.clone()));
        self.control(swap::Event::CommandEnded(server, swap::Outcome::Done));
    }

    /// Submits a trainer's current step and the one after it, and opens a pull.
    fn begin_step(&mut self, trainer: usize) {
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
        self.learners[trainer].waiting_since = Some(self.now_seconds);
        let pull = self.next_pull(trainer);
        self.send(pull);
    }

    fn next_pull(&mut self, trainer: usize) -> Event {
        let learner = &self.learners[trainer];
        self.last_number += 1;
        Event::Pulled(Pull {
            // The response is routed to the trainer by the remainder of the number.
            number: self.last_number * TRAINERS.len() as u64 + trainer as u64,
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

    fn receive_groups(&mut self, trainer: usize, response: &Response) {
        let learner = &mut self.learners[trainer];
        for group in &response.groups {
            learner.receipt.insert(group.group);
            for sample in &group.samples {
                let oldest = sample.oldest_version().unwrap_or_default();
                learner
                    .staleness
                    .push(learner.version.saturating_sub(oldest.0));
            }
        }
        if !response.complete {
            let pull = self.next_pull(trainer);
            self.inbox.push_back(pull);
            return;
        }
        if let Some(since) = learner.waiting_since.take() {
            learner.idle_seconds += self.now_seconds - since;
        }
        self.set_timer(TRAINERS[trainer].2, Timer::Trained(trainer));
    }

    fn finish_training(&mut self, trainer: usize) {
        let learner = &mut self.learners[trainer];
        learner.step += 1;
        learner.version += 1;
        if learner.step == STEPS {
            learner.is_done = true;
            return;
        }
        let (name, version) = (Name::from(TRAINERS[trainer].0), Version(learner.version));
        self.send(Event::Announced(name.clone(), version));
        self.control(swap::Event::Announced(name, version));
        self.begin_step(trainer);
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
