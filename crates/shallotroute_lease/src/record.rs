//! The record of a lease in the key-value store.

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    fence::Fence,
    name::Name,
    node::{Id, Incarnation},
};

/// The value of the key `lease/<role>`, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The node that holds the lease; empty after it released the lease.
    pub holder: Id,
    /// The incarnation of the process that holds the lease, or that released it.
    pub incarnation: Incarnation,
    /// The fencing number, which rises with each change of holder.
    pub fence: Fence,
    /// Distinguishes the writes of one incarnation from each other.
    pub nonce: u64,
}

impl Record {
    /// Returns whether the last holder released the lease.
    pub fn is_vacant(&self) -> bool {
        self.holder.is_empty()
    }

    /// Returns the key under which the lease of `role` is stored.
    pub fn key(role: &Name) -> String {
        format!("lease/{role}")
    }
}
