//! Tests of retries, hedging, and the failure that a caller gets.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_fleet::{
    access::Denial,
    admission::Patience,
    retry::{AttemptFailure, Attempts, Decision, Policy, RequestFailure},
};
use shallotroute_types::name::Name;

const TARGET_LATENCY: Duration = Duration::from_millis(150);

fn policy(started_at: Instant, is_idempotent: bool) -> Policy {
    Policy {
        is_idempotent,
        max_attempts: 2,
        started_at,
        target_latency: TARGET_LATENCY,
        deadline: started_at + Duration::from_secs(2),
    }
}

fn after(started_at: Instant, milliseconds: u64) -> Instant {
    started_at + Duration::from_millis(milliseconds)
}

/// Guards against a silent server that makes a request miss its target latency.
#[gtest]
fn a_request_to_a_silent_server_is_hedged_within_the_target_latency() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    expect_that!(attempts.decide(started_at), eq(Decision::Send));
    attempts.record_attempt(&Name::from("a"));
    let Decision::WaitUntil(until) = attempts.decide(started_at) else {
        panic!("expected to wait for the first response");
    };
    expect_that!(until, lt(started_at + TARGET_LATENCY * 2 / 3));
    expect_that!(attempts.decide(until), eq(Decision::Send));
    attempts.record_attempt(&Name::from("b"));
    // Both servers have the request now; a third one does not get it.
    expect_that!(
        attempts.decide(after(started_at, 140)),
        eq(Decision::WaitUntil(after(started_at, 2000)))
    );
}

/// Guards against a request that is not idempotent and runs twice.
#[gtest]
fn a_non_idempotent_request_is_retried_only_if_it_did_not_run() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, false));
    attempts.record_attempt(&Name::from("a"));
    expect_that!(
        attempts.decide(after(started_at, 1000)),
        eq(Decision::WaitUntil(after(started_at, 2000)))
    );
    attempts.record_failure(AttemptFailure::NotRun, after(started_at, 1000));
    expect_that!(attempts.decide(after(started_at, 1000)), eq(Decision::Send));
    attempts.record_attempt(&Name::from("b"));
    attempts.record_failure(AttemptFailure::MayHaveRun, after(started_at, 1100));
    expect_that!(
        attempts.decide(after(started_at, 1100)),
        eq(Decision::Fail(RequestFailure::OutcomeUnknown))
    );
}

/// Guards against a caller that waits for its whole deadline while all servers are full.
#[gtest]
fn rejections_by_all_servers_fail_fast_as_not_run() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    let mut now = started_at;
    let mut dispatched = 0;
    let failure = loop {
        match attempts.decide(now) {
            Decision::Send => {
                attempts.record_attempt(&Name::from(if dispatched % 2 == 0 { "a" } else { "b" }));
                attempts.record_failure(AttemptFailure::NotRun, now + Duration::from_millis(2));
                now += Duration::from_millis(2);
                dispatched += 1;
            }
            Decision::WaitUntil(until) => now = until,
            Decision::Fail(failure) => break failure,
        }
    };
    expect_that!(failure, matches_pattern!(RequestFailure::NotRun { .. }));
    expect_that!(now, le(started_at + TARGET_LATENCY / 4));
    expect_that!(dispatched, ge(3));
    expect_that!(attempts.servers().len(), eq(2));
}

/// Guards against callers that use up their few retries while a whole service is down.
#[gtest]
fn the_advised_delay_is_longer_for_unreachable_servers() {
    let started_at = Instant::now();
    let retry_after = |attempt_failure| {
        let mut attempts = Attempts::new(policy(started_at, true));
        for server in ["a", "b"] {
            attempts.record_attempt(&Name::from(server));
            attempts.record_failure(attempt_failure, started_at);
        }
        match attempts.decide(started_at + TARGET_LATENCY) {
            Decision::Fail(RequestFailure::NotRun { retry_after }) => retry_after,
            other => panic!("expected the request to fail as not run, got {other:?}"),
        }
    };
    expect_that!(
        retry_after(AttemptFailure::NotRun),
        eq(Duration::from_millis(200))
    );
    expect_that!(
        retry_after(AttemptFailure::Unreachable),
        eq(Duration::from_millis(700))
    );
}

/// Guards against a request that is reported as not run although one attempt may have run.
#[gtest]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let started_at = Instant::now();
    for is_idempotent in [true, false] {
        let mut attempts = Attempts::new(policy(started_at, is_idempotent));
        attempts.record_attempt(&Name::from("a"));
        attempts.record_failure(AttemptFailure::MayHaveRun, after(started_at, 10));
        let mut now = after(started_at, 10);
        let failure = loop {
            match attempts.decide(now) {
                Decision::Send => {
                    attempts.record_attempt(&Name::from("b"));
                    attempts.record_failure(AttemptFailure::NotRun, now);
                    now += Duration::from_millis(1);
                }
                Decision::WaitUntil(until) => now = until,
                Decision::Fail(failure) => break failure,
            }
        };
        expect_that!(
            failure,
            eq(RequestFailure::OutcomeUnknown),
            "idempotent: {is_idempotent}"
        );
    }
    let mut late = Attempts::new(policy(started_at, true));
    late.record_attempt(&Name::from("a"));
    expect_that!(
        late.decide(after(started_at, 2000)),
        eq(Decision::Fail(RequestFailure::TimedOut))
    );
}

/// Guards against a caller that waits for its whole deadline while a service has no servers.
#[gtest]
fn a_request_without_servers_fails_fast() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    let mut now = started_at;
    loop {
        match attempts.decide(now) {
            Decision::Send => attempts.record_no_server(now),
            Decision::WaitUntil(until) => now = until,
            Decision::Fail(failure) => {
                expect_that!(failure, matches_pattern!(RequestFailure::NotRun { .. }));
                break;
            }
        }
    }
    expect_that!(now, le(started_at + TARGET_LATENCY / 4));
}

/// Guards against a node that seeks a second server without a pause while the first one works, and
/// does nothing else meanwhile.
#[gtest]
fn a_hedge_without_a_second_server_is_sought_again_after_a_delay() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    attempts.record_attempt(&Name::from("a"));
    let hedge_at = after(started_at, 100);
    expect_that!(attempts.decide(hedge_at), eq(Decision::Send));
    attempts.record_no_server(hedge_at);
    let Decision::WaitUntil(until) = attempts.decide(hedge_at) else {
        panic!("expected to wait before a second server is sought again");
    };
    expect_that!(until, gt(hedge_at));
    expect_that!(attempts.decide(until), eq(Decision::Send));
}

/// Guards against a caller that waits for nothing: when the limits of all servers deny a request for
/// longer than it is retried, it is refused at once and told when to come back.
#[gtest]
fn a_request_that_limits_deny_is_refused_at_once() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    attempts.record_limited(Duration::from_millis(400), started_at);
    expect_that!(
        attempts.decide(started_at),
        eq(Decision::Fail(RequestFailure::NotRun {
            retry_after: Duration::from_millis(400),
        }))
    );
    let mut attempts = Attempts::new(policy(started_at, true));
    attempts.record_limited(Duration::from_millis(20), started_at);
    expect_that!(
        attempts.decide(started_at),
        eq(Decision::WaitUntil(after(started_at, 20)))
    );
    expect_that!(attempts.decide(after(started_at, 20)), eq(Decision::Send));
    // An attempt that may have run is never said not to have.
    let mut attempts = Attempts::new(policy(started_at, true));
    attempts.record_attempt(&Name::from("a"));
    attempts.record_failure(AttemptFailure::MayHaveRun, started_at);
    attempts.record_limited(Duration::from_millis(400), started_at);
    expect_that!(
        attempts.decide(started_at),
        eq(Decision::Fail(RequestFailure::OutcomeUnknown))
    );
}

/// Guards against a caller that waits although no server can be reached in any way.
#[gtest]
fn a_request_without_any_way_to_a_server_is_refused_at_once() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    attempts.record_attempt(&Name::from("a"));
    attempts.record_failure(AttemptFailure::NoWay, started_at);
    expect_that!(
        attempts.decide(started_at),
        matches_pattern!(Decision::Fail(matches_pattern!(
            RequestFailure::NotRun { .. }
        )))
    );
}

/// Guards against a request that is said not to have run after its connection was lost with the links.
#[gtest]
fn a_request_that_was_lost_with_the_links_may_have_run() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, false));
    attempts.record_attempt(&Name::from("a"));
    attempts.record_link_loss(&Name::from("a"));
    expect_that!(
        attempts.decide(started_at),
        eq(Decision::Fail(RequestFailure::OutcomeUnknown))
    );
}

/// Guards against attempts that are used up on connections that hung with the links.
#[gtest]
fn attempts_that_were_lost_with_the_links_do_not_use_up_servers() {
    let started_at = Instant::now();
    let mut attempts = Attempts::new(policy(started_at, true));
    for id in ["a", "b"] {
        attempts.record_attempt(&Name::from(id));
    }
    for id in ["a", "b"] {
        attempts.record_link_loss(&Name::from(id));
    }
    expect_that!(attempts.servers(), is_empty());
    expect_that!(attempts.decide(after(started_at, 500)), eq(Decision::Send));
}

/// Guards against a request that is sent again after its key was removed, and against one that is said to be
/// unauthorized although an attempt may have run.
#[gtest]
fn a_denied_request_is_not_sent_again() {
    let started_at = Instant::now();
    let retry_after = Duration::from_millis(300);
    for (denial, failure) in [
        (Denial::Unauthorized, RequestFailure::Unauthorized),
        (
            Denial::Stale { retry_after },
            RequestFailure::NotRun { retry_after },
        ),
    ] {
        let mut attempts = Attempts::new(policy(started_at, true));
        attempts.record_attempt(&Name::from("a"));
        attempts.record_denial(denial);
        expect_that!(
            attempts.decide(started_at),
            eq(Decision::Fail(failure)),
            "{denial:?}"
        );
        // The hedged attempt is denied, and the first one may still get a response.
        let mut attempts = Attempts::new(policy(started_at, true));
        for id in ["a", "b"] {
            attempts.record_attempt(&Name::from(id));
        }
        attempts.record_denial(denial);
        expect_that!(
            attempts.decide(after(started_at, 140)),
            eq(Decision::WaitUntil(after(started_at, 2000)))
        );
        attempts.record_failure(AttemptFailure::MayHaveRun, after(started_at, 145));
        expect_that!(
            attempts.decide(after(started_at, 145)),
            eq(Decision::Fail(RequestFailure::OutcomeUnknown))
        );
    }
}

/// Guards against an urgent request that is given up although another server may have a free slot in time, against
/// retries without a growing pause, and against a caller that waits after the last server has rejected its request.
#[gtest]
fn a_request_with_patience_goes_to_further_servers() {
    let started_at = Instant::now();
    let patience = Patience {
        retry_for: Duration::from_millis(120),
        retry_after: Duration::from_millis(900),
    };
    let run = |servers: &[&str]| {
        let mut attempts = Attempts::new(policy(started_at, false))
            .with_spread(0.5)
            .with_patience(Some(patience));
        let mut now = started_at;
        loop {
            match attempts.decide(now) {
                Decision::Send => {
                    let mut left = servers.iter().map(|server| Name::from(*server));
                    match left.find(|server| !attempts.servers().contains(server)) {
                        Some(server) => {
                            attempts.record_attempt(&server);
                            attempts.record_failure(AttemptFailure::NotRun, now);
                        }
                        None => attempts.record_no_server(now),
                    }
                }
                Decision::WaitUntil(until) => now = until,
                Decision::Fail(failure) => return (failure, now, attempts.servers().len()),
            }
        }
    };
    let retry_after = patience.retry_after;
    let not_run = RequestFailure::NotRun { retry_after };
    expect_that!(
        run(&["a", "b", "c"]),
        eq((not_run, after(started_at, 45), 3))
    );
    let many = ["a", "b", "c", "d", "e", "f", "g"];
    expect_that!(run(&many), eq((not_run, after(started_at, 165), 5)));
}
