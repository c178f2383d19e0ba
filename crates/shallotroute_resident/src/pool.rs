//! Connections to backend servers and to the platform's store, kept open between requests.

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

/// The first keep-alive probe of a silent connection, and the pause between two: a connection that
/// is silent for good is found within [`KEEPALIVE_PROBES`] seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The unanswered probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The most idle connections to one address.
const MAX_IDLE: usize = 64;

/// The size at which the buffer of a connection is flushed; answers and requests are a few hundred
/// bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// The body of a request.
pub(crate) type Content = Full<Bytes>;

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No byte of it was sent.
    Unsent(String),
    /// It was sent, and the connection failed before the head of the answer.
    NoResponse(String),
}

/// An open connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Content>,
    task: AbortHandle,
    address: SocketAddr,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_timeout: Duration,
    opened: Counter,
}

impl Pool {
    /// Starts without connections; new ones are counted by `opened`.
    pub(crate) fn new(connect_timeout: Duration, opened: Counter) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::new(HashMap::new()),
            connect_timeout,
            opened,
        })
    }

    /// Returns an idle connection or a new one.
    pub(crate) async fn get(&self, address: SocketAddr) -> Result<Connection, Failure> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Connection, Failure> {
        self.opened.inc();
        let opened = timeout(self.connect_timeout, open(address)).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(Failure::Unsent(format!("connecting to {address}: {error}"))),
            Err(_) => Err(Failure::Unsent(format!("connecting to {address}: timeout"))),
        }
    }

    /// Keeps a connection for the next request, at most for `period`.
    pub(crate) fn put(&self, mut connection: Connection, period: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let now = Instant::now();
        self.with(|idle| {
            let kept = idle.entry(connection.address).or_default();
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            if kept.len() < MAX_IDLE {
                kept.push(Idle {
                    connection,
                    until: now + period,
                });
            }
        });
    }

    /// Closes idle connections whose time is over.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.with(|idle| {
            for kept in idle.values_mut() {
                kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            }
            idle.retain(|_, kept| !kept.is_empty());
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        self.with(|idle| {
            let kept = idle.get_mut(&address)?;
            while let Some(last) = kept.pop() {
                if last.until > now && last.connection.sender.is_ready() {
                    return Some(last.connection);
                }
            }
            None
        })
    }

    fn with<T>(&self, action: impl FnOnce(&mut HashMap<SocketAddr, Vec<Idle>>) -> T) -> T {
        action(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Connection {
    /// Sends a request and returns the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Content>,
    ) -> Result<Response<Incoming>, Failure> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let unsent = error.take_message().is_some();
                let text = format!("{}: {}", self.address, error.into_error());
                match unsent {
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
    /// Returns what happened.
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
        .max_buf_size(BUFFER_BYTES)
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
        reused: false,
    })
}
