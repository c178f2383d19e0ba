//! The platform's balancer, which sends requests only to nodes that are ready.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use shallotroute_standin::fleet::Fleet;
use tokio_util::sync::CancellationToken;

/// How often readiness is checked, and how long an answer may take.
const CHECK: Duration = Duration::from_millis(500);

/// The nodes to which requests are sent.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    nodes: Vec<SocketAddr>,
    ready: Arc<Mutex<Vec<usize>>>,
}

impl Balancer {
    /// Makes a balancer that takes all nodes for ready.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let nodes = fleet.callers();
        Self {
            ready: Arc::new(Mutex::new((0..nodes.len()).collect())),
            nodes,
        }
    }

    /// Checks the nodes until `stop`.
    pub(crate) async fn run(&self, fleet: &Fleet, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            let checks = fleet.nodes.iter().map(|node| {
                let check = fleet.operator.is_ready(node.settings().admin);
                tokio::time::timeout(CHECK, check)
            });
            let answers = join_all(checks).await;
            let ready = answers.into_iter().zip(0..);
            let ready = ready.filter(|(answer, _)| matches!(answer, Ok(true)));
            *self.ready() = ready.map(|(_, node)| node).collect();
            tokio::time::sleep(CHECK).await;
        }
    }

    /// Returns a random node that was ready at the last check, or any node when none was.
    pub(crate) fn choose(&self, random: &mut ChaCha8Rng) -> usize {
        let ready = self.ready();
        // The same number of random numbers is drawn each time, so that the load does not depend on
        // which nodes are ready.
        let draw = random.random_range(0.0..1.0);
        let index = |count: usize| (draw * count as f64) as usize;
        match ready.len() {
            0 => index(self.nodes.len()),
            count => ready[index(count)],
        }
    }

    /// Returns the address of a node; numbers beyond the last node start over.
    pub(crate) fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node % self.nodes.len()]
    }

    fn ready(&self) -> std::sync::MutexGuard<'_, Vec<usize>> {
        self.ready.lock().expect("no holder of the lock panics")
    }
}
