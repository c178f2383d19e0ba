//! The state that an engine's requests and commands share, and its HTTP entry points.

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
    generation::Run,
    record::{Arrival, Command, Generation},
    sse,
    wire::{self, Format},
};
use crate::{
    message,
    server::{Handler, Reply},
    weight,
};

/// How long a fetch may take to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) client: Client,
    pub(super) batch: Arc<Batch>,
    /// Commands are carried out one at a time.
    pub(super) loading: tokio::sync::Mutex<()>,
    table: Mutex<Table>,
}

#[derive(Debug)]
pub(super) struct Table {
    pub(super) fault: Fault,
    pub(super) incarnation: u64,
    pub(super) models: BTreeMap<Name, Version>,
    pub(super) swapping: Option<Name>,
    /// The weights in the engine's memory, which it gives to other engines.
    pub(super) held: BTreeSet<(Name, Version)>,
    pub(super) fence: Fence,
    pub(super) cache: Cache,
    pub(super) generations: Vec<Generation>,
    pub(super) commands: Vec<Command>,
    pub(super) arrivals: Vec<Arrival>,
    report: Option<(Instant, State)>,
}

impl Shared {
    pub(super) fn new(settings: Settings) -> Arc<Self> {
        let table = Table {
            fault: Fault::default(),
            incarnation: 1,
            models: settings.models.clone(),
            swapping: None,
            held: held(&settings),
            fence: Fence(0),
            cache: Cache::new(settings.cache_blocks),
            generations: Vec::new(),
            commands: Vec::new(),
            arrivals: Vec::new(),
            report: None,
        };
        Arc::new(Self {
            client: Client::new(CONNECT_TIMEOUT),
            batch: Batch::new(settings.slots),
            loading: tokio::sync::Mutex::new(()),
            table: Mutex::new(table),
            settings,
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }

    /// Ends the incarnation, so that a command in progress no longer takes effect.
    pub(super) fn crash(&self) {
        let mut table = self.lock();
        table.incarnation += 1;
        table.swapping = None;
    }

    /// Puts the engine in the state after a start.
    pub(super) fn reset(&self) {
        let mut table = self.lock();
        table.models.clone_from(&self.settings.models);
        table.held = held(&self.settings);
        table.swapping = None;
        table.fence = Fence(0);
        table.cache = Cache::new(self.settings.cache_blocks);
        table.report = None;
    }

    pub(super) fn state(&self) -> State {
        let (running, waiting) = self.batch.load();
        let table = self.lock();
        State {
            incarnation: table.incarnation,
            models: table.models.clone(),
            swapping: table.swapping.clone(),
            running,
            waiting,
            slots: self.settings.slots,
            leaving: table.fault.refusal == Some(Refusal::Leaving),
            fence: match self.settings.fencing {
                true => table.fence,
                false => Fence(0),
            },
        }
    }

    /// Returns the state as it was at most the report lag ago.
    fn report(&self) -> State {
        let state = self.state();
        let mut table = self.lock();
        match &table.report {
            Some((at, old)) if at.elapsed() < self.settings.report_lag => old.clone(),
            _ => {
                table.report = Some((Instant::now(), state.clone()));
                state
            }
        }
    }

    async fn generate(self: Arc<Self>, request: Request<Incoming>, format: Format) -> Reply {
        let (head, content) = request.into_parts();
        let id = message::header(&head.headers, "x-request-id").unwrap_or_default();
        let priority = message::header(&head.headers, "x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let content = message::read_body(content).await?;
        let Ok(request) = serde_json::from_slice::<wire::Request>(&content) else {
            return Ok(message::text(
                StatusCode::BAD_REQUEST,
                "not a completion request",
            ));
        };
        if let Some(refusal) = self.admit(&id) {
            return Ok(refuse(refusal));
        }
        let head = wire::Head {
            format,
            id,
            model: request.model.clone(),
        };
        let Some(run) = Run::new(&self, &head, &request, priority) else {
            return Ok(message::text(StatusCode::NOT_FOUND, "model is not loaded"));
        };
        match request.stream {
            true => Ok(sse::answer(head, run)),
            false => run.whole(&head).await,
        }
    }

    /// Records an arrival and returns why it is refused, if it is.
    fn admit(&self, id: &str) -> Option<Refusal> {
        let (_, waiting) = self.batch.load();
        let mut table = self.lock();
        let overloaded = waiting as usize >= self.settings.queue;
        let refusal = table
            .fault
            .refusal
            .or(overloaded.then_some(Refusal::Overloaded));
        table.arrivals.push(Arrival {
            request_id: id.to_owned(),
            at: Instant::now(),
            refused: refusal.is_some(),
        });
        refusal
    }

    async fn give_weights(self: Arc<Self>, model: &str, version: Version) -> Reply {
        let known = self.lock().held.contains(&(Name::from(model), version));
        match known {
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
                (&Method::GET, "/state") => Ok(message::json(&self.report())),
                (&Method::POST, "/commands/load") => self.load(request).await,
                (&Method::GET, path) => match weight::parse(path) {
                    Some((model, version)) => self.give_weights(model, version).await,
                    None => message::not_found(),
                },
                _ => message::not_found(),
            }
        })
    }
}

fn held(settings: &Settings) -> BTreeSet<(Name, Version)> {
    let models = settings.models.iter();
    models
        .map(|(name, version)| (name.clone(), *version))
        .collect()
}

fn refuse(refusal: Refusal) -> Response<Body> {
    let mut response = message::text(StatusCode::SERVICE_UNAVAILABLE, refusal.header());
    let headers = response.headers_mut();
    headers.insert("x-server-state", HeaderValue::from_static(refusal.header()));
    if refusal == Refusal::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
