//! When a holder sends commands to engines: after waits, reads and the check of its lease.

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

const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
const CLOCK_MARGIN: Duration = Duration::from_millis(500);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

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
    Event::TargetSet {
        engine: engine(),
        model: Name::new("m"),
        target: Target {
            version: Version(version),
            source: None,
        },
    }
}

/// Returns a controller that has version 2 as its target, and the serial of its first read.
fn new_controller(fence: u64, now: Instant) -> (Controller, u64) {
    let config = Config {
        command_timeout: COMMAND_TIMEOUT,
        clock_margin: CLOCK_MARGIN,
        retry_interval: RETRY_INTERVAL,
    };
    let mut controller = Controller::new(config, now);
    expect_that!(controller.handle(target(2), None, now), is_empty());
    let serial = read_serial(&controller.handle(Event::Tick, Some(Fence(fence)), now));
    (controller, serial)
}

fn read_serial(actions: &[Action]) -> u64 {
    match actions {
        [Action::Read { serial, .. }] => *serial,
        other => panic!("expected a read, got {other:?}"),
    }
}

fn sent_command(actions: &[Action]) -> Command {
    match actions {
        [Action::Load(command)] => command.clone(),
        other => panic!("expected a command, got {other:?}"),
    }
}

fn read_result(serial: u64, report: Report) -> Event {
    Event::Read {
        engine: engine(),
        serial,
        result: Ok(report),
    }
}

fn load_result(command: &Command, result: std::result::Result<(), Failure>) -> Event {
    Event::Loaded {
        engine: engine(),
        serial: command.serial,
        result,
    }
}

/// Guards against a command that is sent, or a state that is trusted, while a command of the former
/// holder can still take effect. An engine that ignores fencing numbers does not refuse such a command.
#[gtest]
fn new_holder_waits_for_engines_that_ignore_fencing_numbers() {
    let now = Instant::now();
    let valid_fence = Some(Fence(5));
    let (mut controller, serial) = new_controller(5, now);
    expect_that!(
        controller.handle(read_result(serial, report(1, 0)), valid_fence, now),
        is_empty()
    );
    let mut at = now;
    let mut serial = None;
    while serial.is_none() {
        at += Duration::from_millis(100);
        match controller.handle(Event::Tick, valid_fence, at).as_slice() {
            [Action::Read { serial: found, .. }] if at >= now + COMMAND_TIMEOUT + CLOCK_MARGIN => {
                serial = Some(*found);
            }
            [Action::Read { serial, .. }] => {
                let early = read_result(*serial, report(1, 0));
                expect_that!(controller.handle(early, valid_fence, at), is_empty());
            }
            actions => expect_that!(actions, is_empty()),
        }
    }
    let command = sent_command(&controller.handle(
        read_result(serial.unwrap(), report(1, 0)),
        valid_fence,
        at,
    ));
    expect_that!(command.fence, eq(Fence(5)));
}

/// Guards against a needless wait when the engine itself refuses late commands, and when the lease had
/// no former holder.
#[gtest]
fn no_wait_when_late_commands_are_impossible() {
    let now = Instant::now();
    for (fence, seen) in [(5, 4), (1, 0)] {
        let (mut controller, serial) = new_controller(fence, now);
        let event = read_result(serial, report(1, seen));
        let command = sent_command(&controller.handle(event, Some(Fence(fence)), now));
        expect_that!(command.target.version, eq(Version(2)));
    }
}

/// Guards against a command that is sent after the lease has expired or changed its holder.
#[gtest]
fn nothing_is_sent_without_the_lease() {
    let now = Instant::now();
    let valid_fence = Some(Fence(1));
    let (mut controller, serial) = new_controller(1, now);
    expect_that!(
        controller.handle(read_result(serial, report(1, 0)), None, now),
        is_empty()
    );
    let command = sent_command(&controller.handle(Event::Tick, valid_fence, now));
    expect_true!(controller.may_send(&command, valid_fence));
    expect_false!(controller.may_send(&command, None));
    expect_false!(controller.may_send(&command, Some(Fence(2))));
}

/// Guards against repeating a command, or assuming its success, when its response was lost: the engine
/// may or may not have carried it out.
#[gtest]
fn lost_response_leads_to_a_read() {
    let now = Instant::now();
    let valid_fence = Some(Fence(1));
    let (mut controller, serial) = new_controller(1, now);
    let command =
        sent_command(&controller.handle(read_result(serial, report(1, 0)), valid_fence, now));
    let serial = read_serial(&controller.handle(
        load_result(&command, Err(Failure::Lost)),
        valid_fence,
        now,
    ));
    expect_that!(controller.version("e1", "m"), none());
    // The old version may still be replaced by the lost command.
    expect_that!(
        controller.handle(read_result(serial, report(1, 0)), valid_fence, now),
        is_empty()
    );
    expect_that!(controller.phase("e1"), some(eq(Phase::Settling)));
    let serial = read_serial(&controller.handle(Event::Tick, valid_fence, now + RETRY_INTERVAL));
    expect_that!(
        controller.handle(
            read_result(serial, report(2, 0)),
            valid_fence,
            now + RETRY_INTERVAL
        ),
        is_empty()
    );
    expect_that!(controller.version("e1", "m"), some(eq(Version(2))));
}

/// Guards against assuming the old or the new version on an engine that failed in the middle of a load.
#[gtest]
fn partial_load_makes_the_engine_state_unknown() {
    let now = Instant::now();
    let valid_fence = Some(Fence(1));
    let (mut controller, serial) = new_controller(1, now);
    let command =
        sent_command(&controller.handle(read_result(serial, report(1, 0)), valid_fence, now));
    let serial = read_serial(&controller.handle(
        load_result(&command, Err(Failure::PartiallyLoaded)),
        valid_fence,
        now,
    ));
    expect_that!(controller.version("e1", "m"), none());
    let partial = Report {
        models: BTreeMap::new(),
        ..report(1, 0)
    };
    let second = sent_command(&controller.handle(read_result(serial, partial), valid_fence, now));
    expect_that!(second.serial, gt(command.serial));
    controller.handle(load_result(&second, Ok(())), valid_fence, now);
    expect_that!(controller.version("e1", "m"), some(eq(Version(2))));
}

/// Guards against further commands by a holder whose fencing number is too old, and against the result
/// of an earlier command that is taken for that of the current one.
#[gtest]
fn fenced_holder_sends_nothing_until_it_has_a_new_fencing_number() {
    let now = Instant::now();
    let valid_fence = Some(Fence(5));
    let (mut controller, serial) = new_controller(5, now);
    let command =
        sent_command(&controller.handle(read_result(serial, report(1, 4)), valid_fence, now));
    controller.handle(
        load_result(&command, Err(Failure::Fenced)),
        valid_fence,
        now,
    );
    let serial = read_serial(&controller.handle(Event::Tick, valid_fence, now + RETRY_INTERVAL));
    expect_that!(
        controller.handle(
            read_result(serial, report(1, 6)),
            valid_fence,
            now + RETRY_INTERVAL
        ),
        is_empty()
    );
    let serial = read_serial(&controller.handle(Event::Tick, Some(Fence(7)), now + RETRY_INTERVAL));
    let conclusive = read_result(serial, report(1, 6));
    let command =
        sent_command(&controller.handle(conclusive, Some(Fence(7)), now + RETRY_INTERVAL));
    let stale = Event::Loaded {
        engine: engine(),
        serial: command.serial - 1,
        result: Ok(()),
    };
    expect_that!(
        controller.handle(stale, Some(Fence(7)), now + RETRY_INTERVAL),
        is_empty()
    );
    expect_that!(controller.phase("e1"), some(eq(Phase::Commanding)));
}

/// Guards against trusting the state that was read before an engine restarted.
#[gtest]
fn restarted_engine_is_read_again() {
    let now = Instant::now();
    let valid_fence = Some(Fence(1));
    let (mut controller, serial) = new_controller(1, now);
    controller.handle(read_result(serial, report(2, 0)), valid_fence, now);
    expect_that!(controller.phase("e1"), some(eq(Phase::Known)));
    let restarted = Event::Reported {
        engine: engine(),
        incarnation: 2,
    };
    read_serial(&controller.handle(restarted, valid_fence, now));
    expect_that!(controller.version("e1", "m"), none());
}
