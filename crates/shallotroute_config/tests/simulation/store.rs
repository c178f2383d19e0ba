//! The simulated key-value service.

use std::collections::BTreeMap;

use shallotroute_config::{
    bundle::{self, Bundle, HEAD_KEY, Head, part_key, record_key},
    publication::WriteResult,
    snapshot::{Record, Snapshot},
};
use shallotroute_types::revision::Revision;

/// The keys of the service and its current faults.
pub(super) struct Store {
    /// The version and value by key.
    values: BTreeMap<String, (u64, Vec<u8>)>,
    /// Whether calls are served.
    pub(super) is_up: bool,
    /// Whether responses are lost and writes are delayed.
    pub(super) is_lossy: bool,
    /// The additional latency of calls, in milliseconds.
    pub(super) delay: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            is_up: true,
            is_lossy: false,
            delay: 0,
        }
    }
}

impl Store {
    pub(super) fn version(&self) -> u64 {
        self.values.get(HEAD_KEY).map_or(0, |(version, _)| *version)
    }

    pub(super) fn head(&self) -> (u64, Head) {
        match self.values.get(HEAD_KEY) {
            None => (0, Head::initial()),
            Some((version, value)) => {
                let head = Head::from_bytes(value).expect("the head should be readable");
                (*version, head)
            }
        }
    }

    pub(super) fn write(&mut self, key: &str, expected: u64, value: Vec<u8>) -> WriteResult {
        let version = self.values.get(key).map_or(0, |(version, _)| *version);
        if version != expected {
            return WriteResult::Conflict;
        }
        self.values.insert(key.to_owned(), (version + 1, value));
        WriteResult::Done
    }

    pub(super) fn record(&self, hash: &str) -> Option<Record> {
        let (_, bytes) = self.values.get(&record_key(hash))?;
        bundle::record(bytes).ok()
    }

    pub(super) fn bundle(&self, hash: &str) -> Option<Bundle> {
        let (_, record) = self.values.get(&record_key(hash))?;
        let hashes = bundle::record(record).ok()?.parts;
        let part = |part_hash: &String| {
            self.values
                .get(&part_key(part_hash))
                .map(|(_, part)| part.as_slice().into())
        };
        let parts = hashes.iter().map(part).collect::<Option<_>>()?;
        Some(Bundle {
            record: record.clone(),
            parts,
        })
    }

    pub(super) fn newest(&self) -> Option<Snapshot> {
        let hash = self.head().1.record?;
        self.bundle(&hash)?.open().ok()
    }

    /// Returns the hashes and records of the chain, newest first.
    fn chain(&self) -> impl Iterator<Item = (String, Record)> {
        let entry = |hash: String| self.record(&hash).map(|record| (hash, record));
        let first = self.head().1.record.and_then(entry);
        std::iter::successors(first, move |(_, record)| {
            record.parent.clone().and_then(entry)
        })
    }

    pub(super) fn contains(&self, hash: &str) -> bool {
        self.chain().any(|(other, _)| other == hash)
    }

    pub(super) fn hash_at(&self, revision: Revision) -> Option<String> {
        let mut chain = self.chain();
        chain
            .find(|(_, record)| record.revision == revision)
            .map(|(hash, _)| hash)
    }
}
