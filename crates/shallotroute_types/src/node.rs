//! Identity of a node.

use crate::{name::Name, number::number};

/// The name of a node, unique in the fleet and kept over restarts.
pub type Id = Name;

number! {
    /// A number that rises with each start of a node's process and each refuted suspicion.
    Incarnation
}
