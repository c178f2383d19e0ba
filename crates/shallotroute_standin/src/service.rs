//! A simulated plain service, some of whose requests must not be repeated.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use shallotroute_http::body;

use crate::{
    message,
    server::{Disconnect, Handler, Reply, Server},
};

/// A plain service that echoes the body of each request.
#[derive(Debug)]
pub struct Service {
    name: String,
    shared: Arc<Shared>,
    server: Server,
}

/// The faults of a service; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// The duration of each request.
    pub delay: Duration,
    /// The response to every n-th request is lost after the request ran; 0 means none.
    pub lose_every: u64,
    /// Rejects all requests as a leaving server does.
    pub leaving: bool,
}

/// A request that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The identity that the caller gave the request in `Idempotency-Key`.
    pub identity: Option<String>,
    /// The identity that the node gave the attempt in `X-Request-Id`.
    pub request_id: Option<String>,
    /// The request path.
    pub path: String,
    /// The time of arrival.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    answers: u64,
    refused: u64,
    last_arrival: Option<Instant>,
    runs: Vec<Run>,
}

impl Service {
    /// Starts a service without faults.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(name: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(shared.clone()).await?;
        Ok(Self {
            name: name.to_owned(),
            shared,
            server,
        })
    }

    /// Returns the name of the service.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address at which the service is served, which a restart keeps.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults of later requests.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Closes the listener and all connections; requests in progress are lost.
    pub fn crash(&self) {
        self.server.stop();
    }

    /// Serves again after a crash, with the same records and faults.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart(self.shared.clone()).await
    }

    /// Returns every request that ran, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns the number of runs by the caller's identity of the request.
    pub fn runs_by_identity(&self) -> HashMap<String, u64> {
        let mut counts = HashMap::new();
        for identity in self
            .shared
            .lock()
            .runs
            .iter()
            .filter_map(|run| run.identity.clone())
        {
            *counts.entry(identity).or_default() += 1;
        }
        counts
    }

    /// Returns the time of the last arrival, including rejected requests; none before the first.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.shared.lock().last_arrival
    }

    /// Returns the number of requests that were rejected and not run.
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let run = Run {
            identity: message::header(request.headers(), "idempotency-key"),
            request_id: message::header(request.headers(), "x-request-id"),
            path: request.uri().path().to_owned(),
            at: Instant::now(),
        };
        let content = message::read_body(request.into_body()).await?;
        let fault = {
            let mut inner = self.lock();
            inner.last_arrival = Some(run.at);
            if inner.fault.leaving {
                inner.refused += 1;
                return Ok(leaving_response());
            }
            inner.runs.push(run);
            inner.fault
        };
        if !fault.delay.is_zero() {
            tokio::time::sleep(fault.delay).await;
        }
        let number = {
            let mut inner = self.lock();
            inner.answers += 1;
            inner.answers
        };
        if fault.lose_every > 0 && number.is_multiple_of(fault.lose_every) {
            return Err(Disconnect);
        }
        Ok(Response::new(body::full(content)))
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(self.run(request))
    }
}

fn leaving_response() -> Response<body::Body> {
    let mut response = message::text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONNECTION,
        http::HeaderValue::from_static("close"),
    );
    headers.insert("x-server-state", http::HeaderValue::from_static("leaving"));
    response
}
