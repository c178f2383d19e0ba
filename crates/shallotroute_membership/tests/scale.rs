//! Fleets of several sizes that lose datagrams: bytes sent, agreement, spread of revisions, crashes.
//!
//! The tests of the larger fleets are ignored because of their run time; run them with
//! `cargo test --release -p shallotroute_membership --test scale -- --ignored --nocapture`.

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_types::{
    member::{State, View},
    revision::Revision,
};

#[expect(dead_code, reason = "shared with the state-machine test")]
mod fleet;

use fleet::{Fleet, name};

/// The budget of bytes that a node sends for membership, headers included.
const BYTES_PER_SECOND: f64 = 10_000.0;

/// The time within which a published revision must reach all nodes.
const REVISION_TIMEOUT: Duration = Duration::from_secs(6);

/// The size above which a fleet starts with nodes that know each other.
const INTRODUCE_ABOVE: usize = 500;

/// The results of a run.
#[derive(Debug)]
#[expect(dead_code, reason = "read through Debug")]
struct Measurement {
    nodes: usize,
    loss_probability: f64,
    formed_after: Option<Duration>,
    bytes_per_second: f64,
    interval: Duration,
    suspect_after: Duration,
    dead_after: Duration,
    revision_delays: Vec<Option<Duration>>,
    all_have_majority: bool,
    false_suspicion_count: u64,
    false_death_count: u64,
    crash_detected_after: Option<Duration>,
}

fn all_views(fleet: &Fleet, condition: impl Fn(&View) -> bool) -> bool {
    fleet.views().all(|view| condition(&view))
}

/// Publishes five revisions and returns the time that each took to reach all nodes, `None` if it took
/// more than twice [`REVISION_TIMEOUT`].
fn publish(fleet: &mut Fleet) -> Vec<Option<Duration>> {
    let publisher = fleet.nodes.len() / 2;
    let revisions = (1..=5).map(Revision);
    let time_to_reach_all = |revision| {
        fleet.publish(publisher, revision);
        let is_known_by_all = |fleet: &Fleet| fleet.nodes.iter().all(|node| node.known >= revision);
        fleet.run_until(REVISION_TIMEOUT * 2, is_known_by_all)
    };
    revisions.map(time_to_reach_all).collect()
}

fn measure(count: usize, loss_probability: f64, formation_timeout: Duration) -> Measurement {
    let mut fleet = Fleet::new(count, loss_probability, 42);
    if count > INTRODUCE_ABOVE {
        fleet.introduce_all();
    }
    let formed_after = fleet.run_until(formation_timeout, Fleet::agrees);
    fleet.run(Duration::from_secs(5));
    let (false_suspicion_count, false_death_count) = (fleet.false_suspicions, fleet.false_deaths);
    let bytes_before: u64 = fleet.nodes.iter().map(|node| node.bytes_out).sum();
    let start = fleet.now;
    fleet.run(Duration::from_secs(10));
    let all_have_majority = all_views(&fleet, |view| view.majority);
    let revision_delays = publish(&mut fleet);
    let bytes_after: u64 = fleet.nodes.iter().map(|node| node.bytes_out).sum();
    let seconds = (fleet.now - start).as_secs_f64();
    let (false_suspicion_count, false_death_count) = (
        fleet.false_suspicions - false_suspicion_count,
        fleet.false_deaths - false_death_count,
    );
    let timing = fleet.nodes[count - 1].table.timing();
    fleet.nodes[1].is_running = false;
    let crashed = name(1);
    let crash_detected_after = fleet.run_until(timing.dead_after * 3, |fleet| {
        all_views(fleet, |view| {
            view.get(&crashed)
                .is_none_or(|member| member.state == State::Dead)
        })
    });
    Measurement {
        nodes: count,
        loss_probability,
        formed_after,
        bytes_per_second: (bytes_after - bytes_before) as f64 / seconds / count as f64,
        interval: timing.interval,
        suspect_after: timing.suspect_after,
        dead_after: timing.dead_after,
        revision_delays,
        all_have_majority,
        false_suspicion_count,
        false_death_count,
        crash_detected_after,
    }
}

#[expect(
    clippy::print_stdout,
    reason = "the figures are the purpose of the ignored runs"
)]
fn check(measurement: &Measurement) {
    println!("{measurement:?}");
    expect_that!(measurement.formed_after, some(anything()));
    expect_that!(measurement.bytes_per_second, lt(BYTES_PER_SECOND));
    expect_that!(
        measurement.revision_delays,
        each(some(le(&REVISION_TIMEOUT)))
    );
    expect_true!(measurement.all_have_majority);
    expect_that!(measurement.false_death_count, eq(0));
    expect_that!(measurement.crash_detected_after, some(anything()));
}

/// Guards against missing a target of the membership in fleets of up to 30 nodes: bytes sent, revisions
/// within 6 s, majority, no false death, and a crash seen by all within 3 s and a round of gossip.
#[gtest]
fn small_fleets_meet_the_targets() {
    for (count, loss_probability) in [(3, 0.0), (9, 0.0), (9, 0.1), (30, 0.1)] {
        let measurement = measure(count, loss_probability, Duration::from_secs(5));
        check(&measurement);
        expect_that!(
            measurement.crash_detected_after,
            some(le(Duration::from_secs(4)))
        );
    }
}

/// Guards against bytes sent per node that grow with the fleet.
#[gtest]
fn hundred_nodes_meet_the_targets() {
    check(&measure(100, 0.1, Duration::from_secs(10)));
}

/// Guards against missing a target of the membership in a large fleet.
#[gtest]
#[ignore = "takes minutes"]
fn four_hundred_nodes_meet_the_targets() {
    check(&measure(400, 0.1, Duration::from_secs(60)));
}

/// Guards against missing a target of the membership at the design scale of 1,700 nodes.
#[gtest]
#[ignore = "takes minutes"]
fn design_scale_meets_the_targets() {
    check(&measure(1_700, 0.02, Duration::from_secs(60)));
}
