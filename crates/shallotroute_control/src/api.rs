//! The administration HTTP: routes, keys, errors.

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

/// The longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// The time after which a retry makes sense when the key-value service did not answer.
const RETRY_AFTER_MS: u64 = 1000;

/// A call of the administration HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path with `{names}` in place of variable segments.
    pub path: &'static str,
}

/// All calls.
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

/// The answer to a call, or its refusal.
type Answer = Result<Response<Body>, Refused>;

/// A refusal; boxed because it is large and rare.
type Refused = Box<Response<Body>>;

/// Answers a call.
pub(crate) async fn answer(control: Arc<Control>, request: Request<Incoming>) -> Response<Body> {
    let Some(operator) = operator::identify(&control.operators, request.headers()) else {
        control.metrics.denied();
        return *unauthorized();
    };
    dispatch(control, operator, request)
        .await
        .unwrap_or_else(|refused| *refused)
}

async fn dispatch(control: Arc<Control>, operator: Name, request: Request<Incoming>) -> Answer {
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
        (&Method::GET, ["dump"]) => Ok(body::json(StatusCode::OK, &(control.dump)())),
        (_, ["check" | "publications" | "status" | "history" | "revisions" | "dump"]) => {
            let message = "the path has no such method";
            Err(refuse(StatusCode::METHOD_NOT_ALLOWED, "method", message))
        }
        _ => Err(not_found()),
    }
}

/// The parameters of a query.
struct Query(HashMap<String, String>);

impl Query {
    fn new(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (decode(key), decode(value)))
                .collect(),
        )
    }

    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
}

/// Undoes percent encoding (RFC 3986, section 2.1); what is not valid stays as it is.
fn decode(text: &str) -> String {
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

async fn read_json<T: DeserializeOwned>(content: Incoming) -> Result<T, Refused> {
    let bytes = body::read(content, MAX_BODY_BYTES).await.map_err(|error| {
        let message = format!("the body could not be read: {error}");
        refuse(StatusCode::PAYLOAD_TOO_LARGE, "body", &message)
    })?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body is not the expected JSON: {error}");
        refuse(StatusCode::BAD_REQUEST, "body", &message)
    })
}

fn ok<T: Serialize>(value: &T) -> Answer {
    Ok(body::json(StatusCode::OK, value))
}

fn refuse(status: StatusCode, code: &str, message: &str) -> Refused {
    refuse_for(status, code, message, None)
}

fn refuse_for(
    status: StatusCode,
    code: &str,
    message: &str,
    retry_after_ms: Option<u64>,
) -> Refused {
    let fault = ErrorDetail {
        message: message.to_owned(),
        code: code.to_owned(),
        retry_after_ms,
    };
    let mut response = body::json(status, &ErrorResponse { error: fault });
    if let Some(millis) = retry_after_ms {
        let seconds = HeaderValue::from(millis.div_ceil(1000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    Box::new(response)
}

fn not_found() -> Refused {
    refuse(StatusCode::NOT_FOUND, "not_found", "there is no such thing")
}

fn unauthorized() -> Refused {
    let message = "the call needs an operator's key as `Authorization: Bearer KEY`";
    let mut response = refuse(StatusCode::UNAUTHORIZED, "unauthorized", message);
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    response
}

/// Makes the refusal of a call that failed inside; the details go to the log.
fn failed(report: &error_stack::Report<Error>) -> Refused {
    spdlog::warn!("an administration call failed: {:?}", report);
    let message = report.current_context().to_string();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    refuse_for(status, "unavailable", &message, Some(RETRY_AFTER_MS))
}
