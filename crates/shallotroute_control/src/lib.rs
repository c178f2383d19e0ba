//! The control plane of a node: watches the configuration, exchanges it with other nodes, publishes
//! operators' changes and serves the administration API. The entry point is [`Control`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use serde_json::json;
use shallotroute_config::{adoption::Event, snapshot::Snapshot};
use shallotroute_context::{Context, freshness::Input};
use shallotroute_http::{body::Body, server::Handler};
use shallotroute_peer::stream::Service;
use shallotroute_platform::{host, store::Store};
use shallotroute_types::revision::Revision;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, sleep, timeout},
};

mod adopter;
pub mod api;
mod error;
mod health;
mod ledger;
mod metric;
mod operator;
mod peer;
mod publisher;
mod repository;

use adopter::Adopter;
use health::Health;
use metric::Metrics;
pub use operator::Operator;
use publisher::Publisher;
use repository::Repository;

/// The interval of [`Event::Tick`], which triggers time-dependent decisions, and of the heartbeats
/// by which pauses of the process are detected.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between reads of a short host list. The platform's list lags by up to 30 s.
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The addition to [`HOSTS_POLL_INTERVAL`] for each host in the list. An entry has about 40 bytes,
/// so reading the list uses at most 4 KB/s of the 10 KB/s that a node may use.
const HOSTS_POLL_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// The timeout of a read of the host list.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(5);

/// The channels by which the control plane publishes its state to the other parts of the node.
pub struct Outputs {
    /// The configuration in force; `None` until the first one has been adopted.
    pub configuration: watch::Sender<Option<Arc<Snapshot>>>,
    /// Whether the node has confirmed its configuration recently and may take new work.
    pub confirmed: watch::Sender<bool>,
    /// The newest revision that the node holds, whether or not it is in force; sent in heartbeats.
    /// 0 if the node holds none.
    pub known: watch::Sender<Revision>,
    /// The platform's host list as of the last successful read.
    pub hosts: watch::Sender<Arc<Vec<host::Host>>>,
}

/// A function that returns the state of all parts of the node, for `GET /admin/v1/dump`.
pub type Dump = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// The control plane of a node. As a [`Handler`] it serves `/admin/v1/`.
pub struct Control {
    context: Context,
    repository: Arc<Repository>,
    adopter: Arc<Adopter>,
    publisher: Arc<Publisher>,
    hosts: Arc<dyn host::List>,
    operators: Vec<Operator>,
    dump: Dump,
    metrics: Metrics,
}

impl Control {
    /// Creates the control plane and registers its metrics. [`Control::run`] starts the background
    /// work.
    ///
    /// The administration API accepts the keys of `operators` only. It calls `dump` in async code,
    /// so that function must not block.
    pub fn new(
        context: Context,
        outputs: Outputs,
        store: Arc<dyn Store>,
        hosts: Arc<dyn host::List>,
        operators: Vec<Operator>,
        dump: Dump,
        registry: &mut Registry,
    ) -> Arc<Self> {
        let metrics = Metrics::new(registry);
        let repository = Arc::new(Repository::new(store));
        let adopter = Arc::new(Adopter::new(
            context.clone(),
            Arc::clone(&repository),
            outputs,
            metrics.clone(),
            seeded_rng(&context, "adoption"),
        ));
        let publisher = Publisher::new(
            Arc::clone(&repository),
            Arc::clone(&adopter),
            Arc::clone(&context.clock),
            metrics.clone(),
            seeded_rng(&context, "publication"),
        );
        Arc::new(Self {
            context,
            repository,
            adopter,
            publisher: Arc::new(publisher),
            hosts,
            operators,
            dump,
            metrics,
        })
    }

    /// Returns the `Configuration` service for other nodes; never `None`.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        Some(Arc::new(peer::Server(Arc::clone(&self.adopter))))
    }

    /// Follows members, hosts and the configuration until [`Context::stop`] is cancelled.
    pub async fn run(self: Arc<Self>) {
        tokio::select! {
            () = self.context.stop.cancelled() => {}
            () = self.watch_members() => {}
            () = self.poll_hosts() => {}
            () = self.watch_resumptions() => {}
            () = self.tick() => {}
        }
    }

    /// Returns the control plane's section of the node's dump.
    pub fn dump(&self) -> serde_json::Value {
        self.adopter.inspect(|adoption, now| {
            let age =
                |since: std::time::Instant| now.saturating_duration_since(since).as_secs_f64();
            let in_force = adoption.in_force();
            json!({
                "known": adoption.known(),
                "in_force": in_force.map(|replica| replica.snapshot.revision()),
                "in_force_hash": in_force.map(|replica| &replica.snapshot.hash),
                "in_force_origin": in_force.map(|replica| replica.origin.to_string()),
                "in_force_since_s": adoption.applied_at().map(age),
                "newest_origin": adoption.newest().map(|replica| replica.origin.to_string()),
                "newest_since_s": adoption.newest().map(|replica| age(replica.since)),
                "head_read": adoption.head().map(|head| head.revision),
                "confirmed": adoption.is_confirmed(now),
                "confirmation_age_s": adoption.confirmation_age(now).map(|age| age.as_secs_f64()),
                "established": adoption.is_established(),
                "watcher": adoption.is_watcher(),
                "rejected": adoption.rejected_revisions(),
            })
        })
    }

    async fn watch_members(&self) {
        let mut members = self.context.members.clone();
        members.mark_changed();
        while members.changed().await.is_ok() {
            let view = members.borrow_and_update().clone();
            self.adopter.handle_event(Event::Members(view));
        }
        // The sender is gone, so the members won't change anymore.
        std::future::pending().await
    }

    async fn poll_hosts(&self) {
        let health = Health::new("the host list");
        let mut resumptions = self.context.freshness.resumed();
        loop {
            let mut pause = HOSTS_POLL_INTERVAL;
            let requested_at = self.context.clock.now();
            let result = match timeout(HOSTS_TIMEOUT, self.hosts.hosts()).await {
                Ok(result) => result.map_err(|report| format!("{report:?}")),
                Err(_) => Err("the read timed out".to_owned()),
            };
            health.log_change(&result);
            if let Ok(hosts) = result {
                pause +=
                    HOSTS_POLL_INTERVAL_PER_HOST * u32::try_from(hosts.len()).unwrap_or(u32::MAX);
                let live = hosts
                    .iter()
                    .filter(|host| host.state == host::State::Live)
                    .map(|host| host.name.clone());
                self.adopter.handle_event(Event::Hosts(live.collect()));
                self.adopter.set_hosts(hosts);
                self.context
                    .freshness
                    .record_read(Input::Hosts, requested_at);
            }
            tokio::select! {
                () = sleep(pause) => {}
                Ok(()) = resumptions.changed() => {}
            }
        }
    }

    async fn watch_resumptions(&self) {
        let mut resumptions = self.context.freshness.resumed();
        while resumptions.changed().await.is_ok() {
            self.adopter.handle_event(Event::Resumed);
        }
        // Not reached: the context owns the sender.
        std::future::pending().await
    }

    async fn tick(&self) {
        let mut interval = interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.context.freshness.heartbeat(self.context.clock.now());
            self.adopter.handle_event(Event::Tick);
        }
    }
}

/// Creates a random number generator whose seed differs between purposes, nodes and starts of a
/// node.
fn seeded_rng(context: &Context, purpose: &str) -> ChaCha8Rng {
    let local = &context.local;
    let since_epoch = context
        .clock
        .wall_time()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let seed = format!(
        "{purpose}/{}/{}/{since_epoch:?}",
        local.id, local.incarnation
    );
    ChaCha8Rng::from_seed(blake3::hash(seed.as_bytes()).into())
}

impl Handler for Control {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(api::respond(self, request))
    }
}
