//! Errors of calls to the platform and to backend servers.

use derive_more::Display;
use error_stack::Report;
use shallotroute_types::outcome::Outcome;

/// The result of a call to the platform or to a backend server.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A failed call: the operation, the peer and the kind of failure.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{operation} at {peer} failed: {kind}")]
pub struct Error {
    /// The operation that failed, such as "read of a key".
    pub operation: &'static str,
    /// The address of the peer, or the key of a call that a throttle did not send.
    pub peer: String,
    /// The kind of failure, which decides whether a retry is safe.
    pub kind: Kind,
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an error of `operation` at `peer`.
    pub fn new(operation: &'static str, peer: impl Into<String>, kind: Kind) -> Self {
        Self {
            operation,
            peer: peer.into(),
            kind,
        }
    }

    /// Returns whether the call took effect, as far as this node can know. Never [`Outcome::Ran`].
    pub fn outcome(&self) -> Outcome {
        match &self.kind {
            Kind::Unreachable | Kind::Throttled | Kind::Refused(_) | Kind::Fenced => {
                Outcome::NotRun
            }
            Kind::Lost | Kind::Malformed(_) => Outcome::Unknown,
            Kind::Conflict { .. } => Outcome::NotRun,
        }
    }
}

/// The kind of failure of a call.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// No connection could be made, so no byte was sent.
    #[display("unreachable")]
    Unreachable,
    /// The request was sent, but no complete response arrived in time, or the peer failed while
    /// handling it. It may have taken effect.
    #[display("answer lost")]
    Lost,
    /// The peer rejected the request and did not act on it; the field is the reason.
    #[display("refused: {_0}")]
    Refused(String),
    /// The call exceeds this node's own rate limit and was not sent.
    #[display("throttled")]
    Throttled,
    /// The peer has seen a higher fencing number than the request's and did not act on it.
    #[display("fencing number too old")]
    Fenced,
    /// A compare-and-swap found another version than expected and wrote nothing.
    #[display("conflict: found version {found}")]
    Conflict {
        /// The current version of the key; 0 if it has no value.
        found: u64,
    },
    /// The response is invalid, and the request may have taken effect; the field says how.
    #[display("malformed answer: {_0}")]
    Malformed(String),
}
