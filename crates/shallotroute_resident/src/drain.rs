//! Draining: while a node stops, its batch jobs finish or move to other nodes.

use std::{sync::Arc, time::Duration};

use shallotroute_types::name::Name;
use tokio::time::Instant;

use crate::{checkpoint, claim, job::Owned, shared::Shared};

/// The share of the grace period in which jobs may still finish on this node, in percent. The rest
/// of the period suffices for another node to finish a job in time for its trainer.
const JOB_FINISH_PERCENT: u32 = 35;

/// The timeout of the call that asks another node to adopt a job.
const ADOPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The interval between two checks for unfinished jobs.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for jobs to finish during a part of the grace period, then hands the others over to other
/// nodes.
pub(crate) async fn jobs(shared: &Arc<Shared>) {
    let deadline = Instant::now() + shared.settings.grace * JOB_FINISH_PERCENT / 100;
    while Instant::now() < deadline && !unfinished(shared).is_empty() {
        tokio::time::sleep(JOB_POLL_INTERVAL).await;
    }
    let handovers: Vec<_> = unfinished(shared)
        .into_iter()
        .map(|owned| tokio::spawn(hand_over(Arc::clone(shared), owned.id.clone())))
        .collect();
    for handover in handovers {
        if let Err(error) = handover.await {
            spdlog::error!("job handover task failed", kv: { error = error.to_string() });
        }
    }
}

/// Releases the ownership of a job and asks another node to adopt it.
pub(crate) async fn hand_over(shared: Arc<Shared>, job: Name) {
    let Some(owned) = shared.jobs.owned(&job) else {
        return;
    };
    let specification = Arc::clone(owned.state().job.specification());
    let successor = shared
        .node_for_jobs(&specification.host, &specification.path)
        .filter(|member| member.owner != shared.owner);
    if let Some(successor) = &successor {
        checkpoint::send(&shared, &owned, successor).await;
    }
    if !claim::release(&shared, &owned).await {
        spdlog::warn!("failed to release job; another node takes it over when this node's lease expires", kv: {
            job = job.as_str(),
        });
        return;
    }
    owned
        .progress
        .send_modify(|progress| progress.is_lost = true);
    let Some(successor) = successor else {
        spdlog::warn!("no other node to adopt the job", kv: { job = job.as_str() });
        return;
    };
    let id = job.clone();
    let adopted = shared
        .peers
        .call(
            successor.owner.address,
            ADOPT_TIMEOUT,
            |client, context| async move { client.adopt_job(context, id).await },
        )
        .await;
    spdlog::info!("job handed over", kv: {
        job = job.as_str(),
        to = successor.owner.to_string(),
        outcome = format!("{adopted:?}"),
    });
}

fn unfinished(shared: &Shared) -> Vec<Arc<Owned>> {
    shared
        .jobs
        .all_owned()
        .into_iter()
        .filter(|owned| {
            let progress = *owned.progress.borrow();
            !progress.is_ended && !progress.is_lost && !owned.state().job.is_finished()
        })
        .collect()
}
