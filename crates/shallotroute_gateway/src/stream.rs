//! Response bodies that pass on to the caller as they arrive.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use shallotroute_http::body::{Body, Error};
use tokio::time::{Sleep, sleep_until};

use crate::attempt::Sent;

/// A response body of any content. When it breaks, the connection to the caller breaks too, which
/// shows the caller that the response is not whole.
pub(crate) struct Guarded {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    _sent: Sent,
}

impl Guarded {
    pub(crate) fn new(incoming: Incoming, sent: Sent, deadline: Instant) -> Self {
        Self {
            incoming,
            deadline: Box::pin(sleep_until(deadline.into())),
            _sent: sent,
        }
    }

    pub(crate) fn into_body(self) -> Body {
        self.boxed_unsync()
    }
}

impl HttpBody for Guarded {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        if frame.is_pending() && self.deadline.as_mut().poll(context).is_ready() {
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
