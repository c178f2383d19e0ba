//! Records of delivered groups for audit, buffered until they are stored.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    name::Name, node::Id, provenance::Span, revision::Revision, version::Version,
};

use crate::{delivery, step::Key};

/// How many groups of a step are stored with one write; the budget of calls counts on it.
pub const BATCH_GROUPS: usize = 64;

/// How long a group waits for others of its step.
pub const BATCH_DELAY: Duration = Duration::from_secs(2);

/// How many groups are buffered while the store is down; about 2 KB each. The oldest are dropped
/// beyond that: each delivered sample carries its provenance itself.
pub const MAX_BUFFERED_GROUPS: usize = 4096;

/// The first pause after a failed write; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// The longest pause between writes while the store is down.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// The value of `ledger/<trainer>/<step>`, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The groups, each once, by the last answer that held it.
    pub groups: Vec<Group>,
}

/// A delivered group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Index of the prompt within the step.
    pub group: u32,
    /// When it was put in an answer, in milliseconds of calendar time.
    pub delivered_at_ms: u64,
    /// The trainer's version in its pull.
    pub trainer_version: Version,
    /// The samples.
    pub samples: Vec<Sample>,
}

/// A delivered sample, without its text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index within the group.
    pub index: u32,
    /// How many tokens it has.
    pub tokens: u32,
    /// The versions that made the tokens.
    pub spans: Vec<Span>,
    /// The engine.
    pub backend_server: Name,
    /// Attempts started before one gave the sample, that one included.
    pub attempts: u32,
    /// The node that ran the attempt.
    pub node: Id,
    /// The pool, as `pool/NAME`.
    pub route: String,
    /// The revision in force when the attempt was started.
    pub revision: Revision,
    /// The score.
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
    /// Adds groups; a group that is there already is replaced.
    pub fn merge(&mut self, groups: &[Group]) {
        for group in groups {
            self.groups.retain(|other| other.group != group.group);
            self.groups.push(group.clone());
        }
    }
}

/// Groups that wait to be stored.
#[derive(Debug, Default)]
pub struct Buffer {
    steps: BTreeMap<Key, Pending>,
    /// The steps of the buffered groups, oldest first.
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
    /// Adds the groups of an answer.
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

    /// Returns the step whose groups are to be stored next, with all of its groups.
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

    /// Returns any step with its groups, for the last writes of a node that stops.
    pub fn first_batch(&self) -> Option<(Key, Vec<Group>)> {
        let (key, pending) = self.steps.first_key_value()?;
        Some((key.clone(), pending.groups.iter().cloned().collect()))
    }

    /// Removes groups that were stored; those that came in the meantime stay.
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

    /// Notes a failed write; the next one waits.
    pub fn record_failure(&mut self, now: Instant) {
        let factor = 1 << self.failures.min(8);
        self.failures += 1;
        self.backoff_until = Some(now + (BACKOFF_MIN * factor).min(BACKOFF_MAX));
    }

    /// Returns how many groups are buffered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether no group is buffered.
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
