//! What the owner of a job has and the store does not, kept in the memory of other nodes.
//!
//! It is no part of what lasts: nobody reads it, and a job is correct without it. It spares the work when
//! an owner dies in the middle of long texts, or before it could write its results.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::future::join_all;
use shallotroute_batch::record::{self, Draft};
use shallotroute_types::name::Name;

use crate::{job::Owned, member::Member, shared::Shared};

/// The nodes that keep results which the store does not take.
const RESULT_KEEPERS: usize = 2;

/// How long drafts are kept after the last of their job came: longer than a takeover takes.
const KEEP_TIME: Duration = Duration::from_secs(10);

/// How long another node may take to keep or return drafts.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The drafts of one job.
struct Kept {
    drafts: BTreeMap<u32, Draft>,
    since: Instant,
}

/// The drafts that this node keeps for others, by job.
#[derive(Default)]
pub(crate) struct Spares(Mutex<HashMap<Name, Kept>>);

impl Spares {
    /// Keeps drafts of another node, in place of older ones of the same items.
    pub(crate) fn keep(&self, job: Name, drafts: Vec<Draft>, now: Instant) {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.retain(|_, kept| now < kept.since + KEEP_TIME);
        let kept = jobs.entry(job).or_insert_with(|| Kept {
            drafts: BTreeMap::new(),
            since: now,
        });
        kept.since = now;
        for draft in drafts {
            kept.drafts.insert(draft.item, draft);
        }
    }

    /// Returns the drafts of a job and forgets them.
    pub(crate) fn take(&self, job: &str) -> Vec<Draft> {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = jobs.remove(job);
        kept.map_or_else(Vec::new, |kept| kept.drafts.into_values().collect())
    }
}

/// Has other nodes keep what has grown since it was last shared; with `results` also the outcomes that
/// the store does not take.
pub(crate) fn share(
    shared: &Arc<Shared>,
    owned: &Owned,
    checkpointed: &mut BTreeMap<u32, u64>,
    results: bool,
) {
    let drafts = owned.state().run.drafts(checkpointed, results);
    if drafts.is_empty() {
        return;
    }
    let keepers = match results {
        true => RESULT_KEEPERS,
        false => 1,
    };
    let encoded = record::encode(&drafts);
    for keeper in keepers_of(shared, &owned.id, keepers) {
        let (shared, job, encoded) = (Arc::clone(shared), owned.id.clone(), encoded.clone());
        let count = drafts.len();
        tokio::spawn(async move {
            let id = job.clone();
            let kept =
                shared
                    .peers
                    .call(
                        keeper.owner.address,
                        CALL_TIMEOUT,
                        |client, context| async move {
                            client.hold_checkpoints(context, id, encoded).await
                        },
                    )
                    .await;
            if let Err(denial) = kept {
                spdlog::info!("drafts not shared", kv: {
                    job = job.as_str(),
                    keeper = keeper.owner.to_string(),
                    count,
                    reason = format!("{denial:?}"),
                });
            }
        });
    }
}

/// Collects the drafts of a job from all nodes.
pub(crate) async fn collect(shared: &Arc<Shared>, job: &Name) -> Vec<Draft> {
    let asked = others(shared).into_iter().map(|member| {
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
    let mut drafts = shared.spares.take(job);
    // A node that can't be reached has nothing that is needed.
    for encoded in join_all(asked).await.into_iter().flatten() {
        match record::decode::<Vec<Draft>>("drafts", &encoded) {
            Ok(more) => drafts.extend(more),
            Err(error) => spdlog::warn!("drafts can't be read", kv: {
                job = job.as_str(), error = error.to_string(),
            }),
        }
    }
    // The furthest draft of an item comes first, and the others are ignored.
    drafts.sort_by_key(|draft| std::cmp::Reverse(draft.progress()));
    drafts
}

/// Returns the nodes that keep drafts of a job, those of this availability zone first.
fn keepers_of(shared: &Shared, job: &str, count: usize) -> Vec<Member> {
    let mut members = others(shared);
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

fn others(shared: &Shared) -> Vec<Member> {
    let members = shared.members.borrow();
    members
        .nodes
        .values()
        .filter(|member| member.owner != shared.owner && !member.leaving)
        .cloned()
        .collect()
}
