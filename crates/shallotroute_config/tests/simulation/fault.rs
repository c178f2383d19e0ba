//! What goes wrong, and what operators do.

use std::ops::Range;

use proptest::{collection::vec, prelude::*};

use super::{FAULTS_END, Occurrence, Simulation, operator};

/// A fault or an operator's act, with times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The key-value service serves nothing.
    Outage { at: u64, length: u64 },
    /// The key-value service answers after 2 s.
    Slow { at: u64, length: u64 },
    /// Half of the writes to the key-value service lose their answer or are delayed.
    Lossy { at: u64, length: u64 },
    /// The nodes in `small` (a bit for each) are cut off from the others.
    Cut {
        at: u64,
        length: u64,
        cut: Partition,
    },
    /// A node stops and starts again with nothing.
    Restart { at: u64, length: u64, node: usize },
    /// An operator publishes at a node; the head is read `delay` before the first write.
    Publish { at: u64, node: usize, delay: u64 },
    /// The end of the others.
    Heal(Healed),
}

/// What ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Healed {
    Outage,
    Slow,
    Lossy,
    Cut(u64),
}

/// Nodes cut off from each other.
#[derive(Clone, Debug)]
pub(crate) struct Partition {
    small: u8,
    /// Which side reaches the key-value service: 0 the small one, 1 the other one, 2 both.
    store: u8,
}

impl Partition {
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
            | Self::Cut { at, .. }
            | Self::Restart { at, .. }
            | Self::Publish { at, .. } => *at,
            Self::Heal(_) => FAULTS_END,
        }
    }
}

/// The longest outage, in milliseconds.
const LONGEST: u64 = 7_000;

/// The longest stop of a node, in milliseconds; short, so that it starts again within an outage.
const LONGEST_STOP: u64 = 2_500;

/// When the last fault begins at the latest, in milliseconds.
const LAST: u64 = FAULTS_END - LONGEST;

/// How far apart the faults of a scene begin at most, in milliseconds. A revision takes a few hundred
/// milliseconds to come into force, so faults within a second hit it on its way.
const SCENE: u64 = 1_000;

/// Makes faults that all end before [`FAULTS_END`].
pub(crate) fn any_faults() -> impl Strategy<Value = Vec<Fault>> {
    let scene = (0..LAST - SCENE).prop_flat_map(|at| vec(any_fault(at..at + SCENE), 2..9));
    prop_oneof![
        vec(scene, 1..5).prop_map(|scenes| scenes.concat()),
        overtaking(),
        left_behind(),
        alone(),
    ]
}

/// Makes a revision that only some nodes get before the key-value service fails; then nodes restart
/// while they may be connected only with nodes that did not get it.
fn overtaking() -> impl Strategy<Value = Vec<Fault>> {
    let node = 0..8_usize;
    let first =
        (200..800_u64, node.clone()).prop_map(|(at, node)| Fault::Publish { at, node, delay: 0 });
    let second = (1_900..2_100_u64, node.clone()).prop_map(|(at, node)| Fault::Publish {
        at,
        node,
        delay: 0,
    });
    let apart = any_cut(1_300..1_850, 700..5_000);
    let outage = (2_150..3_500_u64).prop_map(outage);
    let stop = (2_100..6_000_u64, 50..LONGEST_STOP, node)
        .prop_map(|(at, length, node)| Fault::Restart { at, length, node });
    let later = any_cut(2_500..6_500, 500..5_000);
    (
        first,
        second,
        apart,
        outage,
        vec(stop, 1..5),
        vec(later, 0..3),
    )
        .prop_map(|(first, second, apart, outage, stops, later)| {
            let mut faults = vec![first, second, apart, outage];
            faults.extend(stops);
            faults.extend(later);
            faults
        })
}

/// Makes nodes restart in an outage among nodes that did not get the newest revision: some nodes are
/// cut off while it is published, and then the restarting nodes are cut off with them.
fn left_behind() -> impl Strategy<Value = Vec<Fault>> {
    let behind = any::<u8>();
    let stop = (3_000..3_500_u64, 100..1_500_u64, 0..8_usize);
    let gap = 0..800_u64;
    (behind, 0..8_usize, vec(stop, 1..4), gap).prop_map(|(behind, publisher, stops, gap)| {
        let restarted = stops.iter().fold(0, |mask, (_, _, node)| mask | 1 << node);
        let at = 3_000 + gap;
        let mut faults = vec![
            publish(500, publisher),
            cut(1_500, at - 1_500, behind, 1),
            publish(1_900, publisher),
            outage(2_800),
            cut(at, FAULTS_END - at, behind | restarted, 1),
        ];
        let restart = |(at, length, node)| Fault::Restart { at, length, node };
        faults.extend(stops.into_iter().map(restart));
        faults
    })
}

/// Makes a node restart while it reaches only the key-value service, which has a revision that the
/// node published there alone, and again in an outage among the others.
fn alone() -> impl Strategy<Value = Vec<Fault>> {
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
            cut(1_500, fails + gap - 1_500, 1 << node, 0),
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

fn cut(at: u64, length: u64, small: u8, store: u8) -> Fault {
    let cut = Partition { small, store };
    Fault::Cut { at, length, cut }
}

/// Makes an outage that lasts until all faults end.
fn outage(at: u64) -> Fault {
    let length = FAULTS_END - at;
    Fault::Outage { at, length }
}

fn any_cut(at: Range<u64>, length: Range<u64>) -> impl Strategy<Value = Fault> {
    (at, length, any::<u8>(), 0..3_u8)
        .prop_map(|(at, length, small, store)| cut(at, length, small, store))
}

fn any_fault(at: Range<u64>) -> impl Strategy<Value = Fault> {
    let node = 0..8_usize;
    let time = (at.clone(), 50..LONGEST);
    let stop = (at.clone(), 50..LONGEST_STOP, node.clone());
    let cut = any_cut(at.clone(), 50..LONGEST);
    prop_oneof![
        3 => time.clone().prop_map(|(at, length)| Fault::Outage { at, length }),
        1 => time.clone().prop_map(|(at, length)| Fault::Slow { at, length }),
        2 => time.clone().prop_map(|(at, length)| Fault::Lossy { at, length }),
        3 => cut,
        5 => stop.prop_map(|(at, length, node)| Fault::Restart { at, length, node }),
        7 => (at, node, 0..300_u64)
            .prop_map(|(at, node, delay)| Fault::Publish { at, node, delay }),
    ]
}

impl Simulation {
    pub(super) fn fault(&mut self, fault: Fault) {
        let heal = |healed| Occurrence::Fault(Fault::Heal(healed));
        match fault {
            Fault::Outage { length, .. } => {
                self.store.up = false;
                self.after(length, heal(Healed::Outage));
            }
            Fault::Slow { length, .. } => {
                self.store.delay = 2_000;
                self.after(length, heal(Healed::Slow));
            }
            Fault::Lossy { length, .. } => {
                self.store.lossy = true;
                self.after(length, heal(Healed::Lossy));
            }
            Fault::Cut { length, cut, .. } => {
                self.cuts += 1;
                self.partition = Some(cut);
                self.after(length, heal(Healed::Cut(self.cuts)));
            }
            Fault::Restart { length, node, .. } => {
                let node = node % self.nodes.len();
                if self.nodes[node].adoption.is_some() {
                    self.stop(node);
                    self.after(length, Occurrence::Start(node));
                }
            }
            Fault::Publish { node, delay, .. } => {
                let node = node % self.nodes.len();
                let submit = operator::Occurrence::Submit { node, delay };
                self.operate(submit);
            }
            Fault::Heal(Healed::Outage) => self.store.up = true,
            Fault::Heal(Healed::Slow) => self.store.delay = 0,
            Fault::Heal(Healed::Lossy) => self.store.lossy = false,
            // A later partition has taken the place of an earlier one.
            Fault::Heal(Healed::Cut(cut)) if cut < self.cuts => {}
            Fault::Heal(Healed::Cut(_)) => self.partition = None,
        }
    }
}
