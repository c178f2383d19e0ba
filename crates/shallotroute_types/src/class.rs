//! Priority classes of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A priority class; requests of an earlier variant are served first.
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
    /// Requests for samples of trainers' steps.
    #[display("training")]
    Training,
    /// Requests whose deadline, if any, is more than minutes away.
    #[display("batch")]
    Batch,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Training, Self::Batch];

    /// Returns the priority passed to engines, which serve a lower number first.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Interactive => 0,
            Self::Training => 10,
            Self::Batch => 20,
        }
    }
}
