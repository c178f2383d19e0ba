//! Defines the errors that callers receive.

use std::time::Duration;

use derive_more::Display;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use shallotroute_http::body::{self, Body};
use shallotroute_types::outcome::Outcome;

/// The result of a step of a request.
pub(crate) type Result<T> = std::result::Result<T, Box<Failure>>;

/// The step of a request at which it failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// Authenticating the caller, reading the body and finding the route.
    #[display("entry")]
    Entry,
    /// Waiting for the caller's limit and the pool's capacity.
    #[display("admission")]
    Admission,
    /// Checking whether a request with the same idempotency key was sent before.
    #[display("identity")]
    Identity,
    /// Choosing a backend server.
    #[display("selection")]
    Selection,
    /// Sending the request to a backend server.
    #[display("dispatch")]
    Dispatch,
    /// Streaming the backend server's response to the caller.
    #[display("response")]
    Response,
}

/// The error that a caller receives in place of a backend server's response.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) step: Step,
    /// The name of the backend server at which the request failed.
    pub(crate) server: Option<String>,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: ErrorObject<'a>,
}

#[derive(Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    step: Step,
    peer: Option<&'a str>,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl Failure {
    /// Creates the failure of a request that did not run.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        step: Step,
        message: impl Into<String>,
    ) -> Box<Self> {
        Box::new(Self {
            status,
            code,
            message: message.into(),
            step,
            server: None,
            outcome: Outcome::NotRun,
            retry_after: None,
        })
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn with_retry_after(mut self: Box<Self>, after: Duration) -> Box<Self> {
        self.retry_after = Some(after);
        self
    }

    /// Sets the name of the backend server at which the request failed.
    pub(crate) fn with_server(mut self: Box<Self>, server: impl Into<String>) -> Box<Self> {
        self.server = Some(server.into());
        self
    }

    /// Sets whether the request ran.
    pub(crate) fn with_outcome(mut self: Box<Self>, outcome: Outcome) -> Box<Self> {
        self.outcome = outcome;
        self
    }

    /// Returns the body of the error response.
    pub(crate) fn to_json(&self, request_id: &str) -> String {
        let envelope = Envelope {
            error: ErrorObject {
                message: &self.message,
                r#type: error_type(self.status),
                code: self.code,
                step: self.step,
                peer: self.server.as_deref(),
                outcome: self.outcome,
                retry_after_ms: self.retry_after.map(millis),
                request_id,
            },
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }

    /// Creates the error response.
    pub(crate) fn to_response(&self, request_id: &str) -> Response<Body> {
        let mut response = Response::new(body::full(self.to_json(request_id)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(after) = self.retry_after {
            let seconds = millis(after).div_ceil(1000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the `type` of the error that inference clients expect with a status.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
