//! Orders the number of backend servers while this node leads: gathers what
//! [`shallotroute_fleet::scaler`] decides by, and records its orders for operators.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use serde_json::{Value, json};
use shallotroute_adapter::cloud::Scale;
use shallotroute_fleet::{
    duty::Refusal,
    route::Table,
    scaler::{Account, Demand, Inputs, Order, Policy, Reply, Scaler},
    server::Server,
};
use shallotroute_settings::site::{Duty, Role, ScalingPolicy};
use shallotroute_types::{clock::Clock, location::Zone, name::Name};

use crate::{capacity, duty, metric::Metrics, shared::Shared, view};

/// The interval at which the numbers are decided. Servers need some seconds to boot.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The age from which the host list says nothing about the servers.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

/// The weight of one second in the average of callers' requests in flight: about two steps, as for items.
const REQUEST_WEIGHT: f64 = 0.125;

/// How long an order may wait for the calls before it. The next poll would order another number.
const MAX_CALL_DELAY: Duration = Duration::from_millis(800);

/// The number of orders that are kept for operators.
const MAX_RECORDS: usize = 40;

/// Sends an order to the platform, as long as this node holds the duty. An order that is not sent, or that is
/// rejected because of its token, is unanswered: [`Reply::Refused`] means that no servers are available.
pub(crate) trait Caller: Send + Sync {
    /// Sets the number of servers of a kind in a zone.
    fn order(
        &self,
        service: &Name,
        zone: &Zone,
        is_spot: bool,
        count: u32,
    ) -> BoxFuture<'static, Reply>;
}

/// Sends orders as calls for the duty that the leader holds.
struct DutyCaller(Arc<Shared>);

impl Caller for DutyCaller {
    fn order(
        &self,
        service: &Name,
        zone: &Zone,
        is_spot: bool,
        count: u32,
    ) -> BoxFuture<'static, Reply> {
        let request = duty::Request::Scale(Scale {
            service: service.clone(),
            zone: zone.clone(),
            servers: count,
            is_spot,
        });
        let shared = Arc::clone(&self.0);
        Box::pin(async move {
            let Some(duties) = &shared.duties else {
                return Reply::Unanswered;
            };
            match call(duties, &request, &*shared.clock).await {
                duty::Reply::Accepted => Reply::Accepted,
                // A rejection because of the token ends the leadership, so that its meaning here does not matter.
                duty::Reply::Unavailable => Reply::Refused,
                _ => Reply::Unanswered,
            }
        })
    }
}

/// Makes a call as soon as the rate of calls allows it, which several orders at a time use up.
async fn call(duties: &duty::Caller, request: &duty::Request, clock: &dyn Clock) -> duty::Reply {
    let deadline = clock.boot_time() + MAX_CALL_DELAY;
    loop {
        match duties.call(request).await {
            duty::Reply::Refused(Refusal::NotBefore(at)) if at < deadline => {
                tokio::time::sleep(at.saturating_sub(clock.boot_time())).await;
            }
            reply => return reply,
        }
    }
}

/// Returns the calls that set the number of servers; `None` where the deployment has no such duty.
pub(crate) fn caller(shared: &Arc<Shared>) -> Option<Arc<dyn Caller>> {
    let duties = shared.duties.as_ref()?;
    let caller = || Arc::new(DutyCaller(Arc::clone(shared))) as Arc<dyn Caller>;
    duties.performs(Duty::Scale).then(caller)
}

/// Decides the numbers while this node leads.
pub(crate) struct Task {
    shared: Arc<Shared>,
    scaler: Arc<Mutex<Scaler>>,
    next_poll: Instant,
    /// The average of this node's requests of callers in flight, by service.
    requests: BTreeMap<Name, f64>,
}

impl Task {
    /// Creates the task of a node that begins to lead.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        let policy = match shared.settings.scaling {
            ScalingPolicy::ByDemand => Policy::ByDemand,
            ScalingPolicy::Unchanged => Policy::Unchanged,
            ScalingPolicy::Fixed { factor } => Policy::Fixed(factor),
        };
        let now = shared.now();
        shared.scaling.begin(policy);
        Self {
            shared: Arc::clone(shared),
            scaler: Arc::new(Mutex::new(Scaler::new(policy, now))),
            next_poll: now,
            requests: BTreeMap::new(),
        }
    }

    /// Decides the numbers of all services if that is due, and has the orders sent in the background.
    pub(crate) fn poll(&mut self, caller: &Arc<dyn Caller>) {
        let now = self.shared.now();
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + POLL_INTERVAL;
        let Some(table) = self.shared.table() else {
            return;
        };
        let is_scaled = |name: &str| {
            table
                .service(name)
                .is_some_and(|service| service.scaling.is_some())
        };
        self.requests.retain(|service, _| is_scaled(service));
        lock(&self.scaler).retain(is_scaled);
        for service in table.services() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let demand = self.demand(&table, &service.name);
            let servers = self.servers(&service.name, now);
            let inputs = Inputs {
                scaling,
                demand,
                due_after: due_after(&table, &service.name),
                servers: servers.as_deref(),
            };
            let orders = {
                let mut scaler = lock(&self.scaler);
                let orders = scaler.poll(&service.name, &inputs, now);
                self.shared.scaling.update(&scaler, now);
                orders
            };
            for order in orders {
                self.send(order, caller);
            }
        }
    }

    /// Returns the demand for a service; `None` if it is not known.
    fn demand(&mut self, table: &Table, service: &Name) -> Option<Demand> {
        let requests = self.caller_requests(table, service);
        Some(Demand {
            items: capacity::open_items(&self.shared, service)?,
            requests: requests?,
        })
    }

    /// Estimates the callers' requests in flight at a service by those of this node, to which the
    /// platform sends as many as to others. `None` if a service has callers and this node serves none.
    fn caller_requests(&mut self, table: &Table, service: &Name) -> Option<usize> {
        let mut callers = table.routes().filter(|route| route.batch.is_none());
        if !callers.any(|route| route.uses(service)) {
            return Some(0);
        }
        if self.shared.settings.role != Role::Entry {
            return None;
        }
        let current = self.shared.balancer().caller_requests(service) as f64;
        let average = self.requests.entry(service.clone()).or_default();
        *average += REQUEST_WEIGHT * (current - *average);
        let nodes = self.shared.members.borrow().nodes.len().max(1);
        Some((*average * nodes as f64).ceil() as usize)
    }

    /// Returns the servers of a service; `None` if the host list is out of date.
    fn servers(&self, service: &str, now: Instant) -> Option<Vec<Server>> {
        let is_current = view::standing(&self.shared)
            .age
            .is_some_and(|age| age < MAX_LIST_AGE);
        let is_complete =
            *self.shared.has_host_list.borrow() && !self.shared.members.borrow().is_recovering(now);
        (is_current && is_complete).then(|| {
            let balancer = self.shared.balancer();
            let servers = balancer.servers();
            servers
                .filter(|server| &*server.service == service)
                .cloned()
                .collect()
        })
    }

    fn send(&self, order: Order, caller: &Arc<dyn Caller>) {
        let (shared, scaler) = (Arc::clone(&self.shared), Arc::clone(&self.scaler));
        let reply = caller.order(&order.service, &order.zone, order.is_spot, order.count);
        tokio::spawn(async move {
            let reply = reply.await;
            let now = shared.now();
            lock(&scaler).record_reply(&order, reply, now);
            Metrics::count(&shared.metrics.scale_orders, reply_name(reply));
            spdlog::info!("order of servers ended", kv: {
                service = order.service.as_str(),
                zone = order.zone.as_str(),
                spot = order.is_spot,
                former = order.former,
                count = order.count,
                reason = order.reason.to_string(),
                reply = reply_name(reply),
            });
            shared.scaling.record(order, reply, now);
        });
    }
}

/// Returns the time after which the batch jobs of a service are due, the shortest of its routes.
fn due_after(table: &Table, service: &str) -> Option<Duration> {
    table
        .routes()
        .filter(|route| route.uses(service))
        .filter_map(|route| Some(route.batch?.due_after))
        .min()
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Accepted => "accepted",
        Reply::Refused => "refused",
        Reply::Unanswered => "unanswered",
    }
}

/// The last orders of this node and the figures behind them, for operators.
#[derive(Debug, Default)]
pub(crate) struct Records(Mutex<Entries>);

#[derive(Debug, Default)]
struct Entries {
    policy: Option<Policy>,
    polled_at: Option<Instant>,
    accounts: BTreeMap<Name, Account>,
    orders: VecDeque<(Instant, Order, Reply)>,
}

impl Records {
    fn begin(&self, policy: Policy) {
        lock(&self.0).policy = Some(policy);
    }

    fn update(&self, scaler: &Scaler, now: Instant) {
        let mut entries = lock(&self.0);
        entries.polled_at = Some(now);
        let accounts = scaler.accounts();
        entries.accounts = accounts
            .map(|(service, account)| (service.clone(), account.clone()))
            .collect();
    }

    fn record(&self, order: Order, reply: Reply, now: Instant) {
        let mut entries = lock(&self.0);
        if entries.orders.len() == MAX_RECORDS {
            entries.orders.pop_front();
        }
        entries.orders.push_back((now, order, reply));
    }

    /// Returns the records as JSON; null if this node has not scaled anything. Ages are in milliseconds.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let entries = lock(&self.0);
        let age = |at: Instant| now.saturating_duration_since(at).as_millis();
        let Some(policy) = entries.policy else {
            return Value::Null;
        };
        json!({
            "policy": policy.to_string(),
            "polled_ms_ago": entries.polled_at.map(age),
            "services": entries.accounts.iter().map(|(service, account)| json!({
                "service": service,
                "peak_items": account.peak.items,
                "peak_requests": account.peak.requests,
                "needed": account.need.servers,
                "needed_after_loss": account.need.survivors,
                "needed_on_demand": account.need.on_demand,
                "servers": account.servers,
                "on_demand": account.on_demand,
                "survivors": account.survivors,
                "hold": account.hold.map(|hold| hold.to_string()),
            })).collect::<Vec<_>>(),
            "orders": entries.orders.iter().map(|(at, order, reply)| json!({
                "answered_ms_ago": age(*at),
                "service": order.service,
                "zone": order.zone,
                "spot": order.is_spot,
                "former": order.former,
                "count": order.count,
                "reason": order.reason.to_string(),
                "reply": reply_name(*reply),
            })).collect::<Vec<_>>(),
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
