//! The task that stores records of delivered groups for audit.

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
    delivery::Answer,
    ledger::{Buffer, Document, Group},
    step::Key,
};
use shallotroute_types::version::Version;

/// How often the buffer is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a write with its read may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the last writes of a node that stops may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest value; the key-value service holds at most 1 MB.
const MAX_VALUE_BYTES: usize = 900_000;

/// How many parts a step's records may have.
const MAX_PARTS: usize = 64;

/// The records of this node's deliveries.
pub(crate) struct Ledger {
    context: Context,
    store: Arc<dyn Store>,
    buffer: Mutex<Buffer>,
}

impl Ledger {
    /// Makes an empty ledger.
    pub(crate) fn new(context: Context, store: Arc<dyn Store>) -> Self {
        Self {
            context,
            store,
            buffer: Mutex::default(),
        }
    }

    /// Records the groups of an answer to a pull by a trainer at `version`.
    pub(crate) fn record(&self, key: &Key, version: Version, answer: &Answer) {
        let wall = self.context.clock.wall_time();
        let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let groups = answer.groups.iter().map(|group| Group {
            group: group.group,
            delivered_at_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
            trainer_version: version,
            samples: group.samples.iter().map(Into::into).collect(),
        });
        let groups: Vec<Group> = groups.collect();
        self.lock().push(self.context.clock.now(), key, groups);
    }

    /// Returns how many groups wait and how many were dropped.
    pub(crate) fn counts(&self) -> (usize, u64) {
        let buffer = self.lock();
        (buffer.len(), buffer.dropped_groups())
    }

    /// Stores the records until the node stops, then what is left if the store answers at once.
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
        let rest = async {
            loop {
                let left = self.lock().first_batch();
                let Some((key, groups)) = left else { break };
                if !self.write_batch(&key, &groups).await {
                    break;
                }
            }
        };
        let _ = tokio::time::timeout(STOP_TIMEOUT, rest).await;
    }

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
                    "the ledger of step {} could not be written: {}",
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

/// Adds groups to a step's records: at `ledger/<trainer>/<step>`, and at the same key with `/1`, `/2`
/// and so on when a value is full. A write whose answer was lost is repeated without harm.
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
        store.swap(&name, version, value.into()).await?;
        return Ok(());
    }
    Err(malformed(&key.to_string(), "too many parts"))
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
