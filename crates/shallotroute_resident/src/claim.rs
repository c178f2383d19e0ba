//! Claims on batch jobs in the platform's store: acceptance, takeover, and the end.
//!
//! A job's head names its owner. All writes about a job are conditional on the head's revision, so
//! that whoever wrote the head last is the only one whose writes have an effect.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::store::{Write, Written};
use shallotroute_batch::{
    record::{self, Chunk, Head, Listed, MAX_PART_BYTES, Specification},
    run::Run,
};
use shallotroute_types::name::Name;
use tokio::time::Instant;

use crate::{
    job::{CLAIM_TRUST, Owned},
    ledger::{self, Outcome, Stored},
    member::Member,
    metric::Metrics,
    runner,
    shared::Shared,
    spare,
    store::{Error, Result},
};

/// How long a submission is tried to be written before its caller is told that the outcome is open.
const ACCEPT_TIME: Duration = Duration::from_millis(1500);

/// How long the node that an accepted job is handed to may take.
const HAND_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a write is tried without an answer before the caller is told so.
pub(crate) const END_TIME: Duration = Duration::from_millis(1500);

/// How long items are given up later than their limit, because the clock of the node that
/// accepted the job may differ from that of the node that took it over.
const CLOCK_MARGIN: Duration = Duration::from_secs(3);

/// What came of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Acceptance {
    /// The job is kept.
    Kept,
    /// The job was kept before.
    Known,
    /// Nothing was written, and nothing will be.
    Refused(String),
    /// It may have been written.
    Open(String),
}

/// Keeps a new job, and has it run by the node that runs the jobs of its route: that node's
/// connections are open and it knows the load that the route's other jobs make.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    job: &Name,
    route: &Name,
    specification: Specification,
) -> Acceptance {
    let encoded = record::encode(&specification);
    let parts: Vec<&[u8]> = encoded.chunks(MAX_PART_BYTES).collect();
    let home = shared.members.borrow().home(route).cloned();
    let owner = home.as_ref().map_or(&shared.owner, |home| &home.owner);
    let head = Head {
        owner: Some(owner.clone()),
        nonce: rand::random(),
        total: ledger::count(specification.items.len()),
        parts: ledger::count(parts.len()),
        submitted: shared.unix_ms(),
        ended: false,
    };
    let puts = parts
        .iter()
        .enumerate()
        .map(|(index, part)| (ledger::specification_key(job, index), part.to_vec(), 0))
        .collect();
    match ledger::write_head(shared, job, &head, 0, puts, ACCEPT_TIME).await {
        Outcome::Done(revision) => {
            let stored = Stored { head, revision };
            match home.filter(|home| home.owner != shared.owner) {
                Some(home) => {
                    shared.jobs.set_owner(job, Some(home.owner.clone()));
                    let handed = hand_to(Arc::clone(shared), job.clone(), home, stored, encoded);
                    tokio::spawn(handed);
                }
                None => {
                    let specification = Arc::new(specification);
                    start(
                        shared,
                        job,
                        stored.head,
                        revision,
                        specification,
                        Vec::new(),
                    );
                }
            }
            Acceptance::Kept
        }
        Outcome::Other => Acceptance::Known,
        Outcome::NotDone(reason) => Acceptance::Refused(reason),
        Outcome::Open(reason) => {
            tokio::spawn(settle_acceptance(
                Arc::clone(shared),
                job.clone(),
                head.nonce,
            ));
            Acceptance::Open(reason)
        }
    }
}

/// Hands an accepted job to the node that its head names; runs it here if that node does not take
/// it.
async fn hand_to(
    shared: Arc<Shared>,
    job: Name,
    home: Member,
    stored: Stored,
    specification: Vec<u8>,
) {
    let (id, head, revision) = (job.clone(), record::encode(&stored.head), stored.revision);
    let started = shared
        .peers
        .call(
            home.owner.address,
            HAND_TIMEOUT,
            |client, context| async move {
                client
                    .start_job(context, id, head, revision, specification)
                    .await
            },
        )
        .await;
    if matches!(started, Ok(true)) {
        return;
    }
    spdlog::warn!("job not taken by its node; running it here", kv: {
        job = job.as_str(), node = home.owner.to_string(), outcome = format!("{started:?}"),
    });
    shared.jobs.set_owner(&job, None);
    take_over(&shared, &job, stored).await;
}

/// Starts a job that another node has accepted for this one.
pub(crate) fn start_handed(
    shared: &Arc<Shared>,
    job: &Name,
    head: &[u8],
    revision: u64,
    specification: &[u8],
) -> bool {
    if shared.drain.is_cancelled() {
        return false;
    }
    let decoded = ledger::decode::<Head>("head", head).and_then(|head| {
        let specification: Specification = ledger::decode("specification", specification)?;
        Ok((head, specification))
    });
    match decoded {
        Ok((head, specification)) if head.owner.as_ref() == Some(&shared.owner) => {
            if shared.jobs.owned(job).is_none() {
                start(
                    shared,
                    job,
                    head,
                    revision,
                    Arc::new(specification),
                    Vec::new(),
                );
            }
            true
        }
        Ok(_) => false,
        Err(error) => {
            spdlog::error!("handed job can't be read", kv: {
                job = job.as_str(), error = error.to_string(),
            });
            false
        }
    }
}

/// Runs a job whose acceptance had no answer, once the store tells that it was written.
async fn settle_acceptance(shared: Arc<Shared>, job: Name, nonce: u64) {
    // A lost write is done within seconds or never.
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if let Ok(stored) = ledger::read_head(&shared, &job).await
            && stored.head.nonce == nonce
        {
            spdlog::info!("acceptance was written after all", kv: { job = job.as_str() });
            if !adopt(&shared, &job).await {
                spdlog::warn!("accepted job not taken", kv: { job = job.as_str() });
            }
            return;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Claims a job that has no live owner, and runs it from what the store has of it. Returns whether
/// this node owns it now.
pub(crate) async fn adopt(shared: &Arc<Shared>, job: &Name) -> bool {
    if shared.jobs.owned(job).is_some() {
        return true;
    }
    match ledger::read_head(shared, job).await {
        Ok(stored) => take_over(shared, job, stored).await,
        Err(error) => {
            spdlog::warn!("job not taken over", kv: { job = job.as_str(), error = error.to_string() });
            false
        }
    }
}

/// Claims a job whose head was read.
pub(crate) async fn take_over(shared: &Arc<Shared>, job: &Name, stored: Stored) -> bool {
    if stored.head.ended || shared.jobs.owned(job).is_some() {
        return false;
    }
    let last = stored.head.owner.clone();
    let head = Head {
        owner: Some(shared.owner.clone()),
        nonce: rand::random(),
        ..stored.head
    };
    let outcome =
        ledger::write_head(shared, job, &head, stored.revision, Vec::new(), ACCEPT_TIME).await;
    let Outcome::Done(revision) = outcome else {
        return false;
    };
    let loaded = ledger::load(shared, job, &head).await;
    let (specification, results) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            spdlog::warn!("claimed job can't be read yet", kv: { job = job.as_str(), error = error.to_string() });
            tokio::spawn(load_later(Arc::clone(shared), job.clone(), head, revision));
            return true;
        }
    };
    Metrics::count(&shared.metrics.jobs, "taken_over");
    spdlog::info!("job taken over", kv: {
        job = job.as_str(),
        from = last.map_or_else(|| "none".to_owned(), |owner| owner.to_string()),
        revision,
        listed = results.len(),
        total = specification.items.len(),
    });
    start(shared, job, head, revision, specification, results);
    let spares = spare::collect(shared, job).await;
    if let Some(owned) = shared.jobs.owned(job)
        && !spares.is_empty()
    {
        spdlog::info!("drafts of the former owner found", kv: {
            job = job.as_str(), drafts = spares.len(),
        });
        let now = shared.now();
        owned.state().run.restore(spares, now);
    }
    true
}

/// Reads a claimed job again until it can be run.
async fn load_later(shared: Arc<Shared>, job: Name, head: Head, revision: u64) {
    loop {
        tokio::time::sleep(ledger::RETRY_PAUSE).await;
        if let Ok((specification, results)) = ledger::load(&shared, &job, &head).await {
            start(&shared, &job, head, revision, specification, results);
            return;
        }
    }
}

/// Takes up the jobs of an earlier process of this node.
pub(crate) async fn resume_own(shared: Arc<Shared>) {
    let mut failures = 0_u32;
    let heads = loop {
        match shared.store.range(ledger::HEAD_PREFIX).await {
            Ok((heads, _)) => break heads,
            Err(error) => {
                if failures == 0 {
                    spdlog::warn!("jobs of an earlier process can't be listed yet", kv: {
                        error = error.to_string(),
                    });
                }
                failures += 1;
                tokio::time::sleep(ledger::RETRY_PAUSE * 3).await;
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
        let earlier = stored.head.owner.as_ref().is_some_and(|owner| {
            owner.node == shared.owner.node && owner.incarnation != shared.owner.incarnation
        });
        if earlier && !stored.head.ended {
            take_over(&shared, &job, stored).await;
        }
    }
}

/// Writes the end of a job, whoever owns it. Returns whether the store keeps it.
pub(crate) async fn end(shared: &Shared, job: &Name) -> bool {
    let until = Instant::now() + END_TIME;
    loop {
        match try_end(shared, job).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(error) => {
                spdlog::warn!("end of job not kept yet", kv: { job = job.as_str(), error = error.to_string() });
            }
        }
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(ledger::RETRY_PAUSE).await;
    }
}

async fn try_end(shared: &Shared, job: &Name) -> Result<bool> {
    let stored = ledger::read_head(shared, job).await?;
    if stored.head.ended {
        return Ok(true);
    }
    let head = Head {
        ended: true,
        nonce: rand::random(),
        ..stored.head
    };
    let left = ledger::RETRY_PAUSE;
    let outcome = ledger::write_head(shared, job, &head, stored.revision, Vec::new(), left).await;
    match outcome {
        Outcome::Done(revision) => {
            if let Some(owned) = shared.jobs.owned(job) {
                let mut state = owned.state();
                state.head = head;
                state.revision = revision;
                state.confirmed = shared.now();
            }
            Ok(true)
        }
        Outcome::Other => Ok(false),
        Outcome::NotDone(reason) => Err(Error::NotApplied(reason)),
        Outcome::Open(reason) => Err(Error::OutcomeUnknown(reason)),
    }
}

/// Gives a job up for another node to take.
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
        ledger::write_head(shared, &owned.id, &head, revision, Vec::new(), END_TIME).await;
    matches!(outcome, Outcome::Done(_))
}

/// Writes a chunk of results under the owner's claim. Returns false when the claim no longer holds.
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
        match shared.store.write(&write).await {
            Ok(Written::Done(_)) => {
                owned.state().confirmed = shared.now();
                return true;
            }
            Ok(Written::Conflict(items)) => {
                // A write whose answer was lost has taken effect.
                let written = items.iter().find(|item| item.key == key);
                if let Some(written) = written {
                    return written.value == value || abandon(owned, chunk.start);
                }
                if !reconfirm(shared, owned).await {
                    return false;
                }
            }
            Err(error) => {
                if owned.progress.borrow().lost {
                    return false;
                }
                spdlog::warn!("results not written yet", kv: {
                    job = owned.id.as_str(), start = chunk.start, error = error.to_string(),
                });
            }
        }
        tokio::time::sleep(ledger::RETRY_PAUSE).await;
    }
}

/// Stops to run a job whose next position holds results that this process did not write.
fn abandon(owned: &Owned, start: u32) -> bool {
    spdlog::error!("results of another process stand where this owner writes", kv: {
        job = owned.id.as_str(), start,
    });
    owned.progress.send_modify(|progress| progress.lost = true);
    false
}

/// Tells whether this node owns a job, by asking the store if the last confirmation is old. While
/// the store can't be asked, the claim holds.
pub(crate) async fn confirm(shared: &Shared, owned: &Owned) -> bool {
    is_fresh(shared, owned) || reconfirm(shared, owned).await
}

/// Tells whether the last confirmation of a claim is recent enough to rely on it.
pub(crate) fn is_fresh(shared: &Shared, owned: &Owned) -> bool {
    let confirmed = owned.state().confirmed;
    shared.now().saturating_duration_since(confirmed) < CLAIM_TRUST
}

/// Reads the head and compares its owner with this process.
async fn reconfirm(shared: &Shared, owned: &Owned) -> bool {
    let begun = shared.now();
    match ledger::read_head(shared, &owned.id).await {
        Ok(stored) if stored.head.owner.as_ref() == Some(&shared.owner) => {
            let mut state = owned.state();
            state.confirmed = begun;
            state.revision = stored.revision;
            if stored.head.ended {
                owned.progress.send_modify(|progress| progress.ended = true);
            }
            state.head = stored.head;
            true
        }
        Ok(stored) => {
            let owner = stored.head.owner;
            spdlog::warn!("job has another owner", kv: {
                job = owned.id.as_str(),
                owner = owner.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string),
                revision = stored.revision,
            });
            shared.jobs.set_owner(&owned.id, owner);
            owned.progress.send_modify(|progress| progress.lost = true);
            false
        }
        Err(Error::NotFound) => {
            spdlog::error!("head of an owned job is gone", kv: { job = owned.id.as_str() });
            owned.progress.send_modify(|progress| progress.lost = true);
            false
        }
        Err(_) => true,
    }
}

fn start(
    shared: &Arc<Shared>,
    job: &Name,
    head: Head,
    revision: u64,
    specification: Arc<Specification>,
    results: Vec<Listed>,
) {
    let now = shared.now();
    let limit = shared
        .table()
        .and_then(|table| {
            let route = table.find(&specification.host, &specification.path)?;
            route.batch
        })
        .map_or(Duration::from_secs(60), |batch| batch.give_up);
    let age = Duration::from_millis(shared.unix_ms().saturating_sub(head.submitted));
    let left = (limit + CLOCK_MARGIN).saturating_sub(age.min(limit));
    let run = Run::new(specification, results, now + left);
    let (owned, events) = Owned::new(job.clone(), run, head, revision, now);
    shared.jobs.insert(Arc::clone(&owned));
    tokio::spawn(runner::run(Arc::clone(shared), owned, events));
}
