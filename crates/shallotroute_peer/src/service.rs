//! The services that share a node's TCP port. The first byte of a connection selects one.

use derive_more::Display;

/// A service that a node offers to other nodes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Exchange of the configuration's revisions.
    #[display("configuration")]
    Configuration,
    /// Records of non-idempotent requests.
    #[display("requests")]
    Requests,
    /// Steps of trainers: forwarded calls and replicas of their state.
    #[display("rollouts")]
    Rollouts,
    /// Batch jobs and relayed calls to the platform's store, between nodes on the users' platform.
    #[display("jobs")]
    Jobs,
    /// Requests that a node passes on to backend servers for another one, over HTTP.
    #[display("relay")]
    Relay,
}

impl Kind {
    /// Returns the first byte of connections to this service.
    pub const fn byte(self) -> u8 {
        match self {
            Self::Configuration => 1,
            Self::Requests => 2,
            Self::Rollouts => 3,
            Self::Jobs => 4,
            Self::Relay => 5,
        }
    }

    /// Returns the service that a connection's first byte selects, or `None` if it is unknown.
    pub const fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Configuration),
            2 => Some(Self::Requests),
            3 => Some(Self::Rollouts),
            4 => Some(Self::Jobs),
            5 => Some(Self::Relay),
            _ => None,
        }
    }
}
