//! Tests of the change log that nodes serve to their followers.

use googletest::prelude::*;
use shallotroute_fleet::change_log::{Log, Lookup};

/// Guards against a follower that misses a change or gets one twice.
#[gtest]
fn a_follower_gets_the_changes_after_its_revision() {
    let mut log = Log::new();
    expect_that!(log.changes_after(0), eq(&Lookup::Uninitialized));
    log.reset(10);
    log.extend([(11, "a"), (13, "b")], 14);
    expect_that!(
        log.changes_after(10),
        eq(&Lookup::Changes(vec!["a", "b"], 14))
    );
    expect_that!(log.changes_after(11), eq(&Lookup::Changes(vec!["b"], 14)));
    expect_that!(log.changes_after(14), eq(&Lookup::Changes(vec![], 14)));
}

/// Guards against a gap in the changes of a follower that is behind the oldest change in the log.
#[gtest]
fn a_revision_before_the_oldest_change_is_too_old() {
    let mut log = Log::new();
    log.reset(10);
    expect_that!(log.changes_after(9), eq(&Lookup::TooOld));
    log.extend((11..5000).map(|revision| (revision, ())), 5000);
    expect_that!(log.changes_after(10), eq(&Lookup::TooOld));
    expect_that!(
        log.changes_after(4990),
        eq(&Lookup::Changes(vec![(); 9], 5000))
    );
}

/// Guards against a lower revision for a follower that is ahead of the log.
#[gtest]
fn a_follower_ahead_of_the_log_keeps_its_revision() {
    let mut log = Log::<()>::new();
    log.reset(10);
    expect_that!(log.changes_after(20), eq(&Lookup::Changes(vec![], 20)));
}
