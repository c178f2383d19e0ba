//! When a request is sent again and what its caller is told.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_fleet::attempt::{Miss, Plan, Step, Tries, Verdict};
use shallotroute_types::name::Name;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn plan(begun: Instant, repeatable: bool) -> Plan {
    Plan {
        repeatable,
        attempts: 2,
        begun,
        objective: OBJECTIVE,
        deadline: begun + Duration::from_secs(2),
    }
}

fn after(begun: Instant, milliseconds: u64) -> Instant {
    begun + Duration::from_millis(milliseconds)
}

/// Answers a silent server: a second one is asked while its answer can still meet the objective.
#[gtest]
fn a_silent_server_is_hedged_within_the_objective() {
    let begun = Instant::now();
    let mut tries = Tries::new(plan(begun, true));
    expect_that!(tries.step(begun), eq(Step::Send));
    tries.sent(&Name::from("a"));
    let Step::Wait(until) = tries.step(begun) else {
        panic!("the first answer is waited for");
    };
    expect_that!(until, lt(begun + OBJECTIVE * 2 / 3));
    expect_that!(tries.step(until), eq(Step::Send));
    tries.sent(&Name::from("b"));
    // Both servers are asked now; no third one is.
    expect_that!(
        tries.step(after(begun, 140)),
        eq(Step::Wait(after(begun, 2000)))
    );
}

/// Guards against a request that runs twice though it may not.
#[gtest]
fn what_may_not_repeat_is_sent_again_only_after_not_run() {
    let begun = Instant::now();
    let mut tries = Tries::new(plan(begun, false));
    tries.sent(&Name::from("a"));
    expect_that!(
        tries.step(after(begun, 1000)),
        eq(Step::Wait(after(begun, 2000)))
    );
    tries.missed(Miss::NotRun, after(begun, 1000));
    expect_that!(tries.step(after(begun, 1000)), eq(Step::Send));
    tries.sent(&Name::from("b"));
    tries.missed(Miss::Unknown, after(begun, 1100));
    expect_that!(
        tries.step(after(begun, 1100)),
        eq(Step::Give(Verdict::Failed))
    );
}

/// Answers servers that are all full: the caller hears soon that nothing ran, and when to return.
#[gtest]
fn refusals_of_all_servers_end_in_a_prompt_true_refusal() {
    let begun = Instant::now();
    let mut tries = Tries::new(plan(begun, true));
    let mut now = begun;
    let mut sends = 0;
    let verdict = loop {
        match tries.step(now) {
            Step::Send => {
                tries.sent(&Name::from(if sends % 2 == 0 { "a" } else { "b" }));
                tries.missed(Miss::NotRun, now + Duration::from_millis(2));
                now += Duration::from_millis(2);
                sends += 1;
            }
            Step::Wait(until) => now = until,
            Step::Give(verdict) => break verdict,
        }
    };
    expect_that!(verdict, matches_pattern!(Verdict::NotRun { .. }));
    expect_that!(now, le(begun + OBJECTIVE / 4));
    expect_that!(sends, ge(3));
    expect_that!(tries.servers().len(), eq(2));
}

/// Answers a service that is down as a whole: its few retries should not be spent at once.
#[gtest]
fn callers_come_back_later_to_servers_that_are_down() {
    let begun = Instant::now();
    let retry_after = |miss| {
        let mut tries = Tries::new(plan(begun, true));
        for server in ["a", "b"] {
            tries.sent(&Name::from(server));
            tries.missed(miss, begun);
        }
        match tries.step(begun + OBJECTIVE) {
            Step::Give(Verdict::NotRun { retry_after }) => retry_after,
            other => panic!("a refusal was expected, got {other:?}"),
        }
    };
    expect_that!(retry_after(Miss::NotRun), eq(Duration::from_millis(200)));
    expect_that!(
        retry_after(Miss::Unreachable),
        eq(Duration::from_millis(700))
    );
}

/// Guards against "not run" for a request of which one send may have run.
#[gtest]
fn a_possible_run_is_never_called_not_run() {
    let begun = Instant::now();
    for repeatable in [true, false] {
        let mut tries = Tries::new(plan(begun, repeatable));
        tries.sent(&Name::from("a"));
        tries.missed(Miss::Unknown, after(begun, 10));
        let mut now = after(begun, 10);
        let verdict = loop {
            match tries.step(now) {
                Step::Send => {
                    tries.sent(&Name::from("b"));
                    tries.missed(Miss::NotRun, now);
                    now += Duration::from_millis(1);
                }
                Step::Wait(until) => now = until,
                Step::Give(verdict) => break verdict,
            }
        };
        expect_that!(verdict, eq(Verdict::Failed), "repeatable: {repeatable}");
    }
    let mut late = Tries::new(plan(begun, true));
    late.sent(&Name::from("a"));
    expect_that!(
        late.step(after(begun, 2000)),
        eq(Step::Give(Verdict::TimedOut))
    );
}

/// Answers a service without servers: the caller is not held until its deadline.
#[gtest]
fn without_servers_the_caller_hears_at_once() {
    let begun = Instant::now();
    let mut tries = Tries::new(plan(begun, true));
    let mut now = begun;
    loop {
        match tries.step(now) {
            Step::Send => tries.no_server(now),
            Step::Wait(until) => now = until,
            Step::Give(verdict) => {
                expect_that!(verdict, matches_pattern!(Verdict::NotRun { .. }));
                break;
            }
        }
    }
    expect_that!(now, le(begun + OBJECTIVE / 4));
}
