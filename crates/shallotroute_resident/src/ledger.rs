//! The records of batch jobs in the platform's store: their keys, reads and conditional writes.

use std::{sync::Arc, time::Duration};

use serde::de::DeserializeOwned;
use shallotroute_adapter::store::{Item, Write, Written};
use shallotroute_batch::record::{self, Chunk, Head, Listed, Specification};
use shallotroute_types::name::Name;
use tokio::time::Instant;

use crate::{
    shared::Shared,
    store::{Error, Result},
};

/// The prefix of jobs' heads.
pub(crate) const HEAD_PREFIX: &str = "shallotroute/job/head/";

/// The prefix of the parts of jobs' specifications.
const SPECIFICATION_PREFIX: &str = "shallotroute/job/specification/";

/// The prefix of jobs' results.
const RESULT_PREFIX: &str = "shallotroute/job/result/";

/// The pause between two tries of a write.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The most keys that one write removes; the store takes 32 entries.
const MAX_REMOVALS: usize = 30;

/// A job as the store has it.
pub(crate) struct Stored {
    pub(crate) head: Head,
    pub(crate) revision: u64,
}

/// How a write of a head ended.
pub(crate) enum Outcome {
    /// It was written with this revision.
    Done(u64),
    /// The head is another.
    Other,
    /// Nothing was written.
    NotDone(String),
    /// It may have been written.
    Open(String),
}

/// Reads a job's head; linearizable.
pub(crate) async fn read_head(shared: &Shared, job: &Name) -> Result<Stored> {
    let item = shared.store.get(&head_key(job)).await?;
    decode_head(&item)
}

/// Decodes a head.
pub(crate) fn decode_head(item: &Item) -> Result<Stored> {
    let head = record::decode("head", &item.value).map_err(|error| {
        spdlog::error!("record can't be read", kv: { key = item.key.as_str(), error = error.to_string() });
        Error::OutcomeUnknown(error.to_string())
    })?;
    Ok(Stored {
        head,
        revision: item.revision,
    })
}

/// Reads a job's specification and results.
pub(crate) async fn load(
    shared: &Shared,
    job: &Name,
    head: &Head,
) -> Result<(Arc<Specification>, Vec<Listed>)> {
    let specification = load_specification(shared, job, head).await?;
    Ok((specification, load_results(shared, job).await?))
}

/// Reads a job's specification.
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
    decode("specification", &encoded).map(Arc::new)
}

async fn load_results(shared: &Shared, job: &Name) -> Result<Vec<Listed>> {
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

/// Removes all records of a job that nobody reads any more.
pub(crate) async fn remove(shared: &Shared, job: &Name, stored: &Stored) -> Result<()> {
    let (items, _) = shared
        .store
        .range(&format!("{RESULT_PREFIX}{job}/"))
        .await?;
    let results = items.into_iter().map(|item| item.key);
    let parts = (0..stored.head.parts as usize).map(|part| specification_key(job, part));
    let mut keys: Vec<String> = results.chain(parts).collect();
    keys.push(head_key(job));
    // The head goes last, so that an interrupted removal is found again.
    for removals in keys.chunks(MAX_REMOVALS) {
        let write = Write {
            conditions: vec![(head_key(job), stored.revision)],
            removals: removals.to_vec(),
            ..Write::default()
        };
        shared.store.write(&write).await?;
    }
    Ok(())
}

/// Writes a head until the outcome is known or `limit` is over.
pub(crate) async fn write_head(
    shared: &Shared,
    job: &Name,
    head: &Head,
    expected: u64,
    puts: Vec<(String, Vec<u8>, u64)>,
    limit: Duration,
) -> Outcome {
    let key = head_key(job);
    let mut write = Write {
        conditions: vec![(key.clone(), expected)],
        puts,
        removals: Vec::new(),
    };
    write.puts.push((key.clone(), record::encode(head), 0));
    let until = Instant::now() + limit;
    let mut open = None;
    loop {
        match shared.store.write(&write).await {
            Ok(Written::Done(revision)) => return Outcome::Done(revision),
            Ok(Written::Conflict(items)) => {
                let stored = items
                    .iter()
                    .find(|item| item.key == key)
                    .and_then(|item| decode_head(item).ok());
                return match stored {
                    Some(stored) if stored.head.nonce == head.nonce => {
                        Outcome::Done(stored.revision)
                    }
                    _ => Outcome::Other,
                };
            }
            // No try has reached the store: the caller is told at once, and may ask another node.
            Err(Error::NotApplied(reason)) if open.is_none() => return Outcome::NotDone(reason),
            Err(Error::NotApplied(_)) => {}
            Err(error) => open = Some(error.to_string()),
        }
        if Instant::now() >= until {
            return Outcome::Open(open.unwrap_or_default());
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

pub(crate) fn decode<T: DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T> {
    record::decode(kind, bytes).map_err(|error| Error::OutcomeUnknown(error.to_string()))
}

pub(crate) fn head_key(job: &str) -> String {
    format!("{HEAD_PREFIX}{job}")
}

pub(crate) fn specification_key(job: &str, part: usize) -> String {
    format!("{SPECIFICATION_PREFIX}{job}/{part:04}")
}

pub(crate) fn result_key(job: &str, start: u32) -> String {
    format!("{RESULT_PREFIX}{job}/{start:08}")
}

pub(crate) fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
