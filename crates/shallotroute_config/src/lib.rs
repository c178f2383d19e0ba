//! Operators' objects, their check, and how a set of them is published and comes into force.
//! Start with [`snapshot::Snapshot`].

pub mod adoption;
pub mod api;
pub mod bundle;
pub mod check;
pub mod difference;
pub mod document;
pub mod finding;
mod line;
pub mod object;
pub mod publication;
pub mod set;
pub mod snapshot;
pub mod time;
