//! The state machine of one item of a batch job.

use std::time::Instant;

use shallotroute_types::{name::Name, version::Version};

use crate::{
    job::{Choice, Discard, DiscardReason},
    record::{CheckpointState, Outcome, Sample},
};

/// The phase of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The item waits for a server.
    Waiting {
        /// The end of the back-off; `None` if there is none.
        retry_at: Option<Instant>,
    },
    /// A server generates the output.
    Generating(Attempt),
    /// The output is complete and waits to be scored.
    Unscored {
        /// The end of the back-off; `None` if there is none.
        retry_at: Option<Instant>,
    },
    /// The output is being scored.
    Scoring {
        /// The number of the attempt to score it.
        attempt: u64,
    },
    /// The outcome is known and not committed.
    Ready {
        /// The outcome to commit.
        outcome: Outcome,
        /// When the outcome became known.
        since: Instant,
    },
    /// The outcome is stored at a position among the job's results.
    Committed,
}

/// An attempt to generate an output at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The number of the attempt, unique in the job among attempts to generate and to score.
    pub number: u64,
    /// The server that generates.
    pub server: Name,
    /// The version of the server's software.
    pub software: Name,
    /// When the attempt started.
    pub started_at: Instant,
    /// When the last event arrived; `None` before the first.
    pub last_event_at: Option<Instant>,
}

/// The state of an item at the owner of its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemState {
    /// The phase of the item.
    pub phase: Phase,
    /// The number of the last event of the output; 0 before the first.
    pub last_event: u64,
    /// The number of attempts to generate that failed at a server.
    pub failures: usize,
    /// The number of attempts to score that failed at the scoring service.
    pub scoring_failures: usize,
    /// The number of scoring requests without a usable response since the output was complete.
    pub scoring_repeats: u32,
    /// The number of migrations away from slow servers.
    pub migrations: u32,
    /// The servers of the last attempts that did not complete the output, newest last.
    pub avoided_servers: Vec<Name>,
    /// When a server of the software that generated the output was first sought in vain since the last
    /// event; `None` if one was found each time.
    pub blocked_since: Option<Instant>,
    output: String,
    versions: Vec<Version>,
    /// The software version that generated the output; `None` before the first event.
    software: Option<Name>,
}

/// The maximum number of servers that an item avoids.
const MAX_AVOIDED_SERVERS: usize = 2;

impl ItemState {
    /// Creates the state of an item without output.
    pub fn new() -> Self {
        Self {
            phase: Phase::Waiting { retry_at: None },
            last_event: 0,
            failures: 0,
            scoring_failures: 0,
            scoring_repeats: 0,
            migrations: 0,
            avoided_servers: Vec::new(),
            blocked_since: None,
            output: String::new(),
            versions: Vec::new(),
            software: None,
        }
    }

    /// Frees the output and marks the item as committed.
    pub fn release(&mut self) {
        self.output = String::new();
        self.phase = Phase::Committed;
    }

    /// Returns the attempt to generate that is in progress, if there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::Generating(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns whether the outcome is known.
    pub fn has_outcome(&self) -> bool {
        matches!(self.phase, Phase::Ready { .. } | Phase::Committed)
    }

    /// Returns the software version that generated the output; `None` before the first event.
    pub fn software(&self) -> Option<&Name> {
        self.software.as_ref()
    }

    /// Appends the data of the next event, which the attempt in progress has received, to the output.
    pub fn push_event(&mut self, data: &str, version: Version, now: Instant) {
        if self.last_event > 0 {
            self.output.push('\n');
        }
        self.output.push_str(data);
        self.last_event += 1;
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        self.blocked_since = None;
        if let Phase::Generating(attempt) = &mut self.phase {
            attempt.last_event_at = Some(now);
            self.software
                .get_or_insert_with(|| attempt.software.clone());
        }
    }

    /// Returns whether an event of `version` may be appended to the output. With
    /// `requires_single_version`, all events must come from one version.
    pub fn accepts_version(
        &self,
        version: Version,
        min_version: Version,
        requires_single_version: bool,
    ) -> bool {
        let is_mixed =
            requires_single_version && self.versions.iter().any(|other| *other != version);
        version >= min_version && !is_mixed
    }

    /// Returns the output so far; `None` before the first event and when the outcome is known.
    pub fn partial(&self) -> Option<CheckpointState> {
        if self.last_event == 0 || self.has_outcome() {
            return None;
        }
        Some(CheckpointState::Generated {
            last_event: self.last_event,
            output: self.output.clone(),
            versions: self.versions.clone(),
            software: self.software.clone()?,
        })
    }

    /// Restores the progress that a former owner made. A partial output is ignored if the item has
    /// output already or if the software that generated it is unknown; an outcome is ignored while
    /// the item is generating or has an outcome.
    pub fn restore(&mut self, state: CheckpointState, now: Instant) {
        let is_new = matches!(self.phase, Phase::Waiting { .. }) && self.last_event == 0;
        match state {
            CheckpointState::Done(outcome) if !self.has_outcome() && self.attempt().is_none() => {
                self.set_outcome(outcome, now);
            }
            CheckpointState::Generated {
                last_event,
                output,
                versions,
                software,
            } if is_new => {
                self.last_event = last_event;
                self.output = output;
                self.versions = versions;
                self.software = Some(software);
            }
            CheckpointState::Done(_)
            | CheckpointState::Partial { .. }
            | CheckpointState::Generated { .. } => {}
        }
    }

    /// Discards the output, so that the next attempt starts from the first event.
    pub fn discard_output(&mut self) {
        self.output.clear();
        self.versions.clear();
        self.software = None;
        self.blocked_since = None;
        self.last_event = 0;
    }

    /// Discards the output because of the software that generated it. Returns what was discarded;
    /// `None` if the item, which is the one at `index`, has no output.
    pub fn discard_for_software(&mut self, index: usize, reason: DiscardReason) -> Option<Discard> {
        let discard = Discard {
            item: index,
            software: self.software.clone()?,
            reason,
            events: self.last_event,
        };
        self.discard_output();
        Some(discard)
    }

    /// Starts an attempt at the chosen server.
    pub fn start(&mut self, number: u64, choice: Choice, now: Instant) {
        self.phase = Phase::Generating(Attempt {
            number,
            server: choice.server,
            software: choice.software,
            started_at: now,
            last_event_at: None,
        });
    }

    /// Returns the item to [`Phase::Waiting`] after an attempt that did not complete the
    /// output. Later attempts avoid the server `avoid`.
    pub fn requeue(&mut self, retry_at: Option<Instant>, avoid: Option<Name>) {
        self.phase = Phase::Waiting { retry_at };
        if let Some(server) = avoid {
            self.avoided_servers.push(server);
            if self.avoided_servers.len() > MAX_AVOIDED_SERVERS {
                self.avoided_servers.remove(0);
            }
        }
    }

    /// Completes the item with its output and score.
    pub fn complete(&mut self, score: Option<String>, now: Instant) {
        let sample = Sample {
            output: std::mem::take(&mut self.output),
            versions: std::mem::take(&mut self.versions),
            score,
        };
        self.set_outcome(Outcome::Completed(sample), now);
    }

    /// Abandons the item and frees its output.
    pub fn abandon(&mut self, now: Instant) {
        self.output = String::new();
        self.set_outcome(Outcome::Abandoned, now);
    }

    fn set_outcome(&mut self, outcome: Outcome, now: Instant) {
        self.phase = Phase::Ready {
            outcome,
            since: now,
        };
    }
}

impl Default for ItemState {
    fn default() -> Self {
        Self::new()
    }
}
