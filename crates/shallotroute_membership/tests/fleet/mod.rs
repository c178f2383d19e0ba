//! A fleet of tables on virtual time, connected by a network that delays and loses datagrams.

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
    datagram::{Age, Frame, News},
    table::{Action, Config, Event, Listed, Table},
};
use shallotroute_types::{
    member::{Member, State, View},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(10);

/// How often a table gets a tick, as in `shallotroute_peer`.
const TICK_STEPS: u64 = 5;

/// How long a node takes to fetch a revision of which it learned.
const FETCH: Duration = Duration::from_millis(100);

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

pub(crate) struct Node {
    pub(crate) table: Table,
    pub(crate) running: bool,
    pub(crate) bytes_out: u64,
    pub(crate) known: Revision,
    fetched: Option<(Revision, Instant)>,
    incarnation: u64,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Instant,
    pub(crate) loss: f64,
    /// Cuts the nodes below this index off from the others.
    pub(crate) cut: usize,
    /// Times at which some node saw a running node as dead.
    pub(crate) false_deaths: u64,
    /// Times at which some node began to suspect a running node.
    pub(crate) false_suspicions: u64,
    steps: u64,
    random: ChaCha8Rng,
    network: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    in_flight: BTreeMap<u64, Box<Frame>>,
    serial: u64,
    codec: Codec,
    seen: Vec<Vec<Option<State>>>,
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
    pub(crate) fn new(count: usize, loss: f64, seed: u64) -> Self {
        let now = Instant::now();
        let node = |index| Node {
            table: table(index, 1_000, seed, now),
            running: true,
            bytes_out: 0,
            known: Revision(0),
            fetched: None,
            incarnation: 1_000,
        };
        Self {
            nodes: (0..count).map(node).collect(),
            now,
            loss,
            cut: 0,
            false_deaths: 0,
            false_suspicions: 0,
            steps: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            network: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            serial: 0,
            codec: Codec::new([1; 32]),
            seen: vec![vec![None; count]; count],
        }
    }

    /// Runs for a duration of virtual time.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds; none when it does not within the limit.
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

    /// Lets all nodes know each other, which spares a large fleet the time of forming.
    pub(crate) fn acquaint(&mut self) {
        let members = (0..self.nodes.len()).map(|index| member(index, 1_000));
        let news = members.map(|member| News {
            member,
            age: Age(0),
        });
        let news: Vec<News> = news.collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let mut news = news.clone();
            news.remove(index);
            let frame = Frame {
                sender: news[0].member.clone(),
                sequence: 0,
                confirmation_age_ms: 0,
                load: 0,
                news,
                members: 0,
                salt: 0,
                start: 0,
                whole: false,
                ages: Vec::new(),
            };
            let event = Event::Received(Box::new(frame));
            drop(node.table.handle(event, self.now));
        }
    }

    pub(crate) fn publish(&mut self, index: usize, revision: Revision) {
        self.nodes[index].known = revision;
        self.event(index, Event::Known(revision));
    }

    /// Starts the process of a node again after a crash.
    pub(crate) fn restart(&mut self, index: usize, seed: u64) {
        let node = &mut self.nodes[index];
        node.incarnation += 1_000;
        node.table = table(index, node.incarnation, seed, self.now);
        node.running = true;
        node.known = Revision(0);
        self.seen[index].fill(None);
    }

    /// Gives a node a host list with all nodes.
    pub(crate) fn list(&mut self, index: usize) {
        let listed = |other| Listed {
            id: name(other),
            leaving: false,
        };
        let listed = (0..self.nodes.len()).map(listed).collect();
        self.event(index, Event::Listed(listed));
    }

    pub(crate) fn views(&self) -> impl Iterator<Item = View> {
        let running = self.nodes.iter().filter(|node| node.running);
        running.map(|node| node.table.view())
    }

    /// Tells whether all running nodes see exactly the running nodes as live.
    pub(crate) fn agrees(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.running).count();
        self.nodes.iter().filter(|node| node.running).all(|node| {
            let live = |state| matches!(state, State::Alive | State::Suspect);
            let entries = node.table.entries();
            entries.filter(|entry| live(entry.member.state)).count() + 1 == running
        })
    }

    pub(crate) fn event(&mut self, index: usize, event: Event) {
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
                Action::Changed => self.changed(index),
                Action::Replayed | Action::Own => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, frame: &Frame) {
        let separated = (from < self.cut) != (to < self.cut);
        if separated || self.random.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..5));
        self.serial += 1;
        self.network
            .push(Reverse((self.now + delay, self.serial, to)));
        self.in_flight.insert(self.serial, Box::new(frame.clone()));
    }

    fn changed(&mut self, index: usize) {
        let mut newest = self.nodes[index].known;
        for entry in self.nodes[index].table.entries() {
            let member = &entry.member;
            let other: usize = member.id.as_str()[5..].parse().unwrap();
            newest = newest.max(member.known);
            let before = self.seen[index][other].replace(member.state);
            if before != Some(member.state) && self.nodes[other].running {
                self.false_deaths += u64::from(member.state == State::Dead);
                self.false_suspicions += u64::from(member.state == State::Suspect);
            }
        }
        let node = &mut self.nodes[index];
        let fetching = node.fetched.is_some_and(|(revision, _)| revision >= newest);
        if newest > node.known && !fetching {
            node.fetched = Some((newest, self.now + FETCH));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        while let Some(Reverse((at, serial, to))) = self.network.peek().copied() {
            if at > self.now {
                break;
            }
            self.network.pop();
            let frame = self.in_flight.remove(&serial).unwrap();
            if self.nodes[to].running {
                self.event(to, Event::Received(frame));
            }
        }
        for index in 0..self.nodes.len() {
            if !self.nodes[index].running {
                continue;
            }
            if let Some((revision, at)) = self.nodes[index].fetched
                && at <= self.now
            {
                self.nodes[index].fetched = None;
                self.publish(index, revision);
            }
            if (self.steps + index as u64).is_multiple_of(TICK_STEPS) {
                self.event(index, Event::Tick);
            }
        }
    }
}
