//! Dispatches a request to backend servers, one attempt after another, until one responds.

use std::{sync::Arc, time::Duration};

use http::{Response, StatusCode};
use shallotroute_context::freshness;
use shallotroute_http::body::Body;
use shallotroute_routing::{
    admission,
    outcome::{self, Evidence, Refusal},
    pool::Query,
    retry::{self, FailedAttempt},
    server::LeavingNotice,
};
use shallotroute_types::{name::Name, outcome::Outcome};

use crate::{
    Gateway,
    admission::Permit,
    attempt::{self, InFlight},
    failure::{Failure, Result, Step},
    ingress::Call,
};

/// Sends a request to one server after another and returns the first response.
///
/// # Errors
///
/// The last attempt failed and must not be repeated, or no server takes the request. The outcome
/// covers all attempts.
pub(crate) async fn run(
    gateway: &Gateway,
    call: &Call,
    permit: Arc<Permit>,
) -> Result<Response<Body>> {
    let clock = &*gateway.context.clock;
    let mut tried = Vec::new();
    let mut outcome = Outcome::NotRun;
    let mut last_failure = None;
    loop {
        let until = admission::wait_deadline(clock.now(), call.deadline);
        if !gateway.ensure_fresh(until).await {
            let failure = last_failure.unwrap_or_else(stale_servers);
            return Err(failure.with_outcome(outcome));
        }
        let Some(in_flight) = choose(gateway, call, &permit, &mut tried) else {
            let failure = last_failure.unwrap_or_else(|| no_server(call));
            return Err(failure.with_outcome(outcome));
        };
        let (server, address) = (in_flight.choice.name.clone(), in_flight.choice.address);
        let result = attempt::run(&gateway.client, clock, call, tried.len(), in_flight).await?;
        let failed = match result {
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        permit.progress.record_failure(failed.evidence);
        spdlog::debug!(
            "attempt of request {} at {} failed: {}",
            call.id,
            server,
            failed.evidence
        );
        if failed.evidence == Evidence::Refused(Refusal::Leaving) {
            gateway.leaving.announce(&[LeavingNotice {
                pool: call.route.pool.clone(),
                server,
                address,
                age: Duration::ZERO,
            }]);
        }
        outcome = outcome::combine(outcome, failed.evidence.outcome());
        let attempt = FailedAttempt {
            evidence: failed.evidence,
            is_idempotent: call.is_idempotent,
            has_response_started: false,
            time_left: call.deadline.saturating_duration_since(clock.now()),
        };
        if !retry::should_retry(&attempt, call.pool.state().pool.retry_budget()) {
            return Err(failed.failure.with_outcome(outcome));
        }
        last_failure = Some(failed.failure);
    }
}

/// Chooses a server that is not in `tried` and adds it there. Call this immediately before the
/// request is sent, since the choice rests on the current load.
fn choose(
    gateway: &Gateway,
    call: &Call,
    permit: &Arc<Permit>,
    tried: &mut Vec<Name>,
) -> Option<InFlight> {
    let now = gateway.context.clock.now();
    let model = call
        .routing_fields
        .as_ref()
        .map(|fields| fields.model.as_str());
    let base = call.base_model.as_ref().map(|base| base.as_str());
    let models = [model, base].map(Option::unwrap_or_default);
    let query = Query {
        zone: &gateway.context.local.zone,
        prefix: call
            .routing_fields
            .as_ref()
            .and_then(|fields| fields.prefix),
        models: &models,
        tried,
    };
    let choice = call.pool.choose(&query, &gateway.context.hosts, now)?;
    if !tried.is_empty() {
        gateway.request_log.metrics.retries.inc();
    }
    tried.push(choice.name.clone());
    permit.progress.add_attempt(&choice);
    Some(InFlight::new(&call.pool, choice, now, Arc::clone(permit)))
}

fn stale_servers() -> Box<Failure> {
    let message = "this node was stopped and has not yet read again which servers take work";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failure::not_run(status, "not_ready", Step::Selection, message)
        .with_retry_after(freshness::MAX_WAIT)
}

fn no_server(call: &Call) -> Box<Failure> {
    let message = format!(
        "no backend server of the pool `{}` takes work",
        call.route.pool
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failure::not_run(status, "no_server", Step::Selection, message)
        .with_retry_after(attempt::REFUSAL_RETRY_AFTER)
}
