//! The administration API over HTTP: routes, authentication and error responses.

use std::{collections::HashMap, sync::Arc};

use data_encoding::HEXLOWER_PERMISSIVE;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use shallotroute_config::api::{ErrorDetail, ErrorResponse};
use shallotroute_http::body::{self, Body};
use shallotroute_types::name::Name;

use crate::{Control, error::Error, operator};

mod reading;
mod writing;

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 32 << 20;

/// The recommended delay before a retry while the key-value service is unavailable.
const RETRY_AFTER_MS: u64 = 1000;

/// A call of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method, in upper case.
    pub method: &'static str,
    /// The path, with a name in braces in place of each variable segment, such as `{id}`.
    pub path: &'static str,
}

/// All calls of the API. A test compares them with `docs/openapi.yaml`.
pub const ROUTES: [Route; 9] = [
    route("POST", "/admin/v1/check"),
    route("POST", "/admin/v1/publications"),
    route("GET", "/admin/v1/publications/{id}"),
    route("GET", "/admin/v1/status"),
    route("GET", "/admin/v1/history"),
    route("GET", "/admin/v1/revisions"),
    route("GET", "/admin/v1/revisions/{revision}"),
    route("GET", "/admin/v1/samples/{trainer}/{step}/{group}/{index}"),
    route("GET", "/admin/v1/dump"),
];

const fn route(method: &'static str, path: &'static str) -> Route {
    Route { method, path }
}

/// The response to a call that succeeded, or the error response to one that failed.
type HandlerResult = Result<Response<Body>, Rejection>;

/// An error response; boxed because it is large and rare.
type Rejection = Box<Response<Body>>;

/// Responds to a call; one without the key of an operator gets 401.
pub(crate) async fn respond(control: Arc<Control>, request: Request<Incoming>) -> Response<Body> {
    let Some(operator) = operator::identify(&control.operators, request.headers()) else {
        control.metrics.count_denied_call();
        return *unauthorized();
    };
    dispatch(control, operator, request)
        .await
        .unwrap_or_else(|rejection| *rejection)
}

async fn dispatch(
    control: Arc<Control>,
    operator: Name,
    request: Request<Incoming>,
) -> HandlerResult {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let query = Query::new(head.uri.query().unwrap_or_default());
    let Some(segments) = segments.strip_prefix(&["admin", "v1"]) else {
        return Err(not_found());
    };
    match (&head.method, segments) {
        (&Method::POST, ["check"]) => writing::check(&control, &read_json(body).await?).await,
        (&Method::POST, ["publications"]) => {
            writing::publish(&control, operator, read_json(body).await?).await
        }
        (&Method::GET, ["publications", identity]) => writing::lookup(&control, identity).await,
        (&Method::GET, ["status"]) => reading::status(&control).await,
        (&Method::GET, ["history"]) => reading::history(&control, &query).await,
        (&Method::GET, ["revisions"]) => reading::revision_at(&control, &query).await,
        (&Method::GET, ["revisions", revision]) => reading::revision(&control, revision).await,
        (&Method::GET, ["samples", trainer, step, group, index]) => {
            reading::sample(&control, trainer, step, [group, index]).await
        }
        (&Method::GET, ["dump"]) => Ok(body::json_response(StatusCode::OK, &(control.dump)())),
        (_, ["check" | "publications" | "status" | "history" | "revisions" | "dump"]) => {
            let message = "the path has no such method";
            Err(reject(StatusCode::METHOD_NOT_ALLOWED, "method", message))
        }
        _ => Err(not_found()),
    }
}

/// The decoded parameters of a query string; of repeated ones the last counts.
struct Query(HashMap<String, String>);

impl Query {
    fn new(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (percent_decode(key), percent_decode(value)))
                .collect(),
        )
    }

    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}

/// Decodes percent-encoding (RFC 3986, section 2.1). Invalid sequences stay unchanged, and invalid
/// UTF-8 is replaced by U+FFFD.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = match rest {
            [b'%', high, low, ..] => HEXLOWER_PERMISSIVE.decode(&[*high, *low]).ok(),
            _ => None,
        };
        match code {
            Some(code) => {
                bytes.extend_from_slice(&code);
                rest = &rest[3..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn read_json<T: DeserializeOwned>(content: Incoming) -> Result<T, Rejection> {
    let bytes = body::read_request(content, MAX_BODY_BYTES)
        .await
        .map_err(|error| {
            let message = format!("the body could not be read: {error}");
            reject(StatusCode::PAYLOAD_TOO_LARGE, "body", &message)
        })?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body is not the expected JSON: {error}");
        reject(StatusCode::BAD_REQUEST, "body", &message)
    })
}

fn ok<T: Serialize>(value: &T) -> HandlerResult {
    Ok(body::json_response(StatusCode::OK, value))
}

fn reject(status: StatusCode, code: &str, message: &str) -> Rejection {
    reject_with_retry(status, code, message, None)
}

fn reject_with_retry(
    status: StatusCode,
    code: &str,
    message: &str,
    retry_after_ms: Option<u64>,
) -> Rejection {
    let detail = ErrorDetail {
        message: message.to_owned(),
        code: code.to_owned(),
        retry_after_ms,
    };
    let mut response = body::json_response(status, &ErrorResponse { error: detail });
    if let Some(millis) = retry_after_ms {
        let seconds = HeaderValue::from(millis.div_ceil(1000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    Box::new(response)
}

fn not_found() -> Rejection {
    reject(StatusCode::NOT_FOUND, "not_found", "there is no such thing")
}

fn unauthorized() -> Rejection {
    let message = "the call needs an operator's key as `Authorization: Bearer KEY`";
    let mut response = reject(StatusCode::UNAUTHORIZED, "unauthorized", message);
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}

/// Creates the response to a call that failed at the key-value service. Only the log gets the
/// details.
fn unavailable(report: &error_stack::Report<Error>) -> Rejection {
    spdlog::warn!("administration call failed: {:?}", report);
    let message = report.current_context().to_string();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    reject_with_retry(status, "unavailable", &message, Some(RETRY_AFTER_MS))
}
