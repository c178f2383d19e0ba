//! The events that change a member's state; the state chart is `member.yaml`.

use std::sync::LazyLock;

use derive_more::Display;
use shallotroute_chart::{chart::Chart, error::Result};
use shallotroute_types::member::State;

/// An event of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Trigger {
    /// The member was known to be alive within the suspicion timeout.
    #[display("heard")]
    Heard,
    /// The member was silent for the suspicion timeout.
    #[display("silent")]
    Silent,
    /// The member was silent for the death timeout.
    #[display("expired")]
    Expired,
    /// A report or update says that the member is draining.
    #[display("leaving_reported")]
    LeavingReported,
    /// A report or update says that the member has stopped or is dead.
    #[display("death_reported")]
    DeathReported,
    /// A report or update has a higher incarnation of the member.
    #[display("reincarnated")]
    Reincarnated,
}

/// The embedded chart. A test checks that it is valid.
static CHART: LazyLock<Chart<State, Trigger>> =
    LazyLock::new(|| load().expect("the embedded chart is valid"));

/// Returns the state after an event, which is `state` if the chart ignores the event.
pub(crate) fn next(state: State, trigger: Trigger) -> State {
    CHART.next(state, trigger).unwrap_or(state)
}

/// Loads the embedded chart.
///
/// # Errors
///
/// The chart is invalid, or its states and events differ from [`State`] and [`Trigger`].
pub fn load() -> Result<Chart<State, Trigger>> {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Dead];
    let events = [
        Trigger::Heard,
        Trigger::Silent,
        Trigger::Expired,
        Trigger::LeavingReported,
        Trigger::DeathReported,
        Trigger::Reincarnated,
    ];
    Chart::new(include_str!("member.yaml"), &states, &events)
}
