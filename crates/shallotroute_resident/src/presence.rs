//! Keeps this node's entry in the store, and with it the leases of all that the node holds.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::store::{Write, Written};
use shallotroute_batch::record;
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    member::{self, Member},
    shared::Shared,
    store::{Error, Result},
};

/// How long a node's entry outlives its last renewal. Shorter finds dead nodes sooner; the store
/// may be slow for a quarter of a second and a packet may be lost.
pub(crate) const LEASE_PERIOD: Duration = Duration::from_millis(2500);

/// The pause between two renewals.
const RENEW_PAUSE: Duration = Duration::from_millis(850);

/// The pause between two renewals of a node from which others get the changes of the store: its
/// renewals also show that it still reaches the store.
const SOURCE_RENEW_PAUSE: Duration = Duration::from_millis(450);

/// The pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The node's lease as last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    /// The lease.
    pub(crate) lease: u64,
    /// Until when it lives for certain, on this node's clock.
    pub(crate) until: std::time::Instant,
}

/// Renews the lease until `stop` is cancelled; `held` tells the other parts of it.
pub(crate) async fn run(
    shared: Arc<Shared>,
    held: watch::Sender<Option<Held>>,
    stop: CancellationToken,
) {
    let mut members = shared.members.subscribe();
    let mut losses = 0;
    loop {
        let current = *held.borrow();
        let result = match current {
            Some(held) => renew(&shared, held.lease).await,
            None => register(&shared).await,
        };
        let pause = match result {
            Ok(next) => {
                held.send_replace(Some(next));
                match is_source(&shared) {
                    true => SOURCE_RENEW_PAUSE,
                    false => RENEW_PAUSE,
                }
            }
            Err(Error::NotFound) => {
                spdlog::warn!("lease of this node has ended, registering again");
                held.send_replace(None);
                continue;
            }
            Err(error) => {
                spdlog::debug!("lease not renewed", kv: { error = error.to_string() });
                RETRY_PAUSE
            }
        };
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => break,
                () = stop.cancelled() => return,
                _ = members.changed() => {
                    let lost = members.borrow_and_update().own_losses;
                    if std::mem::replace(&mut losses, lost) < lost && held.borrow().is_some() {
                        spdlog::warn!("entry of this node has vanished, registering again");
                        held.send_replace(None);
                        break;
                    }
                }
            }
        }
    }
}

fn is_source(shared: &Shared) -> bool {
    let members = shared.members.borrow();
    let source = members.source(&shared.settings.node.zone);
    source.is_some_and(|source| source.owner == shared.owner)
}

/// Ends the lease and removes the node's entry at once.
pub(crate) async fn leave(shared: &Shared, held: Option<Held>) {
    if let Some(held) = held
        && let Err(error) = shared.store.revoke(held.lease).await
    {
        spdlog::warn!("lease not ended", kv: { error = error.to_string() });
    }
}

async fn register(shared: &Shared) -> Result<Held> {
    let begun = shared.now();
    let lease = shared.store.grant(LEASE_PERIOD).await?;
    write_entry(shared, lease.id).await?;
    Ok(Held {
        lease: lease.id,
        until: begun + lease.period,
    })
}

/// Writes the node's entry, which tells the others whether it leaves.
pub(crate) async fn write_entry(shared: &Shared, lease: u64) -> Result<()> {
    let member = Member {
        owner: shared.owner.clone(),
        zone: shared.settings.node.zone.clone(),
        capacity: (shared.settings.cores * 1000.0) as u32,
        leaving: shared.drain.is_cancelled(),
    };
    let key = member::node_key(&shared.owner.node);
    let write = Write {
        puts: vec![(key.clone(), record::encode(&member), lease)],
        ..Write::default()
    };
    match shared.store.write(&write).await? {
        Written::Done(revision) => {
            // The watch tells it too, but later than another part of the node may ask.
            shared.members.send_modify(|members| {
                members.put(&key, &record::encode(&member), revision);
            });
            spdlog::info!("node registered", kv: {
                node = shared.owner.node.as_str(),
                incarnation = shared.owner.incarnation.0,
                leaving = member.leaving,
                revision,
            });
            Ok(())
        }
        Written::Conflict(_) => Err(Error::NotApplied(
            "an unconditional write conflicts".to_owned(),
        )),
    }
}

async fn renew(shared: &Shared, lease: u64) -> Result<Held> {
    let begun = shared.now();
    let renewed = shared.store.renew(lease).await?;
    Ok(Held {
        lease,
        until: begun + renewed.period,
    })
}
