//! Audit records of delivered groups, buffered until they are stored.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    name::Name, node::Id, provenance::Span, revision::Revision, version::Version,
};

use crate::{delivery, step::Key};

/// How many groups of a step are stored with one write. The budget of calls to the store relies on
/// it.
pub const BATCH_GROUPS: usize = 64;

/// The longest time that a group waits for others of its step before it is written.
pub const BATCH_DELAY: Duration = Duration::from_secs(2);

/// How many groups, of about 2 KB each, are buffered while the store is unavailable. Beyond that
/// the oldest are dropped, which is acceptable because each delivered sample carries its own
/// provenance.
pub const MAX_BUFFERED_GROUPS: usize = 4096;

/// The back-off after the first failed write. Each further failure doubles it.
const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// The longest back-off between writes while the store is unavailable.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// The record of a step, stored as JSON under `ledger/<trainer>/<step>`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The delivered groups. A group that was delivered again has only its last delivery here.
    pub groups: Vec<Group>,
}

/// The record of a delivered group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Index of the prompt within the step.
    pub group: u32,
    /// When the group was put in a response, in milliseconds since the Unix epoch.
    pub delivered_at_ms: u64,
    /// The version that the trainer named in its pull.
    pub trainer_version: Version,
    /// The records of the group's samples, ordered by index.
    pub samples: Vec<Sample>,
}

/// The record of a delivered sample, without its text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index within the group.
    pub index: u32,
    /// The number of generated tokens.
    pub tokens: u32,
    /// The weight versions that generated the tokens.
    pub spans: Vec<Span>,
    /// The engine that generated the sample.
    pub backend_server: Name,
    /// How many attempts were started for the sample, the successful one included.
    pub attempts: u32,
    /// The node that ran the attempt.
    pub node: Id,
    /// The pool as `pool/NAME`.
    pub route: String,
    /// The revision that was active when the successful attempt started.
    pub revision: Revision,
    /// The score, or `None` when the trainer has no scorer.
    pub score: Option<f64>,
}

impl From<&delivery::Sample> for Sample {
    fn from(sample: &delivery::Sample) -> Self {
        Self {
            index: sample.index,
            tokens: sample.tokens,
            spans: sample.spans.clone(),
            backend_server: sample.backend_server.clone(),
            attempts: sample.attempts,
            node: sample.node.clone(),
            route: sample.route.clone(),
            revision: sample.revision,
            score: sample.score,
        }
    }
}

impl Document {
    /// Adds groups and replaces those that the record already has.
    pub fn merge(&mut self, groups: &[Group]) {
        for group in groups {
            self.groups.retain(|other| other.group != group.group);
            self.groups.push(group.clone());
        }
    }
}

/// Records of groups that wait to be stored.
#[derive(Debug, Default)]
pub struct Buffer {
    steps: BTreeMap<Key, Pending>,
    /// The step of each buffered group, oldest group first.
    order: VecDeque<Key>,
    failures: u32,
    backoff_until: Option<Instant>,
    dropped_groups: u64,
}

#[derive(Debug)]
struct Pending {
    groups: VecDeque<Group>,
    since: Instant,
}

impl Buffer {
    /// Adds delivered groups of a step. Drops the oldest groups beyond [`MAX_BUFFERED_GROUPS`].
    pub fn push(&mut self, now: Instant, key: &Key, groups: Vec<Group>) {
        for group in groups {
            let pending = self.steps.entry(key.clone()).or_insert_with(|| Pending {
                groups: VecDeque::new(),
                since: now,
            });
            pending.groups.push_back(group);
            self.order.push_back(key.clone());
            if self.order.len() > MAX_BUFFERED_GROUPS {
                self.drop_oldest();
            }
        }
    }

    /// Returns a step with enough or old enough groups to be written, and all of its groups.
    /// Returns `None` when there is no such step or the store is in back-off.
    pub fn due_batch(&self, now: Instant) -> Option<(Key, Vec<Group>)> {
        if self.backoff_until.is_some_and(|time| now < time) {
            return None;
        }
        let ready = |pending: &Pending| {
            pending.groups.len() >= BATCH_GROUPS || now >= pending.since + BATCH_DELAY
        };
        let (key, pending) = self.steps.iter().find(|(_, pending)| ready(pending))?;
        Some((key.clone(), pending.groups.iter().cloned().collect()))
    }

    /// Returns the first step and its groups regardless of batch size and back-off, for the last
    /// writes of a node that stops.
    pub fn first_batch(&self) -> Option<(Key, Vec<Group>)> {
        let (key, pending) = self.steps.first_key_value()?;
        Some((key.clone(), pending.groups.iter().cloned().collect()))
    }

    /// Removes groups that were stored. Groups added since the batch was taken stay.
    pub fn remove_stored(&mut self, now: Instant, key: &Key, groups: &[Group]) {
        self.failures = 0;
        self.backoff_until = None;
        let Some(pending) = self.steps.get_mut(key) else {
            return;
        };
        let before = pending.groups.len();
        pending.groups.retain(|group| !groups.contains(group));
        pending.since = now;
        let removed = before - pending.groups.len();
        if pending.groups.is_empty() {
            self.steps.remove(key);
        }
        for _ in 0..removed {
            if let Some(position) = self.order.iter().position(|other| other == key) {
                self.order.remove(position);
            }
        }
    }

    /// Records a failed write, which starts a back-off.
    pub fn record_failure(&mut self, now: Instant) {
        let factor = 1 << self.failures.min(8);
        self.failures += 1;
        self.backoff_until = Some(now + (BACKOFF_MIN * factor).min(BACKOFF_MAX));
    }

    /// Returns how many groups are buffered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no group is buffered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns how many groups were dropped without being stored.
    pub fn dropped_groups(&self) -> u64 {
        self.dropped_groups
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else {
            return;
        };
        self.dropped_groups += 1;
        if let Some(pending) = self.steps.get_mut(&key) {
            pending.groups.pop_front();
            if pending.groups.is_empty() {
                self.steps.remove(&key);
            }
        }
    }
}
