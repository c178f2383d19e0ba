//! Metrics of the control plane.

use std::{
    sync::atomic::{AtomicI64, AtomicU64},
    time::Instant,
};

use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use shallotroute_config::adoption::Adoption;
use shallotroute_types::revision::Revision;

/// The label set of the publication counter.
pub(crate) type ResultLabel = [(&'static str, &'static str); 1];

/// The control plane's metrics. Clones share their values.
#[derive(Clone, Default)]
pub(crate) struct Metrics {
    known: Gauge<i64, AtomicI64>,
    in_force: Gauge<i64, AtomicI64>,
    confirmed: Gauge<i64, AtomicI64>,
    confirmation_age: Gauge<f64, AtomicU64>,
    applied: Counter,
    rejected: Gauge<i64, AtomicI64>,
    publications: Family<ResultLabel, Counter>,
    denied: Counter,
}

impl Metrics {
    /// Creates the metrics and registers them with the prefix `config`.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let registry = registry.sub_registry_with_prefix("config");
        let gauges = [
            (
                "known_revision",
                "Newest revision that the node holds",
                &metrics.known,
            ),
            (
                "in_force_revision",
                "Revision that the node applies",
                &metrics.in_force,
            ),
            (
                "confirmed",
                "1 while the node has confirmed its configuration lately",
                &metrics.confirmed,
            ),
            (
                "rejected_revisions",
                "Revisions refused for a wrong hash or unreadable content since the start",
                &metrics.rejected,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics.register(registry);
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        registry.register(
            "confirmation_age_seconds",
            "Seconds since the configuration was last confirmed, -1 if never",
            self.confirmation_age.clone(),
        );
        registry.register(
            "applied",
            "Revisions put in force since the start",
            self.applied.clone(),
        );
        registry.register(
            "publications",
            "Publications by result",
            self.publications.clone(),
        );
        registry.register(
            "denied_calls",
            "Administration calls without a valid key",
            self.denied.clone(),
        );
    }

    /// Counts a revision that came into force.
    pub(crate) fn count_applied_revision(&self) {
        self.applied.inc();
    }

    /// Counts an outcome of a publication. One that was unknown at first is counted again when it
    /// is determined.
    pub(crate) fn count_publication(&self, result: &'static str) {
        self.publications.get_or_create(&[("result", result)]).inc();
    }

    /// Counts an administration call without a valid key.
    pub(crate) fn count_denied_call(&self) {
        self.denied.inc();
    }

    /// Sets the gauges to the state of `adoption` at `now`.
    pub(crate) fn update(&self, adoption: &Adoption, now: Instant) {
        let in_force = adoption.in_force().map(|held| held.snapshot.revision());
        let age = adoption.confirmation_age(now);
        self.known.set(gauge_value(adoption.known()));
        self.in_force.set(gauge_value(in_force.unwrap_or_default()));
        self.confirmed.set(adoption.is_confirmed(now).into());
        self.confirmation_age
            .set(age.map_or(-1.0, |age| age.as_secs_f64()));
        self.rejected
            .set(i64::try_from(adoption.rejected_revisions()).unwrap_or(i64::MAX));
    }
}

fn gauge_value(revision: Revision) -> i64 {
    i64::try_from(revision.0).unwrap_or(i64::MAX)
}
