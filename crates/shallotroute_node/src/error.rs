//! Errors that prevent a node from starting.

use std::net::SocketAddr;

use derive_more::Display;
use error_stack::Report;

/// The result of a step of starting a node.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The reason why a node can't start.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// A listener's socket can't be opened.
    #[display("failed to listen on {address} for {purpose}")]
    Listen {
        /// The clients of the listener, such as "callers".
        purpose: &'static str,
        /// The address from the settings.
        address: SocketAddr,
    },
    /// The handlers of SIGTERM and SIGINT can't be installed.
    #[display("failed to install the signal handlers")]
    Signal,
    /// The logger can't be created.
    #[display("failed to set up the log")]
    Log,
}

impl std::error::Error for Error {}
