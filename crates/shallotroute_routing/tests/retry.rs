//! Outcomes and retries.

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_routing::{
    outcome::{Evidence, Refusal},
    retry::{self, Attempt, Budget},
};

fn attempt(evidence: Evidence) -> Attempt {
    Attempt {
        evidence,
        idempotent: true,
        answered: false,
        left: Duration::from_secs(1),
    }
}

/// Guards against a 503 of a service itself being taken for a refusal.
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
fn retries_stay_within_the_share_of_requests() {
    let mut budget = Budget::new(0.1);
    let granted = (0..10_000)
        .filter(|_| {
            budget.deposit();
            retry::allow(&attempt(Evidence::NoResponse), &mut budget)
        })
        .count();
    assert_that!(granted, all!(ge(1_000), le(1_010)));
}

/// Guards against a second run after a byte went to the caller, past the deadline, or of a request
/// that may run only once.
#[test]
fn refuses_unsafe_retries() {
    let mut budget = Budget::new(1.0);
    let mut answered = attempt(Evidence::Cut);
    answered.answered = true;
    let mut late = attempt(Evidence::NotSent);
    late.left = Duration::ZERO;
    for unsafe_attempt in [answered, late, attempt(Evidence::Whole)] {
        assert_that!(retry::allow(&unsafe_attempt, &mut budget), eq(false));
    }
    for evidence in [Evidence::NoResponse, Evidence::Cut, Evidence::Foreign] {
        let mut once = attempt(evidence);
        once.idempotent = false;
        assert_that!(retry::allow(&once, &mut budget), eq(false));
    }
}
