//! The record of a trainer's steps, samples and waiting time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::{name::Name, sample::Identity, version::Version};

use super::{Sample, Settings};

/// The record of a run of a trainer.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The start of the run.
    pub started: Option<Instant>,
    /// The time at which the trainer was told to submit no more steps.
    pub finished: Option<Instant>,
    /// The end of the run.
    pub ended: Option<Instant>,
    /// The steps by number.
    pub steps: BTreeMap<u64, Step>,
    /// The delivered samples without duplicates, in order of arrival.
    pub deliveries: Vec<Delivery>,
    /// The number of samples in groups that had already arrived.
    pub duplicates: u64,
    /// The number of samples that were missing from delivered groups.
    pub lost: u64,
    /// The number of pulls whose response called a step complete while groups were missing.
    pub ended_early: u64,
    /// The number of times that a step was submitted again because a node did not know it.
    pub resubmitted: u64,
    /// The announced versions with the time of acknowledgement.
    pub announced: Vec<(Version, Instant)>,
    /// The errors of failed calls, in order.
    pub failures: Vec<String>,
}

/// A step of a trainer.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// The number of samples that the step asks for.
    pub samples: u64,
    /// The time of the first submission.
    pub submitted: Option<Instant>,
    /// The time from which the trainer had nothing to do but wait for the step.
    pub waiting_since: Option<Instant>,
    /// The arrival time of the last group.
    pub completed_at: Option<Instant>,
}

/// A delivered sample.
#[derive(Clone, Debug)]
pub struct Delivery {
    /// The sample's identity.
    pub identity: Identity,
    /// The sample.
    pub sample: Sample,
    /// The trainer's version at the time of the pull.
    pub version: Version,
    /// The time of arrival.
    pub at: Instant,
}

impl Record {
    /// Returns the time that the trainer waited for samples, up to the end of the measurement: when
    /// the trainer was told to finish, else the end of the run, else now.
    pub fn idle(&self) -> Duration {
        let last = self.measurement_end();
        self.steps
            .values()
            .filter_map(|step| {
                let from = step.waiting_since?;
                let to = step.completed_at.unwrap_or(last).min(last);
                Some(to.saturating_duration_since(from))
            })
            .sum()
    }

    /// Returns the fraction of the run, up to the same end, in which the trainer waited for
    /// samples.
    pub fn idle_fraction(&self) -> f64 {
        let Some(started) = self.started else {
            return 0.0;
        };
        let total = self.measurement_end().saturating_duration_since(started);
        match total.is_zero() {
            true => 0.0,
            false => self.idle().as_secs_f64() / total.as_secs_f64(),
        }
    }

    fn measurement_end(&self) -> Instant {
        self.finished.or(self.ended).unwrap_or_else(Instant::now)
    }

    /// Returns the number of requested samples that have not arrived and are not lost.
    pub fn outstanding(&self) -> u64 {
        let requested: u64 = self.steps.values().map(|step| step.samples).sum();
        requested.saturating_sub(self.deliveries.len() as u64 + self.lost)
    }

    pub(super) fn record_submission(&mut self, step: u64, settings: &Settings, at: Instant) {
        let entry = self.steps.entry(step).or_default();
        entry.samples = u64::from(settings.groups) * u64::from(settings.group_size);
        entry.submitted.get_or_insert(at);
    }

    pub(super) fn record_wait_start(&mut self, step: u64, at: Instant) {
        self.steps.entry(step).or_default().waiting_since = Some(at);
    }

    pub(super) fn record_completion(&mut self, step: u64, at: Instant) {
        self.steps.entry(step).or_default().completed_at = Some(at);
    }

    pub(super) fn record_end(&mut self, at: Instant) {
        self.ended = Some(at);
    }

    pub(super) fn record_delivery(
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
