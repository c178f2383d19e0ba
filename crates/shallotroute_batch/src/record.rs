//! The records of a batch job in the platform's store, and their binary encoding.
//!
//! The head is the only record that changes. Each change of owner writes it, and every chunk of
//! results is written on condition that the head is unchanged, so that a late write of a former
//! owner has no effect.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use shallotroute_types::{
    name::Name,
    node::{Id, Incarnation},
    version::Version,
};

/// The result of decoding a record.
pub type Result<T> = std::result::Result<T, Error>;

/// The maximum size of one part of an encoded specification, in bytes. As Base64 text it stays below
/// the store's limit of one megabyte.
pub const MAX_PART_BYTES: usize = 700 << 10;

/// A record could not be decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the record is not a {kind}: {reason}")]
pub struct Error {
    /// The expected kind of record.
    pub kind: &'static str,
    /// The reason given by the decoder.
    pub reason: String,
}

impl std::error::Error for Error {}

/// The identity of a process, which may own batch jobs.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{node}/{incarnation}")]
pub struct Owner {
    /// The identity of the process's node.
    pub node: Id,
    /// The incarnation of the process; it distinguishes restarts of one node.
    pub incarnation: Incarnation,
    /// The address on which the process serves other nodes.
    pub address: SocketAddr,
}

/// The mutable part of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The process that runs the job; `None` after it has released the job for another process.
    pub owner: Option<Owner>,
    /// A random number by which the writer recognizes its own write if the response was lost.
    pub nonce: u64,
    /// The number of items.
    pub total: u32,
    /// The number of parts that the specification is stored in.
    pub parts: u32,
    /// The Unix time of the first submission, in milliseconds.
    #[serde(rename = "submitted")]
    pub submitted_ms: u64,
    /// Whether the trainer has ended the job.
    pub ended: bool,
}

/// The immutable part of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Specification {
    /// The host that the submission named.
    pub host: String,
    /// The path that the job was submitted to.
    pub path: String,
    /// The model that generates.
    pub model: Name,
    /// The oldest version that may generate.
    #[serde(rename = "oldest")]
    pub min_version: Version,
    /// The number of complete groups that the trainer waits for.
    pub wanted_groups: u32,
    /// The items, in the order of submission.
    pub items: Vec<Item>,
    /// The workspace that submitted the job; `None` if it has none. It follows the other fields in the
    /// record, which earlier builds read without it.
    #[serde(skip)]
    pub workspace: Option<Name>,
}

impl Specification {
    /// Returns the stored form. Without a workspace it is that of earlier builds.
    pub fn encode(&self) -> Vec<u8> {
        match &self.workspace {
            Some(_) => encode_extended(self, &self.workspace),
            None => encode(self),
        }
    }

    /// Returns the stored form in parts of [`MAX_PART_BYTES`], of which the last may be shorter.
    pub fn encode_parts(&self) -> Vec<Vec<u8>> {
        let parts = append(self, Parts::default());
        match &self.workspace {
            Some(_) => append(&self.workspace, parts).0,
            None => parts.0,
        }
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not encode a specification.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (specification, workspace): (Self, Option<Name>) =
            decode_extended("specification", bytes)?;
        Ok(Self {
            workspace,
            ..specification
        })
    }

    /// Returns the size of the bodies of all items, in bytes, which are most of a specification.
    pub fn body_bytes(&self) -> usize {
        let of_item = |item: &Item| {
            let scorer = item.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
            item.body.len() + scorer
        };
        self.items.iter().map(of_item).sum()
    }
}

/// A sample to generate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The identity of the item, unique in the job.
    pub id: Name,
    /// The group of the item; all items of a group share a prompt.
    pub group: Name,
    /// The path of the request to a model server.
    pub path: String,
    /// The headers of the request to a model server.
    pub headers: Vec<(String, String)>,
    /// The body of the request to a model server.
    pub body: Vec<u8>,
    /// The trainer's estimate of the length of the output, in tokens.
    pub expected_tokens: Option<u32>,
    /// The request that scores the output; `None` if the output is not scored.
    #[serde(rename = "reward")]
    pub scorer: Option<Scorer>,
}

/// The request that scores an output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scorer {
    /// The identity of the request.
    pub id: Name,
    /// The host of the request, which selects its route.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: Vec<u8>,
}

/// The result of an item. Once committed, it keeps its position among the job's results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The index of the item in the specification.
    pub item: u32,
    /// The outcome of the item.
    pub outcome: Outcome,
}

/// The outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The item has a complete output.
    Completed(Sample),
    /// The item was abandoned and has no output.
    Abandoned,
}

/// A generated output with its provenance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The data of all events, separated by line feeds.
    #[serde(rename = "text")]
    pub output: String,
    /// The versions that generated at least one event, in the order of their first events.
    pub versions: Vec<Version>,
    /// The score of the output; `None` if the item has no scorer.
    pub score: Option<String>,
}

/// The progress of an uncommitted item, from which a new owner resumes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The index of the item in the specification.
    pub item: u32,
    /// The progress of the item.
    pub state: CheckpointState,
}

/// The progress of an uncommitted item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CheckpointState {
    /// The output is incomplete or not scored yet, and the software version that generated it is
    /// unknown. Written by nodes of builds before [`CheckpointState::Generated`] only; no server can
    /// safely resume it.
    Partial {
        /// The number of the last event.
        last_event: u64,
        /// The data of the events so far, separated by line feeds.
        #[serde(rename = "text")]
        output: String,
        /// The versions that generated the events so far.
        versions: Vec<Version>,
    },
    /// The outcome is known.
    Done(Outcome),
    /// The output is incomplete or not scored yet.
    ///
    /// The encoding has no names, and nodes of two builds run side by side during an upgrade: a
    /// new field in [`CheckpointState::Partial`] would make each misread the records of the other. A
    /// node of an earlier build rejects this variant.
    Generated {
        /// The number of the last event.
        last_event: u64,
        /// The data of the events so far, separated by line feeds.
        output: String,
        /// The versions of the model that generated the events so far.
        versions: Vec<Version>,
        /// The version of the software that generated the events so far.
        software: Name,
    },
}

impl Checkpoint {
    /// Returns a number that is higher the further the item has progressed.
    pub fn progress(&self) -> u64 {
        match self.state {
            CheckpointState::Partial { last_event, .. }
            | CheckpointState::Generated { last_event, .. } => last_event,
            CheckpointState::Done(_) => u64::MAX,
        }
    }
}

/// Results in consecutive positions that are written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The position of the first result.
    pub start: u32,
    /// The results in the order of their positions.
    pub results: Vec<ItemResult>,
}

/// Returns the binary encoding of a record.
///
/// # Panics
///
/// Panics if the type has no binary encoding. All types of this module have one.
pub fn encode<T: Serialize + ?Sized>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).expect("records of batch jobs have a binary encoding")
}

/// Returns the binary encoding of a record in parts of [`MAX_PART_BYTES`], of which the last may be shorter.
///
/// # Panics
///
/// Panics under the same condition as [`encode`].
pub fn encode_parts<T: Serialize + ?Sized>(record: &T) -> Vec<Vec<u8>> {
    append(record, Parts::default()).0
}

fn append<T: Serialize + ?Sized>(record: &T, parts: Parts) -> Parts {
    postcard::to_extend(record, parts).expect("records of batch jobs have a binary encoding")
}

/// Collects bytes in parts, so that a long encoding is never copied as a whole.
#[derive(Default)]
struct Parts(Vec<Vec<u8>>);

impl Extend<u8> for Parts {
    fn extend<I: IntoIterator<Item = u8>>(&mut self, bytes: I) {
        for byte in bytes {
            match self.0.last_mut() {
                Some(part) if part.len() < MAX_PART_BYTES => part.push(byte),
                _ => {
                    let mut part = Vec::with_capacity(MAX_PART_BYTES);
                    part.push(byte);
                    self.0.push(part);
                }
            }
        }
    }
}

/// Decodes a record; `kind` names it in the error.
///
/// # Errors
///
/// Returns an error if the bytes do not encode a `T`.
pub fn decode<T: DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error {
        kind,
        reason: error.to_string(),
    })
}

/// Returns the binary encoding of a record with data appended that builds before it do not know. They ignore
/// trailing bytes.
///
/// # Panics
///
/// Panics under the same condition as [`encode`].
pub fn encode_extended<T: Serialize + ?Sized, E: Serialize>(record: &T, extension: &E) -> Vec<u8> {
    let mut encoded = encode(record);
    encoded.extend(encode(extension));
    encoded
}

/// Decodes a record of [`encode_extended`], or one of an earlier build, which has the default extension.
///
/// # Errors
///
/// Returns an error if the bytes do not encode a `T`, or the bytes after it no `E`.
pub fn decode_extended<T: DeserializeOwned, E: DeserializeOwned + Default>(
    kind: &'static str,
    bytes: &[u8],
) -> Result<(T, E)> {
    let to_error = |error: postcard::Error| Error {
        kind,
        reason: error.to_string(),
    };
    let (record, rest) = postcard::take_from_bytes(bytes).map_err(to_error)?;
    let extension = match rest.is_empty() {
        true => E::default(),
        false => postcard::from_bytes(rest).map_err(to_error)?,
    };
    Ok((record, extension))
}
