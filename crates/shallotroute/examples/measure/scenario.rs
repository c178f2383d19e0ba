//! The scenarios: what stands where, who asks for what, and what goes wrong when.

use std::time::Duration;

use crate::fault::Fault;

/// One scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    /// The availability zone of each node.
    pub(crate) zones: Vec<&'static str>,
    /// Engines that sample for the trainers and serve the first half of the quotes.
    pub(crate) samplers: usize,
    /// Engines of the quote desk or refill station.
    pub(crate) quote_samplers: usize,
    pub(crate) trainers: Vec<Trainer>,
    /// Requests a second.
    pub(crate) rates: Rates,
    pub(crate) engine: Engine,
    /// What goes wrong and when, counted from the start of the load.
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// How long load is driven.
    pub(crate) duration: Duration,
}

/// One trainer.
#[derive(Clone, Debug)]
pub(crate) struct Trainer {
    pub(crate) name: &'static str,
    pub(crate) groups: u32,
    pub(crate) group_size: u32,
    pub(crate) train_time: Duration,
    pub(crate) ahead: u64,
    pub(crate) staleness_bound: u64,
    pub(crate) idle_weight: f64,
}

/// Requests a second by kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    pub(crate) quotes: f64,
    /// Orders, which must not run twice.
    pub(crate) orders: f64,
    /// Requests of the nightly reconciliation.
    pub(crate) batch: f64,
    /// Publications; each changes one object.
    pub(crate) publications: f64,
}

/// The properties that all engines share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Engine {
    pub(crate) slots: u32,
    pub(crate) tokens_per_second: f64,
    pub(crate) median_tokens: f64,
    pub(crate) sigma: f64,
    pub(crate) load_time: Duration,
    pub(crate) fencing: bool,
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Scenario {
    pub(crate) const LIST: [(&str, &str); 12] = [
        (
            "association",
            "9 nodes in the Association's zones, 8 samplers of one trainer, 3 of the quote desk",
        ),
        (
            "puhasvoog",
            "9 nodes in Puhasvoog's zones, 8 samplers of one trainer, 4 of the refill stations",
        ),
        ("two-trainers", "two trainers share the engines of one pool"),
        (
            "stragglers",
            "a few samples of each step run far longer than the rest",
        ),
        ("weight-swaps", "swaps of weights fail partway"),
        (
            "kv-outage",
            "the key-value service is down, slow, and loses answers after the write",
        ),
        (
            "paused-holder",
            "the node that commands the engines is paused past its lease",
        ),
        ("node-crash", "a node is killed in the middle of a step"),
        (
            "engine-crash",
            "engines crash and start again with old weights",
        ),
        (
            "leaving-server",
            "backend servers leave, shown by the list, the operator or themselves",
        ),
        ("operators-race", "operators publish at the same moment"),
        ("everything", "all of these faults together and twice"),
    ];

    pub(crate) fn new(name: &str) -> Option<Self> {
        let scenario = match name {
            "association" => Self::association(),
            "puhasvoog" => Self::puhasvoog(),
            "two-trainers" => Self::two_trainers(),
            "stragglers" => Self::stragglers(),
            "weight-swaps" => Self::weight_swaps(),
            "kv-outage" => Self::small("kv-outage")
                .with(1, Fault::StoreSlow)
                .with(5, Fault::StoreDown)
                .with(9, Fault::StoreUp),
            "paused-holder" => Self::paused_holder(),
            "node-crash" => Self::small("node-crash")
                .with(3, Fault::KillOwner)
                .with(8, Fault::RestartNode),
            "engine-crash" => Self::engine_crash(),
            "leaving-server" => Self::leaving_server(),
            "operators-race" => Self::operators_race(),
            "everything" => Self::everything(),
            _ => return None,
        };
        Some(scenario)
    }

    fn association() -> Self {
        Self {
            name: "association",
            region: "lk-west",
            zones: ["colombo", "gampaha", "kalutara"].repeat(3),
            samplers: 8,
            quote_samplers: 3,
            trainers: vec![Trainer::new("pricing", 0.8)],
            rates: Rates {
                quotes: 60.0,
                orders: 20.0,
                batch: 10.0,
                publications: 0.5,
            },
            engine: Engine {
                slots: 8,
                tokens_per_second: 1_000.0,
                median_tokens: 60.0,
                sigma: 1.0,
                load_time: millis(100),
                fencing: true,
            },
            faults: Vec::new(),
            duration: seconds(10),
        }
    }

    fn puhasvoog() -> Self {
        let mut trainer = Trainer::new("dosing", 0.2);
        trainer.staleness_bound = 1;
        Self {
            name: "puhasvoog",
            region: "ee-main",
            zones: ["tln-a", "tln-b", "trt-a", "nrv-a"].repeat(2),
            quote_samplers: 4,
            trainers: vec![trainer],
            ..Self::association()
        }
    }

    /// Three nodes and four samplers, so that a fault hits a large share of them.
    fn small(name: &'static str) -> Self {
        Self {
            name,
            zones: vec!["colombo", "gampaha", "kalutara"],
            samplers: 4,
            quote_samplers: 2,
            duration: seconds(12),
            ..Self::association()
        }
    }

    fn two_trainers() -> Self {
        let mut large = Trainer::new("pricing", 0.8);
        large.groups = 48;
        large.train_time = millis(1_500);
        let mut small = Trainer::new("dosing", 0.8);
        small.groups = 8;
        small.train_time = millis(600);
        Self {
            // About 80 % of the slots are needed when no trainer waits. With fewer samplers the wait
            // is a lack of capacity, which no order of the steps can shorten.
            samplers: 6,
            trainers: vec![large, small],
            ..Self::small("two-trainers")
        }
    }

    fn stragglers() -> Self {
        let mut scenario = Self::small("stragglers");
        scenario.engine.sigma = 1.6;
        scenario.engine.median_tokens = 30.0;
        // As long as the longest sample takes on an ordinary sampler.
        scenario.trainers[0].train_time = seconds(1);
        // One slow engine makes stragglers out of samples of ordinary length.
        scenario.faults.push((seconds(0), Fault::SlowEngine(4.0)));
        scenario
    }

    fn weight_swaps() -> Self {
        let mut scenario = Self::small("weight-swaps");
        scenario.trainers[0].train_time = millis(200);
        scenario.trainers[0].groups = 8;
        scenario.engine.load_time = millis(300);
        scenario
            .with(4, Fault::PartialSwaps(true))
            .with(6, Fault::PartialSwaps(false))
    }

    fn paused_holder() -> Self {
        let mut scenario = Self::small("paused-holder");
        scenario.engine.fencing = false;
        scenario
            .with(3, Fault::PauseOwner)
            .with(9, Fault::ResumeNode)
    }

    fn engine_crash() -> Self {
        Self::small("engine-crash")
            .with(3, Fault::CrashEngine)
            .with(5, Fault::RestartEngine)
            .with(6, Fault::BadStreams(true))
            .with(9, Fault::BadStreams(false))
    }

    fn leaving_server() -> Self {
        Self::small("leaving-server")
            .with(2, Fault::EngineLeaves)
            .with(3, Fault::ServiceLeaves)
            .with(4, Fault::OperatorLeaves)
    }

    fn operators_race() -> Self {
        let mut scenario = Self::association();
        scenario.name = "operators-race";
        scenario.rates.publications = 20.0;
        scenario.duration = seconds(11);
        scenario
    }

    fn everything() -> Self {
        let mut scenario = Self::association();
        scenario.name = "everything";
        scenario.duration = seconds(14);
        scenario
            .with(1, Fault::StoreSlow)
            .with(2, Fault::EngineLeaves)
            .with(2, Fault::CrashEngine)
            .with(2, Fault::PauseOwner)
            .with(3, Fault::PartialSwaps(true))
            .with(4, Fault::RestartEngine)
            .with(4, Fault::StoreDown)
            .with(5, Fault::StoreUp)
            .with(6, Fault::KillOwner)
            .with(7, Fault::ResumeNode)
            .with(7, Fault::PartialSwaps(false))
            .with(7, Fault::RestartNode)
            .with(7, Fault::OperatorLeaves)
            .with(8, Fault::StoreSlow)
            .with(8, Fault::ServiceLeaves)
            .with(8, Fault::CrashEngine)
            .with(8, Fault::BadStreams(true))
            .with(8, Fault::PauseOwner)
            .with(10, Fault::RestartEngine)
            .with(10, Fault::StoreDown)
            .with(11, Fault::StoreUp)
            .with(12, Fault::KillOwner)
            .with(13, Fault::ResumeNode)
            .with(13, Fault::RestartNode)
            .with(13, Fault::BadStreams(false))
    }

    fn with(mut self, after: u64, fault: Fault) -> Self {
        self.faults.push((seconds(after), fault));
        self
    }
}

impl Trainer {
    fn new(name: &'static str, idle_weight: f64) -> Self {
        Self {
            name,
            groups: 16,
            group_size: 8,
            train_time: millis(500),
            ahead: 1,
            staleness_bound: 2,
            idle_weight,
        }
    }
}
