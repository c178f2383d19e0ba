//! Revisions of the configuration.

use crate::number::number;

number! {
    /// The number of a published configuration; 0 is the empty one before the first publication.
    Revision
}
