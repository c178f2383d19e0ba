//! A pool of HTTP/1 connections to backend servers, to nodes that relay requests to them, or to the platform's
//! store.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use shallotroute_adapter::backend;
use shallotroute_fleet::access::Denial;
use shallotroute_peer::{service::Kind, stream};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::write_body::WriteBody;

/// The idle time before the first TCP keep-alive probe and the interval between probes: a dead
/// connection is detected within [`KEEPALIVE_PROBES`] seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// The maximum size of a connection's read and write buffers; requests and responses have a few
/// hundred bytes.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// The number of requests after which a connection is not kept, which bounds what it remembers of them.
const MAX_REQUESTS_PER_CONNECTION: usize = 256;

/// The body of a request.
pub(crate) type RequestBody = Either<Full<Bytes>, WriteBody>;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    Unsent(String),
    /// No byte of the request was sent, since neither this node nor another one reaches servers.
    NoWay(String),
    /// No byte of the request was sent, since its caller may not have it sent any more.
    Denied(Denial),
    /// The connection failed after bytes of the request were sent and before the response head
    /// arrived; the server may have run the request.
    NoResponse {
        reason: String,
        /// Whether the connection had carried a request before.
        is_reused: bool,
    },
    /// The node lost its links to the servers, or the relay failed, after bytes of the request were sent. The server
    /// may have run the request, and the failure says nothing about it.
    LinkLost(String),
}

/// Where a connection leads.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    /// A backend server or the store.
    #[display("{_0}")]
    Server(SocketAddr),
    /// A node that relays requests to backend servers, at its address for other nodes.
    #[display("relay {_0}")]
    Relay(SocketAddr),
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self::Server(address)
    }
}

/// An open connection that carries one request at a time and closes when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    /// The task that drives the connection's input and output.
    task: AbortHandle,
    endpoint: Endpoint,
    /// When the connection was opened.
    pub(crate) opened_at: Instant,
    /// Whether the connection has carried a request before, so that its server may have closed it
    /// by now.
    pub(crate) is_reused: bool,
    /// The requests that the connection has carried.
    carried: Vec<Identity>,
}

/// The identity that all attempts of a request share, as a hash. A repeated response may be taken for that to a later
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Identity(u64);

impl Identity {
    /// Returns the identity of a request. Orders have none of their own and share one. A read without an identity, such as
    /// that of a report, has none: a repeated response to it is an older state of the same process.
    fn of(request: &Request<RequestBody>) -> Option<Self> {
        let id = match backend::request_id(request.headers()) {
            Some(id) => id,
            None if request.method().is_safe() => return None,
            None => "",
        };
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Some(Self(hasher.finish()))
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// A pool of idle connections by endpoint.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Endpoint, Vec<Idle>>>,
    connect_timeout: Duration,
    /// The number of connections that were opened, or tried to be, without those to relays.
    opened: Counter,
}

impl Pool {
    /// Creates an empty pool. Every attempt to open a connection increments `opened`.
    pub(crate) fn new(connect_timeout: Duration, opened: Counter) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::new(HashMap::new()),
            connect_timeout,
            opened,
        })
    }

    /// Returns an idle connection, or opens a new one if there is none. Only for peers that answer each request once:
    /// requests for backend servers use [`Pool::take_idle_for`].
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if no connection can be opened.
    pub(crate) async fn get(&self, endpoint: impl Into<Endpoint>) -> Result<Connection, Failure> {
        let endpoint = endpoint.into();
        match self.take_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => self.open(endpoint).await,
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the server can't be reached within the pool's timeout.
    pub(crate) async fn open(&self, endpoint: impl Into<Endpoint>) -> Result<Connection, Failure> {
        let endpoint = endpoint.into();
        if matches!(endpoint, Endpoint::Server(_)) {
            self.opened.inc();
        }
        let opened = timeout(self.connect_timeout, open(endpoint)).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(Failure::Unsent(format!(
                "failed to connect to {endpoint}: {error}"
            ))),
            Err(_) => Err(Failure::Unsent(format!(
                "failed to connect to {endpoint}: timed out"
            ))),
        }
    }

    /// Returns a connection to the pool, where it stays idle for `max_idle` at most.
    pub(crate) fn put(&self, mut connection: Connection, max_idle: Duration) {
        if connection.sender.is_closed() || connection.carried.len() >= MAX_REQUESTS_PER_CONNECTION
        {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        self.with_idle(|idle| {
            let connections = idle.entry(connection.endpoint).or_default();
            connections.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            if connections.len() < MAX_IDLE_PER_ENDPOINT {
                connections.push(Idle {
                    connection,
                    expires: now + max_idle,
                });
            }
        });
    }

    /// Closes idle connections that have expired or that the server has closed.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.with_idle(|idle| {
            for connections in idle.values_mut() {
                connections
                    .retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            }
            idle.retain(|_, connections| !connections.is_empty());
        });
    }

    /// Takes an idle connection for a request, if there is one that has carried no earlier attempt of it. A server may
    /// repeat a response late, where the next one on the connection is due, and the identity does not distinguish the
    /// attempts.
    pub(crate) fn take_idle_for(
        &self,
        endpoint: Endpoint,
        request: &Request<RequestBody>,
    ) -> Option<Connection> {
        let identity = Identity::of(request);
        self.with_idle(|idle| {
            let connections = idle.get_mut(&endpoint)?;
            let found = take_usable(connections, |idle| !idle.connection.has_carried(identity));
            if found.is_none() {
                // The connection that is opened instead takes the place of one of these.
                connections.pop();
            }
            found
        })
    }

    fn take_idle(&self, endpoint: Endpoint) -> Option<Connection> {
        self.with_idle(|idle| take_usable(idle.get_mut(&endpoint)?, |_| true))
    }

    fn with_idle<T>(&self, action: impl FnOnce(&mut HashMap<Endpoint, Vec<Idle>>) -> T) -> T {
        action(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Takes the last connection that is accepted, and closes those after it that are of no more use.
fn take_usable(
    connections: &mut Vec<Idle>,
    is_accepted: impl Fn(&Idle) -> bool,
) -> Option<Connection> {
    let now = Instant::now();
    for index in (0..connections.len()).rev() {
        let idle = &connections[index];
        if idle.expires <= now || !idle.connection.sender.is_ready() {
            connections.remove(index);
        } else if is_accepted(idle) {
            return Some(connections.remove(index).connection);
        }
    }
    None
}

impl Connection {
    /// Returns whether the connection leads to its server without a relay.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.endpoint, Endpoint::Server(_))
    }

    /// Sends a request and returns the response, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Returns why there is no response. A message with a status outside 200 to 599 is none.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, Failure> {
        let identity = Identity::of(&request);
        if !self.has_carried(identity) {
            self.carried.extend(identity);
        }
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let text = format!("{}: {}", self.endpoint, error.into_error());
            match is_unsent {
                true => Failure::Unsent(text),
                false => self.no_response(text),
            }
        })?;
        // A server in trouble may send a status that ends no request, or one that HTTP does not define.
        match response.status().as_u16() {
            200..=599 => Ok(response),
            other => Err(self.no_response(format!(
                "{} answered with the status {other}, which is none of a response",
                self.endpoint
            ))),
        }
    }

    fn has_carried(&self, identity: Option<Identity>) -> bool {
        identity.is_some_and(|identity| self.carried.contains(&identity))
    }

    fn no_response(&self, reason: String) -> Failure {
        Failure::NoResponse {
            reason,
            is_reused: self.is_reused,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl From<http::Error> for Failure {
    /// Converts the error of a request that can't be built.
    fn from(error: http::Error) -> Self {
        Self::Unsent(error.to_string())
    }
}

impl Failure {
    /// Returns a description of the failure for logs.
    pub(crate) fn reason(&self) -> &str {
        match self {
            Self::Unsent(reason)
            | Self::NoWay(reason)
            | Self::NoResponse { reason, .. }
            | Self::LinkLost(reason) => reason,
            Self::Denied(denial) => denial.reason(),
        }
    }
}

async fn open(endpoint: Endpoint) -> io::Result<Connection> {
    let stream = match endpoint {
        Endpoint::Server(address) => TcpStream::connect(address).await?,
        Endpoint::Relay(address) => stream::connect(address, Kind::Relay).await?,
    };
    stream.set_nodelay(true)?;
    watch_peer(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("connection ended", kv: { peer = endpoint.to_string(), error = error.to_string() });
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        endpoint,
        opened_at: Instant::now(),
        is_reused: false,
        carried: Vec::new(),
    })
}

/// Has the system close a connection whose peer has vanished.
pub(crate) fn watch_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
