//! Non-idempotent requests with a key: at most one run, and the stored response for a repetition.

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
    attempt::Whole,
    dispatch,
    entry::Call,
    failure::{Failure, Result, Step},
    records::Entry,
};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Returns the key of a request that must not run twice.
pub(crate) fn key(call: &Call) -> Option<&HeaderValue> {
    match call.idempotent {
        true => None,
        false => call.headers.get(IDEMPOTENCY_KEY),
    }
}

/// Sends a request unless one with the same key may have run.
pub(crate) async fn run(
    gateway: &Gateway,
    call: &Call,
    key: &HeaderValue,
    permit: Arc<Permit>,
) -> Result<Response<Body>> {
    let identity = Identity::new(&call.client.caller.name, key.as_bytes());
    let now = gateway.context.clock.now();
    let lifetime = call.deadline.saturating_duration_since(now);
    let token = Uuid::try_parse(&call.id).unwrap_or_else(|_| gateway.identity());
    let entry = match gateway.records.begin(identity, token, lifetime).await {
        Ok(entry) => entry,
        Err(Decision::Replay(response)) => {
            gateway.journal.metrics.replays.inc();
            return Ok(stored(response));
        }
        Err(Decision::Refuse(Refusal::NoQuorum) | Decision::Send) => {
            let failure = refused(Refusal::NoQuorum);
            // A hint to come back would be wrong for a key that no node will ever vouch for.
            return Err(match gateway.records.vouches_in(&identity) {
                Some(wait) => failure.with_retry_after(wait),
                None => failure,
            });
        }
        Err(Decision::Refuse(refusal)) => return Err(refused(refusal)),
    };
    match dispatch::run(gateway, call, Arc::clone(&permit)).await {
        Ok(response) => Ok(record(response, entry, permit)),
        Err(failure) => {
            entry.finish(failure.outcome, None);
            Err(failure)
        }
    }
}

fn refused(refusal: Refusal) -> Box<Failure> {
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

fn stored(stored: idempotency::Response) -> Response<Body> {
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

/// Stores the end of a request with its response when the response is whole.
fn record(mut response: Response<Body>, entry: Entry, permit: Arc<Permit>) -> Response<Body> {
    let status = response.status().as_u16();
    let headers = headers(response.headers());
    let head = idempotency::Response {
        status,
        headers,
        body: Vec::new(),
    };
    if let Some(Whole(bytes)) = response.extensions_mut().remove::<Whole>() {
        let stored = (bytes.len() <= MAX_RESPONSE_BYTES).then(|| idempotency::Response {
            body: bytes.to_vec(),
            ..head
        });
        entry.finish(Outcome::Ran, stored);
        return response;
    }
    response.map(|inner| {
        Recorded {
            inner,
            stored: Some(head),
            entry: Some(entry),
            permit,
        }
        .boxed_unsync()
    })
}

fn headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let headers = headers.iter().filter(|(name, _)| **name != header::DATE);
    headers
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// A response body that is stored as it passes on.
struct Recorded {
    inner: Body,
    /// The response so far; none when it is too long.
    stored: Option<idempotency::Response>,
    entry: Option<Entry>,
    permit: Arc<Permit>,
}

impl Recorded {
    fn keep(&mut self, bytes: &Bytes) {
        match &mut self.stored {
            Some(stored) if stored.body.len() + bytes.len() <= MAX_RESPONSE_BYTES => {
                stored.body.extend_from_slice(bytes);
            }
            Some(_) | None => self.stored = None,
        }
    }

    fn finish(&mut self) {
        // A broken stream of events ends with an error event, not with an error of its body.
        if let Some(entry) = self.entry.take()
            && !self.permit.progress.is_broken()
        {
            entry.finish(Outcome::Ran, self.stored.take());
        }
    }
}

impl HttpBody for Recorded {
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
                    self.keep(bytes);
                }
                if self.inner.is_end_stream() {
                    self.finish();
                }
            }
            Some(Err(_)) => self.entry = None,
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
