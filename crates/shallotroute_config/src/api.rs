//! The bodies of the administration HTTP, shared by the node and `shallotctl`.

use std::{net::SocketAddr, time::SystemTime};

use serde::{Deserialize, Serialize};
use shallotroute_types::{location::Zone, member::State, name::Name, revision::Revision};

use crate::{
    document::Source,
    finding::Finding,
    object::Object,
    snapshot::{Changes, Record},
};

/// The body of `POST /admin/v1/check`: all files of a set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckRequest {
    /// The files.
    pub files: Vec<Source>,
}

/// The answer to `POST /admin/v1/check`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckResponse {
    /// Whether the set may be published.
    pub accepted: bool,
    /// Everything that the check found.
    pub findings: Vec<Finding>,
    /// The revision that the set was compared with.
    pub revision: Revision,
    /// What a publication would change.
    pub changes: Changes,
}

/// The body of `POST /admin/v1/publications`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The identity of the publication, a UUID of version 7 made by the operator's program.
    pub publication: String,
    /// Why, in the operator's words.
    pub reason: String,
    /// All files of the set; empty for a roll-back.
    #[serde(default)]
    pub files: Vec<Source>,
    /// The revision that the operator's change is based on; the newest one if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<Revision>,
    /// The revision whose objects are published again, in place of files.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollback: Option<Revision>,
}

/// The answer to `POST /admin/v1/publications` and `GET /admin/v1/publications/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// The identity of the publication.
    pub publication: String,
    /// What became of it.
    pub result: Outcome,
    /// What the check found.
    #[serde(default)]
    pub findings: Vec<Finding>,
    /// What the revision changes.
    #[serde(default)]
    pub changes: Changes,
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Outcome {
    /// It is a revision and stays one.
    Published {
        /// Its revision.
        revision: Revision,
    },
    /// The check found errors; nothing was written.
    Rejected,
    /// Another publication won; this one is not and will not be a revision.
    Conflict {
        /// The newest revision.
        winner: Revision,
        /// Who published it.
        author: Option<Name>,
        /// What changed from this publication's parent to the winner.
        difference: Changes,
    },
    /// It is not and will not be a revision.
    NotPublished {
        /// Why.
        reason: String,
    },
    /// It may or may not be a revision.
    Unknown {
        /// The command that tells later.
        command: String,
    },
}

/// The answer to `GET /admin/v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node that answers.
    pub node: Name,
    /// The newest revision accepted by the key-value service; none while it can't be read.
    pub accepted: Option<Revision>,
    /// The newest revision that the node holds.
    pub known: Revision,
    /// The revision that the node applies.
    pub in_force: Revision,
    /// Whether the node may take new work.
    pub confirmed: bool,
    /// Milliseconds since the configuration was last confirmed.
    pub confirmation_age_ms: Option<u64>,
    /// All members as the node sees them.
    pub members: Vec<Member>,
}

/// A member in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: Name,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Whether it is alive.
    pub state: State,
    /// The newest revision that it holds.
    pub known: Revision,
    /// The revision that it applies.
    pub in_force: Revision,
}

/// An entry of `GET /admin/v1/history`, newest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The hash of the record.
    pub hash: String,
    /// When the record was made, RFC 3339.
    pub time: String,
    /// The record.
    pub record: Record,
}

/// The answer to `GET /admin/v1/history`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The hash of the next older record, for the next call; none at the end of the chain.
    pub next: Option<String>,
}

/// The answer to `GET /admin/v1/revisions/{revision}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionDetails {
    /// The record.
    pub entry: Entry,
    /// The objects.
    pub objects: Vec<Object>,
}

/// Any refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The refusal.
    pub error: ErrorDetail,
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The reason.
    pub message: String,
    /// A fixed word for programs.
    pub code: String,
    /// After how many milliseconds a retry makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Entry {
    /// Makes an entry.
    pub fn new(hash: String, record: Record) -> Self {
        let time = crate::time::format(record.at);
        Self { hash, time, record }
    }
}

/// Returns the time of a text in RFC 3339 with `Z`, or in seconds since 1970.
pub fn parse_time(text: &str) -> Option<SystemTime> {
    crate::time::parse(text)
}
