//! The errors of the control plane.

use derive_more::Display;
use error_stack::Report;

/// The result of a call to the key-value service or to a peer.
pub(crate) type Result<T> = std::result::Result<T, Report<Error>>;

/// The reason for a failed call. The administration API returns its text to operators, except that
/// of [`Error::Peer`].
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Error {
    /// A call to the key-value service failed; holds the name of the call.
    #[display("{_0} at the key-value service failed")]
    Store(&'static str),
    /// A key to which the head or a record refers has no value; holds the key.
    #[display("{_0} is missing in the key-value service")]
    Missing(String),
    /// A value has the wrong hash or can't be decoded, or a set can't be encoded; holds the key or
    /// `the set`.
    #[display("{_0} is not readable as a revision")]
    Malformed(String),
    /// A call to a peer failed or timed out.
    #[display("{step} at peer {peer} failed")]
    Peer {
        /// The name of the call.
        step: &'static str,
        /// The address of the peer.
        peer: String,
    },
}

impl std::error::Error for Error {}
