//! A fleet of tables in virtual time, connected by a network that delays and loses datagrams.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_membership::{
    codec::Codec,
    datagram::{Age, Frame, Update},
    table::{Action, Config, Event, ListedHost, Table},
};
use shallotroute_types::{
    member::{Member, State, View},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

/// The step of virtual time.
const TIME_STEP: Duration = Duration::from_millis(10);

/// The steps between two ticks of a table; 50 ms as in `shallotroute_peer`.
const STEPS_PER_TICK: u64 = 5;

/// The time that a node takes to fetch a newer revision that it learned of.
const FETCH_DURATION: Duration = Duration::from_millis(100);

/// Length of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

pub(crate) struct Node {
    pub(crate) table: Table,
    pub(crate) is_running: bool,
    pub(crate) bytes_out: u64,
    /// The newest revision that the node holds.
    pub(crate) known: Revision,
    /// The revision that the node is fetching, and when it will have it.
    pending_fetch: Option<(Revision, Instant)>,
    incarnation: u64,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    /// The probability with which a datagram is lost.
    pub(crate) loss_probability: f64,
    /// The index that separates the two sides of a partition; 0 when there is none.
    pub(crate) partition_index: usize,
    /// How often a node declared a running node dead.
    pub(crate) false_deaths: u64,
    /// How often a node began to suspect a running node.
    pub(crate) false_suspicions: u64,
    steps: u64,
    rng: ChaCha8Rng,
    /// The arrival time, serial and receiver of each datagram in flight.
    network: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    in_flight: BTreeMap<u64, Box<Frame>>,
    last_serial: u64,
    codec: Codec,
    /// The last state of each node in the view of each node.
    last_states: Vec<Vec<Option<State>>>,
}

pub(crate) fn name(index: usize) -> Name {
    Name::new(format!("node-{index:04}"))
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        id: name(index),
        region: Name::new("ee-main"),
        zone: Name::new(format!("zone-{}", index % 4)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16)),
        incarnation: Incarnation(incarnation),
        state: State::Alive,
        known: Revision(0),
        in_force: Revision(0),
    }
}

fn table(index: usize, incarnation: u64, seed: u64, now: Instant) -> Table {
    let config = Config {
        local: member(index, incarnation),
        seeds: (0..3).map(|seed| member(seed, 0).address).collect(),
        seed: seed.wrapping_mul(10_007) + index as u64 + incarnation * 31,
    };
    Table::new(config, now)
}

impl Fleet {
    pub(crate) fn new(count: usize, loss_probability: f64, seed: u64) -> Self {
        let now = Instant::now();
        let node = |index| Node {
            table: table(index, 1_000, seed, now),
            is_running: true,
            bytes_out: 0,
            known: Revision(0),
            pending_fetch: None,
            incarnation: 1_000,
        };
        Self {
            nodes: (0..count).map(node).collect(),
            now,
            loss_probability,
            partition_index: 0,
            false_deaths: 0,
            false_suspicions: 0,
            steps: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            last_serial: 0,
            codec: Codec::new([1; 32]),
            last_states: vec![vec![None; count]; count],
        }
    }

    /// Runs for a duration of virtual time.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
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
        let start = self.now;
        while self.now < start + limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    /// Makes all nodes known to each other, which saves the time in which a large fleet forms.
    pub(crate) fn introduce_all(&mut self) {
        let members = (0..self.nodes.len()).map(|index| member(index, 1_000));
        let updates = members.map(|member| Update {
            member,
            age: Age(0),
        });
        let updates: Vec<Update> = updates.collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let mut updates = updates.clone();
            updates.remove(index);
            let frame = Frame {
                sender: updates[0].member.clone(),
                sequence: 0,
                confirmation_age_ms: 0,
                load: 0,
                updates,
                participant_hash: 0,
                key_salt: 0,
                range_start: 0,
                is_full_range: false,
                ages: Vec::new(),
            };
            let event = Event::Received(Box::new(frame));
            drop(node.table.handle(event, self.now));
        }
    }

    pub(crate) fn publish(&mut self, index: usize, revision: Revision) {
        self.nodes[index].known = revision;
        self.handle_event(index, Event::RevisionKnown(revision));
    }

    /// Restarts the process of a node after a crash, with a higher incarnation.
    pub(crate) fn restart(&mut self, index: usize, seed: u64) {
        let node = &mut self.nodes[index];
        node.incarnation += 1_000;
        node.table = table(index, node.incarnation, seed, self.now);
        node.is_running = true;
        node.known = Revision(0);
        self.last_states[index].fill(None);
    }

    /// Gives a node a host list that contains all nodes.
    pub(crate) fn set_host_list(&mut self, index: usize) {
        let listed = |other| ListedHost {
            id: name(other),
            leaving: false,
        };
        let listed = (0..self.nodes.len()).map(listed).collect();
        self.handle_event(index, Event::HostsListed(listed));
    }

    pub(crate) fn views(&self) -> impl Iterator<Item = View> {
        let running = self.nodes.iter().filter(|node| node.is_running);
        running.map(|node| node.table.view())
    }

    /// Returns whether each running node sees exactly the running nodes as live.
    pub(crate) fn agrees(&self) -> bool {
        let running_count = self.nodes.iter().filter(|node| node.is_running).count();
        self.nodes
            .iter()
            .filter(|node| node.is_running)
            .all(|node| {
                let is_live = |state| matches!(state, State::Alive | State::Suspect);
                let entries = node.table.entries();
                entries.filter(|entry| is_live(entry.member.state)).count() + 1 == running_count
            })
    }

    pub(crate) fn handle_event(&mut self, index: usize, event: Event) {
        let actions = self.nodes[index].table.handle(event, self.now);
        for action in actions {
            match action {
                Action::Send { to, frame } => {
                    let bytes = self.codec.encode(&frame).unwrap().len() as u64 + HEADER_BYTES;
                    for address in to {
                        self.nodes[index].bytes_out += bytes;
                        self.transmit(index, usize::from(address.port() - 10_000), &frame);
                    }
                }
                Action::ViewChanged => self.check_view(index),
                Action::Replayed | Action::Own => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, frame: &Frame) {
        let is_separated = (from < self.partition_index) != (to < self.partition_index);
        if is_separated || self.rng.random_bool(self.loss_probability) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..5));
        self.last_serial += 1;
        self.network
            .push(Reverse((self.now + delay, self.last_serial, to)));
        self.in_flight
            .insert(self.last_serial, Box::new(frame.clone()));
    }

    /// Counts false suspicions and deaths in a node's changed view, and starts the fetch of a newer
    /// revision.
    fn check_view(&mut self, index: usize) {
        let mut newest = self.nodes[index].known;
        for entry in self.nodes[index].table.entries() {
            let member = &entry.member;
            let other: usize = member.id.as_str()[5..].parse().unwrap();
            newest = newest.max(member.known);
            let previous = self.last_states[index][other].replace(member.state);
            if previous != Some(member.state) && self.nodes[other].is_running {
                self.false_deaths += u64::from(member.state == State::Dead);
                self.false_suspicions += u64::from(member.state == State::Suspect);
            }
        }
        let node = &mut self.nodes[index];
        let is_fetching = node
            .pending_fetch
            .is_some_and(|(revision, _)| revision >= newest);
        if newest > node.known && !is_fetching {
            node.pending_fetch = Some((newest, self.now + FETCH_DURATION));
        }
    }

    fn step(&mut self) {
        self.now += TIME_STEP;
        self.steps += 1;
        while let Some(Reverse((at, serial, to))) = self.network.peek().copied() {
            if at > self.now {
                break;
            }
            self.network.pop();
            let frame = self.in_flight.remove(&serial).unwrap();
            if self.nodes[to].is_running {
                self.handle_event(to, Event::Received(frame));
            }
        }
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_running {
                continue;
            }
            if let Some((revision, at)) = self.nodes[index].pending_fetch
                && at <= self.now
            {
                self.nodes[index].pending_fetch = None;
                self.publish(index, revision);
            }
            if (self.steps + index as u64).is_multiple_of(STEPS_PER_TICK) {
                self.handle_event(index, Event::Tick);
            }
        }
    }
}
