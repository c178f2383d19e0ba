//! Reads and writes revisions in the key-value service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures::{StreamExt, TryStreamExt, stream};
use shallotroute_config::{
    bundle::{self, Bundle, HEAD_KEY, Head, Part, part_key, record_key},
    publication::WriteResult,
    snapshot::{Record, Snapshot},
};
use shallotroute_platform::{
    error::Kind,
    store::{Entry, Store},
};
use shallotroute_types::revision::Revision;

use crate::error::{Error, Result};

/// The maximum number of cached records. Records are immutable, so a cached one is never outdated.
const MAX_CACHED_RECORDS: usize = 4096;

/// The maximum number of parts of a revision that are read concurrently.
const MAX_PARALLEL_READS: usize = 8;

/// The stored revisions: the head, the chain of records that ends at it, and their parts.
pub(crate) struct Repository {
    store: Arc<dyn Store>,
    /// The cached records by hash.
    records: Mutex<HashMap<String, Record>>,
    /// The cached revision in force; `None` before the first one.
    newest_in_force: Mutex<Option<Arc<Snapshot>>>,
}

impl Repository {
    pub(crate) fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            records: Mutex::default(),
            newest_in_force: Mutex::default(),
        }
    }

    /// Reads the version of the head's key and the head. Without a value these are 0 and
    /// [`Head::initial`].
    pub(crate) async fn head(&self) -> Result<(u64, Head)> {
        let entry = self.store.get(HEAD_KEY).await;
        decode_head(entry.change_context(Error::Store("reading the head"))?)
    }

    /// Waits until the version of the head's key differs from `known`, at most for `wait`, and then
    /// returns the same as [`Self::head`].
    pub(crate) async fn watch(&self, known: u64, wait: Duration) -> Result<(u64, Head)> {
        let entry = self.store.watch(HEAD_KEY, known, wait).await;
        decode_head(entry.change_context(Error::Store("watching the head"))?)
    }

    /// Returns the record with this hash, from the cache if possible.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Store`] if the service can't be read, [`Error::Missing`] if it has no such
    /// record, and [`Error::Malformed`] if the value has another hash or can't be decoded. All
    /// loads of records, parts and snapshots fail for these reasons.
    pub(crate) async fn record(&self, hash: &str) -> Result<Record> {
        let cached = self.lock_records().get(hash).cloned();
        if let Some(record) = cached {
            return Ok(record);
        }
        let bytes = self.record_bytes(hash).await?;
        let record = bundle::record(&bytes).change_context(Error::Malformed(record_key(hash)))?;
        let mut records = self.lock_records();
        if records.len() >= MAX_CACHED_RECORDS {
            records.clear();
        }
        records.insert(hash.to_owned(), record.clone());
        Ok(record)
    }

    /// Reads the revision with this record hash. Parts that `held_part` returns by their hash are
    /// not read. Only the hash of the record is verified; [`Bundle::open`] verifies the parts.
    pub(crate) async fn bundle(
        &self,
        hash: &str,
        held_part: impl Fn(&str) -> Option<Part>,
    ) -> Result<Bundle> {
        let record = self.record_bytes(hash).await?;
        let decoded = bundle::record(&record).change_context(Error::Malformed(record_key(hash)))?;
        let mut part_reads = Vec::new();
        for part_hash in decoded.parts {
            let part = held_part(&part_hash);
            part_reads.push(self.load_part(part_hash, part));
        }
        let parts = stream::iter(part_reads)
            .buffered(MAX_PARALLEL_READS)
            .try_collect();
        let parts = parts.await?;
        Ok(Bundle { record, parts })
    }

    /// Writes a key if it has version `expected`; 0 stands for a key without a value.
    pub(crate) async fn write(&self, key: &str, expected: u64, value: Vec<u8>) -> WriteResult {
        match self
            .store
            .compare_and_swap(key, expected, Bytes::from(value))
            .await
        {
            Ok(_) => WriteResult::Done,
            Err(report) => {
                spdlog::debug!("failed to write key {}: {:?}", key, report);
                match report.current_context().kind {
                    Kind::Conflict { .. } => WriteResult::Conflict,
                    Kind::Unreachable | Kind::Throttled | Kind::Refused(_) | Kind::Fenced => {
                        WriteResult::NotRun
                    }
                    Kind::Lost | Kind::Malformed(_) => WriteResult::Lost,
                }
            }
        }
    }

    /// Reads a key; returns `None` if it has no value.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let entry = self.store.get(key).await;
        let entry = entry.change_context(Error::Store("reading a value"))?;
        Ok(entry.map(|entry| entry.value))
    }

    /// Returns the hash of the record of `revision` in the chain that ends at `head`; `None` if the
    /// chain does not contain the revision.
    pub(crate) async fn find_record(
        &self,
        head: &Head,
        revision: Revision,
    ) -> Result<Option<String>> {
        let mut next = head.record.clone();
        while let Some(hash) = next {
            let record = self.record(&hash).await?;
            match record.revision.cmp(&revision) {
                std::cmp::Ordering::Greater => next = record.parent,
                std::cmp::Ordering::Equal => return Ok(Some(hash)),
                std::cmp::Ordering::Less => return Ok(None),
            }
        }
        Ok(None)
    }

    /// Loads the revision that `head` refers to; returns `None` before the first publication.
    pub(crate) async fn head_snapshot(&self, head: &Head) -> Result<Option<Arc<Snapshot>>> {
        match &head.record {
            Some(hash) => self.load_snapshot(hash).await.map(Some),
            None => Ok(None),
        }
    }

    /// Loads `revision` from the chain that ends at `head`; returns `None` if the chain does not
    /// contain it.
    pub(crate) async fn snapshot_at(
        &self,
        head: &Head,
        revision: Revision,
    ) -> Result<Option<Arc<Snapshot>>> {
        match self.find_record(head, revision).await? {
            Some(hash) => self.load_snapshot(&hash).await.map(Some),
            None => Ok(None),
        }
    }

    /// Returns the verified revision with this record hash, from the cache if it is in force.
    pub(crate) async fn load_snapshot(&self, hash: &str) -> Result<Arc<Snapshot>> {
        let newest = self.lock_newest_in_force().clone();
        if let Some(newest) = newest.filter(|newest| newest.hash == hash) {
            return Ok(newest);
        }
        let bundle = self.bundle(hash, |_| None).await?;
        let malformed = || Error::Malformed(record_key(hash));
        bundle.open().map(Arc::new).change_context_lazy(malformed)
    }

    async fn load_part(&self, part_hash: String, held_part: Option<Part>) -> Result<Part> {
        match held_part {
            Some(part) => Ok(part),
            None => self
                .required_value(&part_key(&part_hash))
                .await
                .map(Part::from),
        }
    }

    /// Reads an encoded record and verifies its hash.
    async fn record_bytes(&self, hash: &str) -> Result<Vec<u8>> {
        let key = record_key(hash);
        let bytes = self.required_value(&key).await?;
        match bundle::hash(&bytes) == hash {
            true => Ok(bytes),
            false => Err(Report::new(Error::Malformed(key))),
        }
    }

    /// Reads a key that must have a value because the head or a record refers to it.
    async fn required_value(&self, key: &str) -> Result<Vec<u8>> {
        let value = self.get(key).await?;
        let value = value.ok_or_else(|| Report::new(Error::Missing(key.to_owned())))?;
        Ok(value.to_vec())
    }

    /// Caches a revision that came into force, in place of the previous one.
    pub(crate) fn cache_in_force(&self, snapshot: Arc<Snapshot>) {
        let (hash, record) = (snapshot.hash.clone(), snapshot.record.clone());
        self.lock_records().insert(hash, record);
        *self.lock_newest_in_force() = Some(snapshot);
    }

    fn lock_newest_in_force(&self) -> MutexGuard<'_, Option<Arc<Snapshot>>> {
        self.newest_in_force
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_records(&self) -> MutexGuard<'_, HashMap<String, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn decode_head(entry: Option<Entry>) -> Result<(u64, Head)> {
    match entry {
        None => Ok((0, Head::initial())),
        Some(entry) => Head::from_bytes(&entry.value)
            .change_context(Error::Malformed(HEAD_KEY.into()))
            .map(|head| (entry.version, head)),
    }
}
