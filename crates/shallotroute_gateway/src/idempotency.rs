//! Runs non-idempotent requests with an idempotency key at most once, and replays stored responses.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use shallotroute_http::body::{self, Body, Error};
use shallotroute_routing::{
    idempotency::{self, Identity, MAX_RESPONSE_BYTES},
    quorum::{Decision, Refusal},
};
use shallotroute_types::outcome::Outcome;
use uuid::Uuid;

use crate::{
    Gateway,
    admission::Permit,
    attempt::BufferedBody,
    dispatch,
    failure::{Failure, Result, Step},
    ingress::Call,
    records::RecordGuard,
};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Returns the idempotency key of a request that must not run twice. Returns `None` if the request
/// is idempotent or has no key.
pub(crate) fn key(call: &Call) -> Option<&HeaderValue> {
    match call.is_idempotent {
        true => None,
        false => call.headers.get(IDEMPOTENCY_KEY),
    }
}

/// Dispatches a request unless one with the same key may have run.
///
/// # Errors
///
/// An earlier request may have run and its response is not stored, too few nodes can rule out an
/// earlier request, or the dispatch failed.
pub(crate) async fn run(
    gateway: &Gateway,
    call: &Call,
    key: &HeaderValue,
    permit: Arc<Permit>,
) -> Result<Response<Body>> {
    let identity = Identity::new(&call.caller_entry.caller.name, key.as_bytes());
    let now = gateway.context.clock.now();
    let lifetime = call.deadline.saturating_duration_since(now);
    let token = Uuid::try_parse(&call.id).unwrap_or_else(|_| gateway.new_request_id());
    let record_guard = match gateway.records.begin(identity, token, lifetime).await {
        Ok(record_guard) => record_guard,
        Err(Decision::Replay(response)) => {
            gateway.request_log.metrics.replays.inc();
            return Ok(stored_response(response));
        }
        Err(Decision::Refuse(Refusal::NoQuorum) | Decision::Send) => {
            let failure = refusal_failure(Refusal::NoQuorum);
            // A retry is of no use with a key that this node will never be authoritative for.
            return Err(match gateway.records.retry_after(&identity) {
                Some(wait) => failure.with_retry_after(wait),
                None => failure,
            });
        }
        Err(Decision::Refuse(refusal)) => return Err(refusal_failure(refusal)),
    };
    match dispatch::run(gateway, call, Arc::clone(&permit)).await {
        Ok(response) => Ok(record_response(response, record_guard, permit)),
        Err(failure) => {
            record_guard.finish(failure.outcome, None);
            Err(failure)
        }
    }
}

fn refusal_failure(refusal: Refusal) -> Box<Failure> {
    let (status, code, message) = match refusal {
        Refusal::Ran => (
            StatusCode::CONFLICT,
            "already_ran",
            "a request with this key ran; its response is not stored",
        ),
        Refusal::Unknown => (
            StatusCode::CONFLICT,
            "outcome_unknown",
            "a request with this key is in progress or ended in an unknown way",
        ),
        Refusal::NoQuorum => (
            StatusCode::SERVICE_UNAVAILABLE,
            "identity_unvouched",
            "too few nodes can tell whether a request with this key was sent before",
        ),
    };
    let failure = Failure::not_run(status, code, Step::Identity, message);
    failure.with_outcome(refusal.outcome())
}

fn stored_response(stored: idempotency::Response) -> Response<Body> {
    let mut response = Response::new(body::full(stored.body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
    for (name, value) in stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Stores the outcome and the response of a request once the response is complete.
fn record_response(
    mut response: Response<Body>,
    record_guard: RecordGuard,
    permit: Arc<Permit>,
) -> Response<Body> {
    let status = response.status().as_u16();
    let headers = stored_headers(response.headers());
    let head = idempotency::Response {
        status,
        headers,
        body: Vec::new(),
    };
    if let Some(BufferedBody(bytes)) = response.extensions_mut().remove::<BufferedBody>() {
        let stored = (bytes.len() <= MAX_RESPONSE_BYTES).then(|| idempotency::Response {
            body: bytes.to_vec(),
            ..head
        });
        record_guard.finish(Outcome::Ran, stored);
        return response;
    }
    response.map(|inner| {
        RecordingBody {
            inner,
            stored: Some(head),
            record_guard: Some(record_guard),
            permit,
        }
        .boxed_unsync()
    })
}

fn stored_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let headers = headers.iter().filter(|(name, _)| **name != header::DATE);
    headers
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// A response body that is recorded while it is sent to the caller.
struct RecordingBody {
    inner: Body,
    /// The response so far; `None` once its body exceeds [`MAX_RESPONSE_BYTES`].
    stored: Option<idempotency::Response>,
    record_guard: Option<RecordGuard>,
    permit: Arc<Permit>,
}

impl RecordingBody {
    fn store_chunk(&mut self, bytes: &Bytes) {
        match &mut self.stored {
            Some(stored) if stored.body.len() + bytes.len() <= MAX_RESPONSE_BYTES => {
                stored.body.extend_from_slice(bytes);
            }
            Some(_) | None => self.stored = None,
        }
    }

    fn finish(&mut self) {
        // A stream of events that breaks off ends with an error event, not with an error of its
        // body.
        if let Some(record_guard) = self.record_guard.take()
            && !self.permit.progress.is_interrupted()
        {
            record_guard.finish(Outcome::Ran, self.stored.take());
        }
    }
}

impl HttpBody for RecordingBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        match &frame {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    self.store_chunk(bytes);
                }
                if self.inner.is_end_stream() {
                    self.finish();
                }
            }
            Some(Err(_)) => self.record_guard = None,
            None => self.finish(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
