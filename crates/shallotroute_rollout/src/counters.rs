//! Counts of what a scheduler did, for metrics.

use std::time::Duration;

use shallotroute_types::name::Name;

/// Counts since they were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Attempts started, second attempts included.
    pub started: u64,
    /// Samples in answers to pulls.
    pub delivered: u64,
    /// Samples stopped or discarded because of their staleness.
    pub doomed: u64,
    /// Samples attempted again after they were doomed.
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
    /// How long answered pulls waited, by trainer.
    pub waits: Vec<(Name, Duration)>,
}
