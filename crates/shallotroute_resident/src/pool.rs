//! A pool of HTTP/1 connections to backend servers or to the platform's store.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use prometheus_client::metrics::counter::Counter;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// The idle time before the first TCP keep-alive probe and the interval between probes: a dead
/// connection is detected within [`KEEPALIVE_PROBES`] seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// The maximum size of a connection's read and write buffers; requests and responses have a few
/// hundred bytes.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// The body of a request.
pub(crate) type RequestBody = Full<Bytes>;

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    Unsent(String),
    /// The connection failed after bytes of the request were sent and before the response head
    /// arrived; the server may have run the request.
    NoResponse(String),
}

/// An open connection that carries one request at a time and closes when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<RequestBody>,
    /// The task that drives the connection's input and output.
    task: AbortHandle,
    address: SocketAddr,
    /// Whether the connection has carried a request before, so that its server may have closed it
    /// by now.
    pub(crate) is_reused: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// A pool of idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_timeout: Duration,
    /// The number of connections that were opened, or tried to be.
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

    /// Returns an idle connection, or opens a new one if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if no connection can be opened.
    pub(crate) async fn get(&self, address: SocketAddr) -> Result<Connection, Failure> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the server can't be reached within the pool's timeout.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Connection, Failure> {
        self.opened.inc();
        let opened = timeout(self.connect_timeout, open(address)).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(Failure::Unsent(format!(
                "failed to connect to {address}: {error}"
            ))),
            Err(_) => Err(Failure::Unsent(format!(
                "failed to connect to {address}: timed out"
            ))),
        }
    }

    /// Returns a connection to the pool, where it stays idle for `max_idle` at most.
    pub(crate) fn put(&self, mut connection: Connection, max_idle: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let now = Instant::now();
        self.with_idle(|idle| {
            let connections = idle.entry(connection.address).or_default();
            connections.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            if connections.len() < MAX_IDLE_PER_ADDRESS {
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

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        self.with_idle(|idle| {
            let connections = idle.get_mut(&address)?;
            while let Some(last) = connections.pop() {
                if last.expires > now && last.connection.sender.is_ready() {
                    return Some(last.connection);
                }
            }
            None
        })
    }

    fn with_idle<T>(&self, action: impl FnOnce(&mut HashMap<SocketAddr, Vec<Idle>>) -> T) -> T {
        action(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Connection {
    /// Sends a request and returns the response, whose body is still to be read.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, Failure> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let is_unsent = error.take_message().is_some();
                let text = format!("{}: {}", self.address, error.into_error());
                match is_unsent {
                    true => Failure::Unsent(text),
                    false => Failure::NoResponse(text),
                }
            })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Failure {
    /// Returns a description of the failure for logs.
    pub(crate) fn reason(&self) -> &str {
        match self {
            Self::Unsent(reason) | Self::NoResponse(reason) => reason,
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("connection ended", kv: { peer = address.to_string(), error = error.to_string() });
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        address,
        is_reused: false,
    })
}
