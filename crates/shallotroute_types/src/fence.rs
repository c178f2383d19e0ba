//! Fencing numbers.

use crate::counter::counter;

counter! {
    /// A fencing number: rises each time a lease changes its holder, so that a command of a former
    /// holder can be recognised and refused.
    Fence
}
