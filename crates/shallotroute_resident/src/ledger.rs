//! The durable records of batch jobs in the platform's store: keys, reads and conditional writes.

use std::{sync::Arc, time::Duration};

use serde::de::DeserializeOwned;
use shallotroute_adapter::{
    registry,
    store::{Item, Write, WriteOutcome},
};
use shallotroute_batch::record::{self, Checkpoint, Chunk, Head, ItemResult, Specification};
use shallotroute_types::name::Name;
use tokio::time::Instant;

use crate::{
    admission, member,
    shared::Shared,
    store::{Error, Result},
    usage,
};

/// The prefix of jobs' heads.
pub(crate) const HEAD_PREFIX: &str = "shallotroute/job/head/";

/// The prefix of the parts of jobs' specifications.
const SPECIFICATION_PREFIX: &str = "shallotroute/job/specification/";

/// The prefix of jobs' results.
const RESULT_PREFIX: &str = "shallotroute/job/result/";

/// The prefix of jobs' checkpoints.
const CHECKPOINT_PREFIX: &str = "shallotroute/job/checkpoint/";

/// The delay between two attempts of a call to the store.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of keys that one write removes; the store accepts 32 entries a write.
const MAX_REMOVALS_PER_WRITE: usize = 30;

/// A job's head with its revision in the store.
pub(crate) struct StoredHead {
    pub(crate) head: Head,
    pub(crate) revision: u64,
}

/// The outcome of a write of a head.
pub(crate) enum Outcome {
    /// The head was written with this revision.
    Done(u64),
    /// The store has another head.
    Superseded,
    /// The head was not written.
    NotDone(String),
    /// The head may have been written.
    Unknown(String),
}

/// Reads a job's head; the read is linearizable.
///
/// # Errors
///
/// Returns [`Error::NotFound`] if the job does not exist, and another error if the head can't be
/// read or decoded.
pub(crate) async fn read_head(shared: &Shared, job: &Name) -> Result<StoredHead> {
    let item = shared.store.get(&head_key(job)).await?;
    decode_head(&item)
}

/// Decodes a head.
///
/// # Errors
///
/// Returns [`Error::OutcomeUnknown`] if the value is not a head; the error is logged.
pub(crate) fn decode_head(item: &Item) -> Result<StoredHead> {
    let head = record::decode("head", &item.value).map_err(|error| {
        spdlog::error!("failed to decode record", kv: {
            key = item.key.as_str(), error = error.to_string(),
        });
        Error::OutcomeUnknown(error.to_string())
    })?;
    Ok(StoredHead {
        head,
        revision: item.revision,
    })
}

/// Reads a job's specification and committed results.
///
/// # Errors
///
/// Returns an error if a record can't be read or decoded, or if the results have a gap.
pub(crate) async fn load(
    shared: &Shared,
    job: &Name,
    head: &Head,
) -> Result<(Arc<Specification>, Vec<ItemResult>)> {
    let specification = load_specification(shared, job, head).await?;
    Ok((specification, load_results(shared, job).await?))
}

/// Reads a job's specification from its parts.
///
/// # Errors
///
/// Returns an error if a part can't be read or the specification can't be decoded.
pub(crate) async fn load_specification(
    shared: &Shared,
    job: &Name,
    head: &Head,
) -> Result<Arc<Specification>> {
    let mut encoded = Vec::new();
    for part in 0..head.parts as usize {
        let item = shared.store.get(&specification_key(job, part)).await?;
        encoded.extend_from_slice(&item.value);
    }
    decode_specification(&encoded).map(Arc::new)
}

/// Reads the committed results in the order of their positions.
async fn load_results(shared: &Shared, job: &Name) -> Result<Vec<ItemResult>> {
    let (items, _) = shared
        .store
        .range(&format!("{RESULT_PREFIX}{job}/"))
        .await?;
    let mut results = Vec::new();
    for item in items {
        let chunk: Chunk = decode("chunk of results", &item.value)?;
        if chunk.start as usize != results.len() {
            return Err(Error::OutcomeUnknown(format!(
                "results of job {job} have a gap at {}",
                results.len()
            )));
        }
        results.extend(chunk.results);
    }
    Ok(results)
}

/// Writes the checkpoints of a job in place of earlier ones if its head has this revision. Returns
/// whether it has, that is, whether they were written.
///
/// # Errors
///
/// Returns an error if the store can't be reached.
pub(crate) async fn write_checkpoints(
    shared: &Shared,
    job: &Name,
    revision: u64,
    checkpoints: &[Checkpoint],
) -> Result<bool> {
    let write = Write {
        conditions: vec![(head_key(job), revision)],
        puts: vec![(checkpoint_key(job), record::encode(checkpoints), 0)],
        removals: Vec::new(),
    };
    let outcome = shared.store.write(&write).await?;
    Ok(matches!(outcome, WriteOutcome::Applied(_)))
}

/// Reads the stored checkpoints of a job; there may be none.
///
/// # Errors
///
/// Returns an error if the store can't be reached or the checkpoints can't be decoded.
pub(crate) async fn load_checkpoints(shared: &Shared, job: &Name) -> Result<Vec<Checkpoint>> {
    match shared.store.get(&checkpoint_key(job)).await {
        Ok(item) => decode("checkpoints", &item.value),
        Err(Error::NotFound) => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}

/// Removes all records of a job, unless its head has changed since `stored` was read.
///
/// # Errors
///
/// Returns an error if the store can't be reached or the head has changed; some records may remain
/// then.
pub(crate) async fn remove(shared: &Shared, job: &Name, stored: &StoredHead) -> Result<()> {
    let (items, _) = shared
        .store
        .range(&format!("{RESULT_PREFIX}{job}/"))
        .await?;
    let (checkpoints, _) = shared.store.range(&checkpoint_key(job)).await?;
    let results = items.into_iter().chain(checkpoints).map(|item| item.key);
    let parts = (0..stored.head.parts as usize).map(|part| specification_key(job, part));
    // The specification goes first, so that a reader in between fails instead of finding no results. The
    // head goes last, so that the next scan finds an interrupted removal.
    let mut keys: Vec<String> = parts.chain(results).collect();
    keys.push(head_key(job));
    for removals in keys.chunks(MAX_REMOVALS_PER_WRITE) {
        let write = Write {
            conditions: vec![(head_key(job), stored.revision)],
            removals: removals.to_vec(),
            ..Write::default()
        };
        if let WriteOutcome::Conflict(_) = shared.store.write(&write).await? {
            return Err(Error::NotApplied("the head has changed".to_owned()));
        }
    }
    Ok(())
}

/// Writes a head and `puts` if the head's revision is `expected`, which is 0 for a new job. Retries
/// until the outcome is known or `timeout` has passed; an earlier attempt whose response was lost
/// is recognized by the head's nonce.
pub(crate) async fn write_head(
    shared: &Shared,
    job: &Name,
    head: &Head,
    expected: u64,
    puts: Vec<(String, Vec<u8>, u64)>,
    timeout: Duration,
) -> Outcome {
    let key = head_key(job);
    let mut write = Write {
        conditions: vec![(key.clone(), expected)],
        puts,
        removals: Vec::new(),
    };
    write.puts.push((key.clone(), record::encode(head), 0));
    let write = Arc::new(write);
    let deadline = Instant::now() + timeout;
    let mut lost = None;
    loop {
        match shared.store.write_shared(&write).await {
            Ok(WriteOutcome::Applied(revision)) => return Outcome::Done(revision),
            Ok(WriteOutcome::Conflict(items)) => {
                let stored = items
                    .iter()
                    .find(|item| item.key == key)
                    .and_then(|item| decode_head(item).ok());
                return match stored {
                    Some(stored) if stored.head.nonce == head.nonce => {
                        Outcome::Done(stored.revision)
                    }
                    _ => Outcome::Superseded,
                };
            }
            // No attempt has reached the store, so that the caller can try another node at once.
            Err(Error::NotApplied(reason)) if lost.is_none() => return Outcome::NotDone(reason),
            Err(Error::NotApplied(_)) => {}
            Err(error) => lost = Some(error.to_string()),
        }
        if Instant::now() >= deadline {
            return Outcome::Unknown(lost.unwrap_or_default());
        }
        tokio::time::sleep(admission::pause(RETRY_DELAY)).await;
    }
}

/// Decodes a specification.
///
/// # Errors
///
/// Returns [`Error::OutcomeUnknown`] if the bytes are no specification.
pub(crate) fn decode_specification(bytes: &[u8]) -> Result<Specification> {
    Specification::decode(bytes).map_err(|error| Error::OutcomeUnknown(error.to_string()))
}

/// Decodes a record; `kind` names it in the error.
///
/// # Errors
///
/// Returns [`Error::OutcomeUnknown`] if the bytes are no such record.
pub(crate) fn decode<T: DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T> {
    record::decode(kind, bytes).map_err(|error| Error::OutcomeUnknown(error.to_string()))
}

pub(crate) fn head_key(job: &str) -> String {
    format!("{HEAD_PREFIX}{job}")
}

pub(crate) fn specification_key(job: &str, part: usize) -> String {
    format!("{SPECIFICATION_PREFIX}{job}/{part:04}")
}

fn checkpoint_key(job: &str) -> String {
    format!("{CHECKPOINT_PREFIX}{job}")
}

pub(crate) fn result_key(job: &str, start: u32) -> String {
    format!("{RESULT_PREFIX}{job}/{start:08}")
}

/// Returns what a key or a prefix is about, for metrics and logs.
pub(crate) fn subject(key: &str) -> &'static str {
    const SUBJECTS: [(&str, &str); 8] = [
        (HEAD_PREFIX, "head"),
        (SPECIFICATION_PREFIX, "specification"),
        (RESULT_PREFIX, "result"),
        (CHECKPOINT_PREFIX, "checkpoint"),
        (usage::PREFIX, "usage"),
        (member::PREFIX, "member"),
        (registry::SERVER_PREFIX, "server"),
        (registry::OPERATOR_PREFIX, "operator"),
    ];
    let found = SUBJECTS.iter().find(|(prefix, _)| key.starts_with(prefix));
    found.map_or("other", |(_, subject)| subject)
}

/// Converts a length to `u32`; longer ones become [`u32::MAX`].
pub(crate) fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
