//! The errors of the platform's edges.

use derive_more::Display;
use error_stack::Report;
use shallotroute_types::outcome::Outcome;

/// The result of a call over an edge.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a call failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{operation} at {peer} failed: {kind}")]
pub struct Error {
    /// What was being done.
    pub operation: &'static str,
    /// With whom.
    pub peer: String,
    /// What went wrong.
    pub kind: Kind,
}

impl std::error::Error for Error {}

impl Error {
    /// Makes an error.
    pub fn new(operation: &'static str, peer: impl Into<String>, kind: Kind) -> Self {
        Self {
            operation,
            peer: peer.into(),
            kind,
        }
    }

    /// Tells whether the call took effect.
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

/// What went wrong.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// No byte was sent.
    #[display("unreachable")]
    Unreachable,
    /// The request was sent and its answer was lost or late; it may have taken effect.
    #[display("answer lost")]
    Lost,
    /// The peer refused and did nothing.
    #[display("refused: {_0}")]
    Refused(String),
    /// The call is over the caller's own rate limit and was not sent.
    #[display("throttled")]
    Throttled,
    /// The fencing number is lower than one that the peer has seen.
    #[display("fencing number too old")]
    Fenced,
    /// The compare-and-swap found another version.
    #[display("conflict: found version {found}")]
    Conflict {
        /// The version that the key has; 0 when it has no value.
        found: u64,
    },
    /// The answer can't be understood.
    #[display("malformed answer: {_0}")]
    Malformed(String),
}
