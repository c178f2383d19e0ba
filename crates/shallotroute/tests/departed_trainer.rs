//! Batch jobs whose trainer, or the node that calls for them, does not wait for the answer.

use std::path::Path;

use googletest::prelude::*;
use shallotroute_soak::departed_trainer;

const BINARY: &str = env!("CARGO_BIN_EXE_shallotroute");

/// Guards against items that run again after their trainer has ended the job and closed its connection: the end was marked
/// in the owner's memory, and the handler that would have stored it was dropped.
#[gtest]
#[tokio::test]
async fn a_job_whose_trainer_left_after_its_end_is_not_run_again() {
    let report = departed_trainer::end(Path::new(BINARY))
        .await
        .expect("the stand-ins and the program should start and accept the jobs");
    expect_that!(report.begun_before, ge(8));
    expect_that!(report.begun_after, is_empty());
}

/// Guards against an end that is lost with the node that was asked for it, although the owner of the job had it too.
#[gtest]
#[tokio::test]
async fn a_job_is_not_run_again_when_the_node_that_was_asked_to_end_it_is_killed() {
    let report = departed_trainer::end_at_killed_node(Path::new(BINARY))
        .await
        .expect("the stand-ins and the program should start and accept the job");
    expect_that!(report.begun_before, ge(8));
    expect_that!(report.begun_after, is_empty());
}

/// Guards against a job that is stored but not started, because its trainer closed the connection in between.
#[gtest]
#[tokio::test]
async fn a_job_whose_trainer_left_after_its_submission_is_started() {
    let started = departed_trainer::submit(Path::new(BINARY))
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(started, eq(3));
}

/// Guards against a job that a node claims and does not run, because the node that handed it over gave up the call.
#[gtest]
#[tokio::test]
async fn a_job_that_is_claimed_late_is_run() {
    let begun = departed_trainer::hand_over(Path::new(BINARY))
        .await
        .expect("the stand-ins and the program should start and accept the job");
    expect_that!(begun, ge(1));
}
