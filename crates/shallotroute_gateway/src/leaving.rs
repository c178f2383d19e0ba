//! Exchanges notices of leaving servers between nodes.
//!
//! The host list names a leaving server up to 30 s late, and services send no reports of their
//! state. Without these notices, each node would find out only when the server refuses one of its
//! own requests.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use rand::seq::IteratorRandom;
use shallotroute_context::Context;
use shallotroute_routing::server::LeavingNotice;
use shallotroute_types::member::Member;

use crate::{peer::Peers, routing_state::Cache};

/// The number of other nodes to which a node announces a server that it did not know to be leaving.
/// When each of them announces it to as many, a node of a large fleet is missed with a probability
/// of exp(-8).
const ANNOUNCE_FANOUT: usize = 8;

/// The number of other nodes from which notices are fetched after a start or a pause. It is more
/// than one since some of them may have just started themselves.
const FETCH_FANOUT: usize = 3;

/// The maximum number of notices in one message. Nodes find out about further servers by their own
/// requests.
const MAX_NOTICES: usize = 64;

/// The timeout of a call to another node. It is below
/// [`MAX_WAIT`](shallotroute_context::freshness::MAX_WAIT), the time that requests wait for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends and receives notices of leaving servers.
#[derive(Clone)]
pub(crate) struct Gossip {
    pub(crate) context: Context,
    pub(crate) routing_cache: Arc<Cache>,
    pub(crate) peers: Arc<Peers>,
}

impl Gossip {
    /// Returns notices of the servers that this node knows to be leaving, at most [`MAX_NOTICES`].
    pub(crate) fn active_notices(&self) -> Vec<LeavingNotice> {
        let now = self.context.clock.now();
        let mut active = self
            .routing_cache
            .current()
            .map_or_else(Vec::new, |it| it.leaving_notices(now));
        active.truncate(MAX_NOTICES);
        active
    }

    /// Fetches notices from some other nodes and records them.
    pub(crate) async fn fetch(&self) {
        let others = self.others(FETCH_FANOUT);
        let calls = others
            .iter()
            .map(|it| self.peers.leaving_notices(it.address, CALL_TIMEOUT));
        for response in join_all(calls).await {
            match response {
                Ok(notices) => drop(self.merge(notices)),
                Err(report) => {
                    spdlog::warn!("failed to fetch notices of leaving servers: {}", report);
                }
            }
        }
    }

    /// Records notices from another node and announces the new ones to further nodes.
    pub(crate) fn receive(&self, notices: Vec<LeavingNotice>) {
        let new_notices = self.merge(notices);
        if !new_notices.is_empty() {
            self.announce(&new_notices);
        }
    }

    /// Announces leaving servers to some other nodes, without waiting for their responses.
    pub(crate) fn announce(&self, notices: &[LeavingNotice]) {
        for member in self.others(ANNOUNCE_FANOUT) {
            let (peers, notices) = (Arc::clone(&self.peers), notices.to_vec());
            tokio::spawn(async move {
                if let Err(report) = peers
                    .announce_leaving(member.address, notices, CALL_TIMEOUT)
                    .await
                {
                    spdlog::warn!("failed to announce a leaving server: {}", report);
                }
            });
        }
    }

    /// Records notices and returns the new ones.
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
