//! Fencing numbers.

use crate::number::number;

number! {
    /// A number that rises each time a lease changes its holder.
    Fence
}
