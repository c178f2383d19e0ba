//! What truly happened in an engine.

use std::time::Instant;

use shallotroute_platform::engine::Load;
use shallotroute_types::{name::Name, provenance::Span};

/// One request that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The value of `X-Request-Id`.
    pub request_id: String,
    /// When.
    pub at: Instant,
    /// Whether it was refused without being run.
    pub refused: bool,
}

/// One request that the engine took.
#[derive(Clone, Debug, PartialEq)]
pub struct Generation {
    /// The engine's number of it, from 0.
    pub number: u64,
    /// The value of `X-Request-Id`.
    pub request_id: String,
    /// The model.
    pub model: Name,
    /// The prompt.
    pub prompt: String,
    /// The priority; lower is served first.
    pub priority: u8,
    /// The length of the whole answer, in tokens.
    pub target: u32,
    /// Prompt tokens that were in the prefix cache.
    pub cached: u32,
    /// When it arrived.
    pub received: Instant,
    /// When it first got a slot.
    pub started: Option<Instant>,
    /// Which version made which tokens.
    pub spans: Vec<Span>,
    /// How and when it ended.
    pub end: Option<(End, Instant)>,
}

impl Generation {
    /// Returns how many tokens were made.
    pub fn produced(&self) -> u32 {
        self.spans.last().map_or(0, |span| span.end)
    }
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All tokens were made.
    Complete,
    /// The client closed the connection, the engine crashed, or the model was unloaded.
    Stopped,
}

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The command.
    pub load: Load,
    /// When it arrived.
    pub received: Instant,
    /// When it ended and how.
    pub end: Option<(Result, Instant)>,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Result {
    /// The version is loaded.
    Done,
    /// The fencing number was too old; nothing was done.
    Fenced,
    /// The weights could not be fetched; nothing was done.
    NotFetched,
    /// It failed halfway.
    Partial,
}
