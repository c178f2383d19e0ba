//! Ownership of batch jobs in the platform's store: acceptance, takeover, release and end.
//!
//! A job's head names its owner; a process claims a job by writing itself into the head. All writes
//! about a job are conditional on the head's revision, so that only the process that wrote the head
//! last can write.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::store::{Write, WriteOutcome};
use shallotroute_batch::{
    claim::Claim,
    job::Job,
    record::{self, Checkpoint, Chunk, Head, ItemResult, MAX_PART_BYTES, Specification},
};
use shallotroute_fleet::access::Grant;
use shallotroute_types::name::Name;
use tokio::time::Instant;

use crate::{
    access, admission, checkpoint,
    job::{Owned, Reservation},
    ledger::{self, StoredHead},
    member::Member,
    metric::Metrics,
    presence, runner,
    shared::Shared,
    store::{Error, LARGE_WRITE_BYTES, Result},
};

/// How long the write of a head that accepts or takes over a job is retried while its outcome is
/// unknown.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

/// The timeout of the call that starts an accepted job at its assignee.
const START_TIMEOUT: Duration = Duration::from_millis(350);

/// The rate at which the specification of a job has to reach its assignee; an ordinary one takes some milliseconds.
const MIN_TRANSFER_BYTES_PER_SECOND: f64 = 8e6;

/// How long the write of a job's end or release is retried.
pub(crate) const END_TIMEOUT: Duration = Duration::from_millis(1500);

/// The interval between two attempts of [`end_later`]. A job whose end is stored this long after the store is back has not
/// been taken over yet.
const END_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The time by which the deadline of a job's items and the retention of its records are extended, because
/// the clock of the node that accepted the job and that of another node may differ.
pub(crate) const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(3);

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// The job is stored.
    Accepted,
    /// A job with this identity was stored before.
    Duplicate,
    /// The job is not stored and will not be.
    Refused(String),
    /// The job may have been stored.
    Unknown(String),
}

/// How this node has become the owner of a job.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Origin {
    /// It has accepted the job.
    #[display("accepted")]
    Accepted,
    /// Another node has accepted the job on its behalf.
    #[display("assigned")]
    Assigned,
    /// It has claimed a job that another process owned.
    #[display("taken_over")]
    TakenOver,
}

/// What a job starts from at this node: what former owners have done, nothing for a new job.
struct Progress {
    origin: Origin,
    claim: Claim,
    /// The committed results.
    results: Vec<ItemResult>,
    /// The progress of other items.
    checkpoints: Vec<Checkpoint>,
}

impl Progress {
    fn new(origin: Origin, claim: Claim) -> Self {
        Self {
            origin,
            claim,
            results: Vec::new(),
            checkpoints: Vec::new(),
        }
    }
}

/// Stores a new job and starts it at the node that runs the jobs of its route: that node has open
/// connections and knows the load of the route's other jobs.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    job: &Name,
    route: &Name,
    specification: Specification,
) -> Acceptance {
    let Ok(_room) = shared.memory.keep(specification.body_bytes()) else {
        return Acceptance::Refused("the memory budget is exhausted".to_owned());
    };
    let (encoded, parts) = encode(&specification);
    let assignee = shared.members.borrow().node_for(route).cloned();
    let owner = match &assignee {
        Some(assignee) => &assignee.owner,
        None if presence::ensure_registered(shared).await => &shared.owner,
        None => return Acceptance::Refused("no node is registered to run jobs".to_owned()),
    };
    let head = Head {
        owner: Some(owner.clone()),
        nonce: rand::random(),
        total: ledger::saturating_u32(specification.items.len()),
        parts: ledger::saturating_u32(parts.len()),
        submitted_ms: shared.unix_ms(),
        ended: false,
    };
    let puts = parts
        .into_iter()
        .enumerate()
        .map(|(index, part)| (ledger::specification_key(job, index), part, 0))
        .collect();
    let claim = Claim::new(shared.boot_time());
    match ledger::write_head(shared, job, &head, 0, puts, CLAIM_TIMEOUT).await {
        ledger::Outcome::Done(revision) => {
            let stored = StoredHead { head, revision };
            match assignee.filter(|assignee| assignee.owner != shared.owner) {
                Some(assignee) => {
                    shared
                        .jobs
                        .set_known_owner(job, Some(assignee.owner.clone()));
                    let encoded = encoded.unwrap_or_else(|| specification.encode());
                    drop(specification);
                    let remote_start =
                        start_remotely(Arc::clone(shared), job.clone(), assignee, stored, encoded);
                    tokio::spawn(remote_start);
                }
                None => {
                    // Without a reservation, a task has seen the new head and takes the job over.
                    if let Some(reservation) = Reservation::new(shared, job) {
                        let progress = Progress::new(Origin::Accepted, claim);
                        start(&reservation, stored, Arc::new(specification), progress);
                    }
                }
            }
            Acceptance::Accepted
        }
        ledger::Outcome::Superseded => Acceptance::Duplicate,
        ledger::Outcome::NotDone(reason) => Acceptance::Refused(reason),
        ledger::Outcome::Unknown(reason) => {
            tokio::spawn(resolve_acceptance(
                Arc::clone(shared),
                job.clone(),
                head.nonce,
            ));
            Acceptance::Unknown(reason)
        }
    }
}

/// Encodes a specification: as a whole, unless it is large, and in parts.
fn encode(specification: &Specification) -> (Option<Vec<u8>>, Vec<Vec<u8>>) {
    if specification.body_bytes() > LARGE_WRITE_BYTES {
        return (None, specification.encode_parts());
    }
    let encoded = specification.encode();
    let parts = encoded.chunks(MAX_PART_BYTES).map(<[u8]>::to_vec).collect();
    (Some(encoded), parts)
}

/// Starts an accepted job at the node that its head names; takes the job over if that node does not
/// start it.
async fn start_remotely(
    shared: Arc<Shared>,
    job: Name,
    assignee: Member,
    stored: StoredHead,
    specification: Vec<u8>,
) {
    let (id, head, revision) = (job.clone(), record::encode(&stored.head), stored.revision);
    let transfer = specification.len() as f64 / MIN_TRANSFER_BYTES_PER_SECOND;
    let start_timeout = START_TIMEOUT + Duration::from_secs_f64(transfer);
    let start_result = shared
        .peers
        .call(
            assignee.owner.address,
            start_timeout,
            |client, context| async move {
                client
                    .start_job(context, id, head, revision, specification)
                    .await
            },
        )
        .await;
    if matches!(start_result, Ok(true)) {
        return;
    }
    spdlog::warn!("assigned node did not start the job; taking it over", kv: {
        job = job.as_str(),
        node = assignee.owner.to_string(),
        outcome = format!("{start_result:?}"),
    });
    shared.jobs.set_known_owner(&job, None);
    take_over(&shared, &job, stored).await;
}

/// Starts a job that another node has accepted for this one. Returns whether this node runs it.
pub(crate) fn start_assigned(
    shared: &Arc<Shared>,
    job: &Name,
    head: &[u8],
    revision: u64,
    specification: &[u8],
) -> bool {
    if shared.drain.is_cancelled() || shared.memory.keep(specification.len()).is_err() {
        return false;
    }
    let decoded = ledger::decode::<Head>("head", head)
        .and_then(|head| Ok((head, ledger::decode_specification(specification)?)));
    match decoded {
        Ok((head, specification)) if head.owner.as_ref() == Some(&shared.owner) => {
            if let Some(reservation) = Reservation::new(shared, job) {
                let stored = StoredHead { head, revision };
                let specification = Arc::new(specification);
                start(
                    &reservation,
                    stored,
                    specification,
                    Progress::new(Origin::Assigned, Claim::unconfirmed()),
                );
            }
            true
        }
        Ok(_) => false,
        Err(error) => {
            spdlog::error!("failed to decode assigned job", kv: {
                job = job.as_str(), error = error.to_string(),
            });
            false
        }
    }
}

/// Runs a job whose acceptance had an unknown outcome, once the store shows that it was written.
async fn resolve_acceptance(shared: Arc<Shared>, job: Name, nonce: u64) {
    // A write without a response takes effect within seconds or never.
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        if let Ok(stored) = ledger::read_head(&shared, &job).await
            && stored.head.nonce == nonce
        {
            spdlog::info!("found job acceptance in the platform store", kv: { job = job.as_str() });
            if !adopt(&shared, &job).await {
                spdlog::warn!("failed to claim accepted job", kv: { job = job.as_str() });
            }
            return;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Claims a job unless this node owns it already, and resumes it from its stored records. Does not
/// check whether its former owner is alive. Returns whether this node owns it now.
pub(crate) async fn adopt(shared: &Arc<Shared>, job: &Name) -> bool {
    if shared.jobs.owned(job).is_some() {
        return true;
    }
    match ledger::read_head(shared, job).await {
        Ok(stored) => take_over(shared, job, stored).await,
        Err(error) => {
            spdlog::warn!("failed to read job to take it over", kv: {
                job = job.as_str(), error = error.to_string(),
            });
            false
        }
    }
}

/// Claims a job whose head was read before, and resumes it from its stored records and other nodes'
/// checkpoints. Returns whether this node owns the job or is about to; `false` if the job has ended
/// or the write of the head fails.
pub(crate) async fn take_over(shared: &Arc<Shared>, job: &Name, stored: StoredHead) -> bool {
    if stored.head.ended {
        return false;
    }
    let Some(reservation) = Reservation::new(shared, job) else {
        return true;
    };
    // Without an entry this node would not count as the job's live owner.
    if !presence::ensure_registered(shared).await {
        return false;
    }
    let former_owner = stored.head.owner.clone();
    let Some((stored, claim)) = claim_head(shared, job, stored).await else {
        return false;
    };
    // An item that has started without its checkpoint would generate from its first event again.
    let (records, checkpoints) = tokio::join!(
        ledger::load(shared, job, &stored.head),
        checkpoint::collect(shared, job)
    );
    let (specification, results) = match records {
        Ok(records) => records,
        Err(error) => {
            spdlog::warn!("failed to load claimed job; retrying", kv: {
                job = job.as_str(), error = error.to_string(),
            });
            tokio::spawn(retry_load(reservation, stored, claim, checkpoints));
            return true;
        }
    };
    Metrics::count(&shared.metrics.jobs, "taken_over");
    spdlog::info!("job taken over", kv: {
        job = job.as_str(),
        from = former_owner.map_or_else(|| "none".to_owned(), |owner| owner.to_string()),
        revision = stored.revision,
        listed = results.len(),
        total = specification.items.len(),
        drafts = checkpoints.len(),
    });
    let progress = Progress {
        origin: Origin::TakenOver,
        claim,
        results,
        checkpoints,
    };
    start(&reservation, stored, specification, progress);
    true
}

/// Writes this process as the owner into a job's head. Returns the new head and the claim, or `None` if
/// another process has changed the head or the outcome of the write stays unknown.
async fn claim_head(
    shared: &Shared,
    job: &Name,
    stored: StoredHead,
) -> Option<(StoredHead, Claim)> {
    let head = Head {
        owner: Some(shared.owner.clone()),
        nonce: rand::random(),
        ..stored.head
    };
    let claim = Claim::new(shared.boot_time());
    let outcome = ledger::write_head(
        shared,
        job,
        &head,
        stored.revision,
        Vec::new(),
        CLAIM_TIMEOUT,
    )
    .await;
    match outcome {
        ledger::Outcome::Done(revision) => Some((StoredHead { head, revision }, claim)),
        _ => None,
    }
}

/// Loads a claimed job, retrying until it succeeds, and starts it.
async fn retry_load(
    reservation: Reservation,
    stored: StoredHead,
    claim: Claim,
    checkpoints: Vec<Checkpoint>,
) {
    let (shared, job) = (reservation.shared(), reservation.job());
    loop {
        tokio::time::sleep(admission::pause(ledger::RETRY_DELAY)).await;
        if let Ok((specification, results)) = ledger::load(shared, job, &stored.head).await {
            let progress = Progress {
                origin: Origin::TakenOver,
                claim,
                results,
                checkpoints,
            };
            start(&reservation, stored, specification, progress);
            return;
        }
    }
}

/// Takes over the unfinished jobs of earlier processes of this node.
pub(crate) async fn resume_jobs(shared: Arc<Shared>) {
    let mut failures = 0_u32;
    let heads = loop {
        match shared.store.range(ledger::HEAD_PREFIX).await {
            Ok((heads, _)) => break heads,
            Err(error) => {
                if failures == 0 {
                    spdlog::warn!("failed to read jobs of earlier processes; retrying", kv: {
                        error = error.to_string(),
                    });
                }
                failures += 1;
                tokio::time::sleep(admission::pause(ledger::RETRY_DELAY * 3)).await;
            }
        }
    };
    for item in heads {
        let (Some(job), Ok(stored)) = (
            item.key.strip_prefix(ledger::HEAD_PREFIX).map(Name::from),
            ledger::decode_head(&item),
        ) else {
            continue;
        };
        let is_of_earlier_process = stored.head.owner.as_ref().is_some_and(|owner| {
            owner.node == shared.owner.node && owner.incarnation != shared.owner.incarnation
        });
        if is_of_earlier_process && !stored.head.ended {
            take_over(&shared, &job, stored).await;
        }
    }
}

/// Marks a job as ended, whichever process owns it. Returns whether the end is stored.
pub(crate) async fn end(shared: &Shared, job: &Name) -> bool {
    let deadline = Instant::now() + END_TIMEOUT;
    loop {
        match try_end(shared, job).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(error) => {
                spdlog::warn!("failed to store the end of a job; retrying", kv: {
                    job = job.as_str(), error = error.to_string(),
                });
            }
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(admission::pause(ledger::RETRY_DELAY)).await;
    }
}

/// Goes on storing the end of a job that [`end`] could not store in time, for as long as the job's records are kept: its
/// trainer may not ask again, and a job that is not marked as ended would be taken over and run.
pub(crate) fn end_later(shared: &Arc<Shared>, job: &Name, grant: &Grant) {
    let ending = (job.clone(), grant.workspace().cloned());
    if !shared.jobs.begin_ending(&ending) {
        return;
    }
    let (shared, job, grant) = (Arc::clone(shared), job.clone(), grant.clone());
    tokio::spawn(async move {
        let deadline = Instant::now() + shared.settings.retention;
        while Instant::now() < deadline {
            tokio::time::sleep(admission::pause(END_RETRY_DELAY)).await;
            let ended = match access::may_access(&shared, &job, &grant).await {
                Ok(true) => try_end(&shared, &job).await,
                // The job belongs to another workspace.
                Ok(false) => break,
                Err(error) => Err(error),
            };
            match ended {
                Ok(true) => {
                    spdlog::info!("end of job stored late", kv: { job = job.as_str() });
                    break;
                }
                Err(Error::NotFound) => break,
                // The end is stored once the store can be reached.
                Ok(false) | Err(_) => {}
            }
        }
        shared.jobs.finish_ending(&ending);
    });
}

/// Writes the end once. Returns `false` if another process has changed the head since it was read.
async fn try_end(shared: &Shared, job: &Name) -> Result<bool> {
    let requested_at = shared.boot_time();
    let stored = ledger::read_head(shared, job).await?;
    if stored.head.ended {
        return Ok(true);
    }
    let head = Head {
        ended: true,
        nonce: rand::random(),
        ..stored.head.clone()
    };
    let timeout = ledger::RETRY_DELAY;
    let outcome =
        ledger::write_head(shared, job, &head, stored.revision, Vec::new(), timeout).await;
    match outcome {
        ledger::Outcome::Done(revision) => {
            if let Some(owned) = shared.jobs.owned(job) {
                owned.record_end(stored.revision, head, revision, requested_at);
            }
            Ok(true)
        }
        ledger::Outcome::Superseded => Ok(false),
        ledger::Outcome::NotDone(reason) => Err(Error::NotApplied(reason)),
        ledger::Outcome::Unknown(reason) => Err(Error::OutcomeUnknown(reason)),
    }
}

/// Removes this process as the owner of a job, so that another node can claim it. Returns whether
/// the write succeeded.
pub(crate) async fn release(shared: &Shared, owned: &Owned) -> bool {
    let (head, revision) = {
        let state = owned.state();
        let head = Head {
            owner: None,
            nonce: rand::random(),
            ..state.head.clone()
        };
        (head, state.revision)
    };
    let outcome =
        ledger::write_head(shared, &owned.id, &head, revision, Vec::new(), END_TIMEOUT).await;
    matches!(outcome, ledger::Outcome::Done(_))
}

/// Writes a chunk of results, retrying while this process owns the job. Returns `false` when it no
/// longer does.
pub(crate) async fn write_chunk(shared: &Shared, owned: &Owned, chunk: &Chunk) -> bool {
    let key = ledger::result_key(&owned.id, chunk.start);
    let value = record::encode(chunk);
    loop {
        let revision = owned.state().revision;
        let write = Write {
            conditions: vec![(ledger::head_key(&owned.id), revision), (key.clone(), 0)],
            puts: vec![(key.clone(), value.clone(), 0)],
            removals: Vec::new(),
        };
        let requested_at = shared.boot_time();
        match shared.store.write(&write).await {
            Ok(WriteOutcome::Applied(_)) => {
                owned.state().claim.confirm(requested_at);
                return true;
            }
            Ok(WriteOutcome::Conflict(items)) => {
                // An equal value was stored by an earlier attempt whose response was lost.
                let existing = items.iter().find(|item| item.key == key);
                if let Some(existing) = existing {
                    return existing.value == value || stop_after_conflict(owned, chunk.start);
                }
                if confirm_with_store(shared, owned).await == Confirmation::Lost {
                    return false;
                }
            }
            Err(error) => {
                if owned.progress.borrow().is_lost {
                    return false;
                }
                spdlog::warn!("failed to write results; retrying", kv: {
                    job = owned.id.as_str(), start = chunk.start, error = error.to_string(),
                });
            }
        }
        tokio::time::sleep(admission::pause(ledger::RETRY_DELAY)).await;
    }
}

/// Stops a job because another process has written results at the position of its next chunk.
/// Returns `false`, as [`write_chunk`] does then.
fn stop_after_conflict(owned: &Owned, start: u32) -> bool {
    spdlog::error!("another process has written results at this position; stopping the job", kv: {
        job = owned.id.as_str(), start,
    });
    owned
        .progress
        .send_modify(|progress| progress.is_lost = true);
    false
}

/// What the store says about this process's claim to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// This process is the owner.
    Held,
    /// Another process is the owner, or the job does not exist.
    Lost,
    /// The store can't be read.
    Unknown,
}

/// Checks whether this node owns a job; reads the store if the last confirmation is older than
/// `max_age`.
pub(crate) async fn confirm(shared: &Shared, owned: &Owned, max_age: Duration) -> Confirmation {
    match is_confirmed(shared, owned, max_age) {
        true => Confirmation::Held,
        false => confirm_with_store(shared, owned).await,
    }
}

/// Returns whether the store has confirmed a claim within `max_age`.
pub(crate) fn is_confirmed(shared: &Shared, owned: &Owned, max_age: Duration) -> bool {
    let claim = owned.state().claim;
    claim.is_confirmed(max_age, shared.boot_time())
}

/// Reads the head and checks whether it is the one that makes this process the owner.
///
/// The owner's name alone says nothing: a process that has lost a job may own it again by a later claim,
/// with other results. Only the end of a job changes the head otherwise, and [`end`] records it here.
async fn confirm_with_store(shared: &Shared, owned: &Owned) -> Confirmation {
    let requested_at = shared.boot_time();
    let (owner, revision) = match ledger::read_head(shared, &owned.id).await {
        Ok(stored) => (stored.head.owner, stored.revision),
        Err(Error::NotFound) => (None, 0),
        Err(_) => return Confirmation::Unknown,
    };
    let mut state = owned.state();
    if revision == state.revision {
        state.claim.confirm(requested_at);
        return Confirmation::Held;
    }
    // The end of the job was stored by this process after the head was read.
    if (1..state.revision).contains(&revision) {
        return Confirmation::Unknown;
    }
    drop(state);
    spdlog::warn!("lost ownership of job", kv: {
        job = owned.id.as_str(),
        owner = owner.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string),
        revision,
    });
    shared.jobs.set_known_owner(&owned.id, owner);
    owned
        .progress
        .send_modify(|progress| progress.is_lost = true);
    Confirmation::Lost
}

/// Runs a job that this node owns, in a task of its own.
fn start(
    reservation: &Reservation,
    stored: StoredHead,
    specification: Arc<Specification>,
    progress: Progress,
) {
    let (shared, job) = (reservation.shared(), reservation.job());
    let StoredHead { head, revision } = stored;
    let now = shared.now();
    // Items are abandoned after a minute if the configuration has no batch route for the job.
    let abandon_after = shared
        .table()
        .and_then(|table| {
            let route = table.find(&specification.host, &specification.path)?;
            route.batch
        })
        .map_or(Duration::from_secs(60), |batch| batch.abandon_after);
    let age = Duration::from_millis(shared.unix_ms().saturating_sub(head.submitted_ms));
    spdlog::info!("job started at this node", kv: {
        job = job.as_str(),
        origin = progress.origin.to_string(),
        revision,
        listed = progress.results.len(),
        total = specification.items.len(),
        age_ms = age.as_millis(),
    });
    let remaining = (abandon_after + CLOCK_SKEW_MARGIN).saturating_sub(age.min(abandon_after));
    let held = shared.memory.keep_always(specification.body_bytes());
    let mut state_machine = Job::new(specification, progress.results, now + remaining);
    state_machine.restore(progress.checkpoints, now);
    let (owned, events) = Owned::new(
        job.clone(),
        state_machine,
        head,
        revision,
        progress.claim,
        now,
    );
    shared.jobs.insert(Arc::clone(&owned));
    let running = runner::run(Arc::clone(shared), owned, events);
    tokio::spawn(async move {
        running.await;
        // The runner has released the bodies of the items.
        drop(held);
    });
}
