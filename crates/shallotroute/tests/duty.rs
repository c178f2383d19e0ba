//! Calls to the platform's API for duties, from node processes to a stand-in.

use std::path::Path;

use googletest::prelude::*;
use shallotroute_soak::duty;

/// Guards against calls that cost money, and against keys in the store, in a deployment with duties whose configuration
/// has no workspaces.
#[gtest]
#[tokio::test]
async fn without_workspaces_nothing_is_reported() {
    let report = duty::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")), 2)
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.calls, is_empty());
    expect_that!(report.requests, gt(100));
    // The nodes log their calls to the store by subject.
    expect_false!(report.logs.contains("usage"));
    expect_true!(report.logs.contains("renew lease"));
}
