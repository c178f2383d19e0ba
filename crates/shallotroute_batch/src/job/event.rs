//! The inputs and outputs of a job's state machine.

use std::{collections::BTreeMap, time::Duration};

use shallotroute_types::{name::Name, version::Version};

/// The limits of a job, which the caller derives from the configuration in force and the state of the
/// servers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The maximum number of concurrent attempts to generate.
    pub max_generating: usize,
    /// The maximum number of concurrent attempts to score. The scoring service also serves callers,
    /// who wait for it.
    pub max_scoring: usize,
    /// The number of failed attempts to generate after which an item is abandoned.
    pub max_attempts: usize,
    /// The number of failed attempts to score after which an item is abandoned.
    pub max_scoring_attempts: usize,
    /// The time without an event after which an attempt is migrated to another server.
    pub stall_timeout: Duration,
    /// The servers that are much slower than the others.
    pub slow_servers: Vec<Name>,
    /// The servers that leave, each with the time left. Attempts that can't end there in time are migrated.
    pub leaving_servers: BTreeMap<Name, Duration>,
    /// The software versions of the servers that have an acceptable version of the model and aren't
    /// draining, each with the number of free slots at those among them that aren't slow. As many
    /// attempts of each version may be migrated away from slow servers now.
    pub free_slots: BTreeMap<Name, usize>,
    /// The time between two events of an output; `None` while it is unknown.
    pub event_interval: Option<Duration>,
    /// Whether all events of an output must come from one version.
    pub requires_single_version: bool,
    /// How many more scoring requests this node may send to the scoring service now.
    pub scoring_room: usize,
    /// A random number in `0.0..1.0` by which the pauses of repeats are spread.
    pub random: f64,
}

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A server generated the next piece of the output.
    Generated {
        /// The number of the stream event, counted from 1.
        number: u64,
        /// The data of the stream event.
        data: String,
        /// The version that generated it.
        version: Version,
    },
    /// An attempt to generate ended.
    GenerationEnded(GenerationEnd),
    /// An attempt to score ended.
    ScoringEnded(ScoringEnd),
}

/// The end of an attempt to generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationEnd {
    /// The stream was complete.
    Complete,
    /// The stream was interrupted, or the response was no stream. Another attempt can resume it.
    Interrupted,
    /// The server did not run the item.
    Rejected,
    /// The server responded that the generation failed.
    Failed,
    /// The item can't be run at any server.
    Unprocessable,
    /// The server's entry names another software version than when the attempt started. Which of
    /// them generated the events of the attempt is unknown.
    SoftwareChanged,
}

/// The end of an attempt to score.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoringEnd {
    /// The scoring service returned this score.
    Score(String),
    /// The scoring service responded that the scoring failed.
    Failed,
    /// No valid response arrived, or the scoring service did not run the request.
    NoResponse,
    /// The request was not sent, and is not to be sent before this time has passed.
    Deferred(Duration),
    /// No route leads to the scoring service.
    NoRoute,
}

/// An action that the caller of the state machine performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start to generate an item's output at a server.
    Generate {
        /// The number of the new attempt.
        attempt: u64,
        /// The index of the item.
        item: usize,
        /// The server that generates.
        server: Name,
        /// The version of the server's software.
        software: Name,
        /// The last event that the item has; 0 to generate from the start.
        resume_after: u64,
    },
    /// Start to score an item's output.
    RequestScore {
        /// The number of the new attempt.
        attempt: u64,
        /// The index of the item.
        item: usize,
    },
    /// Cancel an attempt to generate or to score.
    Cancel {
        /// The number of the attempt.
        attempt: u64,
    },
    /// Report to operators that the output of an item was discarded.
    ReportDiscard(Discard),
}

/// An incomplete output that was discarded because of the software version that generated it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Discard {
    /// The index of the item.
    pub item: usize,
    /// The software version that generated the output.
    pub software: Name,
    /// Why the output was discarded.
    pub reason: DiscardReason,
    /// The number of events of the output.
    pub events: u64,
}

/// The reason for which an output is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// No server has the software any more.
    NotOffered,
    /// The servers that have the software had no free slot for as long as it takes to generate the
    /// output again.
    NoSlot,
    /// Which software generated the last events is unknown.
    Unattributed,
}

/// A server that generates an output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The identity of the server.
    pub server: Name,
    /// The version of its software.
    pub software: Name,
}

/// The preferences of an item for its server, and what it requires of it.
#[derive(Clone, Copy, Debug)]
pub struct Preference<'a> {
    /// The server of the last attempt in the item's group, which has the group's prompt in its prefix
    /// cache. `None` before the group's first attempt.
    pub cached_on: Option<&'a Name>,
    /// The servers of the item's last attempts that did not complete its output.
    pub avoid: &'a [Name],
    /// The software version that the server must have, because it generated the output so far. `None`
    /// for an output that starts from its first event.
    pub software: Option<&'a Name>,
}

/// The numbers of a job's items by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemCounts {
    /// Items that wait for a server.
    pub waiting: usize,
    /// Items whose output is being generated.
    pub generating: usize,
    /// Items whose output is being scored or waits to be scored.
    pub scoring: usize,
    /// Items whose outcome is known and not committed.
    pub ready: usize,
    /// Items whose outcome is committed.
    pub committed: usize,
}
