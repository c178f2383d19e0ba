//! One attempt at a request at one backend server.

use std::{sync::Arc, time::Duration};

use http::{HeaderName, HeaderValue, Response, StatusCode, response::Parts};
use hyper::body::{Body as _, Incoming};
use shallotroute_http::{
    body::{self, Body},
    client::{self, Client},
};
use shallotroute_routing::{
    outcome::{Evidence, Refusal},
    pool::Choice,
};
use shallotroute_types::clock::Clock;
use tokio::time::{Instant, timeout_at};

use crate::{
    entry::{Call, X_BACKEND, X_REQUEST_ID},
    failure::{Failure, Result, Step},
    forward,
    runtime::Cell,
    stream::Guarded,
};

const X_SERVER_STATE: HeaderName = HeaderName::from_static("x-server-state");

/// The longest response that is read whole before its head is sent to the caller, so that a broken
/// one can still be replaced.
pub(crate) const MAX_WHOLE_BYTES: u64 = 64 << 10;

/// When a server that refused may have room again.
const REFUSAL_RETRY: Duration = Duration::from_secs(1);

/// Counts a request as in progress at a backend server until it is dropped.
pub(crate) struct Sent {
    pool: Arc<Cell>,
    pub(crate) choice: Choice,
}

impl Sent {
    pub(crate) fn new(pool: &Arc<Cell>, choice: Choice) -> Self {
        Self {
            pool: Arc::clone(pool),
            choice,
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.pool.state().finish(&self.choice.name);
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
            Evidence::NoResponse => (StatusCode::BAD_GATEWAY, "connection_lost"),
            Evidence::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded"),
            Evidence::Foreign => (StatusCode::BAD_GATEWAY, "foreign_response"),
            Evidence::Cut | Evidence::Whole => (StatusCode::BAD_GATEWAY, "answer_cut"),
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
    let request = request.map_err(|error| {
        let message = error.to_string();
        Failure::not_run(
            StatusCode::BAD_REQUEST,
            "malformed_request",
            Step::Dispatch,
            message,
        )
    })?;
    let peer = sent.choice.name.clone();
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
    Ok(result.map_err(|evidence| Broken::new(evidence, &peer)))
}

async fn accept(
    response: Response<Incoming>,
    call: &Call,
    identity: &str,
    sent: Sent,
) -> std::result::Result<Response<Body>, Evidence> {
    let (parts, incoming) = response.into_parts();
    let state = parts.headers.get(&X_SERVER_STATE);
    let status = parts.status.as_u16();
    if let Some(refusal) = Refusal::parse(status, state.map(HeaderValue::as_bytes)) {
        return Err(Evidence::Refused(refusal));
    }
    check_identity(&parts, identity)?;
    let short = incoming
        .size_hint()
        .exact()
        .is_some_and(|size| size <= MAX_WHOLE_BYTES);
    let backend = HeaderValue::from_str(&sent.choice.name);
    let body = if short {
        let bytes = body::read(incoming, usize::MAX).await;
        body::full(bytes.map_err(|_| Evidence::Cut)?)
    } else {
        Guarded::new(incoming, sent, call.deadline).into_body()
    };
    let mut response = head(&parts, body);
    if let Ok(value) = backend {
        response.headers_mut().insert(X_BACKEND, value);
    }
    Ok(response)
}

fn check_identity(parts: &Parts, identity: &str) -> std::result::Result<(), Evidence> {
    match parts.headers.get(&X_REQUEST_ID) {
        Some(value) if value.as_bytes() != identity.as_bytes() => Err(Evidence::Foreign),
        Some(_) | None => Ok(()),
    }
}

fn head(parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    forward::end_to_end(&parts.headers, response.headers_mut());
    response.headers_mut().remove(X_REQUEST_ID);
    response
}
