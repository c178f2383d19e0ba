//! The cost of a pool's scheduler by the number of engines and samples.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_config::object::{Order, Selection, Swap, Tail, Trainer};
use shallotroute_rollout::{
    configuration::{Configuration, Server},
    engine::Report,
    provenance::Chunk,
    receipt::Receipt,
    scheduler::{Action, Event, Pull, Scheduler, Start},
    step::{AttemptId, Key, Specification},
};
use shallotroute_types::{name::Name, node::Incarnation, revision::Revision, version::Version};

use crate::memory;

/// Engines of a pool; 10,000 samplers in pools of 128 are 79 pools.
const ENGINES: [u32; 4] = [8, 32, 128, 512];

const SLOTS: u32 = 8;
const GROUPS: u32 = 256;
const GROUP_SIZE: u32 = 8;
const SAMPLES: u32 = GROUPS * GROUP_SIZE;

/// Chunks of a sample's stream and the time between two of them.
const CHUNKS: u32 = 8;
const CHUNK_TOKENS: u32 = 32;
const CHUNK_TIME: Duration = Duration::from_millis(500);

const TICK: Duration = Duration::from_millis(50);

pub(crate) fn print() {
    println!("\n### A pool's scheduler, one step of {SAMPLES} samples in groups of {GROUP_SIZE}\n");
    println!(
        "| engines | processor per sample, us | per engine and second, us | memory, MB | whole in, s |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for engines in ENGINES {
        let idle = Run::new(engines).idle(Duration::from_secs(20));
        let before = memory::allocated();
        let mut run = Run::new(engines);
        let (busy, whole) = run.step();
        let memory = run.peak.saturating_sub(before);
        let upkeep = idle.as_secs_f64() / 20.0 / f64::from(engines);
        let samples = busy.as_secs_f64() - upkeep * f64::from(engines) * whole.as_secs_f64();
        println!(
            "| {engines} | {:.1} | {:.1} | {:.1} | {:.1} |",
            samples.max(0.0) * 1e6 / f64::from(SAMPLES),
            upkeep * 1e6,
            memory as f64 / 1e6,
            whole.as_secs_f64(),
        );
    }
}

/// Something that an engine does later, ordered by time.
type Later = Reverse<(Instant, u64, u32)>;

/// A scheduler with engines that answer in virtual time.
struct Run {
    scheduler: Scheduler,
    now: Instant,
    later: BinaryHeap<Later>,
    attempts: BTreeMap<u64, (AttemptId, String)>,
    events: VecDeque<Event>,
    busy: Duration,
    complete: bool,
    receipt: Receipt,
    pulls: u64,
    peak: usize,
}

impl Run {
    fn new(engines: u32) -> Self {
        let now = Instant::now();
        let configuration = Arc::new(configuration(engines));
        let node = Name::from("node-0");
        let scheduler = Scheduler::new(now, configuration, node, Incarnation(1), 1);
        Self {
            scheduler,
            now,
            later: BinaryHeap::new(),
            attempts: BTreeMap::new(),
            events: VecDeque::new(),
            busy: Duration::ZERO,
            complete: false,
            receipt: Receipt::default(),
            pulls: 0,
            peak: 0,
        }
    }

    /// Runs without a step and returns the processor time.
    fn idle(&mut self, span: Duration) -> Duration {
        let end = self.now + span;
        while self.now < end {
            self.advance();
        }
        self.busy
    }

    /// Runs one step and returns the processor time and the virtual time until it was whole.
    fn step(&mut self) -> (Duration, Duration) {
        let key = key();
        let prompts = (0..GROUPS)
            .map(|group| Arc::from(format!("prompt {group}")))
            .collect();
        let max_tokens = CHUNKS * CHUNK_TOKENS;
        let specification = Specification {
            prompts,
            group_size: GROUP_SIZE,
            max_tokens,
        };
        self.events
            .push_back(Event::Announced(key.trainer.clone(), Version(1)));
        self.events
            .push_back(Event::Submitted(key, Arc::new(specification)));
        self.pull();
        let start = self.now;
        while !self.complete {
            self.advance();
        }
        (self.busy, self.now - start)
    }

    fn pull(&mut self) {
        self.pulls += 1;
        self.events.push_back(Event::Pulled(Pull {
            number: self.pulls,
            key: key(),
            receipt: self.receipt.clone(),
            version: Version(1),
            max_groups: GROUPS as usize,
            opened_at: self.now,
            deadline: self.now + Duration::from_secs(1),
        }));
    }

    fn advance(&mut self) {
        self.peak = self.peak.max(memory::allocated());
        self.now += TICK;
        self.events.push_back(Event::Tick);
        while let Some(Reverse((at, number, chunk))) = self.later.peek().copied() {
            if at > self.now {
                break;
            }
            self.later.pop();
            self.stream(number, chunk);
        }
        while let Some(event) = self.events.pop_front() {
            let start = Instant::now();
            let actions = self.scheduler.handle(self.now, event);
            self.busy += start.elapsed();
            for action in actions {
                self.act(action);
            }
        }
    }

    fn stream(&mut self, number: u64, chunk: u32) {
        let Some((attempt, identity)) = self.attempts.get(&number).cloned() else {
            return;
        };
        if chunk == CHUNKS {
            self.attempts.remove(&number);
            let event = Event::AttemptEnded(attempt, identity, CHUNKS * CHUNK_TOKENS);
            self.events.push_back(event);
            return;
        }
        let tokens = Chunk {
            start: chunk * CHUNK_TOKENS,
            count: CHUNK_TOKENS,
            text: "x".repeat(4 * CHUNK_TOKENS as usize),
            version: Version(1),
        };
        self.events
            .push_back(Event::Tokens(attempt, identity, tokens));
        self.later
            .push(Reverse((self.now + CHUNK_TIME, number, chunk + 1)));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.start(*start),
            Action::Cancel(attempt) => drop(self.attempts.remove(&attempt.0)),
            Action::Score(score) => {
                let event = Event::Scored(score.key, score.position, score.attempt, Some(1.0));
                self.events.push_back(event);
            }
            Action::Answer(_, Ok(answer)) => {
                answer
                    .groups
                    .iter()
                    .for_each(|group| self.receipt.insert(group.group));
                self.complete |= answer.complete;
                if !self.complete {
                    self.pull();
                }
            }
            Action::Answer(_, Err(refusal)) => panic!("a pull should not be refused: {refusal:?}"),
            Action::Poll { server, number, .. } => {
                let report = Report {
                    incarnation: 1,
                    models: BTreeMap::from([(Name::from("model"), Version(1))]),
                    slots: SLOTS,
                    ..Report::default()
                };
                self.events
                    .push_back(Event::Polled(server, number, Some(report)));
            }
        }
    }

    fn start(&mut self, start: Start) {
        let number = start.attempt.0;
        self.attempts
            .insert(number, (start.attempt, start.identity));
        self.later.push(Reverse((self.now + CHUNK_TIME, number, 0)));
    }
}

fn key() -> Key {
    Key {
        trainer: Name::from("trainer"),
        step: 1,
    }
}

fn configuration(engines: u32) -> Configuration {
    let server = |number: u32| Server {
        address: SocketAddr::from((Ipv4Addr::from(0x7f20_0000 + number), 9000)),
        zone: Name::from(format!("zone-{}", number % 14)),
        slots: SLOTS,
        is_leaving: false,
    };
    let name = |number: u32| Name::from(format!("engine-{number:05}"));
    Configuration {
        revision: Revision(1),
        pool: Name::from("pool"),
        selection: Selection::Adaptive,
        servers: (0..engines)
            .map(|number| (name(number), server(number)))
            .collect(),
        trainers: BTreeMap::from([(Name::from("trainer"), trainer())]),
        withdrawn: BTreeSet::new(),
        serves_callers: false,
        models: BTreeMap::from([(Name::from("model"), Version(1))]),
    }
}

fn trainer() -> Trainer {
    Trainer {
        name: Name::from("trainer"),
        model: Name::from("model"),
        pool: Name::from("pool"),
        scorer: None,
        staleness_bound: 2,
        idle_weight: 0.5,
        share: 1.0,
        order: Order::LeastRemaining,
        tail: Tail::Hedge,
        swap: Swap::Waves,
    }
}
