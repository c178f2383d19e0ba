//! Sends a request to one backend server and checks the response.

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
    failure::{Failure, Result, Step},
    forward,
    ingress::{Call, X_BACKEND, X_REQUEST_ID},
    routing_state::SharedPool,
    stream::{EventStream, PassthroughBody},
};

const X_SERVER_STATE: HeaderName = HeaderName::from_static("x-server-state");

/// The maximum size at which a response without validation is buffered before its head is sent to
/// the caller. A buffered response that breaks off can be replaced by another attempt.
pub(crate) const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// The maximum size of an engine's non-streaming response.
const MAX_ENGINE_RESPONSE_BYTES: usize = 16 << 20;

/// The time after which a caller may retry when servers refuse its request or none takes work.
pub(crate) const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a buffered response, attached to the response as an extension.
#[derive(Clone)]
pub(crate) struct BufferedBody(pub(crate) Bytes);

/// A request in progress at a backend server. Dropping this counts the request as finished.
pub(crate) struct InFlight {
    pool: Arc<SharedPool>,
    pub(crate) choice: Choice,
    sent_at: std::time::Instant,
    pub(crate) permit: Arc<Permit>,
}

impl InFlight {
    pub(crate) fn new(
        pool: &Arc<SharedPool>,
        choice: Choice,
        sent_at: std::time::Instant,
        permit: Arc<Permit>,
    ) -> Self {
        Self {
            pool: Arc::clone(pool),
            choice,
            sent_at,
            permit,
        }
    }
}

impl InFlight {
    /// Updates the estimate of the server's prefix cache with the usage of a complete response.
    pub(crate) fn update_prefix_cache(&self, prefix: Option<u64>, usage: Option<&Usage>) {
        if let Some(prefix) = prefix {
            let cached = usage.and_then(Usage::cached_prompt_tokens);
            let name = &self.choice.name;
            self.pool
                .state()
                .pool
                .record_prefix(prefix, name, cached, self.sent_at);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.pool.state().pool.record_finish(&self.choice.name);
    }
}

/// The failure of an attempt that produced no response for the caller.
pub(crate) struct AttemptFailure {
    pub(crate) evidence: Evidence,
    pub(crate) failure: Box<Failure>,
}

impl AttemptFailure {
    pub(crate) fn new(evidence: Evidence, server: &str) -> Self {
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
            .with_server(server)
            .with_outcome(evidence.outcome());
        let failure = match evidence {
            Evidence::NotSent | Evidence::Refused(_) => {
                failure.with_retry_after(REFUSAL_RETRY_AFTER)
            }
            _ => failure,
        };
        Self { evidence, failure }
    }
}

/// Sends a request to one server.
///
/// # Errors
///
/// The outer result fails when the request can't be sent to any server, the inner one when this
/// attempt failed.
pub(crate) async fn run(
    client: &Client,
    clock: &dyn Clock,
    call: &Call,
    attempt_number: usize,
    in_flight: InFlight,
) -> Result<std::result::Result<Response<Body>, AttemptFailure>> {
    let attempt_id = format!("{}.{attempt_number}", call.id);
    let request =
        forward::backend_request(call, in_flight.choice.address, &attempt_id, clock.now());
    let request = request.map_err(|error| malformed_request(&error))?;
    let (server, sent_at) = (in_flight.choice.name.clone(), in_flight.sent_at);
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
        process_response(response, call, &attempt_id, in_flight).await
    };
    let ended = timeout_at(deadline, exchange).await;
    let result = ended.unwrap_or(Err(Evidence::TimedOut));
    let evidence = result.as_ref().err().copied().unwrap_or(Evidence::Complete);
    let now = clock.now();
    let elapsed = now.saturating_duration_since(sent_at);
    let mut state = call.pool.state();
    state.pool.record_attempt(&server, evidence, elapsed, now);
    drop(state);
    Ok(result.map_err(|evidence| AttemptFailure::new(evidence, &server)))
}

fn malformed_request(error: &http::Error) -> Box<Failure> {
    let status = StatusCode::BAD_REQUEST;
    let message = error.to_string();
    Failure::not_run(status, "malformed_request", Step::Dispatch, message)
}

async fn process_response(
    response: Response<Incoming>,
    call: &Call,
    attempt_id: &str,
    in_flight: InFlight,
) -> std::result::Result<Response<Body>, Evidence> {
    let method = &call.method;
    let (parts, incoming) = response.into_parts();
    let state = parts.headers.get(&X_SERVER_STATE);
    let status = parts.status.as_u16();
    if let Some(refusal) = Refusal::parse(status, state.map(HeaderValue::as_bytes)) {
        return Err(Evidence::Refused(refusal));
    }
    // The path is one that engines serve, so a 404 means that the engine does not have the model: a
    // swap of weights failed partway.
    if parts.status == StatusCode::NOT_FOUND && is_inference(call) {
        return Err(Evidence::Refused(Refusal::NotLoaded));
    }
    let backend_header = HeaderValue::from_str(&in_flight.choice.name);
    let should_validate = call.pool.backend == Backend::Engine && parts.status.is_success();
    let inference = call.routing_fields.as_ref().filter(|_| should_validate);
    check_attempt_id(&parts, attempt_id, inference.is_some())?;
    let mut response = match inference {
        Some(fields) if fields.stream => {
            let stream = EventStream::new(incoming, in_flight, attempt_id, call);
            build_response(
                method,
                &parts,
                stream.wait_for_first_event().await?.into_body(),
            )
        }
        Some(fields) => {
            let bytes = body::read_response(incoming, MAX_ENGINE_RESPONSE_BYTES).await;
            let bytes = bytes.map_err(|_| Evidence::Truncated)?;
            let usage = validate_response(attempt_id, &bytes)?;
            in_flight.update_prefix_cache(fields.prefix, usage.as_ref());
            buffered_response(method, &parts, bytes)
        }
        None if is_small(&incoming) => {
            let bytes = body::read_response(incoming, usize::MAX).await;
            buffered_response(method, &parts, bytes.map_err(|_| Evidence::Truncated)?)
        }
        None => build_response(
            method,
            &parts,
            PassthroughBody::new(incoming, in_flight, call.deadline).into_body(),
        ),
    };
    if let Ok(value) = backend_header {
        response.headers_mut().insert(X_BACKEND, value);
    }
    Ok(response)
}

fn is_inference(call: &Call) -> bool {
    call.pool.backend == Backend::Engine && call.routing_fields.is_some()
}

fn is_small(incoming: &Incoming) -> bool {
    let size = incoming.size_hint().exact();
    size.is_some_and(|size| size <= MAX_BUFFERED_BYTES)
}

/// Validates an engine's non-streaming response and returns its usage, if it reports one.
fn validate_response(
    attempt_id: &str,
    bytes: &Bytes,
) -> std::result::Result<Option<Usage>, Evidence> {
    match validation::validate_body(attempt_id, bytes) {
        Ok(usage) => Ok(usage),
        Err(Fault::Foreign) => Err(Evidence::Foreign),
        Err(_) => Err(Evidence::Truncated),
    }
}

fn buffered_response(method: &Method, parts: &Parts, bytes: Bytes) -> Response<Body> {
    let mut response = build_response(method, parts, body::full(bytes.clone()));
    response.extensions_mut().insert(BufferedBody(bytes));
    response
}

/// Checks that a response belongs to the attempt. Engines must repeat the attempt's id in a header;
/// services need not, but a wrong id is an error.
fn check_attempt_id(
    parts: &Parts,
    attempt_id: &str,
    is_required: bool,
) -> std::result::Result<(), Evidence> {
    match parts.headers.get(&X_REQUEST_ID) {
        Some(value) if value.as_bytes() == attempt_id.as_bytes() => Ok(()),
        None if !is_required => Ok(()),
        Some(_) | None => Err(Evidence::Foreign),
    }
}

fn build_response(method: &Method, parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    forward::copy_end_to_end_headers(&parts.headers, response.headers_mut());
    response.headers_mut().remove(X_REQUEST_ID);
    if method == Method::HEAD
        && let Some(length) = parts.headers.get(header::CONTENT_LENGTH)
    {
        // A `HEAD` response has no body to derive the length from; a `GET` response would have this
        // one.
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length.clone());
    }
    response
}
