//! Traffic, CPU time and memory of the membership protocol on one node, by the number of nodes.

use std::{
    collections::HashMap,
    mem,
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotroute_membership::{
    codec::Codec,
    table::{Action, Config, Event, Table},
};

use crate::{hashing::member, memory};

/// Numbers of nodes, each with the virtual seconds for which it is simulated, warm-up included.
const FLEETS: [(u32, u64); 6] = [(3, 30), (9, 30), (30, 30), (100, 20), (400, 12), (1700, 12)];

/// Virtual time between two ticks of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Virtual time in which the nodes discover each other; it is not measured.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

pub(crate) fn print_table() {
    println!("\n### Membership, a node (decisions and codec, without sockets)\n");
    println!("| nodes | sent, KB/s | datagrams sent/s | processor, % of a core | memory, MB |");
    println!("| --- | --- | --- | --- | --- |");
    for (nodes, seconds) in FLEETS {
        let mut fleet = Fleet::new(nodes);
        fleet.run(WARM_UP_TIME);
        fleet.sent_bytes = 0;
        fleet.sent_datagrams = 0;
        let duration = Duration::from_secs(seconds) - WARM_UP_TIME;
        let start = Instant::now();
        fleet.run(duration);
        let node_seconds = f64::from(nodes) * duration.as_secs_f64();
        println!(
            "| {nodes} | {:.2} | {:.1} | {:.3} | {:.2} |",
            fleet.sent_bytes as f64 / node_seconds / 1e3,
            fleet.sent_datagrams as f64 / node_seconds,
            start.elapsed().as_secs_f64() / node_seconds * 100.0,
            fleet.memory() as f64 / f64::from(nodes) / 1e6,
        );
    }
}

/// Member tables that exchange datagrams in virtual time, without loss; each datagram arrives at
/// the next tick.
struct Fleet {
    tables: Vec<Table>,
    /// Index into `tables` by a node's address.
    index: HashMap<SocketAddr, usize>,
    codec: Codec,
    now: Instant,
    /// Datagrams that arrive at the next tick, with the index of the receiver.
    in_flight: Vec<(usize, Vec<u8>)>,
    sent_bytes: usize,
    sent_datagrams: usize,
    /// Heap memory before the tables were created, in bytes.
    memory_before: usize,
}

impl Fleet {
    fn new(nodes: u32) -> Self {
        let memory_before = memory::allocated();
        let now = Instant::now();
        let seeds: Vec<SocketAddr> = (0..nodes.min(3))
            .map(|number| member(number).address)
            .collect();
        let table = |number: u32| {
            let local = member(number);
            let config = Config {
                local,
                seeds: seeds.clone(),
                seed: u64::from(number),
            };
            Table::new(config, now)
        };
        Self {
            tables: (0..nodes).map(table).collect(),
            index: (0..nodes)
                .map(|number| (member(number).address, number as usize))
                .collect(),
            codec: Codec::new([7; 32]),
            now,
            in_flight: Vec::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
            memory_before,
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            for (to, bytes) in mem::take(&mut self.in_flight) {
                if let Ok(frame) = self.codec.decode(&bytes) {
                    self.handle(to, Event::Received(Box::new(frame)));
                }
            }
            for node in 0..self.tables.len() {
                self.handle(node, Event::Tick);
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let actions = self.tables[node].handle(event, self.now);
        for action in actions {
            let Action::Send { to, frame } = action else {
                continue;
            };
            let bytes = self
                .codec
                .encode(&frame)
                .expect("a frame should fit into a datagram");
            for address in to {
                self.sent_bytes += bytes.len() + HEADER_BYTES;
                self.sent_datagrams += 1;
                if let Some(index) = self.index.get(&address) {
                    self.in_flight.push((*index, bytes.clone()));
                }
            }
        }
    }

    /// Returns the heap memory of all tables, in bytes.
    fn memory(&self) -> usize {
        memory::allocated().saturating_sub(self.memory_before)
    }
}
