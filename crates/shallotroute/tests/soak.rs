//! The node program on a stand-in of the users' platform: a calm run, a short seeded run with faults,
//! and the seeds that have failed.

use std::{path::Path, time::Duration};

use googletest::prelude::*;
use shallotroute_soak::{
    soak::{self, Options, Report},
    unresponsive_store,
};

const OPTIONS: Options = Options {
    seed: 1,
    nodes: 3,
    callers: 6,
    duration: Duration::from_secs(8),
    has_faults: true,
};

async fn play(options: Options) -> Report {
    soak::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")), options)
        .await
        .expect("the stand-ins should start")
}

fn expect_no_findings(report: &Report) {
    expect_that!(
        report.findings,
        is_empty(),
        "seed {}, logs in {:?}\nfaults:\n{}",
        report.seed,
        report.log_folder,
        report.faults.join("\n")
    );
}

/// Guards against a path that does not work at all.
#[gtest]
#[tokio::test]
async fn a_calm_run_serves_everything() {
    let report = play(Options {
        has_faults: false,
        duration: Duration::from_secs(4),
        ..OPTIONS
    })
    .await;
    expect_no_findings(&report);
    expect_that!(report.successful_requests, ge(200));
    expect_that!(report.completed_steps, ge(2));
}

/// Guards against a broken promise under faults that overlap.
#[gtest]
#[tokio::test]
async fn promises_hold_under_overlapping_faults() {
    let report = play(OPTIONS).await;
    expect_no_findings(&report);
    expect_that!(report.successful_requests, ge(20));
}

/// Guards against jobs that wait for the store to confirm their claims: with a store that is silent,
/// each pass over a job took as long as a call of the store may take.
#[gtest]
#[tokio::test]
async fn a_job_runs_on_while_the_store_is_silent() {
    let report = unresponsive_store::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
        .await
        .expect("the stand-ins should start and the job should begin");
    expect_that!(report.scoring_delays.len(), ge(5));
    expect_that!(
        report.scoring_delays,
        each(some(lt(&Duration::from_millis(400)))),
        "pauses between texts and ratings"
    );
}
