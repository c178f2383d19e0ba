//! Identifiers and values that all crates share. Start with [`member::View`] and [`name::Name`].

pub mod class;
pub mod clock;
mod counter;
pub mod fence;
pub mod location;
pub mod member;
pub mod name;
pub mod node;
pub mod outcome;
pub mod provenance;
pub mod revision;
pub mod sample;
pub mod version;
