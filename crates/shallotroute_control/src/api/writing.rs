//! Handlers of the calls that check a set, publish it and look up a publication.

use std::sync::Arc;

use http::StatusCode;
use shallotroute_config::{
    api::{CheckRequest, CheckResponse, Outcome, Publication, Submission},
    check,
    finding::has_errors,
};
use shallotroute_http::body;
use shallotroute_types::name::Name;

use super::{HandlerResult, ok, reject, unavailable};
use crate::Control;

pub(super) async fn check(control: &Arc<Control>, request: &CheckRequest) -> HandlerResult {
    let checked = check::files(&request.files);
    let compared = control.publisher.compare(&checked.set).await;
    // The check does not need the key-value service, so its findings are returned even if the
    // comparison fails.
    let (revision, changes) = compared.unwrap_or_else(|report| {
        spdlog::warn!(
            "failed to compare a checked set with the newest revision: {:?}",
            report
        );
        Default::default()
    });
    ok(&CheckResponse {
        accepted: !has_errors(&checked.findings),
        findings: checked.findings,
        revision,
        changes,
    })
}

pub(super) async fn publish(
    control: &Arc<Control>,
    operator: Name,
    submission: Submission,
) -> HandlerResult {
    if let Some(reason) = control.publisher.rejection_reason(&submission) {
        return Err(reject(StatusCode::BAD_REQUEST, "submission", &reason));
    }
    let publication = control.publisher.submit(operator, submission).await;
    let status = match &publication.result {
        Outcome::Published { .. } => StatusCode::OK,
        Outcome::Rejected => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Conflict { .. } => StatusCode::CONFLICT,
        Outcome::NotPublished { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(body::json_response::<Publication>(status, &publication))
}

pub(super) async fn lookup(control: &Arc<Control>, identity: &str) -> HandlerResult {
    match control.publisher.lookup(identity).await {
        Ok(publication) => ok(&publication),
        Err(report) => Err(unavailable(&report)),
    }
}
