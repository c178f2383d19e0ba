//! The state of one engine as the holder of the lease knows it; the state chart is `engine.yaml`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_chart::{chart::Chart, machine::Machine};
use shallotroute_types::{fence::Fence, name::Name, version::Version};

/// How far the state of an engine is known, a state of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// The engine's state has to be read.
    #[display("unknown")]
    Unknown,
    /// A read of the engine's state is in flight.
    #[display("reading")]
    Reading,
    /// Earlier commands may still take effect, or a call failed; the engine is read again later.
    #[display("settling")]
    Settling,
    /// The engine's state is known; a command may be sent.
    #[display("known")]
    Known,
    /// A command is in flight.
    #[display("commanding")]
    Commanding,
}

/// An event of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Trigger {
    /// A read was sent.
    #[display("read_sent")]
    ReadSent,
    /// The state was read and no earlier command can still change it.
    #[display("confirmed")]
    Confirmed,
    /// The state has to be read again, after a delay.
    #[display("deferred")]
    Deferred,
    /// The delay before the next read is over.
    #[display("retry_due")]
    RetryDue,
    /// A command was sent.
    #[display("command_sent")]
    CommandSent,
    /// The command succeeded.
    #[display("command_done")]
    CommandDone,
    /// The engine reported an incarnation that contradicts the known state.
    #[display("invalidated")]
    Invalidated,
    /// The lease has a new fencing number.
    #[display("reset")]
    Reset,
}

/// The state chart of an engine.
pub type EngineChart = Chart<Phase, Trigger>;

/// The embedded chart. A test checks that it is valid.
static CHART: LazyLock<Arc<EngineChart>> =
    LazyLock::new(|| Arc::new(load().expect("the embedded chart is valid")));

/// Loads the embedded chart.
///
/// # Errors
///
/// The chart is invalid, or its states and events differ from [`Phase`] and [`Trigger`].
pub fn load() -> shallotroute_chart::error::Result<EngineChart> {
    let states = [
        Phase::Unknown,
        Phase::Reading,
        Phase::Settling,
        Phase::Known,
        Phase::Commanding,
    ];
    let events = [
        Trigger::ReadSent,
        Trigger::Confirmed,
        Trigger::Deferred,
        Trigger::RetryDue,
        Trigger::CommandSent,
        Trigger::CommandDone,
        Trigger::Invalidated,
        Trigger::Reset,
    ];
    Chart::new(include_str!("engine.yaml"), &states, &events)
}

/// The state that an engine reported.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The incarnation of the engine's process, which changes with each start.
    pub incarnation: u64,
    /// The version of each model and adapter that is completely loaded.
    pub models: BTreeMap<Name, Version>,
    /// Whether the engine is replacing weights.
    pub swapping: bool,
    /// The highest fencing number that the engine has seen; 0 when it ignores fencing numbers.
    pub fence: Fence,
}

/// The version of a model that an engine should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The version of the weights.
    pub version: Version,
    /// The address of an engine to copy the weights from; `None` for the weight store.
    pub source: Option<SocketAddr>,
}

/// A command that was sent to an engine.
#[derive(Clone, Debug)]
pub(crate) struct SentCommand {
    pub(crate) serial: u64,
    pub(crate) model: Name,
    pub(crate) version: Version,
    pub(crate) sent_at: Instant,
}

/// One engine as the holder of the lease knows it.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) machine: Machine<Phase, Trigger>,
    /// The version that each model is to have.
    pub(crate) targets: BTreeMap<Name, Target>,
    /// The state as last read and changed by commands since; only valid in [`Phase::Known`].
    pub(crate) report: Report,
    pub(crate) command_in_flight: Option<SentCommand>,
    /// A command of this node whose response was lost; it may still take effect.
    pub(crate) lost_command: Option<SentCommand>,
    /// The serial of the read in flight, and when the read was sent.
    pub(crate) read_in_flight: Option<(u64, Instant)>,
    /// When the last command of a former holder has ended or will never take effect.
    pub(crate) former_commands_end: Instant,
    /// When [`Phase::Settling`] ends.
    pub(crate) next_read_at: Instant,
    /// Whether the engine refused the current fencing number.
    pub(crate) is_fenced: bool,
}

impl Engine {
    pub(crate) fn new(former_commands_end: Instant) -> Self {
        Self {
            machine: Machine::new(Arc::clone(&CHART)),
            targets: BTreeMap::new(),
            report: Report::default(),
            command_in_flight: None,
            lost_command: None,
            read_in_flight: None,
            former_commands_end,
            next_read_at: former_commands_end,
            is_fenced: false,
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.machine.state()
    }

    /// Schedules the next read of the engine's state for `next_read_at`.
    pub(crate) fn defer(&mut self, next_read_at: Instant) {
        self.next_read_at = next_read_at;
        self.machine.fire(Trigger::Deferred);
    }

    /// Returns whether no earlier command can still change the state in a report that was requested
    /// at `read_sent_at`.
    pub(crate) fn is_conclusive(
        &self,
        report: &Report,
        read_sent_at: Instant,
        command_timeout: Duration,
    ) -> bool {
        // An engine that checks fencing numbers refuses late commands of former holders itself.
        let excludes_former = read_sent_at >= self.former_commands_end || report.fence > Fence(0);
        let excludes_own = self.lost_command.as_ref().is_none_or(|lost| {
            read_sent_at >= lost.sent_at + command_timeout
                || report.models.get(&lost.model) == Some(&lost.version)
        });
        excludes_former && excludes_own && !report.swapping
    }

    /// Returns a model whose loaded version differs from its target, or `None` when there is none.
    pub(crate) fn outdated_model(&self) -> Option<(&Name, &Target)> {
        let is_outdated = |(model, target): &(&Name, &Target)| {
            self.report.models.get(*model) != Some(&target.version)
        };
        self.targets.iter().find(is_outdated)
    }
}
