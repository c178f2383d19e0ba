//! Registers this node in the platform's store and renews the lease to which its entry and its
//! leadership are bound.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::store::{Write, WriteOutcome};
use shallotroute_batch::record;
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    member::{self, Member},
    shared::Shared,
    store::{Error, Result},
};

/// The time to live of a node's lease after a renewal. A shorter time would detect failed nodes
/// sooner, but the lease has to outlast a slow store, which may take a quarter of a second, and a
/// lost packet.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(2500);

/// The interval between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(850);

/// The interval between two renewals of a source of changes (see [`crate::follow`]), whose renewals
/// also show that it still reaches the store.
const SOURCE_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// The delay after a failed renewal.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The node's lease as last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// The identity of the lease at the store.
    pub(crate) id: u64,
    /// The time until which the lease is certain not to expire, on this node's clock.
    pub(crate) valid_until: std::time::Instant,
}

/// Registers the node and renews its lease until `stop` is cancelled. `lease` has the current
/// lease, or `None` while the node is not registered.
pub(crate) async fn run(
    shared: Arc<Shared>,
    lease: watch::Sender<Option<Lease>>,
    stop: CancellationToken,
) {
    let mut members = shared.members.subscribe();
    let mut last_losses = 0;
    loop {
        let current = *lease.borrow();
        let result = match current {
            Some(lease) => renew(&shared, lease.id).await,
            None => register(&shared).await,
        };
        let delay = match result {
            Ok(next) => {
                lease.send_replace(Some(next));
                match is_source(&shared) {
                    true => SOURCE_RENEWAL_INTERVAL,
                    false => RENEWAL_INTERVAL,
                }
            }
            Err(Error::NotFound) => {
                spdlog::warn!("lease of this node expired; registering again");
                lease.send_replace(None);
                continue;
            }
            Err(error) => {
                spdlog::debug!("failed to renew lease; retrying", kv: {
                    error = error.to_string(),
                });
                RETRY_DELAY
            }
        };
        let next_renewal = Instant::now() + delay;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next_renewal) => break,
                () = stop.cancelled() => return,
                _ = members.changed() => {
                    let losses = members.borrow_and_update().entry_losses;
                    if std::mem::replace(&mut last_losses, losses) < losses
                        && lease.borrow().is_some()
                    {
                        spdlog::warn!("entry of this node is missing; registering again");
                        lease.send_replace(None);
                        break;
                    }
                }
            }
        }
    }
}

/// Returns whether this node is the source of changes for its availability zone.
fn is_source(shared: &Shared) -> bool {
    let members = shared.members.borrow();
    let source = members.source_for(&shared.settings.node.zone);
    source.is_some_and(|source| source.owner == shared.owner)
}

/// Revokes the lease, which removes the node's entry at once.
pub(crate) async fn deregister(shared: &Shared, lease: Option<Lease>) {
    if let Some(lease) = lease
        && let Err(error) = shared.store.revoke(lease.id).await
    {
        spdlog::warn!("failed to revoke lease", kv: { error = error.to_string() });
    }
}

async fn register(shared: &Shared) -> Result<Lease> {
    let started_at = shared.now();
    let granted = shared.store.grant(LEASE_TTL).await?;
    write_entry(shared, granted.id).await?;
    Ok(Lease {
        id: granted.id,
        valid_until: started_at + granted.ttl,
    })
}

/// Writes the node's entry under a lease; the entry says whether the node is leaving.
///
/// # Errors
///
/// Returns an error if the store does not confirm the write.
pub(crate) async fn write_entry(shared: &Shared, lease_id: u64) -> Result<()> {
    let member = Member {
        owner: shared.owner.clone(),
        zone: shared.settings.node.zone.clone(),
        capacity: (shared.settings.cores * 1000.0) as u32,
        leaving: shared.drain.is_cancelled(),
    };
    let key = member::node_key(&shared.owner.node);
    let write = Write {
        puts: vec![(key.clone(), record::encode(&member), lease_id)],
        ..Write::default()
    };
    match shared.store.write(&write).await? {
        WriteOutcome::Applied(revision) => {
            // Applied at once, because other tasks may need the entry before the watch returns it.
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
        WriteOutcome::Conflict(_) => Err(Error::NotApplied(
            "the store reported a conflict for an unconditional write".to_owned(),
        )),
    }
}

async fn renew(shared: &Shared, id: u64) -> Result<Lease> {
    let started_at = shared.now();
    let renewed = shared.store.renew(id).await?;
    Ok(Lease {
        id,
        valid_until: started_at + renewed.ttl,
    })
}
