//! Identity of a sample.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The identity of a sample, shared by all attempts to generate it; one attempt is delivered.
///
/// Displayed as `trainer/step/group/index`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{trainer}/{step}/{group}/{index}")]
pub struct Identity {
    /// The trainer that asked for the sample.
    pub trainer: Name,
    /// The number of the trainer's step.
    pub step: u64,
    /// Index of the group, and so of its prompt, within the step.
    pub group: u32,
    /// Index of the sample within its group.
    pub index: u32,
}
