//! What is kept of a batch job in the platform's store, and its binary form.
//!
//! The head is the only record that changes. Each change of owner writes it, and every chunk of
//! results is written under the condition that the head has not changed since, so that a former
//! owner's late write has no effect.

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

/// The longest part of a specification, in bytes; encoded as text it stays below the megabyte that
/// the store takes.
pub const MAX_PART_BYTES: usize = 700 << 10;

/// A record that can't be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("the record is not a {kind}: {reason}")]
pub struct Error {
    /// What the record should be.
    pub kind: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl std::error::Error for Error {}

/// A process that runs a batch job.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{node}/{incarnation}")]
pub struct Owner {
    /// The node.
    pub node: Id,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Where it answers other nodes.
    pub address: SocketAddr,
}

/// The changing part of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The process that runs it; none when it was given up for another to take.
    pub owner: Option<Owner>,
    /// A number of the writer's own, by which it knows its write again after a lost answer.
    pub nonce: u64,
    /// The items.
    pub total: u32,
    /// The parts of the specification.
    pub parts: u32,
    /// The Unix time of the first submission, in milliseconds.
    pub submitted: u64,
    /// Whether its trainer has ended it.
    pub ended: bool,
}

/// The fixed part of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Specification {
    /// The host that the trainer named.
    pub host: String,
    /// The path under which it was submitted.
    pub path: String,
    /// The model that generates.
    pub model: Name,
    /// The oldest version that may generate.
    pub oldest: Version,
    /// The groups that the trainer waits for.
    pub wanted_groups: u32,
    /// The items, in the order of submission.
    pub items: Vec<Item>,
}

/// One sample to generate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its identity.
    pub id: Name,
    /// The group whose members share a prompt.
    pub group: Name,
    /// The path at a server.
    pub path: String,
    /// The headers at a server.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The trainer's guess of the length of the text, in tokens.
    pub expected_tokens: Option<u32>,
    /// The request that rates the text.
    pub reward: Option<Reward>,
}

/// The request that rates a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reward {
    /// Its identity.
    pub id: Name,
    /// The host that selects its route.
    pub host: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A result in its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The item's position in the specification.
    pub item: u32,
    /// What came of it.
    pub outcome: Outcome,
}

/// What came of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole text.
    Completed(Sample),
    /// It was given up.
    Abandoned,
}

/// A text with its provenance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The data of all events, separated by line feeds.
    pub text: String,
    /// The versions that generated an event of it.
    pub versions: Vec<Version>,
    /// The rating; none when the item asked for none.
    pub score: Option<String>,
}

/// What an owner has of an item that is not listed yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// The item's position in the specification.
    pub item: u32,
    /// How far it is.
    pub state: DraftState,
}

/// How far an item that is not listed is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DraftState {
    /// Its text has these events.
    Partial {
        /// The number of the last event.
        last_event: u64,
        /// The data of the events, separated by line feeds.
        text: String,
        /// The versions that generated them.
        versions: Vec<Version>,
    },
    /// Its outcome is known.
    Done(Outcome),
}

impl Draft {
    /// Returns how far the item is; more is further.
    pub fn progress(&self) -> u64 {
        match self.state {
            DraftState::Partial { last_event, .. } => last_event,
            DraftState::Done(_) => u64::MAX,
        }
    }
}

/// Results in consecutive positions, written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The position of the first.
    pub start: u32,
    /// The results.
    pub results: Vec<Listed>,
}

/// Returns the binary form of a record.
///
/// # Panics
///
/// Never for the types of this module, which all have a binary form.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    postcard::to_stdvec(record).expect("records of batch jobs have a binary form")
}

/// Reads a record.
///
/// # Errors
///
/// The bytes are no record of that kind.
pub fn decode<T: DeserializeOwned>(kind: &'static str, bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| Error {
        kind,
        reason: error.to_string(),
    })
}
