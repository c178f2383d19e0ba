//! Fetches records of non-idempotent requests from other nodes after a start and the loss of a
//! member.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::try_join_all;
use shallotroute_routing::{
    idempotency::{Identity, SETTLE_TIME},
    quorum::REPLICAS,
};
use shallotroute_types::{
    member::{State, View},
    node::Id,
};
use tokio::time::{Instant, sleep_until};

use crate::records::Records;

/// The timeout of fetching one member's records.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay before a failed fetch is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The live members as last seen, and the time of the next fetch.
struct MemberWatch {
    live: BTreeSet<Id>,
    /// The number of members that were lost since the last fetch.
    lost: usize,
    fetch_at: Option<Instant>,
}

/// Fetches records whenever a fetch is due, until the node stops.
pub(crate) async fn run(records: Arc<Records>) {
    let context = records.context.clone();
    let mut members = context.members.clone();
    let settled_at = Instant::now() + SETTLE_TIME;
    let mut watch = MemberWatch {
        live: BTreeSet::new(),
        lost: 0,
        fetch_at: Some(settled_at),
    };
    watch.update(&records, settled_at);
    loop {
        let fetch_at = watch
            .fetch_at
            .unwrap_or_else(|| Instant::now() + FETCH_TIMEOUT);
        tokio::select! {
            () = context.stop.cancelled() => return,
            changed = members.changed() => match changed {
                Ok(()) => watch.update(&records, settled_at),
                Err(_) => return,
            },
            () = sleep_until(fetch_at), if watch.fetch_at.is_some() => {
                watch.fetch_at = fetch(&records, &mut watch.lost).await;
            }
        }
    }
}

impl MemberWatch {
    fn update(&mut self, records: &Records, settled_at: Instant) {
        let view = Arc::clone(&records.context.members.borrow());
        let live: BTreeSet<Id> = view.live().map(|member| member.id.clone()).collect();
        let lost = self.live.difference(&live).count();
        let is_recovering = records.local.with_store(|store| store.is_recovering());
        if lost > 0 {
            // This node may now be a replica of identities whose records only other members have.
            let now = records.context.clock.wall_time();
            records
                .local
                .with_store(|store| store.record_member_loss(now));
            self.lost += lost;
            self.fetch_at = Some(Instant::now() + SETTLE_TIME);
        } else if is_recovering && live != self.live {
            self.fetch_at = Some(settled_at.max(Instant::now()));
        }
        self.live = live;
    }
}

/// Fetches the records of all other live members. Returns when to retry, or `None` after a success.
async fn fetch(records: &Records, lost: &mut usize) -> Option<Instant> {
    let view = Arc::clone(&records.context.members.borrow());
    let local = &records.context.local.id;
    let others: Vec<SocketAddr> = view
        .live()
        .filter(|member| member.id != *local)
        .map(|member| member.address)
        .collect();
    let calls = others
        .iter()
        .map(|address| records.peers.records(*address, FETCH_TIMEOUT));
    let exports = match try_join_all(calls).await {
        Ok(exports) => exports,
        Err(error) => {
            spdlog::warn!("failed to fetch records of requests; retrying: {}", error);
            return Some(Instant::now() + RETRY_DELAY);
        }
    };
    let now = records.context.clock.wall_time();
    let is_recovering = records.local.with_store(|store| store.is_recovering());
    if is_recovering {
        // Members that were dead when this node started count as lost, like its own records.
        *lost = (*lost).max(dead_count(&view));
    }
    let wanted = |identity: &Identity| is_replica(&view, local, identity);
    records
        .local
        .with_store(|store| store.merge(exports, *lost, wanted, now));
    *lost = 0;
    None
}

fn dead_count(view: &View) -> usize {
    let members = view.members.iter();
    members.filter(|it| it.state == State::Dead).count()
}

fn is_replica(view: &View, local: &Id, identity: &Identity) -> bool {
    let ranked = view.ranked(&identity.rank_key(), REPLICAS);
    ranked.iter().any(|member| member.id == *local)
}
