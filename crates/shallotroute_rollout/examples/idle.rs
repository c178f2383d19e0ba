//! Drives the scheduler and the controller against modelled engines in virtual time and prints the
//! idle time of two trainers by order and tail policy.
//!
//! `cargo run --release -p shallotroute_rollout --example idle [-- sample|attempt]`; lengths belong to
//! the sample (default) or are drawn anew for each attempt.
#![allow(clippy::print_stdout, reason = "the table is the result")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
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
    step::{Attempt, Key, Specification},
    swap::{self, Controller},
};
use shallotroute_types::{
    fence::Fence, name::Name, node::Incarnation, revision::Revision, sample::Identity,
    version::Version,
};

const ENGINES: usize = 8;
const SLOTS: u32 = 8;
const STEPS: u64 = 12;
const GROUP_SIZE: u32 = 8;
const MAX_TOKENS: u32 = 4096;
/// Groups in a step and seconds of training after it, by trainer.
const TRAINERS: [(&str, u32, f64); 2] = [("association", 32, 20.0), ("puhasvoog", 12, 12.0)];
/// Lengths are log-normal: median 200 tokens, and one in a hundred above 2,000.
const MEDIAN_TOKENS: f64 = 200.0;
const SIGMA: f64 = 1.0;
/// Seconds for a token on an engine of factor 1.
const TOKEN_SECONDS: f64 = 0.02;
const LOAD_SECONDS: f64 = 2.0;
const TICK: f64 = 0.25;
const SEEDS: u64 = 5;

#[derive(Clone, Copy)]
struct Policy {
    order: Order,
    tail: Tail,
    swap: Swap,
    selection: Selection,
}

struct Stream {
    start: Start,
    engine: usize,
    length: u32,
    emitted: u32,
    since: f64,
}

#[derive(Default)]
struct Learner {
    step: u64,
    version: u64,
    receipt: Receipt,
    waiting: Option<f64>,
    idle: f64,
    staleness: Vec<u64>,
    done: bool,
}

struct Model {
    seed: u64,
    by_attempt: bool,
    base: Instant,
    time: f64,
    scheduler: Scheduler,
    controller: Controller,
    speeds: Vec<f64>,
    versions: Vec<BTreeMap<Name, u64>>,
    streams: BTreeMap<Attempt, Stream>,
    inbox: VecDeque<Event>,
    queue: BinaryHeap<Reverse<(u64, u64, Due)>>,
    learners: Vec<Learner>,
    number: u64,
    doomed: u64,
    hedged: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    End(Attempt),
    Loaded(usize, Name, u64),
    Trained(usize),
}

impl Model {
    fn new(seed: u64, policy: Policy, by_attempt: bool) -> Self {
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

    fn run(&mut self) {
        self.control(swap::Event::Held(Some(Fence(1))));
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
                    self.send(Event::Commanded(command.server, command.model));
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
            leaving: false,
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
    fn emit(&mut self, attempt: Attempt, all: bool) {
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
        let attempts: Vec<Attempt> = self.streams.keys().copied().collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.emit(attempt, false));
        self.send(Event::Tick);
        self.control(swap::Event::Tick);
        self.push(TICK, Due::Tick);
    }

    fn end(&mut self, attempt: Attempt) {
        self.emit(attempt, true);
        if let Some(stream) = self.streams.remove(&attempt) {
            self.send(Event::Ended(attempt, stream.start.identity, stream.length));
        }
    }

    fn loaded(&mut self, engine: usize, model: Name, version: u64) {
        let streams = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.engine == engine);
        let attempts: Vec<Attempt> = streams.map(|(attempt, _)| *attempt).collect();
        attempts
            .into_iter()
            .for_each(|attempt| self.emit(attempt, false));
        self.versions[engine].insert(model, version);
        let server = name_of(engine);
        self.send(Event::CommandEnded(server.clone()));
        self.control(swap::Event::Ended(server, swap::Outcome::Done));
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
            opened: self.now(),
            deadline: self.now() + Duration::from_secs(1_000_000),
        })
    }

    fn take(&mut self, trainer: usize, answer: &Answer) {
        let learner = &mut self.learners[trainer];
        for group in &answer.groups {
            learner.receipt.insert(group.group);
            for sample in &group.samples {
                let oldest = sample.oldest().unwrap_or_default();
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

fn uniform(random: &mut ChaCha8Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Draws a length; the same for the same sample and salt.
fn length(seed: u64, sample: &Identity, salt: u64) -> u32 {
    let trainer = sample.trainer.bytes().map(u64::from).sum::<u64>();
    let place = sample.step << 32 | u64::from(sample.group) << 8 | u64::from(sample.index);
    let mut random = ChaCha8Rng::seed_from_u64(
        seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ place ^ trainer << 48 ^ salt.rotate_left(40),
    );
    // Box and Muller's method for a normal deviate.
    let radius = (-2.0 * (1.0 - uniform(&mut random)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(&mut random)).cos();
    ((MEDIAN_TOKENS * (SIGMA * normal).exp()) as u32).clamp(1, MAX_TOKENS)
}

/// Returns a lower bound for the idle seconds of both trainers together, the greater of two.
///
/// Longest sample: with a bound of 1, no sample of a step can start before the trainer has learned
/// from the step two before it, and the longest one takes its time on the fastest engine. Total work:
/// the last trainer's last step is not whole before all work has run on all slots.
fn lower_bound(seed: u64) -> f64 {
    let model = Model::new(seed, POLICIES[0].1, false);
    let fastest = model.speeds.iter().copied().fold(f64::MAX, f64::min);
    let slots = model.speeds.iter();
    let rate: f64 = slots
        .map(|speed| f64::from(SLOTS) / speed / TOKEN_SECONDS)
        .sum();
    let mut chains = 0.0;
    let mut work = 0.0;
    for (name, groups, seconds) in TRAINERS {
        let mut learned = vec![0.0_f64];
        for step in 0..STEPS {
            let samples = (0..groups).flat_map(|g| (0..GROUP_SIZE).map(move |i| (g, i)));
            let lengths = samples.map(|(group, index)| {
                let sample = Identity {
                    trainer: name.into(),
                    step,
                    group,
                    index,
                };
                length(seed, &sample, 0)
            });
            let lengths: Vec<u32> = lengths.collect();
            work += lengths.iter().copied().map(f64::from).sum::<f64>();
            let longest = f64::from(lengths.into_iter().max().unwrap_or(0));
            let start = learned[(step as usize).saturating_sub(1)];
            let whole = learned[step as usize].max(start + longest * TOKEN_SECONDS * fastest);
            learned.push(whole + seconds);
        }
        chains += learned[STEPS as usize] - STEPS as f64 * seconds;
    }
    let spans = TRAINERS.map(|(.., seconds)| work / rate - (STEPS - 1) as f64 * seconds);
    chains.max(spans.into_iter().fold(f64::MAX, f64::min))
}

const BASE: Policy = Policy {
    order: Order::Fcfs,
    tail: Tail::None,
    swap: Swap::AllAtOnce,
    selection: Selection::RoundRobin,
};

const POLICIES: [(&str, Policy); 12] = {
    let chosen = Policy {
        selection: Selection::Adaptive,
        swap: Swap::Waves,
        ..BASE
    };
    [
        ("baselines", BASE),
        (
            "least_loaded",
            Policy {
                selection: Selection::LeastLoaded,
                ..BASE
            },
        ),
        (
            "adaptive",
            Policy {
                selection: Selection::Adaptive,
                ..BASE
            },
        ),
        ("adaptive waves fcfs none", chosen),
        (
            "adaptive waves fair none",
            Policy {
                order: Order::Fair,
                ..chosen
            },
        ),
        (
            "adaptive waves least_remaining none",
            Policy {
                order: Order::LeastRemaining,
                ..chosen
            },
        ),
        (
            "adaptive waves joint none",
            Policy {
                order: Order::Joint,
                ..chosen
            },
        ),
        (
            "adaptive waves fcfs hedge",
            Policy {
                tail: Tail::Hedge,
                ..chosen
            },
        ),
        (
            "adaptive waves fair hedge",
            Policy {
                order: Order::Fair,
                tail: Tail::Hedge,
                ..chosen
            },
        ),
        (
            "adaptive waves least_remaining hedge",
            Policy {
                order: Order::LeastRemaining,
                tail: Tail::Hedge,
                ..chosen
            },
        ),
        (
            "adaptive waves least_remaining priority",
            Policy {
                order: Order::LeastRemaining,
                tail: Tail::Priority,
                ..chosen
            },
        ),
        (
            "adaptive waves joint hedge",
            Policy {
                order: Order::Joint,
                tail: Tail::Hedge,
                ..chosen
            },
        ),
    ]
};

fn main() {
    let by_attempt = std::env::args().nth(1).as_deref() == Some("attempt");
    println!(
        "lengths belong to the {}",
        if by_attempt { "attempt" } else { "sample" }
    );
    println!(
        "{:40} {:>32} {:>7} {:>7} {:>9} {:>7} {:>7}",
        "policy", "idle seconds by seed", "mean", "idle %", "stale avg", "doomed", "hedged"
    );
    for (name, policy) in POLICIES {
        let mut idle = Vec::new();
        let (mut total, mut ages, mut doomed, mut hedged) = (0.0, Vec::new(), 0, 0);
        for seed in 1..=SEEDS {
            let mut model = Model::new(seed, policy, by_attempt);
            model.run();
            idle.push(
                model
                    .learners
                    .iter()
                    .map(|learner| learner.idle)
                    .sum::<f64>(),
            );
            let train: f64 = TRAINERS
                .iter()
                .map(|(.., seconds)| seconds * STEPS as f64)
                .sum();
            total += train + idle[idle.len() - 1];
            ages.extend(
                model
                    .learners
                    .iter()
                    .flat_map(|learner| learner.staleness.clone()),
            );
            doomed += model.doomed;
            hedged += model.hedged;
        }
        let sum: f64 = idle.iter().sum();
        let age = ages.iter().sum::<u64>() as f64 / ages.len() as f64;
        let by_seed: Vec<String> = idle.iter().map(|idle| format!("{idle:.0}")).collect();
        println!(
            "{name:40} {:>32} {:7.0} {:7.1} {age:9.2} {doomed:7} {hedged:7}",
            by_seed.join(" "),
            sum / SEEDS as f64,
            100.0 * sum / total,
        );
        assert!(
            ages.iter().all(|age| *age <= 1),
            "a sample is beyond the bound"
        );
    }
    if by_attempt {
        // A second attempt may be shorter, so that the longest sample bounds nothing.
        return;
    }
    let bounds: Vec<f64> = (1..=SEEDS).map(lower_bound).collect();
    let by_seed: Vec<String> = bounds.iter().map(|bound| format!("{bound:.0}")).collect();
    let mean = bounds.iter().sum::<f64>() / SEEDS as f64;
    println!("{:40} {:>32} {mean:7.0}", "lower bound", by_seed.join(" "));
}
