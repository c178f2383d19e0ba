//! Counters of the scheduler's work, for metrics.

use std::{collections::BTreeMap, time::Duration};

use shallotroute_types::name::Name;

/// Counters by trainer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table(BTreeMap<Name, Counters>);

impl Table {
    /// Returns the counters of a trainer, which start at zero.
    pub fn for_trainer(&mut self, trainer: &Name) -> &mut Counters {
        self.0.entry(trainer.clone()).or_default()
    }

    /// Returns the counters of all trainers, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Counters)> {
        self.0.iter()
    }
}

/// Counters of one trainer since
/// [`Scheduler::take_counters`](crate::scheduler::Scheduler::take_counters) was last called.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Attempts started, hedged ones included.
    pub started: u64,
    /// Samples in responses to pulls.
    pub delivered: u64,
    /// Samples cancelled or discarded because they are too stale or of a withdrawn version.
    pub doomed: u64,
    /// Attempts that replace a sample counted in `doomed`.
    pub replaced: u64,
    /// Second, hedged attempts at samples whose first attempt was still running.
    pub hedged: u64,
    /// Attempts cancelled for any reason.
    pub cancelled: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Stream events that carry the identity of another attempt.
    pub foreign: u64,
    /// Streams without tokens, or with missing or repeated ones.
    pub malformed: u64,
    /// Staleness of each delivered sample, in versions.
    pub staleness: Vec<u64>,
    /// How long each answered pull was open.
    pub pull_waits: Vec<Duration>,
}

impl Counters {
    /// Counts a started attempt. `is_replacement` says whether it replaces a sample counted in
    /// `doomed`.
    pub fn record_start(&mut self, is_replacement: bool) {
        self.started += 1;
        self.replaced += u64::from(is_replacement);
    }
}
