//! Answers that the node itself gives.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use shallotroute_http::body::{self, Body};

/// Says that the request did not run and never will, and when it may come again.
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

/// Makes an answer of a status and a sentence.
pub(crate) fn text(status: StatusCode, sentence: &str) -> Response<Body> {
    let mut response = Response::new(body::full(sentence.to_owned()));
    *response.status_mut() = status;
    response
}
