//! The encoding of revisions and of times.

use std::time::{Duration, UNIX_EPOCH};

use googletest::prelude::*;
use shallotroute_config::{
    bundle::{Bundle, MAX_PART_BYTES, Metadata},
    object::{Limit, Object},
    set::Set,
    time,
};

fn metadata() -> Metadata {
    Metadata {
        publication: "p".into(),
        author: "ona".into(),
        at: UNIX_EPOCH,
        reason: "test".into(),
        warnings: Vec::new(),
    }
}

fn set(count: usize) -> Set {
    Set::new((0..count).map(|index| {
        Object::Limit(Limit {
            name: format!("limit-{index}").into(),
            requests_per_second: 1.0,
            burst: 1,
            concurrency: None,
        })
    }))
}

/// Guards against a small change that makes every node fetch every part again, as happens if the
/// assignment of objects to parts depends on other objects.
#[gtest]
fn change_of_one_object_changes_one_part() -> Result<()> {
    let mut set = set(5_000);
    let first = Bundle::new(None, &set, metadata()).or_fail()?;
    let first = first.open().or_fail()?;
    verify_that!(first.set, eq(&set))?;
    let limit = set.limits.get_mut("limit-7").or_fail()?;
    limit.burst = 2;
    let second = Bundle::new(Some(&first), &set, metadata()).or_fail()?;
    let record = second.record().or_fail()?;
    verify_that!(
        record.changes.changed,
        eq(&vec!["limit/limit-7".to_owned()])
    )?;
    let new_parts = record
        .parts
        .iter()
        .filter(|part| !first.record.parts.contains(part));
    verify_that!(new_parts.count(), eq(1))?;
    verify_that!(record.parts.len(), ge(16))?;
    verify_that!(
        second.parts,
        each(predicate(
            |part: &std::sync::Arc<[u8]>| part.len() <= MAX_PART_BYTES
        ))
    )
}

/// Guards against the use of a revision whose part was altered or lost in transit.
#[gtest]
fn altered_and_incomplete_bundles_are_rejected() -> Result<()> {
    let bundle = Bundle::new(None, &set(3), metadata()).or_fail()?;
    let mut altered = bundle.clone();
    altered.parts[0] = altered.parts[0].iter().map(|byte| byte ^ 1).collect();
    verify_that!(altered.open().is_err(), eq(true))?;
    let mut incomplete = bundle.clone();
    incomplete.parts.pop();
    verify_that!(incomplete.open().is_err(), eq(true))?;
    verify_that!(bundle.open().is_ok(), eq(true))
}

/// Guards against times in the history that are wrong by a day or a month, as happens with an error
/// in the handling of leap years, and against the acceptance of malformed times.
#[gtest]
fn times_are_formatted_and_parsed() {
    let cases = [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_400, "2000-02-29T00:00:00.000Z"),
        (1_709_251_199, "2024-02-29T23:59:59.000Z"),
        (1_796_329_800, "2026-12-03T20:30:00.000Z"),
    ];
    for (seconds, text) in cases {
        let instant = UNIX_EPOCH + Duration::from_secs(seconds);
        expect_that!(time::format(instant), eq(text));
        expect_that!(time::parse(text), some(eq(instant)));
        expect_that!(time::parse(&seconds.to_string()), some(eq(instant)));
    }
    for malformed in [
        "",
        "2026-12-03",
        "2026-13-03T20:30:00Z",
        "2026-12-03T24:00:00Z",
        "-1",
    ] {
        expect_that!(time::parse(malformed), none(), "{malformed}");
    }
}
