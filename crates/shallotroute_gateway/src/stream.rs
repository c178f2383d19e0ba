//! Streams response bodies to callers as they arrive.

use std::{
    collections::VecDeque,
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use shallotroute_http::body::{Body, Error};
use shallotroute_routing::{
    outcome::Evidence,
    validation::{self, Fault, Validator},
};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{
    attempt::{AttemptFailure, InFlight},
    failure::Step,
    ingress::Call,
};

/// A response body that is forwarded without validation. When it breaks off, so does the connection
/// to the caller, which shows the caller that the response is incomplete.
pub(crate) struct PassthroughBody {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    in_flight: InFlight,
}

impl PassthroughBody {
    pub(crate) fn new(
        incoming: Incoming,
        in_flight: InFlight,
        deadline: std::time::Instant,
    ) -> Self {
        Self {
            incoming,
            deadline: Box::pin(sleep_until(deadline.into())),
            in_flight,
        }
    }

    pub(crate) fn into_body(self) -> Body {
        self.boxed_unsync()
    }
}

impl HttpBody for PassthroughBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        let progress = &self.in_flight.permit.progress;
        if let Poll::Ready(Some(Err(_))) = &frame {
            progress.record_interruption(Evidence::Truncated);
        }
        if frame.is_pending() && self.deadline.as_mut().poll(context).is_ready() {
            self.in_flight
                .permit
                .progress
                .record_interruption(Evidence::TimedOut);
            return Poll::Ready(Some(Err("the deadline is over".into())));
        }
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// The maximum size of one event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The time to wait for the end of a body after its end marker. A connection can be reused only
/// when the body was read to its end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// An engine's stream of events, validated event by event. A stream that breaks off or fails
/// validation ends with an error event in place of the end marker.
pub(crate) struct EventStream {
    incoming: Incoming,
    validator: Validator,
    /// The bytes of an incomplete event.
    partial: BytesMut,
    /// Validated events that have not been sent to the caller.
    validated: VecDeque<Bytes>,
    state: State,
    /// Expires at the request's deadline, or [`CLOSE_TIMEOUT`] after the end marker.
    timer: Pin<Box<Sleep>>,
    request_id: Arc<str>,
    prefix: Option<u64>,
    in_flight: InFlight,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// The end marker has arrived, but not the end of the body.
    MarkerReceived,
    Ended,
}

impl EventStream {
    pub(crate) fn new(
        incoming: Incoming,
        in_flight: InFlight,
        attempt_id: &str,
        call: &Call,
    ) -> Self {
        Self {
            incoming,
            validator: Validator::new(attempt_id),
            partial: BytesMut::new(),
            validated: VecDeque::new(),
            state: State::Open,
            timer: Box::pin(sleep_until(call.deadline.into())),
            request_id: Arc::clone(&call.id),
            prefix: call
                .routing_fields
                .as_ref()
                .and_then(|fields| fields.prefix),
            in_flight,
        }
    }

    /// Waits for the first validated event.
    ///
    /// # Errors
    ///
    /// The stream breaks off or fails validation before the first event.
    pub(crate) async fn wait_for_first_event(mut self) -> Result<Self, Evidence> {
        poll_fn(|context| self.poll_fill(context)).await?;
        Ok(self)
    }

    pub(crate) fn into_body(self) -> Body {
        self.boxed_unsync()
    }

    /// Reads until a validated event is available or the stream has ended.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Evidence>> {
        while self.validated.is_empty() && self.state != State::Ended {
            match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.validate_chunk(bytes).map_err(to_evidence)?;
                    }
                }
                Poll::Ready(Some(Err(_)) | None) => {
                    let is_complete = self.validator.is_done() && self.partial.is_empty();
                    self.state = State::Ended;
                    if !is_complete {
                        return Poll::Ready(Err(Evidence::Truncated));
                    }
                }
                Poll::Pending => match (self.timer.as_mut().poll(context), self.state) {
                    (Poll::Pending, _) => return Poll::Pending,
                    (Poll::Ready(()), State::Open) => return Poll::Ready(Err(Evidence::TimedOut)),
                    (Poll::Ready(()), State::MarkerReceived | State::Ended) => {
                        self.state = State::Ended
                    }
                },
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Splits a chunk into events and validates each one. Events that arrive together are sent to
    /// the caller together.
    fn validate_chunk(&mut self, mut bytes: Bytes) -> validation::Result<()> {
        let mut search_from = 0;
        if !self.partial.is_empty() {
            // The delimiter of an event may be split between chunks, so the search starts before
            // the new bytes.
            search_from = self.partial.len().saturating_sub(3);
            self.partial.extend_from_slice(&bytes);
            bytes = self.partial.split().freeze();
        }
        let mut valid_length = 0;
        let result = loop {
            let Some(length) = validation::event_length(&bytes[valid_length..], search_from) else {
                break Ok(());
            };
            search_from = 0;
            if let Err(fault) = self
                .validator
                .validate_event(&bytes[valid_length..valid_length + length])
            {
                break Err(fault);
            }
            valid_length += length;
        };
        if valid_length > 0 {
            self.validated.push_back(bytes.split_to(valid_length));
        }
        result?;
        if self.validator.is_done() && self.state == State::Open {
            self.state = State::MarkerReceived;
            self.in_flight
                .update_prefix_cache(self.prefix, self.validator.usage());
            self.timer.as_mut().reset(Instant::now() + CLOSE_TIMEOUT);
        }
        if bytes.len() > MAX_EVENT_BYTES {
            return Err(Fault::Malformed);
        }
        self.partial.extend_from_slice(&bytes);
        Ok(())
    }

    /// Creates the event that tells the caller that the stream broke off.
    fn error_event(&self, evidence: Evidence) -> Bytes {
        let attempt_failure = AttemptFailure::new(evidence, &self.in_flight.choice.name);
        let mut failure = attempt_failure.failure;
        failure.code = "answer_cut";
        failure.step = Step::Response;
        failure.message = format!("the response broke off: {evidence}");
        format!("data: {}\n\n", failure.to_json(&self.request_id)).into()
    }
}

fn to_evidence(fault: Fault) -> Evidence {
    match fault {
        Fault::Foreign => Evidence::Foreign,
        Fault::Gap { .. } | Fault::Malformed | Fault::Incomplete | Fault::EngineError => {
            Evidence::Truncated
        }
    }
}

impl HttpBody for EventStream {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Err(evidence) = ready!(self.poll_fill(context)) {
            self.state = State::Ended;
            self.in_flight.permit.progress.record_interruption(evidence);
            let event = self.error_event(evidence);
            self.validated.push_back(event);
        }
        Poll::Ready(
            self.validated
                .pop_front()
                .map(|event| Ok(Frame::data(event))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.validated.is_empty() && self.state == State::Ended
    }
}
