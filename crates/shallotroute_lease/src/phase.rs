//! The phases of a lease at one node, as the chart `lease.yaml` has them.

use std::sync::{Arc, LazyLock};

use derive_more::Display;
use shallotroute_chart::chart::Chart;

/// A state of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// The node does not want the lease.
    #[display("idle")]
    Idle,
    /// The node reads the record.
    #[display("observing")]
    Observing,
    /// The write that acquires the lease is in flight.
    #[display("acquiring")]
    Acquiring,
    /// The node holds the lease.
    #[display("held")]
    Held,
    /// The node gives the lease up.
    #[display("releasing")]
    Releasing,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Trigger {
    /// The node wants the lease.
    #[display("wanted")]
    Wanted,
    /// The node no longer wants it.
    #[display("unwanted")]
    Unwanted,
    /// The write that acquires it was sent.
    #[display("claimed")]
    Claimed,
    /// A write of this node is in force and its deadline lies ahead.
    #[display("confirmed")]
    Confirmed,
    /// The write that acquires it failed or came too late.
    #[display("refused")]
    Refused,
    /// The deadline passed.
    #[display("expired")]
    Expired,
    /// The record has another holder.
    #[display("taken")]
    Taken,
    /// The release was written or is not necessary.
    #[display("vacated")]
    Vacated,
}

/// The chart of a lease.
pub type PhaseChart = Chart<Phase, Trigger>;

/// The embedded chart; a test loads it.
pub(crate) static CHART: LazyLock<Arc<PhaseChart>> =
    LazyLock::new(|| Arc::new(load().expect("the embedded chart is valid")));

/// Loads the embedded chart.
///
/// # Errors
///
/// The chart does not fit the code.
pub fn load() -> shallotroute_chart::error::Result<PhaseChart> {
    let states = [
        Phase::Idle,
        Phase::Observing,
        Phase::Acquiring,
        Phase::Held,
        Phase::Releasing,
    ];
    let events = [
        Trigger::Wanted,
        Trigger::Unwanted,
        Trigger::Claimed,
        Trigger::Confirmed,
        Trigger::Refused,
        Trigger::Expired,
        Trigger::Taken,
        Trigger::Vacated,
    ];
    Chart::new(include_str!("lease.yaml"), &states, &events)
}
