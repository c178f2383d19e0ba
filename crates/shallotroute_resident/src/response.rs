//! HTTP responses that the node itself gives, without a backend server.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use shallotroute_adapter::caller;
use shallotroute_fleet::access::Denial;
use shallotroute_http::body::{self, Body};

/// Returns a 503 response that says that the request did not run and never will, with the time
/// after which the caller may retry.
pub(crate) fn not_run(retry_after: Duration) -> Response<Body> {
    let mut response = text(
        StatusCode::SERVICE_UNAVAILABLE,
        "the request did not run; try again later",
    );
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a request that may not be sent: it did not run and never will.
pub(crate) fn denied(denial: Denial) -> Response<Body> {
    match denial {
        Denial::Unauthorized => {
            let mut response = text(StatusCode::UNAUTHORIZED, "a valid API key is required");
            let headers = response.headers_mut();
            headers.insert(header::WWW_AUTHENTICATE, caller::challenge());
            response
        }
        Denial::Stale { retry_after } => not_run(retry_after),
    }
}

/// Returns a response with a plain-text body.
pub(crate) fn text(status: StatusCode, content: &str) -> Response<Body> {
    let mut response = Response::new(body::full(content.to_owned()));
    *response.status_mut() = status;
    response
}
