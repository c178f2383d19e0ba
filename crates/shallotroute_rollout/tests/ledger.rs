//! Batching, back-off and bounds of the buffer of audit records.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_rollout::{
    ledger::{BATCH_DELAY, BATCH_GROUPS, Buffer, Document, Group, MAX_BUFFERED_GROUPS},
    step::Key,
};
use shallotroute_types::version::Version;

fn group(group: u32) -> Group {
    Group {
        group,
        delivered_at_ms: 1,
        trainer_version: Version(2),
        samples: Vec::new(),
    }
}

fn key(step: u64) -> Key {
    Key {
        trainer: "a".into(),
        step,
    }
}

/// Guards against one write per group, and against a batch that waits forever for more groups.
#[gtest]
fn groups_are_written_in_batches() {
    let now = Instant::now();
    let mut buffer = Buffer::default();
    buffer.push(now, &key(1), vec![group(0)]);
    expect_that!(buffer.due_batch(now), none());
    expect_that!(buffer.due_batch(now + BATCH_DELAY).unwrap().1.len(), eq(1));
    buffer.push(now, &key(1), (1..BATCH_GROUPS as u32).map(group).collect());
    let (step, groups) = buffer.due_batch(now).unwrap();
    expect_that!(groups.len(), eq(BATCH_GROUPS));
    buffer.push(now, &key(1), vec![group(99)]);
    buffer.remove_stored(now, &step, &groups);
    expect_that!(buffer.len(), eq(1));
}

/// Guards against records that are lost when a write fails, writes without back-off while the store
/// is unavailable, and a buffer that grows without bound.
#[gtest]
fn records_survive_an_outage_up_to_the_limit() {
    let now = Instant::now();
    let mut buffer = Buffer::default();
    buffer.push(
        now,
        &key(1),
        (0..MAX_BUFFERED_GROUPS as u32).map(group).collect(),
    );
    buffer.record_failure(now);
    expect_that!(buffer.due_batch(now), none());
    expect_that!(
        buffer.due_batch(now + Duration::from_secs(1)),
        some(anything())
    );
    buffer.push(now, &key(2), vec![group(0), group(1)]);
    expect_that!(
        (buffer.len(), buffer.dropped_groups()),
        eq((MAX_BUFFERED_GROUPS, 2))
    );
    let later = now + Duration::from_secs(60);
    while let Some((step, groups)) = buffer.due_batch(later) {
        buffer.remove_stored(later, &step, &groups);
    }
    expect_true!(buffer.is_empty());
}

/// Guards against two records of a group that was delivered again because a response was lost.
#[gtest]
fn a_repeated_group_replaces_its_record() {
    let mut document = Document::default();
    document.merge(&[group(0), group(1)]);
    document.merge(&[group(1), group(2)]);
    expect_that!(document.groups.len(), eq(3));
}
