//! Errors in a state chart.

use derive_more::Display;
use error_stack::Report;

/// The result of loading a chart.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The findings that make a chart invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("invalid state chart: {}", join_messages(_0))]
pub struct Error(pub Vec<Finding>);

impl std::error::Error for Error {}

/// One error in a chart.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// The text is not a chart in YAML; the message is the parser's.
    #[display("{_0}")]
    Syntax(String),
    /// The chart refers to a state that the chart or the code does not define.
    #[display("unknown state {_0}")]
    UnknownState(String),
    /// The chart refers to an event that the chart or the code does not define.
    #[display("unknown event {_0}")]
    UnknownEvent(String),
    /// The chart does not define a state of the code.
    #[display("state {_0} is missing")]
    MissingState(String),
    /// The chart does not define an event of the code.
    #[display("event {_0} is missing")]
    MissingEvent(String),
    /// No sequence of events leads from the initial state to this one.
    #[display("state {_0} can't be reached")]
    Unreachable(String),
    /// The state neither has a transition for the event nor ignores it.
    #[display("state {state} has no transition for event {event} and does not ignore it")]
    MissingTransition {
        /// The name of the state.
        state: String,
        /// The name of the event.
        event: String,
    },
    /// The state has a transition for the event although it ignores the event or is final.
    #[display("state {state} must not have a transition for event {event}")]
    UnexpectedTransition {
        /// The name of the state.
        state: String,
        /// The name of the event.
        event: String,
    },
}

fn join_messages(findings: &[Finding]) -> String {
    let messages: Vec<String> = findings.iter().map(ToString::to_string).collect();
    messages.join("; ")
}
