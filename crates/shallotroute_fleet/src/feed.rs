//! The recent changes below one prefix of the platform's store, as one node saw them, for nodes that
//! follow it in place of the store.

use std::collections::VecDeque;

/// The changes that are kept; a follower that is further behind reads the store.
const MAX_CHANGES: usize = 1024;

/// Recent changes in the order of their revisions.
#[derive(Debug)]
pub struct Log<C> {
    changes: VecDeque<(u64, C)>,
    /// All changes after this revision are kept.
    complete_after: u64,
    /// The revision up to which changes were seen.
    seen: u64,
}

/// What a follower gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<C> {
    /// The changes after its revision, and the revision up to which they are complete.
    Changes(Vec<C>, u64),
    /// Some changes after its revision are not kept any more.
    TooOld,
    /// Nothing is known yet.
    Unknown,
}

impl<C: Clone> Log<C> {
    /// Starts without knowledge.
    pub fn new() -> Self {
        Self {
            changes: VecDeque::new(),
            complete_after: u64::MAX,
            seen: 0,
        }
    }

    /// Returns the revision up to which changes were seen.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Starts anew after a whole read at `revision`; what changed in between is not known.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_after = revision;
        self.seen = revision;
    }

    /// Adds the changes that follow those seen, with the revision up to which they are complete.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (u64, C)>, revision: u64) {
        self.changes.extend(changes);
        self.seen = self.seen.max(revision);
        while self.changes.len() > MAX_CHANGES {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_after = dropped;
            }
        }
    }

    /// Returns the changes after a revision.
    pub fn after(&self, revision: u64) -> Answer<C> {
        if self.complete_after == u64::MAX {
            return Answer::Unknown;
        }
        if revision < self.complete_after {
            return Answer::TooOld;
        }
        let changes = self
            .changes
            .iter()
            .filter(|(other, _)| *other > revision)
            .map(|(_, change)| change.clone())
            .collect();
        Answer::Changes(changes, self.seen.max(revision))
    }
}

impl<C: Clone> Default for Log<C> {
    fn default() -> Self {
        Self::new()
    }
}
