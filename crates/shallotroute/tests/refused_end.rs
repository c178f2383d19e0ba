//! The end of a batch job that can't be stored when it is asked for.

use std::path::Path;

use googletest::prelude::*;
use http::StatusCode;
use shallotroute_soak::refused_end;

/// Guards against items that run again after their trainer has ended the job: the store was down, so that the end was
/// kept in the owner's memory only.
#[gtest]
#[tokio::test]
async fn a_job_whose_end_was_refused_is_not_run_again() {
    let report = refused_end::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
        .await
        .expect("the stand-ins and the program should start and accept the job");
    let refused = Some(StatusCode::SERVICE_UNAVAILABLE);
    expect_that!(report.end_statuses, each(eq(&refused)));
    expect_that!(report.begun_before, ge(8));
    expect_that!(report.begun_after, eq(0), "{report:?}");
}
