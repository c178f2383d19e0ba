//! Which weights produced which tokens.

use serde::{Deserialize, Serialize};

use crate::version::Version;

/// A half-open range of token indices that one version produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Index of the first token.
    pub start: u32,
    /// Index after the last token.
    pub end: u32,
    /// The version that the engine reported for these tokens.
    pub version: Version,
}
