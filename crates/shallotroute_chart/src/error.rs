//! What the check of a chart finds.

use derive_more::Display;
use error_stack::Report;

/// The result of loading a chart.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// A chart that can't be used, with all findings.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("chart can't be used: {}", list(_0))]
pub struct Error(pub Vec<Finding>);

impl std::error::Error for Error {}

/// One fault of a chart.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// The text is not YAML of the right shape.
    #[display("{_0}")]
    Syntax(String),
    /// A name is used for a state that the chart or the code does not have.
    #[display("unknown state {_0}")]
    UnknownState(String),
    /// A name is used for an event that the chart or the code does not have.
    #[display("unknown event {_0}")]
    UnknownEvent(String),
    /// The code has a state that the chart does not have.
    #[display("state {_0} is missing")]
    MissingState(String),
    /// The code has an event that the chart does not have.
    #[display("event {_0} is missing")]
    MissingEvent(String),
    /// No sequence of events leads to the state.
    #[display("state {_0} can't be reached")]
    Unreachable(String),
    /// The state neither reacts to the event nor ignores it.
    #[display("state {state} has no transition for event {event} and does not ignore it")]
    MissingTransition {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// The state both reacts to the event and ignores it, or a final state reacts to it.
    #[display("state {state} must not have a transition for event {event}")]
    UnexpectedTransition {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
}

fn list(findings: &[Finding]) -> String {
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    findings.join("; ")
}
