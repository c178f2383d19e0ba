//! A planned stop of a node that serves callers.

use std::{path::Path, time::Duration};

use googletest::prelude::*;
use shallotroute_soak::planned_stop;

/// Guards against requests that a stopping node takes late in its grace period and cuts at its end: it took requests until
/// it had handed over its jobs.
#[gtest]
#[tokio::test]
async fn a_node_that_stops_takes_no_request_late_in_its_grace_period() {
    let report = planned_stop::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
        .await
        .expect("the stand-ins and the program should start, and the node should stop");
    // The load balancer may send requests for some two seconds.
    expect_that!(report.answered, ge(50), "{report:?}");
    expect_that!(
        report.last_sent,
        ge(Duration::from_millis(2000)),
        "{report:?}"
    );
    expect_that!(report.last_sent, lt(Duration::from_secs(3)), "{report:?}");
    expect_that!(report.cut, is_empty());
}
