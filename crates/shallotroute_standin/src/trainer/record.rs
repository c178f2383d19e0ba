//! What a trainer received and how long it waited.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, sample::Identity, version::Version};

use super::{Sample, Settings};

/// What happened to a trainer.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// When the run began.
    pub started: Option<Instant>,
    /// When it was told to submit no more steps.
    pub finished: Option<Instant>,
    /// When it ended.
    pub ended: Option<Instant>,
    /// The steps by number.
    pub steps: BTreeMap<u64, Step>,
    /// The samples that were accepted.
    pub deliveries: Vec<Delivery>,
    /// Samples of groups that the trainer already had.
    pub duplicates: u64,
    /// Samples that were missing from groups said to be whole.
    pub lost: u64,
    /// Answers that called a step complete while groups were missing.
    pub ended_early: u64,
    /// How often a step had to be submitted again because no node knew it.
    pub resubmitted: u64,
    /// The versions announced and when that was acknowledged.
    pub announced: Vec<(Version, Instant)>,
    /// The calls that failed.
    pub failures: Vec<String>,
}

/// One step.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// How many samples it has.
    pub samples: u64,
    /// When it was first submitted.
    pub submitted: Option<Instant>,
    /// When the trainer had nothing else to do than wait for it.
    pub waiting_since: Option<Instant>,
    /// When its last group arrived.
    pub completed_at: Option<Instant>,
}

/// One delivered sample.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The sample's identity.
    pub identity: Identity,
    /// The sample.
    pub sample: Sample,
    /// The trainer's version when it pulled.
    pub version: Version,
    /// When it arrived.
    pub at: Instant,
}

impl Record {
    /// Returns how long the trainer waited for samples until it was told to finish.
    pub fn idle(&self) -> Duration {
        let until = self.until();
        self.steps
            .values()
            .filter_map(|step| {
                let from = step.waiting_since?;
                let to = step.completed_at.unwrap_or(until).min(until);
                Some(to.saturating_duration_since(from))
            })
            .sum()
    }

    /// Returns the share of that time in which the trainer waited.
    pub fn idle_fraction(&self) -> f64 {
        let Some(started) = self.started else {
            return 0.0;
        };
        let total = self.until().saturating_duration_since(started);
        match total.is_zero() {
            true => 0.0,
            false => self.idle().as_secs_f64() / total.as_secs_f64(),
        }
    }

    fn until(&self) -> Instant {
        self.finished.or(self.ended).unwrap_or_else(Instant::now)
    }

    /// Returns the samples that were asked for and have not arrived.
    pub fn outstanding(&self) -> u64 {
        let asked: u64 = self.steps.values().map(|step| step.samples).sum();
        asked.saturating_sub(self.deliveries.len() as u64 + self.lost)
    }

    pub(super) fn submitted(&mut self, step: u64, settings: &Settings, at: Instant) {
        let entry = self.steps.entry(step).or_default();
        entry.samples = u64::from(settings.groups) * u64::from(settings.group_size);
        entry.submitted.get_or_insert(at);
    }

    pub(super) fn waiting_since(&mut self, step: u64, at: Instant) {
        self.steps.entry(step).or_default().waiting_since = Some(at);
    }

    pub(super) fn completed_at(&mut self, step: u64, at: Instant) {
        self.steps.entry(step).or_default().completed_at = Some(at);
    }

    pub(super) fn close(&mut self, at: Instant) {
        self.ended = Some(at);
    }

    pub(super) fn deliver(
        &mut self,
        trainer: &Name,
        step: u64,
        group: u32,
        version: Version,
        sample: Sample,
    ) {
        self.deliveries.push(Delivery {
            identity: Identity {
                trainer: trainer.clone(),
                step,
                group,
                index: sample.index,
            },
            sample,
            version,
            at: Instant::now(),
        });
    }
}
