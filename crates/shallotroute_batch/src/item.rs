//! One item of a batch job: the text so far and what may happen next.

use std::time::Instant;

use shallotroute_types::{name::Name, version::Version};

use crate::record::{DraftState, Outcome, Sample};

/// What an item is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a server.
    Waiting {
        /// It does not start before this instant.
        until: Option<Instant>,
    },
    /// A server generates its text.
    Generating(Attempt),
    /// Its text waits to be rated.
    Unrated {
        /// The rating does not start before this instant.
        until: Option<Instant>,
    },
    /// Its text is being rated.
    Rating {
        /// The number of the attempt.
        attempt: u64,
    },
    /// Its outcome is known and not written yet.
    Ready {
        /// What came of it.
        outcome: Outcome,
        /// When it became known.
        since: Instant,
    },
    /// Its outcome stands in a position.
    Listed,
}

/// A run at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number, unique in the job.
    pub number: u64,
    /// The server.
    pub server: Name,
    /// When the run began.
    pub since: Instant,
    /// When it last made an event; none before the first.
    pub progress: Option<Instant>,
}

/// The state of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// What it is doing.
    pub phase: Phase,
    /// The number of the last event; 0 before the first.
    pub last_event: u64,
    /// How often a server answered that the run failed.
    pub failures: usize,
    /// How often a rating service answered that the rating failed.
    pub rating_failures: usize,
    /// How often a run was moved away from a slow server.
    pub moves: u32,
    /// The servers whose runs broke off, newest last.
    pub broken_at: Vec<Name>,
    text: String,
    versions: Vec<Version>,
}

/// The most servers that an item remembers to avoid.
const MAX_AVOIDED: usize = 2;

impl Item {
    /// Starts without a text.
    pub fn new() -> Self {
        Self {
            phase: Phase::Waiting { until: None },
            last_event: 0,
            failures: 0,
            rating_failures: 0,
            moves: 0,
            broken_at: Vec::new(),
            text: String::new(),
            versions: Vec::new(),
        }
    }

    /// Frees the text.
    pub fn release(&mut self) {
        self.text = String::new();
        self.phase = Phase::Listed;
    }

    /// Returns the run at a server, if there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::Generating(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Tells whether the outcome is known.
    pub fn settled(&self) -> bool {
        matches!(self.phase, Phase::Ready { .. } | Phase::Listed)
    }

    /// Adds the data of the event that follows the last one.
    pub fn push(&mut self, data: &str, version: Version, now: Instant) {
        if self.last_event > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.last_event += 1;
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        if let Phase::Generating(attempt) = &mut self.phase {
            attempt.progress = Some(now);
        }
    }

    /// Tells whether an event of `version` may follow the text.
    pub fn accepts(&self, version: Version, oldest: Version, single: bool) -> bool {
        let mixed = single && self.versions.iter().any(|other| *other != version);
        version >= oldest && !mixed
    }

    /// Returns the text so far, if it has an event and the outcome is not known.
    pub fn partial(&self) -> Option<DraftState> {
        if self.last_event == 0 || self.settled() {
            return None;
        }
        Some(DraftState::Partial {
            last_event: self.last_event,
            text: self.text.clone(),
            versions: self.versions.clone(),
        })
    }

    /// Takes up the text of a former owner; an item that has a text already keeps its own.
    pub fn restore(&mut self, state: DraftState, now: Instant) {
        let fresh = matches!(self.phase, Phase::Waiting { .. }) && self.last_event == 0;
        match state {
            DraftState::Done(outcome) if !self.settled() && self.attempt().is_none() => {
                self.settle(outcome, now);
            }
            DraftState::Partial {
                last_event,
                text,
                versions,
            } if fresh => {
                self.last_event = last_event;
                self.text = text;
                self.versions = versions;
            }
            DraftState::Done(_) | DraftState::Partial { .. } => {}
        }
    }

    /// Drops the text, so that the item starts anew.
    pub fn restart(&mut self) {
        self.text.clear();
        self.versions.clear();
        self.last_event = 0;
    }

    /// Returns to waiting after a run that broke off.
    pub fn wait(&mut self, until: Option<Instant>, avoid: Option<Name>) {
        self.phase = Phase::Waiting { until };
        if let Some(server) = avoid {
            self.broken_at.push(server);
            if self.broken_at.len() > MAX_AVOIDED {
                self.broken_at.remove(0);
            }
        }
    }

    /// Takes the whole text with its rating.
    pub fn complete(&mut self, score: Option<String>, now: Instant) {
        let sample = Sample {
            text: std::mem::take(&mut self.text),
            versions: std::mem::take(&mut self.versions),
            score,
        };
        self.settle(Outcome::Completed(sample), now);
    }

    /// Gives the item up.
    pub fn abandon(&mut self, now: Instant) {
        self.text = String::new();
        self.settle(Outcome::Abandoned, now);
    }

    fn settle(&mut self, outcome: Outcome, now: Instant) {
        self.phase = Phase::Ready {
            outcome,
            since: now,
        };
    }
}

impl Default for Item {
    fn default() -> Self {
        Self::new()
    }
}
