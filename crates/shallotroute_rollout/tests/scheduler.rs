//! Steps from submission to delivery on scripted engines.

mod support;

use googletest::prelude::*;
use shallotroute_rollout::{
    delivery::Refusal,
    scheduler::{AdmissionError, Event},
};
use support::{Bench, configuration, key, pool, specification, trainer};

fn bench() -> Bench {
    let mut bench = Bench::new(configuration(pool(2, 4), vec![trainer("a"), trainer("b")]));
    bench.report(5);
    bench
}

/// Guards against a group that is delivered before all of its samples are there, and against a
/// group delivered again although the receipt names it.
#[gtest]
fn groups_are_delivered_whole_and_once() {
    let mut bench = bench();
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(3, 2)));
    let first = bench.pull(&key, &[], 5);
    expect_that!(bench.groups(first), none());
    let attempts: Vec<_> = bench.running.keys().copied().collect();
    bench.tokens(attempts[0], 0, 10, 5);
    bench.end(attempts[0], 10);
    expect_that!(bench.groups(first), none());
    bench.tokens(attempts[1], 0, 10, 5);
    bench.end(attempts[1], 10);
    expect_that!(bench.groups(first), some(elements_are![eq(&0)]));
    bench.finish(5);
    let second = bench.pull(&key, &[0], 5);
    expect_that!(bench.groups(second), some(elements_are![eq(&1), eq(&2)]));
    expect_true!(bench.answers[&second].as_ref().unwrap().complete);
}

/// Guards against groups that are lost together with the answer that held them.
#[gtest]
fn groups_of_a_lost_answer_come_again() {
    let mut bench = bench();
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(2, 2)));
    bench.finish(5);
    let lost = bench.pull(&key, &[], 5);
    let again = bench.pull(&key, &[], 5);
    expect_that!(bench.groups(again), eq(&bench.groups(lost)));
    expect_that!(bench.started, eq(4));
}

/// Guards against a second pull that leaves the first one open, whose answer would be ignored.
#[gtest]
fn a_later_pull_closes_the_earlier_one() {
    let mut bench = bench();
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(2, 2)));
    let first = bench.pull(&key, &[], 5);
    bench.pull(&key, &[], 5);
    expect_that!(bench.answers[&first], err(eq(&Refusal::Superseded)));
}

/// Guards against a step that is replaced by another one of the same number.
#[gtest]
fn a_step_is_submitted_once() {
    let mut bench = bench();
    let key = key("a", 0);
    let body = specification(2, 2);
    bench.event(Event::Submitted(key.clone(), body.clone()));
    expect_that!(bench.scheduler.admit(&key, &body), ok(anything()));
    expect_that!(
        bench.scheduler.admit(&key, &specification(3, 2)),
        err(eq(AdmissionError::Conflict))
    );
}

/// Guards against work for groups that the trainer has, and against missing groups after its
/// restart from a checkpoint.
#[gtest]
fn a_trainer_returns_to_a_checkpoint() {
    let mut bench = bench();
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(4, 2)));
    let running = bench.running.len();
    bench.pull(&key, &[0, 1, 2], 5);
    expect_that!(bench.running.len(), eq(running - 6));
    bench.finish(5);
    let after = bench.pull(&key, &[0], 4);
    bench.finish(5);
    let rest = bench.pull(&key, &[0, 3], 4);
    expect_that!(bench.groups(after), some(elements_are![eq(&3)]));
    expect_that!(bench.groups(rest), some(elements_are![eq(&1), eq(&2)]));
}

/// Guards against the score of a discarded answer on the answer that replaced it.
#[gtest]
fn a_late_score_of_a_discarded_answer_does_not_count() {
    let mut object = trainer("a");
    object.scorer = Some("rewards".into());
    let mut bench = Bench::new(configuration(pool(1, 4), vec![object]));
    bench.report(5);
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(1, 1)));
    let first = *bench.running.keys().next().unwrap();
    bench.finish(5);
    let pull = bench.pull(&key, &[], 7);
    bench.pass(std::time::Duration::from_secs(1), 7);
    let second = *bench.running.keys().next().unwrap();
    bench.finish(7);
    bench.event(Event::Scored(key.clone(), 0, first, Some(1.0)));
    expect_that!(bench.groups(pull), none());
    bench.event(Event::Scored(key, 0, second, Some(2.0)));
    let answer = bench.answers[&pull].as_ref().unwrap();
    expect_that!(answer.groups[0].samples[0].score, some(eq(2.0)));
}

/// Guards against attempts by reports from before a pause of the process, and against the answer to
/// a poll from before it.
#[gtest]
fn a_pause_makes_the_engines_states_unknown() {
    let mut bench = bench();
    bench.pass(std::time::Duration::from_millis(500), 5);
    bench.now += std::time::Duration::from_millis(250);
    bench.event(Event::Tick);
    let before = std::mem::take(&mut bench.polls);
    expect_that!(before, len(eq(2)));
    bench.event(Event::Resumed);
    let after = std::mem::take(&mut bench.polls);
    expect_that!(after, len(eq(2)));
    bench.event(Event::Submitted(key("a", 0), specification(1, 2)));
    for (server, number) in before {
        bench.event(Event::Polled(server, number, Some(support::loaded(5))));
    }
    expect_that!(bench.started, eq(0));
    bench.polls = after;
    bench.report(5);
    expect_that!(bench.started, eq(2));
}
