//! The stand-in of the platform's key-value service.

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

/// A key-value service.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// How long each call waits before it takes effect.
    pub delay: Duration,
    /// Every n-th write loses its answer after it took effect; 0 loses none.
    pub lose_every: u64,
}

/// Calls by kind; a pending watch counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads of a key.
    pub get: u64,
    /// Writes, those in conflict included.
    pub swap: u64,
    /// Watches.
    pub watch: u64,
    /// Lists of keys.
    pub list: u64,
}

/// One write that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its version after the write.
    pub version: u64,
    /// The value.
    pub value: Bytes,
    /// When.
    pub at: Instant,
    /// Whether the answer was lost.
    pub lost: bool,
}

/// The longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Table {
    fault: Fault,
    entries: BTreeMap<String, (u64, Bytes)>,
    counts: Counts,
    writes: Vec<Write>,
    swaps: u64,
}

impl Store {
    /// Starts an empty service.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            table: Mutex::default(),
            changed: watch::Sender::new(()),
        });
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Stops answering, with all connections closed, or starts again with the same values.
    ///
    /// # Errors
    ///
    /// The address can't be bound again.
    pub async fn set_down(&self, down: bool) -> io::Result<()> {
        if down {
            self.server.stop();
            return Ok(());
        }
        self.server.restart(self.shared.clone()).await
    }

    /// Returns the calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// Returns every write that took effect, in order.
    pub fn writes(&self) -> Vec<Write> {
        self.shared.lock().writes.clone()
    }

    /// Returns a key's value and version without counting a call.
    pub fn peek(&self, key: &str) -> Option<(u64, Bytes)> {
        self.shared.lock().entries.get(key).cloned()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
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
                self.swap(&key, query, value)
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
                versioned(StatusCode::OK, *version, body::full(value.clone()))
            }
            None => message::text(StatusCode::NOT_FOUND, "no value"),
        }
    }

    fn swap(&self, key: &str, query: Option<&str>, value: Bytes) -> Reply {
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
        let mut table = self.lock();
        table.counts.swap += 1;
        let found = table.entries.get(key).map_or(0, |(version, _)| *version);
        if found != expected {
            return Ok(versioned(StatusCode::CONFLICT, found, body::empty()));
        }
        table.swaps += 1;
        let lose_every = table.fault.lose_every;
        let lost = lose_every > 0 && table.swaps.is_multiple_of(lose_every);
        let version = found + 1;
        table
            .entries
            .insert(key.to_owned(), (version, value.clone()));
        table.writes.push(Write {
            key: key.to_owned(),
            version,
            value,
            at: Instant::now(),
            lost,
        });
        drop(table);
        self.changed.send_replace(());
        match lost {
            true => Err(Disconnect),
            false => Ok(versioned(StatusCode::OK, version, body::empty())),
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
        // The time limit only ends the wait; the answer is the value at that moment either way.
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
        let mut table = self.lock();
        table.counts.list += 1;
        let keys: Vec<&String> = table
            .entries
            .keys()
            .filter(|key| key.starts_with(&prefix))
            .collect();
        message::json(&keys)
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.answer(request))
    }
}

fn versioned(status: StatusCode, version: u64, content: Body) -> Response<Body> {
    let mut response = Response::new(content);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("x-version", HeaderValue::from(version));
    response
}
