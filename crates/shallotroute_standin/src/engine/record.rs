//! The records of requests and commands that an engine keeps for tests.

use std::time::Instant;

use shallotroute_platform::engine::Load;
use shallotroute_types::{name::Name, provenance::Span};

/// A request that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The value of `X-Request-Id`.
    pub request_id: String,
    /// The time of arrival.
    pub at: Instant,
    /// Whether the engine rejected the request without running it.
    pub was_refused: bool,
}

/// A request that the engine accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// The engine's number of the generation, counted from 0 over all incarnations.
    pub number: u64,
    /// The value of `X-Request-Id`.
    pub request_id: String,
    /// The requested model.
    pub model: Name,
    /// The prompt.
    pub prompt: String,
    /// The priority; lower values are served first.
    pub priority: u8,
    /// The length of the complete response, in tokens.
    pub target: u32,
    /// The number of prompt tokens that were in the prefix cache.
    pub cached: u32,
    /// The time of arrival.
    pub received: Instant,
    /// The time at which the request first got a slot.
    pub started: Option<Instant>,
    /// The version that generated each range of tokens.
    pub spans: Vec<Span>,
    /// How and when the generation ended; none while it is in progress.
    pub end: Option<(End, Instant)>,
}

impl Generation {
    /// Returns the number of generated tokens.
    pub fn produced(&self) -> u32 {
        self.spans.last().map_or(0, |span| span.end)
    }
}

/// The ways in which a generation ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were generated.
    Complete,
    /// The client closed the connection, the engine crashed, or the model was unloaded.
    Stopped,
}

/// A command that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The command as sent.
    pub load: Load,
    /// The time of arrival.
    pub received: Instant,
    /// How and when the command ended; none while it is in progress or after a crash during a swap.
    pub end: Option<(CommandResult, Instant)>,
}

/// The ways in which a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The version is loaded.
    Done,
    /// The fencing number was older than the highest known one; nothing was changed.
    Fenced,
    /// The weights could not be fetched; nothing was changed.
    NotFetched,
    /// The swap failed halfway; no version of the model is loaded.
    Partial,
}
