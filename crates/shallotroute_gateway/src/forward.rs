//! Creates the requests that backend servers receive, and copies headers between hops.

use std::{net::SocketAddr, time::Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header};
use shallotroute_config::object::Backend;
use shallotroute_http::body::{self, Body};

use crate::ingress::{Call, X_REQUEST_ID, X_TIMEOUT};

const X_PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// The headers that are not forwarded: those of one connection, and those that the HTTP client
/// sets.
const UNFORWARDED_HEADERS: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Creates the request of the attempt with the id `attempt_id`.
///
/// # Errors
///
/// The caller's path or the id is not valid in a request.
pub(crate) fn backend_request(
    call: &Call,
    address: SocketAddr,
    attempt_id: &str,
    now: Instant,
) -> Result<Request<Body>, http::Error> {
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()?;
    let mut request = Request::new(body::full(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    match call.pool.backend {
        Backend::Engine => set_engine_headers(call, headers),
        Backend::Service => copy_end_to_end_headers(&call.headers, headers),
    }
    // The caller's key is for the gateway only; backend servers must not receive it.
    headers.remove(header::AUTHORIZATION);
    headers.insert(X_REQUEST_ID, HeaderValue::from_str(attempt_id)?);
    let time_left = call.deadline.saturating_duration_since(now).as_millis();
    let time_left = u64::try_from(time_left).unwrap_or(u64::MAX);
    headers.insert(X_TIMEOUT, HeaderValue::from(time_left));
    Ok(request)
}

fn set_engine_headers(call: &Call, headers: &mut HeaderMap) {
    for name in [header::CONTENT_TYPE, header::ACCEPT] {
        if let Some(value) = call.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    let priority = call.caller_entry.caller.class.priority();
    headers.insert(X_PRIORITY, HeaderValue::from(u16::from(priority)));
}

/// Copies the headers that are not specific to one connection (hop-by-hop).
pub(crate) fn copy_end_to_end_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let is_named_by_connection = |name: &HeaderName| {
        from.get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
    };
    let has_connection = from.contains_key(header::CONNECTION);
    for (name, value) in from {
        let is_hop_by_hop =
            UNFORWARDED_HEADERS.contains(name) || (has_connection && is_named_by_connection(name));
        if !is_hop_by_hop {
            to.append(name.clone(), value.clone());
        }
    }
}
