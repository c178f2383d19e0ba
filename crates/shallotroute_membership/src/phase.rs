//! The chart `member.yaml` of a member's state.

use std::sync::LazyLock;

use derive_more::Display;
use shallotroute_chart::{chart::Chart, error::Result};
use shallotroute_types::member::State;

/// An event of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Trigger {
    /// There was news within the suspicion time.
    #[display("fresh")]
    Fresh,
    /// There was no news for the suspicion time.
    #[display("silent")]
    Silent,
    /// There was no news for the death time.
    #[display("expired")]
    Expired,
    /// The member drains.
    #[display("left")]
    Left,
    /// The member stopped, or others declared it dead.
    #[display("departed")]
    Departed,
    /// The member has a higher incarnation.
    #[display("renewed")]
    Renewed,
}

/// The embedded chart; a test loads it.
static CHART: LazyLock<Chart<State, Trigger>> =
    LazyLock::new(|| load().expect("the embedded chart is valid"));

/// Returns the state after an event, the same one where it is ignored.
pub(crate) fn next(state: State, trigger: Trigger) -> State {
    CHART.next(state, trigger).unwrap_or(state)
}

/// Loads the embedded chart.
///
/// # Errors
///
/// The chart does not fit the code.
pub fn load() -> Result<Chart<State, Trigger>> {
    let states = [State::Alive, State::Suspect, State::Leaving, State::Dead];
    let events = [
        Trigger::Fresh,
        Trigger::Silent,
        Trigger::Expired,
        Trigger::Left,
        Trigger::Departed,
        Trigger::Renewed,
    ];
    Chart::new(include_str!("member.yaml"), &states, &events)
}
