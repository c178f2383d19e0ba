//! Writes records of delivered groups to the key-value service, for audit.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, UNIX_EPOCH},
};

use error_stack::Report;
use shallotroute_context::Context;
use shallotroute_platform::{
    error::{Error, Kind, Result},
    store::Store,
};
use shallotroute_rollout::{
    delivery::Response,
    ledger::{Buffer, Document, Group},
    step::Key,
};
use shallotroute_types::version::Version;

/// The interval at which the buffer is checked for batches that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The timeout of writing one batch, reads included.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// The timeout of all remaining writes of a node that stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a value; the key-value service accepts at most 1 MB.
const MAX_VALUE_BYTES: usize = 900_000;

/// The maximum number of keys that the records of one step are spread over.
const MAX_PARTS: usize = 64;

/// Buffers the records of the groups that this node delivers, and writes them in batches.
pub(crate) struct Ledger {
    context: Context,
    store: Arc<dyn Store>,
    buffer: Mutex<Buffer>,
}

impl Ledger {
    /// Creates a ledger without records; [`Ledger::run`] writes what is recorded.
    pub(crate) fn new(context: Context, store: Arc<dyn Store>) -> Self {
        Self {
            context,
            store,
            buffer: Mutex::default(),
        }
    }

    /// Buffers the records of the groups of a response to a pull. `version` is the version that the
    /// trainer has reached.
    pub(crate) fn record(&self, key: &Key, version: Version, response: &Response) {
        let wall_time = self.context.clock.wall_time();
        let since_epoch = wall_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let groups = response.groups.iter().map(|group| Group {
            group: group.group,
            delivered_at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            trainer_version: version,
            samples: group.samples.iter().map(Into::into).collect(),
        });
        let groups: Vec<Group> = groups.collect();
        self.lock().push(self.context.clock.now(), key, groups);
    }

    /// Returns the number of buffered groups, and the number of groups that were dropped unwritten
    /// because the buffer was full.
    pub(crate) fn counts(&self) -> (usize, u64) {
        let buffer = self.lock();
        (buffer.len(), buffer.dropped_groups())
    }

    /// Writes due batches until the node stops, then writes the remaining groups until a write
    /// fails or [`STOP_TIMEOUT`] is over.
    pub(crate) async fn run(&self) {
        while !self.context.stop.is_cancelled() {
            tokio::select! {
                () = self.context.stop.cancelled() => break,
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
            loop {
                let due = self.lock().due_batch(self.context.clock.now());
                let Some((key, groups)) = due else { break };
                self.write_batch(&key, &groups).await;
            }
        }
        let write_remaining = async {
            loop {
                let batch = self.lock().first_batch();
                let Some((key, groups)) = batch else { break };
                if !self.write_batch(&key, &groups).await {
                    break;
                }
            }
        };
        let _ = tokio::time::timeout(STOP_TIMEOUT, write_remaining).await;
    }

    /// Writes groups of a step and removes them from the buffer, or starts the buffer's back-off.
    /// Returns whether the write succeeded.
    async fn write_batch(&self, key: &Key, groups: &[Group]) -> bool {
        let call = append(&*self.store, key, groups);
        let result = tokio::time::timeout(WRITE_TIMEOUT, call)
            .await
            .unwrap_or_else(|_| {
                let error = Error::new("ledger.write", "key-value service", Kind::Lost);
                Err(Report::new(error))
            });
        let now = self.context.clock.now();
        match result {
            Ok(()) => self.lock().remove_stored(now, key, groups),
            Err(report) => {
                spdlog::warn!(
                    "failed to write the ledger records of step {}: {}",
                    key,
                    report
                );
                self.lock().record_failure(now);
                return false;
            }
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds groups to a step's records, which are stored under the key `ledger/<trainer>/<step>` and, when
/// that value is full, under the same key with `/1`, `/2` and so on. A write whose response was lost can be
/// repeated safely, because groups that are already recorded are not added again.
///
/// # Errors
///
/// The store fails, a stored value is not a ledger document, or all [`MAX_PARTS`] values are full.
async fn append(store: &dyn Store, key: &Key, groups: &[Group]) -> Result<()> {
    for part in 0..MAX_PARTS {
        let name = match part {
            0 => format!("ledger/{key}"),
            _ => format!("ledger/{key}/{part}"),
        };
        let entry = store.get(&name).await?;
        let (mut document, version) = match &entry {
            Some(entry) => (parse(&name, &entry.value)?, entry.version),
            None => (Document::default(), 0),
        };
        document.merge(groups);
        let value =
            serde_json::to_vec(&document).map_err(|error| malformed(&name, &error.to_string()))?;
        if value.len() > MAX_VALUE_BYTES && version != 0 {
            continue;
        }
        store.compare_and_swap(&name, version, value.into()).await?;
        return Ok(());
    }
    Err(malformed(
        &key.to_string(),
        "all values of the step's records are full",
    ))
}

fn parse(name: &str, value: &[u8]) -> Result<Document> {
    serde_json::from_slice(value).map_err(|error| malformed(name, &error.to_string()))
}

fn malformed(name: &str, reason: &str) -> Report<Error> {
    Report::new(Error::new(
        "ledger.write",
        name,
        Kind::Malformed(reason.to_owned()),
    ))
}
