//! The staleness bound at delivery, and work that is stopped or not begun because of it.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_rollout::{scheduler::Event, staleness::Policy};
use shallotroute_types::version::Version;
use support::{Bench, configuration, key, pool, specification, trainer};

/// Guards against a finished group that is delivered after the trainer has moved on too far.
#[gtest]
fn a_group_beyond_the_bound_is_generated_again() {
    let mut bench = Bench::new(configuration(pool(1, 4), vec![trainer("a")]));
    bench.report(5);
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(1, 2)));
    bench.finish(5);
    let pull = bench.pull(&key, &[], 7);
    expect_that!(bench.groups(pull), none());
    expect_that!(bench.running.len(), eq(0), "the engine still has version 5");
    bench.pass(Duration::from_millis(500), 6);
    expect_that!(bench.running.len(), eq(2));
    bench.finish(6);
    expect_that!(bench.groups(pull), some(elements_are![eq(&0)]));
    let counters = bench.counters();
    expect_that!(counters.staleness, eq(&[1, 1]));
    expect_that!(counters.doomed, eq(2));
    expect_that!(counters.replaced, eq(2));
}

/// Guards against a bound that is checked against the version at which a waiting pull was opened.
#[gtest]
fn an_announcement_counts_for_a_pull_that_waits() {
    let mut bench = Bench::new(configuration(pool(1, 4), vec![trainer("a")]));
    bench.report(5);
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(1, 2)));
    let pull = bench.pull(&key, &[], 5);
    let attempt = *bench.running.keys().next().unwrap();
    bench.tokens(attempt, 0, 10, 5);
    bench.end(attempt, 10);
    bench.event(Event::Announced("a".into(), Version(7)));
    bench.finish(5);
    expect_that!(bench.groups(pull), none());
}

/// Guards against attempts that run on although their first tokens are too old already.
#[gtest]
fn doomed_attempts_are_stopped() {
    let mut bench = Bench::new(configuration(pool(1, 4), vec![trainer("a")]));
    bench.report(5);
    bench.event(Event::Submitted(key("a", 0), specification(1, 2)));
    let attempts: Vec<_> = bench.running.keys().copied().collect();
    bench.tokens(attempts[0], 0, 1, 4);
    bench.event(Event::Announced("a".into(), Version(6)));
    expect_that!(bench.cancelled, eq(&attempts[..1]));
    bench.tokens(attempts[1], 0, 1, 4);
    expect_true!(bench.cancelled.contains(&attempts[1]));
    expect_that!(bench.counters().doomed, eq(2));
}

/// Guards against generation so far ahead that its samples are too stale when they are needed.
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

    let mut bench = Bench::new(configuration(pool(1, 8), vec![trainer("a")]));
    bench.report(5);
    for step in 0..3 {
        bench.event(Event::Submitted(key("a", step), specification(1, 2)));
    }
    expect_that!(bench.started, eq(4), "the bound of 1 allows one step ahead");
    // A trainer that pulls a later step no longer waits for the first one.
    bench.pull(&key("a", 1), &[], 5);
    expect_that!(bench.started, eq(6));
}

/// Guards against samples of a version that operators withdrew.
#[gtest]
fn withdrawn_versions_are_not_delivered() {
    let mut bench = Bench::new(configuration(pool(1, 8), vec![trainer("a")]));
    bench.report(5);
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(1, 2)));
    bench.finish(5);
    let mut changed = (*configuration(pool(1, 8), vec![trainer("a")])).clone();
    changed.withdrawn.insert(("model-a".into(), Version(5)));
    bench.event(Event::Configured(changed.into()));
    let pull = bench.pull(&key, &[], 5);
    expect_that!(bench.groups(pull), none());
    expect_that!(bench.running.len(), eq(0));
}
