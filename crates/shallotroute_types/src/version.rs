//! Versions of model weights.

use crate::counter::counter;

counter! {
    /// The version of a model's weights, counted by its trainer.
    Version
}
