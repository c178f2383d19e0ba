//! Nodes that are ready and have a configuration in force, with stand-ins around them.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use serde_json::json;
use shallotroute_standin::{
    admin,
    caller::{Caller, Completion},
    cluster::{Cluster, Layout},
    configuration::{Configuration, Server},
    engine::{self, Engine},
    proxy,
    scorer::Scorer,
    service::Service,
    store::Store,
    trainer::{self, Trainer},
    truth::Truth,
};
use shallotroute_types::name::Name;
use tokio::sync::{Mutex, MutexGuard};

pub(crate) const ZONES: [&str; 3] = ["colombo", "gampaha", "kalutara"];
pub(crate) const MODEL: &str = "pricing";
const CALLER_KEY: &str = "caller-key";
const TRAINER_KEY: &str = "trainer-key";

/// The seed of output lengths, prompts and random traffic.
pub(crate) const SEED: u64 = 1;

/// Timeout for the nodes to start, long enough for a busy machine; the design sets no bound.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Bound on the time until a published revision is in force at all nodes, without faults.
pub(crate) const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound on the time until a published revision is in force at all nodes, with faults.
pub(crate) const IN_FORCE_WITH_FAULTS_TIMEOUT: Duration = Duration::from_secs(6);

/// Bound on the time until another node takes over the roles of a crashed node.
pub(crate) const MAX_TAKEOVER_TIME: Duration = Duration::from_secs(5);

/// Held while a cluster runs. Clusters run one at a time, so that other tests do not slow them down
/// beyond the time bounds.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());

/// The nodes and stand-ins of a test; dropping it stops them.
pub(crate) struct Testbed {
    pub(crate) cluster: Cluster,
    pub(crate) engines: Vec<Engine>,
    pub(crate) desks: Vec<Service>,
    /// The revision of the initial configuration.
    pub(crate) revision: u64,
    scorer: Scorer,
    _cluster_lock: MutexGuard<'static, ()>,
}

/// Returns the path of the node program.
pub(crate) fn node_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shallotroute"))
}

/// Waits until no other test runs a cluster, and holds off others until the guard is dropped.
pub(crate) async fn lock_clusters() -> MutexGuard<'static, ()> {
    CLUSTER_LOCK.lock().await
}

impl Testbed {
    /// Starts three nodes, one in each availability zone, and an engine in each zone.
    pub(crate) async fn start() -> Self {
        Self::start_with(|_| ()).await
    }

    /// Starts as [`start`](Self::start), with engine settings that `edit` has changed.
    pub(crate) async fn start_with(edit: impl Fn(&mut engine::Settings)) -> Self {
        let store = Arc::new(Store::start().await.expect("a free port"));
        Self::assemble(edit, store, &Layout::new("lk-west", &ZONES)).await
    }

    /// Starts nine nodes instead of three, three in each availability zone.
    pub(crate) async fn start_nine() -> Self {
        let store = Arc::new(Store::start().await.expect("a free port"));
        Self::assemble(|_| (), store, &Layout::new("lk-west", &ZONES.repeat(3))).await
    }

    /// Starts three nodes, with a proxy between them and the key-value service.
    pub(crate) async fn start_behind_proxy() -> (Self, proxy::Tcp) {
        let store = Arc::new(Store::start().await.expect("a free port"));
        let proxy = proxy::Tcp::start(store.address())
            .await
            .expect("a free port");
        let mut layout = Layout::new("lk-west", &ZONES);
        layout.store = Some(proxy.address());
        (Self::assemble(|_| (), store, &layout).await, proxy)
    }

    async fn assemble(
        edit: impl Fn(&mut engine::Settings),
        store: Arc<Store>,
        layout: &Layout,
    ) -> Self {
        let cluster_lock = lock_clusters().await;
        let mut engines = Vec::new();
        for zone in ZONES {
            let mut settings = engine::Settings::new(&format!("engine-{zone}"), MODEL, SEED);
            edit(&mut settings);
            engines.push(Engine::start(settings).await.expect("a free port"));
        }
        let desks = vec![desk("desk-0").await, desk("desk-1").await];
        let scorer = Scorer::start().await.expect("a free port");
        let cluster = Cluster::start_with(node_program(), layout, store)
            .await
            .expect("the nodes should start");
        let mut testbed = Self {
            cluster,
            engines,
            desks,
            revision: 0,
            scorer,
            _cluster_lock: cluster_lock,
        };
        testbed.await_start().await;
        testbed
    }

    /// Publishes the initial configuration and waits until all nodes are ready.
    async fn await_start(&mut self) {
        let live = self.cluster.await_live(START_TIMEOUT).await;
        live.unwrap_or_else(|report| panic!("{report:?}\n{}", self.cluster.logs(20)));
        self.revision = self
            .publish(0, &self.configuration())
            .await
            .expect("the first configuration should be published");
        let ready = self.cluster.await_ready(START_TIMEOUT).await;
        ready.unwrap_or_else(|report| panic!("{report:?}\n{}", self.cluster.logs(20)));
    }

    /// Waits until all nodes accept orders. A node that has just started rejects them, as it can't
    /// know yet whether an order was sent before.
    pub(crate) async fn await_orders(&self) {
        let end = Instant::now() + START_TIMEOUT;
        for node in 0..self.cluster.nodes.len() {
            loop {
                let key = uuid::Uuid::now_v7().to_string();
                let reply = self
                    .caller()
                    .call(
                        self.node(node),
                        Method::POST,
                        "/orders/0",
                        Some(&key),
                        "start",
                    )
                    .await;
                if reply.is_ok() {
                    break;
                }
                assert!(
                    Instant::now() < end,
                    "no order accepted: {:?}",
                    reply.result
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Returns the objects that describe the stand-ins, and the caller and trainer of the tests.
    pub(crate) fn configuration(&self) -> Configuration {
        let engines = servers(
            self.engines
                .iter()
                .map(|server| (server.name(), server.address())),
        );
        let desks = servers(
            self.desks
                .iter()
                .map(|server| (server.name(), server.address())),
        );
        let trainer = json!({
            "model": MODEL,
            "pool": "engines",
            "scorer": "scores",
            "staleness_bound": 2,
        });
        Configuration::new()
            .with_model(MODEL)
            .with_engines("engines", &[MODEL], "checked", "adaptive", &engines)
            .with_services("orders", "/orders", false, &desks)
            .with(
                "scorer",
                "scores",
                json!({ "address": self.scorer.address() }),
            )
            .with_caller("caller", CALLER_KEY, "interactive")
            .with_trainer("trainer", TRAINER_KEY, trainer)
    }

    /// Publishes through a node. Returns the revision, or `None` if the node does not confirm that
    /// it is published.
    pub(crate) async fn publish(&self, node: usize, objects: &Configuration) -> Option<u64> {
        let admin = self.cluster.admin(node);
        let response = self
            .cluster
            .operator
            .publish(admin, &objects.to_yaml(), "test")
            .await;
        let response = response.expect("the node should respond");
        let published = admin::published_revision(&response);
        if published.is_none() {
            eprintln!("not published: {response:?}");
        }
        published
    }

    /// Returns the objects with an additional limit that no other object refers to; the
    /// configurations of different numbers differ.
    pub(crate) fn changed_configuration(&self, number: u64) -> Configuration {
        let limit = json!({ "requests_per_second": number, "burst": 1 });
        self.configuration().with("limit", "marker", limit)
    }

    /// Waits until a revision is in force at the given nodes.
    ///
    /// # Panics
    ///
    /// If it is not in force at all of them within `limit`.
    pub(crate) async fn await_in_force(&self, nodes: &[usize], revision: u64, limit: Duration) {
        let end = Instant::now() + limit;
        for &node in nodes {
            let remaining = end.saturating_duration_since(Instant::now());
            let admin = self.cluster.admin(node);
            let in_force = self
                .cluster
                .operator
                .await_in_force(admin, revision, remaining)
                .await;
            in_force.unwrap_or_else(|report| panic!("{report:?}\n{}", self.cluster.logs(20)));
        }
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.cluster.client.clone(), CALLER_KEY)
    }

    /// Returns the callers' address of a node.
    pub(crate) fn node(&self, index: usize) -> SocketAddr {
        self.cluster.nodes[index].settings().callers
    }

    /// Returns the engines' own records, against which outputs are checked.
    pub(crate) fn truth(&self) -> Truth {
        Truth::new(&self.engines)
    }

    /// Returns the index of a node by its name.
    pub(crate) fn index(&self, name: &str) -> usize {
        let nodes = &self.cluster.nodes;
        nodes
            .iter()
            .position(|node| node.settings().id == name)
            .expect("the name should be a node's")
    }

    /// Returns a trainer with `steps` steps of 16 groups of 4 samples.
    pub(crate) fn trainer(&self, steps: u64) -> Trainer {
        let settings = trainer::Settings {
            name: Name::from("trainer"),
            model: Name::from(MODEL),
            key: TRAINER_KEY.to_owned(),
            nodes: self.cluster.callers(),
            steps,
            groups: 16,
            group_size: 4,
            max_tokens: 200,
            train_time: Duration::from_millis(50),
            steps_ahead: 0,
            pull_wait: Duration::from_millis(500),
            max_groups: 2,
            seed: SEED,
        };
        Trainer::new(settings, self.cluster.client.clone(), None)
    }
}

/// Returns a completion request whose response is streamed.
pub(crate) fn streaming_completion(prompt: &str) -> Completion {
    Completion::new(MODEL, prompt).streamed()
}

async fn desk(name: &str) -> Service {
    Service::start(name).await.expect("a free port")
}

/// Returns backend servers with these names and addresses, one in each availability zone.
fn servers<'a>(endpoints: impl Iterator<Item = (&'a str, SocketAddr)>) -> Vec<Server> {
    endpoints
        .zip(ZONES)
        .map(|((name, address), zone)| Server {
            name: name.to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 8,
        })
        .collect()
}
