//! An in-memory key-value service with fault injection.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use shallotroute_platform::{
    error::{Error, Kind, Result},
    store::{Entry, Store},
};
use tokio::sync::watch;

/// An in-memory key-value service with fault injection.
#[derive(Default)]
pub struct MemoryStore {
    values: Mutex<BTreeMap<String, Entry>>,
    /// The number of writes so far, which wakes waiting watches.
    write_count: watch::Sender<u64>,
    /// Whether all calls fail as unreachable.
    pub is_down: AtomicBool,
    /// The latency of each call in milliseconds.
    pub delay_ms: AtomicU64,
    /// The number of next writes of the head that take effect while their response is lost.
    pub lost_head_responses: AtomicU32,
    /// The number of next reads of a record whose response is lost.
    pub lost_record_reads: AtomicU32,
    /// The number of next writes of the head that are lost before they take effect.
    pub lost_head_writes: AtomicU32,
}

impl MemoryStore {
    pub fn values(&self) -> MutexGuard<'_, BTreeMap<String, Entry>> {
        self.values.lock().expect("no holder should panic")
    }

    /// Writes a value regardless of its version, without injected faults.
    ///
    /// # Panics
    ///
    /// Panics if the key is written concurrently.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let found = self.version(key);
        self.write_if_version(key, found, value.into())
            .expect("tests should not write a key at the same time");
    }

    fn version(&self, key: &str) -> u64 {
        self.values().get(key).map_or(0, |entry| entry.version)
    }

    /// Writes a value if the key has version `expected` and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the key's version if it is not `expected`.
    fn write_if_version(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
    ) -> std::result::Result<u64, u64> {
        let mut values = self.values();
        let found = values.get(key).map_or(0, |entry| entry.version);
        if found != expected {
            return Err(found);
        }
        let version = found + 1;
        values.insert(key.to_owned(), Entry { value, version });
        // Watches lock the values while they hold the channel's lock. Locking the channel while the
        // values are locked would reverse that order and could deadlock.
        drop(values);
        self.write_count.send_modify(|count| *count += 1);
        Ok(version)
    }

    async fn simulate_latency(&self) {
        let delay = self.delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }

    fn check_up(&self, step: &'static str) -> Result<()> {
        match self.is_down.load(Ordering::Relaxed) {
            true => Err(error_stack::Report::new(Error::new(
                step,
                "memory",
                Kind::Unreachable,
            ))),
            false => Ok(()),
        }
    }

    fn write(&self, key: &str, expected: u64, value: Bytes) -> Result<u64> {
        self.check_up("write")?;
        let failed = |kind| {
            Err(error_stack::Report::new(Error::new(
                "write", "memory", kind,
            )))
        };
        if key == "config/head" && take_one(&self.lost_head_writes) {
            return failed(Kind::Lost);
        }
        match self.write_if_version(key, expected, value) {
            Err(found) => failed(Kind::Conflict { found }),
            Ok(_) if key == "config/head" && take_one(&self.lost_head_responses) => {
                failed(Kind::Lost)
            }
            Ok(version) => Ok(version),
        }
    }
}

/// Decrements `count`; returns false if it was 0 already.
fn take_one(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
            count.checked_sub(1)
        })
        .is_ok()
}

impl Store for MemoryStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        Box::pin(async move {
            self.check_up("read")?;
            if key.starts_with("config/record/") && take_one(&self.lost_record_reads) {
                let error = Error::new("read", "memory", Kind::Lost);
                return Err(error_stack::Report::new(error));
            }
            let value = self.values().get(key).cloned();
            self.simulate_latency().await;
            Ok(value)
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<u64>> {
        Box::pin(async move {
            let written = self.write(key, expected, value);
            self.simulate_latency().await;
            written
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        Box::pin(async move {
            let mut write_count = self.write_count.subscribe();
            let changed = write_count
                .wait_for(|_| self.values().get(key).map_or(0, |entry| entry.version) != known);
            let _ = tokio::time::timeout(wait, changed).await;
            self.get(key).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            self.check_up("list")?;
            let keys = self.values().keys().cloned().collect::<Vec<_>>();
            Ok(keys
                .into_iter()
                .filter(|key| key.starts_with(prefix))
                .collect())
        })
    }
}
