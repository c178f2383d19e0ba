//! How old a sample is for its trainer, and which work to admit or to stop for that reason.

use shallotroute_types::{provenance::Span, version::Version};

/// Returns the oldest version among the spans.
pub fn oldest_version(spans: &[Span]) -> Option<Version> {
    spans.iter().map(|span| span.version).min()
}

/// Returns the staleness, in versions, of tokens of version `oldest` for a trainer at `trainer`.
/// Tokens newer than the trainer, as after its restart from a checkpoint, have staleness 0.
pub fn version_lag(trainer: Version, oldest: Version) -> u64 {
    trainer.0.saturating_sub(oldest.0)
}

/// A trainer's bound and its balance of idle time against freshness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The greatest staleness at delivery, in versions.
    pub staleness_bound: u64,
    /// 1.0 cares for idle time only, 0.0 for freshness only.
    pub idle_weight: f64,
}

impl Policy {
    /// Tells whether a sample with tokens of `oldest` may be delivered to a trainer at `trainer`.
    pub fn allows_delivery(&self, trainer: Version, oldest: Version) -> bool {
        version_lag(trainer, oldest) <= self.staleness_bound
    }

    /// Returns how many steps beyond the trainer's current one may be generated:
    /// `floor(idle_weight * (bound + 1))`, at most the bound.
    pub fn max_steps_ahead(&self) -> u64 {
        let weight = self.idle_weight.clamp(0.0, 1.0);
        let steps = (weight * (self.staleness_bound as f64 + 1.0)).floor();
        (steps as u64).min(self.staleness_bound)
    }

    /// Tells whether a sample may start on an engine that has `loaded`, when `ahead` earlier steps
    /// of the trainer are unfinished. Each of them is expected to raise the trainer's version by
    /// one before the sample is delivered.
    pub fn allows_start(&self, trainer: Version, ahead: u64, loaded: Version) -> bool {
        ahead <= self.max_steps_ahead()
            && self.allows_delivery(Version(trainer.0.saturating_add(ahead)), loaded)
    }
}
