//! Keeps to the limits that backend servers name, together with the other nodes. The decisions are in
//! [`shallotroute_fleet::limit`].

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotroute_fleet::{
    limit::{self, Claim, Class, Divider, Observation, Reply, Role},
    server::{Requirements, Server},
};
use shallotroute_types::{name::Name, node::Id};
use tokio::sync::mpsc;

use crate::{metric::Metrics, peer::Peers, shared::Shared};

pub(crate) mod notice;

/// The timeout of a call to the home of a server, which takes a few milliseconds; a node with a small
/// share of a core may pause for a tenth of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a node that did not answer is passed over.
const FAILURE_PERIOD: Duration = Duration::from_millis(500);

/// The maximum number of servers that are asked for in turn for one request.
const MAX_CLAIMS: usize = 4;

/// The number of observations that wait to be sent to homes. Further ones are dropped: the home also
/// learns of a limit from the claims.
const QUEUE_LENGTH: usize = 256;

/// The limits of which this node knows as the home, and its calls to other homes.
pub(crate) struct Limits {
    divider: Mutex<Divider>,
    /// Calls with a short timeout, whose failures must not close the connections of other calls.
    peers: Peers,
    failed_until: Mutex<BTreeMap<Id, Instant>>,
    observations: mpsc::Sender<Observation>,
}

/// Why no server can be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// No server meets the requirements.
    NoServer,
    /// All that do have limits, and the next request may be sent after this time.
    Limited(Duration),
}

impl Unavailable {
    /// Returns a description for logs.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::NoServer => "no server takes requests",
            Self::Limited(_) => "all servers get as many requests as their limits allow",
        }
    }
}

impl Limits {
    /// Creates the state without any limit. [`run`] reads the observations from the receiver.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Observation>) {
        let (observations, receiver) = mpsc::channel(QUEUE_LENGTH);
        let limits = Self {
            divider: Mutex::default(),
            peers: Peers::new(),
            failed_until: Mutex::default(),
            observations,
        };
        (limits, receiver)
    }

    /// Passes on to the server's home that its limit has changed.
    pub(crate) fn announce(&self, observation: Observation) {
        if self.observations.try_send(observation).is_err() {
            spdlog::debug!("too many changes of limits; not all are passed on");
        }
    }

    fn divider(&self) -> MutexGuard<'_, Divider> {
        lock(&self.divider)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends observations to the homes of their servers for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, mut observations: mpsc::Receiver<Observation>) {
    while let Some(observation) = observations.recv().await {
        for (role, node) in responsible(&shared, &observation.server) {
            if node.id == shared.owner.node {
                record(&shared, &observation);
                continue;
            }
            let observation = observation.clone();
            let call = shared.limits.peers.call(
                node.address,
                CALL_TIMEOUT,
                |client, context| async move { client.report_limit(context, observation).await },
            );
            if let Err(error) = call.await {
                spdlog::debug!("failed to pass a limit on", kv: {
                    node = node.id.as_str(), role = format!("{role:?}"),
                    reason = format!("{error:?}"),
                });
            }
        }
    }
}

/// Records what another node has seen of the limit of a server whose home or deputy this node is.
pub(crate) fn record(shared: &Shared, observation: &Observation) {
    shared.limits.divider().record(observation, shared.now());
}

/// Decides on a claim of another node.
pub(crate) fn decide(shared: &Shared, claim: &Claim) -> Reply {
    let server = &claim.observation.server;
    let role = responsible(shared, server)
        .into_iter()
        .find(|(_, node)| node.id == shared.owner.node);
    match role {
        Some((role, _)) => shared.limits.divider().decide(claim, role, shared.now()),
        None => Reply::NotResponsible,
    }
}

/// Chooses a server for a request, and gets a permit if the server has a limit. The request has to be
/// sent to the server at once.
///
/// # Errors
///
/// Returns why there is none.
pub(crate) async fn acquire_server(
    shared: &Shared,
    requirements: &Requirements<'_>,
) -> Result<Server, Unavailable> {
    for _ in 0..MAX_CLAIMS {
        let chosen = shared
            .balancer()
            .choose(requirements, shared.now())
            .cloned();
        let Some(server) = chosen else {
            break;
        };
        if acquire_permit(shared, &server.id, requirements.class).await {
            return Ok(server);
        }
    }
    let next_permit = shared.balancer().next_permit(requirements, shared.now());
    Err(next_permit.map_or(Unavailable::NoServer, Unavailable::Limited))
}

/// Gets a permit to send one request to a server. Returns whether it may be sent, which it always may
/// if the server has no limit.
pub(crate) async fn acquire_permit(shared: &Shared, server: &str, class: Class) -> bool {
    let claim = shared.balancer().limit_claim(server, class, shared.now());
    let Some(claim) = claim else {
        return true;
    };
    let (is_granted, outcome) = match ask(shared, &claim).await {
        Some(Reply::Granted) => (true, "granted"),
        Some(Reply::Unlimited) => {
            shared.balancer().end_limit(server, claim.observation.born);
            (true, "unlimited")
        }
        Some(Reply::Denied(retry_after)) => {
            let now = shared.now();
            shared
                .balancer()
                .record_denial(server, class, retry_after, now);
            (false, "denied")
        }
        None | Some(Reply::NotResponsible) => {
            let now = shared.now();
            let mut balancer = shared.balancer();
            match balancer.take_trial(server, now) {
                true => (true, "trial"),
                false => {
                    balancer.record_denial(server, class, FAILURE_PERIOD, now);
                    (false, "no_home")
                }
            }
        }
    };
    Metrics::count(&shared.metrics.permits, outcome);
    is_granted
}

/// Asks the server's home, or the deputy if the home does not answer.
async fn ask(shared: &Shared, claim: &Claim) -> Option<Reply> {
    for (role, node) in responsible(shared, &claim.observation.server) {
        let reply = match node.id == shared.owner.node {
            true => Some(shared.limits.divider().decide(claim, role, shared.now())),
            false => call(shared, &node, claim.clone()).await,
        };
        if !matches!(reply, None | Some(Reply::NotResponsible)) {
            return reply;
        }
    }
    None
}

async fn call(shared: &Shared, node: &Node, claim: Claim) -> Option<Reply> {
    let now = shared.now();
    let has_failed = lock(&shared.limits.failed_until)
        .get(&node.id)
        .is_some_and(|until| now < *until);
    if has_failed {
        return None;
    }
    let call = shared
        .limits
        .peers
        .call(node.address, CALL_TIMEOUT, |client, context| async move {
            client.take_permit(context, claim).await
        });
    match call.await {
        Ok(reply) => Some(reply),
        Err(error) => {
            spdlog::info!("the home of a server did not answer", kv: {
                node = node.id.as_str(), reason = format!("{error:?}"),
            });
            let until = shared.now() + FAILURE_PERIOD;
            lock(&shared.limits.failed_until).insert(node.id.clone(), until);
            None
        }
    }
}

/// A node that divides the rate of a server.
struct Node {
    id: Id,
    address: SocketAddr,
}

/// Returns the home of a server and its deputy.
fn responsible(shared: &Shared, server: &Name) -> Vec<(Role, Node)> {
    let members = shared.members.borrow();
    let candidates = members
        .nodes
        .iter()
        .filter(|(_, member)| !member.leaving)
        .map(|(id, member)| (id, member.capacity));
    limit::responsible(candidates, server)
        .filter_map(|(role, id)| {
            let address = members.address(id)?;
            let id = id.clone();
            Some((role, Node { id, address }))
        })
        .collect()
}
