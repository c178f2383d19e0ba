//! The record of a lease in the key-value service.

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    fence::Fence,
    name::Name,
    node::{Id, Incarnation},
};

/// The value of `lease/<role>`, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The holder; empty after a voluntary release.
    pub holder: Id,
    /// The holder's incarnation when it acquired the lease.
    pub incarnation: Incarnation,
    /// Rises with each change of holder.
    pub fence: Fence,
    /// Distinguishes the writes of one incarnation from each other.
    pub nonce: u64,
}

impl Record {
    /// Tells whether the last holder released the lease.
    pub fn is_vacant(&self) -> bool {
        self.holder.is_empty()
    }

    /// Returns the key of a role's record.
    pub fn key(role: &Name) -> String {
        format!("lease/{role}")
    }
}
