//! The request as a backend server receives it, and its response as the caller receives it.

use std::{net::SocketAddr, time::Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header};
use shallotroute_config::object::Backend;
use shallotroute_http::body::{self, Body};

use crate::ingress::{Call, X_REQUEST_ID, X_TIMEOUT};

const X_PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Headers that concern one connection only, and those that the HTTP client sets itself.
const CONNECTION_HEADERS: [HeaderName; 11] = [
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

/// Makes the request of one attempt, whose identity is `attempt`.
pub(crate) fn backend_request(
    call: &Call,
    address: SocketAddr,
    attempt: &str,
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
    // The key is for this service; a backend server has no use for it.
    headers.remove(header::AUTHORIZATION);
    headers.insert(X_REQUEST_ID, HeaderValue::from_str(attempt)?);
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

/// Copies the headers that are not bound to a connection.
pub(crate) fn copy_end_to_end_headers(from: &HeaderMap, to: &mut HeaderMap) {
    let named = |name: &HeaderName| {
        from.get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
    };
    let has_connection = from.contains_key(header::CONNECTION);
    for (name, value) in from {
        let bound = CONNECTION_HEADERS.contains(name) || (has_connection && named(name));
        if !bound {
            to.append(name.clone(), value.clone());
        }
    }
}
