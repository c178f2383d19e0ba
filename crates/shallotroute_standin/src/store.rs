//! A simulated key-value service of the platform.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use shallotroute_http::body::{self, Body};
use tokio::sync::watch;

use crate::{
    message,
    server::{Disconnect, Handler, Reply, Server},
};

/// A key-value service with compare-and-swap and watches.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

/// The faults of the service; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The delay before each call takes effect.
    pub delay: Duration,
    /// The response to every n-th write is lost after the write took effect; 0 means none.
    pub lose_every: u64,
}

/// The number of calls by kind; a watch counts once, when it begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads of a key.
    pub get: u64,
    /// Compare-and-swap writes, including those with a version conflict.
    pub swap: u64,
    /// Watches of a key.
    pub watch: u64,
    /// Lists of the keys with a prefix.
    pub list: u64,
}

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The key's version after the write.
    pub version: u64,
    /// The written value.
    pub value: Bytes,
    /// The time of the write.
    pub at: Instant,
    /// Whether the response was lost.
    pub is_response_lost: bool,
}

/// The size limit of a value; longer ones are rejected with status 413.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The maximum duration of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    /// Notifies watches of each write.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    /// The version and the value of each key.
    entries: BTreeMap<String, (u64, Bytes)>,
    counts: Counts,
    writes: Vec<Write>,
    /// The number of writes that took effect.
    write_count: u64,
}

impl Store {
    /// Starts a service without values and faults.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
        });
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address at which the service is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults of later calls.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Stops the server with all its connections, or starts it again with the same values.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound again.
    pub async fn set_down(&self, is_down: bool) -> io::Result<()> {
        if is_down {
            self.server.stop();
            return Ok(());
        }
        self.server.restart(self.shared.clone()).await
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns every write that took effect, in order.
    pub fn writes(&self) -> Vec<Write> {
        self.shared.lock().writes.clone()
    }

    /// Returns the version and the value of a key, without counting a call.
    pub fn peek(&self, key: &str) -> Option<(u64, Bytes)> {
        self.shared.lock().entries.get(key).cloned()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    async fn route(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let (head, content) = request.into_parts();
        let query = head.uri.query().map(ToOwned::to_owned);
        let query = query.as_deref();
        let delay = self.lock().fault.delay;
        let key = head
            .uri
            .path()
            .strip_prefix("/kv/")
            .map(message::percent_decode);
        match (head.method, key) {
            (Method::PUT, Some(key)) => {
                let value = message::read_body(content).await?;
                tokio::time::sleep(delay).await;
                self.compare_and_swap(&key, query, value)
            }
            (Method::GET, Some(key)) => {
                tokio::time::sleep(delay).await;
                match message::query_parameter(query, "known").and_then(|known| known.parse().ok())
                {
                    Some(known) => self.watch(&key, known, query).await,
                    None => {
                        self.lock().counts.get += 1;
                        Ok(self.read(&key))
                    }
                }
            }
            (Method::GET, None) if head.uri.path() == "/kv" => {
                tokio::time::sleep(delay).await;
                Ok(self.list(query))
            }
            _ => message::not_found(),
        }
    }

    fn read(&self, key: &str) -> Response<Body> {
        match self.lock().entries.get(key) {
            Some((version, value)) => {
                versioned_response(StatusCode::OK, *version, body::full(value.clone()))
            }
            None => message::text(StatusCode::NOT_FOUND, "no value"),
        }
    }

    fn compare_and_swap(&self, key: &str, query: Option<&str>, value: Bytes) -> Reply {
        let expected: Option<u64> =
            message::query_parameter(query, "expected").and_then(|text| text.parse().ok());
        let Some(expected) = expected else {
            return Ok(message::text(
                StatusCode::BAD_REQUEST,
                "no expected version",
            ));
        };
        if value.len() > MAX_VALUE_BYTES {
            return Ok(message::text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "value too long",
            ));
        }
        let mut inner = self.lock();
        inner.counts.swap += 1;
        let current = inner.entries.get(key).map_or(0, |(version, _)| *version);
        if current != expected {
            return Ok(versioned_response(
                StatusCode::CONFLICT,
                current,
                body::empty(),
            ));
        }
        inner.write_count += 1;
        let lose_every = inner.fault.lose_every;
        let is_response_lost = lose_every > 0 && inner.write_count.is_multiple_of(lose_every);
        let version = current + 1;
        inner
            .entries
            .insert(key.to_owned(), (version, value.clone()));
        inner.writes.push(Write {
            key: key.to_owned(),
            version,
            value,
            at: Instant::now(),
            is_response_lost,
        });
        drop(inner);
        self.changed.send_replace(());
        match is_response_lost {
            true => Err(Disconnect),
            false => Ok(versioned_response(StatusCode::OK, version, body::empty())),
        }
    }

    async fn watch(&self, key: &str, known: u64, query: Option<&str>) -> Reply {
        self.lock().counts.watch += 1;
        let wait = message::query_parameter(query, "wait_ms")
            .and_then(|text| text.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        let mut changes = self.changed.subscribe();
        let change = async {
            while self.version(key) == known {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // A watch that times out responds with the current value too.
        let _ = tokio::time::timeout(wait.min(MAX_WAIT), change).await;
        Ok(self.read(key))
    }

    fn version(&self, key: &str) -> u64 {
        self.lock()
            .entries
            .get(key)
            .map_or(0, |(version, _)| *version)
    }

    fn list(&self, query: Option<&str>) -> Response<Body> {
        let prefix =
            message::percent_decode(message::query_parameter(query, "prefix").unwrap_or_default());
        let mut inner = self.lock();
        inner.counts.list += 1;
        let keys: Vec<&String> = inner
            .entries
            .keys()
            .filter(|key| key.starts_with(&prefix))
            .collect();
        message::json(&keys)
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.route(request))
    }
}

fn versioned_response(status: StatusCode, version: u64, content: Body) -> Response<Body> {
    let mut response = Response::new(content);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("x-version", HeaderValue::from(version));
    response
}
