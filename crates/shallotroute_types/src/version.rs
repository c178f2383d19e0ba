//! Versions of model weights.

use crate::number::number;

number! {
    /// The version of a model's weights, counted by its trainer.
    Version
}
