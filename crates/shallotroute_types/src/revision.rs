//! Revisions of the configuration.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The number of a published configuration; 0 is the empty one before the first publication.
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
pub struct Revision(pub u64);

impl Revision {
    /// Returns the number that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
