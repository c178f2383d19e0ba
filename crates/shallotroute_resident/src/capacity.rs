//! Exchanges with the other nodes what batch jobs lack and have in flight, from which each computes
//! its share of the servers ([`shallotroute_fleet::capacity`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use shallotroute_batch::record::Owner;
use shallotroute_fleet::capacity::{self, Demand, Load, Report};
use shallotroute_types::{name::Name, version::Version};
use tokio::task::JoinHandle;

use crate::{job::Owned, member::Member, shared::Shared};

/// The interval at which a node with jobs sends its report; short outputs end within twice this time.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a report, which the next one replaces.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends reports for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut sends: BTreeMap<Owner, JoinHandle<()>> = BTreeMap::new();
    let mut was_empty = true;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        expire(&shared);
        update_backlog(&shared);
        let report = report(&shared);
        let is_empty = report.is_empty();
        // An empty report tells the others that the last one no longer holds.
        if is_empty && was_empty {
            continue;
        }
        was_empty = is_empty;
        sends.retain(|_, send| !send.is_finished());
        for peer in peers(&shared) {
            // A node that is slow to answer gets the next report.
            sends.entry(peer.clone()).or_insert_with(|| {
                let (shared, report) = (Arc::clone(&shared), report.clone());
                tokio::spawn(async move { send(&shared, &peer, report).await })
            });
        }
    }
}

/// Records the report of another node.
pub(crate) fn record(shared: &Shared, sender: &Owner, report: Report) {
    let now = shared.now();
    let mut board = shared.board();
    board.record(&sender.node, sender.incarnation, report, now);
    drop(board);
    update_loads(shared);
}

/// Returns how many items of a job may generate at once at a service. `oldest` is the oldest version that
/// the job accepts.
pub(crate) fn job_slots(shared: &Shared, job: &Owned, service: &Name, oldest: Version) -> usize {
    let supply = shared.balancer().supply(service, &job.model, oldest);
    let own = demand(job, service.clone());
    let of_this_node: Vec<Demand> = demands(shared)
        .filter(|(id, _)| *id != job.id)
        .map(|(_, demand)| demand)
        .collect();
    let board = shared.board();
    capacity::job_slots(supply, &own, of_this_node.iter().chain(board.demands()))
}

/// Returns the number of items of all jobs that wait or generate at a service; `None` while the report
/// of a node is missing. The leader gets the reports of all nodes with jobs, also if it runs none itself.
pub(crate) fn open_items(shared: &Shared, service: &str) -> Option<usize> {
    let own: Vec<Demand> = demands(shared).map(|(_, demand)| demand).collect();
    let now = shared.now();
    let board = shared.board();
    board.is_complete(now).then(|| {
        own.iter()
            .chain(board.demands())
            .filter(|demand| &*demand.service == service)
            .fold(0_usize, |sum, demand| sum.saturating_add(demand.items))
    })
}

fn demand(job: &Owned, service: Name) -> Demand {
    Demand {
        service,
        model: job.model.clone(),
        items: job.open_items(),
    }
}

/// Returns what each unfinished job of this node lacks.
fn demands(shared: &Shared) -> impl Iterator<Item = (Name, Demand)> {
    let table = shared.table();
    shared
        .jobs
        .all_owned()
        .into_iter()
        .filter_map(move |owned| {
            let (host, path) = owned.route();
            let route = table.as_ref()?.find(host, path)?;
            let demand = demand(&owned, route.service_for(path).clone());
            (demand.items > 0).then(|| (owned.id.clone(), demand))
        })
}

/// Updates the average number of open items of each model.
fn update_backlog(shared: &Shared) {
    let own: Vec<Demand> = demands(shared).map(|(_, demand)| demand).collect();
    let now = shared.now();
    let board = shared.board();
    let mut backlog = shared.backlog();
    backlog.update(own.iter().chain(board.demands()), now);
}

fn expire(shared: &Shared) {
    let now = shared.now();
    let mut board = shared.board();
    if board.is_empty() {
        return;
    }
    let members = shared.members.borrow();
    board.expire(|node| members.nodes.contains_key(node), now);
    drop(members);
    drop(board);
    update_loads(shared);
}

fn update_loads(shared: &Shared) {
    let now = shared.now();
    let board = shared.board();
    let mut balancer = shared.balancer();
    let loads = board.loads(
        |server| balancer.get(server).map(|server| server.slots),
        now,
    );
    balancer.set_foreign_loads(&loads);
}

fn report(shared: &Shared) -> Report {
    let demands = demands(shared).map(|(_, demand)| demand).collect();
    let loads = shared
        .balancer()
        .batch_loads()
        .map(|(server, requests)| Load {
            server: server.clone(),
            requests,
        })
        .collect();
    Report { demands, loads }
}

/// Returns the other nodes that may run jobs, and the leader.
fn peers(shared: &Shared) -> BTreeSet<Owner> {
    let members = shared.members.borrow();
    let leadership = members.leadership.as_ref();
    let leader = leadership.and_then(|leadership| leadership.leader.as_ref());
    let job_nodes = members.job_nodes().map(|member: &Member| &member.owner);
    job_nodes
        .chain(leader)
        .filter(|owner| **owner != shared.owner)
        .cloned()
        .collect()
}

async fn send(shared: &Shared, peer: &Owner, report: Report) {
    let sender = shared.owner.clone();
    let sent = shared
        .peers
        .call(peer.address, REPORT_TIMEOUT, |client, context| async move {
            client.report_load(context, sender, report).await
        })
        .await;
    if let Err(error) = sent {
        spdlog::debug!("failed to send load report", kv: {
            node = peer.to_string(), reason = format!("{error:?}"),
        });
    }
}
