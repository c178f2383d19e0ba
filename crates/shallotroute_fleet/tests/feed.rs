//! What a node tells others of the changes that it saw.

use googletest::prelude::*;
use shallotroute_fleet::feed::{Answer, Log};

/// Guards against a follower that misses a change or sees one twice.
#[gtest]
fn a_follower_gets_what_follows_its_revision() {
    let mut log = Log::new();
    expect_that!(log.after(0), eq(&Answer::Unknown));
    log.restart(10);
    log.extend([(11, "a"), (13, "b")], 14);
    expect_that!(log.after(10), eq(&Answer::Changes(vec!["a", "b"], 14)));
    expect_that!(log.after(11), eq(&Answer::Changes(vec!["b"], 14)));
    expect_that!(log.after(14), eq(&Answer::Changes(vec![], 14)));
}

/// Guards against a gap: a follower that is too far behind has to read the store.
#[gtest]
fn a_follower_that_is_too_far_behind_is_told_so() {
    let mut log = Log::new();
    log.restart(10);
    expect_that!(log.after(9), eq(&Answer::TooOld));
    log.extend((11..5000).map(|revision| (revision, ())), 5000);
    expect_that!(log.after(10), eq(&Answer::TooOld));
    expect_that!(log.after(4990), eq(&Answer::Changes(vec![(); 9], 5000)));
}

/// Guards against a follower that is sent back behind what it knows.
#[gtest]
fn a_follower_that_is_ahead_stays_there() {
    let mut log = Log::<()>::new();
    log.restart(10);
    expect_that!(log.after(20), eq(&Answer::Changes(vec![], 20)));
}
