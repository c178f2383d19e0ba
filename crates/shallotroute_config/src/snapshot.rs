//! One published revision with its objects and its record.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, revision::Revision};

use crate::set::Set;

/// A published revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The hash of the record.
    pub hash: String,
    /// Who published it, when and why.
    pub record: Record,
    /// The objects.
    pub set: Set,
}

impl Snapshot {
    /// Returns the number of the revision.
    pub fn revision(&self) -> Revision {
        self.record.revision
    }
}

/// The immutable record of a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The revision.
    pub revision: Revision,
    /// The hash of the record of the revision before; none for the first one.
    pub parent: Option<String>,
    /// The identity of the publication, made by the operator's program.
    pub publication: String,
    /// The operator.
    pub author: Name,
    /// When the node wrote the record.
    pub at: SystemTime,
    /// Why, in the operator's words.
    pub reason: String,
    /// Objects that were added, changed and removed, as `kind/name`.
    pub changes: Changes,
    /// Warnings of the check; a set with errors is never published.
    pub warnings: Vec<String>,
    /// The hashes of the parts that hold the objects, in order.
    pub parts: Vec<String>,
}

/// What a revision changed, as `kind/name`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Objects that the parent does not have.
    pub added: Vec<String>,
    /// Objects that the parent has with other fields.
    pub changed: Vec<String>,
    /// Objects that only the parent has.
    pub removed: Vec<String>,
}
