//! Streams that callers take up at a node which is out of step with the others.

use std::path::Path;

use googletest::prelude::*;
use shallotroute_soak::out_of_step::{self, Reach, Report};

async fn run(reach: Reach) -> Report {
    out_of_step::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")), reach)
        .await
        .expect("the stand-ins and the program should start")
}

/// Guards against a stream with events of two software versions: a node that heard nothing of the store while
/// servers of a new version joined relies on its former host list when no other node answers.
#[gtest]
#[tokio::test]
async fn a_node_out_of_step_reads_the_host_list_before_it_relies_on_it() {
    let report = run(Reach::Store).await;
    expect_that!(report.findings, is_empty(), "{report:?}");
    expect_that!(report.take_ups, ge(6), "{report:?}");
}

/// Guards against the same at a node that does not reach the store either: what it can't know it refuses.
#[gtest]
#[tokio::test]
async fn a_node_out_of_step_that_reaches_nobody_refuses_take_ups() {
    let report = run(Reach::Nothing).await;
    expect_that!(report.findings, is_empty(), "{report:?}");
    // The node holds the records of some streams.
    expect_that!(report.refused, ge(6), "{report:?}");
    expect_that!(
        report.refused + report.continued,
        eq(report.take_ups),
        "{report:?}"
    );
}
