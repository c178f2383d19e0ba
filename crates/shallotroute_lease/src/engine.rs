//! What the holder of a lease knows of one engine; the chart is `engine.yaml`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_chart::{chart::Chart, machine::Machine};
use shallotroute_types::{fence::Fence, name::Name, version::Version};

/// A state of the chart.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// Its state has to be read.
    #[display("unknown")]
    Unknown,
    /// A read is in flight.
    #[display("reading")]
    Reading,
    /// Earlier commands may still take effect, or the engine could not be read.
    #[display("settling")]
    Settling,
    /// Its state is known.
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
    #[display("asked")]
    Asked,
    /// The state was read and no earlier command can change it.
    #[display("confirmed")]
    Confirmed,
    /// The state has to be read again later.
    #[display("deferred")]
    Deferred,
    /// The time to read again has come.
    #[display("due")]
    Due,
    /// A command was sent.
    #[display("commanded")]
    Commanded,
    /// The command is done.
    #[display("done")]
    Done,
    /// Something contradicts what is known.
    #[display("doubted")]
    Doubted,
    /// The lease has a new fencing number.
    #[display("reset")]
    Reset,
}

/// The chart of an engine.
pub type EngineChart = Chart<Phase, Trigger>;

/// The embedded chart; a test loads it.
static CHART: LazyLock<Arc<EngineChart>> =
    LazyLock::new(|| Arc::new(load().expect("the embedded chart is valid")));

/// Loads the embedded chart.
///
/// # Errors
///
/// The chart does not fit the code.
pub fn load() -> shallotroute_chart::error::Result<EngineChart> {
    let states = [
        Phase::Unknown,
        Phase::Reading,
        Phase::Settling,
        Phase::Known,
        Phase::Commanding,
    ];
    let events = [
        Trigger::Asked,
        Trigger::Confirmed,
        Trigger::Deferred,
        Trigger::Due,
        Trigger::Commanded,
        Trigger::Done,
        Trigger::Doubted,
        Trigger::Reset,
    ];
    Chart::new(include_str!("engine.yaml"), &states, &events)
}

/// What an engine reported of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Changes with each start of the engine.
    pub incarnation: u64,
    /// The version of each model that is loaded whole.
    pub models: BTreeMap<Name, Version>,
    /// Whether weights are being replaced.
    pub swapping: bool,
    /// The highest fencing number seen; 0 when the engine ignores them.
    pub fence: Fence,
}

/// The version of a model that an engine should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The version.
    pub version: Version,
    /// An engine that has the weights; without one they come from the weight store.
    pub source: Option<SocketAddr>,
}

/// A command in flight.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) serial: u64,
    pub(crate) model: Name,
    pub(crate) version: Version,
    pub(crate) at: Instant,
}

/// One engine in the view of the holder.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) machine: Machine<Phase, Trigger>,
    pub(crate) targets: BTreeMap<Name, Target>,
    pub(crate) report: Report,
    pub(crate) sent: Option<Sent>,
    /// A command of this node whose answer was lost.
    pub(crate) lost: Option<Sent>,
    /// The read in flight and when it was sent.
    pub(crate) asked: Option<(u64, Instant)>,
    /// When the commands of former holders have ended at the latest.
    pub(crate) settled: Instant,
    /// When the settling phase ends.
    pub(crate) due: Instant,
    /// Whether the engine refused the current fencing number.
    pub(crate) fenced: bool,
}

impl Engine {
    pub(crate) fn new(settled: Instant) -> Self {
        Self {
            machine: Machine::new(Arc::clone(&CHART)),
            targets: BTreeMap::new(),
            report: Report::default(),
            sent: None,
            lost: None,
            asked: None,
            settled,
            due: settled,
            fenced: false,
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.machine.state()
    }

    /// Puts off the next read.
    pub(crate) fn defer(&mut self, due: Instant) {
        self.due = due;
        self.machine.fire(Trigger::Deferred);
    }

    /// Tells whether a report that was asked for at `asked` can't be overtaken by an earlier command.
    pub(crate) fn is_settled(&self, report: &Report, asked: Instant, timeout: Duration) -> bool {
        // An engine that checks fencing numbers refuses late commands of former holders itself.
        let others = asked >= self.settled || report.fence > Fence(0);
        let own = self.lost.as_ref().is_none_or(|lost| {
            asked >= lost.at + timeout || report.models.get(&lost.model) == Some(&lost.version)
        });
        others && own && !report.swapping
    }

    /// Returns a model that should have another version.
    pub(crate) fn outdated(&self) -> Option<(&Name, &Target)> {
        let outdated = |(model, target): &(&Name, &Target)| {
            self.report.models.get(*model) != Some(&target.version)
        };
        self.targets.iter().find(outdated)
    }
}
