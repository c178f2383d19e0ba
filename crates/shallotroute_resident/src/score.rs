//! Scores the output of an item with the scorer that its trainer named.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use shallotroute_adapter::answer;
use shallotroute_batch::{
    job::{Event, ScoringEnd},
    record::{Scorer, Specification},
};

use crate::{
    forward::{self, AttemptOutcome, BackendRequest},
    job::Owned,
    metric::Metrics,
    shared::Shared,
};

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
    let Some(reward) = &specification.items[item].scorer else {
        return;
    };
    let rating = request_score(&shared, reward).await;
    Metrics::count(&shared.metrics.scorings, outcome_label(&rating));
    if !matches!(rating, ScoringEnd::Score(_)) {
        spdlog::info!("scoring ended without a score", kv: {
            request = reward.id.as_str(),
            item = specification.items[item].id.as_str(),
            job = owned.id.as_str(),
            attempt,
            outcome = outcome_label(&rating),
        });
    }
    // The receiver is dropped when the job has ended.
    let _ = owned.events.send((attempt, Event::ScoringEnded(rating)));
}

async fn request_score(shared: &Arc<Shared>, reward: &Scorer) -> ScoringEnd {
    let Some(table) = shared.table() else {
        return ScoringEnd::NoResponse;
    };
    let Some(route) = table.find(&reward.host, &reward.path) else {
        return ScoringEnd::NoRoute;
    };
    let mut headers = HeaderMap::new();
    answer::name_request(&mut headers, &reward.host, &reward.id);
    let timeout = match route.timeout.is_zero() {
        true => DEFAULT_TIMEOUT,
        false => route.timeout,
    };
    let request = BackendRequest {
        id: reward.id.as_str().into(),
        method: Method::POST,
        target: reward.path.clone(),
        headers,
        body: Bytes::copy_from_slice(&reward.body),
        timeout,
    };
    match forward::send_once(shared, route, &request).await {
        AttemptOutcome::Answer { status, head, .. } if status.is_success() => match head.stamp {
            Some(stamp) => ScoringEnd::Score(stamp),
            None => ScoringEnd::NoResponse,
        },
        AttemptOutcome::Answer { status, .. } if status.as_u16() == 500 => ScoringEnd::Failed,
        _ => ScoringEnd::NoResponse,
    }
}

fn outcome_label(rating: &ScoringEnd) -> &'static str {
    match rating {
        ScoringEnd::Score(_) => "score",
        ScoringEnd::Failed => "failed",
        ScoringEnd::NoResponse => "lost",
        ScoringEnd::NoRoute => "no_route",
    }
}
