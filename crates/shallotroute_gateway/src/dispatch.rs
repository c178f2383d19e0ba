//! Attempts at a request until one gives a response.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use shallotroute_http::body::{Body, Error};
use shallotroute_routing::pool::Choice;
use shallotroute_types::outcome::Outcome;

use crate::{
    Gateway,
    entry::{Call, X_BACKEND, X_REQUEST_ID},
    failure::{Failure, Result, Step},
    forward,
    runtime::Cell,
};

/// Counts a request as in progress at a backend server until it is dropped.
pub(crate) struct Sent {
    pool: Arc<Cell>,
    choice: Choice,
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.pool.state().finish(&self.choice.name);
    }
}

/// Sends a request and returns the head of its response.
pub(crate) async fn run(gateway: &Arc<Gateway>, call: Call) -> Result<Response<Body>> {
    let choice = call.pool.state().choose(&[]).ok_or_else(|| {
        let message = format!(
            "no backend server of the pool `{}` takes work",
            call.route.pool
        );
        Failure::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_server",
            Step::Selection,
            message,
        )
    })?;
    let sent = Sent {
        pool: Arc::clone(&call.pool),
        choice,
    };
    let now = gateway.context.clock.now();
    let request = forward::request(&call, sent.choice.address, &call.id, now).map_err(|error| {
        let message = error.to_string();
        Failure::not_run(
            StatusCode::BAD_REQUEST,
            "malformed_request",
            Step::Dispatch,
            message,
        )
    })?;
    let response = gateway.client.send(request).await.map_err(|report| {
        let message = report.current_context().to_string();
        Failure::not_run(
            StatusCode::BAD_GATEWAY,
            "send_failed",
            Step::Dispatch,
            message,
        )
        .with_peer(sent.choice.name.as_str())
        .with_outcome(Outcome::Unknown)
    })?;
    Ok(pass(response, sent))
}

fn pass(response: Response<Incoming>, sent: Sent) -> Response<Body> {
    let (parts, incoming) = response.into_parts();
    let backend = HeaderValue::from_str(&sent.choice.name);
    let body = Guarded {
        incoming,
        _sent: sent,
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = parts.status;
    forward::end_to_end(&parts.headers, response.headers_mut());
    response.headers_mut().remove(X_REQUEST_ID);
    if let Ok(value) = backend {
        response.headers_mut().insert(X_BACKEND, value);
    }
    response
}

/// A response body that passes on as it arrives.
struct Guarded {
    incoming: Incoming,
    _sent: Sent,
}

impl HttpBody for Guarded {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.incoming)
            .poll_frame(context)
            .map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
