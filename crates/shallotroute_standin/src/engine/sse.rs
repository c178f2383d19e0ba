//! Streamed responses as server-sent events, with the faults of streams.

use std::collections::VecDeque;

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Response, header::CONTENT_TYPE};
use serde_json::Value;
use shallotroute_http::body::{self, Body};

use super::{
    fault::StreamFault,
    generation::Generator,
    wire::{Delta, Header},
};
use crate::server::Disconnect;

/// The event after the last chunk.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Creates a streamed response.
pub(super) fn stream_response(header: Header, generator: Generator) -> Response<Body> {
    let id = HeaderValue::from_str(&header.id);
    let writer = Writer {
        header,
        generator,
        chunks: 0,
        delayed: None,
        first: None,
        queued: VecDeque::new(),
        is_closing: false,
    };
    let events = stream::unfold(writer, |mut writer| async move {
        let event = writer.next().await?;
        Some((event.map_err(Into::into), writer))
    });
    let mut response = Response::new(body::stream(events));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    if let Ok(id) = id {
        headers.insert("x-request-id", id);
    }
    response
}

/// The state of a stream of events.
struct Writer {
    header: Header,
    generator: Generator,
    chunks: u32,
    /// The second chunk, delayed until the third one by [`StreamFault::Reordered`].
    delayed: Option<Bytes>,
    /// The first chunk, sent again by [`StreamFault::Repeated`].
    first: Option<Bytes>,
    /// The events to send next.
    queued: VecDeque<Bytes>,
    /// Whether the stream ends after the queued events.
    is_closing: bool,
}

impl Writer {
    async fn next(&mut self) -> Option<Result<Bytes, Disconnect>> {
        loop {
            if let Some(event) = self.queued.pop_front() {
                return Some(Ok(event));
            }
            if self.is_closing {
                return None;
            }
            if self.chunks > 0 && self.generator.fault() == Some(StreamFault::Cut) {
                return Some(Err(Disconnect));
            }
            match self.generator.advance().await {
                Ok(Some(delta)) => self.queue_chunk(&delta),
                Ok(None) => self.close(),
                Err(disconnect) => return Some(Err(disconnect)),
            }
        }
    }

    fn queue_chunk(&mut self, delta: &Delta) {
        let is_last = self.generator.is_complete();
        let usage = is_last.then(|| self.generator.usage());
        let event = format_event(&self.header.chunk(delta, usage));
        self.chunks += 1;
        match (self.generator.fault(), self.chunks) {
            (Some(StreamFault::Reordered), 2) if !is_last => self.delayed = Some(event),
            (Some(StreamFault::Repeated), 1) => {
                self.first = Some(event.clone());
                self.queued.push_back(event);
            }
            (Some(StreamFault::Repeated), _) if is_last => {
                self.queued.extend(self.first.take());
                self.queued.push_back(event);
            }
            (Some(StreamFault::Foreign), 1) => {
                self.queued.push_back(event);
                self.queued.push_back(self.foreign_event(delta));
            }
            (Some(StreamFault::Truncated), 1) => {
                self.queued.push_back(event);
                self.is_closing = true;
            }
            _ => {
                self.queued.push_back(event);
                self.queued.extend(self.delayed.take());
            }
        }
    }

    fn close(&mut self) {
        self.queued.extend(self.delayed.take());
        self.queued.push_back(Bytes::from_static(END_MARKER));
        self.is_closing = true;
    }

    /// Creates a chunk of a request that does not exist.
    fn foreign_event(&self, delta: &Delta) -> Bytes {
        let header = Header {
            id: "foreign".to_owned(),
            ..self.header.clone()
        };
        let delta = Delta {
            start: delta.start + delta.count,
            text: "foreign~0:0 ".to_owned(),
            count: 1,
            ..delta.clone()
        };
        format_event(&header.chunk(&delta, None))
    }
}

fn format_event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}
