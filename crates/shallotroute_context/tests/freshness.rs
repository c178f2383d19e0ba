//! The detection of pauses and what work waits for after one.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_context::freshness::{Input, LIMIT, MAX_PAUSE, Machine};

const BEAT: Duration = Duration::from_millis(100);

const INPUTS: [Input; 3] = [Input::Configuration, Input::Hosts, Input::Servers];

/// Makes the state of a node that has read all inputs and beats; returns it with the time.
fn running() -> (Machine, Instant) {
    let now = Instant::now();
    let mut machine = Machine::new(now);
    for input in INPUTS {
        machine.note(input, now);
    }
    machine.beat(now);
    (machine, now)
}

#[gtest]
fn a_start_waits_for_each_input() {
    let now = Instant::now();
    for left_out in INPUTS {
        let mut machine = Machine::new(now);
        for input in INPUTS.into_iter().filter(|it| *it != left_out) {
            machine.note(input, now);
        }
        expect_that!(machine.wait_until(now), some(eq(now + LIMIT)), "{left_out}");
        machine.note(left_out, now);
        expect_that!(machine.wait_until(now), none(), "{left_out}");
    }
}

#[gtest]
fn late_beats_are_no_pause() {
    let (mut machine, mut now) = running();
    for _ in 0..20 {
        now += MAX_PAUSE - Duration::from_millis(1);
        expect_that!(machine.look(now), none());
        machine.beat(now);
        expect_that!(machine.wait_until(now), none());
    }
}

/// Guards against work that starts before the first beat after a pause.
#[gtest]
fn a_look_notices_a_pause() {
    let (mut machine, now) = running();
    let resumed = now + Duration::from_secs(5);
    expect_that!(machine.look(resumed), some(eq(Duration::from_secs(5))));
    expect_that!(machine.wait_until(resumed), some(eq(resumed + LIMIT)));
    expect_that!(machine.look(resumed + BEAT), none());
}

/// Guards against an answer from before the pause that is read after it.
#[gtest]
fn what_was_asked_before_a_pause_is_old() {
    let (mut machine, now) = running();
    let resumed = now + Duration::from_secs(5);
    machine.beat(resumed);
    machine.note(Input::Hosts, now + BEAT);
    expect_that!(machine.missing().collect::<Vec<_>>(), eq(&INPUTS.to_vec()));
    for input in INPUTS {
        machine.note(input, resumed);
    }
    expect_that!(machine.wait_until(resumed + BEAT), none());
}

#[gtest]
fn work_waits_no_longer_than_the_limit() {
    let (mut machine, now) = running();
    let resumed = now + Duration::from_secs(5);
    machine.beat(resumed);
    expect_that!(machine.wait_until(resumed + LIMIT - BEAT), some(anything()));
    expect_that!(machine.wait_until(resumed + LIMIT), none());
}
