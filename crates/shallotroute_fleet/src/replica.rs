//! A copy of one prefix of the platform's store, from which a node serves its followers.
//!
//! Answers the load that a fleet makes when its sources lose the store's history: a source that has
//! read the whole prefix again derives the changes from its copy, and a follower that is too far
//! behind gets the copy. Neither sends followers to the store.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

/// The number of changes that are kept of a small prefix. A follower that is further behind gets all
/// entries.
const MIN_CHANGES: usize = 1024;

/// The number of changes that are kept, in multiples of the entries. While all of thousands of servers
/// change within a second, their changes are less to send than all entries to every follower.
const CHANGES_PER_ENTRY: usize = 2;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change<V> {
    /// The changed key.
    pub key: Name,
    /// The revision that the change created.
    pub revision: u64,
    /// The new value; `None` if the key was removed.
    pub value: Option<V>,
}

/// What a follower lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update<V> {
    /// The changes after the follower's revision, oldest first.
    Changes(Vec<Change<V>>),
    /// All entries, in place of those that the follower has.
    Snapshot(Vec<Change<V>>),
}

/// A copy of all entries below a prefix, and the recent changes.
#[derive(Debug)]
pub struct Replica<V> {
    /// The entries with the revisions of their last changes.
    entries: BTreeMap<Name, (u64, V)>,
    /// Recent changes in the order in which they became known.
    changes: VecDeque<Change<V>>,
    /// All changes after this revision are in `changes`.
    complete_after: u64,
    /// The revision up to which the copy is complete; `None` before the first read.
    revision: Option<u64>,
}

impl<V: Clone + PartialEq> Replica<V> {
    /// Creates an empty copy.
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            changes: VecDeque::new(),
            complete_after: 0,
            revision: None,
        }
    }

    /// Returns the revision up to which the copy is complete; `None` before the first read.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Replaces all entries by those that were read at `revision`, and returns the changes that this
    /// makes. A removal that was missed gets `revision`. Does nothing if the copy is newer.
    ///
    /// Entries may be newer than `revision`, because the pages of a read are no snapshot.
    pub fn replace(
        &mut self,
        entries: impl IntoIterator<Item = (Name, u64, V)>,
        revision: u64,
    ) -> Vec<Change<V>> {
        let Some(last_revision) = self.revision else {
            self.entries = entries
                .into_iter()
                .map(|(key, changed, value)| (key, (changed, value)))
                .collect();
            self.revision = Some(revision);
            self.complete_after = revision;
            return self.snapshot();
        };
        if revision < last_revision {
            return Vec::new();
        }
        let mut missing: BTreeMap<Name, u64> = self
            .entries
            .iter()
            .map(|(key, (changed, _))| (key.clone(), *changed))
            .collect();
        let mut changes = Vec::new();
        for (key, changed, value) in entries {
            let known = missing.remove(&key);
            if known.is_none_or(|known| known < changed) {
                changes.push(Change {
                    key,
                    revision: changed,
                    value: Some(value),
                });
            }
        }
        // An entry that is newer than the read was written after it.
        let removed = missing.into_iter().filter(|(_, known)| *known <= revision);
        changes.extend(removed.map(|(key, _)| Change {
            key,
            revision,
            value: None,
        }));
        changes.sort_by_key(|change| change.revision);
        self.apply(changes, revision)
    }

    /// Applies changes, after which the copy is complete up to `revision`. Returns those that were
    /// not known before.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = Change<V>>,
        revision: u64,
    ) -> Vec<Change<V>> {
        let mut applied = Vec::new();
        for change in changes {
            let known = self.entries.get(&change.key).map(|(known, _)| *known);
            match (&change.value, known) {
                (Some(value), known) if known.is_none_or(|known| known < change.revision) => {
                    let entry = (change.revision, value.clone());
                    self.entries.insert(change.key.clone(), entry);
                }
                (None, Some(known)) if known <= change.revision => {
                    self.entries.remove(&change.key);
                }
                _ => continue,
            }
            self.changes.push_back(change.clone());
            applied.push(change);
        }
        let max_changes = MIN_CHANGES.max(self.entries.len() * CHANGES_PER_ENTRY);
        while self.changes.len() > max_changes {
            if let Some(dropped) = self.changes.pop_front() {
                self.complete_after = self.complete_after.max(dropped.revision);
            }
        }
        // Before the first read, the copy has nothing but this node's own writes and is not complete.
        self.revision = self.revision.map(|last| last.max(revision));
        applied
    }

    /// Returns what a follower lacks whose copy is complete up to `after`, and the revision up to
    /// which it is complete then. `after` is `None` if the follower has no copy. Returns `None` before
    /// the first read.
    pub fn since(&self, after: Option<u64>) -> Option<(Update<V>, u64)> {
        let revision = self.revision?;
        match after {
            Some(after) if after >= self.complete_after => {
                let changes = self
                    .changes
                    .iter()
                    .filter(|change| change.revision > after)
                    .cloned()
                    .collect();
                // A follower that is ahead of this copy does not go back.
                Some((Update::Changes(changes), revision.max(after)))
            }
            _ => Some((Update::Snapshot(self.snapshot()), revision)),
        }
    }

    fn snapshot(&self) -> Vec<Change<V>> {
        self.entries
            .iter()
            .map(|(key, (revision, value))| Change {
                key: key.clone(),
                revision: *revision,
                value: Some(value.clone()),
            })
            .collect()
    }
}

impl<V: Clone + PartialEq> Default for Replica<V> {
    fn default() -> Self {
        Self::new()
    }
}
