//! Records publications, when revisions come into force, and what the control plane costs: calls of
//! the key-value service, heartbeat bytes and CPU time.

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

use crate::{fault::Outage, load, testbed::Testbed};

/// A publication and its result.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    pub(crate) started: Instant,
    /// The revision, if the node responded that it is published.
    pub(crate) revision: Option<u64>,
    /// The state in the node's response, or the text of the error.
    pub(crate) state: String,
}

/// Publishes configurations and records when each node puts them into force.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    publications: Mutex<Vec<Publication>>,
    /// By node index, each new highest revision with the time at which it was first seen in force.
    seen: Mutex<BTreeMap<usize, Vec<(u64, Instant)>>>,
    /// Reads that returned a lower revision than an earlier read at the same node.
    reverted: AtomicU64,
}

/// Resources used by all nodes up to a point in time.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    pub(crate) at: Instant,
    /// Calls of the key-value service by kind.
    pub(crate) calls: Counts,
    /// Bytes that the nodes sent to each other as heartbeats.
    pub(crate) heartbeat_bytes: f64,
    /// CPU time of the node processes.
    pub(crate) cpu: Duration,
}

/// Interval between two reads of the revision in force at a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The key under which the key-value service stores the newest revision.
const HEAD_KEY: &str = "config/head";

/// Name of the limit object that publications change; no other object refers to it.
const MARKER_LIMIT: &str = "marker";

impl Observer {
    /// Polls the revision in force at a node until `stop` is cancelled.
    pub(crate) async fn watch(&self, testbed: &Testbed, node: usize, stop: &CancellationToken) {
        let admin = testbed.cluster.admin(node);
        let mut highest = 0;
        while !stop.is_cancelled() {
            if let Ok(revision) = testbed.cluster.operator.in_force(admin).await {
                if revision > highest {
                    highest = revision;
                    let mut seen = self.lock_seen();
                    seen.entry(node)
                        .or_default()
                        .push((revision, Instant::now()));
                } else if revision > 0 && revision < highest {
                    self.reverted.fetch_add(1, Ordering::Relaxed);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Publishes at random times until `end`, `rate` times per second on average. Every fifth time,
    /// two operators publish concurrently through different nodes.
    pub(crate) async fn publish(&self, testbed: &Testbed, rate: f64, seed: u64, end: Instant) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        let mut due = Instant::now();
        for number in 1_usize.. {
            due += load::interarrival_time(&mut random, rate);
            if due >= end {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
            let nodes = testbed.cluster.nodes.len();
            let _lock = testbed.publication_lock.read().await;
            let first = self.publish_one(testbed, number % nodes, number);
            if number.is_multiple_of(5) {
                let second = self.publish_one(testbed, (number + 1) % nodes, number + 1_000_000);
                futures::future::join(first, second).await;
            } else {
                first.await;
            }
        }
    }

    /// Publishes the configuration with a changed marker limit and records the result.
    async fn publish_one(&self, testbed: &Testbed, node: usize, number: usize) {
        let limit = json!({ "requests_per_second": number, "burst": 1 });
        let configuration = testbed
            .configuration()
            .clone()
            .with("limit", MARKER_LIMIT, limit);
        let text = configuration.to_yaml();
        let started = Instant::now();
        let operator = &testbed.cluster.operator;
        let response = operator
            .publish(testbed.cluster.admin(node), &text, "a change")
            .await;
        let publication = match response {
            Ok(response) => Publication {
                started,
                revision: admin::published_revision(&response),
                state: publication_state(&response),
            },
            Err(report) => Publication {
                started,
                revision: None,
                state: report.to_string(),
            },
        };
        self.lock_publications().push(publication);
    }

    /// Returns all publications so far, including failed ones.
    pub(crate) fn publications(&self) -> Vec<Publication> {
        self.lock_publications().clone()
    }

    /// Returns how often a node was seen with a lower revision in force than before.
    pub(crate) fn reverted(&self) -> u64 {
        self.reverted.load(Ordering::Relaxed)
    }

    /// Returns the time from `from` until the revision or a later one was seen in force at all
    /// nodes without an outage in that time, or `None` if one of them was never seen with it.
    pub(crate) fn in_force_after(
        &self,
        revision: u64,
        from: Instant,
        outages: &[Outage],
        nodes: usize,
    ) -> Option<Duration> {
        let seen = self.lock_seen();
        let mut longest = Duration::ZERO;
        for node in 0..nodes {
            let at = seen
                .get(&node)
                .and_then(|list| list.iter().find(|(found, _)| *found >= revision))
                .map(|(_, at)| *at);
            let was_down = outages.iter().any(|outage| {
                outage.node == node
                    && at.is_none_or(|at| outage.from <= at)
                    && outage.to.is_none_or(|to| to >= from)
            });
            match at {
                Some(at) if !was_down => longest = longest.max(at.saturating_duration_since(from)),
                None if !was_down => return None,
                Some(_) | None => {}
            }
        }
        Some(longest)
    }

    fn lock_publications(&self) -> MutexGuard<'_, Vec<Publication>> {
        self.publications
            .lock()
            .expect("no holder of the lock panics")
    }

    fn lock_seen(&self) -> MutexGuard<'_, BTreeMap<usize, Vec<(u64, Instant)>>> {
        self.seen.lock().expect("no holder of the lock panics")
    }
}

impl Usage {
    /// Reads the usage up to now. A node that does not respond counts with 0 heartbeat bytes.
    pub(crate) async fn read(testbed: &Testbed) -> Self {
        let mut bytes = 0.0;
        let mut cpu = Duration::ZERO;
        for node in &testbed.cluster.nodes {
            let metrics = testbed
                .cluster
                .operator
                .metrics(node.settings().admin)
                .await;
            bytes += metric_sum(&metrics.unwrap_or_default(), "heartbeat_sent_bytes_total");
            cpu += node.cpu_time().unwrap_or_default();
        }
        Self {
            at: Instant::now(),
            calls: testbed.cluster.store.counts(),
            heartbeat_bytes: bytes,
            cpu,
        }
    }
}

/// Returns the time at which the key-value service first stored each revision.
pub(crate) fn accepted(testbed: &Testbed) -> BTreeMap<u64, Instant> {
    let writes = testbed.cluster.store.writes();
    let heads = writes.iter().filter(|write| write.key == HEAD_KEY);
    let mut accepted = BTreeMap::new();
    for write in heads {
        let head: Value = serde_json::from_slice(&write.value).unwrap_or_default();
        if let Some(revision) = head["revision"].as_u64() {
            // A barrier write stores the same head again; only the first write publishes it.
            accepted.entry(revision).or_insert(write.at);
        }
    }
    accepted
}

/// Returns the sum of the metrics whose names end with `name`, in the Prometheus text `text`.
fn metric_sum(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(found, _)| found.ends_with(name))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}

/// Returns the state in the response to a publication, or `none` if it has none.
fn publication_state(response: &Value) -> String {
    response["result"]["state"]
        .as_str()
        .unwrap_or("none")
        .to_owned()
}
