//! Registers this node in the platform's store and renews the lease to which its entry and its
//! leadership are bound.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::store::{Write, WriteOutcome};
use shallotroute_fleet::{link::State, source};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    admission, claim,
    member::{self, Member},
    shared::Shared,
    store::{Error, Result},
    view,
};

/// The time to live of a node's lease after a renewal. A shorter time would detect failed nodes
/// sooner, but the lease has to outlast a slow store, which may take a quarter of a second, and a
/// lost packet.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(2500);

/// The interval between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(850);

/// The interval between two renewals of a node that watches the store (see [`crate::follow`]), whose
/// renewals also show that it still reaches the store.
const WATCHING_RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

/// How long a job that this node is about to own waits for the node's registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay after a failed renewal.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The node's lease as last confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// The identity of the lease at the store.
    pub(crate) id: u64,
    /// The time until which the lease is certain not to expire, since the boot of the host and including
    /// its suspensions: the lease runs on meanwhile.
    pub(crate) valid_until: Duration,
}

/// Registers the node once it is needed, and renews its lease until `stop` is cancelled. `lease` has
/// the current lease, or `None` while the node is not registered.
pub(crate) async fn run(
    shared: Arc<Shared>,
    lease: watch::Sender<Option<Lease>>,
    stop: CancellationToken,
) {
    tokio::select! {
        () = wait_until_needed(&shared) => {}
        () = stop.cancelled() => return,
    }
    tokio::spawn(claim::resume_jobs(Arc::clone(&shared)));
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
                match view::is_watching(&shared) {
                    true => WATCHING_RENEWAL_INTERVAL,
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
                admission::pause(RETRY_DELAY)
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

/// Waits until this node is to register: a source is missing in its availability zone, its former
/// process was registered, or it is about to own a job.
async fn wait_until_needed(shared: &Shared) {
    let node = shared.source_node();
    let mut members = shared.members.subscribe();
    let mut should_register = shared.should_register.subscribe();
    let mut links = shared.links.subscribe();
    loop {
        let (is_loaded, registered, has_former_entry) = {
            let members = members.borrow_and_update();
            let has_former_entry = members.nodes.contains_key(&node.id);
            // A node that reaches servers also stands in for those that can't relay requests.
            let registered = match *links.borrow_and_update() {
                State::Sound => members.linked_source_nodes(),
                State::Lost | State::Isolated => members.source_nodes(),
            };
            (members.is_loaded, registered, has_former_entry)
        };
        if *should_register.borrow_and_update() || (is_loaded && has_former_entry) {
            break;
        }
        let delay = (is_loaded && source::should_register(&node, &registered))
            .then(|| source::start_delay(&node, &registered, rand::random()));
        let delay = async move {
            match delay {
                Some(delay) => tokio::time::sleep(delay).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = delay => break,
            _ = members.changed() => {}
            _ = links.changed() => {}
            _ = should_register.changed() => {}
        }
    }
    shared.should_register.send_replace(true);
}

/// Registers this node if it has no entry yet, so that the jobs it claims have a live owner. Returns
/// whether it has one; it may not, if the store does not respond in time.
pub(crate) async fn ensure_registered(shared: &Shared) -> bool {
    shared.should_register.send_replace(true);
    let mut members = shared.members.subscribe();
    let registered = members.wait_for(|members| members.is_live(&shared.owner));
    tokio::time::timeout(REGISTRATION_TIMEOUT, registered)
        .await
        .is_ok_and(|registered| registered.is_ok())
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
    let requested_at = shared.boot_time();
    let granted = shared.store.grant(LEASE_TTL).await?;
    write_entry(shared, granted.id).await?;
    Ok(Lease {
        id: granted.id,
        valid_until: requested_at + granted.ttl,
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
        capacity: shared.capacity(),
        leaving: shared.drain.is_cancelled(),
        protocol: member::PROTOCOL,
    };
    let key = member::node_key(&shared.owner.node);
    let write = Write {
        puts: vec![(key.clone(), member.encode(), lease_id)],
        ..Write::default()
    };
    match shared.store.write(&write).await? {
        WriteOutcome::Applied(revision) => {
            view::apply_own_write(shared, &key, member.encode(), revision);
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

/// Writes under a lease that this node has lost its links to the backend servers, or removes that if there is no
/// lease.
///
/// # Errors
///
/// Returns an error if the store does not confirm the write.
pub(crate) async fn write_stranded(shared: &Shared, lease_id: Option<u64>) -> Result<()> {
    let key = member::stranded_key(&shared.owner.node);
    let write = match lease_id {
        Some(lease_id) => Write {
            puts: vec![(key, Vec::new(), lease_id)],
            ..Write::default()
        },
        None => Write {
            removals: vec![key],
            ..Write::default()
        },
    };
    shared.store.write(&write).await.map(|_| ())
}

async fn renew(shared: &Shared, id: u64) -> Result<Lease> {
    let requested_at = shared.boot_time();
    let renewed = shared.store.renew(id).await?;
    Ok(Lease {
        id,
        valid_until: requested_at + renewed.ttl,
    })
}
