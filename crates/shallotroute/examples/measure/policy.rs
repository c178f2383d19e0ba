//! The policies that a run can compare.

use serde_json::json;
use shallotroute_standin::configuration::Configuration;

/// What differs from the service's defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Nothing.
    Default,
    /// All baselines together, with the fewest requests in progress for selection.
    Baseline,
    /// Backend servers one after the other.
    RoundRobin,
    /// The backend server with the fewest requests in progress.
    LeastLoaded,
    /// No second attempts and no priority at the tail of a step.
    NoTail,
    /// A higher priority for the last samples of a step.
    TailPriority,
    /// All samplers change to a new version at once.
    AllAtOnce,
    /// Steps in the order of their arrival.
    Fcfs,
    /// Weighted fair shares.
    Fair,
    /// Steps by middle finish time.
    Joint,
}

impl Policy {
    pub(crate) const ALL: [Self; 10] = [
        Self::Default,
        Self::Baseline,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::NoTail,
        Self::TailPriority,
        Self::AllAtOnce,
        Self::Fcfs,
        Self::Fair,
        Self::Joint,
    ];

    pub(crate) fn new(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Default => "default",
            Self::Baseline => "baseline",
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::NoTail => "no_tail",
            Self::TailPriority => "tail_priority",
            Self::AllAtOnce => "all_at_once",
            Self::Fcfs => "fcfs",
            Self::Fair => "fair",
            Self::Joint => "joint",
        }
    }

    /// Returns what the policy changes.
    pub(crate) const fn description(self) -> &'static str {
        match self {
            Self::Default => "the product's defaults",
            Self::Baseline => "all baselines together: round_robin, no_tail, all_at_once, fcfs",
            Self::RoundRobin => "engines one after the other",
            Self::LeastLoaded => "the engine with the fewest requests",
            Self::NoTail => "no second attempts at the tail of a step",
            Self::TailPriority => "a higher priority at the tail of a step",
            Self::AllAtOnce => "all samplers change to a new version at the same time",
            Self::Fcfs => "trainers' steps first come, first served",
            Self::Fair => "weighted fair shares between trainers' steps",
            Self::Joint => "trainers' steps by middle finish time",
        }
    }

    /// Returns the field `selection` of a pool.
    pub(crate) const fn selection(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded | Self::Baseline => "least_loaded",
            _ => "adaptive",
        }
    }

    /// Sets the policy in a trainer object.
    pub(crate) fn apply(self, configuration: &mut Configuration, trainer: &str) {
        let fields: &[(&str, &str)] = match self {
            Self::Default | Self::RoundRobin | Self::LeastLoaded => &[],
            Self::Baseline => &[("tail", "none"), ("swap", "all_at_once"), ("order", "fcfs")],
            Self::NoTail => &[("tail", "none")],
            Self::TailPriority => &[("tail", "priority")],
            Self::AllAtOnce => &[("swap", "all_at_once")],
            Self::Fcfs => &[("order", "fcfs")],
            Self::Fair => &[("order", "fair")],
            Self::Joint => &[("order", "joint")],
        };
        for (field, value) in fields {
            configuration.set("trainer", trainer, field, &json!(value));
        }
    }
}
