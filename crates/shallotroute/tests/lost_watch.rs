//! Watches of the store whose responses are lost, while the store serves the other calls of the nodes.

use std::path::Path;

use googletest::prelude::*;
use shallotroute_soak::lost_watch;

async fn expect_changes_in_time(has_strict_revocation: bool) {
    let binary = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    let report = lost_watch::run(binary, has_strict_revocation)
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.late(), is_empty(), "{report:?}");
    // One node in each of three availability zones watches each of three prefixes.
    expect_that!(report.lost, eq(9), "{report:?}");
}

/// Guards against nodes that use an old configuration, host list or list of members because a lost response to a watch is
/// noticed late: other calls that succeed prove nothing about the watch (review case 14).
#[gtest]
#[tokio::test]
async fn nodes_notice_that_the_response_to_a_watch_is_lost() {
    expect_changes_in_time(false).await;
}

/// Guards against the same where the configuration is confirmed by calls of its own.
#[gtest]
#[tokio::test]
async fn nodes_with_strict_revocation_notice_that_the_response_to_a_watch_is_lost() {
    expect_changes_in_time(true).await;
}
