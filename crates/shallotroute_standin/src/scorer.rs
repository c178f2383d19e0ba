//! A simulated scoring service.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::BoxFuture;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use shallotroute_platform::scorer;
use shallotroute_types::sample::Identity;

use crate::{
    message,
    server::{Handler, Reply, Server},
};

/// A scoring service that derives scores from a hash of the text.
#[derive(Debug)]
pub struct Scorer {
    shared: Arc<Shared>,
    server: Server,
}

/// The faults of a scorer; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The delay of each response.
    pub delay: Duration,
    /// Every n-th request fails with status 500; 0 means none.
    pub fail_every: u64,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    requests: u64,
    scored: Vec<(Identity, f64)>,
}

impl Scorer {
    /// Starts a scorer without faults.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address at which the scorer is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults of later requests.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Returns each scored sample and its score, in order.
    pub fn scored(&self) -> Vec<(Identity, f64)> {
        self.shared.lock().scored.clone()
    }

    /// Returns the score of a text, from 0 to 1; the same for the same text.
    pub fn score_of(text: &str) -> f64 {
        let hash = blake3::hash(text.as_bytes());
        f64::from(hash.as_bytes()[0]) / f64::from(u8::MAX)
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    async fn score(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let content = message::read_body(request.into_body()).await?;
        let Ok(request) = serde_json::from_slice::<scorer::Request>(&content) else {
            return Ok(message::text(StatusCode::BAD_REQUEST, "not a sample"));
        };
        let (fault, number) = {
            let mut inner = self.lock();
            inner.requests += 1;
            (inner.fault, inner.requests)
        };
        tokio::time::sleep(fault.delay).await;
        if fault.fail_every > 0 && number.is_multiple_of(fault.fail_every) {
            return Ok(message::text(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
        }
        let score = Scorer::score_of(&request.text);
        self.lock().scored.push((request.sample, score));
        Ok(message::json(&serde_json::json!({ "score": score })))
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        match request.uri().path() {
            "/score" => Box::pin(self.score(request)),
            _ => Box::pin(async { message::not_found() }),
        }
    }
}
