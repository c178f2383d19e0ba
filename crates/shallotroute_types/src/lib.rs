//! Identifiers and values that all crates share. Start with [`member::View`] and [`name::Name`].

pub mod class;
pub mod clock;
pub mod fence;
pub mod member;
pub mod name;
pub mod node;
mod number;
pub mod outcome;
pub mod place;
pub mod provenance;
pub mod revision;
pub mod sample;
pub mod version;
