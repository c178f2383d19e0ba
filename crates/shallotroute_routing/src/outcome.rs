//! Derives the outcome of an attempt from the evidence on the wire.

use derive_more::Display;
use shallotroute_types::outcome::Outcome;

/// The reason why a backend server refused a request without running it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The server takes no new work.
    #[display("leaving")]
    Leaving,
    /// The server has no free slot for the request.
    #[display("overloaded")]
    Overloaded,
    /// The engine has not loaded the model.
    #[display("model not loaded")]
    NotLoaded,
}

impl Refusal {
    /// Parses a response's status and its header `X-Server-State`. Only the status 503 together with
    /// a known state proves that nothing was run; returns `None` for everything else.
    pub fn parse(status: u16, state: Option<&[u8]>) -> Option<Self> {
        match (status, state) {
            (503, Some(b"leaving")) => Some(Self::Leaving),
            (503, Some(b"overloaded")) => Some(Self::Overloaded),
            _ => None,
        }
    }
}

/// How an attempt ended, as seen on the wire.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Evidence {
    /// No connection was made, or it was closed before a byte of the request was written.
    #[display("no byte was sent")]
    NotSent,
    /// The server refused the request and ran nothing.
    #[display("the server refused: {_0}")]
    Refused(Refusal),
    /// Bytes were sent and the connection broke before a response came.
    #[display("the connection broke before a response")]
    NoResponse,
    /// Bytes were sent and no complete response came before the deadline.
    #[display("no whole response came before the deadline")]
    TimedOut,
    /// The response carries the identity of another attempt.
    #[display("the response belongs to another request")]
    Foreign,
    /// The response broke off, or it is malformed.
    #[display("the response is not whole")]
    Truncated,
    /// A complete response came.
    #[display("a whole response came")]
    Complete,
}

impl Evidence {
    /// Returns whether the attempt ran, as far as the evidence proves it.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::Refused(_) => Outcome::NotRun,
            Self::NoResponse | Self::TimedOut | Self::Foreign | Self::Truncated => Outcome::Unknown,
            Self::Complete => Outcome::Ran,
        }
    }
}

/// Combines the outcomes of two groups of attempts at the same request. A request did not run only if none
/// of its attempts did.
pub fn combine(left: Outcome, right: Outcome) -> Outcome {
    match (left, right) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
