//! Three nodes in three availability zones, published and ready, with stand-ins around them.

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
    configuration::{Configuration, Server},
    engine::{self, Engine},
    fleet::{Fleet, Layout},
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

/// The seed of lengths and prompts.
pub(crate) const SEED: u64 = 1;

/// How long the start may take on a busy machine; no bound of the product.
pub(crate) const START_LIMIT: Duration = Duration::from_secs(30);

/// A configuration is in force everywhere within this time without faults.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(2);

/// A configuration is in force everywhere within this time with faults.
pub(crate) const IN_FORCE_WITH_FAULTS: Duration = Duration::from_secs(6);

/// Another node takes over a crashed node's roles within this time.
pub(crate) const TAKEOVER: Duration = Duration::from_secs(5);

/// Fleets run one after the other, so that bounds in seconds do not depend on the other tests.
static TURN: Mutex<()> = Mutex::const_new(());

/// The nodes and what is around them.
pub(crate) struct World {
    pub(crate) fleet: Fleet,
    pub(crate) engines: Vec<Engine>,
    pub(crate) desks: Vec<Service>,
    pub(crate) revision: u64,
    _scorer: Scorer,
    _turn: MutexGuard<'static, ()>,
}

/// The node program.
pub(crate) fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_shallotroute"))
}

/// Waits for the end of the fleets of other tests.
pub(crate) async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

impl World {
    pub(crate) async fn start() -> Self {
        Self::start_with(|_| ()).await
    }

    /// Starts with changed settings of the engines.
    pub(crate) async fn start_with(edit: impl Fn(&mut engine::Settings)) -> Self {
        let store = Arc::new(Store::start().await.expect("a free port"));
        Self::assemble(edit, store, &Layout::new("lk-west", &ZONES)).await
    }

    /// Starts nine nodes, three in each availability zone.
    pub(crate) async fn start_nine() -> Self {
        let store = Arc::new(Store::start().await.expect("a free port"));
        Self::assemble(|_| (), store, &Layout::new("lk-west", &ZONES.repeat(3))).await
    }

    /// Starts with a proxy between the nodes and the key-value service.
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
        let turn = turn().await;
        let mut engines = Vec::new();
        for zone in ZONES {
            let mut settings = engine::Settings::new(&format!("engine-{zone}"), MODEL, SEED);
            edit(&mut settings);
            engines.push(Engine::start(settings).await.expect("a free port"));
        }
        let desks = vec![desk("desk-0").await, desk("desk-1").await];
        let scorer = Scorer::start().await.expect("a free port");
        let fleet = Fleet::start_with(binary(), layout, store)
            .await
            .expect("the nodes should start");
        let mut world = Self {
            fleet,
            engines,
            desks,
            revision: 0,
            _scorer: scorer,
            _turn: turn,
        };
        world.await_start().await;
        world
    }

    async fn await_start(&mut self) {
        let live = self.fleet.await_live(START_LIMIT).await;
        live.unwrap_or_else(|report| panic!("{report:?}\n{}", self.fleet.logs(20)));
        self.revision = self
            .publish(0, &self.configuration())
            .await
            .expect("the first configuration should be published");
        let ready = self.fleet.await_ready(START_LIMIT).await;
        ready.unwrap_or_else(|report| panic!("{report:?}\n{}", self.fleet.logs(20)));
    }

    /// Waits until the nodes accept orders, which fresh nodes refuse because they can't tell yet
    /// whether an order was sent before.
    pub(crate) async fn await_orders(&self) {
        let end = Instant::now() + START_LIMIT;
        for node in 0..self.fleet.nodes.len() {
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

    /// Returns the objects of the stand-ins.
    pub(crate) fn configuration(&self) -> Configuration {
        let engines = servers(self.engines.iter().map(|one| (one.name(), one.address())));
        let desks = servers(self.desks.iter().map(|one| (one.name(), one.address())));
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
                json!({ "address": self._scorer.address() }),
            )
            .with_caller("caller", CALLER_KEY, "interactive")
            .with_trainer("trainer", TRAINER_KEY, trainer)
    }

    /// Publishes through a node and returns the revision, if the node says that it is published.
    pub(crate) async fn publish(&self, node: usize, objects: &Configuration) -> Option<u64> {
        let admin = self.fleet.admin(node);
        let answer = self
            .fleet
            .operator
            .publish(admin, &objects.to_yaml(), "test")
            .await;
        let answer = answer.expect("the node should answer");
        let published = admin::published_revision(&answer);
        if published.is_none() {
            eprintln!("not published: {answer:?}");
        }
        published
    }

    /// Returns the objects with a limit that nothing refers to.
    pub(crate) fn changed(&self, number: u64) -> Configuration {
        let limit = json!({ "requests_per_second": number, "burst": 1 });
        self.configuration().with("limit", "marker", limit)
    }

    /// Waits until a revision is in force at some nodes.
    pub(crate) async fn await_in_force(&self, nodes: &[usize], revision: u64, limit: Duration) {
        let end = Instant::now() + limit;
        for &node in nodes {
            let left = end.saturating_duration_since(Instant::now());
            let admin = self.fleet.admin(node);
            let in_force = self
                .fleet
                .operator
                .await_in_force(admin, revision, left)
                .await;
            in_force.unwrap_or_else(|report| panic!("{report:?}\n{}", self.fleet.logs(20)));
        }
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.fleet.client.clone(), CALLER_KEY)
    }

    pub(crate) fn node(&self, index: usize) -> SocketAddr {
        self.fleet.nodes[index].settings().callers
    }

    pub(crate) fn truth(&self) -> Truth {
        Truth::new(&self.engines)
    }

    /// Returns the index of a node by its name.
    pub(crate) fn index(&self, name: &str) -> usize {
        let nodes = &self.fleet.nodes;
        nodes
            .iter()
            .position(|node| node.settings().id == name)
            .expect("the name should be a node's")
    }

    /// Makes a trainer of 16 groups of 4 samples a step.
    pub(crate) fn trainer(&self, steps: u64) -> Trainer {
        let settings = trainer::Settings {
            name: Name::from("trainer"),
            model: Name::from(MODEL),
            key: TRAINER_KEY.to_owned(),
            nodes: self.fleet.callers(),
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
        Trainer::new(settings, self.fleet.client.clone(), None)
    }
}

/// Makes a streamed request for the model.
pub(crate) fn streamed(prompt: &str) -> Completion {
    Completion::new(MODEL, prompt).streamed()
}

async fn desk(name: &str) -> Service {
    Service::start(name).await.expect("a free port")
}

fn servers<'a>(all: impl Iterator<Item = (&'a str, SocketAddr)>) -> Vec<Server> {
    all.zip(ZONES)
        .map(|((name, address), zone)| Server {
            name: name.to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 8,
        })
        .collect()
}
