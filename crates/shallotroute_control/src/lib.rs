//! Configuration of the fleet: watch, dissemination, publication, administration API.
//! Start with [`Control`].

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

/// How often time-dependent decisions are looked at.
const TICK: Duration = Duration::from_millis(100);

/// How often a short host list is read; it lags by up to 30 s itself.
const HOSTS_INTERVAL: Duration = Duration::from_secs(5);

/// How much longer that is for each host in the list. An entry has about 40 bytes, so the list takes
/// at most 4 KB/s of the 10 KB/s that a node may use.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// How long a read of the host list may take.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(5);

/// What the control part writes for the other parts of the node.
pub struct Outputs {
    /// The configuration in force.
    pub configuration: watch::Sender<Option<Arc<Snapshot>>>,
    /// Whether it has been confirmed lately.
    pub confirmed: watch::Sender<bool>,
    /// The revision that the node holds, for heartbeats; in force or not yet.
    pub known: watch::Sender<Revision>,
    /// The host list as last read.
    pub hosts: watch::Sender<Arc<Vec<host::Host>>>,
}

/// Returns the state of the whole node.
pub type Dump = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Keeps the configuration and serves `/admin/v1/`.
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
    /// Makes the control part and registers its metrics.
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
            random(&context, "adoption"),
        ));
        let publisher = Publisher::new(
            Arc::clone(&repository),
            Arc::clone(&adopter),
            Arc::clone(&context.clock),
            metrics.clone(),
            random(&context, "publication"),
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

    /// Returns the service that other nodes call.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        Some(Arc::new(peer::Server(Arc::clone(&self.adopter))))
    }

    /// Watches and disseminates until the node stops.
    pub async fn run(self: Arc<Self>) {
        tokio::select! {
            () = self.context.stop.cancelled() => {}
            () = self.follow_members() => {}
            () = self.follow_hosts() => {}
            () = self.follow_pauses() => {}
            () = self.tick() => {}
        }
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        self.adopter.inspect(|adoption, now| {
            let age =
                |since: std::time::Instant| now.saturating_duration_since(since).as_secs_f64();
            let in_force = adoption.in_force();
            json!({
                "known": adoption.known(),
                "in_force": in_force.map(|held| held.snapshot.revision()),
                "in_force_hash": in_force.map(|held| &held.snapshot.hash),
                "in_force_origin": in_force.map(|held| held.origin.to_string()),
                "in_force_since_s": adoption.applied_at().map(age),
                "newest_origin": adoption.newest().map(|held| held.origin.to_string()),
                "newest_since_s": adoption.newest().map(|held| age(held.since)),
                "head_read": adoption.head().map(|head| head.revision),
                "confirmed": adoption.is_confirmed(now),
                "confirmation_age_s": adoption.confirmation_age(now).map(|age| age.as_secs_f64()),
                "established": adoption.is_established(),
                "watcher": adoption.is_watcher(),
                "rejected": adoption.rejected_revisions(),
            })
        })
    }

    async fn follow_members(&self) {
        let mut members = self.context.members.clone();
        members.mark_changed();
        while members.changed().await.is_ok() {
            let view = members.borrow_and_update().clone();
            self.adopter.feed(Event::Members(view));
        }
        // Without a sender the members stay as they are.
        std::future::pending().await
    }

    async fn follow_hosts(&self) {
        let health = Health::new("the host list");
        let mut woken = self.context.freshness.resumed();
        loop {
            let mut pause = HOSTS_INTERVAL;
            let asked = self.context.clock.now();
            let read = match timeout(HOSTS_TIMEOUT, self.hosts.hosts()).await {
                Ok(read) => read.map_err(|report| format!("{report:?}")),
                Err(_) => Err("it was not read in time".to_owned()),
            };
            health.note(&read);
            if let Ok(hosts) = read {
                pause += INTERVAL_PER_HOST * u32::try_from(hosts.len()).unwrap_or(u32::MAX);
                let live = hosts
                    .iter()
                    .filter(|host| host.state == host::State::Live)
                    .map(|host| host.name.clone());
                self.adopter.feed(Event::Hosts(live.collect()));
                self.adopter.write_hosts(hosts);
                self.context.freshness.record_read(Input::Hosts, asked);
            }
            tokio::select! {
                () = sleep(pause) => {}
                Ok(()) = woken.changed() => {}
            }
        }
    }

    async fn follow_pauses(&self) {
        let mut woken = self.context.freshness.resumed();
        while woken.changed().await.is_ok() {
            self.adopter.feed(Event::Resumed);
        }
        // The sender lives as long as the context.
        std::future::pending().await
    }

    async fn tick(&self) {
        let mut interval = interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.context.freshness.heartbeat(self.context.clock.now());
            self.adopter.feed(Event::Tick);
        }
    }
}

/// Makes a random number generator that differs between nodes and starts.
fn random(context: &Context, purpose: &str) -> ChaCha8Rng {
    let local = &context.local;
    let since = context
        .clock
        .wall_time()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let seed = format!("{purpose}/{}/{}/{since:?}", local.id, local.incarnation);
    ChaCha8Rng::from_seed(blake3::hash(seed.as_bytes()).into())
}

impl Handler for Control {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(api::answer(self, request))
    }
}
