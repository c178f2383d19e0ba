//! Trainers' calls about batch jobs, at whichever node they arrive.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use shallotroute_adapter::{caller::Call, job as wire};
use shallotroute_batch::record::Owner;
use shallotroute_fleet::route::Kind;
use shallotroute_http::body::{self, Body};
use shallotroute_types::name::Name;

use crate::{
    claim::{self, Acceptance},
    drain, job,
    ledger::{self, Stored},
    metric::Metrics,
    peer::CallError,
    response,
    shared::Shared,
    store::Error,
};

/// How long the owner of a job may take to answer beyond the time that the caller lets it wait.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// The most processes that are asked about a job before the store is.
const MAX_LIKELY_OWNERS: usize = 4;

/// The longest time that an answer waits for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// After this time a trainer may submit again what was refused.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Accepts a job.
pub(crate) async fn submit(
    shared: &Arc<Shared>,
    host: &str,
    path: &str,
    route: &Name,
    request: &str,
    content: &[u8],
) -> Response<Body> {
    let specification = match wire::read_specification(host, path, content) {
        Ok(specification) => specification,
        Err(error) => {
            spdlog::warn!("job can't be read", kv: { request, error = error.to_string() });
            return response::text(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let id = Name::from(request);
    if !id.is_valid() {
        return response::text(
            StatusCode::BAD_REQUEST,
            "the identity of the job is no name",
        );
    }
    let items = specification.items.len();
    let oldest = specification.oldest;
    let acceptance = claim::accept(shared, &id, route, specification).await;
    let (outcome, reason) = match &acceptance {
        Acceptance::Kept => ("kept", ""),
        Acceptance::Known => ("known", ""),
        Acceptance::Refused(reason) => ("refused", reason.as_str()),
        Acceptance::Open(reason) => ("open", reason.as_str()),
    };
    Metrics::count(&shared.metrics.jobs, outcome);
    spdlog::info!("job submitted", kv: {
        job = request, items, oldest = oldest.0, outcome, reason,
    });
    match acceptance {
        Acceptance::Kept => {
            if shared.drain.is_cancelled() {
                tokio::spawn(drain::hand_over(Arc::clone(shared), id));
            }
            response::text(StatusCode::ACCEPTED, "")
        }
        Acceptance::Known => response::text(StatusCode::ACCEPTED, ""),
        Acceptance::Refused(_) => response::not_run(RETRY_AFTER),
        Acceptance::Open(_) => response::text(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may have been accepted; submit it again",
        ),
    }
}

/// Answers a call about a job.
pub(crate) async fn answer(shared: &Arc<Shared>, call: Call) -> Response<Body> {
    match call {
        Call::Read { job, after, wait } => read(shared, &job, after, wait.min(MAX_WAIT)).await,
        Call::Body { job, item } => item_body(shared, &job, &item).await,
        Call::End { job } => end(shared, &job).await,
    }
}

async fn read(shared: &Arc<Shared>, job: &Name, after: usize, wait: Duration) -> Response<Body> {
    if let Some(owned) = shared.jobs.owned(job)
        && let Some(page) = owned.page(shared, after, wait).await
    {
        return json(page);
    }
    let milliseconds = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let located = locate(shared, job, wait, |client, context| {
        let job = job.clone();
        async move { client.read_results(context, job, after, milliseconds).await }
    })
    .await;
    match located {
        Located::Answer(page) => json(page),
        // The store has all results that anybody has seen.
        Located::Stored(stored) => match ledger::load(shared, job, &stored.head).await {
            Ok((specification, results)) => json(job::page(&specification, &results, after)),
            Err(error) => unavailable(job, &error),
        },
        Located::Nowhere(response) => response,
    }
}

async fn item_body(shared: &Arc<Shared>, job: &Name, item: &Name) -> Response<Body> {
    if let Some(owned) = shared.jobs.owned(job)
        && let Ok(content) = owned.body(item)
    {
        return bytes_or_not_found(content);
    }
    let located = locate(shared, job, Duration::ZERO, |client, context| {
        let (job, item) = (job.clone(), item.clone());
        async move { client.item_body(context, job, item).await }
    })
    .await;
    match located {
        Located::Answer(content) => bytes_or_not_found(content),
        Located::Stored(stored) => {
            match ledger::load_specification(shared, job, &stored.head).await {
                Ok(specification) => bytes_or_not_found(job::body(&specification, item)),
                Err(error) => unavailable(job, &error),
            }
        }
        Located::Nowhere(response) => response,
    }
}

async fn end(shared: &Arc<Shared>, job: &Name) -> Response<Body> {
    let kept = match shared.jobs.owned(job) {
        Some(owned) => owned.end(shared).await,
        None => {
            let located = locate(shared, job, claim::END_TIME, |client, context| {
                let job = job.clone();
                async move { client.end_job(context, job).await }
            })
            .await;
            match located {
                Located::Answer(kept) => kept,
                Located::Stored(stored) => stored.head.ended || claim::end(shared, job).await,
                Located::Nowhere(response) => return response,
            }
        }
    };
    spdlog::info!("end of job requested", kv: { job = job.as_str(), kept });
    match kept {
        true => response::text(StatusCode::OK, ""),
        false => response::not_run(RETRY_AFTER),
    }
}

/// Where a job's state comes from.
enum Located<T> {
    /// Its owner has answered.
    Answer(T),
    /// No other live node owns it, or the owner does not answer; the store has this head.
    Stored(Stored),
    /// It does not exist or can't be read now; the caller gets this answer.
    Nowhere(Response<Body>),
}

/// Asks the owner of a job, if another live node owns it, and the store otherwise.
async fn locate<T, F>(
    shared: &Shared,
    job: &Name,
    wait: Duration,
    call: impl Fn(crate::peer::PeerClient, tarpc::context::Context) -> F,
) -> Located<T>
where
    F: Future<Output = Result<Result<T, CallError>, tarpc::client::RpcError>>,
{
    if let Some(owner) = shared.jobs.owner(job)
        && let Some(answer) = ask(shared, job, &owner, wait, &call).await
    {
        return Located::Answer(answer);
    }
    for owner in likely_owners(shared) {
        if let Some(answer) = ask(shared, job, &owner, wait, &call).await {
            shared.jobs.set_owner(job, Some(owner));
            return Located::Answer(answer);
        }
    }
    let stored = match ledger::read_head(shared, job).await {
        Ok(stored) => stored,
        Err(Error::NotFound) => {
            spdlog::info!("job does not exist", kv: { job = job.as_str() });
            let response = response::text(StatusCode::NOT_FOUND, "the job does not exist");
            return Located::Nowhere(response);
        }
        Err(error) => return Located::Nowhere(unavailable(job, &error)),
    };
    let Some(owner) = stored.head.owner.clone() else {
        return Located::Stored(stored);
    };
    match ask(shared, job, &owner, wait, &call).await {
        Some(answer) => {
            shared.jobs.set_owner(job, Some(owner));
            Located::Answer(answer)
        }
        None => Located::Stored(stored),
    }
}

/// Returns the processes that run the jobs of the batch routes now. Asking them costs less than a read
/// of the store; one that does not own the job says so at once.
fn likely_owners(shared: &Shared) -> Vec<Owner> {
    let Some(table) = shared.table() else {
        return Vec::new();
    };
    let members = shared.members.borrow();
    let mut owners: Vec<Owner> = table
        .routes()
        .filter(|route| route.kind == Kind::Batch)
        .take(MAX_LIKELY_OWNERS)
        .filter_map(|route| Some(members.home(&route.name)?.owner.clone()))
        .collect();
    owners.sort();
    owners.dedup();
    owners
}

/// Asks a process about a job that it may own.
async fn ask<T, F>(
    shared: &Shared,
    job: &Name,
    owner: &Owner,
    wait: Duration,
    call: impl Fn(crate::peer::PeerClient, tarpc::context::Context) -> F,
) -> Option<T>
where
    F: Future<Output = Result<Result<T, CallError>, tarpc::client::RpcError>>,
{
    let reachable = {
        let members = shared.members.borrow();
        members.lives(owner) || members.unsettled(shared.now())
    };
    if *owner == shared.owner || !reachable {
        return None;
    }
    let asked = shared
        .peers
        .call(owner.address, wait + OWNER_TIMEOUT, call)
        .await;
    let denial = match asked {
        Ok(Ok(answer)) => return Some(answer),
        Ok(Err(denial)) | Err(denial) => denial,
    };
    if denial != CallError::NotOwner {
        spdlog::info!("owner of job did not answer", kv: {
            job = job.as_str(), owner = owner.to_string(), reason = format!("{denial:?}"),
        });
    }
    shared.jobs.set_owner(job, None);
    None
}

fn unavailable(job: &Name, error: &Error) -> Response<Body> {
    spdlog::warn!("job can't be read", kv: { job = job.as_str(), error = error.to_string() });
    response::not_run(RETRY_AFTER)
}

fn bytes_or_not_found(content: Option<Vec<u8>>) -> Response<Body> {
    match content {
        Some(content) => Response::new(body::full(content)),
        None => response::text(StatusCode::NOT_FOUND, "the job has no such item"),
    }
}

fn json(content: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(body::full(content));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
