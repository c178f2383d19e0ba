//! Trainers' pulls: receipts in, groups out.

use std::time::Instant;

use shallotroute_types::version::Version;

use super::{Action, Pull, Scheduler};
use crate::{
    delivery::{Answer, Group, Refusal},
    staleness::{Policy, age},
    step::{Key, Progress, Step},
};

/// The most bytes of text in one answer; keeps it well below the longest frame between nodes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

impl Scheduler {
    pub(super) fn pull(&mut self, now: Instant, pull: Pull) {
        let key = pull.key.clone();
        self.refuse(&key, Refusal::Superseded);
        let number = pull.number;
        let Some(step) = self.steps.get_mut(&key) else {
            self.actions
                .push(Action::Answer(number, Err(Refusal::UnknownStep)));
            return;
        };
        if !pull.receipt.fits(step.specification.groups()) {
            self.actions
                .push(Action::Answer(number, Err(Refusal::BadReceipt)));
            return;
        }
        let stopped = step.apply(pull.receipt.clone());
        for attempt in stopped {
            self.cancel(attempt);
        }
        let trainer = self.trainers.entry(key.trainer.clone()).or_default();
        trainer.version = Some(pull.version);
        trainer.current = key.step;
        trainer.pulled = pull.version;
        self.pulls.insert(number, pull);
        self.stop_doomed(&key.trainer);
        self.discard_doomed(&key);
        self.answer(now, &key);
        self.place(now);
    }

    /// Answers the open pull for `key` if groups are ready or the trainer has all of them.
    pub(super) fn answer(&mut self, now: Instant, key: &Key) {
        let Some(number) = self.open_pull(key) else {
            return;
        };
        let (Some(step), Some(policy)) = (self.steps.get(key), self.policy(&key.trainer)) else {
            return;
        };
        let pull = &self.pulls[&number];
        if step.ready.is_empty() && !step.is_complete() {
            return;
        }
        let groups = self.collect(step, policy, pull);
        if groups.is_empty() && !step.is_complete() {
            return;
        }
        self.deliver(now, number, groups);
    }

    fn collect(&self, step: &Step, policy: Policy, pull: &Pull) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut bytes = 0;
        for &group in &step.ready {
            let Some(samples) = step.group(group) else {
                continue;
            };
            let size: usize = samples.iter().map(|sample| sample.text.len()).sum();
            let full = !groups.is_empty() && bytes + size > MAX_ANSWER_BYTES;
            if groups.len() >= pull.max_groups.max(1) || full {
                break;
            }
            let allowed = samples.iter().all(|sample| {
                sample
                    .oldest()
                    .is_some_and(|oldest| policy.allows(pull.version, oldest))
                    && !self.has_withdrawn(&pull.key.trainer, &sample.spans)
            });
            if allowed {
                bytes += size;
                groups.push(Group {
                    group,
                    samples: samples.into_iter().cloned().collect(),
                });
            }
        }
        groups
    }

    fn deliver(&mut self, now: Instant, number: u64, groups: Vec<Group>) {
        let Some(pull) = self.pulls.remove(&number) else {
            return;
        };
        let Some(step) = self.steps.get_mut(&pull.key) else {
            return;
        };
        let counters = self.counters.of(&pull.key.trainer);
        for group in &groups {
            step.offered.insert(group.group);
            for sample in &group.samples {
                let oldest = sample.oldest().unwrap_or_default();
                counters.staleness.push(age(pull.version, oldest));
                counters.delivered += 1;
            }
        }
        let wait = now.saturating_duration_since(pull.opened);
        counters.waits.push(wait);
        let remaining = step.specification.groups() - step.offered.count();
        let answer = Answer {
            groups,
            complete: remaining == 0,
            remaining,
        };
        self.actions.push(Action::Answer(number, Ok(answer)));
    }

    /// Closes the open pull for `key`.
    pub(super) fn refuse(&mut self, key: &Key, refusal: Refusal) {
        while let Some(number) = self.open_pull(key) {
            self.pulls.remove(&number);
            self.actions.push(Action::Answer(number, Err(refusal)));
        }
    }

    pub(super) fn expire_pulls(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .pulls
            .values()
            .filter(|pull| now >= pull.deadline)
            .map(|pull| pull.number)
            .collect();
        for number in expired {
            self.deliver(now, number, Vec::new());
        }
    }

    /// Discards finished samples of the steps with open pulls that have become too stale.
    pub(super) fn discard_for_pulls(&mut self) {
        let keys: Vec<Key> = self.pulls.values().map(|pull| pull.key.clone()).collect();
        for key in keys {
            self.discard_doomed(&key);
        }
    }

    /// Discards finished samples that are too stale for the trainer's version, so that they are
    /// generated again. Only a pull does this: its receipt tells which answers have arrived.
    fn discard_doomed(&mut self, key: &Key) {
        let (Some(step), Some(policy)) = (self.steps.get(key), self.policy(&key.trainer)) else {
            return;
        };
        let version = self.trainer_version(&key.trainer);
        let doomed: Vec<u32> = (0..step.samples.len() as u32)
            .filter(
                |&position| match &step.samples[position as usize].progress {
                    Progress::Done(sample) => self.is_doomed(&key.trainer, policy, version, sample),
                    _ => false,
                },
            )
            .collect();
        for position in doomed {
            self.discard(key, position);
        }
    }

    fn is_doomed(
        &self,
        trainer: &str,
        policy: Policy,
        version: Version,
        sample: &crate::delivery::Sample,
    ) -> bool {
        let old = sample
            .oldest()
            .is_none_or(|oldest| !policy.allows(version, oldest));
        old || self.has_withdrawn(trainer, &sample.spans)
    }

    fn open_pull(&self, key: &Key) -> Option<u64> {
        let open = self.pulls.values().find(|pull| pull.key == *key);
        open.map(|pull| pull.number)
    }
}
