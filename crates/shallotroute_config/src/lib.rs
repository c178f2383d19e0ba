//! Operators' objects, their check, and how a set of them is published and comes into force.
//! Start with [`snapshot::Snapshot`].

pub mod object;
pub mod set;
pub mod snapshot;
