//! Exchanges with the other nodes what batch jobs lack and have in flight, from which each computes
//! its share of the servers ([`shallotroute_fleet::capacity`]).

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use shallotroute_batch::record::Owner;
use shallotroute_fleet::{
    admission::{
        Policy,
        share::{self, Need},
    },
    capacity::{self, Demand, Load, Report, Supply},
    route::Route,
};
use shallotroute_types::{name::Name, version::Version};
use tokio::task::JoinHandle;

use crate::{job::Owned, member::Member, metric::Metrics, shared::Shared};

/// The interval at which a node with jobs sends its report; short outputs end within twice this time.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a report, which the next one replaces.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The version of the calls from which on nodes understand what jobs need.
const NEEDS_PROTOCOL: u32 = 1;

/// Sends reports for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut sends: BTreeMap<Owner, JoinHandle<()>> = BTreeMap::new();
    let mut was_empty = true;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        expire(&shared);
        update_backlog(&shared);
        let report = report(&shared);
        let needs: Option<Vec<Need>> = match shared.governors.policy() {
            Policy::ByCost => Some(needs(&shared).map(|(_, need)| need).collect()),
            Policy::FirstCome => None,
        };
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
                let speaks = shared.members.borrow().speaks(&peer, NEEDS_PROTOCOL);
                let needs = needs.clone().filter(|_| speaks);
                tokio::spawn(async move { send(&shared, &peer, report, needs).await })
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

/// Records the report of another node that says what its jobs need.
pub(crate) fn record_needs(shared: &Shared, sender: &Owner, report: share::Report) {
    let now = shared.now();
    let mut board = shared.board();
    board.record_needs(&sender.node, sender.incarnation, report, now);
    drop(board);
    update_loads(shared);
}

/// Records the time that a completed attempt of a job's item has kept a slot.
pub(crate) fn record_hold(shared: &Shared, job: &Owned, elapsed: Duration) {
    if let Some(route) = route(shared, job) {
        shared.governors.record_hold(&route.name, elapsed);
    }
}

/// Returns the priority of a job's items at the servers.
pub(crate) fn item_priority(shared: &Shared, job: &Owned) -> u8 {
    match (shared.governors.policy(), priority(shared, job)) {
        (Policy::ByCost, Some(own)) => {
            let is_equal = |other: &Owned| priority(shared, other) == Some(own);
            let earlier = shared.jobs.earlier_jobs(job, is_equal);
            share::item_priority(own, earlier)
        }
        _ => shared.jobs.priority(job),
    }
}

fn route(shared: &Shared, job: &Owned) -> Option<Arc<Route>> {
    let (host, path) = job.route();
    shared.table()?.find(host, path).cloned()
}

/// Returns how many items of a job may generate at once at a service, by what its delay costs.
fn job_slots_by_cost(shared: &Shared, job: &Owned, supply: Supply, own: Demand) -> usize {
    let own = need(shared, job, own);
    let of_this_node: Vec<Need> = needs(shared)
        .filter(|(id, _)| *id != job.id)
        .map(|(_, need)| need)
        .collect();
    let board = shared.board();
    let jobs = 1 + of_this_node.len() + board.demands().count();
    let others = board.needs(|demand| Need::of_unknown(demand.clone(), supply.total, jobs));
    drop(board);
    let slots = share::job_slots(supply, &own, of_this_node.iter().chain(&others));
    if slots < own.slots {
        Metrics::count(&shared.metrics.admissions, short_label(own.priority));
    }
    slots
}

fn short_label(priority: u8) -> &'static str {
    match priority {
        0 => "job_short_priority_0",
        1 => "job_short_priority_1",
        _ => "job_short_priority_2",
    }
}

/// Returns what an unfinished job needs that lacks `demand`.
fn need(shared: &Shared, job: &Owned, demand: Demand) -> Need {
    let route = route(shared, job);
    let hold = route
        .as_ref()
        .map_or(Duration::ZERO, |route| shared.governors.hold(&route.name));
    let due_after = route
        .as_ref()
        .and_then(|route| route.batch)
        .map_or(Duration::ZERO, |batch| batch.due_after);
    let submitted_ms = job.state().head.submitted_ms;
    let age = Duration::from_millis(shared.unix_ms().saturating_sub(submitted_ms));
    let priority = priority(shared, job).unwrap_or(u8::MAX);
    let left = due_after.saturating_sub(age);
    Need::new(demand, hold, left, priority).with_workspace(job.workspace.clone())
}

/// Returns the priority of a job: that of its workspace if it has one, else that of its route. `None` if the
/// route was removed.
pub(crate) fn priority(shared: &Shared, job: &Owned) -> Option<u8> {
    let table = shared.table()?;
    let own = job.workspace.as_deref().and_then(|name| {
        let directory = table.workspaces()?;
        directory.find(name)?.priority
    });
    own.or_else(|| Some(route(shared, job)?.priority))
}

/// Logs why items of a job wait: its share of the slots and what it needs.
pub(crate) fn log_share(shared: &Shared, job: &Owned, slots: usize) {
    let need = needs(shared).find(|(id, _)| *id == job.id);
    if let Some((_, need)) = need {
        spdlog::info!("share of a job", kv: {
            job = job.id.as_str(),
            priority = need.priority,
            open = need.demand.items,
            needed = need.slots,
            slots,
        });
    }
}

/// Returns what each unfinished job of this node needs.
pub(crate) fn needs(shared: &Shared) -> impl Iterator<Item = (Name, Need)> {
    demands(shared).filter_map(|(id, demand)| {
        let owned = shared.jobs.owned(&id)?;
        let need = need(shared, &owned, demand);
        Some((id, need))
    })
}

/// Returns how many items of a job may generate at once at a service. `oldest` is the oldest version that
/// the job accepts.
pub(crate) fn job_slots(shared: &Shared, job: &Owned, service: &Name, oldest: Version) -> usize {
    let supply = shared.balancer().supply(service, &job.model, oldest);
    let own = demand(job, service.clone());
    if shared.governors.policy() == Policy::ByCost {
        return job_slots_by_cost(shared, job, supply, own);
    }
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

/// Sends a report; one with `needs` to a node that understands it.
async fn send(shared: &Shared, peer: &Owner, report: Report, needs: Option<Vec<Need>>) {
    let sender = shared.owner.clone();
    let sent = shared
        .peers
        .call(peer.address, REPORT_TIMEOUT, |client, context| async move {
            let Some(needs) = needs else {
                return client.report_load(context, sender, report).await;
            };
            let loads = report.loads;
            let report = share::Report { needs, loads };
            client.report_needs(context, sender, report).await
        })
        .await;
    if let Err(error) = sent {
        spdlog::debug!("failed to send load report", kv: {
            node = peer.to_string(), reason = format!("{error:?}"),
        });
    }
}
