//! Errors of starting a node on the platform.

use std::net::SocketAddr;

use derive_more::Display;
use error_stack::Report;

/// The result of starting a node.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a node can't start.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// A listener's address can't be used.
    #[display("listening for {purpose} on {address} failed")]
    Listen {
        /// What the listener is for.
        purpose: &'static str,
        /// Its address.
        address: SocketAddr,
    },
    /// The process can't receive signals.
    #[display("receiving signals failed")]
    Signal,
    /// The log can't be set up.
    #[display("setting up the log failed")]
    Log,
}

impl std::error::Error for Error {}
