//! Identity of a node.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The name of a node, unique in the fleet and kept over restarts.
pub type Id = Name;

/// A number that rises with each start of a node's process and each refuted suspicion.
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
pub struct Incarnation(pub u64);
