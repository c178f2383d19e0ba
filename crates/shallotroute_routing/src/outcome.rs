//! The outcome of an attempt, derived from what was on the wire.

use derive_more::Display;
use shallotroute_types::outcome::Outcome;

/// Why a backend server refused a request without running it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// It takes no new work.
    #[display("leaving")]
    Leaving,
    /// It has no place for the request.
    #[display("overloaded")]
    Overloaded,
    /// It is an engine that has not loaded the model.
    #[display("model not loaded")]
    NotLoaded,
}

impl Refusal {
    /// Reads a response's status and its header `X-Server-State`. Only the status 503 together with
    /// a known state says that nothing was run.
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
    /// The server refused and ran nothing.
    #[display("the server refused: {_0}")]
    Refused(Refusal),
    /// Bytes were sent and the connection broke before a response came.
    #[display("the connection broke before a response")]
    NoResponse,
    /// Bytes were sent and no whole response came before the deadline.
    #[display("no whole response came before the deadline")]
    TimedOut,
    /// The response carries the identity of another attempt.
    #[display("the response belongs to another request")]
    Foreign,
    /// The response broke off or is not whole.
    #[display("the response is not whole")]
    Cut,
    /// A whole response came.
    #[display("a whole response came")]
    Whole,
}

impl Evidence {
    /// Returns what is known of the attempt's run.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::Refused(_) => Outcome::NotRun,
            Self::NoResponse | Self::TimedOut | Self::Foreign | Self::Cut => Outcome::Unknown,
            Self::Whole => Outcome::Ran,
        }
    }
}

/// Returns the outcome of a request with two groups of attempts: a request did not run only if none
/// of its attempts did.
pub fn combine(left: Outcome, right: Outcome) -> Outcome {
    match (left, right) {
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
    }
}
