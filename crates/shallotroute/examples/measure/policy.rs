//! Scheduling policies that can be compared by running a scenario under each.

use serde_json::json;
use shallotroute_standin::configuration::Configuration;

/// A policy, by what it changes in the service's default configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// No change.
    Default,
    /// `LeastLoaded`, `NoTail`, `AllAtOnce` and `Fcfs` together.
    Baseline,
    /// Selects backend servers in turn.
    RoundRobin,
    /// Selects the backend server with the fewest requests in progress.
    LeastLoaded,
    /// Neither hedged attempts nor a higher priority for the last samples of a step.
    NoTail,
    /// A higher priority for the last samples of a step.
    TailPriority,
    /// Swaps all samplers to a new version of the weights at once, instead of in waves.
    AllAtOnce,
    /// Orders trainers' steps by arrival.
    Fcfs,
    /// Shares engines between trainers' steps by weight.
    Fair,
    /// Orders trainers' steps by middle finish time.
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

    /// Returns the policy with this name of the command line.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
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

    /// Returns the text that `--list` prints.
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

    /// Returns the value of the field `selection` in the configuration of each engine pool.
    pub(crate) const fn selection(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded | Self::Baseline => "least_loaded",
            _ => "adaptive",
        }
    }

    /// Sets the fields of the named trainer's object that the policy changes.
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
