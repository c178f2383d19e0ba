//! Helpers to read HTTP requests and build responses.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use shallotroute_http::body::{self, Body};

use crate::server::{Disconnect, Reply};

/// The size limit of a request body.
const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Reads a request body to the end; fails when it breaks off or is too long.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Disconnect> {
    body::read(body, MAX_REQUEST_BYTES)
        .await
        .map_err(|_| Disconnect)
}

/// Creates a JSON response with status 200.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    body::json_response(StatusCode::OK, value)
}

/// Creates a plain-text response.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(body::full(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Creates a response with status 404.
pub(crate) fn not_found() -> Reply {
    Ok(text(StatusCode::NOT_FOUND, "not found"))
}

/// Returns the value of a header; none when it is absent or not ASCII.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Returns the value of a query parameter as it was sent, without decoding escapes.
pub(crate) fn query_parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Decodes the percent escapes of a path or query value; an invalid escape stays as it is.
pub(crate) fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.as_bytes();
    while let [first, tail @ ..] = remaining {
        let escape = (*first == b'%').then(|| tail.get(..2)).flatten();
        let value = escape
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(value.unwrap_or(*first));
        remaining = match value {
            Some(_) => &tail[2..],
            None => tail,
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
