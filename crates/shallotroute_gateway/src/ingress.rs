//! Accepts requests: authenticates the caller, reads the body, and determines route and deadline.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use hyper::body::Incoming;
use serde::Serialize;
use shallotroute_config::object::Route;
use shallotroute_http::{
    body::{self, Body},
    memory::{Exhausted, RETRY_AFTER},
};
use shallotroute_routing::{
    inference::RoutingFields,
    table::{self, CallerEntry},
};
use shallotroute_types::{name::Name, outcome::Outcome};
use tokio::time::timeout;

use crate::{
    Gateway, admission, dispatch,
    failure::{Failure, Result, Step},
    idempotency,
    request_log::Progress,
    routing_state::{RoutingState, SharedPool},
};

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The time within which a caller must have sent the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum time limit of a request; a longer one in `X-Request-Timeout-Ms` is reduced to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

pub(crate) const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub(crate) const X_BACKEND: HeaderName = HeaderName::from_static("x-shallotroute-backend");
pub(crate) const X_TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");
const X_NODE: HeaderName = HeaderName::from_static("x-shallotroute-node");
const X_REVISION: HeaderName = HeaderName::from_static("x-shallotroute-revision");

/// A request that was read whole, with its route, pool and deadline.
pub(crate) struct Call {
    pub(crate) id: Arc<str>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) caller_entry: Arc<CallerEntry>,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: Arc<SharedPool>,
    /// The fields of the body that routing depends on; `None` if this is not an inference request.
    pub(crate) routing_fields: Option<RoutingFields>,
    /// The base model, if the body names an adapter.
    pub(crate) base_model: Option<Name>,
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) progress: Arc<Progress>,
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Handles a request. Each response, also an error, names the request, the node and the revision.
pub(crate) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let id: Arc<str> = gateway.new_request_id().to_string().into();
    let routing_state = gateway.routing_state();
    let result = match &routing_state {
        Some(routing_state) => handle(&gateway, routing_state, request, Arc::clone(&id)).await,
        None => Err(not_ready()),
    };
    let mut response = result.unwrap_or_else(|failure| {
        gateway.request_log.metrics.record_refusal(failure.code);
        failure.to_response(&id)
    });
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(X_REQUEST_ID, value);
    }
    headers.insert(X_NODE, gateway.node_header.clone());
    if let Some(routing_state) = routing_state {
        headers.insert(X_REVISION, routing_state.revision_header.clone());
    }
    response
}

async fn handle(
    gateway: &Arc<Gateway>,
    routing_state: &RoutingState,
    request: Request<Incoming>,
    id: Arc<str>,
) -> Result<Response<Body>> {
    if !gateway.context.is_ready() {
        return Err(not_ready());
    }
    let received_at = gateway.context.clock.now();
    let caller_entry = authenticate(routing_state, request.headers())?;
    if let Some(response) = models_response(routing_state, &request) {
        return Ok(response);
    }
    let class = caller_entry.caller.class;
    let request_log = &gateway.request_log;
    let progress = request_log.start(&id, &caller_entry.caller.name, class, received_at);
    let result = process(
        gateway,
        routing_state,
        request,
        id,
        caller_entry,
        &progress,
        received_at,
    )
    .await;
    match &result {
        // The end was recorded when the response broke off.
        Ok(_) if progress.is_interrupted() => {}
        // A streamed response that breaks off later replaces this outcome.
        Ok(_) => progress.record_end(Outcome::Ran, None),
        Err(failure) => progress.record_end(failure.outcome, Some(failure.code)),
    }
    result
}

async fn process(
    gateway: &Arc<Gateway>,
    routing_state: &RoutingState,
    request: Request<Incoming>,
    id: Arc<str>,
    caller_entry: Arc<CallerEntry>,
    progress: &Arc<Progress>,
    received_at: Instant,
) -> Result<Response<Body>> {
    let call = read_call(
        routing_state,
        request,
        id,
        caller_entry,
        progress,
        received_at,
    )
    .await?;
    progress.set_route(&call.route.name);
    let permit = Arc::new(admission::admit(gateway, &call).await?);
    match idempotency::key(&call) {
        Some(key) => idempotency::run(gateway, &call, key, permit).await,
        None => dispatch::run(gateway, &call, permit).await,
    }
}

fn not_ready() -> Box<Failure> {
    let message = "this node has no confirmed configuration or is shutting down";
    Failure::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        Step::Entry,
        message,
    )
    .with_retry_after(Duration::from_secs(1))
}

fn authenticate(routing_state: &RoutingState, headers: &HeaderMap) -> Result<Arc<CallerEntry>> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().split_at_checked("Bearer ".len()))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(b"Bearer "))
        .map(|(_, key)| key.trim_ascii());
    match key.and_then(|key| routing_state.table.caller_by_key(key)) {
        Some(caller_entry) => Ok(Arc::clone(caller_entry)),
        None => Err(Failure::not_run(
            StatusCode::UNAUTHORIZED,
            "invalid_api_key",
            Step::Entry,
            "the request carries no key of a known caller in `Authorization: Bearer`",
        )),
    }
}

/// Returns the response to `GET /v1/models` or `GET /v1/models/{model}`; `None` for any other
/// request or an unknown model.
fn models_response(
    routing_state: &RoutingState,
    request: &Request<Incoming>,
) -> Option<Response<Body>> {
    let rest = request.uri().path().strip_prefix("/v1/models")?;
    if request.method() != Method::GET {
        return None;
    }
    let model = |id| Model {
        id,
        object: "model",
        created: 0,
        owned_by: "shallotroute",
    };
    let names = routing_state.table.models();
    match rest.strip_prefix('/') {
        Some(id) => {
            let name = names.iter().find(|name| name.as_str() == id)?;
            Some(body::json_response(StatusCode::OK, &model(name)))
        }
        None if rest.is_empty() => {
            let list = Models {
                object: "list",
                data: names.iter().map(|name| model(name)).collect(),
            };
            Some(body::json_response(StatusCode::OK, &list))
        }
        None => None,
    }
}

async fn read_call(
    routing_state: &RoutingState,
    request: Request<Incoming>,
    id: Arc<str>,
    caller_entry: Arc<CallerEntry>,
    progress: &Arc<Progress>,
    received_at: Instant,
) -> Result<Call> {
    let (parts, incoming) = request.into_parts();
    let body = read_body(incoming).await?;
    let routing_fields = parse_routing_fields(&parts.method, parts.uri.path(), &body)?;
    let model = routing_fields.as_ref().map(|fields| fields.model.as_str());
    let route = routing_state.table.route(parts.uri.path(), model);
    let route = Arc::clone(route.ok_or_else(|| no_route(model, parts.uri.path()))?);
    let pool = routing_state.pools.get(&route.pool);
    let pool = Arc::clone(pool.ok_or_else(|| no_route(model, parts.uri.path()))?);
    let time_limit = parse_time_limit(&parts.headers, &route)?;
    Ok(Call {
        id,
        is_idempotent: table::is_idempotent(&route, parts.method.as_str()),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        caller_entry,
        route,
        pool,
        base_model: model
            .and_then(|model| routing_state.table.base_model(model))
            .cloned(),
        routing_fields,
        deadline: received_at + time_limit,
        progress: Arc::clone(progress),
    })
}

async fn read_body(incoming: Incoming) -> Result<Bytes> {
    let rejected =
        |status, code, message: String| Err(Failure::not_run(status, code, Step::Entry, message));
    match timeout(BODY_TIMEOUT, body::read_request(incoming, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
            rejected(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
        }
        Ok(Err(error)) if error.is::<Exhausted>() => {
            let message = "the node has no memory for the body at the moment";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let failure = Failure::not_run(status, "memory_exhausted", Step::Entry, message);
            Err(failure.with_retry_after(RETRY_AFTER))
        }
        Ok(Err(_)) => {
            let message = "the body could not be read to its end".into();
            rejected(StatusCode::BAD_REQUEST, "body_cut", message)
        }
        Err(_) => {
            let message = "the body did not arrive in time".into();
            rejected(StatusCode::REQUEST_TIMEOUT, "body_late", message)
        }
    }
}

fn parse_routing_fields(
    method: &Method,
    path: &str,
    body: &Bytes,
) -> Result<Option<RoutingFields>> {
    if method != Method::POST || !matches!(path, "/v1/completions" | "/v1/chat/completions") {
        return Ok(None);
    }
    let routing_fields = RoutingFields::parse(body).map_err(|report| {
        // The parser's message names the position in the body.
        let detail = report
            .downcast_ref::<serde_json::Error>()
            .map_or_else(String::new, |error| format!(": {error}"));
        let message = format!("{}{detail}", report.current_context());
        Failure::not_run(
            StatusCode::BAD_REQUEST,
            "malformed_body",
            Step::Entry,
            message,
        )
    })?;
    Ok(Some(routing_fields))
}

fn no_route(model: Option<&str>, path: &str) -> Box<Failure> {
    let (code, message) = match model {
        Some(model) => (
            "model_not_found",
            format!("no route serves the model `{model}`"),
        ),
        None => ("no_route", format!("no route serves the path `{path}`")),
    };
    Failure::not_run(StatusCode::NOT_FOUND, code, Step::Entry, message)
}

fn parse_time_limit(headers: &HeaderMap, route: &Route) -> Result<Duration> {
    let Some(value) = headers.get(X_TIMEOUT) else {
        return Ok(route.timeout());
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(MAX_TIMEOUT)),
        Some(_) | None => Err(Failure::not_run(
            StatusCode::BAD_REQUEST,
            "malformed_timeout",
            Step::Entry,
            "`X-Request-Timeout-Ms` is not a positive whole number",
        )),
    }
}
