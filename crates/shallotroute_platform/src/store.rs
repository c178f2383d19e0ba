//! The interface to the platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::error::Result;

/// A value and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value, of at most 1 MB.
    pub value: Bytes,
    /// Rises with each write of the key; never 0. A compare-and-swap expects it.
    pub version: u64,
}

/// A client of the key-value service. Each call counts against the service's rate limits; a watch
/// counts as one call however long it waits.
pub trait Store: Send + Sync + 'static {
    /// Reads a key. Returns `None` if it has no value. Reads are linearizable.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unreachable or does not respond in time.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Writes a key if its version is `expected`, where 0 stands for a key without a value. Returns
    /// the new version.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Conflict`](crate::error::Kind::Conflict) if the key has another version, and
    /// [`Kind::Lost`](crate::error::Kind::Lost) if the write may have taken effect.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<u64>>;

    /// Waits until the key's version differs from `known`, or for `wait` at most, then reads the
    /// key.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Store::get`].
    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Returns the keys that start with `prefix`, sorted.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Store::get`].
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>>;
}
