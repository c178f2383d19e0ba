//! Several nodes that want one lease, with clocks that drift and a store that fails, on virtual time.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_lease::lease::{Action, Config, Event, Failure, Lease, Record};
use shallotroute_types::{fence::Fence, name::Name, node::Incarnation};

const STEP: Duration = Duration::from_millis(10);
const TICK_STEPS: u32 = 5;

/// How long a driver waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Clock rates of the nodes; the first two differ by 2%.
const RATES: [f64; 4] = [1.01, 0.99, 1.0, 1.005];

pub(crate) const NODES: usize = RATES.len();

/// A call on its way to the store or its answer on the way back.
struct Call {
    request: Action,
    arrives: Duration,
    answers: Duration,
    expires: Duration,
    answer: Option<Event>,
    done: bool,
}

struct Node {
    lease: Lease,
    call: Option<Call>,
    /// Calls that the driver gave up and that the store may still get.
    stray: Vec<Call>,
    paused: bool,
    running: bool,
    incarnation: u64,
}

pub(crate) struct World {
    nodes: Vec<Node>,
    base: Instant,
    pub(crate) elapsed: Duration,
    record: Option<(Record, u64)>,
    pub(crate) outage: bool,
    pub(crate) lost: f64,
    pub(crate) longest_delay: Duration,
    random: ChaCha8Rng,
    steps: u32,
    /// The newest holder as node and incarnation, with its fencing number.
    newest: Option<(usize, u64, Fence)>,
}

fn lease(index: usize, incarnation: u64, now: Instant) -> Lease {
    let config = Config {
        role: Name::new("pool"),
        holder: Name::new(format!("n{index}")),
        incarnation: Incarnation(incarnation),
        duration: Duration::from_secs(3),
        renew_every: Duration::from_secs(1),
        margin: Duration::from_millis(500),
    };
    Lease::new(config, now)
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let base = Instant::now();
        let node = |index| Node {
            lease: lease(index, 100, base),
            call: None,
            stray: Vec::new(),
            paused: false,
            running: true,
            incarnation: 100,
        };
        let mut world = Self {
            nodes: (0..NODES).map(node).collect(),
            base,
            elapsed: Duration::ZERO,
            record: None,
            outage: false,
            lost: 0.0,
            longest_delay: Duration::from_millis(10),
            random: ChaCha8Rng::seed_from_u64(seed),
            steps: 0,
            newest: None,
        };
        for index in 0..NODES {
            world.want(index, true);
        }
        world
    }

    fn local(&self, index: usize) -> Instant {
        self.base + self.elapsed.mul_f64(RATES[index])
    }

    /// Returns the nodes that would act as holders at this instant of true time.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            node.running && node.lease.held(self.local(*index)).is_some()
        };
        (0..NODES).filter(holds).collect()
    }

    pub(crate) fn want(&mut self, index: usize, wanted: bool) {
        if self.nodes[index].running && !self.nodes[index].paused {
            self.event(index, Event::Wanted(wanted));
        }
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.nodes[index].paused = paused;
    }

    pub(crate) fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.running = false;
        node.stray.extend(node.call.take());
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        if !node.running {
            node.incarnation += 1;
            node.lease = lease(index, node.incarnation, now);
            (node.running, node.paused) = (true, false);
            self.want(index, true);
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.elapsed + duration;
        while self.elapsed < end {
            self.step();
        }
    }

    /// Runs until the condition holds; none when it does not within the limit.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.elapsed;
        while !condition(self) {
            if self.elapsed >= start + limit {
                return None;
            }
            self.step();
        }
        Some(self.elapsed - start)
    }

    fn step(&mut self) {
        self.elapsed += STEP;
        self.steps += 1;
        for index in 0..NODES {
            self.deliver(index);
            let node = &self.nodes[index];
            if node.running && !node.paused && self.steps.is_multiple_of(TICK_STEPS) {
                self.event(index, Event::Tick);
            }
        }
        let holders = self.holders();
        assert!(
            holders.len() <= 1,
            "two holders at {:?}: {holders:?}",
            self.elapsed
        );
    }

    fn deliver(&mut self, index: usize) {
        let mut stray = std::mem::take(&mut self.nodes[index].stray);
        for call in &mut stray {
            self.serve(call);
        }
        stray.retain(|call| !call.done);
        self.nodes[index].stray = stray;
        let Some(mut call) = self.nodes[index].call.take() else {
            return;
        };
        self.serve(&mut call);
        if self.nodes[index].paused {
            self.nodes[index].call = Some(call);
        } else if call.answer.is_some() && self.elapsed >= call.answers {
            let event = call.answer.take();
            self.event(index, event.unwrap_or(Event::Tick));
        } else if self.elapsed >= call.expires {
            let failed = failure(&call.request, Failure::Lost);
            self.nodes[index].stray.push(call);
            self.event(index, failed);
        } else {
            self.nodes[index].call = Some(call);
        }
    }

    /// Carries out a call when it arrives at the store.
    fn serve(&mut self, call: &mut Call) {
        if call.done || self.elapsed < call.arrives {
            return;
        }
        call.done = true;
        if self.outage {
            return;
        }
        let answer = match &call.request {
            Action::Read => Event::Read {
                result: Ok(self.record.clone()),
            },
            Action::Swap { expected, record } => {
                let version = self.record.as_ref().map_or(0, |(_, version)| *version);
                let result = if version == *expected {
                    self.record = Some((record.clone(), version + 1));
                    Ok(version + 1)
                } else {
                    Err(Failure::Conflict)
                };
                Event::Swapped {
                    nonce: record.nonce,
                    result,
                }
            }
            Action::Acquired(_) | Action::Released => return,
        };
        if !self.random.random_bool(self.lost) {
            call.answer = Some(answer);
        }
    }

    fn event(&mut self, index: usize, event: Event) {
        let now = self.local(index);
        let actions = self.nodes[index].lease.handle(event, now);
        for action in actions {
            match action {
                Action::Acquired(fence) => self.acquired(index, fence),
                Action::Released => {}
                Action::Read | Action::Swap { .. } if self.outage => {
                    let failed = failure(&action, Failure::Unreachable);
                    self.event(index, failed);
                }
                request @ (Action::Read | Action::Swap { .. }) => self.send(index, request),
            }
        }
    }

    fn send(&mut self, index: usize, request: Action) {
        let longest = self.longest_delay.as_millis() as u64;
        let mut delay = || Duration::from_millis(self.random.random_range(1..=longest));
        let arrives = self.elapsed + delay();
        let answers = arrives + delay();
        let call = Call {
            request,
            arrives,
            answers,
            expires: self.elapsed + CALL_TIMEOUT,
            answer: None,
            done: false,
        };
        assert!(self.nodes[index].call.is_none(), "two calls at a time");
        self.nodes[index].call = Some(call);
    }

    /// Checks that the number rises with each change of holder and never falls.
    fn acquired(&mut self, index: usize, fence: Fence) {
        let holder = (index, self.nodes[index].incarnation);
        if let Some((node, incarnation, newest)) = self.newest {
            let same = (node, incarnation) == holder;
            assert!(
                fence > newest || same && fence == newest,
                "{fence} after {newest}"
            );
        }
        self.newest = Some((holder.0, holder.1, fence));
    }
}

fn failure(request: &Action, failure: Failure) -> Event {
    match request {
        Action::Swap { record, .. } => Event::Swapped {
            nonce: record.nonce,
            result: Err(failure),
        },
        _ => Event::Read {
            result: Err(failure),
        },
    }
}
