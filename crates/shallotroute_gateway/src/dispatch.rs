//! Attempts at a request until one gives a response.

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
    attempt::{self, Sent},
    entry::Call,
    failure::{Failure, Result, Step},
};

/// Sends a request, if need be several times, and returns a response.
pub(crate) async fn run(
    gateway: &Gateway,
    call: &Call,
    permit: Arc<Permit>,
) -> Result<Response<Body>> {
    let clock = &*gateway.context.clock;
    let mut tried = Vec::new();
    let mut outcome = Outcome::NotRun;
    let mut last = None;
    loop {
        let until = admission::wait_deadline(clock.now(), call.deadline);
        if !gateway.catch_up(until).await {
            let failure = last.unwrap_or_else(outdated);
            return Err(failure.with_outcome(outcome));
        }
        let Some(sent) = choose(gateway, call, &permit, &mut tried) else {
            let failure = last.unwrap_or_else(|| no_server(call));
            return Err(failure.with_outcome(outcome));
        };
        let (server, address) = (sent.choice.name.clone(), sent.choice.address);
        let result = attempt::run(&gateway.client, clock, call, tried.len(), sent).await?;
        let broken = match result {
            Ok(response) => return Ok(response),
            Err(broken) => broken,
        };
        permit.progress.fail(broken.evidence);
        spdlog::debug!("request {} at {}: {}", call.id, server, broken.evidence);
        if broken.evidence == Evidence::Refused(Refusal::Leaving) {
            gateway.leaving.tell(&[LeavingNotice {
                pool: call.route.pool.clone(),
                server,
                address,
                age: Duration::ZERO,
            }]);
        }
        outcome = outcome::combine(outcome, broken.evidence.outcome());
        let attempt = FailedAttempt {
            evidence: broken.evidence,
            is_idempotent: call.idempotent,
            has_response_started: false,
            time_left: call.deadline.saturating_duration_since(clock.now()),
        };
        if !retry::should_retry(&attempt, call.pool.state().pool.retry_budget()) {
            return Err(broken.failure.with_outcome(outcome));
        }
        last = Some(broken.failure);
    }
}

/// Chooses a server that is not in `tried`, immediately before the request is sent to it.
fn choose(
    gateway: &Gateway,
    call: &Call,
    permit: &Arc<Permit>,
    tried: &mut Vec<Name>,
) -> Option<Sent> {
    let now = gateway.context.clock.now();
    let model = call.head.as_ref().map(|head| head.model.as_str());
    let base = call.base.as_ref().map(|base| base.as_str());
    let models = [model, base].map(Option::unwrap_or_default);
    let query = Query {
        zone: &gateway.context.local.zone,
        prefix: call.head.as_ref().and_then(|head| head.prefix),
        models: &models,
        tried,
    };
    let choice = call.pool.choose(&query, &gateway.context.hosts, now)?;
    if !tried.is_empty() {
        gateway.journal.metrics.retries.inc();
    }
    tried.push(choice.name.clone());
    permit.progress.attempt(&choice);
    Some(Sent::new(&call.pool, choice, now, Arc::clone(permit)))
}

fn outdated() -> Box<Failure> {
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
        .with_retry_after(attempt::REFUSAL_RETRY)
}
