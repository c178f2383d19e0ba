//! Priority classes of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A priority class; an earlier variant goes before a later one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Requests on which a person waits.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Samples of trainers' steps.
    #[display("training")]
    Training,
    /// Work without a deadline of minutes.
    #[display("batch")]
    Batch,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Training, Self::Batch];

    /// Returns the priority number passed to engines; a lower number is served first.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Interactive => 0,
            Self::Training => 10,
            Self::Batch => 20,
        }
    }
}
