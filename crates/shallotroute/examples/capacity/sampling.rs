//! CPU time and memory of a pool's scheduler, by the number of engines.

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

/// Numbers of engines in the pool; 10,000 samplers in pools of 128 are 79 pools.
const ENGINE_COUNTS: [u32; 4] = [8, 32, 128, 512];

const SLOTS: u32 = 8;
const GROUPS: u32 = 256;
const GROUP_SIZE: u32 = 8;
const SAMPLES: u32 = GROUPS * GROUP_SIZE;

/// Chunks in the token stream of a sample.
const CHUNKS: u32 = 8;
const CHUNK_TOKENS: u32 = 32;

/// Virtual time between two chunks of a sample.
const CHUNK_INTERVAL: Duration = Duration::from_millis(500);

/// Virtual time between two ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) fn print_table() {
    println!("\n### A pool's scheduler, one step of {SAMPLES} samples in groups of {GROUP_SIZE}\n");
    println!(
        "| engines | processor per sample, us | per engine and second, us | memory, MB | whole in, s |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for engines in ENGINE_COUNTS {
        let idle = Simulation::new(engines).idle(Duration::from_secs(20));
        let before = memory::allocated();
        let mut simulation = Simulation::new(engines);
        let (scheduler_time, step_time) = simulation.step();
        let memory = simulation.peak_memory.saturating_sub(before);
        let idle_cost = idle.as_secs_f64() / 20.0 / f64::from(engines);
        let samples =
            scheduler_time.as_secs_f64() - idle_cost * f64::from(engines) * step_time.as_secs_f64();
        println!(
            "| {engines} | {:.1} | {:.1} | {:.1} | {:.1} |",
            samples.max(0.0) * 1e6 / f64::from(SAMPLES),
            idle_cost * 1e6,
            memory as f64 / 1e6,
            step_time.as_secs_f64(),
        );
    }
}

/// A chunk that an engine sends later: its due time, the attempt's number and the chunk's index,
/// where [`CHUNKS`] stands for the end of the stream. `Reverse` makes the heap return the earliest
/// one first.
type ScheduledChunk = Reverse<(Instant, u64, u32)>;

/// A pool's scheduler with simulated engines that respond in virtual time.
struct Simulation {
    scheduler: Scheduler,
    now: Instant,
    scheduled_chunks: BinaryHeap<ScheduledChunk>,
    /// Running attempts with their identities, by number.
    attempts: BTreeMap<u64, (AttemptId, String)>,
    events: VecDeque<Event>,
    /// Time spent in the scheduler's own code.
    scheduler_time: Duration,
    /// Whether the trainer has received all groups of the step.
    is_complete: bool,
    receipt: Receipt,
    pulls: u64,
    /// Greatest heap memory seen so far, in bytes.
    peak_memory: usize,
}

impl Simulation {
    fn new(engines: u32) -> Self {
        let now = Instant::now();
        let configuration = Arc::new(configuration(engines));
        let node = Name::from("node-0");
        let scheduler = Scheduler::new(now, configuration, node, Incarnation(1), 1);
        Self {
            scheduler,
            now,
            scheduled_chunks: BinaryHeap::new(),
            attempts: BTreeMap::new(),
            events: VecDeque::new(),
            scheduler_time: Duration::ZERO,
            is_complete: false,
            receipt: Receipt::default(),
            pulls: 0,
            peak_memory: 0,
        }
    }

    /// Runs for `duration` without a step and returns the CPU time of the scheduler.
    fn idle(&mut self, duration: Duration) -> Duration {
        let end = self.now + duration;
        while self.now < end {
            self.advance();
        }
        self.scheduler_time
    }

    /// Runs one step. Returns the CPU time of the scheduler and the virtual time until the step was
    /// complete.
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
        while !self.is_complete {
            self.advance();
        }
        (self.scheduler_time, self.now - start)
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

    /// Advances the virtual time by one tick.
    fn advance(&mut self) {
        self.peak_memory = self.peak_memory.max(memory::allocated());
        self.now += TICK_INTERVAL;
        self.events.push_back(Event::Tick);
        while let Some(Reverse((at, number, chunk))) = self.scheduled_chunks.peek().copied() {
            if at > self.now {
                break;
            }
            self.scheduled_chunks.pop();
            self.emit_chunk(number, chunk);
        }
        while let Some(event) = self.events.pop_front() {
            let start = Instant::now();
            let actions = self.scheduler.handle(self.now, event);
            self.scheduler_time += start.elapsed();
            for action in actions {
                self.apply(action);
            }
        }
    }

    /// Sends the next chunk of an attempt that has not been cancelled, or the end of its stream.
    fn emit_chunk(&mut self, number: u64, chunk: u32) {
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
        self.scheduled_chunks
            .push(Reverse((self.now + CHUNK_INTERVAL, number, chunk + 1)));
    }

    /// Carries out an action of the scheduler on the simulated engines and trainer.
    fn apply(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.start_attempt(*start),
            Action::Cancel(attempt) => drop(self.attempts.remove(&attempt.0)),
            Action::Score(score) => {
                let event = Event::Scored(score.key, score.position, score.attempt, Some(1.0));
                self.events.push_back(event);
            }
            Action::Respond(_, Ok(response)) => {
                response
                    .groups
                    .iter()
                    .for_each(|group| self.receipt.insert(group.group));
                self.is_complete |= response.complete;
                if !self.is_complete {
                    self.pull();
                }
            }
            Action::Respond(_, Err(refusal)) => panic!("a pull should not be refused: {refusal:?}"),
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

    fn start_attempt(&mut self, start: Start) {
        let number = start.attempt.0;
        self.attempts
            .insert(number, (start.attempt, start.identity));
        self.scheduled_chunks
            .push(Reverse((self.now + CHUNK_INTERVAL, number, 0)));
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
