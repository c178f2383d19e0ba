//! The versions of the weights that produced the tokens of an output.

use serde::{Deserialize, Serialize};

use crate::version::Version;

/// A half-open range of tokens that one version of the weights produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Index of the first token in the output.
    pub start: u32,
    /// Index of the last token plus one.
    pub end: u32,
    /// The version that the engine reported for these tokens.
    pub version: Version,
}
