//! The evidence on which the owner of a batch job says that a position has no result.
//!
//! Results that trainers have read stay readable, at every node: [`SETTLING_TIME`] after the first read of
//! a position no node may say that it is empty. An owner's committed results may always be returned. That
//! there are no others is certain only as of the moment at which the store last confirmed the claim:
//! another process may have taken the job over since. While the owner does not know the outcome of a write
//! of results, the store may have results that the owner lacks, and other nodes read them there.

use std::time::Duration;

use crate::job::Job;

/// The time after the first read of a position from which on all nodes must have it.
pub const SETTLING_TIME: Duration = Duration::from_secs(1);

/// The maximum age of the evidence on which an owner says that a position is empty.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(500);

/// How much longer than the reader's own wait a node waits for the owner's page. The owner returns an empty
/// page after that wait, so that this bounds the time from the owner's check to the reader's answer.
pub const MAX_RELAY_TIME: Duration = Duration::from_millis(400);

const _: () = assert!(
    MAX_EVIDENCE_AGE.as_millis() + MAX_RELAY_TIME.as_millis() < SETTLING_TIME.as_millis(),
    "an empty page must reach its reader before the settling time is over"
);

/// A process's claim to a job, and when the store last confirmed it.
///
/// All times are since the boot of the host and include its suspensions, in which other processes go on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    confirmed_at: Option<Duration>,
}

/// Where the answer to a read of a job's results comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The owner's memory.
    Memory,
    /// The owner's memory, once the store has confirmed the claim.
    ConfirmedMemory,
    /// The store.
    Store,
}

impl Claim {
    /// Creates a claim that the store confirmed with the response to a call which was sent at `requested_at`.
    pub fn new(requested_at: Duration) -> Self {
        Self {
            confirmed_at: Some(requested_at),
        }
    }

    /// Creates a claim that this process knows from another one. When the store confirmed it is unknown: the
    /// message may have been delayed for long.
    pub fn unconfirmed() -> Self {
        Self::default()
    }

    /// Records that the store has confirmed the claim with the response to a call which was sent at
    /// `requested_at`. The claim may have ended between the call and the response.
    pub fn confirm(&mut self, requested_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Returns the time since the store confirmed the claim; `None` if it has not.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_sub(confirmed_at))
    }

    /// Returns whether the store has confirmed the claim within `max_age`.
    pub fn is_confirmed(&self, max_age: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < max_age)
    }

    /// Returns where the results of `job` after the first `after` ones come from.
    pub fn source(&self, job: &Job, after: usize, now: Duration) -> Source {
        let has_result = job.results().len() > after;
        if has_result || job.is_finished() {
            return Source::Memory;
        }
        if job.is_writing() {
            return Source::Store;
        }
        match self.is_confirmed(MAX_EVIDENCE_AGE, now) {
            true => Source::Memory,
            false => Source::ConfirmedMemory,
        }
    }
}
