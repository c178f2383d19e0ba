//! The faults and operators' publications of a simulation run.

use std::ops::Range;

use proptest::{collection::vec, prelude::*};

use super::{FAULTS_END_MS, Occurrence, Simulation, operator};

/// A fault or a publication; `at` is the start, all times are in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The key-value service is unreachable.
    Outage { at: u64, length: u64 },
    /// The key-value service responds after 2 s.
    Slow { at: u64, length: u64 },
    /// Half of the writes to the key-value service lose their response or are delayed.
    Lossy { at: u64, length: u64 },
    /// The network is partitioned into two sides.
    Partition { at: u64, length: u64, sides: Sides },
    /// A node stops and starts again without any state.
    Restart { at: u64, length: u64, node: usize },
    /// An operator publishes at a node; the head is read `delay` before the first write.
    Publish { at: u64, node: usize, delay: u64 },
    /// A fault ends.
    Recover(Recovery),
}

/// The fault that ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Recovery {
    Outage,
    Slow,
    Lossy,
    /// The partition with this number, counted from 1.
    Partition(u64),
}

/// The two sides of a network partition.
#[derive(Clone, Debug)]
pub(crate) struct Sides {
    /// The nodes on the small side, one bit per node.
    small: u8,
    /// Which side reaches the key-value service: 0 the small one, 1 the other one, 2 both.
    store: u8,
}

impl Sides {
    pub(super) fn is_small(&self, node: usize) -> bool {
        self.small >> node & 1 == 1
    }

    pub(super) fn has_store(&self, node: usize) -> bool {
        match self.store {
            0 => self.is_small(node),
            1 => !self.is_small(node),
            _ => true,
        }
    }
}

impl Fault {
    pub(super) fn at(&self) -> u64 {
        match self {
            Self::Outage { at, .. }
            | Self::Slow { at, .. }
            | Self::Lossy { at, .. }
            | Self::Partition { at, .. }
            | Self::Restart { at, .. }
            | Self::Publish { at, .. } => *at,
            Self::Recover(_) => FAULTS_END_MS,
        }
    }
}

/// The maximum length of a fault other than a restart.
const MAX_FAULT_LENGTH_MS: u64 = 7_000;

/// The maximum downtime of a node in a restart; short, so that the node starts again within an
/// outage.
const MAX_DOWNTIME_MS: u64 = 2_500;

/// The latest start of a fault.
const LAST_FAULT_START_MS: u64 = FAULTS_END_MS - MAX_FAULT_LENGTH_MS;

/// The time within which the faults of a burst start. A revision takes a few hundred milliseconds
/// to come into force, so faults within a second disturb its distribution.
const BURST_WINDOW_MS: u64 = 1_000;

/// Generates faults that all end by [`FAULTS_END_MS`].
pub(crate) fn any_faults() -> impl Strategy<Value = Vec<Fault>> {
    let burst = (0..LAST_FAULT_START_MS - BURST_WINDOW_MS)
        .prop_flat_map(|at| vec(any_fault(at..at + BURST_WINDOW_MS), 2..9));
    prop_oneof![
        vec(burst, 1..5).prop_map(|bursts| bursts.concat()),
        partial_distribution(),
        restart_among_outdated_nodes(),
        restart_of_isolated_publisher(),
    ]
}

/// Generates a revision that only some nodes receive before the key-value service fails, and then
/// restarts of nodes while they may be connected only with nodes that have not received it.
fn partial_distribution() -> impl Strategy<Value = Vec<Fault>> {
    let node = 0..8_usize;
    let first =
        (200..800_u64, node.clone()).prop_map(|(at, node)| Fault::Publish { at, node, delay: 0 });
    let second = (1_900..2_100_u64, node.clone()).prop_map(|(at, node)| Fault::Publish {
        at,
        node,
        delay: 0,
    });
    let split = any_partition(1_300..1_850, 700..5_000);
    let outage = (2_150..3_500_u64).prop_map(outage);
    let downtime = (2_100..6_000_u64, 50..MAX_DOWNTIME_MS, node)
        .prop_map(|(at, length, node)| Fault::Restart { at, length, node });
    let later_splits = any_partition(2_500..6_500, 500..5_000);
    (
        first,
        second,
        split,
        outage,
        vec(downtime, 1..5),
        vec(later_splits, 0..3),
    )
        .prop_map(|(first, second, split, outage, restarts, later_splits)| {
            let mut faults = vec![first, second, split, outage];
            faults.extend(restarts);
            faults.extend(later_splits);
            faults
        })
}

/// Generates restarts, during an outage of the key-value service, among nodes without the newest
/// revision: these nodes are partitioned off while it is published, and then the restarting nodes
/// are on their side of a partition.
fn restart_among_outdated_nodes() -> impl Strategy<Value = Vec<Fault>> {
    let behind = any::<u8>();
    let downtime = (3_000..3_500_u64, 100..1_500_u64, 0..8_usize);
    let gap = 0..800_u64;
    (behind, 0..8_usize, vec(downtime, 1..4), gap).prop_map(|(behind, publisher, restarts, gap)| {
        let restarted = restarts
            .iter()
            .fold(0, |mask, (_, _, node)| mask | 1 << node);
        let at = 3_000 + gap;
        let mut faults = vec![
            publish(500, publisher),
            partition(1_500, at - 1_500, behind, 1),
            publish(1_900, publisher),
            outage(2_800),
            partition(at, FAULTS_END_MS - at, behind | restarted, 1),
        ];
        let restart = |(at, length, node)| Fault::Restart { at, length, node };
        faults.extend(restarts.into_iter().map(restart));
        faults
    })
}

/// Generates two restarts of a node that has published a revision while it reached only the
/// key-value service: the first one in that partition, the second one during an outage, among the
/// other nodes.
fn restart_of_isolated_publisher() -> impl Strategy<Value = Vec<Fault>> {
    let node = 0..8_usize;
    let times = (2_300..2_600_u64, 3_500..4_500_u64, 0..1_000_u64);
    (node, times).prop_map(|(node, (first, fails, gap))| {
        let restart = |at| Fault::Restart {
            at,
            length: 100,
            node,
        };
        vec![
            publish(500, node),
            partition(1_500, fails + gap - 1_500, 1 << node, 0),
            publish(1_900, node),
            restart(first),
            outage(fails),
            restart(fails + 50),
        ]
    })
}

fn publish(at: u64, node: usize) -> Fault {
    Fault::Publish { at, node, delay: 0 }
}

fn partition(at: u64, length: u64, small: u8, store: u8) -> Fault {
    let sides = Sides { small, store };
    Fault::Partition { at, length, sides }
}

/// Returns an outage that lasts until all faults end.
fn outage(at: u64) -> Fault {
    let length = FAULTS_END_MS - at;
    Fault::Outage { at, length }
}

fn any_partition(at: Range<u64>, length: Range<u64>) -> impl Strategy<Value = Fault> {
    (at, length, any::<u8>(), 0..3_u8)
        .prop_map(|(at, length, small, store)| partition(at, length, small, store))
}

fn any_fault(at: Range<u64>) -> impl Strategy<Value = Fault> {
    let node = 0..8_usize;
    let time = (at.clone(), 50..MAX_FAULT_LENGTH_MS);
    let downtime = (at.clone(), 50..MAX_DOWNTIME_MS, node.clone());
    let split = any_partition(at.clone(), 50..MAX_FAULT_LENGTH_MS);
    prop_oneof![
        3 => time.clone().prop_map(|(at, length)| Fault::Outage { at, length }),
        1 => time.clone().prop_map(|(at, length)| Fault::Slow { at, length }),
        2 => time.clone().prop_map(|(at, length)| Fault::Lossy { at, length }),
        3 => split,
        5 => downtime.prop_map(|(at, length, node)| Fault::Restart { at, length, node }),
        7 => (at, node, 0..300_u64)
            .prop_map(|(at, node, delay)| Fault::Publish { at, node, delay }),
    ]
}

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault) {
        let recover = |recovery| Occurrence::Fault(Fault::Recover(recovery));
        match fault {
            Fault::Outage { length, .. } => {
                self.store.is_up = false;
                self.schedule(length, recover(Recovery::Outage));
            }
            Fault::Slow { length, .. } => {
                self.store.delay = 2_000;
                self.schedule(length, recover(Recovery::Slow));
            }
            Fault::Lossy { length, .. } => {
                self.store.is_lossy = true;
                self.schedule(length, recover(Recovery::Lossy));
            }
            Fault::Partition { length, sides, .. } => {
                self.partitions += 1;
                self.partition = Some(sides);
                self.schedule(length, recover(Recovery::Partition(self.partitions)));
            }
            Fault::Restart { length, node, .. } => {
                let node = node % self.nodes.len();
                if self.nodes[node].adoption.is_some() {
                    self.stop(node);
                    self.schedule(length, Occurrence::Start(node));
                }
            }
            Fault::Publish { node, delay, .. } => {
                let node = node % self.nodes.len();
                let submit = operator::Occurrence::Submit { node, delay };
                self.process_operation(submit);
            }
            Fault::Recover(Recovery::Outage) => self.store.is_up = true,
            Fault::Recover(Recovery::Slow) => self.store.delay = 0,
            Fault::Recover(Recovery::Lossy) => self.store.is_lossy = false,
            // A later partition has replaced this one.
            Fault::Recover(Recovery::Partition(number)) if number < self.partitions => {}
            Fault::Recover(Recovery::Partition(_)) => self.partition = None,
        }
    }
}
