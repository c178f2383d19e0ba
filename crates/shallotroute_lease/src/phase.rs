//! The states and events of a lease at one node; the state chart is `lease.yaml`.

use std::sync::{Arc, LazyLock};

use derive_more::Display;
use shallotroute_chart::chart::Chart;

/// The state of a lease at one node, a state of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// The node does not want the lease.
    #[display("idle")]
    Idle,
    /// The node reads the record until no other node can hold the lease.
    #[display("observing")]
    Observing,
    /// The write that claims the lease is in flight.
    #[display("acquiring")]
    Acquiring,
    /// The node holds the lease.
    #[display("held")]
    Held,
    /// The node gives the lease up and removes itself from the record.
    #[display("releasing")]
    Releasing,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Trigger {
    /// The node wants the lease.
    #[display("wanted")]
    Wanted,
    /// The node no longer wants the lease.
    #[display("unwanted")]
    Unwanted,
    /// The write that claims the lease was sent.
    #[display("claim_sent")]
    ClaimSent,
    /// A write of this node is known to have taken effect, and its lease has not expired.
    #[display("confirmed")]
    Confirmed,
    /// The write that claims the lease failed, or was confirmed after the lease's end.
    #[display("claim_failed")]
    ClaimFailed,
    /// The lease expired.
    #[display("expired")]
    Expired,
    /// The record has another holder.
    #[display("taken_over")]
    TakenOver,
    /// The write of the release was sent, is not necessary, or was given up.
    #[display("released")]
    Released,
}

/// The state chart of a lease.
pub type PhaseChart = Chart<Phase, Trigger>;

/// The embedded chart. A test checks that it is valid.
pub(crate) static CHART: LazyLock<Arc<PhaseChart>> =
    LazyLock::new(|| Arc::new(load().expect("the embedded chart is valid")));

/// Loads the embedded chart.
///
/// # Errors
///
/// The chart is invalid, or its states and events differ from [`Phase`] and [`Trigger`].
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
        Trigger::ClaimSent,
        Trigger::Confirmed,
        Trigger::ClaimFailed,
        Trigger::Expired,
        Trigger::TakenOver,
        Trigger::Released,
    ];
    Chart::new(include_str!("lease.yaml"), &states, &events)
}
