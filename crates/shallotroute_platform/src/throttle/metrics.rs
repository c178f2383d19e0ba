//! Metrics of calls to the key-value service.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use super::Call;
use crate::error::{Kind, Result};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    call: &'static str,
    /// The first segment of the key.
    keys: String,
    outcome: &'static str,
}

/// The metrics of a throttle.
#[derive(Clone, Debug, Default)]
pub(super) struct Metrics {
    calls: Family<Labels, Counter>,
}

impl Metrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.sub_registry_with_prefix("store").register(
            "calls",
            "Calls to the key-value service by kind, by the first segment of the key and by outcome",
            metrics.calls.clone(),
        );
        metrics
    }

    pub(super) fn count<T>(&self, call: Call, key: &str, result: &Result<T>) {
        let labels = Labels {
            call: call.name(),
            keys: key.split('/').next().unwrap_or_default().to_owned(),
            outcome: outcome(result),
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Returns the number of calls of a kind that were sent to keys with the same first segment as
    /// `key`; throttled calls don't count.
    pub(super) fn sent_calls(&self, call: Call, key: &str) -> u64 {
        let outcomes = ["done", "conflict", "refused", "unreachable", "lost"];
        let labels = outcomes.map(|outcome| Labels {
            call: call.name(),
            keys: key.split('/').next().unwrap_or_default().to_owned(),
            outcome,
        });
        labels
            .iter()
            .filter_map(|labels| self.calls.get(labels).map(|count| count.get()))
            .sum()
    }
}

/// Returns the value of the label `outcome`.
fn outcome<T>(result: &Result<T>) -> &'static str {
    match result
        .as_ref()
        .map_err(|report| &report.current_context().kind)
    {
        Ok(_) => "done",
        Err(Kind::Conflict { .. }) => "conflict",
        Err(Kind::Throttled) => "throttled",
        Err(Kind::Unreachable) => "unreachable",
        Err(Kind::Refused(_) | Kind::Fenced) => "refused",
        Err(Kind::Lost | Kind::Malformed(_)) => "lost",
    }
}
