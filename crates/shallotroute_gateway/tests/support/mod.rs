//! Runs a gateway over loopback, with small backend servers.
#![allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    clippy::needless_pass_by_value,
    clippy::rc_buffer,
    reason = "each test file uses only a part of this module"
)]

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::{
    future::{BoxFuture, pending},
    stream::BoxStream,
};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use shallotroute_config::{
    object::{Object, Server},
    set::Set,
    snapshot::Snapshot,
};
use shallotroute_context::{
    Context, Local,
    freshness::{Freshness, Input},
};
use shallotroute_gateway::Gateway;
use shallotroute_http::{
    body::{self, Body},
    client::Client,
    server::{self, Handler},
};
use shallotroute_peer::{service::Kind, stream};
use shallotroute_platform::{
    engine::{Engine, Event, Generate, Load, State},
    error::{self, Result},
    host::Host,
};
use shallotroute_types::{
    clock::Clock,
    member::{self, Member, View},
    name::Name,
    node::Incarnation,
    revision::Revision,
};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::{CancellationToken, DropGuard};

pub const KEY: &str = "test-key";
pub const MODEL: &str = "pricing";

type ResponseFn = dyn Fn(ReceivedRequest) -> BoxFuture<'static, Response<Body>> + Send + Sync;

/// A request as a backend server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub method: Method,
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl ReceivedRequest {
    pub fn id(&self) -> String {
        self.headers["x-request-id"].to_str().unwrap().to_owned()
    }
}

/// A backend server that responds by a closure.
pub struct Backend {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    _stop: DropGuard,
}

struct ClosureHandler {
    respond: Box<ResponseFn>,
    records_requests: bool,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Handler for ClosureHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let received = ReceivedRequest {
                method: parts.method,
                path: parts.uri.to_string(),
                headers: parts.headers,
                body: body::read(body, 8 << 20).await.unwrap(),
            };
            if self.records_requests {
                self.received.lock().unwrap().push(received.clone());
            }
            (self.respond)(received).await
        })
    }
}

impl Backend {
    pub async fn start<A: Future<Output = Response<Body>> + Send + 'static>(
        respond: impl Fn(ReceivedRequest) -> A + Send + Sync + 'static,
    ) -> Self {
        Self::start_with_recording(true, respond).await
    }

    /// Starts a backend server that records its requests if `records_requests` is set.
    pub async fn start_with_recording<A: Future<Output = Response<Body>> + Send + 'static>(
        records_requests: bool,
        respond: impl Fn(ReceivedRequest) -> A + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::<Mutex<Vec<ReceivedRequest>>>::default();
        let handler = Arc::new(ClosureHandler {
            respond: Box::new(move |request| Box::pin(respond(request))),
            records_requests,
            received: Arc::clone(&received),
        });
        let stop = CancellationToken::new();
        tokio::spawn(server::serve(listener, handler, stop.clone()));
        Self {
            address,
            received,
            _stop: stop.drop_guard(),
        }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// Returns an address at which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// The states that engines report, by address. Other calls stay pending.
#[derive(Default)]
pub struct Engines {
    pub states: Mutex<HashMap<SocketAddr, State>>,
    /// The delay of each response.
    pub delay: Mutex<Duration>,
}

impl Engine for Engines {
    fn generate(
        &self,
        _address: SocketAddr,
        _request: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Event>>>> {
        Box::pin(pending())
    }

    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<State>> {
        let state = self.states.lock().unwrap().get(&address).cloned();
        let lost = error::Error::new("state", address.to_string(), error::Kind::Lost);
        let delay = *self.delay.lock().unwrap();
        Box::pin(async move {
            tokio::time::sleep(delay).await;
            state.ok_or_else(|| lost.into())
        })
    }

    fn load(&self, _: SocketAddr, _: Load, _: Duration) -> BoxFuture<'_, Result<()>> {
        Box::pin(pending())
    }
}

/// The system's clock with a wall time that can be set forward.
pub struct ShiftedClock(Mutex<Duration>);

impl ShiftedClock {
    pub fn set(&self, shift: Duration) {
        *self.0.lock().unwrap() = shift;
    }
}

impl Clock for ShiftedClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn boot_time(&self) -> Duration {
        Duration::ZERO
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now() + *self.0.lock().unwrap()
    }
}

/// A gateway with its listeners and the senders of its context's channels.
pub struct Node {
    pub gateway: Arc<Gateway>,
    pub address: SocketAddr,
    pub engines: Arc<Engines>,
    pub configuration: watch::Sender<Option<Arc<Snapshot>>>,
    pub confirmed: watch::Sender<bool>,
    pub members: watch::Sender<Arc<View>>,
    pub hosts: watch::Sender<Arc<Vec<Host>>>,
    pub registry: Registry,
    pub context: Context,
    pub clock: Arc<ShiftedClock>,
    client: Client,
    _guards: [DropGuard; 2],
}

impl Node {
    pub async fn start(set: Set) -> Self {
        Self::start_as("node-1", set, Duration::ZERO).await
    }

    /// Starts a node whose wall time is `shift` ahead.
    pub async fn start_as(id: &str, set: Set, shift: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let configuration = watch::Sender::new(Some(snapshot(1, &set)));
        let confirmed = watch::Sender::new(true);
        let members = watch::Sender::<Arc<View>>::default();
        let hosts = watch::Sender::<Arc<Vec<Host>>>::default();
        let clock = Arc::new(ShiftedClock(Mutex::new(shift)));
        let freshness = Arc::new(Freshness::new(Instant::now()));
        for input in [Input::Configuration, Input::Hosts] {
            freshness.record_read(input, Instant::now());
        }
        let context = Context {
            local: Local {
                id: Name::from(id),
                region: Name::from("lk-west"),
                zone: Name::from("colombo"),
                address: peers.local_addr().unwrap(),
                incarnation: Incarnation(1),
            },
            clock: clock.clone(),
            configuration: configuration.subscribe(),
            confirmed: confirmed.subscribe(),
            members: members.subscribe(),
            hosts: hosts.subscribe(),
            freshness: Arc::clone(&freshness),
            drain: CancellationToken::new(),
            stop: CancellationToken::new(),
        };
        let engines = Arc::new(Engines::default());
        let mut registry = Registry::with_prefix("shallotroute");
        let random = ChaCha8Rng::seed_from_u64(7);
        let engine = Arc::clone(&engines);
        let gateway = Gateway::with_random(context.clone(), engine, &mut registry, random);
        let services = HashMap::from([(Kind::Requests, gateway.service().unwrap())]);
        let (stop, drain) = (context.stop.clone(), context.drain.clone());
        tokio::spawn(stream::serve(peers, Arc::new(services), stop.clone()));
        tokio::spawn(gateway.clone().run());
        tokio::spawn(server::serve(listener, gateway.clone(), drain.clone()));
        Self {
            gateway,
            address,
            engines,
            configuration,
            confirmed,
            members,
            hosts,
            registry,
            context,
            clock,
            client: Client::new(Duration::from_secs(1)),
            _guards: [stop.drop_guard(), drain.drop_guard()],
        }
    }

    pub fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
    }

    pub async fn send(&self, request: Request<Body>) -> Response<Incoming> {
        self.client.send(request).await.unwrap()
    }

    pub async fn completion(&self, stream: bool) -> Response<Incoming> {
        let text = format!(r#"{{"model":"{MODEL}","prompt":"leek price?","stream":{stream}}}"#);
        let request = self.request(Method::POST, "/v1/completions");
        self.send(request.body(body::full(text)).unwrap()).await
    }

    pub async fn get(&self, path: &str) -> Response<Incoming> {
        let request = self.request(Method::GET, path);
        self.send(request.body(body::empty()).unwrap()).await
    }
}

pub async fn read_text(response: Response<Incoming>) -> String {
    let bytes = body::read(response.into_body(), 8 << 20).await.unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

pub async fn read_error(response: Response<Incoming>) -> Value {
    let value: Value = serde_json::from_str(&read_text(response).await).unwrap();
    value["error"].clone()
}

pub fn snapshot(revision: u64, set: &Set) -> Arc<Snapshot> {
    let record = json!({
        "revision": revision, "parent": null, "publication": "p", "author": "operator",
        "at": SystemTime::UNIX_EPOCH, "reason": "test", "warnings": [], "parts": [],
        "changes": {"added": [], "changed": [], "removed": []},
    });
    let snapshot = json!({"hash": format!("hash-{revision}"), "record": record, "set": set});
    Arc::new(serde_json::from_value(snapshot).unwrap())
}

pub fn server(name: &str, address: SocketAddr) -> Server {
    let server = json!({"name": name, "address": address, "zone": "colombo"});
    serde_json::from_value(server).unwrap()
}

/// Returns the objects of a configuration with an engine pool for [`MODEL`], and a service pool for
/// `/orders`, whose requests are not idempotent.
pub fn objects(engines: Vec<Server>, services: Vec<Server>) -> Vec<Object> {
    let key_hash = blake3::hash(KEY.as_bytes()).to_hex();
    let objects = json!([
        {"kind": "caller", "name": "desk", "key_hash": key_hash.as_str(), "class": "interactive"},
        {"kind": "pool", "name": "engines", "backend": "engine", "selection": "round_robin",
         "servers": engines},
        {"kind": "pool", "name": "services", "backend": "service", "selection": "round_robin",
         "servers": services},
        {"kind": "route", "name": "assistant", "model": MODEL, "pool": "engines",
         "timeout_ms": 5_000},
        {"kind": "route", "name": "orders", "path_prefix": "/orders", "pool": "services",
         "timeout_ms": 5_000, "idempotent": false},
    ]);
    serde_json::from_value(objects).unwrap()
}

/// Returns the events of a complete stream of `count` tokens.
pub fn events(id: &str, count: u32) -> Vec<String> {
    let event = |start| {
        let is_last = start + 1 == count;
        let mut event = json!({
            "id": id, "object": "text_completion",
            "choices": [{"index": 0, "text": format!("t{start} "), "finish_reason": null}],
            "tokens": {"start": start, "count": 1, "version": 1},
        });
        if is_last {
            event["choices"][0]["finish_reason"] = "stop".into();
            event["usage"] = json!({"prompt_tokens": 3, "completion_tokens": count});
        }
        format!("data: {event}\n\n")
    };
    let mut events: Vec<String> = (0..count).map(event).collect();
    events.push("data: [DONE]\n\n".into());
    events
}

/// Creates a streaming response. The connection breaks after the events if `breaks_off` is set.
pub fn streaming_response(id: &str, events: Vec<String>, breaks_off: bool) -> Response<Body> {
    let chunks = events.into_iter().map(|event| Ok(event.into()));
    let breaks_off = breaks_off.then(|| Err("cut".into()));
    let mut response = Response::new(body::stream(futures::stream::iter(
        chunks.chain(breaks_off),
    )));
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().unwrap());
    headers.insert("x-request-id", id.parse().unwrap());
    response
}

/// Creates the response of an engine: a stream of `count` tokens or one JSON document.
pub fn engine_response(received: &ReceivedRequest, count: u32) -> Response<Body> {
    let id = received.id();
    let body: Value = serde_json::from_slice(&received.body).unwrap();
    if body["stream"] == true {
        return streaming_response(&id, events(&id, count), false);
    }
    let answer = json!({
        "id": id, "object": "text_completion",
        "choices": [{"index": 0, "text": "leek", "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 3, "completion_tokens": count},
        "spans": [{"start": 0, "end": count, "version": 1}],
    });
    let mut response = body::json_response(StatusCode::OK, &answer);
    let headers = response.headers_mut();
    headers.insert("x-request-id", id.parse().unwrap());
    response
}

/// Returns the view in which all nodes are alive, each in an availability zone of its own.
pub fn view(nodes: &[&Node]) -> View {
    let member = |node: &&Node| Member {
        id: node.context.local.id.clone(),
        region: node.context.local.region.clone(),
        zone: Name::from(format!("zone-{}", node.context.local.id)),
        address: node.context.local.address,
        incarnation: Incarnation(1),
        state: member::State::Alive,
        known: Revision(1),
        in_force: Revision(1),
    };
    View {
        local: None,
        members: nodes.iter().map(member).collect(),
        majority: true,
    }
}

/// Creates a server's refusal of a request, with the state that the server gives as the reason.
pub fn refusal(state: &str) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert("x-server-state", state.parse().unwrap());
    response
}
