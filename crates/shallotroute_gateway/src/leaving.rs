//! What nodes tell each other of servers that refuse requests as leaving.
//!
//! The host list lags by up to 30 s, and a plain service has no report that tells. Without this each
//! node would learn of it by a request of its own, however late.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use rand::seq::IteratorRandom;
use shallotroute_context::Context;
use shallotroute_routing::server::LeavingNotice;
use shallotroute_types::member::Member;

use crate::{peer::Peers, runtime::Holder};

/// How many other nodes a node tells of a server that it did not know to leave. When each of them tells
/// as many, a node of a large fleet is left out with a probability of exp(-8).
const TOLD: usize = 8;

/// How many other nodes a node asks after a start or a pause; some may have just started themselves.
const ASKED: usize = 3;

/// The most servers in one message; more are left to the nodes' own requests.
const MAX_SERVERS: usize = 64;

/// How long another node may take to answer. It is below the time that work waits for it.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Tells and is told.
#[derive(Clone)]
pub(crate) struct Exchange {
    pub(crate) context: Context,
    pub(crate) runtime: Arc<Holder>,
    pub(crate) peers: Arc<Peers>,
}

impl Exchange {
    /// Returns the servers that this node knows to refuse requests as leaving.
    pub(crate) fn known(&self) -> Vec<LeavingNotice> {
        let now = self.context.clock.now();
        let mut known = self
            .runtime
            .current()
            .map_or_else(Vec::new, |it| it.leaving(now));
        known.truncate(MAX_SERVERS);
        known
    }

    /// Asks other nodes which servers they know to leave.
    pub(crate) async fn ask(&self) {
        let others = self.others(ASKED);
        let calls = others
            .iter()
            .map(|it| self.peers.leaving(it.address, TIMEOUT));
        for answer in join_all(calls).await {
            match answer {
                Ok(servers) => drop(self.learn(servers)),
                Err(report) => {
                    spdlog::warn!("another node did not tell of leaving servers: {}", report);
                }
            }
        }
    }

    /// Takes note of what another node told and passes on what was not known.
    pub(crate) fn hear(&self, servers: Vec<LeavingNotice>) {
        let news = self.learn(servers);
        if !news.is_empty() {
            self.tell(&news);
        }
    }

    /// Tells other nodes of servers that refused.
    pub(crate) fn tell(&self, servers: &[LeavingNotice]) {
        for member in self.others(TOLD) {
            let (peers, servers) = (Arc::clone(&self.peers), servers.to_vec());
            tokio::spawn(async move {
                if let Err(report) = peers.tell(member.address, servers, TIMEOUT).await {
                    spdlog::warn!("another node was not told of a leaving server: {}", report);
                }
            });
        }
    }

    /// Returns those that were not known.
    fn learn(&self, servers: Vec<LeavingNotice>) -> Vec<LeavingNotice> {
        let Some(runtime) = self.runtime.current() else {
            return Vec::new();
        };
        let now = self.context.clock.now();
        let servers = servers.into_iter().take(MAX_SERVERS);
        servers
            .filter(|server| runtime.refuse_leaving(server, now))
            .collect()
    }

    fn others(&self, count: usize) -> Vec<Member> {
        let view = self.context.members.borrow();
        let local = &self.context.local.id;
        let others = view.live().filter(|member| member.id != *local);
        others.cloned().sample(&mut rand::rng(), count)
    }
}
