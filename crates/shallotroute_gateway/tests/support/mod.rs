//! A gateway over loopback with small backend servers.
#![allow(dead_code, missing_docs, unreachable_pub, clippy::rc_buffer)]

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::{future::BoxFuture, stream::BoxStream};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shallotroute_config::{
    object::{Caller, Object, Pool, Route, Server},
    set::Set,
    snapshot::{Changes, Record, Snapshot},
};
use shallotroute_context::{Context, Local};
use shallotroute_gateway::Gateway;
use shallotroute_http::{
    body::{self, Body},
    client::Client,
    server::{self, Handler},
};
use shallotroute_peer::stream;
use shallotroute_platform::{
    engine::{Engine, Event, Generate, Load, State},
    error::{Error, Kind, Result},
    host::Host,
};
use shallotroute_types::{
    class::Class, clock::Clock, member::View, name::Name, node::Incarnation, revision::Revision,
};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

pub const KEY: &str = "test-key";
pub const MODEL: &str = "pricing";

type Answer = dyn Fn(Received) -> BoxFuture<'static, Response<Body>> + Send + Sync;

/// A request as a backend server received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: Method,
    pub path: String,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Received {
    pub fn id(&self) -> String {
        self.headers["x-request-id"].to_str().unwrap().to_owned()
    }
}

/// A backend server whose answers a closure makes.
pub struct Backend {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    stop: CancellationToken,
}

struct Closure {
    answer: Box<Answer>,
    /// The requests so far; none when they are not to be kept.
    received: Option<Arc<Mutex<Vec<Received>>>>,
}

impl Handler for Closure {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let received = Received {
                method: parts.method,
                path: parts.uri.to_string(),
                headers: parts.headers,
                body: body::read(body, 8 << 20).await.unwrap(),
            };
            if let Some(all) = &self.received {
                all.lock().unwrap().push(received.clone());
            }
            (self.answer)(received).await
        })
    }
}

impl Backend {
    pub async fn start<F, A>(answer: F) -> Self
    where
        F: Fn(Received) -> A + Send + Sync + 'static,
        A: Future<Output = Response<Body>> + Send + 'static,
    {
        Self::start_with(answer, true).await
    }

    /// Starts a backend server that does not keep the requests.
    pub async fn quiet<F, A>(answer: F) -> Self
    where
        F: Fn(Received) -> A + Send + Sync + 'static,
        A: Future<Output = Response<Body>> + Send + 'static,
    {
        Self::start_with(answer, false).await
    }

    async fn start_with<F, A>(answer: F, keep: bool) -> Self
    where
        F: Fn(Received) -> A + Send + Sync + 'static,
        A: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(Closure {
            answer: Box::new(move |request| Box::pin(answer(request))),
            received: keep.then(|| Arc::clone(&received)),
        });
        let stop = CancellationToken::new();
        tokio::spawn(server::serve(listener, handler, stop.clone()));
        Self {
            address,
            received,
            stop,
        }
    }

    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns an address at which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Engine states by address, as the poll reads them.
#[derive(Default)]
pub struct Engines {
    pub states: Mutex<HashMap<SocketAddr, State>>,
}

impl Engine for Engines {
    fn generate(
        &self,
        address: SocketAddr,
        _request: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Event>>>> {
        Box::pin(async move { Err(unreachable_engine(address).into()) })
    }

    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<State>> {
        let state = self.states.lock().unwrap().get(&address).cloned();
        Box::pin(async move { state.ok_or_else(|| unreachable_engine(address).into()) })
    }

    fn load(
        &self,
        address: SocketAddr,
        _command: Load,
        _timeout: Duration,
    ) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move { Err(unreachable_engine(address).into()) })
    }
}

fn unreachable_engine(address: SocketAddr) -> Error {
    Error::new("state", address.to_string(), Kind::Lost)
}

/// The system's clock with a calendar that can be set forward.
#[derive(Default)]
pub struct Shifted {
    shift: Mutex<Duration>,
}

impl Shifted {
    pub fn set(&self, shift: Duration) {
        *self.shift.lock().unwrap() = shift;
    }
}

impl Clock for Shifted {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now() + *self.shift.lock().unwrap()
    }
}

/// A gateway with its listeners and the senders of its context.
pub struct Node {
    pub gateway: Arc<Gateway>,
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    pub engines: Arc<Engines>,
    pub configuration: watch::Sender<Option<Arc<Snapshot>>>,
    pub confirmed: watch::Sender<bool>,
    pub members: watch::Sender<Arc<View>>,
    pub hosts: watch::Sender<Arc<Vec<Host>>>,
    pub registry: Registry,
    pub context: Context,
    pub clock: Arc<Shifted>,
    client: Client,
}

impl Node {
    pub async fn start(set: Set) -> Self {
        Self::start_as("node-1", set, Arc::new(View::default())).await
    }

    pub async fn start_as(id: &str, set: Set, view: Arc<View>) -> Self {
        let clock = Arc::new(Shifted::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer_address = peers.local_addr().unwrap();
        let (configuration, configuration_receiver) = watch::channel(Some(snapshot(1, set)));
        let (confirmed, confirmed_receiver) = watch::channel(true);
        let (members, members_receiver) = watch::channel(view);
        let (hosts, hosts_receiver) = watch::channel(Arc::new(Vec::new()));
        let context = Context {
            local: Local {
                id: Name::from(id),
                region: Name::from("lk-west"),
                zone: Name::from("colombo"),
                address: peer_address,
                incarnation: Incarnation(1),
            },
            clock: clock.clone(),
            configuration: configuration_receiver,
            confirmed: confirmed_receiver,
            members: members_receiver,
            hosts: hosts_receiver,
            drain: CancellationToken::new(),
            stop: CancellationToken::new(),
        };
        let engines = Arc::new(Engines::default());
        let mut registry = Registry::default();
        let random = ChaCha8Rng::seed_from_u64(7);
        let gateway = Gateway::with_random(context.clone(), engines.clone(), &mut registry, random);
        if let Some(service) = gateway.service() {
            let services = HashMap::from([(shallotroute_peer::service::Kind::Requests, service)]);
            tokio::spawn(stream::serve(
                peers,
                Arc::new(services),
                context.stop.clone(),
            ));
        }
        tokio::spawn(gateway.clone().run());
        tokio::spawn(server::serve(
            listener,
            gateway.clone(),
            context.drain.clone(),
        ));
        Self {
            gateway,
            address,
            peer_address,
            engines,
            configuration,
            confirmed,
            members,
            hosts,
            registry,
            context,
            clock,
            client: Client::new(Duration::from_secs(1)),
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

impl Drop for Node {
    fn drop(&mut self) {
        self.context.drain.cancel();
        self.context.stop.cancel();
    }
}

pub async fn text(response: Response<Incoming>) -> String {
    let bytes = body::read(response.into_body(), 8 << 20).await.unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

pub async fn error(response: Response<Incoming>) -> serde_json::Value {
    let value: serde_json::Value = serde_json::from_str(&text(response).await).unwrap();
    value["error"].clone()
}

pub fn snapshot(revision: u64, set: Set) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        hash: format!("hash-{revision}"),
        record: Record {
            revision: Revision(revision),
            parent: None,
            publication: "publication".into(),
            author: Name::from("operator"),
            at: SystemTime::UNIX_EPOCH,
            reason: "test".into(),
            changes: Changes::default(),
            warnings: Vec::new(),
            parts: Vec::new(),
        },
        set,
    })
}

pub fn caller() -> Object {
    Object::Caller(Caller {
        name: Name::from("desk"),
        key_hash: blake3::hash(KEY.as_bytes()).to_hex().to_string(),
        class: Class::Interactive,
        limit: None,
        trainer: None,
    })
}

pub fn server(name: &str, address: SocketAddr) -> Server {
    Server {
        name: Name::from(name),
        address,
        zone: Name::from("colombo"),
        slots: 8,
        state: shallotroute_config::object::ServerState::Active,
    }
}

pub fn pool(
    name: &str,
    backend: shallotroute_config::object::Backend,
    servers: Vec<Server>,
) -> Pool {
    Pool {
        name: Name::from(name),
        backend,
        fencing: None,
        models: Vec::new(),
        selection: shallotroute_config::object::Selection::RoundRobin,
        servers,
    }
}

pub fn route(name: &str, pool: &str) -> Route {
    Route {
        name: Name::from(name),
        model: None,
        path_prefix: None,
        pool: Name::from(pool),
        idempotent: true,
        timeout_ms: 5_000,
    }
}

/// Returns the objects of one engine pool behind the model and one service pool behind `/orders`,
/// whose requests are not idempotent.
pub fn objects(engines: Vec<Server>, services: Vec<Server>) -> Vec<Object> {
    use shallotroute_config::object::Backend;
    let mut model = route("assistant", "engines");
    model.model = Some(Name::from(MODEL));
    let mut orders = route("orders", "services");
    orders.path_prefix = Some("/orders".into());
    orders.idempotent = false;
    vec![
        caller(),
        Object::Pool(pool("engines", Backend::Engine, engines)),
        Object::Pool(pool("services", Backend::Service, services)),
        Object::Route(model),
        Object::Route(orders),
    ]
}

/// Returns the events of a whole stream of `count` tokens.
pub fn events(id: &str, count: u32) -> Vec<String> {
    let mut events: Vec<String> = (0..count)
        .map(|start| {
            let finish = if start + 1 == count { r#""stop""# } else { "null" };
            let usage = match start + 1 == count {
                true => format!(r#","usage":{{"prompt_tokens":3,"completion_tokens":{count}}}"#),
                false => String::new(),
            };
            format!(
                "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"choices\":[{{\"index\":0,\
                 \"text\":\"t{start} \",\"finish_reason\":{finish}}}],\"tokens\":{{\"start\":{start},\
                 \"count\":1,\"version\":1}}{usage}}}\n\n"
            )
        })
        .collect();
    events.push("data: [DONE]\n\n".into());
    events
}

/// Makes a streamed response of `events`; the connection breaks at the end when `cut` is set.
pub fn streamed(id: &str, events: Vec<String>, cut: bool) -> Response<Body> {
    let mut chunks: Vec<std::result::Result<Bytes, body::Error>> =
        events.into_iter().map(|event| Ok(event.into())).collect();
    if cut {
        chunks.push(Err("cut".into()));
    }
    let mut response = Response::new(body::stream(futures::stream::iter(chunks)));
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().unwrap());
    headers.insert("x-request-id", id.parse().unwrap());
    response
}

/// Answers as an engine does: a stream of `count` tokens or one JSON document.
pub fn engine_answer(received: &Received, count: u32) -> Response<Body> {
    let id = received.id();
    let body: serde_json::Value = serde_json::from_slice(&received.body).unwrap();
    if body["stream"] == true {
        return streamed(&id, events(&id, count), false);
    }
    let mut response = body::json(
        StatusCode::OK,
        &serde_json::json!({
            "id": id, "object": "text_completion",
            "choices": [{"index": 0, "text": "leek", "finish_reason": "stop"}],
            "usage": {"prompt_tokens": 3, "completion_tokens": count},
            "spans": [{"start": 0, "end": count, "version": 1}],
        }),
    );
    response
        .headers_mut()
        .insert("x-request-id", id.parse().unwrap());
    response
}

/// Makes a refusal.
pub fn refusal(state: &str) -> Response<Body> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
        .headers_mut()
        .insert("x-server-state", state.parse().unwrap());
    response
}
