//! Measures how many versions a sample lags behind its trainer and decides which samples may start
//! or be delivered.

use shallotroute_types::{provenance::Span, version::Version};

/// Returns the oldest weight version among the spans, or `None` without spans.
pub fn oldest_version(spans: &[Span]) -> Option<Version> {
    spans.iter().map(|span| span.version).min()
}

/// Returns the staleness, in versions, of tokens of version `oldest` for a trainer at version
/// `trainer`. Tokens newer than the trainer, as after its restart from a checkpoint, have staleness
/// 0.
pub fn version_lag(trainer: Version, oldest: Version) -> u64 {
    trainer.0.saturating_sub(oldest.0)
}

/// A trainer's staleness bound and its trade-off between idle time and freshness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The greatest allowed staleness at delivery, in versions.
    pub staleness_bound: u64,
    /// The weight of idle time from 0.0, freshness only, to 1.0, idle time only.
    pub idle_weight: f64,
}

impl Policy {
    /// Returns whether a sample whose oldest tokens are of version `oldest` may be delivered to a
    /// trainer at version `trainer`.
    pub fn allows_delivery(&self, trainer: Version, oldest: Version) -> bool {
        version_lag(trainer, oldest) <= self.staleness_bound
    }

    /// Returns how many steps beyond the trainer's current one may be generated:
    /// `floor(idle_weight * (staleness_bound + 1))`, limited to the bound.
    pub fn max_steps_ahead(&self) -> u64 {
        let weight = self.idle_weight.clamp(0.0, 1.0);
        let steps = (weight * (self.staleness_bound as f64 + 1.0)).floor();
        (steps as u64).min(self.staleness_bound)
    }

    /// Returns whether a sample may start on an engine with version `loaded` while `steps_ahead`
    /// earlier steps of the trainer are unfinished. Each of them is expected to raise the trainer's
    /// version by one before the sample is delivered.
    pub fn allows_start(&self, trainer: Version, steps_ahead: u64, loaded: Version) -> bool {
        steps_ahead <= self.max_steps_ahead()
            && self.allows_delivery(Version(trainer.0.saturating_add(steps_ahead)), loaded)
    }
}
