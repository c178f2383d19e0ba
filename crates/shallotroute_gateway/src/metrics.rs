//! Defines the metrics of callers' requests.

use std::time::Duration;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use shallotroute_types::{class::Class, outcome::Outcome};

/// The upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The metrics of all requests.
pub(crate) struct Metrics {
    classes: [ClassMetrics; Class::ALL.len()],
    refusals: Family<RefusalLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) interruptions: Counter,
    pub(crate) replays: Counter,
}

/// The metrics of one class, looked up once and not for each request.
struct ClassMetrics {
    in_progress: Gauge,
    seconds: Histogram,
    ran: Counter,
    not_run: Counter,
    unknown: Counter,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    class: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: &'static str,
}

impl Metrics {
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("requests");
        let finished = Family::<OutcomeLabels, Counter>::default();
        let in_progress = Family::<ClassLabels, Gauge>::default();
        let seconds = Family::<ClassLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(LATENCY_BUCKETS)
        });
        let refusals = Family::<RefusalLabels, Counter>::default();
        let (retries, interruptions, replays) = <(Counter, Counter, Counter)>::default();
        registry.register("finished", "Requests that have ended", finished.clone());
        registry.register("in_progress", "Requests in progress", in_progress.clone());
        registry.register("seconds", "Time to the end of a response", seconds.clone());
        registry.register("refused", "Requests that got an error", refusals.clone());
        registry.register("retries", "Attempts after the first one", retries.clone());
        registry.register("cut", "Responses that broke off", interruptions.clone());
        registry.register("replays", "Stored responses sent again", replays.clone());
        let classes = Class::ALL.map(|class| {
            let labels = ClassLabels {
                class: class.to_string(),
            };
            ClassMetrics {
                in_progress: in_progress.get_or_create(&labels).clone(),
                seconds: seconds.get_or_create(&labels).clone(),
                ran: counter(&finished, class, Outcome::Ran),
                not_run: counter(&finished, class, Outcome::NotRun),
                unknown: counter(&finished, class, Outcome::Unknown),
            }
        });
        Self {
            classes,
            refusals,
            retries,
            interruptions,
            replays,
        }
    }

    pub(crate) fn record_start(&self, class: Class) {
        self.for_class(class).in_progress.inc();
    }

    pub(crate) fn record_finish(&self, class: Class, outcome: Outcome, elapsed: Duration) {
        let counters = self.for_class(class);
        counters.in_progress.dec();
        counters.seconds.observe(elapsed.as_secs_f64());
        match outcome {
            Outcome::Ran => counters.ran.inc(),
            Outcome::NotRun => counters.not_run.inc(),
            Outcome::Unknown => counters.unknown.inc(),
        };
    }

    pub(crate) fn record_refusal(&self, code: &'static str) {
        self.refusals.get_or_create(&RefusalLabels { code }).inc();
    }

    fn for_class(&self, class: Class) -> &ClassMetrics {
        match class {
            Class::Interactive => &self.classes[0],
            Class::Training => &self.classes[1],
            Class::Batch => &self.classes[2],
        }
    }
}

fn counter(family: &Family<OutcomeLabels, Counter>, class: Class, outcome: Outcome) -> Counter {
    let labels = OutcomeLabels {
        class: class.to_string(),
        outcome: outcome.to_string(),
    };
    family.get_or_create(&labels).clone()
}
