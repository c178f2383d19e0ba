//! The orderly end of a process: other nodes take its jobs, and requests in progress finish.

use std::{sync::Arc, time::Duration};

use shallotroute_types::name::Name;
use tokio::time::Instant;

use crate::{claim, job::Owned, site::Site};

/// The part of the grace period in which jobs may finish here, in percent: what is left over then
/// still reaches its trainer in time at another node.
const FINISH_PERCENT: u32 = 35;

/// How long a node may take to take a job over.
const ADOPT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The pause between two looks at the jobs.
const PAUSE: Duration = Duration::from_millis(50);

/// Lets jobs finish for a part of the grace period, and hands the others over.
pub(crate) async fn jobs(site: &Arc<Site>) {
    let until = Instant::now() + site.settings.grace * FINISH_PERCENT / 100;
    while Instant::now() < until && !unfinished(site).is_empty() {
        tokio::time::sleep(PAUSE).await;
    }
    let handed: Vec<_> = unfinished(site)
        .into_iter()
        .map(|owned| tokio::spawn(hand_over(Arc::clone(site), owned.id.clone())))
        .collect();
    for task in handed {
        if let Err(error) = task.await {
            spdlog::error!("handing a job over failed", kv: { error = error.to_string() });
        }
    }
}

/// Gives a job up and asks another node to take it.
pub(crate) async fn hand_over(site: Arc<Site>, job: Name) {
    let Some(owned) = site.jobs.owned(&job) else {
        return;
    };
    if !claim::release(&site, &owned).await {
        spdlog::warn!("job not given up; it is taken over when this node's lease ends", kv: {
            job = job.as_str(),
        });
        return;
    }
    owned.progress.send_modify(|progress| progress.lost = true);
    let successor = site
        .members
        .borrow()
        .home(&job)
        .filter(|member| member.owner != site.owner)
        .cloned();
    let Some(successor) = successor else {
        spdlog::warn!("no other node for a job", kv: { job = job.as_str() });
        return;
    };
    let id = job.clone();
    let adopted = site
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

fn unfinished(site: &Site) -> Vec<Arc<Owned>> {
    site.jobs
        .all_owned()
        .into_iter()
        .filter(|owned| {
            let progress = *owned.progress.borrow();
            !progress.ended && !progress.lost && !owned.state().run.finished()
        })
        .collect()
}
