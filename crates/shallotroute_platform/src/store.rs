//! The platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::error::Result;

/// A value with the version that a compare-and-swap names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value, at most 1 MB.
    pub value: Bytes,
    /// A number that rises with each write of the key; never 0.
    pub version: u64,
}

/// The key-value service. Each call counts against its rates, a waiting watch as one.
pub trait Store: Send + Sync + 'static {
    /// Reads a key; linearizable.
    ///
    /// # Errors
    ///
    /// The service is unreachable or did not answer in time.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>>;

    /// Writes a key if it has version `expected` (0: has no value) and returns the new version.
    ///
    /// # Errors
    ///
    /// `Conflict` when the key has another version; `Lost` when the write may have taken effect.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<u64>>;

    /// Waits until the key's version differs from `known` or `wait` is over, then reads it.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
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
    /// As for [`Store::get`].
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>>;
}
