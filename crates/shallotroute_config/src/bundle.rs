//! The stored form of a revision: record and parts as JSON bytes, named by their hashes.

use std::{collections::BTreeMap, sync::Arc, time::SystemTime};

use derive_more::Display;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, revision::Revision};

use crate::{
    difference,
    object::Object,
    set::Set,
    snapshot::{Record, Snapshot},
};

/// The result of reading a bundle.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The key of the head, the only mutable one.
pub const HEAD_KEY: &str = "config/head";

/// The largest part in bytes; the key-value service holds values up to 1 MB.
pub const MAX_PART_BYTES: usize = 900_000;

/// The size that a part should have on average, in bytes. A change rewrites the parts of the objects
/// that it touches; small parts keep what each node gets for it small.
const PART_BYTES: usize = 16 << 10;

/// Returns the key of a record.
pub fn record_key(hash: &str) -> String {
    format!("config/record/{hash}")
}

/// Returns the key of a part.
pub fn part_key(hash: &str) -> String {
    format!("config/part/{hash}")
}

/// Returns the hash that names bytes: BLAKE3, 64 lower-case hexadecimal digits.
pub fn hash(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

/// Why bytes are not a revision.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// They are not the expected JSON.
    #[display("{_0} is not readable")]
    Unreadable(&'static str),
    /// Their hash is another than the one that names them.
    #[display("the hash of {_0} is wrong")]
    HashMismatch(&'static str),
    /// An object is larger than a part.
    #[display("object {_0} is larger than {MAX_PART_BYTES} bytes")]
    TooLarge(String),
}

impl std::error::Error for Error {}

/// The value of the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest revision; 0 before the first publication.
    pub revision: Revision,
    /// The hash of its record; none before the first publication.
    pub record: Option<String>,
    /// The identity of its publication.
    pub publication: String,
}

impl Head {
    /// Returns the head before the first publication.
    pub fn initial() -> Self {
        Self {
            revision: Revision::default(),
            record: None,
            publication: String::new(),
        }
    }

    /// Returns the value to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        json(self)
    }

    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// The bytes are not a head.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).change_context(Error::Unreadable("the head"))
    }
}

/// Some of the objects as a JSON list.
pub type Part = Arc<[u8]>;

/// The bytes of a revision, as stored and as nodes exchange them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// The record.
    pub record: Vec<u8>,
    /// The parts in the record's order.
    pub parts: Vec<Part>,
}

/// What an operator publishes, apart from the objects.
#[derive(Clone, Debug)]
pub struct Metadata {
    /// The identity of the publication.
    pub publication: String,
    /// The operator.
    pub author: Name,
    /// When the record is made.
    pub at: SystemTime,
    /// Why.
    pub reason: String,
    /// Warnings of the check.
    pub warnings: Vec<String>,
}

impl Bundle {
    /// Makes the revision that follows `parent`.
    ///
    /// # Errors
    ///
    /// An object is larger than a part.
    pub fn new(parent: Option<&Snapshot>, set: &Set, metadata: Metadata) -> Result<Self> {
        let empty = Set::default();
        let parts = split(&set.objects())?;
        let record = Record {
            revision: parent.map(Snapshot::revision).unwrap_or_default().next(),
            parent: parent.map(|parent| parent.hash.clone()),
            publication: metadata.publication,
            author: metadata.author,
            at: metadata.at,
            reason: metadata.reason,
            changes: difference::between(parent.map_or(&empty, |parent| &parent.set), set),
            warnings: metadata.warnings,
            parts: parts.iter().map(|part| hash(part)).collect(),
        };
        Ok(Self {
            record: json(&record),
            parts,
        })
    }

    /// Returns the hash of the record.
    pub fn hash(&self) -> String {
        hash(&self.record)
    }

    /// Reads the record.
    ///
    /// # Errors
    ///
    /// The bytes are not a record.
    pub fn record(&self) -> Result<Record> {
        record(&self.record)
    }

    /// Verifies the hashes of the parts and reads the objects.
    ///
    /// # Errors
    ///
    /// A hash is wrong or the bytes are not a record with its parts.
    pub fn open(&self) -> Result<Snapshot> {
        let record = self.record()?;
        let hashes: Vec<String> = self.parts.iter().map(|part| hash(part)).collect();
        if hashes != record.parts {
            return Err(Report::new(Error::HashMismatch("a part")));
        }
        let mut set = Set::default();
        for part in &self.parts {
            let objects: Vec<Object> =
                serde_json::from_slice(part).change_context(Error::Unreadable("a part"))?;
            objects.into_iter().for_each(|object| set.insert(object));
        }
        Ok(Snapshot {
            hash: self.hash(),
            record,
            set,
        })
    }
}

/// Reads a record.
///
/// # Errors
///
/// The bytes are not a record.
pub fn record(bytes: &[u8]) -> Result<Record> {
    serde_json::from_slice(bytes).change_context(Error::Unreadable("the record"))
}

/// Writes objects into parts of at most [`MAX_PART_BYTES`].
///
/// An object's part depends on the hash of its kind and name, so a change of one object leaves the
/// other parts as they are, until the number of parts changes.
fn split(objects: &[Object]) -> Result<Vec<Part>> {
    let mut encoded = Vec::new();
    for object in objects {
        let identity = format!("{}/{}", object.kind(), object.name());
        let bytes = json(object);
        if bytes.len() + 2 > MAX_PART_BYTES {
            return Err(Report::new(Error::TooLarge(identity)));
        }
        encoded.push((place(&identity), bytes));
    }
    let total: usize = encoded.iter().map(|(_, bytes)| bytes.len()).sum();
    let count = (total / PART_BYTES).next_power_of_two() as u64;
    let mut buckets: BTreeMap<u64, Vec<Vec<u8>>> = BTreeMap::new();
    for (place, bytes) in encoded {
        buckets.entry(place % count).or_default().push(bytes);
    }
    Ok(buckets.into_values().flat_map(join).collect())
}

/// Returns the first 64 bits of the hash of an object's kind and name.
fn place(identity: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(identity.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Joins objects into as few parts as hold them.
fn join(objects: Vec<Vec<u8>>) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut part: Vec<u8> = Vec::new();
    for bytes in objects {
        if !part.is_empty() && part.len() + bytes.len() + 2 > MAX_PART_BYTES {
            part.push(b']');
            parts.push(std::mem::take(&mut part).into());
        }
        part.push(if part.is_empty() { b'[' } else { b',' });
        part.extend_from_slice(&bytes);
    }
    part.push(b']');
    parts.push(part.into());
    parts
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("the types of this crate should have a JSON form")
}
