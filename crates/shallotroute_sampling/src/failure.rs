//! The failures of trainers' requests, as sent between nodes and as HTTP error responses.

use derive_more::Display;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use shallotroute_http::body::{self, Body};
use shallotroute_rollout::{delivery::Refusal, scheduler::AdmissionError};
use shallotroute_types::outcome::Outcome;

/// The result of a trainer's request.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Why a trainer's request failed.
///
/// Sent between nodes by the position of the variant; the texts are sent to trainers.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Failure {
    /// The path, body or receipt is malformed, or the step's sizes are out of range.
    #[display("{_0}")]
    Invalid(String),
    /// The request has no key, or its key belongs to no caller.
    #[display("the key belongs to no caller")]
    Unauthorized,
    /// The key belongs to a caller that may not act for the trainer.
    #[display("the caller may not act for this trainer")]
    Forbidden,
    /// No endpoint has this path and method.
    #[display("no such resource")]
    NotFound,
    /// The trainer is not in the configuration in force.
    #[display("the trainer is not in the configuration in force")]
    UnknownTrainer,
    /// No reachable member has the step; the trainer must submit it again.
    #[display("no live node has the step; submit it again")]
    UnknownStep,
    /// The step was already submitted with another specification.
    #[display("the step exists with another specification")]
    Conflict,
    /// The trainer has too many open steps.
    #[display("the trainer has too many open steps")]
    TooMany,
    /// The trainer opened a later pull of the same step.
    #[display("a later pull took the place of this one")]
    Superseded,
    /// The pool's owner is changing, takes no new work or can't be connected to; nothing was done.
    #[display("the owner of the pool is not available: {_0}")]
    Unavailable(String),
    /// The owner did not respond or too few members confirmed a replica; the request may have taken
    /// effect.
    #[display("the owner of the pool gave no answer: {_0}")]
    Lost(String),
}

impl Failure {
    fn status(&self) -> StatusCode {
        match self {
            Self::Invalid(_) => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound | Self::UnknownTrainer | Self::UnknownStep => StatusCode::NOT_FOUND,
            Self::Conflict | Self::Superseded => StatusCode::CONFLICT,
            Self::TooMany => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost(_) => StatusCode::BAD_GATEWAY,
        }
    }

    fn code(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::UnknownTrainer => "unknown_trainer",
            Self::UnknownStep => "unknown_step",
            Self::Conflict => "step_conflict",
            Self::TooMany => "too_many_steps",
            Self::Superseded => "superseded",
            Self::Unavailable(_) => "owner_unavailable",
            Self::Lost(_) => "owner_lost",
        }
    }

    /// Returns whether the request may have taken effect.
    fn outcome(&self) -> Outcome {
        match self {
            Self::Lost(_) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Unavailable(_) | Self::Lost(_) => Some(OWNER_RETRY_AFTER_MS),
            Self::TooMany => Some(OPEN_STEPS_RETRY_AFTER_MS),
            _ => None,
        }
    }

    /// Returns the HTTP error response; `step` names the operation that failed.
    pub(crate) fn response(&self, step: &'static str, request_id: &str) -> Response<Body> {
        let retry_after_ms = self.retry_after_ms();
        let document = ErrorBody {
            error: ErrorDetail {
                message: self.to_string(),
                r#type: "rollout_error",
                code: self.code(),
                step,
                peer: None,
                outcome: self.outcome(),
                retry_after_ms,
                request_id,
            },
        };
        let mut response = body::json_response(self.status(), &document);
        if let Some(milliseconds) = retry_after_ms {
            let seconds = milliseconds.div_ceil(1000);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// The `retry_after_ms` while a pool's owner changes or can't be reached. The members agree on a
/// new owner after they have declared a dead one, which takes up to 3 s.
const OWNER_RETRY_AFTER_MS: u64 = 500;

/// The `retry_after_ms` of a trainer with too many open steps, one of which may be complete by
/// then.
const OPEN_STEPS_RETRY_AFTER_MS: u64 = 5_000;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: String,
    r#type: &'static str,
    code: &'static str,
    step: &'static str,
    peer: Option<&'a str>,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::UnknownStep => Self::UnknownStep,
            Refusal::Superseded => Self::Superseded,
            Refusal::BadReceipt => {
                Self::Invalid("the receipt names a group that the step does not have".to_owned())
            }
            Refusal::Moved => Self::Unavailable("the pool moved to another node".to_owned()),
        }
    }
}

impl From<AdmissionError> for Failure {
    fn from(reason: AdmissionError) -> Self {
        match reason {
            AdmissionError::UnknownTrainer => Self::UnknownTrainer,
            AdmissionError::Conflict => Self::Conflict,
            AdmissionError::TooMany => Self::TooMany,
        }
    }
}

impl From<crate::access::Denied> for Failure {
    fn from(denied: crate::access::Denied) -> Self {
        match denied {
            crate::access::Denied::Unauthorized => Self::Unauthorized,
            crate::access::Denied::Forbidden => Self::Forbidden,
        }
    }
}
