//! The stand-in of a plain service, some of whose calls must not be repeated.

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

/// A plain service that echoes each request's body.
#[derive(Debug)]
pub struct Service {
    name: String,
    shared: Arc<Shared>,
    server: Server,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// How long each request takes.
    pub delay: Duration,
    /// Every n-th answer is lost after the request ran; 0 loses none.
    pub lose_every: u64,
    /// Refuses all requests as a leaving server does.
    pub leaving: bool,
}

/// One request that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The caller's identity of the request, from `Idempotency-Key`.
    pub identity: Option<String>,
    /// The system's identity of the attempt, from `X-Request-Id`.
    pub request_id: Option<String>,
    /// The path.
    pub path: String,
    /// When it ran.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Shared {
    book: Mutex<Book>,
}

#[derive(Debug, Default)]
struct Book {
    fault: Fault,
    answers: u64,
    refused: u64,
    last_arrival: Option<Instant>,
    runs: Vec<Run>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub async fn start(name: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(shared.clone()).await?;
        Ok(Self {
            name: name.to_owned(),
            shared,
            server,
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Closes the listener and all connections.
    pub fn crash(&self) {
        self.server.stop();
    }

    /// Serves again.
    ///
    /// # Errors
    ///
    /// The address can't be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart(self.shared.clone()).await
    }

    /// Returns every request that ran.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Returns how often each identity ran.
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

    /// Returns when the last request arrived, refused ones included, if one did.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.shared.lock().last_arrival
    }

    /// Returns how many requests were refused and not run.
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().expect("no holder of the lock panics")
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
            let mut book = self.lock();
            book.last_arrival = Some(run.at);
            if book.fault.leaving {
                book.refused += 1;
                return Ok(refusal());
            }
            book.runs.push(run);
            book.fault
        };
        if !fault.delay.is_zero() {
            tokio::time::sleep(fault.delay).await;
        }
        let number = {
            let mut book = self.lock();
            book.answers += 1;
            book.answers
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

fn refusal() -> Response<body::Body> {
    let mut response = message::text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONNECTION,
        http::HeaderValue::from_static("close"),
    );
    headers.insert("x-server-state", http::HeaderValue::from_static("leaving"));
    response
}
