//! Streams that callers take up after all nodes have been killed.

use std::path::Path;

use googletest::prelude::*;
use shallotroute_soak::rejoined;

/// Guards against a stream with events of two software versions: the caller waits longer than the route's timeout, and
/// the restarted nodes have known only the newer version for that time.
#[gtest]
#[tokio::test]
async fn a_patient_caller_gets_no_other_version_after_all_nodes_were_killed() {
    let report = rejoined::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.findings, is_empty(), "{report:?}");
    expect_that!(report.take_ups, ge(6), "{report:?}");
}
