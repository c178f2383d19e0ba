//! Fencing numbers.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A number that rises each time a lease changes its holder.
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
pub struct Fence(pub u64);

impl Fence {
    /// Returns the number that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
