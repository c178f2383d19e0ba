//! The interface to the platform's host list, which lags behind the actual hosts.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

use crate::error::Result;

/// A host that runs a node or a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the node or backend server on the host.
    pub name: Name,
    /// Whether the platform is about to remove the host.
    pub state: State,
}

/// The state of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host stays.
    Live,
    /// The platform is about to remove the host; work on it should be drained.
    Leaving,
}

/// A client of the host list.
pub trait List: Send + Sync + 'static {
    /// Reads the hosts that the platform lists at the moment.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unreachable or does not respond in time.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>>>;
}
