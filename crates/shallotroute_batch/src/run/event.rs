//! What a job's state machine takes and gives.

use std::time::Duration;

use shallotroute_types::{name::Name, version::Version};

/// What a run may use; the caller derives it from the configuration in force.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most items at servers at a time.
    pub concurrency: usize,
    /// The most ratings at a time: the service that rates also has callers who wait.
    pub ratings: usize,
    /// The runs that a server may fail before an item is given up.
    pub attempts: usize,
    /// The ratings that may fail before an item is given up.
    pub rating_attempts: usize,
    /// A run without an event for this long is continued elsewhere.
    pub stall: Duration,
    /// The servers that are much slower than the others.
    pub slow: Vec<Name>,
    /// The most runs that may be moved away from slow servers now.
    pub spare: usize,
    /// Whether all events of a text have to come from one version.
    pub single_version: bool,
}

/// What happened at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A run made an event.
    Piece {
        /// The event's number, counted from 1.
        number: u64,
        /// Its data.
        data: String,
        /// The version that generated it.
        version: Version,
    },
    /// A run ended.
    Closed(Close),
    /// A rating ended.
    Rated(Rating),
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// The stream came to its end.
    Whole,
    /// The stream broke off or was no stream; it can go on elsewhere.
    Broken,
    /// The server did not run the item.
    Refused,
    /// The server answered that the run failed.
    Failed,
    /// The item can never be done.
    Impossible,
}

/// How a rating ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rating {
    /// The score.
    Score(String),
    /// The service answered that the rating failed.
    Failed,
    /// No answer came, or the service did not run it.
    Lost,
    /// No route leads to the service.
    NoRoute,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run an item at a server.
    Generate {
        /// The number of the attempt.
        attempt: u64,
        /// The item's position.
        item: usize,
        /// The server.
        server: Name,
        /// The last event that the item has; 0 for a run from the start.
        after: u64,
    },
    /// Rate an item's text.
    Rate {
        /// The number of the attempt.
        attempt: u64,
        /// The item's position.
        item: usize,
    },
    /// End a run or a rating.
    Cancel {
        /// The number of the attempt.
        attempt: u64,
    },
}

/// What an item needs of its server.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The server that last read the prompt of the item's group.
    pub cached: Option<&'a Name>,
    /// Servers where the item's runs broke off.
    pub avoid: &'a [Name],
}

/// The items of a job by what they are doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// They wait for a server.
    pub waiting: usize,
    /// A server generates their texts.
    pub generating: usize,
    /// Their texts wait to be rated or are being rated.
    pub rating: usize,
    /// Their outcomes are not written yet.
    pub ready: usize,
    /// They stand in their positions.
    pub listed: usize,
}
