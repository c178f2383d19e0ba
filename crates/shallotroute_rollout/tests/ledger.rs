//! The buffer of records for audit.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_rollout::{
    ledger::{BATCH_GROUPS, BATCH_TIME, Buffer, Document, Group, MAX_GROUPS},
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

/// Guards against a write for each group, and against groups that are never written.
#[gtest]
fn groups_are_written_in_batches() {
    let now = Instant::now();
    let mut buffer = Buffer::default();
    buffer.push(now, &key(1), vec![group(0)]);
    expect_that!(buffer.due(now), none());
    expect_that!(buffer.due(now + BATCH_TIME).unwrap().1.len(), eq(1));
    buffer.push(now, &key(1), (1..BATCH_GROUPS as u32).map(group).collect());
    let (step, groups) = buffer.due(now).unwrap();
    expect_that!(groups.len(), eq(BATCH_GROUPS));
    buffer.push(now, &key(1), vec![group(99)]);
    buffer.stored(now, &step, &groups);
    expect_that!(buffer.len(), eq(1));
}

/// Guards against records that are lost at the first failed write, a store that is asked without
/// pause while it is down, and a buffer that grows without bound.
#[gtest]
fn an_outage_is_bridged_within_bounds() {
    let now = Instant::now();
    let mut buffer = Buffer::default();
    buffer.push(now, &key(1), (0..MAX_GROUPS as u32).map(group).collect());
    buffer.failed(now);
    expect_that!(buffer.due(now), none());
    expect_that!(buffer.due(now + Duration::from_secs(1)), some(anything()));
    buffer.push(now, &key(2), vec![group(0), group(1)]);
    expect_that!((buffer.len(), buffer.dropped()), eq((MAX_GROUPS, 2)));
    let later = now + Duration::from_secs(60);
    while let Some((step, groups)) = buffer.due(later) {
        buffer.stored(later, &step, &groups);
    }
    expect_true!(buffer.is_empty());
}

/// Guards against two records of a group whose answer was lost.
#[gtest]
fn a_repeated_group_replaces_its_record() {
    let mut document = Document::default();
    document.merge(&[group(0), group(1)]);
    document.merge(&[group(1), group(2)]);
    expect_that!(document.groups.len(), eq(3));
}
