//! The errors of the control part.

use derive_more::Display;
use error_stack::Report;

/// The result of a step of the control part.
pub(crate) type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a step failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Error {
    /// The key-value service did not serve a call.
    #[display("{_0} at the key-value service failed")]
    Store(&'static str),
    /// The key-value service has no value where the head or a record names one.
    #[display("{_0} is missing in the key-value service")]
    Missing(String),
    /// The bytes are not a revision.
    #[display("{_0} is not readable as a revision")]
    Malformed(String),
    /// A peer did not answer.
    #[display("{step} at peer {peer} failed")]
    Peer {
        /// What was asked.
        step: &'static str,
        /// The peer.
        peer: String,
    },
}

impl std::error::Error for Error {}
