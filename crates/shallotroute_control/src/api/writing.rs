//! Calls that check and publish.

use std::sync::Arc;

use http::StatusCode;
use shallotroute_config::{
    api::{CheckRequest, CheckResponse, Outcome, Publication, Submission},
    check,
    finding::has_errors,
};
use shallotroute_http::body;
use shallotroute_types::name::Name;

use super::{Answer, failed, ok, refuse};
use crate::Control;

pub(super) async fn check(control: &Arc<Control>, request: &CheckRequest) -> Answer {
    let checked = check::files(&request.files);
    let compared = control.publisher.compare(&checked.set).await;
    // The check itself needs no key-value service, so its result is shown without the difference.
    let (revision, changes) = compared.unwrap_or_else(|report| {
        spdlog::warn!("a checked set could not be compared: {:?}", report);
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
) -> Answer {
    if let Some(fault) = control.publisher.fault(&submission) {
        return Err(refuse(StatusCode::BAD_REQUEST, "submission", &fault));
    }
    let publication = control.publisher.submit(operator, submission).await;
    let status = match &publication.result {
        Outcome::Published { .. } => StatusCode::OK,
        Outcome::Rejected => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Conflict { .. } => StatusCode::CONFLICT,
        Outcome::NotPublished { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    Ok(body::json::<Publication>(status, &publication))
}

pub(super) async fn lookup(control: &Arc<Control>, identity: &str) -> Answer {
    match control.publisher.lookup(identity).await {
        Ok(publication) => ok(&publication),
        Err(report) => Err(failed(&report)),
    }
}
