//! Publications and when they come into force, and the calls, bytes and processor time of control.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use shallotroute_standin::{admin, store::Counts};
use tokio_util::sync::CancellationToken;

use crate::{fault::Outage, load, world::World};

/// One publication.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    pub(crate) started: Instant,
    /// The revision, when the node said that it is published.
    pub(crate) revision: Option<u64>,
    /// The state that the node answered, or the error.
    pub(crate) state: String,
}

/// What was seen of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    publications: Mutex<Vec<Publication>>,
    /// By node, when each revision was first seen in force.
    seen: Mutex<BTreeMap<usize, Vec<(u64, Instant)>>>,
    reverted: AtomicU64,
}

/// Use of resources at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    pub(crate) at: Instant,
    pub(crate) calls: Counts,
    /// Bytes that the nodes sent to each other as heartbeats.
    pub(crate) heartbeat_bytes: f64,
    pub(crate) cpu: Duration,
}

/// How often the revision in force is read.
const POLL: Duration = Duration::from_millis(20);

/// The key of the newest revision.
const HEAD_KEY: &str = "config/head";

/// The object that publications change; nothing refers to it.
const MARKER: &str = "marker";

impl Observer {
    /// Reads the revision in force at one node until `stop`.
    pub(crate) async fn watch(&self, world: &World, node: usize, stop: &CancellationToken) {
        let admin = world.fleet.admin(node);
        let mut highest = 0;
        while !stop.is_cancelled() {
            if let Ok(revision) = world.fleet.operator.in_force(admin).await {
                if revision > highest {
                    highest = revision;
                    let mut seen = self.seen();
                    seen.entry(node)
                        .or_default()
                        .push((revision, Instant::now()));
                } else if revision > 0 && revision < highest {
                    self.reverted.fetch_add(1, Ordering::Relaxed);
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Publishes at random times until `end`; every fifth time two operators do so at once.
    pub(crate) async fn publish(&self, world: &World, rate: f64, seed: u64, end: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        let mut due = Instant::now();
        for number in 1_usize.. {
            due += load::pause(&mut random, rate);
            if due >= end {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
            let nodes = world.fleet.nodes.len();
            let _edit = world.edits.read().await;
            let first = self.publish_one(world, number % nodes, number);
            if number.is_multiple_of(5) {
                let second = self.publish_one(world, (number + 1) % nodes, number + 1_000_000);
                futures::future::join(first, second).await;
            } else {
                first.await;
            }
        }
    }

    async fn publish_one(&self, world: &World, node: usize, number: usize) {
        let limit = json!({ "requests_per_second": number, "burst": 1 });
        let configuration = world.configuration().clone().with("limit", MARKER, limit);
        let text = configuration.to_yaml();
        let started = Instant::now();
        let operator = &world.fleet.operator;
        let answer = operator
            .publish(world.fleet.admin(node), &text, "a change")
            .await;
        let publication = match answer {
            Ok(answer) => Publication {
                started,
                revision: admin::published(&answer),
                state: state(&answer),
            },
            Err(report) => Publication {
                started,
                revision: None,
                state: report.to_string(),
            },
        };
        self.publications().push(publication);
    }

    /// Returns the publications so far.
    pub(crate) fn all(&self) -> Vec<Publication> {
        self.publications().clone()
    }

    /// Returns how often a node went back to a lower revision.
    pub(crate) fn reverted(&self) -> u64 {
        self.reverted.load(Ordering::Relaxed)
    }

    /// Returns how long after `from` a revision was in force at all nodes that were up, or none when
    /// it was not.
    pub(crate) fn in_force_after(
        &self,
        revision: u64,
        from: Instant,
        outages: &[Outage],
        nodes: usize,
    ) -> Option<Duration> {
        let seen = self.seen();
        let mut longest = Duration::ZERO;
        for node in 0..nodes {
            let at = seen
                .get(&node)
                .and_then(|list| list.iter().find(|(found, _)| *found >= revision))
                .map(|(_, at)| *at);
            let down = outages.iter().any(|outage| {
                outage.node == node
                    && at.is_none_or(|at| outage.from <= at)
                    && outage.to.is_none_or(|to| to >= from)
            });
            match at {
                Some(at) if !down => longest = longest.max(at.saturating_duration_since(from)),
                None if !down => return None,
                Some(_) | None => {}
            }
        }
        Some(longest)
    }

    fn publications(&self) -> MutexGuard<'_, Vec<Publication>> {
        self.publications
            .lock()
            .expect("no holder of the lock panics")
    }

    fn seen(&self) -> MutexGuard<'_, BTreeMap<usize, Vec<(u64, Instant)>>> {
        self.seen.lock().expect("no holder of the lock panics")
    }
}

impl Usage {
    pub(crate) async fn read(world: &World) -> Self {
        let mut bytes = 0.0;
        let mut cpu = Duration::ZERO;
        for node in &world.fleet.nodes {
            let metrics = world.fleet.operator.metrics(node.settings().admin).await;
            bytes += metric(&metrics.unwrap_or_default(), "heartbeat_sent_bytes_total");
            cpu += node.cpu_time().unwrap_or_default();
        }
        Self {
            at: Instant::now(),
            calls: world.fleet.store.counts(),
            heartbeat_bytes: bytes,
            cpu,
        }
    }
}

/// Returns when the key-value service accepted each revision.
pub(crate) fn accepted(world: &World) -> BTreeMap<u64, Instant> {
    let writes = world.fleet.store.writes();
    let heads = writes.iter().filter(|write| write.key == HEAD_KEY);
    let mut accepted = BTreeMap::new();
    for write in heads {
        let head: Value = serde_json::from_slice(&write.value).unwrap_or_default();
        if let Some(revision) = head["revision"].as_u64() {
            // A barrier write repeats the head; the first write counts.
            accepted.entry(revision).or_insert(write.at);
        }
    }
    accepted
}

/// Returns the value of the metric whose name ends with `name`.
fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(found, _)| found.ends_with(name))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}

fn state(answer: &Value) -> String {
    answer["result"]["state"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}
