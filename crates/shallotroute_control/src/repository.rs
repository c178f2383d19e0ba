//! Revisions in the key-value service.

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

/// How many records are kept; records are immutable, so a kept one is always right.
const MAX_RECORDS: usize = 4096;

/// How many parts are read at once.
const PARALLEL_READS: usize = 8;

/// Reads and writes revisions.
pub(crate) struct Repository {
    store: Arc<dyn Store>,
    records: Mutex<HashMap<String, Record>>,
    /// The newest revision in force, whose objects need not be read again.
    newest: Mutex<Option<Arc<Snapshot>>>,
}

impl Repository {
    pub(crate) fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            records: Mutex::default(),
            newest: Mutex::default(),
        }
    }

    /// Reads the head and the version of its key.
    pub(crate) async fn head(&self) -> Result<(u64, Head)> {
        let entry = self.store.get(HEAD_KEY).await;
        head(entry.change_context(Error::Store("reading the head"))?)
    }

    /// Waits until the head's version differs from `known` or `wait` is over, then reads it.
    pub(crate) async fn watch(&self, known: u64, wait: Duration) -> Result<(u64, Head)> {
        let entry = self.store.watch(HEAD_KEY, known, wait).await;
        head(entry.change_context(Error::Store("watching the head"))?)
    }

    /// Reads a record.
    pub(crate) async fn record(&self, hash: &str) -> Result<Record> {
        let kept = self.lock().get(hash).cloned();
        if let Some(record) = kept {
            return Ok(record);
        }
        let bytes = self.record_bytes(hash).await?;
        let record = bundle::record(&bytes).change_context(Error::Malformed(record_key(hash)))?;
        let mut records = self.lock();
        if records.len() >= MAX_RECORDS {
            records.clear();
        }
        records.insert(hash.to_owned(), record.clone());
        Ok(record)
    }

    /// Reads a revision's record, and the parts that `held` does not have, and verifies the record's
    /// hash.
    pub(crate) async fn bundle(
        &self,
        hash: &str,
        held: impl Fn(&str) -> Option<Part>,
    ) -> Result<Bundle> {
        let record = self.record_bytes(hash).await?;
        let names = bundle::record(&record).change_context(Error::Malformed(record_key(hash)))?;
        let mut reads = Vec::new();
        for name in names.parts {
            let part = held(&name);
            reads.push(self.part(name, part));
        }
        let parts = stream::iter(reads).buffered(PARALLEL_READS).try_collect();
        let parts = parts.await?;
        Ok(Bundle { record, parts })
    }

    /// Writes a key if it has version `expected`.
    pub(crate) async fn write(&self, key: &str, expected: u64, value: Vec<u8>) -> WriteResult {
        match self.store.swap(key, expected, Bytes::from(value)).await {
            Ok(_) => WriteResult::Done,
            Err(report) => {
                spdlog::debug!("writing {} failed: {:?}", key, report);
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

    /// Reads the value of any key; none when it has none.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Bytes>> {
        let entry = self.store.get(key).await;
        let entry = entry.change_context(Error::Store("reading a value"))?;
        Ok(entry.map(|entry| entry.value))
    }

    /// Returns the hash of the record of `revision` in the chain that ends at `head`.
    pub(crate) async fn find(&self, head: &Head, revision: Revision) -> Result<Option<String>> {
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

    /// Reads the revision that a head names; none before the first publication.
    pub(crate) async fn snapshot(&self, head: &Head) -> Result<Option<Arc<Snapshot>>> {
        match &head.record {
            Some(hash) => self.open(hash).await.map(Some),
            None => Ok(None),
        }
    }

    /// Reads `revision` of the chain that ends at `head`.
    pub(crate) async fn at(
        &self,
        head: &Head,
        revision: Revision,
    ) -> Result<Option<Arc<Snapshot>>> {
        match self.find(head, revision).await? {
            Some(hash) => self.open(&hash).await.map(Some),
            None => Ok(None),
        }
    }

    /// Reads the revision with this record hash.
    pub(crate) async fn open(&self, hash: &str) -> Result<Arc<Snapshot>> {
        let newest = self.newest().clone();
        if let Some(newest) = newest.filter(|newest| newest.hash == hash) {
            return Ok(newest);
        }
        let bundle = self.bundle(hash, |_| None).await?;
        let malformed = || Error::Malformed(record_key(hash));
        bundle.open().map(Arc::new).change_context_lazy(malformed)
    }

    async fn part(&self, name: String, held: Option<Part>) -> Result<Part> {
        match held {
            Some(part) => Ok(part),
            None => self.value(&part_key(&name)).await.map(Part::from),
        }
    }

    async fn record_bytes(&self, hash: &str) -> Result<Vec<u8>> {
        let key = record_key(hash);
        let bytes = self.value(&key).await?;
        match bundle::hash(&bytes) == hash {
            true => Ok(bytes),
            false => Err(Report::new(Error::Malformed(key))),
        }
    }

    async fn value(&self, key: &str) -> Result<Vec<u8>> {
        let value = self.get(key).await?;
        let value = value.ok_or_else(|| Report::new(Error::Missing(key.to_owned())))?;
        Ok(value.to_vec())
    }

    /// Keeps a revision that came into force.
    pub(crate) fn remember(&self, snapshot: Arc<Snapshot>) {
        let (hash, record) = (snapshot.hash.clone(), snapshot.record.clone());
        self.lock().insert(hash, record);
        *self.newest() = Some(snapshot);
    }

    fn newest(&self) -> MutexGuard<'_, Option<Arc<Snapshot>>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn head(entry: Option<Entry>) -> Result<(u64, Head)> {
    match entry {
        None => Ok((0, Head::initial())),
        Some(entry) => Head::from_bytes(&entry.value)
            .change_context(Error::Malformed(HEAD_KEY.into()))
            .map(|head| (entry.version, head)),
    }
}
