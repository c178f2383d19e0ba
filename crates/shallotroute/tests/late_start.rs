//! Reads of a batch job whose assigned node gets the call that starts the job seconds late, when
//! another node runs the job.

use std::{path::Path, time::Duration};

use googletest::prelude::*;
use shallotroute_soak::late_start::{self, Acceptor, Options};

/// Runs a job as `acceptor` says and checks that read results stay readable. The time by which the
/// assigned node is paused before the submission and the size of the submission are varied.
async fn expect_results_stay_readable(acceptor: Acceptor) {
    let mut late_starts = 0;
    for (pause_lead_ms, body_bytes) in [(20, 0), (300, 8 << 10)] {
        let options = Options {
            acceptor,
            pause_lead: Duration::from_millis(pause_lead_ms),
            body_bytes,
        };
        let report = late_start::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")), options)
            .await
            .expect("the stand-ins should start and the job should run at another node");
        expect_that!(report.answers, ge(200), "{options:?}");
        expect_that!(report.repeated_items, eq(0), "{options:?}");
        late_starts += usize::from(report.started_late);
        expect_that!(
            report.findings,
            is_empty(),
            "{options:?}, assigned and accepting node {:?}, logs in {:?}",
            report.nodes,
            report.log_folder
        );
    }
    // An accepting node that runs on cancels its call.
    if acceptor != Acceptor::Runs {
        expect_that!(late_starts, ge(1));
    }
}

/// Guards against an assigned node that starts a job from the outdated head and without the
/// results in a late call, and answers that the job has no results.
#[gtest]
#[tokio::test]
async fn results_that_were_read_stay_readable_when_the_assigned_node_starts_late() {
    expect_results_stay_readable(Acceptor::Killed).await;
}

/// Guards against the same when the accepting node is unresponsive and its connections stay open.
#[gtest]
#[tokio::test]
async fn results_that_were_read_stay_readable_when_both_nodes_were_unresponsive() {
    expect_results_stay_readable(Acceptor::Paused).await;
}

/// Guards against the same when the accepting node has cancelled the call and runs the job.
#[gtest]
#[tokio::test]
async fn results_that_were_read_stay_readable_when_the_start_was_cancelled() {
    expect_results_stay_readable(Acceptor::Runs).await;
}
