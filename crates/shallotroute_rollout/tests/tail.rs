//! Hedged attempts and priorities for the last samples of a step.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_config::object::Tail;
use shallotroute_rollout::{scheduler::Event, step::AttemptId};
use support::{Harness, configuration, key, pool, specification, trainer};

/// Returns a harness in which one sample of a step has run ten times as long as the others.
fn straggling(tail: Tail) -> (Harness, AttemptId) {
    let mut object = trainer("a");
    object.tail = tail;
    let mut harness = Harness::new(configuration(pool(2, 8), vec![object]));
    harness.report(5);
    harness.event(Event::Submitted(key("a", 0), specification(5, 2)));
    harness.pass(Duration::from_secs(1), 5);
    let last = *harness.running.keys().next_back().unwrap();
    for attempt in harness.running.keys().copied().collect::<Vec<_>>() {
        harness.tokens(attempt, 0, 10, 5);
        if attempt != last {
            harness.end(attempt, 10);
        }
    }
    harness.pass(Duration::from_secs(9), 5);
    (harness, last)
}

/// Guards against a straggler that is not hedged, or hedged on the engine that already runs it.
#[gtest]
fn a_straggler_is_hedged_on_another_engine() {
    let (mut harness, first) = straggling(Tail::Hedge);
    expect_that!(harness.running.len(), eq(2));
    let second = *harness.running.keys().next_back().unwrap();
    expect_that!(
        harness.running[&second].server,
        not(eq(&harness.running[&first].server))
    );
    expect_that!(harness.running[&second].priority, lt(10));
    harness.tokens(second, 0, 4, 5);
    harness.end(second, 4);
    expect_that!(
        harness.cancelled,
        eq(&[first]),
        "the slower attempt frees its slot"
    );
    let pull = harness.pull(&key("a", 0), &[], 5);
    expect_that!(harness.groups(pull).unwrap().len(), eq(5));
    let counters = harness.counters();
    expect_that!((counters.hedged, counters.cancelled), eq((1, 1)));
}

/// Guards against hedged attempts with the tail policies that do not ask for them.
#[gtest]
fn other_tail_policies_start_no_second_attempt() {
    for tail in [Tail::None, Tail::Priority] {
        let (harness, _) = straggling(tail);
        expect_that!(harness.started, eq(10));
    }
}

/// Guards against a sample that is lost when one of its two attempts fails.
#[gtest]
fn a_failed_attempt_leaves_the_other_one_running() {
    let (mut harness, first) = straggling(Tail::Hedge);
    harness.running.remove(&first);
    harness.event(Event::AttemptFailed(
        first,
        shallotroute_types::outcome::Outcome::Unknown,
    ));
    expect_that!(harness.running.len(), eq(1));
    harness.finish(5);
    let pull = harness.pull(&key("a", 0), &[], 5);
    expect_that!(harness.groups(pull).unwrap().len(), eq(5));
}
