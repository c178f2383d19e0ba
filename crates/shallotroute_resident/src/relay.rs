//! Passes requests on to backend servers for nodes that have lost their own links to them. A relayed request is an
//! HTTP request between two nodes; it is passed on once at most.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use shallotroute_adapter::backend;
use shallotroute_fleet::{link::State, server::Server};
use shallotroute_http::{
    body::{self, Body},
    server::{Handler, serve_connection},
};
use shallotroute_peer::stream::Service;
use shallotroute_types::{name::Name, node::Id};
use tokio::net::TcpStream;

use crate::{
    access::Outgoing,
    generate::idle_timeout,
    ingress::OpenRequest,
    link::{self, Exchange, Sender},
    metric::Metrics,
    pool::{self, Connection, Endpoint, Failure, RequestBody},
    shared::{InFlight, Shared},
};

/// The server that is to run a relayed request.
const SERVER_HEADER: HeaderName = HeaderName::from_static("shallotroute-server");

/// How far a relayed request got.
const PROGRESS_HEADER: HeaderName = HeaderName::from_static("shallotroute-progress");

/// The maximum number of requests that a node relays at a time.
const MAX_RELAYED: usize = 512;

/// How long a request is given a relay's response before its end without one counts as a failure of the relay.
const RESPONSE_PATIENCE: Duration = Duration::from_millis(500);

/// The maximum size of a request body if there is no configuration yet.
const MAX_BODY_BYTES: usize = 1 << 20;

/// How far a relayed request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The response is the server's.
    Answered,
    /// The relay does not pass it on; another one may.
    Declined,
    /// The server can't be reached. The request did not run.
    Unreachable,
    /// The connection to the server failed, and the request may have run.
    Broken,
    /// The relay lost its own links, and the request may have run.
    LinkLost,
}

impl Progress {
    fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Declined => "declined",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::LinkLost => "link_lost",
        }
    }

    fn parse(name: &[u8]) -> Option<Self> {
        [
            Self::Answered,
            Self::Declined,
            Self::Unreachable,
            Self::Broken,
            Self::LinkLost,
        ]
        .into_iter()
        .find(|progress| progress.name().as_bytes() == name)
    }
}

/// Sends a request to a server through another node. It goes to one relay at a time, and to the next only if it was
/// not sent to the server.
///
/// # Errors
///
/// Returns how far the request got.
pub(crate) async fn send(
    shared: &Shared,
    server: &Server,
    build: impl Fn() -> Result<Outgoing, Failure>,
) -> Result<Exchange, Failure> {
    let mut reason = "no other node is known to reach servers".to_owned();
    for relay in link::relays(shared, &server.id) {
        let endpoint = Endpoint::Relay(relay.address);
        let patience = Patience::new(shared, &relay.id);
        let result = send_through(shared, server, endpoint, &build).await;
        patience.end();
        let label = match &result {
            Ok(_) => "answered",
            Err(RelayFailure::Declined(_)) => "declined",
            Err(RelayFailure::Ended(_)) => "failed",
        };
        Metrics::count(&shared.metrics.relays, label);
        match result {
            Ok(exchange) => return Ok(exchange),
            Err(RelayFailure::Ended(failure)) => return Err(failure),
            Err(RelayFailure::Declined(why)) => {
                let now = shared.now();
                shared.links.record_relay_failure(&relay.id, &why, now);
                reason = why;
            }
        }
    }
    Err(Failure::NoWay(reason))
}

/// A guard that passes a relay over for a while if the request is given up without a response: the relay may be
/// suspended, so that its host still accepts connections.
struct Patience<'a> {
    shared: &'a Shared,
    relay: &'a Id,
    began_at: Instant,
    is_over: bool,
}

impl<'a> Patience<'a> {
    fn new(shared: &'a Shared, relay: &'a Id) -> Self {
        Self {
            shared,
            relay,
            began_at: shared.now(),
            is_over: false,
        }
    }

    fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Patience<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        if !self.is_over && now >= self.began_at + RESPONSE_PATIENCE {
            let links = &self.shared.links;
            links.record_relay_failure(self.relay, "a request was given up", now);
        }
    }
}

/// Why a relay returned no response of the server.
enum RelayFailure {
    /// The request was not sent to the server, and another relay may send it.
    Declined(String),
    /// Another relay is of no use, or must not be used.
    Ended(Failure),
}

async fn send_through(
    shared: &Shared,
    server: &Server,
    endpoint: Endpoint,
    build: impl Fn() -> Result<Outgoing, Failure>,
) -> Result<Exchange, RelayFailure> {
    let build = || -> Result<Request<RequestBody>, RelayFailure> {
        let mut request = build().map_err(RelayFailure::Ended)?.into_request();
        let id = HeaderValue::from_str(&server.id)
            .map_err(|error| RelayFailure::Ended(Failure::Unsent(error.to_string())))?;
        request.headers_mut().insert(SERVER_HEADER, id);
        Ok(request)
    };
    let declined = |failure: Failure| RelayFailure::Declined(failure.reason().to_owned());
    let mut connection = shared.pool.get(endpoint).await.map_err(declined)?;
    let mut result = connection.send(build()?).await;
    if connection.is_reused && matches!(result, Err(Failure::Unsent(_))) {
        connection = shared.pool.open(endpoint).await.map_err(declined)?;
        result = connection.send(build()?).await;
    }
    let mut response = match result {
        Ok(response) => response,
        Err(failure @ (Failure::Unsent(_) | Failure::NoWay(_) | Failure::Denied(_))) => {
            return Err(declined(failure));
        }
        Err(Failure::NoResponse { reason, .. } | Failure::LinkLost(reason)) => {
            return Err(RelayFailure::Ended(Failure::LinkLost(reason)));
        }
    };
    let progress = response
        .headers_mut()
        .remove(PROGRESS_HEADER)
        .and_then(|value| Progress::parse(value.as_bytes()));
    let reason = |what: &str| format!("{endpoint}: {what}");
    match progress {
        Some(Progress::Answered) => Ok((connection, response)),
        Some(Progress::Declined) => Err(RelayFailure::Declined(reason(
            "the node relays no requests now",
        ))),
        Some(Progress::Unreachable) => Err(RelayFailure::Ended(Failure::Unsent(reason(
            "the node does not reach the server",
        )))),
        Some(Progress::Broken) => Err(RelayFailure::Ended(Failure::NoResponse {
            reason: reason("the connection to the server failed"),
            is_reused: false,
        })),
        Some(Progress::LinkLost) | None => Err(RelayFailure::Ended(Failure::LinkLost(reason(
            "the node lost its links",
        )))),
    }
}

/// A service that accepts connections of nodes without links.
pub(crate) struct Acceptor {
    pub(crate) shared: Arc<Shared>,
    /// The number of requests in progress at this node, which it finishes before it exits.
    pub(crate) open_requests: Arc<AtomicUsize>,
}

impl Service for Acceptor {
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        if let Err(error) = pool::watch_peer(&stream) {
            spdlog::warn!("failed to set up a connection of another node", kv: {
                peer = peer.to_string(), error = error.to_string(),
            });
            return;
        }
        let handler = Arc::new(Requests {
            shared: Arc::clone(&self.shared),
            open_requests: Arc::clone(&self.open_requests),
        });
        tokio::spawn(serve_connection(stream, handler, peer));
    }
}

/// Handles the requests on one connection of another node.
struct Requests {
    shared: Arc<Shared>,
    open_requests: Arc<AtomicUsize>,
}

impl Handler for Requests {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let open_request = OpenRequest::new(&self.open_requests);
            let relayed = RelayedRequest::new(&self.shared);
            let progress = match pass_on(&self.shared, request, open_request, relayed).await {
                Ok(response) => return response,
                Err(progress) => progress,
            };
            spdlog::info!("request of another node was not answered", kv: {
                peer = peer.to_string(), progress = progress.name(),
            });
            let mut response = Response::new(body::empty());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            insert_progress(response.headers_mut(), progress);
            response
        })
    }
}

/// A guard that counts a request as relayed until it is dropped.
struct RelayedRequest(Arc<Shared>);

impl RelayedRequest {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.relayed.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for RelayedRequest {
    fn drop(&mut self) {
        self.0.relayed.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Passes a request on to its server and returns the server's response, whose body is still to be read.
///
/// # Errors
///
/// Returns how far the request got if there is no response.
async fn pass_on(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    open_request: OpenRequest,
    relayed: RelayedRequest,
) -> Result<Response<Body>, Progress> {
    let (mut parts, content) = request.into_parts();
    if shared.drain.is_cancelled()
        || shared.links.state() != State::Sound
        || shared.relayed.load(Ordering::Relaxed) > MAX_RELAYED
    {
        return Err(Progress::Declined);
    }
    let server = parts
        .headers
        .remove(SERVER_HEADER)
        .and_then(|id| Some(Name::from(id.to_str().ok()?)))
        .and_then(|id| shared.balancer().get(&id).cloned())
        .filter(|server| !server.is_draining)
        .ok_or(Progress::Unreachable)?;
    let id = backend::request_id(&parts.headers)
        .unwrap_or_default()
        .to_owned();
    let max_bytes = shared
        .table()
        .map_or(MAX_BODY_BYTES, |table| table.limits().max_body_bytes);
    let Ok(content) = body::read_request(content, max_bytes).await else {
        return Err(Progress::Declined);
    };
    backend::remove_hop_by_hop_headers(&mut parts.headers);
    let build = || -> Result<Outgoing, Failure> {
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::builder()
            .method(parts.method.clone())
            .uri(target)
            .body(Either::Left(Full::new(content.clone())))?;
        *request.headers_mut() = parts.headers.clone();
        Ok(Outgoing::relayed(request, shared.table().as_deref()))
    };
    let in_flight = shared.start_request(&server.id, None);
    let sent = Sender::new(shared, &server).send_direct(build).await;
    let (connection, response) = sent.map_err(|failure| match failure {
        Failure::Unsent(_) if shared.links.state() != State::Sound => Progress::Declined,
        Failure::Unsent(_) | Failure::NoWay(_) | Failure::Denied(_) => Progress::Unreachable,
        Failure::NoResponse { .. } => Progress::Broken,
        Failure::LinkLost(_) => Progress::LinkLost,
    })?;
    Metrics::count(&shared.metrics.relays, "passed_on");
    let (mut parts, content) = response.into_parts();
    let head = backend::parse_head(parts.status, &parts.headers, &id);
    shared.record_head(&server.id, &head);
    let reading = Reading {
        shared: Arc::clone(shared),
        connection: Some(connection),
        max_idle: idle_timeout(&parts.headers).filter(|_| head.has_matching_id),
        content,
        _in_flight: in_flight,
        _open_request: open_request,
        _relayed: relayed,
    };
    backend::remove_hop_by_hop_headers(&mut parts.headers);
    insert_progress(&mut parts.headers, Progress::Answered);
    let chunks = futures::stream::unfold(reading, Reading::next);
    Ok(Response::from_parts(parts, body::stream(chunks)))
}

/// A response whose body is being passed on.
struct Reading {
    shared: Arc<Shared>,
    /// `None` once the body has been read.
    connection: Option<Connection>,
    max_idle: Option<Duration>,
    content: Incoming,
    _in_flight: InFlight,
    _open_request: OpenRequest,
    _relayed: RelayedRequest,
}

impl Reading {
    /// Returns the next chunk of the body. After its end, the connection goes back to the pool.
    async fn next(mut self) -> Option<(Result<Bytes, body::Error>, Self)> {
        loop {
            match self.content.frame().await {
                Some(Ok(frame)) => {
                    if let Some(connection) = &self.connection {
                        self.shared
                            .links
                            .record_heard(connection, self.shared.now());
                    }
                    if let Ok(bytes) = frame.into_data() {
                        return Some((Ok(bytes), self));
                    }
                }
                Some(Err(error)) => return Some((Err(error.into()), self)),
                None => {
                    if let (Some(connection), Some(max_idle)) =
                        (self.connection.take(), self.max_idle)
                    {
                        self.shared.pool.put(connection, max_idle);
                    }
                    return None;
                }
            }
        }
    }
}

fn insert_progress(headers: &mut HeaderMap, progress: Progress) {
    headers.insert(PROGRESS_HEADER, HeaderValue::from_static(progress.name()));
}
