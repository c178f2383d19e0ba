//! The metrics of trainers' steps.

use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use shallotroute_rollout::counters::Table;
use shallotroute_types::name::Name;

/// The label set of a metric by trainer.
type Label = [(&'static str, String); 1];

/// The upper bounds of the staleness histogram, in versions.
const STALENESS_BUCKETS: [f64; 8] = [0.0, 1.0, 2.0, 3.0, 4.0, 8.0, 16.0, 32.0];

/// The metrics of one node, by trainer except for the ledger's.
#[derive(Clone)]
pub(crate) struct Metrics {
    started: Family<Label, Counter>,
    delivered: Family<Label, Counter>,
    doomed: Family<Label, Counter>,
    replaced: Family<Label, Counter>,
    hedged: Family<Label, Counter>,
    cancelled: Family<Label, Counter>,
    failed: Family<Label, Counter>,
    foreign: Family<Label, Counter>,
    malformed: Family<Label, Counter>,
    wait: Family<Label, Counter<f64, std::sync::atomic::AtomicU64>>,
    staleness: Family<Label, Histogram>,
    ledger_waiting: Gauge,
    ledger_dropped: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them with the prefix `rollout`.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            started: Family::default(),
            delivered: Family::default(),
            doomed: Family::default(),
            replaced: Family::default(),
            hedged: Family::default(),
            cancelled: Family::default(),
            failed: Family::default(),
            foreign: Family::default(),
            malformed: Family::default(),
            wait: Family::default(),
            staleness: Family::new_with_constructor(|| Histogram::new(STALENESS_BUCKETS)),
            ledger_waiting: Gauge::default(),
            ledger_dropped: Gauge::default(),
        };
        metrics.register(registry.sub_registry_with_prefix("rollout"));
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        for (name, help, family) in self.counters() {
            registry.register(name, help, family.clone());
        }
        self.register_others(registry);
    }

    /// Returns the name, HELP text and metric of each counter.
    fn counters(&self) -> [(&'static str, &'static str, &Family<Label, Counter>); 9] {
        [
            (
                "attempts_started",
                "Attempts started, second ones included",
                &self.started,
            ),
            (
                "samples_delivered",
                "Samples in answers to pulls",
                &self.delivered,
            ),
            (
                "samples_doomed",
                "Samples given up as too stale",
                &self.doomed,
            ),
            (
                "samples_replaced",
                "New attempts at doomed samples",
                &self.replaced,
            ),
            ("attempts_hedged", "Second attempts", &self.hedged),
            ("attempts_cancelled", "Attempts cancelled", &self.cancelled),
            ("attempts_failed", "Attempts that failed", &self.failed),
            ("events_foreign", "Events of another attempt", &self.foreign),
            (
                "answers_malformed",
                "Answers with missing or repeated tokens",
                &self.malformed,
            ),
        ]
    }

    /// Registers the metrics that are not plain counters.
    fn register_others(&self, registry: &mut Registry) {
        registry.register(
            "trainer_wait_seconds",
            "Seconds that answered pulls were open",
            self.wait.clone(),
        );
        registry.register(
            "staleness_versions",
            "Staleness of delivered samples",
            self.staleness.clone(),
        );
        registry.register(
            "ledger_waiting_groups",
            "Delivered groups that are not in the ledger yet",
            self.ledger_waiting.clone(),
        );
        registry.register(
            "ledger_dropped_groups",
            "Delivered groups that never came into the ledger",
            self.ledger_dropped.clone(),
        );
    }

    /// Adds the counts that a scheduler has collected since the last call.
    pub(crate) fn add_counters(&self, table: &Table) {
        for (trainer, counters) in table.iter() {
            let label = trainer_label(trainer);
            let add = |family: &Family<Label, Counter>, count| {
                family.get_or_create(&label).inc_by(count);
            };
            add(&self.started, counters.started);
            add(&self.delivered, counters.delivered);
            add(&self.doomed, counters.doomed);
            add(&self.replaced, counters.replaced);
            add(&self.hedged, counters.hedged);
            add(&self.cancelled, counters.cancelled);
            add(&self.failed, counters.failed);
            add(&self.foreign, counters.foreign);
            add(&self.malformed, counters.malformed);
            for wait in &counters.pull_waits {
                self.wait.get_or_create(&label).inc_by(wait.as_secs_f64());
            }
            for versions_behind in &counters.staleness {
                self.staleness
                    .get_or_create(&label)
                    .observe(*versions_behind as f64);
            }
        }
    }

    /// Sets the ledger's numbers of buffered and of dropped groups.
    pub(crate) fn set_ledger_counts(&self, (waiting, dropped): (usize, u64)) {
        self.ledger_waiting.set(waiting as i64);
        self.ledger_dropped.set(dropped as i64);
    }
}

fn trainer_label(trainer: &Name) -> Label {
    [("trainer", trainer.to_string())]
}
