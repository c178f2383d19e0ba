//! Identity of a sample.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The fixed identity of a sample; attempts at it are many, one is delivered.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{trainer}/{step}/{group}/{index}")]
pub struct Identity {
    /// The trainer that asked for the sample.
    pub trainer: Name,
    /// The trainer's step.
    pub step: u64,
    /// Index of the prompt within the step.
    pub group: u32,
    /// Index of the sample within its group.
    pub index: u32,
}
