//! Answers and requests that several stand-ins share.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use shallotroute_http::body::{self, Body};

use crate::server::{Disconnect, Reply};

/// The longest request body, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Reads a whole request body.
pub(crate) async fn content(body: Incoming) -> Result<Bytes, Disconnect> {
    body::read(body, MAX_REQUEST_BYTES)
        .await
        .map_err(|_| Disconnect)
}

/// Makes a JSON answer with status 200.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    body::json_response(StatusCode::OK, value)
}

/// Makes a plain-text answer.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(body::full(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Answers that there is no such path.
pub(crate) fn not_found() -> Reply {
    Ok(text(StatusCode::NOT_FOUND, "not found"))
}

/// Returns a header's text.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Returns a parameter of a query.
pub(crate) fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Decodes the percent escapes of a path or query.
pub(crate) fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let escape = (*first == b'%').then(|| tail.get(..2)).flatten();
        let value = escape
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(value.unwrap_or(*first));
        rest = match value {
            Some(_) => &tail[2..],
            None => tail,
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
