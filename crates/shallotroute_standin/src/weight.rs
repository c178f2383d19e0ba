//! A simulated weight store with a limited rate.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{future::BoxFuture, stream};
use http::{Request, Response};
use hyper::body::Incoming;
use shallotroute_http::body::{self, Body};
use shallotroute_types::{name::Name, version::Version};

use crate::{
    message,
    server::{Handler, Reply, Server},
};

/// A weight store whose clients share a fixed rate.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

/// The size of versions and the rate of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The size of one version, in bytes.
    pub version_bytes: usize,
    /// The rate that all clients share, in bytes a second.
    pub bytes_per_second: f64,
}

/// A fetch of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The model.
    pub model: Name,
    /// The fetched version of the model.
    pub version: Version,
    /// The start of the fetch.
    pub at: Instant,
}

/// The size of a chunk of a response body.
const CHUNK_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct Shared {
    settings: Settings,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// The factor by which the rate is divided.
    slowdown: f64,
    versions: BTreeMap<Name, BTreeSet<Version>>,
    fetches: Vec<Fetch>,
    /// The time at which the shared rate allows the next chunk.
    next_send_at: Instant,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            inner: Mutex::new(Inner {
                slowdown: 1.0,
                versions: BTreeMap::new(),
                fetches: Vec::new(),
                next_send_at: Instant::now(),
            }),
        });
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address at which the store is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a version of a model to the store.
    pub fn put(&self, model: &Name, version: Version) {
        let mut inner = self.shared.lock();
        inner
            .versions
            .entry(model.clone())
            .or_default()
            .insert(version);
    }

    /// Divides the rate by `factor`, also for fetches in progress.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.lock().slowdown = factor;
    }

    /// Returns every fetch that has started, in order.
    pub fn fetches(&self) -> Vec<Fetch> {
        self.shared.lock().fetches.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    fn fetch(self: Arc<Self>, model: &str, version: Version) -> Reply {
        let model = Name::from(model);
        {
            let mut inner = self.lock();
            let is_known = inner
                .versions
                .get(&model)
                .is_some_and(|versions| versions.contains(&version));
            if !is_known {
                return message::not_found();
            }
            inner.fetches.push(Fetch {
                model,
                version,
                at: Instant::now(),
            });
        }
        Ok(Response::new(self.body()))
    }

    fn body(self: Arc<Self>) -> Body {
        let size = self.settings.version_bytes;
        body::stream(stream::unfold(
            (self, size),
            |(shared, remaining)| async move {
                let length = remaining.min(CHUNK_BYTES);
                if length == 0 {
                    return None;
                }
                tokio::time::sleep_until(shared.reserve(length).into()).await;
                let chunk = Bytes::from(vec![0; length]);
                Some((Ok(chunk), (shared, remaining - length)))
            },
        ))
    }

    /// Reserves the shared rate for a chunk and returns the time at which the chunk may be sent.
    fn reserve(&self, length: usize) -> Instant {
        let mut inner = self.lock();
        let duration = Duration::from_secs_f64(
            length as f64 / self.settings.bytes_per_second * inner.slowdown,
        );
        inner.next_send_at = inner.next_send_at.max(Instant::now()) + duration;
        inner.next_send_at
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            match parse_path(request.uri().path()) {
                Some((model, version)) => self.fetch(model, version),
                None => message::not_found(),
            }
        })
    }
}

/// Parses the path `/weights/{model}/{version}`.
pub(crate) fn parse_path(path: &str) -> Option<(&str, Version)> {
    let (model, version) = path.strip_prefix("/weights/")?.split_once('/')?;
    Some((model, Version(version.parse().ok()?)))
}
