//! The state that an engine's requests and commands share, and the engine's HTTP endpoints.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONNECTION};
use hyper::body::Incoming;
use shallotroute_http::{
    body::{self, Body},
    client::Client,
};
use shallotroute_platform::engine::State;
use shallotroute_types::{fence::Fence, name::Name, version::Version};

use super::{
    Settings,
    batch::Batch,
    cache::Cache,
    fault::{Fault, Refusal},
    generation::Generator,
    record::{Arrival, Command, Generation},
    sse,
    wire::{self, Format},
};
use crate::{
    message,
    server::{Handler, Reply},
    weight,
};

/// The timeout for opening a connection to a source of weights.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) client: Client,
    pub(super) batch: Arc<Batch>,
    /// Held during a load, so that commands run one at a time.
    pub(super) load_lock: tokio::sync::Mutex<()>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) fault: Fault,
    pub(super) incarnation: u64,
    pub(super) models: BTreeMap<Name, Version>,
    pub(super) swapping: Option<Name>,
    /// The weights in the engine's memory, which it serves to other engines.
    pub(super) held_weights: BTreeSet<(Name, Version)>,
    /// The highest fencing number since the start.
    pub(super) fence: Fence,
    pub(super) cache: Cache,
    pub(super) generations: Vec<Generation>,
    pub(super) commands: Vec<Command>,
    pub(super) arrivals: Vec<Arrival>,
    /// The last reported state and when it was read.
    last_report: Option<(Instant, State)>,
}

impl Shared {
    pub(super) fn new(settings: Settings) -> Arc<Self> {
        let inner = Inner {
            fault: Fault::default(),
            incarnation: 1,
            models: settings.models.clone(),
            swapping: None,
            held_weights: initial_weights(&settings),
            fence: Fence(0),
            cache: Cache::new(settings.cache_blocks),
            generations: Vec::new(),
            commands: Vec::new(),
            arrivals: Vec::new(),
            last_report: None,
        };
        Arc::new(Self {
            client: Client::new(CONNECT_TIMEOUT),
            batch: Batch::new(settings.slots),
            load_lock: tokio::sync::Mutex::new(()),
            inner: Mutex::new(inner),
            settings,
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Starts a new incarnation, so that a command in progress no longer takes effect.
    pub(super) fn crash(&self) {
        let mut inner = self.lock();
        inner.incarnation += 1;
        inner.swapping = None;
    }

    /// Resets the engine to its state after a start, with its records and faults unchanged.
    pub(super) fn reset(&self) {
        let mut inner = self.lock();
        inner.models.clone_from(&self.settings.models);
        inner.held_weights = initial_weights(&self.settings);
        inner.swapping = None;
        inner.fence = Fence(0);
        inner.cache = Cache::new(self.settings.cache_blocks);
        inner.last_report = None;
    }

    pub(super) fn state(&self) -> State {
        let (running, waiting) = self.batch.counts();
        let inner = self.lock();
        State {
            incarnation: inner.incarnation,
            models: inner.models.clone(),
            swapping: inner.swapping.clone(),
            running,
            waiting,
            slots: self.settings.slots,
            leaving: inner.fault.refusal == Some(Refusal::Leaving),
            fence: match self.settings.fencing {
                true => inner.fence,
                false => Fence(0),
            },
        }
    }

    /// Returns the state as it was at most the report lag ago.
    fn reported_state(&self) -> State {
        let state = self.state();
        let mut inner = self.lock();
        match &inner.last_report {
            Some((at, old)) if at.elapsed() < self.settings.report_lag => old.clone(),
            _ => {
                inner.last_report = Some((Instant::now(), state.clone()));
                state
            }
        }
    }

    async fn generate(self: Arc<Self>, request: Request<Incoming>, format: Format) -> Reply {
        let (parts, body) = request.into_parts();
        let id = message::header(&parts.headers, "x-request-id").unwrap_or_default();
        let priority = message::header(&parts.headers, "x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let content = message::read_body(body).await?;
        let Ok(request) = serde_json::from_slice::<wire::Request>(&content) else {
            return Ok(message::text(
                StatusCode::BAD_REQUEST,
                "not a completion request",
            ));
        };
        if let Some(refusal) = self.admit(&id) {
            return Ok(refusal_response(refusal));
        }
        let header = wire::Header {
            format,
            id,
            model: request.model.clone(),
        };
        let Some(generator) = Generator::new(&self, &header, &request, priority) else {
            return Ok(message::text(StatusCode::NOT_FOUND, "model is not loaded"));
        };
        match request.stream {
            true => Ok(sse::stream_response(header, generator)),
            false => generator.respond(&header).await,
        }
    }

    /// Records an arrival and returns the reason to reject it; none when the engine accepts it.
    fn admit(&self, id: &str) -> Option<Refusal> {
        let (_, waiting) = self.batch.counts();
        let mut inner = self.lock();
        let is_overloaded = waiting as usize >= self.settings.queue;
        let refusal = inner
            .fault
            .refusal
            .or(is_overloaded.then_some(Refusal::Overloaded));
        inner.arrivals.push(Arrival {
            request_id: id.to_owned(),
            at: Instant::now(),
            was_refused: refusal.is_some(),
        });
        refusal
    }

    async fn serve_weights(self: Arc<Self>, model: &str, version: Version) -> Reply {
        let is_held = self
            .lock()
            .held_weights
            .contains(&(Name::from(model), version));
        match is_held {
            true => Ok(Response::new(body::full("weights"))),
            false => message::not_found(),
        }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            match (request.method(), path.as_str()) {
                (&Method::POST, "/v1/completions") => {
                    self.generate(request, Format::Completion).await
                }
                (&Method::POST, "/v1/chat/completions") => {
                    self.generate(request, Format::Chat).await
                }
                (&Method::GET, "/state") => Ok(message::json(&self.reported_state())),
                (&Method::POST, "/commands/load") => self.load(request).await,
                (&Method::GET, path) => match weight::parse_path(path) {
                    Some((model, version)) => self.serve_weights(model, version).await,
                    None => message::not_found(),
                },
                _ => message::not_found(),
            }
        })
    }
}

fn initial_weights(settings: &Settings) -> BTreeSet<(Name, Version)> {
    let models = settings.models.iter();
    models
        .map(|(name, version)| (name.clone(), *version))
        .collect()
}

fn refusal_response(refusal: Refusal) -> Response<Body> {
    let mut response = message::text(StatusCode::SERVICE_UNAVAILABLE, refusal.header());
    let headers = response.headers_mut();
    headers.insert("x-server-state", HeaderValue::from_static(refusal.header()));
    if refusal == Refusal::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
