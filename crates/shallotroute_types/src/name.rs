//! Names of objects.

use std::sync::Arc;

use derive_more::{AsRef, Deref, Display};
use serde::{Deserialize, Serialize};

/// A name that is cheap to clone. Serialized as a plain string.
#[derive(
    Clone,
    Debug,
    Display,
    AsRef,
    Deref,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[as_ref(str)]
#[deref(forward)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Length of the longest valid name in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Wraps a string without validating it; see [`Name::is_valid`].
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the name has 1 to [`Name::MAX_BYTES`] bytes, all of `a-z A-Z 0-9 . _ -`.
    pub fn is_valid(&self) -> bool {
        !self.0.is_empty()
            && self.0.len() <= Self::MAX_BYTES
            && self
                .0
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self::new(text)
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
