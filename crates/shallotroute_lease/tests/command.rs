//! Commands to engines: waits, read-backs and the check of the lease.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_lease::{
    command::{Action, Command, Config, Controller, Event, Failure},
    engine::{Phase, Report, Target},
};
use shallotroute_types::{fence::Fence, name::Name, version::Version};

const TIMEOUT: Duration = Duration::from_secs(10);
const MARGIN: Duration = Duration::from_millis(500);
const RETRY: Duration = Duration::from_secs(1);

fn engine() -> Name {
    Name::new("e1")
}

fn report(version: u64, fence: u64) -> Report {
    Report {
        incarnation: 1,
        models: BTreeMap::from([(Name::new("m"), Version(version))]),
        swapping: false,
        fence: Fence(fence),
    }
}

fn target(version: u64) -> Event {
    Event::Target {
        engine: engine(),
        model: Name::new("m"),
        target: Target {
            version: Version(version),
            source: None,
        },
    }
}

/// A controller that wants version 2, and the serial of the first read.
fn start(fence: u64, now: Instant) -> (Controller, u64) {
    let config = Config {
        command_timeout: TIMEOUT,
        margin: MARGIN,
        retry_every: RETRY,
    };
    let mut controller = Controller::new(config, now);
    expect_that!(controller.handle(target(2), None, now), is_empty());
    let serial = asked(&controller.handle(Event::Tick, Some(Fence(fence)), now));
    (controller, serial)
}

fn asked(actions: &[Action]) -> u64 {
    match actions {
        [Action::Read { serial, .. }] => *serial,
        other => panic!("expected a read, got {other:?}"),
    }
}

fn loads(actions: &[Action]) -> Command {
    match actions {
        [Action::Load(command)] => command.clone(),
        other => panic!("expected a command, got {other:?}"),
    }
}

fn answer(serial: u64, report: Report) -> Event {
    Event::Read {
        engine: engine(),
        serial,
        result: Ok(report),
    }
}

fn loaded(command: &Command, result: std::result::Result<(), Failure>) -> Event {
    Event::Loaded {
        engine: engine(),
        serial: command.serial,
        result,
    }
}

/// Guards against commands before those of the former holder have ended, and against trusting a
/// state that was read before that.
#[gtest]
fn new_holder_waits_for_engines_that_ignore_fencing_numbers() {
    let now = Instant::now();
    let held = Some(Fence(5));
    let (mut controller, serial) = start(5, now);
    expect_that!(
        controller.handle(answer(serial, report(1, 0)), held, now),
        is_empty()
    );
    let mut at = now;
    let mut serial = None;
    while serial.is_none() {
        at += Duration::from_millis(100);
        match controller.handle(Event::Tick, held, at).as_slice() {
            [Action::Read { serial: found, .. }] if at >= now + TIMEOUT + MARGIN => {
                serial = Some(*found);
            }
            [Action::Read { serial, .. }] => {
                let late = answer(*serial, report(1, 0));
                expect_that!(controller.handle(late, held, at), is_empty());
            }
            actions => expect_that!(actions, is_empty()),
        }
    }
    let command = loads(&controller.handle(answer(serial.unwrap(), report(1, 0)), held, at));
    expect_that!(command.fence, eq(Fence(5)));
}

/// Guards against a needless wait where the engine itself refuses late commands, and where there was
/// no former holder.
#[gtest]
fn checking_engines_and_first_holders_need_no_wait() {
    let now = Instant::now();
    for (fence, seen) in [(5, 4), (1, 0)] {
        let (mut controller, serial) = start(fence, now);
        let event = answer(serial, report(1, seen));
        let command = loads(&controller.handle(event, Some(Fence(fence)), now));
        expect_that!(command.target.version, eq(Version(2)));
    }
}

/// Guards against acting after the deadline of the lease.
#[gtest]
fn nothing_is_sent_without_the_lease() {
    let now = Instant::now();
    let held = Some(Fence(1));
    let (mut controller, serial) = start(1, now);
    expect_that!(
        controller.handle(answer(serial, report(1, 0)), None, now),
        is_empty()
    );
    let command = loads(&controller.handle(Event::Tick, held, now));
    expect_true!(controller.permits(&command, held));
    expect_false!(controller.permits(&command, None));
    expect_false!(controller.permits(&command, Some(Fence(2))));
}

/// Guards against repeating a command, or believing in it, when only its answer was lost.
#[gtest]
fn lost_answer_is_read_back() {
    let now = Instant::now();
    let held = Some(Fence(1));
    let (mut controller, serial) = start(1, now);
    let command = loads(&controller.handle(answer(serial, report(1, 0)), held, now));
    let serial = asked(&controller.handle(loaded(&command, Err(Failure::Lost)), held, now));
    expect_that!(controller.version("e1", "m"), none());
    // The old version may still be replaced by the lost command.
    expect_that!(
        controller.handle(answer(serial, report(1, 0)), held, now),
        is_empty()
    );
    expect_that!(controller.phase("e1"), some(eq(Phase::Settling)));
    let serial = asked(&controller.handle(Event::Tick, held, now + RETRY));
    expect_that!(
        controller.handle(answer(serial, report(2, 0)), held, now + RETRY),
        is_empty()
    );
    expect_that!(controller.version("e1", "m"), some(eq(Version(2))));
}

/// Guards against use of an engine whose swap failed partway before its state was read.
#[gtest]
fn swap_that_failed_partway_leaves_the_engine_unknown() {
    let now = Instant::now();
    let held = Some(Fence(1));
    let (mut controller, serial) = start(1, now);
    let command = loads(&controller.handle(answer(serial, report(1, 0)), held, now));
    let serial = asked(&controller.handle(loaded(&command, Err(Failure::Partway)), held, now));
    expect_that!(controller.version("e1", "m"), none());
    let partial = Report {
        models: BTreeMap::new(),
        ..report(1, 0)
    };
    let again = loads(&controller.handle(answer(serial, partial), held, now));
    expect_that!(again.serial, gt(command.serial));
    controller.handle(loaded(&again, Ok(())), held, now);
    expect_that!(controller.version("e1", "m"), some(eq(Version(2))));
}

/// Guards against further commands by a holder whose fencing number is too old, and against an
/// answer to an earlier command that is taken for the present one's.
#[gtest]
fn fenced_holder_stops_until_it_has_a_new_number() {
    let now = Instant::now();
    let held = Some(Fence(5));
    let (mut controller, serial) = start(5, now);
    let command = loads(&controller.handle(answer(serial, report(1, 4)), held, now));
    controller.handle(loaded(&command, Err(Failure::Fenced)), held, now);
    let serial = asked(&controller.handle(Event::Tick, held, now + RETRY));
    expect_that!(
        controller.handle(answer(serial, report(1, 6)), held, now + RETRY),
        is_empty()
    );
    let serial = asked(&controller.handle(Event::Tick, Some(Fence(7)), now + RETRY));
    let again = answer(serial, report(1, 6));
    let command = loads(&controller.handle(again, Some(Fence(7)), now + RETRY));
    let stale = Event::Loaded {
        engine: engine(),
        serial: command.serial - 1,
        result: Ok(()),
    };
    expect_that!(
        controller.handle(stale, Some(Fence(7)), now + RETRY),
        is_empty()
    );
    expect_that!(controller.phase("e1"), some(eq(Phase::Commanding)));
}

/// Guards against trusting what is known of an engine that restarted.
#[gtest]
fn restarted_engine_is_read_again() {
    let now = Instant::now();
    let held = Some(Fence(1));
    let (mut controller, serial) = start(1, now);
    controller.handle(answer(serial, report(2, 0)), held, now);
    expect_that!(controller.phase("e1"), some(eq(Phase::Known)));
    let restarted = Event::Reported {
        engine: engine(),
        incarnation: 2,
    };
    asked(&controller.handle(restarted, held, now));
    expect_that!(controller.version("e1", "m"), none());
}
