//! Pause detection, and how long work waits for stale inputs after a start or a pause.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_context::freshness::{Input, MAX_PAUSE, MAX_WAIT, Tracker};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

const INPUTS: [Input; 3] = [Input::Configuration, Input::Hosts, Input::Servers];

/// Returns a tracker with fresh inputs and a heartbeat, and the time of both.
fn running() -> (Tracker, Instant) {
    let now = Instant::now();
    let mut tracker = Tracker::new(now);
    for input in INPUTS {
        tracker.record_read(input, now);
    }
    tracker.heartbeat(now);
    (tracker, now)
}

/// Guards against work that starts while one of the inputs has not been read since the start.
#[gtest]
fn work_waits_for_each_input_after_a_start() {
    let now = Instant::now();
    for stale in INPUTS {
        let mut tracker = Tracker::new(now);
        for input in INPUTS.into_iter().filter(|it| *it != stale) {
            tracker.record_read(input, now);
        }
        expect_that!(
            tracker.wait_deadline(now),
            some(eq(now + MAX_WAIT)),
            "{stale}"
        );
        tracker.record_read(stale, now);
        expect_that!(tracker.wait_deadline(now), none(), "{stale}");
    }
}

/// Guards against heartbeats that CPU load delays being taken for a pause.
#[gtest]
fn delayed_heartbeats_are_not_a_pause() {
    let (mut tracker, mut now) = running();
    for _ in 0..20 {
        now += MAX_PAUSE - Duration::from_millis(1);
        expect_that!(tracker.check_for_pause(now), none());
        tracker.heartbeat(now);
        expect_that!(tracker.wait_deadline(now), none());
    }
}

/// Guards against work that starts after a pause, before the first heartbeat has detected it.
#[gtest]
fn a_check_before_the_first_heartbeat_detects_a_pause() {
    let (mut tracker, now) = running();
    let resumed = now + Duration::from_secs(5);
    expect_that!(
        tracker.check_for_pause(resumed),
        some(eq(Duration::from_secs(5)))
    );
    expect_that!(tracker.wait_deadline(resumed), some(eq(resumed + MAX_WAIT)));
    expect_that!(
        tracker.check_for_pause(resumed + HEARTBEAT_INTERVAL),
        none()
    );
}

/// Guards against a response that was requested before the pause and read after it counting as fresh.
#[gtest]
fn a_read_that_was_requested_before_a_pause_is_stale() {
    let (mut tracker, now) = running();
    let resumed = now + Duration::from_secs(5);
    tracker.heartbeat(resumed);
    tracker.record_read(Input::Hosts, now + HEARTBEAT_INTERVAL);
    expect_that!(
        tracker.stale_inputs().collect::<Vec<_>>(),
        eq(&INPUTS.to_vec())
    );
    for input in INPUTS {
        tracker.record_read(input, resumed);
    }
    expect_that!(tracker.wait_deadline(resumed + HEARTBEAT_INTERVAL), none());
}

/// Guards against a node that serves nothing while the platform stays unreachable after a pause.
#[gtest]
fn work_waits_no_longer_than_the_limit() {
    let (mut tracker, now) = running();
    let resumed = now + Duration::from_secs(5);
    tracker.heartbeat(resumed);
    expect_that!(
        tracker.wait_deadline(resumed + MAX_WAIT - HEARTBEAT_INTERVAL),
        some(anything())
    );
    expect_that!(tracker.wait_deadline(resumed + MAX_WAIT), none());
}
