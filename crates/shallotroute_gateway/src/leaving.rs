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

use crate::{peer::Peers, routing_state::Cache};

/// How many other nodes a node tells of a server that it did not know to leave. When each of them tells
/// as many, a node of a large fleet is left out with a probability of exp(-8).
const ANNOUNCE_FANOUT: usize = 8;

/// How many other nodes a node asks after a start or a pause; some may have just started themselves.
const FETCH_FANOUT: usize = 3;

/// The most servers in one message; more are left to the nodes' own requests.
const MAX_NOTICES: usize = 64;

/// How long another node may take to answer. It is below the time that work waits for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells and is told.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) context: Context,
    pub(crate) routing_cache: Arc<Cache>,
    pub(crate) peers: Arc<Peers>,
}

impl Gossip {
    /// Returns the servers that this node knows to refuse requests as leaving.
    pub(crate) fn active_notices(&self) -> Vec<LeavingNotice> {
        let now = self.context.clock.now();
        let mut active = self
            .routing_cache
            .current()
            .map_or_else(Vec::new, |it| it.leaving_notices(now));
        active.truncate(MAX_NOTICES);
        active
    }

    /// Asks other nodes which servers they know to leave.
    pub(crate) async fn fetch(&self) {
        let others = self.others(FETCH_FANOUT);
        let calls = others
            .iter()
            .map(|it| self.peers.leaving_notices(it.address, CALL_TIMEOUT));
        for response in join_all(calls).await {
            match response {
                Ok(notices) => drop(self.merge(notices)),
                Err(report) => {
                    spdlog::warn!("another node did not tell of leaving servers: {}", report);
                }
            }
        }
    }

    /// Takes note of what another node told and passes on what was not known.
    pub(crate) fn receive(&self, notices: Vec<LeavingNotice>) {
        let new_notices = self.merge(notices);
        if !new_notices.is_empty() {
            self.announce(&new_notices);
        }
    }

    /// Tells other nodes of servers that refused.
    pub(crate) fn announce(&self, notices: &[LeavingNotice]) {
        for member in self.others(ANNOUNCE_FANOUT) {
            let (peers, notices) = (Arc::clone(&self.peers), notices.to_vec());
            tokio::spawn(async move {
                if let Err(report) = peers
                    .announce_leaving(member.address, notices, CALL_TIMEOUT)
                    .await
                {
                    spdlog::warn!("another node was not told of a leaving server: {}", report);
                }
            });
        }
    }

    /// Returns those that were not known.
    fn merge(&self, notices: Vec<LeavingNotice>) -> Vec<LeavingNotice> {
        let Some(routing_state) = self.routing_cache.current() else {
            return Vec::new();
        };
        let now = self.context.clock.now();
        let notices = notices.into_iter().take(MAX_NOTICES);
        notices
            .filter(|notice| routing_state.record_leaving_notice(notice, now))
            .collect()
    }

    fn others(&self, count: usize) -> Vec<Member> {
        let view = self.context.members.borrow();
        let local = &self.context.local.id;
        let others = view.live().filter(|member| member.id != *local);
        others.cloned().sample(&mut rand::rng(), count)
    }
}
