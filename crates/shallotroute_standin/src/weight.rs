//! The stand-in of the rate-limited weight store.

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

/// A store of weights that all fetchers share at a fixed rate.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

/// The sizes and rates of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The size of one version, in bytes.
    pub version_bytes: usize,
    /// Bytes a second over all fetchers together.
    pub bytes_per_second: f64,
}

/// One fetch of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: Version,
    /// When it began.
    pub at: Instant,
}

/// The size of a piece of the body, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct Shared {
    settings: Settings,
    table: Mutex<Table>,
}

#[derive(Debug)]
struct Table {
    slowdown: f64,
    versions: BTreeMap<Name, BTreeSet<Version>>,
    fetches: Vec<Fetch>,
    /// When the shared rate allows the next piece.
    free_at: Instant,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            settings,
            table: Mutex::new(Table {
                slowdown: 1.0,
                versions: BTreeMap::new(),
                fetches: Vec::new(),
                free_at: Instant::now(),
            }),
        });
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts a version in the store.
    pub fn put(&self, model: &Name, version: Version) {
        let mut table = self.shared.lock();
        table
            .versions
            .entry(model.clone())
            .or_default()
            .insert(version);
    }

    /// Divides the rate by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.lock().slowdown = factor;
    }

    /// Returns every fetch that began.
    pub fn fetches(&self) -> Vec<Fetch> {
        self.shared.lock().fetches.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }

    fn fetch(self: Arc<Self>, model: &str, version: Version) -> Reply {
        let model = Name::from(model);
        {
            let mut table = self.lock();
            let known = table
                .versions
                .get(&model)
                .is_some_and(|versions| versions.contains(&version));
            if !known {
                return message::not_found();
            }
            table.fetches.push(Fetch {
                model,
                version,
                at: Instant::now(),
            });
        }
        Ok(Response::new(self.body()))
    }

    fn body(self: Arc<Self>) -> Body {
        let size = self.settings.version_bytes;
        body::stream(stream::unfold((self, size), |(shared, left)| async move {
            let length = left.min(CHUNK_BYTES);
            if length == 0 {
                return None;
            }
            tokio::time::sleep_until(shared.reserve(length).into()).await;
            let piece = Bytes::from(vec![0; length]);
            Some((Ok(piece), (shared, left - length)))
        }))
    }

    /// Returns when a piece may be sent.
    fn reserve(&self, length: usize) -> Instant {
        let mut table = self.lock();
        let time = Duration::from_secs_f64(
            length as f64 / self.settings.bytes_per_second * table.slowdown,
        );
        table.free_at = table.free_at.max(Instant::now()) + time;
        table.free_at
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            match parse(request.uri().path()) {
                Some((model, version)) => self.fetch(model, version),
                None => message::not_found(),
            }
        })
    }
}

/// Reads `/weights/{model}/{version}`.
pub(crate) fn parse(path: &str) -> Option<(&str, Version)> {
    let (model, version) = path.strip_prefix("/weights/")?.split_once('/')?;
    Some((model, Version(version.parse().ok()?)))
}
