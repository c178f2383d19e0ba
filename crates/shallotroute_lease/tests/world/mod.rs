//! Several nodes that compete for one lease in virtual time, with clocks that drift and a store that
//! fails.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_lease::lease::{Action, Config, Event, Failure, Lease, Record};
use shallotroute_types::{fence::Fence, name::Name, node::Incarnation};

/// The step of virtual time.
const TIME_STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: u32 = 5;

/// How long a driver waits for a response of the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The rates of the nodes' clocks relative to true time; the first two differ by 2%.
const CLOCK_RATES: [f64; 4] = [1.01, 0.99, 1.0, 1.005];

pub(crate) const NODES: usize = CLOCK_RATES.len();

/// A call to the store. The times are true time since the start.
struct Call {
    request: Action,
    /// When the call reaches the store.
    arrives_at: Duration,
    /// When the response reaches the node.
    responds_at: Duration,
    /// When the driver gives the call up.
    expires_at: Duration,
    /// The response, unless it was lost or the call has not reached the store.
    response: Option<Event>,
    /// Whether the call has reached the store.
    is_served: bool,
}

struct Node {
    lease: Lease,
    call: Option<Call>,
    /// Calls that the driver gave up and that may still reach the store.
    abandoned_calls: Vec<Call>,
    is_paused: bool,
    is_running: bool,
    incarnation: u64,
}

pub(crate) struct World {
    nodes: Vec<Node>,
    base: Instant,
    /// True time since the start.
    pub(crate) elapsed: Duration,
    /// The stored value and its version.
    record: Option<(Record, u64)>,
    /// Whether the store is unreachable.
    pub(crate) has_outage: bool,
    /// The probability with which a response is lost.
    pub(crate) loss_probability: f64,
    /// The longest delay of a call, and of a response.
    pub(crate) longest_delay: Duration,
    rng: ChaCha8Rng,
    steps: u32,
    /// The node, the incarnation and the fencing number of the last acquisition.
    newest_holder: Option<(usize, u64, Fence)>,
}

fn lease(index: usize, incarnation: u64, now: Instant) -> Lease {
    let config = Config {
        role: Name::new("pool"),
        holder: Name::new(format!("n{index}")),
        incarnation: Incarnation(incarnation),
        ttl: Duration::from_secs(3),
        renewal_interval: Duration::from_secs(1),
        clock_margin: Duration::from_millis(500),
    };
    Lease::new(config, now)
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let base = Instant::now();
        let node = |index| Node {
            lease: lease(index, 100, base),
            call: None,
            abandoned_calls: Vec::new(),
            is_paused: false,
            is_running: true,
            incarnation: 100,
        };
        let mut world = Self {
            nodes: (0..NODES).map(node).collect(),
            base,
            elapsed: Duration::ZERO,
            record: None,
            has_outage: false,
            loss_probability: 0.0,
            longest_delay: Duration::from_millis(10),
            rng: ChaCha8Rng::seed_from_u64(seed),
            steps: 0,
            newest_holder: None,
        };
        for index in 0..NODES {
            world.want(index, true);
        }
        world
    }

    /// Returns the time on the clock of a node.
    fn local_time(&self, index: usize) -> Instant {
        self.base + self.elapsed.mul_f64(CLOCK_RATES[index])
    }

    /// Returns the nodes that regard themselves as the holder at this instant of true time.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            node.is_running && node.lease.valid_fence(self.local_time(*index)).is_some()
        };
        (0..NODES).filter(holds).collect()
    }

    pub(crate) fn want(&mut self, index: usize, wanted: bool) {
        if self.nodes[index].is_running && !self.nodes[index].is_paused {
            self.handle_event(index, Event::Wanted(wanted));
        }
    }

    pub(crate) fn pause(&mut self, index: usize, is_paused: bool) {
        self.nodes[index].is_paused = is_paused;
    }

    pub(crate) fn crash(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.is_running = false;
        node.abandoned_calls.extend(node.call.take());
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let now = self.local_time(index);
        let node = &mut self.nodes[index];
        if !node.is_running {
            node.incarnation += 1;
            node.lease = lease(index, node.incarnation, now);
            (node.is_running, node.is_paused) = (true, false);
            self.want(index, true);
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.elapsed + duration;
        while self.elapsed < end {
            self.step();
        }
    }

    /// Runs until the condition holds, and returns how long that took; `None` when it does not hold
    /// within `limit`.
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
        self.elapsed += TIME_STEP;
        self.steps += 1;
        for index in 0..NODES {
            self.deliver(index);
            let node = &self.nodes[index];
            if node.is_running && !node.is_paused && self.steps.is_multiple_of(STEPS_PER_TICK) {
                self.handle_event(index, Event::Tick);
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
        let mut abandoned_calls = std::mem::take(&mut self.nodes[index].abandoned_calls);
        for call in &mut abandoned_calls {
            self.serve(call);
        }
        abandoned_calls.retain(|call| !call.is_served);
        self.nodes[index].abandoned_calls = abandoned_calls;
        let Some(mut call) = self.nodes[index].call.take() else {
            return;
        };
        self.serve(&mut call);
        if self.nodes[index].is_paused {
            self.nodes[index].call = Some(call);
        } else if call.response.is_some() && self.elapsed >= call.responds_at {
            let event = call.response.take();
            self.handle_event(index, event.unwrap_or(Event::Tick));
        } else if self.elapsed >= call.expires_at {
            let failed = failure(&call.request, Failure::Lost);
            self.nodes[index].abandoned_calls.push(call);
            self.handle_event(index, failed);
        } else {
            self.nodes[index].call = Some(call);
        }
    }

    /// Carries out a call if it has reached the store.
    fn serve(&mut self, call: &mut Call) {
        if call.is_served || self.elapsed < call.arrives_at {
            return;
        }
        call.is_served = true;
        if self.has_outage {
            return;
        }
        let response = match &call.request {
            Action::Read => Event::Read {
                result: Ok(self.record.clone()),
            },
            Action::CompareAndSwap { expected, record } => {
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
            Action::Acquired(_) | Action::NoLongerHeld => return,
        };
        if !self.rng.random_bool(self.loss_probability) {
            call.response = Some(response);
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let now = self.local_time(index);
        let actions = self.nodes[index].lease.handle(event, now);
        for action in actions {
            match action {
                Action::Acquired(fence) => self.check_acquired(index, fence),
                Action::NoLongerHeld => {}
                Action::Read | Action::CompareAndSwap { .. } if self.has_outage => {
                    let failed = failure(&action, Failure::Unreachable);
                    self.handle_event(index, failed);
                }
                request @ (Action::Read | Action::CompareAndSwap { .. }) => {
                    self.send(index, request)
                }
            }
        }
    }

    fn send(&mut self, index: usize, request: Action) {
        let longest = self.longest_delay.as_millis() as u64;
        let mut delay = || Duration::from_millis(self.rng.random_range(1..=longest));
        let arrives_at = self.elapsed + delay();
        let responds_at = arrives_at + delay();
        let call = Call {
            request,
            arrives_at,
            responds_at,
            expires_at: self.elapsed + CALL_TIMEOUT,
            response: None,
            is_served: false,
        };
        assert!(self.nodes[index].call.is_none(), "two calls at a time");
        self.nodes[index].call = Some(call);
    }

    /// Checks that the fencing number rises with each change of holder and never falls.
    fn check_acquired(&mut self, index: usize, fence: Fence) {
        let holder = (index, self.nodes[index].incarnation);
        if let Some((node, incarnation, newest_fence)) = self.newest_holder {
            let is_same_holder = (node, incarnation) == holder;
            assert!(
                fence > newest_fence || is_same_holder && fence == newest_fence,
                "{fence} after {newest_fence}"
            );
        }
        self.newest_holder = Some((holder.0, holder.1, fence));
    }
}

fn failure(request: &Action, failure: Failure) -> Event {
    match request {
        Action::CompareAndSwap { record, .. } => Event::Swapped {
            nonce: record.nonce,
            result: Err(failure),
        },
        _ => Event::Read {
            result: Err(failure),
        },
    }
}
