//! The scenarios: their nodes, engines and trainers, request rates, and faults with their times.

use std::time::Duration;

use crate::fault::Fault;

/// A scenario and its parameters.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    /// The availability zone of each node; there are as many nodes as entries.
    pub(crate) zones: Vec<&'static str>,
    /// Number of engines that sample for the trainers; they also serve half of the quotes and all
    /// batch requests.
    pub(crate) samplers: usize,
    /// Number of engines of the quote desk or refill stations; they serve the other half of the
    /// quotes.
    pub(crate) quote_samplers: usize,
    pub(crate) trainers: Vec<Trainer>,
    /// Arrival rates of requests and publications.
    pub(crate) rates: Rates,
    pub(crate) engine: EngineProfile,
    /// The faults in order of time, each with its time after the start of the load.
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// How long requests are generated; trainers may finish their steps after it.
    pub(crate) duration: Duration,
}

/// The parameters of a simulated trainer.
#[derive(Clone, Debug)]
pub(crate) struct Trainer {
    pub(crate) name: &'static str,
    pub(crate) groups: u32,
    pub(crate) group_size: u32,
    /// Time to train on the samples of one step.
    pub(crate) train_time: Duration,
    /// Steps that are submitted before the samples of the current one are complete.
    pub(crate) steps_ahead: u64,
    pub(crate) staleness_bound: u64,
    /// The field `idle_weight` of the trainer object.
    pub(crate) idle_weight: f64,
}

/// Mean arrivals per second of Poisson processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    /// Quotes; half of them go to the shared samplers.
    pub(crate) quotes: f64,
    /// Orders, which must not run twice.
    pub(crate) orders: f64,
    /// Requests of the nightly reconciliation.
    pub(crate) batch: f64,
    /// Publications; each changes one object.
    pub(crate) publications: f64,
}

/// The parameters that all engines of a scenario share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineProfile {
    pub(crate) slots: u32,
    pub(crate) tokens_per_second: f64,
    /// Median of the log-normal length of an output.
    pub(crate) median_tokens: f64,
    /// Standard deviation of the logarithm of that length.
    pub(crate) sigma: f64,
    /// Time to load a version of the weights.
    pub(crate) load_time: Duration,
    /// Whether engines reject commands whose fencing number is lower than one seen before.
    pub(crate) has_fencing: bool,
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Scenario {
    /// The names and descriptions that `--list` prints.
    pub(crate) const DESCRIPTIONS: [(&str, &str); 12] = [
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

    /// Returns the scenario with this name of the command line.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        let scenario = match name {
            "association" => Self::association(),
            "puhasvoog" => Self::puhasvoog(),
            "two-trainers" => Self::two_trainers(),
            "stragglers" => Self::stragglers(),
            "weight-swaps" => Self::weight_swaps(),
            "kv-outage" => Self::small("kv-outage")
                .with_fault(1, Fault::StoreSlow)
                .with_fault(5, Fault::StoreDown)
                .with_fault(9, Fault::StoreUp),
            "paused-holder" => Self::paused_holder(),
            "node-crash" => Self::small("node-crash")
                .with_fault(3, Fault::KillOwner)
                .with_fault(8, Fault::RestartNode),
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
            engine: EngineProfile {
                slots: 8,
                tokens_per_second: 1_000.0,
                median_tokens: 60.0,
                sigma: 1.0,
                load_time: millis(100),
                has_fencing: true,
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

    /// Returns a scenario with three nodes and four samplers, so that a fault affects a large share
    /// of them.
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
            // Six samplers are about 80 % busy when no trainer waits. With fewer, trainers wait for
            // lack of capacity, which no order of the steps can shorten.
            samplers: 6,
            trainers: vec![large, small],
            ..Self::small("two-trainers")
        }
    }

    fn stragglers() -> Self {
        let mut scenario = Self::small("stragglers");
        scenario.engine.sigma = 1.6;
        scenario.engine.median_tokens = 30.0;
        // As long as the longest sample takes on a sampler at normal speed.
        scenario.trainers[0].train_time = seconds(1);
        // On a slow engine, samples of ordinary length become stragglers.
        scenario.faults.push((seconds(0), Fault::SlowEngine(4.0)));
        scenario
    }

    fn weight_swaps() -> Self {
        let mut scenario = Self::small("weight-swaps");
        scenario.trainers[0].train_time = millis(200);
        scenario.trainers[0].groups = 8;
        scenario.engine.load_time = millis(300);
        scenario
            .with_fault(4, Fault::PartialSwaps(true))
            .with_fault(6, Fault::PartialSwaps(false))
    }

    fn paused_holder() -> Self {
        let mut scenario = Self::small("paused-holder");
        scenario.engine.has_fencing = false;
        scenario
            .with_fault(3, Fault::PauseOwner)
            .with_fault(9, Fault::ResumeNode)
    }

    fn engine_crash() -> Self {
        Self::small("engine-crash")
            .with_fault(3, Fault::CrashEngine)
            .with_fault(5, Fault::RestartEngine)
            .with_fault(6, Fault::BadStreams(true))
            .with_fault(9, Fault::BadStreams(false))
    }

    fn leaving_server() -> Self {
        Self::small("leaving-server")
            .with_fault(2, Fault::EngineLeaves)
            .with_fault(3, Fault::ServiceLeaves)
            .with_fault(4, Fault::OperatorLeaves)
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
            .with_fault(1, Fault::StoreSlow)
            .with_fault(2, Fault::EngineLeaves)
            .with_fault(2, Fault::CrashEngine)
            .with_fault(2, Fault::PauseOwner)
            .with_fault(3, Fault::PartialSwaps(true))
            .with_fault(4, Fault::RestartEngine)
            .with_fault(4, Fault::StoreDown)
            .with_fault(5, Fault::StoreUp)
            .with_fault(6, Fault::KillOwner)
            .with_fault(7, Fault::ResumeNode)
            .with_fault(7, Fault::PartialSwaps(false))
            .with_fault(7, Fault::RestartNode)
            .with_fault(7, Fault::OperatorLeaves)
            .with_fault(8, Fault::StoreSlow)
            .with_fault(8, Fault::ServiceLeaves)
            .with_fault(8, Fault::CrashEngine)
            .with_fault(8, Fault::BadStreams(true))
            .with_fault(8, Fault::PauseOwner)
            .with_fault(10, Fault::RestartEngine)
            .with_fault(10, Fault::StoreDown)
            .with_fault(11, Fault::StoreUp)
            .with_fault(12, Fault::KillOwner)
            .with_fault(13, Fault::ResumeNode)
            .with_fault(13, Fault::RestartNode)
            .with_fault(13, Fault::BadStreams(false))
    }

    /// Adds a fault that occurs `after` seconds; faults must be added in order of time.
    fn with_fault(mut self, after: u64, fault: Fault) -> Self {
        self.faults.push((seconds(after), fault));
        self
    }
}

impl Trainer {
    /// Returns a trainer of 16 groups of 8 samples a step.
    fn new(name: &'static str, idle_weight: f64) -> Self {
        Self {
            name,
            groups: 16,
            group_size: 8,
            train_time: millis(500),
            steps_ahead: 1,
            staleness_bound: 2,
            idle_weight,
        }
    }
}
