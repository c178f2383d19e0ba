//! Checkpoints of jobs: unfinished outputs and unwritten results in other nodes' memory, and long
//! unfinished outputs in the platform's store.
//!
//! A job is correct without its checkpoints, and trainers never read them. They save a new owner
//! from generating again if the owner fails during long outputs or before it has written its
//! results.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::future::join_all;
use shallotroute_batch::record::{self, Checkpoint, CheckpointState};
use shallotroute_types::name::Name;

use crate::{job::Owned, ledger, member::Member, shared::Shared};

/// The number of nodes to which results are replicated while the store is slow to accept them.
const RESULT_REPLICAS: usize = 2;

/// How long the checkpoints of a job are held after their last update; a takeover takes less time.
const RETENTION: Duration = Duration::from_secs(10);

/// The timeout of a call that sends or collects checkpoints.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The checkpoints of one job by item.
struct JobCheckpoints {
    checkpoints: BTreeMap<u32, Checkpoint>,
    updated_at: Instant,
}

/// The checkpoints that this node holds for other nodes, by job.
#[derive(Default)]
pub(crate) struct Checkpoints(Mutex<HashMap<Name, JobCheckpoints>>);

impl Checkpoints {
    /// Stores checkpoints in place of earlier ones of the same items, and drops jobs whose
    /// checkpoints are older than [`RETENTION`].
    pub(crate) fn put(&self, job: Name, checkpoints: Vec<Checkpoint>, now: Instant) {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.retain(|_, held| now < held.updated_at + RETENTION);
        let held = jobs.entry(job).or_insert_with(|| JobCheckpoints {
            checkpoints: BTreeMap::new(),
            updated_at: now,
        });
        held.updated_at = now;
        for checkpoint in checkpoints {
            held.checkpoints.insert(checkpoint.item, checkpoint);
        }
    }

    /// Removes and returns the checkpoints of a job.
    pub(crate) fn take(&self, job: &str) -> Vec<Checkpoint> {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let held = jobs.remove(job);
        held.map_or_else(Vec::new, |held| held.checkpoints.into_values().collect())
    }
}

/// Sends checkpoints of the items that have progressed since their last checkpoint to other nodes,
/// in the background. `replicated_progress` holds the progress of each item at its last checkpoint.
/// With `include_results`, also sends outcomes that are not written yet, and to [`RESULT_REPLICAS`]
/// nodes instead of one.
pub(crate) fn replicate(
    shared: &Arc<Shared>,
    owned: &Owned,
    replicated_progress: &mut BTreeMap<u32, u64>,
    include_results: bool,
) {
    let checkpoints = owned
        .state()
        .job
        .checkpoints(replicated_progress, include_results);
    if checkpoints.is_empty() {
        return;
    }
    let replica_count = match include_results {
        true => RESULT_REPLICAS,
        false => 1,
    };
    let checkpoints = Arc::new(checkpoints);
    for replica in replicas_for(shared, &owned.id, replica_count) {
        let (shared, job) = (Arc::clone(shared), owned.id.clone());
        let checkpoints = Arc::clone(&checkpoints);
        tokio::spawn(async move { hold(&shared, &job, &checkpoints, &replica).await });
    }
}

/// Sends the checkpoints of all unfinished items to the node that is about to take a job over.
pub(crate) async fn send(shared: &Shared, owned: &Owned, successor: &Member) {
    let checkpoints = owned.state().job.checkpoints(&mut BTreeMap::new(), true);
    if !checkpoints.is_empty() {
        hold(shared, &owned.id, &checkpoints, successor).await;
    }
}

/// Has a node hold checkpoints of a job.
///
/// Outcomes are sent apart from incomplete outputs: a node of an earlier build rejects a list with
/// [`CheckpointState::Generated`] as a whole.
async fn hold(shared: &Shared, job: &Name, checkpoints: &[Checkpoint], holder: &Member) {
    let (outcomes, outputs): (Vec<&Checkpoint>, Vec<&Checkpoint>) = checkpoints
        .iter()
        .partition(|checkpoint| matches!(checkpoint.state, CheckpointState::Done(_)));
    tokio::join!(
        call_holder(shared, job, &outcomes, holder),
        call_holder(shared, job, &outputs, holder)
    );
}

/// Has a node hold checkpoints of a job with one call, or none if there are no checkpoints.
async fn call_holder(shared: &Shared, job: &Name, checkpoints: &[&Checkpoint], holder: &Member) {
    if checkpoints.is_empty() {
        return;
    }
    let (id, encoded) = (job.clone(), record::encode(checkpoints));
    let held = shared
        .peers
        .call(
            holder.owner.address,
            CALL_TIMEOUT,
            |client, context| async move { client.hold_checkpoints(context, id, encoded).await },
        )
        .await;
    if let Err(error) = held {
        spdlog::info!("failed to send checkpoints", kv: {
            job = job.as_str(),
            keeper = holder.owner.to_string(),
            count = checkpoints.len(),
            reason = format!("{error:?}"),
        });
    }
}

/// Collects the checkpoints of a job from the store and from all nodes, which drop them.
pub(crate) async fn collect(shared: &Arc<Shared>, job: &Name) -> Vec<Checkpoint> {
    let calls = other_nodes(shared).into_iter().map(|member| {
        let job = job.clone();
        async move {
            shared
                .peers
                .call(
                    member.owner.address,
                    CALL_TIMEOUT,
                    |client, context| async move { client.take_checkpoints(context, job).await },
                )
                .await
        }
    });
    let mut checkpoints = shared.held_checkpoints.take(job);
    // Checkpoints only save work, so unreachable nodes are skipped.
    let (held, stored) = tokio::join!(join_all(calls), ledger::load_checkpoints(shared, job));
    for encoded in held.into_iter().flatten() {
        match record::decode::<Vec<Checkpoint>>("drafts", &encoded) {
            Ok(received) => checkpoints.extend(received),
            Err(error) => spdlog::warn!("failed to decode checkpoints", kv: {
                job = job.as_str(), error = error.to_string(),
            }),
        }
    }
    // Without those in the store, items generate again from their first event.
    match stored {
        Ok(stored) => checkpoints.extend(stored),
        Err(error) => spdlog::warn!("failed to read stored checkpoints", kv: {
            job = job.as_str(), error = error.to_string(),
        }),
    }
    checkpoints
}

/// Writes checkpoints of a job to the store, where they survive a loss of power of all hosts. Does
/// nothing if this process no longer owns the job.
pub(crate) async fn store(shared: &Shared, owned: &Owned, checkpoints: &[Checkpoint]) {
    let revision = owned.state().revision;
    let requested_at = shared.boot_time();
    match ledger::write_checkpoints(shared, &owned.id, revision, checkpoints).await {
        // The store has confirmed the claim, which saves a read of the head.
        Ok(true) => {
            owned.state().claim.confirm(requested_at);
        }
        // The runner finds out who owns the job now.
        Ok(false) => {}
        Err(error) => spdlog::info!("failed to store checkpoints", kv: {
            job = owned.id.as_str(), count = checkpoints.len(), error = error.to_string(),
        }),
    }
}

/// Returns the `count` nodes that hold the checkpoints of a job, ranked by rendezvous hashing;
/// nodes of this availability zone come first.
fn replicas_for(shared: &Shared, job: &str, count: usize) -> Vec<Member> {
    let mut members = other_nodes(shared);
    let zone = &shared.settings.node.zone;
    members.sort_by_cached_key(|member| {
        let rank = xxhash_rust::xxh3::xxh3_64_with_seed(
            member.owner.node.as_bytes(),
            xxhash_rust::xxh3::xxh3_64(job.as_bytes()),
        );
        (member.zone != *zone, rank)
    });
    members.truncate(count);
    members
}

/// Returns the other nodes that are not leaving.
fn other_nodes(shared: &Shared) -> Vec<Member> {
    let members = shared.members.borrow();
    members
        .nodes
        .values()
        .filter(|member| member.owner != shared.owner && !member.leaving)
        .cloned()
        .collect()
}
