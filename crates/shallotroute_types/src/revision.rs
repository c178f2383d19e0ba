//! Revisions of the configuration.

use crate::counter::counter;

counter! {
    /// The number of a published configuration; 0 is the empty configuration before the first
    /// publication.
    Revision
}
