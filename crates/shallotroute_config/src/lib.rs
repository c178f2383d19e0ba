//! The configuration that operators write: its objects, the consistency check, the publication of a
//! revision and its distribution to all nodes.
//!
//! Publication and distribution are state machines without I/O; their drivers are in
//! `shallotroute_control`. Start with [`snapshot::Snapshot`].

pub mod adoption;
pub mod api;
pub mod bundle;
pub mod check;
pub mod difference;
pub mod document;
pub mod finding;
pub mod object;
mod position;
pub mod publication;
pub mod set;
pub mod snapshot;
pub mod time;
