//! Streamed answers and what goes wrong with them.

use std::collections::VecDeque;

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Response, header::CONTENT_TYPE};
use serde_json::Value;
use shallotroute_http::body::{self, Body};

use super::{
    fault::StreamFault,
    generation::Run,
    wire::{Head, Piece},
};
use crate::server::Disconnect;

/// The event after the last chunk.
const END_MARKER: &[u8] = b"data: [DONE]\n\n";

/// Makes a streamed answer.
pub(super) fn answer(head: Head, run: Run) -> Response<Body> {
    let id = HeaderValue::from_str(&head.id);
    let writer = Writer {
        head,
        run,
        chunks: 0,
        held: None,
        first: None,
        ready: VecDeque::new(),
        closing: false,
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

struct Writer {
    head: Head,
    run: Run,
    chunks: u32,
    /// The second chunk while it waits for the third.
    held: Option<Bytes>,
    first: Option<Bytes>,
    ready: VecDeque<Bytes>,
    closing: bool,
}

impl Writer {
    async fn next(&mut self) -> Option<Result<Bytes, Disconnect>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(Ok(event));
            }
            if self.closing {
                return None;
            }
            if self.chunks > 0 && self.run.fault() == Some(StreamFault::Cut) {
                return Some(Err(Disconnect));
            }
            match self.run.advance().await {
                Ok(Some(piece)) => self.queue(&piece),
                Ok(None) => self.close(),
                Err(cut) => return Some(Err(cut)),
            }
        }
    }

    fn queue(&mut self, piece: &Piece) {
        let whole = self.run.is_whole();
        let usage = whole.then(|| self.run.usage());
        let event = event(&self.head.chunk(piece, usage));
        self.chunks += 1;
        match (self.run.fault(), self.chunks) {
            (Some(StreamFault::Reordered), 2) if !whole => self.held = Some(event),
            (Some(StreamFault::Repeated), 1) => {
                self.first = Some(event.clone());
                self.ready.push_back(event);
            }
            (Some(StreamFault::Repeated), _) if whole => {
                self.ready.extend(self.first.take());
                self.ready.push_back(event);
            }
            (Some(StreamFault::Foreign), 1) => {
                self.ready.push_back(event);
                self.ready.push_back(self.foreign(piece));
            }
            (Some(StreamFault::Truncated), 1) => {
                self.ready.push_back(event);
                self.closing = true;
            }
            _ => {
                self.ready.push_back(event);
                self.ready.extend(self.held.take());
            }
        }
    }

    fn close(&mut self) {
        self.ready.extend(self.held.take());
        self.ready.push_back(Bytes::from_static(END_MARKER));
        self.closing = true;
    }

    /// Makes a chunk of a request that does not exist.
    fn foreign(&self, piece: &Piece) -> Bytes {
        let head = Head {
            id: "foreign".to_owned(),
            ..self.head.clone()
        };
        let piece = Piece {
            start: piece.start + piece.count,
            text: "foreign~0:0 ".to_owned(),
            count: 1,
            ..piece.clone()
        };
        event(&head.chunk(&piece, None))
    }
}

fn event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}
