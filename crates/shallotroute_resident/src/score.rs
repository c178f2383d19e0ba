//! Scores the output of an item with the scorer that its trainer named.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use shallotroute_adapter::backend;
use shallotroute_batch::{
    job::{Event, ScoringEnd},
    record::{Scorer, Specification},
};
use shallotroute_fleet::{access::Grant, admission::governor::End};

use crate::{
    admission,
    forward::{self, AttemptOutcome, BackendRequest},
    job::Owned,
    limit::Unavailable,
    metric::Metrics,
    shared::Shared,
};

/// The mean delay of a scoring request for which there is no server.
const UNAVAILABLE_DELAY: Duration = Duration::from_millis(50);

/// The timeout of a scoring request whose route has none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests the score of an item's output once and reports the outcome to the job as an event. Does
/// nothing for an item without a scorer.
pub(crate) async fn run(
    shared: Arc<Shared>,
    specification: Arc<Specification>,
    owned: Arc<Owned>,
    attempt: u64,
    item: usize,
) {
    let Some(scorer) = &specification.items[item].scorer else {
        return;
    };
    let is_repeat = owned.state().job.is_scoring_repeated(attempt);
    let end = request_score(&shared, scorer, is_repeat).await;
    Metrics::count(&shared.metrics.scorings, outcome_label(&end));
    if !matches!(end, ScoringEnd::Score(_) | ScoringEnd::Deferred(_)) {
        spdlog::info!("scoring ended without a score", kv: {
            request = scorer.id.as_str(),
            item = specification.items[item].id.as_str(),
            job = owned.id.as_str(),
            attempt,
            outcome = outcome_label(&end),
        });
    }
    // The receiver is dropped when the job has ended.
    let _ = owned.events.send((attempt, Event::ScoringEnded(end)));
}

async fn request_score(shared: &Arc<Shared>, scorer: &Scorer, is_repeat: bool) -> ScoringEnd {
    let Some(table) = shared.table() else {
        return ScoringEnd::NoResponse;
    };
    let Some(route) = table.find(&scorer.host, &scorer.path) else {
        return ScoringEnd::NoRoute;
    };
    let mut headers = HeaderMap::new();
    backend::set_request_headers(&mut headers, &scorer.host, &scorer.id);
    let timeout = match route.timeout.is_zero() {
        true => DEFAULT_TIMEOUT,
        false => route.timeout,
    };
    let request = BackendRequest {
        id: scorer.id.as_str().into(),
        fingerprint: None,
        method: Method::POST,
        target: scorer.path.clone(),
        headers,
        grant: Grant::for_system(),
        body: Bytes::copy_from_slice(&scorer.body),
        timeout,
    };
    let service = route.service_for(&request.id);
    let started_at = shared.now();
    let governors = &shared.governors;
    let scoring = match governors.admit_scoring(service, is_repeat, started_at) {
        Ok(scoring) => scoring,
        Err(delay) => return ScoringEnd::Deferred(delay),
    };
    let outcome = match forward::send_once(shared, route, &request).await {
        Ok(outcome) => outcome,
        Err(unavailable) => {
            let wait = match unavailable {
                Unavailable::Limited(wait) => Some(wait),
                Unavailable::NoServer => None,
            };
            scoring.finish(End::Unsent(wait), shared.now());
            let delay = wait.unwrap_or(UNAVAILABLE_DELAY);
            return ScoringEnd::Deferred(admission::pause(delay));
        }
    };
    let elapsed = shared.now().saturating_duration_since(started_at);
    scoring.finish(admission::end(&outcome, elapsed), shared.now());
    match outcome {
        // The stamp of a scorer's response is the score.
        AttemptOutcome::Answer { status, head, .. } if status.is_success() => match head.stamp {
            Some(stamp) => ScoringEnd::Score(stamp),
            None => ScoringEnd::NoResponse,
        },
        AttemptOutcome::Answer { status, .. } if status.as_u16() == 500 => ScoringEnd::Failed,
        _ => ScoringEnd::NoResponse,
    }
}

fn outcome_label(end: &ScoringEnd) -> &'static str {
    match end {
        ScoringEnd::Score(_) => "score",
        ScoringEnd::Failed => "failed",
        ScoringEnd::NoResponse => "lost",
        ScoringEnd::NoRoute => "no_route",
        ScoringEnd::Deferred(_) => "deferred",
    }
}
