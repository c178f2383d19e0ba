//! Results that their owner can't write while the store is away, kept in the memory of other nodes.
//!
//! They are no part of what lasts: nobody reads them, and a job is correct without them. They spare the
//! work when the owner dies before the store is back.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use shallotroute_batch::record::{self, Listed};
use shallotroute_types::name::Name;

use crate::{job::Owned, member::Member, site::Site};

/// The nodes that keep the results of one job.
const KEEPERS: usize = 2;

/// The most jobs whose results are kept for other nodes.
const MAX_JOBS: usize = 32;

/// How long another node may take to keep or return results.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The results that this node keeps for others, by job.
#[derive(Default)]
pub(crate) struct Spares(Mutex<HashMap<Name, Vec<Listed>>>);

impl Spares {
    /// Keeps results of another node.
    pub(crate) fn keep(&self, job: Name, results: Vec<Listed>) {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if jobs.len() >= MAX_JOBS && !jobs.contains_key(&job) {
            jobs.clear();
        }
        jobs.entry(job).or_default().extend(results);
    }

    /// Returns the results of a job and forgets them.
    pub(crate) fn take(&self, job: &str) -> Vec<Listed> {
        let mut jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.remove(job).unwrap_or_default()
    }
}

/// Has other nodes keep the results that are not written and not in `shared`, which then names them.
pub(crate) fn share(site: &Arc<Site>, owned: &Owned, shared: &mut BTreeSet<u32>) {
    let results = owned.state().run.unwritten(shared);
    if results.is_empty() {
        return;
    }
    shared.extend(results.iter().map(|listed| listed.item));
    let encoded = record::encode(&results);
    for keeper in others(site).into_iter().take(KEEPERS) {
        let (site, job, encoded) = (Arc::clone(site), owned.id.clone(), encoded.clone());
        tokio::spawn(async move {
            let kept = site
                .peers
                .call(keeper.owner.address, CALL_TIMEOUT, |client, context| {
                    let job = job.clone();
                    async move { client.keep(context, job, encoded).await }
                })
                .await;
            spdlog::info!("unwritten results shared", kv: {
                job = job.as_str(),
                keeper = keeper.owner.to_string(),
                outcome = format!("{kept:?}"),
            });
        });
    }
}

/// Collects the results of a job that its former owner could not write.
pub(crate) async fn collect(site: &Arc<Site>, job: &Name) -> Vec<Listed> {
    let asked = others(site).into_iter().map(|member| {
        let job = job.clone();
        async move {
            site.peers
                .call(
                    member.owner.address,
                    CALL_TIMEOUT,
                    |client, context| async move { client.spares(context, job).await },
                )
                .await
        }
    });
    let mut results = site.spares.take(job);
    // A node that can't be reached has nothing that is needed.
    for encoded in join_all(asked).await.into_iter().flatten() {
        match record::decode::<Vec<Listed>>("results", &encoded) {
            Ok(more) => results.extend(more),
            Err(error) => spdlog::warn!("shared results can't be read", kv: {
                job = job.as_str(), error = error.to_string(),
            }),
        }
    }
    results
}

fn others(site: &Site) -> Vec<Member> {
    let members = site.members.borrow();
    members
        .nodes
        .values()
        .filter(|member| member.owner != site.owner && !member.leaving)
        .cloned()
        .collect()
}
