//! A bounded log of recent changes below one prefix of the platform's store.
//!
//! One node fills the log from the store and serves it to other nodes, which then need no watch of
//! their own.

use std::collections::VecDeque;

/// The maximum number of changes in the log. A follower that is further behind reads the store.
const MAX_CHANGES: usize = 1024;

/// Recent changes in the order of their revisions.
#[derive(Debug)]
pub struct Log<C> {
    changes: VecDeque<(u64, C)>,
    /// The log has all changes after this revision; `u64::MAX` before the first [`Log::reset`].
    complete_after: u64,
    /// The revision up to which the log is complete.
    last_revision: u64,
}

/// The result of [`Log::changes_after`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<C> {
    /// All changes after the requested revision, and the revision up to which they are complete.
    Changes(Vec<C>, u64),
    /// Changes after the requested revision have been dropped from the log.
    TooOld,
    /// The prefix has not been read yet.
    Uninitialized,
}

impl<C: Clone> Log<C> {
    /// Creates an uninitialized log.
    pub fn new() -> Self {
        Self {
            changes: VecDeque::new(),
            complete_after: u64::MAX,
            last_revision: 0,
        }
    }

    /// Returns the revision up to which the log is complete; 0 before the first [`Log::reset`].
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Clears the log after the whole prefix was read at `revision`. Changes between the former last
    /// revision and `revision` are unknown.
    pub fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_after = revision;
        self.last_revision = revision;
    }

    /// Appends changes with their revisions; `revision` is the one up to which they are complete.
    /// The oldest changes beyond the log's capacity are dropped.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (u64, C)>, revision: u64) {
        self.changes.extend(changes);
        self.last_revision = self.last_revision.max(revision);
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_after = dropped;
            }
        }
    }

    /// Returns the changes after `revision`. The returned revision is never lower than `revision`,
    /// so that a follower which is ahead of this log does not go back.
    pub fn changes_after(&self, revision: u64) -> Lookup<C> {
        if self.complete_after == u64::MAX {
            return Lookup::Uninitialized;
        }
        if revision < self.complete_after {
            return Lookup::TooOld;
        }
        let changes = self
            .changes
            .iter()
            .filter(|(other, _)| *other > revision)
            .map(|(_, change)| change.clone())
            .collect();
        Lookup::Changes(changes, self.last_revision.max(revision))
    }
}

impl<C: Clone> Default for Log<C> {
    fn default() -> Self {
        Self::new()
    }
}
