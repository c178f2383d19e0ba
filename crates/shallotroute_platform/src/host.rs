//! The platform's host list, which lags.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

use crate::error::Result;

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the node or backend server on it.
    pub name: Name,
    /// Whether it stays.
    pub state: State,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It stays.
    Live,
    /// It leaves.
    Leaving,
}

/// The host list.
pub trait List: Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// The service is unreachable or did not answer in time.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>>>;
}
