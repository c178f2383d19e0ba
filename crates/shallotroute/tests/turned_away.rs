//! A change of the configuration and of the host list while the store turns away the nodes that others follow.

use std::path::Path;

use googletest::prelude::*;
use shallotroute_soak::turned_away::{self, Rejection};

async fn expect_changes_in_time(rejection: Rejection) {
    let report = turned_away::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")), rejection)
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.served, ge(1), "{report:?}");
    expect_that!(report.answered, ge(50 * report.served), "{report:?}");
    expect_that!(report.refused_late, is_empty());
    expect_that!(report.sent_late, is_empty());
}

/// Guards against nodes that wait for their sources for seconds while the store would serve them, and refuse requests on a
/// new route or send requests to a server that has left.
#[gtest]
#[tokio::test]
async fn nodes_whose_sources_are_turned_away_get_changes_in_time() {
    expect_changes_in_time(Rejection::Reset).await;
}

/// Guards against the same where the store does not respond to the sources.
#[gtest]
#[tokio::test]
async fn nodes_whose_sources_get_no_response_get_changes_in_time() {
    expect_changes_in_time(Rejection::Silent).await;
}

/// Guards against a node that found the store away and never watches it when it becomes a source itself (soak seed 54028).
#[gtest]
#[tokio::test]
async fn nodes_that_found_the_store_away_become_sources() {
    let (late, count) =
        turned_away::run_without_sources(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
            .await
            .expect("the stand-ins and the program should start");
    expect_that!(count, ge(1));
    expect_that!(late, is_empty());
}
