//! Serves trainers' calls about batch jobs. A call may arrive at any node, which forwards it to the
//! owner of the job or answers it from the platform's store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use shallotroute_adapter::{caller::JobCall, job as wire};
use shallotroute_batch::{claim::MAX_RELAY_TIME, record::Owner};
use shallotroute_fleet::{
    access::{Denial, Grant},
    route::Kind,
};
use shallotroute_http::body::{self, Body};
use shallotroute_types::name::Name;
use tarpc::context::Context;

use crate::{
    access,
    claim::{self, Acceptance},
    drain, job,
    ledger::{self, StoredHead},
    metric::Metrics,
    peer::{CallError, PeerClient},
    response,
    shared::Shared,
    store::Error,
};

/// The maximum number of likely owners that are called before the store is read.
const MAX_LIKELY_OWNERS: usize = 4;

/// The maximum time for which a read waits for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The version of the calls between nodes from which on the owner of a job compares workspaces.
const WORKSPACE_PROTOCOL: u32 = 1;

/// The time after which a trainer may repeat a rejected call.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A job that a trainer submits.
pub(crate) struct Submission<'a> {
    /// The host that the trainer named.
    pub(crate) host: &'a str,
    pub(crate) path: &'a str,
    pub(crate) route: &'a Name,
    /// The identity of the request, which becomes that of the job.
    pub(crate) id: &'a str,
    /// The JSON form of the job.
    pub(crate) content: Bytes,
    pub(crate) grant: &'a Grant,
}

/// Accepts a job that a trainer submits.
pub(crate) async fn submit(shared: &Arc<Shared>, submission: Submission<'_>) -> Response<Body> {
    let Submission {
        host,
        path,
        route,
        id: request,
        content,
        grant,
    } = submission;
    let mut specification = match wire::parse_specification(host, path, &content) {
        Ok(specification) => specification,
        Err(error) => {
            spdlog::warn!("failed to decode submitted job", kv: {
                request, error = error.to_string(),
            });
            return response::text(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    // The submission is not needed any more, and may be large.
    drop(content);
    wire::set_access(&mut specification, grant);
    let id = Name::from(request);
    if !id.is_valid() {
        return response::text(
            StatusCode::BAD_REQUEST,
            "the identity of the job is no name",
        );
    }
    let items = specification.items.len();
    let oldest = specification.min_version;
    let acceptance = claim::accept(shared, &id, route, specification).await;
    let (outcome, reason) = match &acceptance {
        Acceptance::Accepted => ("kept", ""),
        Acceptance::Duplicate => ("known", ""),
        Acceptance::Refused(reason) => ("refused", reason.as_str()),
        Acceptance::Unknown(reason) => ("open", reason.as_str()),
    };
    Metrics::count(&shared.metrics.jobs, outcome);
    spdlog::info!("job submitted", kv: {
        job = request, items, oldest = oldest.0, outcome, reason,
    });
    match acceptance {
        Acceptance::Accepted => {
            if shared.drain.is_cancelled() {
                tokio::spawn(drain::hand_over(Arc::clone(shared), id));
            }
            response::text(StatusCode::ACCEPTED, "")
        }
        Acceptance::Duplicate => submitted_again(shared, &id, grant).await,
        Acceptance::Refused(_) => response::not_run(RETRY_AFTER),
        Acceptance::Unknown(_) => response::text(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may have been accepted; submit it again",
        ),
    }
}

/// Returns the response to a submission of a job that is stored already.
async fn submitted_again(shared: &Shared, job: &Name, grant: &Grant) -> Response<Body> {
    match access::may_access(shared, job, grant).await {
        Ok(true) => response::text(StatusCode::ACCEPTED, ""),
        Ok(false) if grant.workspace().is_none() => response::denied(Denial::Unauthorized),
        Ok(false) => other_workspace(job),
        Err(error) => unavailable(job, &error),
    }
}

/// Serves a call about a job that was submitted before.
pub(crate) async fn answer(shared: &Arc<Shared>, call: JobCall, grant: &Grant) -> Response<Body> {
    match call {
        JobCall::ReadResults { job, after, wait } => {
            read(shared, &job, after, wait.min(MAX_WAIT), grant).await
        }
        JobCall::ReadItemBody { job, item } => item_body(shared, &job, &item, grant).await,
        JobCall::End { job } => end(shared, &job, grant).await,
    }
}

async fn read(
    shared: &Arc<Shared>,
    job: &Name,
    after: usize,
    wait: Duration,
    grant: &Grant,
) -> Response<Body> {
    let deadline = shared.now() + wait;
    if let Some(owned) = shared.jobs.owned(job) {
        if !grant.may_access(owned.workspace.as_deref()) {
            return other_workspace(job);
        }
        if let Some(page) = owned.page(shared, after, wait).await {
            return json(page);
        }
    }
    let wait = deadline.saturating_duration_since(shared.now());
    let call = |client: PeerClient, context, wait: Duration, workspace| {
        let job = job.clone();
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        async move {
            match workspace {
                Some(workspace) => {
                    let reading = client.read_results_for(context, workspace, job, after, wait_ms);
                    reading.await
                }
                None => client.read_results(context, job, after, wait_ms).await,
            }
        }
    };
    match call_owner(shared, job, wait, grant, call).await {
        OwnerCall::Answer(page) => json(page),
        // Trainers only see committed results, and the store has all of them.
        OwnerCall::Stored(stored) => match ledger::load(shared, job, &stored.head).await {
            Ok((specification, _)) if !grant.may_access(specification.workspace.as_deref()) => {
                other_workspace(job)
            }
            Ok((specification, results)) => json(job::page(&specification, &results, after)),
            Err(error) => unavailable(job, &error),
        },
        OwnerCall::Failed(response) => response,
    }
}

async fn item_body(shared: &Arc<Shared>, job: &Name, item: &Name, grant: &Grant) -> Response<Body> {
    if let Some(owned) = shared.jobs.owned(job) {
        if !grant.may_access(owned.workspace.as_deref()) {
            return other_workspace(job);
        }
        if let Ok(content) = owned.body(item) {
            return bytes_or_not_found(content);
        }
    }
    let call = |client: PeerClient, context, _, workspace| {
        let (job, item) = (job.clone(), item.clone());
        async move {
            match workspace {
                Some(workspace) => client.item_body_for(context, workspace, job, item).await,
                None => client.item_body(context, job, item).await,
            }
        }
    };
    match call_owner(shared, job, Duration::ZERO, grant, call).await {
        OwnerCall::Answer(content) => bytes_or_not_found(content),
        OwnerCall::Stored(stored) => {
            match ledger::load_specification(shared, job, &stored.head).await {
                Ok(specification) if !grant.may_access(specification.workspace.as_deref()) => {
                    other_workspace(job)
                }
                Ok(specification) => bytes_or_not_found(job::body(&specification, item)),
                Err(error) => unavailable(job, &error),
            }
        }
        OwnerCall::Failed(response) => response,
    }
}

async fn end(shared: &Arc<Shared>, job: &Name, grant: &Grant) -> Response<Body> {
    let result = match shared.jobs.owned(job) {
        Some(owned) if !grant.may_access(owned.workspace.as_deref()) => Err(other_workspace(job)),
        Some(owned) => Ok(owned.end(shared).await),
        None => end_remotely(shared, job, grant).await,
    };
    let is_stored = match result {
        Ok(is_stored) => is_stored,
        Err(response) => {
            if response.status() != StatusCode::NOT_FOUND {
                claim::end_later(shared, job, grant);
            }
            return response;
        }
    };
    if !is_stored {
        claim::end_later(shared, job, grant);
    }
    spdlog::info!("end of job requested", kv: { job = job.as_str(), kept = is_stored });
    match is_stored {
        true => response::text(StatusCode::OK, ""),
        false => response::not_run(RETRY_AFTER),
    }
}

/// Ends a job that this node does not own. Returns whether the end is stored.
///
/// # Errors
///
/// Returns the response for the trainer if the job can't be ended now or not by this trainer.
async fn end_remotely(
    shared: &Arc<Shared>,
    job: &Name,
    grant: &Grant,
) -> Result<bool, Response<Body>> {
    let call = |client: PeerClient, context, _, workspace| {
        let job = job.clone();
        async move {
            match workspace {
                Some(workspace) => client.end_job_for(context, workspace, job).await,
                None => client.end_job(context, job).await,
            }
        }
    };
    match call_owner(shared, job, claim::END_TIMEOUT, grant, call).await {
        OwnerCall::Answer(is_stored) => Ok(is_stored),
        OwnerCall::Stored(stored) => {
            match access::may_access(shared, job, grant).await {
                Ok(true) => {}
                Ok(false) => return Err(other_workspace(job)),
                Err(error) => return Err(unavailable(job, &error)),
            }
            Ok(stored.head.ended || claim::end(shared, job).await)
        }
        OwnerCall::Failed(response) => Err(response),
    }
}

/// The outcome of calling the owner of a job.
enum OwnerCall<T> {
    /// The job's owner has responded.
    Answer(T),
    /// No live owner has responded; the store has this head.
    Stored(StoredHead),
    /// The job does not exist or can't be read; the trainer gets this response.
    Failed(Response<Body>),
}

/// Calls the owner of a job if another live process owns it, and reads the job's head from the
/// store otherwise. Tries the last known owner first, then the likely ones, then the one in the
/// store, each once. `call` gets what is left of `wait`, and the workspace that the owner is to compare with that
/// of the job, if it is to do so.
async fn call_owner<T, F>(
    shared: &Shared,
    job: &Name,
    wait: Duration,
    grant: &Grant,
    call: impl Fn(PeerClient, Context, Duration, Option<Name>) -> F,
) -> OwnerCall<T>
where
    F: Future<Output = Result<Result<T, CallError>, tarpc::client::RpcError>>,
{
    let deadline = shared.now() + wait;
    let mut asked: Vec<Owner> = Vec::new();
    let known = shared.jobs.known_owner(job);
    for owner in known.into_iter().chain(likely_owners(shared)) {
        if asked.contains(&owner) {
            continue;
        }
        match call_process(shared, job, &owner, deadline, grant, &call).await {
            Some(Ok(answer)) => {
                shared.jobs.set_known_owner(job, Some(owner));
                return OwnerCall::Answer(answer);
            }
            Some(Err(response)) => return OwnerCall::Failed(response),
            None => asked.push(owner),
        }
    }
    let stored = match ledger::read_head(shared, job).await {
        Ok(stored) => stored,
        Err(Error::NotFound) => {
            spdlog::info!("job does not exist", kv: { job = job.as_str() });
            shared.jobs.forget(job);
            return OwnerCall::Failed(not_found());
        }
        Err(error) => return OwnerCall::Failed(unavailable(job, &error)),
    };
    let Some(owner) = stored.head.owner.clone() else {
        return OwnerCall::Stored(stored);
    };
    if asked.contains(&owner) {
        return OwnerCall::Stored(stored);
    }
    match call_process(shared, job, &owner, deadline, grant, &call).await {
        Some(Ok(answer)) => {
            shared.jobs.set_known_owner(job, Some(owner));
            OwnerCall::Answer(answer)
        }
        Some(Err(response)) => OwnerCall::Failed(response),
        None => OwnerCall::Stored(stored),
    }
}

/// Returns the processes that new jobs of the batch routes are assigned to. A call to one costs
/// less than a read of the store, and a process that does not own the job responds at once.
fn likely_owners(shared: &Shared) -> Vec<Owner> {
    let Some(table) = shared.table() else {
        return Vec::new();
    };
    let members = shared.members.borrow();
    let mut owners: Vec<Owner> = table
        .routes()
        .filter(|route| route.kind == Kind::Batch)
        .take(MAX_LIKELY_OWNERS)
        .filter_map(|route| Some(members.node_for(&route.name)?.owner.clone()))
        .collect();
    owners.sort();
    owners.dedup();
    owners
}

/// Calls a process about a job that it may own. Returns `None` if the process is this one, has no
/// member entry, does not respond, or does not own the job. A failed call removes the cached owner.
/// The process may wait for a result until `deadline`.
///
/// A process of an earlier build can't compare workspaces, so that this node does it before the call.
///
/// # Errors
///
/// Returns the response for the trainer if the job belongs to another workspace, or its workspace is unknown.
async fn call_process<T, F>(
    shared: &Shared,
    job: &Name,
    owner: &Owner,
    deadline: Instant,
    grant: &Grant,
    call: impl Fn(PeerClient, Context, Duration, Option<Name>) -> F,
) -> Option<Result<T, Response<Body>>>
where
    F: Future<Output = Result<Result<T, CallError>, tarpc::client::RpcError>>,
{
    let (may_be_alive, compares) = {
        let members = shared.members.borrow();
        let may_be_alive = members.is_live(owner) || members.is_recovering(shared.now());
        (may_be_alive, members.speaks(owner, WORKSPACE_PROTOCOL))
    };
    if *owner == shared.owner || !may_be_alive {
        return None;
    }
    let workspace = match compares {
        true => grant.workspace().cloned(),
        false => match access::may_access(shared, job, grant).await {
            Ok(true) => None,
            Ok(false) => return Some(Err(other_workspace(job))),
            Err(Error::NotFound) => return None,
            Err(error) => return Some(Err(unavailable(job, &error))),
        },
    };
    let wait = deadline.saturating_duration_since(shared.now());
    let called = shared
        .peers
        .call(owner.address, wait + MAX_RELAY_TIME, |client, context| {
            call(client, context, wait, workspace)
        })
        .await;
    let error = match called {
        Ok(Ok(answer)) => return Some(Ok(answer)),
        Ok(Err(CallError::OtherWorkspace)) => return Some(Err(other_workspace(job))),
        Ok(Err(error)) | Err(error) => error,
    };
    if error != CallError::NotOwner {
        spdlog::info!("job owner did not respond", kv: {
            job = job.as_str(), owner = owner.to_string(), reason = format!("{error:?}"),
        });
    }
    shared.jobs.set_known_owner(job, None);
    None
}

/// Returns the response to a call about a job of another workspace. It does not tell that the job exists.
fn other_workspace(job: &Name) -> Response<Body> {
    spdlog::info!("job belongs to another workspace than the caller", kv: { job = job.as_str() });
    not_found()
}

fn not_found() -> Response<Body> {
    response::text(StatusCode::NOT_FOUND, "the job does not exist")
}

/// Returns the response to a call about a job that can't be read now.
fn unavailable(job: &Name, error: &Error) -> Response<Body> {
    spdlog::warn!("failed to read job", kv: { job = job.as_str(), error = error.to_string() });
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
