//! The duty that one node holds at a time: orders to model servers, jobs without a live owner,
//! hosts to be emptied, and old records.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::Full;
use shallotroute_adapter::{
    engine::{self, Mode, Reply},
    registry,
    store::{Write, Written},
};
use shallotroute_batch::record::{self, Owner};
use shallotroute_fleet::{
    election,
    server::Server,
    wave::{End, Order, Planner, Report},
};
use shallotroute_types::{fence::Fence, name::Name};
use tokio::sync::{Notify, watch};

use crate::{
    claim,
    generate::keep_time,
    ledger,
    member::{DUTY_KEY, Duty, Members},
    metric::Metrics,
    presence::Held,
    shared::Shared,
};

/// The name under which candidates rank themselves.
const DUTY: &str = "duty";

/// The pause between two looks at what is to do.
const TICK: Duration = Duration::from_millis(100);

/// Orders end this long before the lease may have ended, so that none arrives after an order of the
/// next holder.
const LEASE_MARGIN: Duration = Duration::from_millis(700);

/// The pause before a new holder's first order: one of the former holder may be on its way.
const HANDOVER_PAUSE: Duration = Duration::from_millis(300);

/// How long an order or a report may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a process whose entry has vanished may take to say that it runs a job.
const FORMER_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause between two searches for jobs without a live owner, while nothing has changed.
const SWEEP_PAUSE: Duration = Duration::from_secs(6);

/// The pause between two searches while entries may still return after an outage.
const UNSETTLED_SWEEP_PAUSE: Duration = Duration::from_millis(500);

/// What the holder does.
struct Holder {
    shared: Arc<Shared>,
    fence: Fence,
    held: watch::Receiver<Option<Held>>,
    planner: Arc<Mutex<Planner>>,
    orders_from: Instant,
    next_sweep: Instant,
    /// The processes that were live at the last look.
    owners: BTreeSet<Owner>,
    retired: BTreeSet<Name>,
    /// Whether a server has seen a higher fencing number.
    fenced: Arc<AtomicBool>,
    /// Told when a server's load has ended, so that the next order is given at once.
    reported: Arc<Notify>,
}

/// Takes the duty when it is vacant, and does it while this node holds it, until the process drains.
pub(crate) async fn run(shared: Arc<Shared>, held: watch::Receiver<Option<Held>>) {
    let mut members = shared.members.subscribe();
    let mut holder: Option<Holder> = None;
    loop {
        if shared.drain.is_cancelled() {
            if let Some(holder) = holder {
                release(&shared, holder.fence).await;
            }
            return;
        }
        let current = members.borrow_and_update().clone();
        match &current.duty {
            Some(duty) if duty.holder.as_ref() == Some(&shared.owner) => {
                let holder = holder.get_or_insert_with(|| {
                    Holder::new(
                        &shared,
                        duty.fence,
                        held.clone(),
                        HANDOVER_PAUSE + shared.settings.order_pause,
                    )
                });
                holder.fence = duty.fence;
                holder.work().await;
            }
            Some(duty) if duty.holder.is_some() => holder = None,
            vacant if current.read => {
                holder = None;
                let expected = vacant.as_ref().map_or(0, |duty| duty.fence.0);
                let orderly = vacant.is_some();
                let pause = match orderly {
                    true => HANDOVER_PAUSE,
                    false => HANDOVER_PAUSE + shared.settings.order_pause,
                };
                if let Some(fence) = take(&shared, &held, &current.live(), expected).await {
                    holder = Some(Holder::new(&shared, fence, held.clone(), pause));
                }
            }
            _ => {}
        }
        let reported = holder.as_ref().map(|holder| Arc::clone(&holder.reported));
        let reported = async move {
            match reported {
                Some(reported) => reported.notified().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = reported => {}
            _ = members.changed() => {}
            () = shared.drain.cancelled() => {}
        }
    }
}

/// Writes this node's claim on the vacant duty.
async fn take(
    shared: &Shared,
    held: &watch::Receiver<Option<Held>>,
    live: &[Name],
    expected: u64,
) -> Option<Fence> {
    let lease = held.borrow().as_ref()?.lease;
    tokio::time::sleep(election::delay(&shared.owner.node, live, DUTY)).await;
    let seen = shared
        .members
        .borrow()
        .duty
        .as_ref()
        .map_or(0, |duty| duty.fence.0);
    if seen != expected {
        return None;
    }
    let duty = record::encode(&Duty {
        holder: Some(shared.owner.clone()),
    });
    let write = Write {
        conditions: vec![(DUTY_KEY.to_owned(), expected)],
        puts: vec![(DUTY_KEY.to_owned(), duty.clone(), lease)],
        removals: Vec::new(),
    };
    match shared.store.write(&write).await {
        Ok(Written::Done(revision)) => {
            spdlog::info!("duty taken", kv: { fence = revision });
            shared
                .members
                .send_modify(|members| members.put(DUTY_KEY, &duty, revision));
            Some(Fence(revision))
        }
        Ok(Written::Conflict(_)) => None,
        Err(error) => {
            spdlog::warn!("duty not taken", kv: { error = error.to_string() });
            None
        }
    }
}

/// Gives the duty up in good order.
async fn release(shared: &Shared, fence: Fence) {
    let duty = record::encode(&Duty { holder: None });
    let write = Write {
        conditions: vec![(DUTY_KEY.to_owned(), fence.0)],
        puts: vec![(DUTY_KEY.to_owned(), duty, 0)],
        removals: Vec::new(),
    };
    let outcome = shared.store.write(&write).await;
    spdlog::info!("duty given up", kv: { fence = fence.0, outcome = format!("{outcome:?}") });
}

impl Holder {
    fn new(
        shared: &Arc<Shared>,
        fence: Fence,
        held: watch::Receiver<Option<Held>>,
        pause: Duration,
    ) -> Self {
        let now = shared.now();
        Self {
            shared: Arc::clone(shared),
            fence,
            held,
            planner: Arc::new(Mutex::new(Planner::default())),
            orders_from: now + pause,
            next_sweep: now,
            owners: BTreeSet::new(),
            retired: BTreeSet::new(),
            fenced: Arc::default(),
            reported: Arc::default(),
        }
    }

    async fn work(&mut self) {
        if self.fenced.swap(false, Ordering::Relaxed) {
            spdlog::warn!("a server has seen a higher fencing number; giving the duty up", kv: {
                fence = self.fence.0,
            });
            release(&self.shared, self.fence).await;
            return;
        }
        self.give_orders();
        self.answer_retirements().await;
        self.sweep().await;
    }

    /// Tells whether the lease lives for long enough to give an order.
    fn may_order(&self) -> bool {
        let now = self.shared.now();
        let held = *self.held.borrow();
        now >= self.orders_from && held.is_some_and(|held| now + LEASE_MARGIN < held.until)
    }

    fn give_orders(&self) {
        if !self.may_order() {
            return;
        }
        let targets = self.shared.targets.borrow().clone();
        let servers: Vec<Server> = self.shared.roster().servers().cloned().collect();
        let (checks, orders) = {
            let mut planner = lock(&self.planner);
            let now = self.shared.now();
            (planner.checks(now), planner.plan(&targets, &servers, now))
        };
        let task = |id: &Name| {
            let server = servers.iter().find(|server| server.id == *id)?;
            Some(Task {
                shared: Arc::clone(&self.shared),
                server: server.clone(),
                fence: self.fence,
                planner: Arc::clone(&self.planner),
                fenced: Arc::clone(&self.fenced),
            })
        };
        for task in checks.iter().filter_map(task) {
            // What the server reports is noted there; without an answer it is asked again.
            let reported = Arc::clone(&self.reported);
            tokio::spawn(async move {
                if task.report().await.is_some_and(|report| !report.busy) {
                    reported.notify_one();
                }
            });
        }
        for order in orders {
            if let Some(task) = task(&order.server) {
                tokio::spawn(task.order(order));
            }
        }
    }

    /// Tells operators that hosts are empty: nothing that lasts is kept on any.
    async fn answer_retirements(&mut self) {
        let asked = self.shared.retirements.borrow().clone();
        self.retired.retain(|node| asked.contains(node));
        for node in asked {
            if self.retired.contains(&node) {
                continue;
            }
            let (key, value) = registry::retirement_done(&node);
            let write = Write {
                puts: vec![(key, value, 0)],
                ..Write::default()
            };
            match self.shared.store.write(&write).await {
                Ok(_) => {
                    spdlog::info!("host is empty", kv: { node = node.as_str() });
                    self.retired.insert(node);
                }
                Err(error) => {
                    spdlog::warn!("empty host not reported yet", kv: {
                        node = node.as_str(), error = error.to_string(),
                    });
                }
            }
        }
    }

    /// Takes over the jobs whose owner is gone, and removes records that nobody reads any more.
    async fn sweep(&mut self) {
        let now = self.shared.now();
        let owners: BTreeSet<Owner> = {
            let members = self.shared.members.borrow();
            members
                .nodes
                .values()
                .map(|member| member.owner.clone())
                .collect()
        };
        let lost = !self.owners.is_subset(&owners);
        self.owners = owners;
        if now < self.next_sweep && !lost {
            return;
        }
        self.next_sweep = now + SWEEP_PAUSE;
        let members = self.shared.members.borrow().clone();
        let settled = !members.unsettled(now);
        if !settled {
            self.next_sweep = now + UNSETTLED_SWEEP_PAUSE;
        }
        let heads = match self.shared.store.range(ledger::HEAD_PREFIX).await {
            Ok((heads, _)) => heads,
            Err(error) => {
                spdlog::warn!("jobs can't be listed", kv: { error = error.to_string() });
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
                self.remove_old(&job, &stored).await;
                continue;
            }
            if self.is_orphan(&members, &job, &stored, settled).await
                && claim::take_over(&self.shared, &job, stored).await
            {
                taken += 1;
            }
        }
        spdlog::debug!("jobs swept", kv: { taken, live = members.nodes.len() });
    }

    /// Tells whether a job has no owner that runs it. Live owners are asked to run theirs: one may not
    /// know of a job when the node that accepted it has died. After an outage, in which all leases may
    /// have ended, so are those whose entries have not returned yet.
    async fn is_orphan(
        &self,
        members: &Members,
        job: &Name,
        stored: &ledger::Stored,
        settled: bool,
    ) -> bool {
        let Some(owner) = &stored.head.owner else {
            return true;
        };
        if *owner == self.shared.owner {
            claim::adopt(&self.shared, job).await;
            return false;
        }
        let lives = members.lives(owner);
        if !lives && settled {
            return true;
        }
        let limit = match lives {
            true => CALL_TIMEOUT,
            false => FORMER_TIMEOUT,
        };
        let id = job.clone();
        let adopted = self
            .shared
            .peers
            .call(owner.address, limit, |client, context| async move {
                client.adopt_job(context, id).await
            })
            .await;
        if matches!(adopted, Ok(true)) {
            return false;
        }
        spdlog::warn!("owner of job does not run it", kv: {
            job = job.as_str(), owner = owner.to_string(), outcome = format!("{adopted:?}"),
        });
        // An owner whose lease lives may only be out of this node's reach.
        !lives
    }

    async fn remove_old(&self, job: &Name, stored: &ledger::Stored) {
        let age =
            Duration::from_millis(self.shared.unix_ms().saturating_sub(stored.head.submitted));
        if age < self.shared.settings.retention {
            return;
        }
        match ledger::remove(&self.shared, job, stored).await {
            Ok(()) => spdlog::info!("old job removed", kv: { job = job.as_str() }),
            Err(error) => spdlog::warn!("old job not removed", kv: {
                job = job.as_str(), error = error.to_string(),
            }),
        }
    }
}

/// One order or question to one server.
struct Task {
    shared: Arc<Shared>,
    server: Server,
    fence: Fence,
    planner: Arc<Mutex<Planner>>,
    fenced: Arc<AtomicBool>,
}

impl Task {
    async fn order(self, mut order: Order) {
        let begun = self.shared.now();
        let mut busy = false;
        if order.accepted_before.is_none() {
            let report = self.report().await;
            busy = report.as_ref().is_some_and(|report| report.busy);
            order.accepted_before = report.map(|report| report.orders);
        }
        let (end, reply) = match order.accepted_before {
            Some(_) if busy => (End::Busy, "not sent: busy"),
            Some(_) => self.give(&order).await,
            // Without the count, a late order could be carried out after a newer one.
            None => (End::Unknown, "not sent: no report"),
        };
        spdlog::info!("order to a server", kv: {
            server = order.server.as_str(),
            model = order.model.as_str(),
            version = order.version.0,
            accepted_before = format!("{:?}", order.accepted_before),
            fence = self.fence.0,
            reply,
            taken_ms = self.shared.now().saturating_duration_since(begun).as_millis(),
        });
        lock(&self.planner).finish(&order, end, self.shared.now());
    }

    async fn give(&self, order: &Order) -> (End, &'static str) {
        let reply = self.send(order).await;
        Metrics::count(&self.shared.metrics.orders, reply_name(reply));
        let end = match reply {
            Reply::Accepted => End::Accepted,
            Reply::Holds => End::Held,
            Reply::Fenced => {
                self.fenced.store(true, Ordering::Relaxed);
                End::Unknown
            }
            Reply::Conflict | Reply::Unknown | Reply::Misdirected | Reply::Invalid => End::Unknown,
        };
        (end, reply_name(reply))
    }

    async fn send(&self, order: &Order) -> Reply {
        let single = self
            .shared
            .table()
            .is_some_and(|table| table.single_version(&self.server.service));
        let mode = match single {
            true => Mode::Wait,
            false => Mode::Continue,
        };
        let request = engine::order(order, mode, &self.shared.owner.node, self.fence);
        match self.call(request).await {
            Ok((status, _)) => engine::read_reply(status),
            Err(reason) => {
                spdlog::warn!("order without an answer", kv: {
                    server = self.server.id.as_str(), reason = reason.as_str(),
                });
                Reply::Unknown
            }
        }
    }

    /// Asks the server for its state, and notes it.
    async fn report(&self) -> Option<Report> {
        let (_, body) = match self.call(engine::report()).await {
            Ok(answer) => answer,
            Err(reason) => {
                spdlog::info!("no report of a server", kv: {
                    server = self.server.id.as_str(), reason = reason.as_str(),
                });
                return None;
            }
        };
        match engine::read_report(&body) {
            Ok(report) => {
                for (model, version) in &report.models {
                    self.shared
                        .roster()
                        .observe_version(&self.server.id, model, *version);
                }
                lock(&self.planner).report(&self.server.id, report.clone(), self.shared.now());
                Some(report)
            }
            Err(error) => {
                spdlog::warn!("report of a server can't be read", kv: {
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
            let mut connection = self
                .shared
                .pool
                .get(self.server.address)
                .await
                .map_err(|failure| failure.reason().to_owned())?;
            let mut request = request.map(|body| Full::new(bytes::Bytes::from(body)));
            let host = http::HeaderValue::from_str(&self.server.address.to_string())
                .map_err(|error| error.to_string())?;
            request.headers_mut().insert(http::header::HOST, host);
            let response = connection
                .send(request)
                .await
                .map_err(|failure| failure.reason().to_owned())?;
            let (parts, body) = response.into_parts();
            let body = shallotroute_http::body::read(body, 1 << 20)
                .await
                .map_err(|error| error.to_string())?;
            if let Some(period) = keep_time(&parts.headers) {
                self.shared.pool.put(connection, period);
            }
            Ok((parts.status, body))
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err("no answer in time".to_owned()),
        }
    }
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Accepted => "accepted",
        Reply::Holds => "holds",
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
