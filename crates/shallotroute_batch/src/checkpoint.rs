//! Decides when the progress of a job is written to the store.
//!
//! When all hosts lose power together, outputs in progress are lost with the memory of their owner and
//! of the nodes that hold its checkpoints. The longest outputs of a step take as long as its trainer
//! allows for the whole step, so that they can't start again from their first event without making the
//! step late.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    job::Job,
    record::{Checkpoint, CheckpointState},
};

/// The minimum time between two writes. Each is a call to the store.
const INTERVAL: Duration = Duration::from_millis(1000);

/// The number of events from which on an output is written, and by which one output must have grown
/// since the last write. Shorter outputs are generated again in about a second.
const MIN_EVENTS: u64 = 25;

/// The maximum size of the outputs in one write, in bytes. As Base64 text they stay below the store's
/// limit of one megabyte.
const MAX_OUTPUT_BYTES: usize = 600 << 10;

/// The schedule of the writes of one job's progress.
#[derive(Debug, Default)]
pub struct Schedule {
    next_at: Option<Instant>,
    /// The number of events of each item at the last write.
    written: BTreeMap<u32, u64>,
}

impl Schedule {
    /// Returns the checkpoints to write at `now`, the longest outputs first; `None` if a write is not
    /// due or not worth its call. Each write replaces the one before.
    pub fn due(&mut self, job: &Job, now: Instant) -> Option<Vec<Checkpoint>> {
        if job.is_stopped() || self.next_at.is_some_and(|next_at| now < next_at) {
            return None;
        }
        let mut checkpoints = job.partial_outputs(MIN_EVENTS);
        let has_grown = |checkpoint: &Checkpoint| {
            let written = self.written.get(&checkpoint.item).copied();
            let progress = checkpoint.progress();
            // An output that was discarded after the last write starts again.
            let written = written.filter(|written| *written <= progress);
            progress >= written.unwrap_or_default() + MIN_EVENTS
        };
        if !checkpoints.iter().any(has_grown) {
            return None;
        }
        checkpoints.sort_by_key(|checkpoint| std::cmp::Reverse(checkpoint.progress()));
        let mut bytes = 0;
        checkpoints.retain(|checkpoint| {
            bytes += output_bytes(checkpoint);
            bytes <= MAX_OUTPUT_BYTES
        });
        self.next_at = Some(now + INTERVAL);
        self.written = checkpoints
            .iter()
            .map(|checkpoint| (checkpoint.item, checkpoint.progress()))
            .collect();
        Some(checkpoints)
    }
}

fn output_bytes(checkpoint: &Checkpoint) -> usize {
    match &checkpoint.state {
        CheckpointState::Partial { output, .. } | CheckpointState::Generated { output, .. } => {
            output.len()
        }
        CheckpointState::Done(_) => 0,
    }
}
