//! Versions of model weights.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The version of a model's weights, counted by its trainer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the number that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
