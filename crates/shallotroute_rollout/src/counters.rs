//! Counts of what a scheduler did, for metrics.

use std::{collections::BTreeMap, time::Duration};

use shallotroute_types::name::Name;

/// Counts by trainer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table(BTreeMap<Name, Counters>);

impl Table {
    /// Returns the counts of a trainer.
    pub fn for_trainer(&mut self, trainer: &Name) -> &mut Counters {
        self.0.entry(trainer.clone()).or_default()
    }

    /// Returns all counts.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Counters)> {
        self.0.iter()
    }
}

/// Counts for one trainer since they were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Attempts started, second attempts included.
    pub started: u64,
    /// Samples in answers to pulls.
    pub delivered: u64,
    /// Samples stopped or discarded because of their staleness.
    pub doomed: u64,
    /// New attempts at samples that were doomed before.
    pub replaced: u64,
    /// Second attempts.
    pub hedged: u64,
    /// Attempts cancelled, doomed ones included.
    pub cancelled: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Events with the identity of another attempt.
    pub foreign: u64,
    /// Answers that could not be used.
    pub malformed: u64,
    /// Staleness of delivered samples, in versions.
    pub staleness: Vec<u64>,
    /// How long answered pulls waited.
    pub pull_waits: Vec<Duration>,
}

impl Counters {
    /// Counts an attempt, which may replace a doomed one.
    pub fn record_start(&mut self, replaced: bool) {
        self.started += 1;
        self.replaced += u64::from(replaced);
    }
}
