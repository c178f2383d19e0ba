//! Leadership, which one node has at a time. The leader sends orders to model servers, takes over
//! jobs that have no live owner, reports empty hosts to operators, and removes expired job records.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::{Either, Full};
use shallotroute_adapter::{
    backend,
    engine::{self, Mode, Reply},
    registry,
    store::{Write, WriteOutcome},
};
use shallotroute_batch::record::{self, Owner};
use shallotroute_fleet::{
    access::Grant,
    election::Vacancy,
    link::State,
    rolling_update::{Order, OrderOutcome, Planner, Report},
    server::Server,
};
use shallotroute_types::{fence::Fence, name::Name};
use tokio::sync::{Notify, watch};

use crate::{
    access::Outgoing,
    claim,
    generate::idle_timeout,
    ledger,
    link::Sender,
    member::{LEADER_KEY, LeaderRecord, Members},
    metric::Metrics,
    pool::UNACKNOWLEDGED_TIMEOUT,
    presence::Lease,
    scaler,
    shared::Shared,
    store::Error,
    view,
};

/// The rendezvous hashing key by which candidates rank themselves; all nodes must use the same.
const RANK_KEY: &str = "duty";

/// The interval at which the leadership and the leader's tasks are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Orders stop this long before the lease may end, so that none arrives after an order of the next
/// leader.
const LEASE_MARGIN: Duration = Duration::from_millis(700);

/// The timeout of an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long an order may still arrive after its call was given up: the system then ends the connection.
const ABANDONED_ORDER_TIMEOUT: Duration = UNACKNOWLEDGED_TIMEOUT;

/// The timeout of a call that asks a process without a member entry whether it runs a job.
const MISSING_OWNER_TIMEOUT: Duration = Duration::from_millis(250);

/// The interval between two orphan scans while no owner is lost.
const ORPHAN_SCAN_INTERVAL: Duration = Duration::from_secs(6);

/// The interval between two orphan scans while member entries may still return after an outage.
const RECOVERY_SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which a leader that drains checks whether a call for a duty may still arrive.
const RESIGNATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a leader that has stepped down waits until its own record is gone.
const RESIGNATION_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of this node while it leads.
struct Leader {
    shared: Arc<Shared>,
    fence: Fence,
    lease: watch::Receiver<Option<Lease>>,
    /// The lease that the leadership is bound to. It ends with that lease, also when the node has another
    /// one by now and has not seen yet that the record is gone.
    lease_id: Option<u64>,
    planner: Arc<Mutex<Planner>>,
    /// The end of the delay before the first order.
    orders_allowed_from: Instant,
    /// When the next orphan scan is due.
    next_scan: Instant,
    /// The processes that had a member entry at the last orphan scan.
    live_owners: BTreeSet<Owner>,
    /// The retired nodes whose hosts have been reported as empty.
    reported_empty: BTreeSet<Name>,
    /// Whether a server has rejected an order because it has seen a higher fencing number.
    is_fenced: Arc<AtomicBool>,
    /// When the last order without an answer was sent.
    unanswered_at: Arc<Mutex<Option<Instant>>>,
    /// When this node last stepped down. It performs no tasks until the change is seen.
    resigned_at: Option<Instant>,
    /// Notified when a server's load has ended, so that the next order is sent at once.
    load_ended: Arc<Notify>,
    /// The number of servers, and the calls that set it; `None` without that duty.
    scaling: Option<(scaler::Task, Arc<dyn scaler::Caller>)>,
}

/// The standing of this process according to the record of the leadership.
enum Standing {
    /// It leads with this fencing number.
    Leads(Fence),
    /// Another process leads.
    Follows,
    /// No process leads. The number is the revision of the record, or 0 if there is none.
    Vacant(Vacancy, u64),
}

impl Standing {
    fn new(members: &Members, owner: &Owner) -> Self {
        let Some(leadership) = &members.leadership else {
            return Self::Vacant(Vacancy::Expired, 0);
        };
        let revision = leadership.fence.0;
        match &leadership.leader {
            None => Self::Vacant(Vacancy::Released, revision),
            Some(leader) if leader == owner => Self::Leads(leadership.fence),
            Some(leader) if leader.node == owner.node && leader.address == owner.address => {
                Self::Vacant(Vacancy::FormerProcess, revision)
            }
            Some(_) => Self::Follows,
        }
    }
}

/// Campaigns for the leadership when it is vacant, and performs the leader's tasks while this node
/// leads, until the process drains.
pub(crate) async fn run(shared: Arc<Shared>, lease: watch::Receiver<Option<Lease>>) {
    let mut members = shared.members.subscribe();
    let mut leader: Option<Leader> = None;
    loop {
        if shared.drain.is_cancelled() {
            if let Some(leader) = leader {
                finish_calls(&shared).await;
                step_down(&shared, leader.fence).await;
                lose_duties(&shared);
            }
            return;
        }
        let current = members.borrow_and_update().clone();
        let stale_order_delay = shared.settings.stale_order_delay;
        match Standing::new(&current, &shared.owner) {
            _ if !current.is_loaded => {}
            Standing::Leads(fence) => {
                let leader = leader.get_or_insert_with(|| {
                    let delay = Vacancy::Expired.order_delay(stale_order_delay);
                    // The answer to the write was lost. The lease is taken to be that of the write; if
                    // it is not, the record is gone soon.
                    let lease_id = lease.borrow().map(|lease| lease.id);
                    Leader::new(&shared, fence, lease.clone(), lease_id, delay)
                });
                leader.fence = fence;
                leader.perform_tasks().await;
            }
            Standing::Follows => {
                leader = None;
                lose_duties(&shared);
            }
            Standing::Vacant(vacancy, revision) => {
                leader = None;
                lose_duties(&shared);
                let live_nodes = current.live_nodes();
                let lease_id = lease.borrow().map(|lease| lease.id);
                let fence = match lease_id {
                    Some(id) => campaign(&shared, id, vacancy, &live_nodes, revision).await,
                    None => None,
                };
                if let Some(fence) = fence {
                    let delay = vacancy.order_delay(stale_order_delay);
                    leader = Some(Leader::new(&shared, fence, lease.clone(), lease_id, delay));
                }
            }
        }
        let load_ended = leader.as_ref().map(|leader| Arc::clone(&leader.load_ended));
        let load_ended = async move {
            match load_ended {
                Some(load_ended) => load_ended.notified().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = load_ended => {}
            _ = members.changed() => {}
            () = shared.drain.cancelled() => {}
        }
    }
}

/// Returns whether this node has lost its links to the servers and another registered node has not.
fn is_stranded(shared: &Shared) -> bool {
    let members = shared.members.borrow();
    let mut others = members
        .linked_nodes()
        .filter(|(id, _)| **id != shared.owner.node);
    shared.links.state() != State::Sound && others.next().is_some()
}

/// Writes this node as the leader if the leadership is still vacant after this node's election
/// delay. The leadership ends with the lease `lease_id`. `expected` is the revision of the vacant record,
/// or 0 if there is none. Returns the fencing number, or `None` if this node is not elected.
async fn campaign(
    shared: &Shared,
    lease_id: u64,
    vacancy: Vacancy,
    live_nodes: &[Name],
    expected: u64,
) -> Option<Fence> {
    if is_stranded(shared) {
        return None;
    }
    tokio::time::sleep(vacancy.campaign_delay(&shared.owner.node, live_nodes, RANK_KEY)).await;
    let observed = shared
        .members
        .borrow()
        .leadership
        .as_ref()
        .map_or(0, |leadership| leadership.fence.0);
    if observed != expected {
        return None;
    }
    let encoded = record::encode(&LeaderRecord {
        holder: Some(shared.owner.clone()),
    });
    let write = Write {
        conditions: vec![(LEADER_KEY.to_owned(), expected)],
        puts: vec![(LEADER_KEY.to_owned(), encoded.clone(), lease_id)],
        removals: Vec::new(),
    };
    match shared.store.write(&write).await {
        Ok(WriteOutcome::Applied(revision)) => {
            spdlog::info!("became leader", kv: { fence = revision });
            view::apply_own_write(shared, LEADER_KEY, encoded, revision);
            Some(Fence(revision))
        }
        Ok(WriteOutcome::Conflict(_)) => None,
        Err(error) => {
            spdlog::warn!("failed to write leadership to the platform store", kv: {
                error = error.to_string(),
            });
            None
        }
    }
}

/// Records that this node does not lead.
fn lose_duties(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        duties.lose();
    }
}

/// Waits until no call for a duty can arrive any more, which takes some seconds at most.
async fn finish_calls(shared: &Shared) {
    if let Some(duties) = &shared.duties {
        duties.set_resigning(true);
        while !duties.can_step_down() {
            tokio::time::sleep(RESIGNATION_POLL_INTERVAL).await;
        }
    }
}

/// Gives up the leadership, so that another node can be elected before this node's lease ends.
async fn step_down(shared: &Shared, fence: Fence) {
    if let Some(duties) = &shared.duties {
        duties.retire(fence);
    }
    let encoded = record::encode(&LeaderRecord { holder: None });
    let write = Write {
        conditions: vec![(LEADER_KEY.to_owned(), fence.0)],
        puts: vec![(LEADER_KEY.to_owned(), encoded, 0)],
        removals: Vec::new(),
    };
    let outcome = shared.store.write(&write).await;
    spdlog::info!("stepped down as leader", kv: {
        fence = fence.0, outcome = format!("{outcome:?}"),
    });
}

impl Leader {
    fn new(
        shared: &Arc<Shared>,
        fence: Fence,
        lease: watch::Receiver<Option<Lease>>,
        lease_id: Option<u64>,
        order_delay: Duration,
    ) -> Self {
        let now = shared.now();
        Self {
            shared: Arc::clone(shared),
            fence,
            lease_id,
            lease,
            planner: Arc::new(Mutex::new(Planner::default())),
            orders_allowed_from: now + order_delay,
            next_scan: now,
            live_owners: BTreeSet::new(),
            reported_empty: BTreeSet::new(),
            is_fenced: Arc::default(),
            unanswered_at: Arc::default(),
            resigned_at: None,
            load_ended: Arc::default(),
            scaling: scaler::caller(shared).map(|caller| (scaler::Task::new(shared), caller)),
        }
    }

    async fn perform_tasks(&mut self) {
        let now = self.shared.now();
        if self
            .resigned_at
            .is_some_and(|at| now < at + RESIGNATION_TIMEOUT)
        {
            return;
        }
        self.update_duties().await;
        if let Some(reason) = self.resignation() {
            if self.may_step_down() {
                spdlog::warn!("{reason}; stepping down", kv: { fence = self.fence.0 });
                self.is_fenced.store(false, Ordering::Relaxed);
                self.resigned_at = Some(now);
                step_down(&self.shared, self.fence).await;
            }
            return;
        }
        self.send_orders();
        if let Some((task, caller)) = &mut self.scaling {
            task.poll(caller);
        }
        self.report_empty_hosts().await;
        self.scan_for_orphans().await;
    }

    /// Has the duties performed with this leadership. A call may have been rejected because of a higher token; none can
    /// exist if the store still has this node's record.
    async fn update_duties(&self) {
        let Some(duties) = &self.shared.duties else {
            return;
        };
        duties.gain(self.fence, self.lease.clone(), self.lease_id);
        let Some(permit) = duties.doubted() else {
            return;
        };
        match self.shared.store.get(LEADER_KEY).await {
            Ok(item) => duties.resolve_doubt(permit, item.revision == permit.token.0),
            Err(Error::NotFound) => duties.resolve_doubt(permit, false),
            Err(error) => {
                spdlog::warn!("failed to read the leadership; calls for duties wait", kv: {
                    fence = self.fence.0, error = error.to_string(),
                })
            }
        }
    }

    /// Returns why this node is to give up the leadership; `None` if it is not.
    fn resignation(&self) -> Option<&'static str> {
        let duties = self.shared.duties.as_ref();
        let lease_id = self.lease.borrow().map(|lease| lease.id);
        if self.is_fenced.load(Ordering::Relaxed) {
            Some("a server has seen a higher fencing number")
        } else if duties.is_some_and(|duties| duties.is_fenced()) {
            Some("the platform has seen a higher fencing number")
        } else if lease_id.is_some() && lease_id != self.lease_id {
            Some("the lease of the leadership was replaced")
        } else if self.should_hand_over() {
            Some("lost the links to the servers")
        } else {
            if let Some(duties) = duties {
                duties.set_resigning(false);
            }
            None
        }
    }

    /// Returns whether no call for a duty can arrive any more. No further one is sent.
    fn may_step_down(&self) -> bool {
        self.shared.duties.as_ref().is_none_or(|duties| {
            duties.set_resigning(true);
            duties.can_step_down()
        })
    }

    /// Returns whether another node is to lead, since this one reaches no server and another one does. Orders are not
    /// relayed: servers judge them by the node that sends them.
    ///
    /// An order without an answer may arrive until the system gives up its connection.
    fn should_hand_over(&self) -> bool {
        let now = self.shared.now();
        let is_order_pending = lock(&self.unanswered_at)
            .is_some_and(|at| now < at + CALL_TIMEOUT + ABANDONED_ORDER_TIMEOUT);
        is_stranded(&self.shared) && !is_order_pending
    }

    /// Returns whether the node's links work, the delay before the first order is over and the lease of the leadership
    /// lasts long enough for an order.
    fn can_order(&self) -> bool {
        if self.shared.links.state() != State::Sound {
            return false;
        }
        let lasts = |lease: Lease| self.shared.boot_time() + LEASE_MARGIN < lease.valid_until;
        let lease = *self.lease.borrow();
        self.shared.now() >= self.orders_allowed_from
            && lease.is_some_and(|lease| Some(lease.id) == self.lease_id && lasts(lease))
    }

    fn send_orders(&self) {
        if !self.can_order() {
            return;
        }
        let targets = self.shared.targets.borrow().clone();
        let servers: Vec<Server> = self.shared.balancer().servers().cloned().collect();
        let (checks, orders) = {
            let mut planner = lock(&self.planner);
            let now = self.shared.now();
            (
                planner.due_checks(now),
                planner.plan(&targets, &servers, &self.shared.backlog(), now),
            )
        };
        let task = |id: &Name| {
            let server = servers.iter().find(|server| server.id == *id)?;
            Some(ServerTask {
                shared: Arc::clone(&self.shared),
                server: server.clone(),
                fence: self.fence,
                planner: Arc::clone(&self.planner),
                is_fenced: Arc::clone(&self.is_fenced),
                unanswered_at: Arc::clone(&self.unanswered_at),
            })
        };
        for task in checks.iter().filter_map(task) {
            // `report` records the state; the planner schedules another check if none arrives.
            let load_ended = Arc::clone(&self.load_ended);
            tokio::spawn(async move {
                if task.report().await.is_some_and(|report| !report.is_busy) {
                    load_ended.notify_one();
                }
            });
        }
        for order in orders {
            if let Some(task) = task(&order.server) {
                tokio::spawn(task.order(order));
            }
        }
    }

    /// Reports to operators that the hosts they want to retire are empty. Hosts hold no persistent
    /// data, so all are empty at once.
    async fn report_empty_hosts(&mut self) {
        let requested = self.shared.retirements.borrow().clone();
        self.reported_empty.retain(|node| requested.contains(node));
        for node in requested {
            if self.reported_empty.contains(&node) {
                continue;
            }
            let (key, value) = registry::retirement_status(&node);
            let write = Write {
                puts: vec![(key, value, 0)],
                ..Write::default()
            };
            match self.shared.store.write(&write).await {
                Ok(_) => {
                    spdlog::info!("host is empty", kv: { node = node.as_str() });
                    self.reported_empty.insert(node);
                }
                Err(error) => {
                    spdlog::warn!("failed to report empty host; retrying", kv: {
                        node = node.as_str(), error = error.to_string(),
                    });
                }
            }
        }
    }

    /// Takes over jobs that have no live owner, and removes the records of expired jobs.
    async fn scan_for_orphans(&mut self) {
        let now = self.shared.now();
        let live_owners: BTreeSet<Owner> = {
            let members = self.shared.members.borrow();
            members
                .nodes
                .values()
                .map(|member| member.owner.clone())
                .collect()
        };
        let has_lost_owner = !self.live_owners.is_subset(&live_owners);
        self.live_owners = live_owners;
        if now < self.next_scan && !has_lost_owner {
            return;
        }
        self.next_scan = now + ORPHAN_SCAN_INTERVAL;
        let members = self.shared.members.borrow().clone();
        let has_all_entries = !members.is_recovering(now);
        if !has_all_entries {
            self.next_scan = now + RECOVERY_SCAN_INTERVAL;
        }
        let heads = match self.shared.store.range(ledger::HEAD_PREFIX).await {
            Ok((heads, _)) => heads,
            Err(error) => {
                spdlog::warn!("failed to read jobs from the platform store", kv: {
                    error = error.to_string(),
                });
                return;
            }
        };
        let mut taken = 0_u32;
        for item in heads {
            let (Some(job), Ok(stored)) = (
                item.key.strip_prefix(ledger::HEAD_PREFIX).map(Name::from),
                ledger::decode_head(&item),
            ) else {
                continue;
            };
            if stored.head.ended {
                self.remove_expired(&job, &stored).await;
                continue;
            }
            if self
                .is_orphan(&members, &job, &stored, has_all_entries)
                .await
                && self.reassign(&job, stored).await
            {
                taken += 1;
            }
        }
        spdlog::debug!("orphan scan done", kv: { taken, live = members.nodes.len() });
    }

    /// Has an orphaned job taken over by the node that runs the jobs of its route, or by this node if
    /// that one does not. Returns whether a node has taken it over.
    async fn reassign(&self, job: &Name, stored: ledger::StoredHead) -> bool {
        let assignee = match ledger::load_specification(&self.shared, job, &stored.head).await {
            Ok(specification) => self
                .shared
                .node_for_jobs(&specification.host, &specification.path),
            Err(error) => {
                spdlog::warn!("failed to read the route of an orphaned job", kv: {
                    job = job.as_str(), error = error.to_string(),
                });
                None
            }
        };
        if let Some(assignee) = assignee.filter(|assignee| assignee.owner != self.shared.owner) {
            let id = job.clone();
            let adopted = self
                .shared
                .peers
                .call(
                    assignee.owner.address,
                    CALL_TIMEOUT,
                    |client, context| async move { client.adopt_job(context, id).await },
                )
                .await;
            if matches!(adopted, Ok(true)) {
                return true;
            }
            spdlog::warn!("assigned node did not adopt an orphaned job; taking it over", kv: {
                job = job.as_str(),
                node = assignee.owner.to_string(),
                outcome = format!("{adopted:?}"),
            });
        }
        claim::take_over(&self.shared, job, stored).await
    }

    /// Returns whether a job has no owner that runs it. Asks a live owner to adopt the job: an
    /// owner does not know of its job if the accepting node died before it sent the job there.
    /// After an outage, in which all leases may have ended, also asks owners whose entries have not
    /// returned yet.
    async fn is_orphan(
        &self,
        members: &Members,
        job: &Name,
        stored: &ledger::StoredHead,
        has_all_entries: bool,
    ) -> bool {
        let Some(owner) = &stored.head.owner else {
            return true;
        };
        if *owner == self.shared.owner {
            claim::adopt(&self.shared, job).await;
            return false;
        }
        let is_live = members.is_live(owner);
        // A restarted process takes over the jobs of its node's former process by itself.
        let restarted = members.nodes.get(&owner.node).filter(|_| !is_live);
        let owner = restarted.map_or(owner, |member| &member.owner);
        let is_live = is_live || restarted.is_some();
        if !is_live && has_all_entries {
            return true;
        }
        let call_timeout = match is_live {
            true => CALL_TIMEOUT,
            false => MISSING_OWNER_TIMEOUT,
        };
        let id = job.clone();
        let adopted = self
            .shared
            .peers
            .call(owner.address, call_timeout, |client, context| async move {
                client.adopt_job(context, id).await
            })
            .await;
        if matches!(adopted, Ok(true)) {
            return false;
        }
        spdlog::warn!("job owner does not run the job", kv: {
            job = job.as_str(), owner = owner.to_string(), outcome = format!("{adopted:?}"),
        });
        // An owner that renews its lease may be unreachable from this node only.
        !is_live
    }

    /// Removes the records of an ended job when its retention time is over.
    async fn remove_expired(&self, job: &Name, stored: &ledger::StoredHead) {
        let age = Duration::from_millis(
            self.shared
                .unix_ms()
                .saturating_sub(stored.head.submitted_ms),
        );
        if age < self.shared.settings.retention + claim::CLOCK_SKEW_MARGIN {
            return;
        }
        match ledger::remove(&self.shared, job, stored).await {
            Ok(()) => spdlog::info!("removed expired job", kv: { job = job.as_str() }),
            Err(error) => spdlog::warn!("failed to remove expired job", kv: {
                job = job.as_str(), error = error.to_string(),
            }),
        }
    }
}

/// One order to one server, or one request for its report.
struct ServerTask {
    shared: Arc<Shared>,
    server: Server,
    fence: Fence,
    planner: Arc<Mutex<Planner>>,
    is_fenced: Arc<AtomicBool>,
    unanswered_at: Arc<Mutex<Option<Instant>>>,
}

impl ServerTask {
    /// Sends an order unless the server is busy, and records the outcome in the planner.
    async fn order(self, mut order: Order) {
        let started_at = self.shared.now();
        let mut busy = false;
        if order.expected_orders.is_none() {
            let report = self.report().await;
            busy = report.as_ref().is_some_and(|report| report.is_busy);
            order.expected_orders = report.map(|report| report.accepted_orders);
        }
        let (order_outcome, reply) = match order.expected_orders {
            Some(_) if busy => (OrderOutcome::Busy, "not sent: busy"),
            Some(_) => self.dispatch(&order).await,
            // By this count the server rejects an order that arrives late. Without the count it
            // could execute a late order after a newer one.
            None => (OrderOutcome::Unknown, "not sent: no report"),
        };
        spdlog::info!("order to server ended", kv: {
            server = order.server.as_str(),
            model = order.model.as_str(),
            version = order.version.0,
            accepted_before = format!("{:?}", order.expected_orders),
            fence = self.fence.0,
            reply,
            taken_ms = self.shared.now().saturating_duration_since(started_at).as_millis(),
        });
        lock(&self.planner).record_outcome(&order, order_outcome, self.shared.now());
    }

    async fn dispatch(&self, order: &Order) -> (OrderOutcome, &'static str) {
        let reply = self.send(order).await;
        Metrics::count(&self.shared.metrics.orders, reply_name(reply));
        let order_outcome = match reply {
            Reply::Accepted => OrderOutcome::Accepted,
            Reply::AlreadyApplied if self.has_loaded(order).await => OrderOutcome::AlreadyLoaded,
            Reply::AlreadyApplied => OrderOutcome::Unknown,
            Reply::Fenced => {
                self.is_fenced.store(true, Ordering::Relaxed);
                OrderOutcome::Unknown
            }
            Reply::Conflict | Reply::Unknown | Reply::Misdirected | Reply::Invalid => {
                OrderOutcome::Unknown
            }
        };
        (order_outcome, reply_name(reply))
    }

    /// Returns whether the server reports the version of an order. The response that says so may be a late copy of
    /// an earlier report's.
    async fn has_loaded(&self, order: &Order) -> bool {
        let report = self.report().await;
        let loaded = report.and_then(|report| report.models.get(&order.model).copied());
        loaded.is_some_and(|version| version >= order.version)
    }

    async fn send(&self, order: &Order) -> Reply {
        let is_single_version = self
            .shared
            .table()
            .is_some_and(|table| table.requires_single_version(&self.server.service));
        let mode = match is_single_version {
            true => Mode::Wait,
            false => Mode::Continue,
        };
        let request = engine::order_request(order, mode, &self.shared.owner.node, self.fence);
        let sent_at = self.shared.now();
        match self.call(request).await {
            Ok((status, _)) => engine::parse_reply(status),
            Err(reason) => {
                *lock(&self.unanswered_at) = Some(sent_at);
                spdlog::warn!("server did not respond to order", kv: {
                    server = self.server.id.as_str(), reason = reason.as_str(),
                });
                Reply::Unknown
            }
        }
    }

    /// Gets the server's report and records it in the balancer and the planner. Returns `None` if
    /// the server does not respond or its report can't be decoded.
    async fn report(&self) -> Option<Report> {
        let (_, body) = match self.call(engine::report_request()).await {
            Ok(answer) => answer,
            Err(reason) => {
                spdlog::info!("failed to get server report", kv: {
                    server = self.server.id.as_str(), reason = reason.as_str(),
                });
                return None;
            }
        };
        match engine::parse_report(&body) {
            Ok(report) => {
                for (model, version) in &report.models {
                    self.shared
                        .balancer()
                        .record_version(&self.server.id, model, *version);
                }
                lock(&self.planner).record_report(
                    &self.server.id,
                    report.clone(),
                    self.shared.now(),
                );
                Some(report)
            }
            Err(error) => {
                spdlog::warn!("failed to decode server report", kv: {
                    server = self.server.id.as_str(), error = error.to_string(),
                });
                None
            }
        }
    }

    async fn call(
        &self,
        request: http::Request<Vec<u8>>,
    ) -> Result<(http::StatusCode, bytes::Bytes), String> {
        let exchange = async {
            let mut request = request.map(|body| Either::Left(Full::new(bytes::Bytes::from(body))));
            let host = http::HeaderValue::from_str(&self.server.address.to_string())
                .map_err(|error| error.to_string())?;
            request.headers_mut().insert(http::header::HOST, host);
            let (connection, response) = Sender::new(&self.shared, &self.server)
                .send_direct(|| Ok(Outgoing::new(request.clone(), &Grant::for_system())))
                .await
                .map_err(|failure| failure.reason().to_owned())?;
            let (parts, body) = response.into_parts();
            if backend::is_leaving(parts.status, &parts.headers) {
                self.shared.record_leaving(&self.server.id);
            }
            // Requests for reports and orders have no identity that a server could echo.
            if let Some(id) = backend::request_id(&parts.headers) {
                return Err(format!(
                    "the server answered {} to the earlier request {id}",
                    parts.status
                ));
            }
            let body = shallotroute_http::body::read(body, 1 << 20)
                .await
                .map_err(|error| error.to_string())?;
            if let Some(max_idle) = idle_timeout(&parts.headers) {
                self.shared.pool.put(connection, max_idle);
            }
            Ok((parts.status, body))
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err("no response in time".to_owned()),
        }
    }
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Accepted => "accepted",
        Reply::AlreadyApplied => "holds",
        Reply::Conflict => "conflict",
        Reply::Fenced => "fenced",
        Reply::Misdirected => "misdirected",
        Reply::Invalid => "invalid",
        Reply::Unknown => "unknown",
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
