//! What is done for the last samples of a step.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_config::object::Tail;
use shallotroute_rollout::{scheduler::Event, step::AttemptId};
use support::{Bench, configuration, key, pool, specification, trainer};

/// Returns a bench on which one sample of a step has run ten times as long as the others.
fn straggling(tail: Tail) -> (Bench, AttemptId) {
    let mut object = trainer("a");
    object.tail = tail;
    let mut bench = Bench::new(configuration(pool(2, 8), vec![object]));
    bench.report(5);
    bench.event(Event::Submitted(key("a", 0), specification(5, 2)));
    bench.pass(Duration::from_secs(1), 5);
    let last = *bench.running.keys().next_back().unwrap();
    for attempt in bench.running.keys().copied().collect::<Vec<_>>() {
        bench.tokens(attempt, 0, 10, 5);
        if attempt != last {
            bench.end(attempt, 10);
        }
    }
    bench.pass(Duration::from_secs(9), 5);
    (bench, last)
}

/// Guards against a straggler that nothing is done for, and against a second attempt on the same
/// engine.
#[gtest]
fn a_straggler_gets_a_second_attempt_elsewhere() {
    let (mut bench, first) = straggling(Tail::Hedge);
    expect_that!(bench.running.len(), eq(2));
    let second = *bench.running.keys().next_back().unwrap();
    expect_that!(
        bench.running[&second].server,
        not(eq(&bench.running[&first].server))
    );
    expect_that!(bench.running[&second].priority, lt(10));
    bench.tokens(second, 0, 4, 5);
    bench.end(second, 4);
    expect_that!(
        bench.cancelled,
        eq(&[first]),
        "the engine of the slower attempt is freed"
    );
    let pull = bench.pull(&key("a", 0), &[], 5);
    expect_that!(bench.groups(pull).unwrap().len(), eq(5));
    let counters = bench.counters();
    expect_that!((counters.hedged, counters.cancelled), eq((1, 1)));
}

/// Guards against second attempts with the baselines.
#[gtest]
fn baselines_start_no_second_attempt() {
    for tail in [Tail::None, Tail::Priority] {
        let (bench, _) = straggling(tail);
        expect_that!(bench.started, eq(10));
    }
}

/// Guards against a sample that is lost when the first of two attempts fails.
#[gtest]
fn a_failed_attempt_leaves_the_other_one_running() {
    let (mut bench, first) = straggling(Tail::Hedge);
    bench.running.remove(&first);
    bench.event(Event::AttemptFailed(
        first,
        shallotroute_types::outcome::Outcome::Unknown,
    ));
    expect_that!(bench.running.len(), eq(1));
    bench.finish(5);
    let pull = bench.pull(&key("a", 0), &[], 5);
    expect_that!(bench.groups(pull).unwrap().len(), eq(5));
}
