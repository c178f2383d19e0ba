//! Loading, validation and interpretation of charts.

use std::sync::Arc;

use derive_more::Display;
use googletest::prelude::*;
use shallotroute_chart::{chart::Chart, error::Finding, machine::Machine};

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum State {
    #[display("closed")]
    Closed,
    #[display("opened")]
    Opened,
    #[display("removed")]
    Removed,
}

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Event {
    #[display("open")]
    Open,
    #[display("close")]
    Close,
    #[display("remove")]
    Remove,
}

const STATES: [State; 3] = [State::Closed, State::Opened, State::Removed];
const EVENTS: [Event; 3] = [Event::Open, Event::Close, Event::Remove];

/// Guards against transitions that differ from the file: an ignored event that changes the state, a
/// wrong target, or an event that leads out of a final state.
#[gtest]
fn machine_follows_the_chart() {
    let yaml = include_str!("fixtures/door.yaml");
    let mut machine = Machine::new(Arc::new(Chart::new(yaml, &STATES, &EVENTS).unwrap()));
    expect_that!(machine.fire(Event::Close), none());
    expect_that!(machine.fire(Event::Open), some(eq(State::Opened)));
    expect_that!(machine.fire(Event::Remove), none());
    expect_that!(machine.fire(Event::Close), some(eq(State::Closed)));
    expect_false!(machine.is_final());
    expect_that!(machine.fire(Event::Remove), some(eq(State::Removed)));
    expect_true!(machine.is_final());
    expect_that!(machine.fire(Event::Open), none());
}

/// Guards against a validation that accepts an invalid chart or stops at the first error.
#[gtest]
fn all_errors_are_reported() {
    let yaml = include_str!("fixtures/faulty.yaml");
    let report = Chart::new(yaml, &STATES, &EVENTS).unwrap_err();
    let text = |name: &str| name.to_owned();
    let missing = |state: &str, event: &str| Finding::MissingTransition {
        state: text(state),
        event: text(event),
    };
    let unexpected = |state: &str, event: &str| Finding::UnexpectedTransition {
        state: text(state),
        event: text(event),
    };
    expect_that!(
        report.current_context().0,
        unordered_elements_are![
            eq(&Finding::UnknownState(text("ajar"))),
            eq(&Finding::UnknownEvent(text("explode"))),
            eq(&Finding::UnknownEvent(text("knock"))),
            eq(&Finding::MissingEvent(text("remove"))),
            eq(&Finding::Unreachable(text("removed"))),
            eq(&missing("closed", "close")),
            eq(&missing("closed", "explode")),
            eq(&missing("opened", "explode")),
            eq(&missing("opened", "open")),
            eq(&unexpected("closed", "open")),
            eq(&unexpected("removed", "open")),
        ]
    );
}

/// Guards against the acceptance of a file that is not a chart, or of a chart without a state that
/// the code has, which the machine could then never enter.
#[gtest]
fn malformed_yaml_and_missing_states_are_rejected() {
    let report = Chart::new("initial: [", &STATES, &EVENTS).unwrap_err();
    expect_that!(
        report.current_context().0,
        elements_are![matches_pattern!(Finding::Syntax(_))]
    );
    let yaml = "initial: closed\nfinal: [closed]\nevents: []\nstates: {closed: {}}";
    let report = Chart::new(yaml, &STATES, &[] as &[Event]).unwrap_err();
    let missing = |name: &str| Finding::MissingState(name.to_owned());
    expect_that!(
        report.current_context().0,
        elements_are![eq(&missing("opened")), eq(&missing("removed"))]
    );
}
