//! Identity of a node.

use crate::{counter::counter, name::Name};

/// The name of a node, unique in the fleet and unchanged by restarts.
pub type Id = Name;

counter! {
    /// The incarnation of a node's process: rises with each start, and each time the node refutes a
    /// suspicion of its death.
    Incarnation
}
