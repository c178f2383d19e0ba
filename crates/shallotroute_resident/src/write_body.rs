//! The body of a large transaction of the store, of which one value at a time is encoded.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use shallotroute_adapter::store::WriteChunks;

/// The body of a large transaction.
#[derive(Clone, Debug)]
pub(crate) struct WriteBody(WriteChunks);

impl WriteBody {
    pub(crate) fn new(chunks: WriteChunks) -> Self {
        Self(chunks)
    }
}

impl Body for WriteBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.next_chunk().map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.remaining() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.remaining())
    }
}
