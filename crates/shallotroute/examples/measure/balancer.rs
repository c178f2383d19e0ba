//! A stand-in for the platform's load balancer, which sends requests only to nodes that are ready.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use shallotroute_standin::cluster::Cluster;
use tokio_util::sync::CancellationToken;

/// Interval between readiness checks, and the timeout of each.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The nodes' addresses and their readiness at the last check; clones share the readiness.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    nodes: Vec<SocketAddr>,
    /// Indices into `nodes`.
    ready: Arc<Mutex<Vec<usize>>>,
}

impl Balancer {
    /// Returns a balancer that treats all nodes as ready until [`run`](Self::run) has checked them.
    pub(crate) fn new(cluster: &Cluster) -> Self {
        let nodes = cluster.callers();
        Self {
            ready: Arc::new(Mutex::new((0..nodes.len()).collect())),
            nodes,
        }
    }

    /// Checks the readiness of all nodes periodically until `stop` is cancelled.
    pub(crate) async fn run(&self, cluster: &Cluster, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            let checks = cluster.nodes.iter().map(|node| {
                let check = cluster.operator.is_ready(node.settings().admin);
                tokio::time::timeout(CHECK_INTERVAL, check)
            });
            let responses = join_all(checks).await;
            let ready = responses.into_iter().zip(0..);
            let ready = ready.filter(|(response, _)| matches!(response, Ok(true)));
            *self.lock_ready() = ready.map(|(_, node)| node).collect();
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the index of a random node that was ready at the last check, or any if none was.
    pub(crate) fn choose(&self, random: &mut ChaCha8Rng) -> usize {
        let ready = self.lock_ready();
        // Each call draws exactly one random number, so that the request times of a seed do not
        // depend on which nodes are ready.
        let draw = random.random_range(0.0..1.0);
        let index = |count: usize| (draw * count as f64) as usize;
        match ready.len() {
            0 => index(self.nodes.len()),
            count => ready[index(count)],
        }
    }

    /// Returns the callers' address of a node; an index beyond the last node wraps around.
    pub(crate) fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node % self.nodes.len()]
    }

    fn lock_ready(&self) -> std::sync::MutexGuard<'_, Vec<usize>> {
        self.ready.lock().expect("no holder of the lock panics")
    }
}
