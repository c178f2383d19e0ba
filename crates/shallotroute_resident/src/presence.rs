//! Keeps this node's entry in the store, and with it the leases of all that the node holds.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::store::{Write, Written};
use shallotroute_batch::record;
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    member::{self, Member},
    site::Site,
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
    site: Arc<Site>,
    held: watch::Sender<Option<Held>>,
    stop: CancellationToken,
) {
    let mut members = site.members.subscribe();
    let mut losses = 0;
    loop {
        let current = *held.borrow();
        let result = match current {
            Some(held) => renew(&site, held.lease).await,
            None => register(&site).await,
        };
        let pause = match result {
            Ok(next) => {
                held.send_replace(Some(next));
                match is_source(&site) {
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

fn is_source(site: &Site) -> bool {
    let members = site.members.borrow();
    let source = members.source(&site.settings.node.zone);
    source.is_some_and(|source| source.owner == site.owner)
}

/// Ends the lease and removes the node's entry at once.
pub(crate) async fn leave(site: &Site, held: Option<Held>) {
    if let Some(held) = held
        && let Err(error) = site.store.revoke(held.lease).await
    {
        spdlog::warn!("lease not ended", kv: { error = error.to_string() });
    }
}

async fn register(site: &Site) -> Result<Held> {
    let begun = site.now();
    let lease = site.store.grant(LEASE_PERIOD).await?;
    write_entry(site, lease.id).await?;
    Ok(Held {
        lease: lease.id,
        until: begun + lease.period,
    })
}

/// Writes the node's entry, which tells the others whether it leaves.
pub(crate) async fn write_entry(site: &Site, lease: u64) -> Result<()> {
    let member = Member {
        owner: site.owner.clone(),
        zone: site.settings.node.zone.clone(),
        capacity: (site.settings.cores * 1000.0) as u32,
        leaving: site.drain.is_cancelled(),
    };
    let key = member::node_key(&site.owner.node);
    let write = Write {
        puts: vec![(key.clone(), record::encode(&member), lease)],
        ..Write::default()
    };
    match site.store.write(&write).await? {
        Written::Done(revision) => {
            // The watch tells it too, but later than another part of the node may ask.
            site.members.send_modify(|members| {
                members.put(&key, &record::encode(&member), revision);
            });
            spdlog::info!("node registered", kv: {
                node = site.owner.node.as_str(),
                incarnation = site.owner.incarnation.0,
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

async fn renew(site: &Site, lease: u64) -> Result<Held> {
    let begun = site.now();
    let renewed = site.store.renew(lease).await?;
    Ok(Held {
        lease,
        until: begun + renewed.period,
    })
}
