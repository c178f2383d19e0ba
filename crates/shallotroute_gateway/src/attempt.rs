//! One attempt at a request at one backend server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Response, StatusCode, header, response::Parts};
use hyper::body::{Body as _, Incoming};
use shallotroute_config::object::Backend;
use shallotroute_http::{
    body::{self, Body},
    client::{self, Client},
};
use shallotroute_routing::{
    outcome::{Evidence, Refusal},
    pool::Choice,
    validation::{self, Fault, Usage},
};
use shallotroute_types::clock::Clock;
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::Permit,
    entry::{Call, X_BACKEND, X_REQUEST_ID},
    failure::{Failure, Result, Step},
    forward,
    runtime::Cell,
    stream::{Checked, Guarded},
};

const X_SERVER_STATE: HeaderName = HeaderName::from_static("x-server-state");

/// The longest response that is read whole before its head is sent to the caller, so that a broken
/// one can still be replaced.
pub(crate) const MAX_WHOLE_BYTES: u64 = 64 << 10;

/// The longest non-streaming response of an engine, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// When a server that refused may have room again.
pub(crate) const REFUSAL_RETRY: Duration = Duration::from_secs(1);

/// The bytes of a response that was read whole, kept as an extension of the response.
#[derive(Clone)]
pub(crate) struct Whole(pub(crate) Bytes);

/// Counts a request as in progress at a backend server until it is dropped.
pub(crate) struct Sent {
    pool: Arc<Cell>,
    pub(crate) choice: Choice,
    at: std::time::Instant,
    pub(crate) permit: Arc<Permit>,
}

impl Sent {
    pub(crate) fn new(
        pool: &Arc<Cell>,
        choice: Choice,
        at: std::time::Instant,
        permit: Arc<Permit>,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            choice,
            at,
            permit,
        }
    }
}

impl Sent {
    /// Corrects the estimate of the server's prefix cache by a whole response.
    pub(crate) fn learn(&self, prefix: Option<u64>, usage: Option<&Usage>) {
        if let Some(prefix) = prefix {
            let cached = usage.and_then(Usage::cached_prompt_tokens);
            let name = &self.choice.name;
            self.pool
                .state()
                .pool
                .record_prefix(prefix, name, cached, self.at);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.pool.state().pool.record_finish(&self.choice.name);
    }
}

/// An attempt that gave no response to send to the caller.
pub(crate) struct Broken {
    pub(crate) evidence: Evidence,
    pub(crate) failure: Box<Failure>,
}

impl Broken {
    pub(crate) fn new(evidence: Evidence, peer: &str) -> Self {
        let (status, code) = match evidence {
            Evidence::NotSent => (StatusCode::BAD_GATEWAY, "connect_failed"),
            Evidence::Refused(Refusal::Leaving) => {
                (StatusCode::SERVICE_UNAVAILABLE, "server_leaving")
            }
            Evidence::Refused(Refusal::Overloaded) => {
                (StatusCode::SERVICE_UNAVAILABLE, "server_overloaded")
            }
            Evidence::Refused(Refusal::NotLoaded) => {
                (StatusCode::SERVICE_UNAVAILABLE, "model_not_loaded")
            }
            Evidence::NoResponse => (StatusCode::BAD_GATEWAY, "connection_lost"),
            Evidence::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded"),
            Evidence::Foreign => (StatusCode::BAD_GATEWAY, "foreign_response"),
            Evidence::Truncated | Evidence::Complete => (StatusCode::BAD_GATEWAY, "answer_cut"),
        };
        let message = format!("the backend server gave no response: {evidence}");
        let failure = Failure::not_run(status, code, Step::Dispatch, message)
            .with_peer(peer)
            .with_outcome(evidence.outcome());
        let failure = match evidence {
            Evidence::NotSent | Evidence::Refused(_) => failure.with_retry_after(REFUSAL_RETRY),
            _ => failure,
        };
        Self { evidence, failure }
    }
}

/// Sends a request once. The inner result tells how the attempt ended; the outer one fails when the
/// request can't be sent to any server.
pub(crate) async fn run(
    client: &Client,
    clock: &dyn Clock,
    call: &Call,
    number: usize,
    sent: Sent,
) -> Result<std::result::Result<Response<Body>, Broken>> {
    let identity = format!("{}.{number}", call.id);
    let request = forward::request(call, sent.choice.address, &identity, clock.now());
    let request = request.map_err(|error| malformed(&error))?;
    let (peer, at) = (sent.choice.name.clone(), sent.at);
    let deadline = Instant::from_std(call.deadline);
    let exchange = async {
        let response =
            client
                .send(request)
                .await
                .map_err(|report| match report.current_context() {
                    client::Error::Connect(_) => Evidence::NotSent,
                    _ => Evidence::NoResponse,
                })?;
        accept(response, call, &identity, sent).await
    };
    let ended = timeout_at(deadline, exchange).await;
    let result = ended.unwrap_or(Err(Evidence::TimedOut));
    let evidence = result.as_ref().err().copied().unwrap_or(Evidence::Complete);
    let now = clock.now();
    let elapsed = now.saturating_duration_since(at);
    let mut state = call.pool.state();
    state.pool.record_attempt(&peer, evidence, elapsed, now);
    drop(state);
    Ok(result.map_err(|evidence| Broken::new(evidence, &peer)))
}

fn malformed(error: &http::Error) -> Box<Failure> {
    let status = StatusCode::BAD_REQUEST;
    let message = error.to_string();
    Failure::not_run(status, "malformed_request", Step::Dispatch, message)
}

async fn accept(
    response: Response<Incoming>,
    call: &Call,
    identity: &str,
    sent: Sent,
) -> std::result::Result<Response<Body>, Evidence> {
    let method = &call.method;
    let (parts, incoming) = response.into_parts();
    let state = parts.headers.get(&X_SERVER_STATE);
    let status = parts.status.as_u16();
    if let Some(refusal) = Refusal::parse(status, state.map(HeaderValue::as_bytes)) {
        return Err(Evidence::Refused(refusal));
    }
    // The route is known, so that an engine's 404 concerns the model: a swap failed partway.
    if parts.status == StatusCode::NOT_FOUND && is_inference(call) {
        return Err(Evidence::Refused(Refusal::NotLoaded));
    }
    let backend = HeaderValue::from_str(&sent.choice.name);
    let checked = call.pool.backend == Backend::Engine && parts.status.is_success();
    let inference = call.head.as_ref().filter(|_| checked);
    check_identity(&parts, identity, inference.is_some())?;
    let mut response = match inference {
        Some(it) if it.stream => {
            let stream = Checked::new(incoming, sent, identity, call);
            head(method, &parts, stream.prime().await?.into_body())
        }
        Some(it) => {
            let bytes = body::read(incoming, MAX_ANSWER_BYTES).await;
            let bytes = bytes.map_err(|_| Evidence::Truncated)?;
            let usage = check_whole(identity, &bytes)?;
            sent.learn(it.prefix, usage.as_ref());
            whole(method, &parts, bytes)
        }
        None if is_short(&incoming) => {
            let bytes = body::read(incoming, usize::MAX).await;
            whole(method, &parts, bytes.map_err(|_| Evidence::Truncated)?)
        }
        None => head(
            method,
            &parts,
            Guarded::new(incoming, sent, call.deadline).into_body(),
        ),
    };
    if let Ok(value) = backend {
        response.headers_mut().insert(X_BACKEND, value);
    }
    Ok(response)
}

fn is_inference(call: &Call) -> bool {
    call.pool.backend == Backend::Engine && call.head.is_some()
}

fn is_short(incoming: &Incoming) -> bool {
    let size = incoming.size_hint().exact();
    size.is_some_and(|size| size <= MAX_WHOLE_BYTES)
}

/// Checks a non-streaming response of an engine.
fn check_whole(identity: &str, bytes: &Bytes) -> std::result::Result<Option<Usage>, Evidence> {
    match validation::validate_body(identity, bytes) {
        Ok(usage) => Ok(usage),
        Err(Fault::Foreign) => Err(Evidence::Foreign),
        Err(_) => Err(Evidence::Truncated),
    }
}

fn whole(method: &Method, parts: &Parts, bytes: Bytes) -> Response<Body> {
    let mut response = head(method, parts, body::full(bytes.clone()));
    response.extensions_mut().insert(Whole(bytes));
    response
}

/// Engines repeat the identity of the attempt in their responses; services need not.
fn check_identity(
    parts: &Parts,
    identity: &str,
    required: bool,
) -> std::result::Result<(), Evidence> {
    match parts.headers.get(&X_REQUEST_ID) {
        Some(value) if value.as_bytes() == identity.as_bytes() => Ok(()),
        None if !required => Ok(()),
        Some(_) | None => Err(Evidence::Foreign),
    }
}

fn head(method: &Method, parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    forward::end_to_end(&parts.headers, response.headers_mut());
    response.headers_mut().remove(X_REQUEST_ID);
    if method == Method::HEAD
        && let Some(length) = parts.headers.get(header::CONTENT_LENGTH)
    {
        // It tells the length that the body of a `GET` would have.
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length.clone());
    }
    response
}
