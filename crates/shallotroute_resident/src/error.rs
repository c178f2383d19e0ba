//! Errors that keep a node from starting.

use std::net::SocketAddr;

use derive_more::Display;
use error_stack::Report;

/// The result of starting or running a node.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The reason why a node failed to start.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// A listener could not bind its address.
    #[display("failed to listen for {purpose} on {address}")]
    Listen {
        /// The use of the listener, such as `callers` or `metrics`.
        purpose: &'static str,
        /// The address from the settings.
        address: SocketAddr,
    },
    /// A signal handler could not be installed.
    #[display("failed to install a signal handler")]
    Signal,
    /// The logger or its writer thread could not be started.
    #[display("failed to set up logging")]
    Log,
}

impl std::error::Error for Error {}
