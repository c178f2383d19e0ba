//! The staleness bound at delivery, and attempts that are cancelled or not started because of it.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_rollout::{scheduler::Event, staleness::Policy};
use shallotroute_types::version::Version;
use support::{Harness, configuration, key, pool, specification, trainer};

/// Guards against delivery of a finished group after the trainer has moved beyond the bound.
#[gtest]
fn a_group_beyond_the_bound_is_generated_again() {
    let mut harness = Harness::new(configuration(pool(1, 4), vec![trainer("a")]));
    harness.report(5);
    let key = key("a", 0);
    harness.event(Event::Submitted(key.clone(), specification(1, 2)));
    harness.finish(5);
    let pull = harness.pull(&key, &[], 7);
    expect_that!(harness.groups(pull), none());
    expect_that!(
        harness.running.len(),
        eq(0),
        "the engine still has version 5"
    );
    harness.pass(Duration::from_millis(500), 6);
    expect_that!(harness.running.len(), eq(2));
    harness.finish(6);
    expect_that!(harness.groups(pull), some(elements_are![eq(&0)]));
    let counters = harness.counters();
    expect_that!(counters.staleness, eq(&[1, 1]));
    expect_that!(counters.doomed, eq(2));
    expect_that!(counters.replaced, eq(2));
}

/// Guards against a bound that is checked against the trainer's version when an open pull was
/// opened, although the trainer has announced a later one since.
#[gtest]
fn an_announcement_applies_to_an_open_pull() {
    let mut harness = Harness::new(configuration(pool(1, 4), vec![trainer("a")]));
    harness.report(5);
    let key = key("a", 0);
    harness.event(Event::Submitted(key.clone(), specification(1, 2)));
    let pull = harness.pull(&key, &[], 5);
    let attempt = *harness.running.keys().next().unwrap();
    harness.tokens(attempt, 0, 10, 5);
    harness.end(attempt, 10);
    harness.event(Event::Announced("a".into(), Version(7)));
    harness.finish(5);
    expect_that!(harness.groups(pull), none());
}

/// Guards against attempts that continue although their first tokens are too stale already.
#[gtest]
fn attempts_with_stale_tokens_are_cancelled() {
    let mut harness = Harness::new(configuration(pool(1, 4), vec![trainer("a")]));
    harness.report(5);
    harness.event(Event::Submitted(key("a", 0), specification(1, 2)));
    let attempts: Vec<_> = harness.running.keys().copied().collect();
    harness.tokens(attempts[0], 0, 1, 4);
    harness.event(Event::Announced("a".into(), Version(6)));
    expect_that!(harness.cancelled, eq(&attempts[..1]));
    harness.tokens(attempts[1], 0, 1, 4);
    expect_true!(harness.cancelled.contains(&attempts[1]));
    expect_that!(harness.counters().doomed, eq(2));
}

/// Guards against generating so many steps in advance that their samples are too stale when the
/// trainer needs them.
#[gtest]
fn generation_runs_ahead_within_the_bound() {
    let policy = |idle_weight| Policy {
        staleness_bound: 2,
        idle_weight,
    };
    expect_that!(
        [0.0, 0.4, 1.0].map(|weight| policy(weight).max_steps_ahead()),
        eq([0, 1, 2])
    );
    expect_true!(policy(1.0).allows_start(Version(5), 2, Version(5)));
    expect_false!(policy(1.0).allows_start(Version(5), 2, Version(4)));
    expect_false!(policy(0.0).allows_start(Version(5), 1, Version(5)));

    let mut harness = Harness::new(configuration(pool(1, 8), vec![trainer("a")]));
    harness.report(5);
    for step in 0..3 {
        harness.event(Event::Submitted(key("a", step), specification(1, 2)));
    }
    expect_that!(
        harness.started,
        eq(4),
        "the bound of 1 allows one step ahead"
    );
    // A trainer that pulls a later step no longer waits for the first one.
    harness.pull(&key("a", 1), &[], 5);
    expect_that!(harness.started, eq(6));
}

/// Guards against delivery of samples of a version that operators withdrew.
#[gtest]
fn withdrawn_versions_are_not_delivered() {
    let mut harness = Harness::new(configuration(pool(1, 8), vec![trainer("a")]));
    harness.report(5);
    let key = key("a", 0);
    harness.event(Event::Submitted(key.clone(), specification(1, 2)));
    harness.finish(5);
    let mut changed = (*configuration(pool(1, 8), vec![trainer("a")])).clone();
    changed.withdrawn.insert(("model-a".into(), Version(5)));
    harness.event(Event::Configured(changed.into()));
    let pull = harness.pull(&key, &[], 5);
    expect_that!(harness.groups(pull), none());
    expect_that!(harness.running.len(), eq(0));
}
