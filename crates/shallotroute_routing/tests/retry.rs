//! Refusals and retries.

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_routing::{
    outcome::{Evidence, Refusal},
    retry::{self, Budget, FailedAttempt},
};

fn attempt(evidence: Evidence) -> FailedAttempt {
    FailedAttempt {
        evidence,
        is_idempotent: true,
        has_response_started: false,
        time_left: Duration::from_secs(1),
    }
}

/// Guards against a 503 that a service itself returns being taken for a refusal, after which the request
/// counts as not run.
#[test]
fn only_a_known_state_with_503_is_a_refusal() {
    assert_that!(
        Refusal::parse(503, Some(b"leaving")),
        some(eq(Refusal::Leaving))
    );
    assert_that!(Refusal::parse(503, Some(b"other")), none());
    assert_that!(Refusal::parse(503, None), none());
    assert_that!(Refusal::parse(500, Some(b"overloaded")), none());
}

/// Guards against retries that multiply the load of a failing pool.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = Budget::new(0.1);
    let granted = (0..10_000)
        .filter(|_| {
            budget.deposit();
            retry::should_retry(&attempt(Evidence::NoResponse), &mut budget)
        })
        .count();
    assert_that!(granted, all!(ge(1_000), le(1_010)));
}

/// Guards against a retry after a byte went to the caller, past the deadline, or of a non-idempotent
/// request that may have run.
#[test]
fn refuses_unsafe_retries() {
    let mut budget = Budget::new(1.0);
    let mut started = attempt(Evidence::Truncated);
    started.has_response_started = true;
    let mut late = attempt(Evidence::NotSent);
    late.time_left = Duration::ZERO;
    for unsafe_attempt in [started, late, attempt(Evidence::Complete)] {
        assert_that!(retry::should_retry(&unsafe_attempt, &mut budget), eq(false));
    }
    for evidence in [Evidence::NoResponse, Evidence::Truncated, Evidence::Foreign] {
        let mut once = attempt(evidence);
        once.is_idempotent = false;
        assert_that!(retry::should_retry(&once, &mut budget), eq(false));
    }
}
