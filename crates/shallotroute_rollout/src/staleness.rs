//! How old a sample is for its trainer, and which work to admit or to stop for that reason.

use shallotroute_types::{provenance::Span, version::Version};

/// Returns the oldest version among the spans.
pub fn oldest(spans: &[Span]) -> Option<Version> {
    spans.iter().map(|span| span.version).min()
}

/// Returns the staleness, in versions, of tokens of version `oldest` for a trainer at `trainer`.
/// Tokens newer than the trainer, as after its restart from a checkpoint, have staleness 0.
pub fn age(trainer: Version, oldest: Version) -> u64 {
    trainer.0.saturating_sub(oldest.0)
}

/// A trainer's bound and its balance of idle time against freshness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The greatest staleness at delivery, in versions.
    pub bound: u64,
    /// 1.0 cares for idle time only, 0.0 for freshness only.
    pub idle_weight: f64,
}

impl Policy {
    /// Tells whether a sample with tokens of `oldest` may be delivered to a trainer at `trainer`.
    pub fn allows(&self, trainer: Version, oldest: Version) -> bool {
        age(trainer, oldest) <= self.bound
    }

    /// Returns how many steps beyond the trainer's current one may be generated:
    /// `floor(idle_weight * (bound + 1))`, at most the bound.
    pub fn ahead(&self) -> u64 {
        let weight = self.idle_weight.clamp(0.0, 1.0);
        let steps = (weight * (self.bound as f64 + 1.0)).floor();
        (steps as u64).min(self.bound)
    }

    /// Tells whether a sample may start on an engine that has `loaded`, when `ahead` earlier steps
    /// of the trainer are unfinished. Each of them is expected to raise the trainer's version by
    /// one before the sample is delivered.
    pub fn admits(&self, trainer: Version, ahead: u64, loaded: Version) -> bool {
        ahead <= self.ahead() && self.allows(Version(trainer.0.saturating_add(ahead)), loaded)
    }
}
