//! Starts nodes on loopback, with engines, a scorer and a store simulated in the same process.
#![allow(dead_code, reason = "each test file uses another part")]

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use error_stack::Report;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};
use http::{Method, Request, StatusCode};
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use shallotroute_config::{
    object::Object,
    set::Set,
    snapshot::{Changes, Record, Snapshot},
};
use shallotroute_context::{
    Context, Local,
    freshness::{Freshness, Input},
};
use shallotroute_http::{body, client::Client, server};
use shallotroute_peer::{
    service::Kind as ServiceKind,
    stream::{self, Services},
};
use shallotroute_platform::{
    engine::{Engine, Event, Generate, Load, State},
    error::{Error, Kind, Result},
    scorer::{self, Scorer},
    store::{Entry, Store},
};
use shallotroute_sampling::{Clients, Sampler};
use shallotroute_types::{
    clock::System,
    fence::Fence,
    member::{self, Member, View},
    name::Name,
    node::Incarnation,
    revision::Revision,
    version::Version,
};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

pub(crate) const KEY: &str = "key of trainer a";

/// The simulated engines, scorer and store, shared by all nodes.
#[derive(Default)]
pub(crate) struct Platform {
    /// The version that each engine has loaded; 1 for an engine without an entry.
    pub(crate) loaded_versions: Mutex<BTreeMap<SocketAddr, u64>>,
    /// The load commands that the engines received, in the order of arrival.
    pub(crate) loads: Mutex<Vec<(SocketAddr, Load)>>,
    pub(crate) stored_values: Mutex<BTreeMap<String, Entry>>,
    /// Whether all calls to the store fail.
    pub(crate) store_is_down: Mutex<bool>,
    /// Whether the engines ignore fencing numbers and report 0.
    pub(crate) ignores_fences: Mutex<bool>,
    /// Cloned into each endless stream, so that the number of references is one more than that of
    /// open streams. A prompt that starts with "endless" gets such a stream.
    pub(crate) open_streams: Arc<()>,
}

impl Engine for Platform {
    fn generate(
        &self,
        address: SocketAddr,
        request: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Event>>>> {
        let open = Arc::clone(&self.open_streams);
        if request.prompt.starts_with("endless") {
            let guard = Arc::clone(&open);
            let endless = futures::stream::pending().inspect(move |_: &Result<Event>| {
                let _ = &guard;
            });
            return async move { Ok(endless.boxed()) }.boxed();
        }
        let version = Version(self.loaded_version(address));
        let request_id = request.request_id;
        let chunk = |start| Event::Tokens {
            request_id: request_id.clone(),
            start,
            count: 2,
            text: format!("{start} "),
            version,
        };
        let end = Event::End {
            request_id: request_id.clone(),
            tokens: 4,
            cached: 0,
        };
        let events = [Ok(chunk(0)), Ok(chunk(2)), Ok(end)];
        let events = futures::stream::iter(events).then(|event| async {
            tokio::time::sleep(Duration::from_millis(2)).await;
            event
        });
        async move { Ok(events.boxed()) }.boxed()
    }

    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<State>> {
        let loads = self.loads.lock().unwrap();
        let here = loads.iter().filter(|(engine, _)| *engine == address);
        let fence = here.map(|(_, load)| load.fence).max().unwrap_or_default();
        let models = [(Name::from("model-a"), Version(self.loaded_version(address)))];
        let state = State {
            incarnation: 1,
            models: models.into(),
            slots: 4,
            fence: match *self.ignores_fences.lock().unwrap() {
                true => Fence(0),
                false => fence,
            },
            ..State::default()
        };
        async move { Ok(state) }.boxed()
    }

    fn load(&self, address: SocketAddr, command: Load, _: Duration) -> BoxFuture<'_, Result<()>> {
        self.loaded_versions
            .lock()
            .unwrap()
            .insert(address, command.version.0);
        self.loads.lock().unwrap().push((address, command));
        async { Ok(()) }.boxed()
    }
}

impl Platform {
    fn loaded_version(&self, address: SocketAddr) -> u64 {
        self.loaded_versions
            .lock()
            .unwrap()
            .get(&address)
            .copied()
            .unwrap_or(1)
    }

    fn check_store(&self) -> Result<()> {
        match *self.store_is_down.lock().unwrap() {
            true => Err(Report::new(Error::new("store", "test", Kind::Unreachable))),
            false => Ok(()),
        }
    }
}

impl Scorer for Platform {
    fn score(
        &self,
        _: SocketAddr,
        request: scorer::Request,
        _: Duration,
    ) -> BoxFuture<'_, Result<f64>> {
        async move { Ok(request.text.len() as f64) }.boxed()
    }
}

impl Store for Platform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        async move {
            self.check_store()?;
            Ok(self.stored_values.lock().unwrap().get(key).cloned())
        }
        .boxed()
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<u64>> {
        async move {
            self.check_store()?;
            let mut values = self.stored_values.lock().unwrap();
            let found = values.get(key).map_or(0, |entry| entry.version);
            if found != expected {
                let kind = Kind::Conflict { found };
                return Err(Report::new(Error::new("store.swap", "test", kind)));
            }
            let version = found + 1;
            values.insert(key.to_owned(), Entry { value, version });
            Ok(version)
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        _: u64,
        _: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        self.get(key)
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        async move {
            self.check_store()?;
            let values = self.stored_values.lock().unwrap();
            Ok(values
                .keys()
                .filter(|key| key.starts_with(prefix))
                .cloned()
                .collect())
        }
        .boxed()
    }
}

/// Nodes with the same configuration, and an HTTP client for their trainers' endpoints.
pub(crate) struct Cluster {
    pub(crate) platform: Arc<Platform>,
    pub(crate) nodes: Vec<Node>,
    client: Client,
}

/// A node of the cluster.
pub(crate) struct Node {
    pub(crate) id: Name,
    pub(crate) http: SocketAddr,
    pub(crate) members: watch::Sender<Arc<View>>,
    pub(crate) stop: CancellationToken,
    pub(crate) sampler: Arc<Sampler>,
    pub(crate) registry: Registry,
    _configuration: watch::Sender<Option<Arc<Snapshot>>>,
}

impl Cluster {
    /// Starts `count` nodes, each in its own zone, with the configuration objects of `fixture`.
    pub(crate) async fn start(count: usize, fixture: &str) -> Self {
        let platform = Arc::new(Platform::default());
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
            members.push(Member {
                id: format!("node-{index}").into(),
                region: "lk-west".into(),
                zone: format!("zone-{index}").into(),
                address: listener.local_addr().unwrap(),
                incarnation: Incarnation(1),
                state: member::State::Alive,
                known: Revision(1),
                in_force: Revision(1),
            });
            listeners.push(listener);
        }
        let snapshot = Arc::new(parse_snapshot(fixture));
        let mut nodes = Vec::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            nodes.push(start_node(&platform, &snapshot, &members, index, listener).await);
        }
        Self {
            platform,
            nodes,
            client: Client::new(Duration::from_secs(1)),
        }
    }

    /// Returns the index of the node that owns the pool.
    pub(crate) fn owner(&self) -> usize {
        let view = self.nodes[0].members.borrow().clone();
        let owner = view.owner("pool/samplers").unwrap().id.clone();
        self.nodes.iter().position(|node| node.id == owner).unwrap()
    }

    /// Returns the index of the node that holds the lease of the pool's engines.
    pub(crate) fn lease_holder(&self) -> usize {
        let record = self.platform.stored_values.lock().unwrap()["lease/engines-samplers"].clone();
        let record: Value = serde_json::from_slice(&record.value).unwrap();
        let holds = |node: &Node| record["holder"] == *node.id.as_str();
        self.nodes.iter().position(holds).unwrap()
    }

    /// Sets the version of all engines that have an entry, as if they had restarted with it.
    pub(crate) fn set_loaded_versions(&self, new_version: u64) {
        let mut versions = self.platform.loaded_versions.lock().unwrap();
        versions
            .values_mut()
            .for_each(|version| *version = new_version);
    }

    /// Stops a node and marks it as dead in the member lists of all nodes.
    pub(crate) fn kill(&self, index: usize) {
        self.nodes[index].stop.cancel();
        for node in &self.nodes {
            node.members.send_modify(|view| {
                let mut changed = (**view).clone();
                changed.members[index].state = member::State::Dead;
                *view = Arc::new(changed);
            });
        }
    }

    /// Waits up to 5 s until `condition` holds.
    ///
    /// # Panics
    ///
    /// The condition does not hold in time.
    pub(crate) async fn wait_until(&self, description: &str, condition: impl Fn() -> bool) {
        for _ in 0..500 {
            if condition() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("timed out after 5 s waiting until {description}");
    }

    /// Sends a request of trainer `a` to a node and returns the status and the JSON body.
    pub(crate) async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (StatusCode, Value) {
        self.call_with_key(KEY, node, method, &format!("a{path}"), body)
            .await
    }

    /// Sends a request with this key to a node; `path` starts with the name of the trainer.
    pub(crate) async fn call_with_key(
        &self,
        key: &str,
        node: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (StatusCode, Value) {
        let request = Request::builder()
            .method(method)
            .uri(format!(
                "http://{}/v1/trainers/{path}",
                self.nodes[node].http
            ))
            .header("authorization", format!("Bearer {key}"))
            .body(body::full(body.to_string()))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
        (status, serde_json::from_slice(&bytes).unwrap())
    }

    /// Pulls until the step is complete, also while the owner changes. Returns the samples of each
    /// group.
    ///
    /// # Panics
    ///
    /// A group is delivered twice, a response has another error than 503, or 100 pulls don't
    /// complete the step.
    pub(crate) async fn pull_all(
        &self,
        node: usize,
        step: u64,
        groups: u32,
    ) -> BTreeMap<u64, Value> {
        let mut all = BTreeMap::new();
        for _ in 0..100 {
            let mut receipt = vec![0_u8; groups.div_ceil(8) as usize];
            for group in all.keys() {
                receipt[*group as usize / 8] |= 1_u8 << (group % 8);
            }
            let receipt = data_encoding::HEXLOWER.encode(&receipt);
            let body = json!({"receipt": receipt, "version": 1, "wait_ms": 500, "max_groups": 2});
            let path = format!("/steps/{step}/pull");
            let (status, answer) = self.call(node, Method::POST, &path, &body).await;
            if status != StatusCode::OK {
                assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            for group in answer["groups"].as_array().unwrap() {
                let previous =
                    all.insert(group["group"].as_u64().unwrap(), group["samples"].clone());
                assert_eq!(previous, None, "group delivered twice");
            }
            if answer["complete"] == true {
                return all;
            }
        }
        panic!(
            "step is incomplete after 100 pulls: {} of {groups} groups delivered",
            all.len()
        );
    }
}

fn parse_snapshot(fixture: &str) -> Snapshot {
    let mut objects: Vec<Object> = serde_json::from_str(fixture).unwrap();
    for object in &mut objects {
        if let Object::Caller(caller) = object {
            caller.key_hash = blake3::hash(KEY.as_bytes()).to_hex().to_string();
        }
    }
    let record = Record {
        revision: Revision(1),
        parent: None,
        publication: "test".into(),
        author: "operator".into(),
        at: std::time::SystemTime::UNIX_EPOCH,
        reason: "test".into(),
        changes: Changes::default(),
        warnings: Vec::new(),
        parts: Vec::new(),
    };
    Snapshot {
        hash: "0".into(),
        record,
        set: Set::new(objects),
    }
}

/// Returns the freshness of a node that has read all its inputs since it started.
fn fresh_inputs() -> Arc<Freshness> {
    let freshness = Freshness::new(Instant::now());
    for input in [Input::Configuration, Input::Hosts, Input::Servers] {
        freshness.record_read(input, Instant::now());
    }
    Arc::new(freshness)
}

async fn start_node(
    platform: &Arc<Platform>,
    snapshot: &Arc<Snapshot>,
    members: &[Member],
    index: usize,
    listener: TcpListener,
) -> Node {
    let local = &members[index];
    let view = View {
        local: Some(local.id.clone()),
        members: members.to_vec(),
        majority: true,
    };
    let (members, members_receiver) = watch::channel(Arc::new(view));
    let (configuration, configuration_receiver) = watch::channel(Some(Arc::clone(snapshot)));
    let stop = CancellationToken::new();
    let context = Context {
        local: Local {
            id: local.id.clone(),
            region: local.region.clone(),
            zone: local.zone.clone(),
            address: local.address,
            incarnation: local.incarnation,
        },
        clock: Arc::new(System),
        configuration: configuration_receiver,
        confirmed: watch::channel(true).1,
        members: members_receiver,
        hosts: watch::channel(Arc::default()).1,
        freshness: fresh_inputs(),
        drain: CancellationToken::new(),
        stop: stop.clone(),
    };
    let clients = Clients {
        engine: Arc::clone(platform) as _,
        scorer: Arc::clone(platform) as _,
        store: Arc::clone(platform) as _,
    };
    let mut registry = Registry::default();
    let sampler = Sampler::new(context, clients, &mut registry);
    tokio::spawn(Arc::clone(&sampler).run());
    let service = sampler.service().unwrap();
    let services = Arc::new(Services::from([(ServiceKind::Rollouts, service)]));
    tokio::spawn(stream::serve(listener, services, stop.clone()));
    let http = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = http.local_addr().unwrap();
    tokio::spawn(server::serve(http, Arc::clone(&sampler) as _, stop.clone()));
    Node {
        id: local.id.clone(),
        http: address,
        members,
        stop,
        sampler,
        registry,
        _configuration: configuration,
    }
}
