//! Responds to trainers' pulls: applies their receipts and delivers complete groups.

use std::time::Instant;

use shallotroute_types::version::Version;

use super::{Action, Pull, Scheduler};
use crate::{
    delivery::{Group, Refusal, Response},
    staleness::{Policy, version_lag},
    step::{Key, Progress, Step},
};

/// The most bytes of text in one response, well below the longest frame between nodes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

impl Scheduler {
    pub(super) fn handle_pull(&mut self, now: Instant, pull: Pull) {
        let key = pull.key.clone();
        self.refuse_pull(&key, Refusal::Superseded);
        let number = pull.number;
        let Some(step) = self.steps.get_mut(&key) else {
            self.actions
                .push(Action::Respond(number, Err(Refusal::UnknownStep)));
            return;
        };
        if !pull.receipt.is_within(step.specification.group_count()) {
            self.actions
                .push(Action::Respond(number, Err(Refusal::BadReceipt)));
            return;
        }
        let obsolete = step.apply_receipt(pull.receipt.clone());
        for attempt in obsolete {
            self.cancel(attempt);
        }
        let trainer = self.trainers.entry(key.trainer.clone()).or_default();
        trainer.version = Some(pull.version);
        trainer.current_step = key.step;
        trainer.pulled_version = pull.version;
        self.pulls.insert(number, pull);
        self.cancel_undeliverable(&key.trainer);
        self.discard_undeliverable(&key);
        self.answer_pull(now, &key);
        self.place_waiting(now);
    }

    /// Responds to the open pull for `key` if it can get groups or the trainer has all of them.
    pub(super) fn answer_pull(&mut self, now: Instant, key: &Key) {
        let Some(number) = self.open_pull(key) else {
            return;
        };
        let (Some(step), Some(policy)) = (self.steps.get(key), self.policy(&key.trainer)) else {
            return;
        };
        let pull = &self.pulls[&number];
        if step.ready_groups.is_empty() && !step.is_acknowledged() {
            return;
        }
        let groups = self.collect_groups(step, policy, pull);
        if groups.is_empty() && !step.is_acknowledged() {
            return;
        }
        self.deliver(now, number, groups);
    }

    /// Returns the ready groups to deliver, limited by the pull's number of groups and by
    /// [`MAX_RESPONSE_BYTES`]. A single group may exceed the latter.
    fn collect_groups(&self, step: &Step, policy: Policy, pull: &Pull) -> Vec<Group> {
        let mut groups = Vec::new();
        let mut bytes = 0;
        for &group in &step.ready_groups {
            let Some(samples) = step.scored_group(group) else {
                continue;
            };
            let size: usize = samples.iter().map(|sample| sample.text.len()).sum();
            let is_full = !groups.is_empty() && bytes + size > MAX_RESPONSE_BYTES;
            if groups.len() >= pull.max_groups.max(1) || is_full {
                break;
            }
            let is_deliverable = samples.iter().all(|sample| {
                sample
                    .oldest_version()
                    .is_some_and(|oldest| policy.allows_delivery(pull.version, oldest))
                    && !self.has_withdrawn(&pull.key.trainer, &sample.spans)
            });
            if is_deliverable {
                bytes += size;
                groups.push(Group {
                    group,
                    samples: samples.into_iter().cloned().collect(),
                });
            }
        }
        groups
    }

    /// Responds to a pull with the given groups and closes it.
    fn deliver(&mut self, now: Instant, number: u64, groups: Vec<Group>) {
        let Some(pull) = self.pulls.remove(&number) else {
            return;
        };
        let Some(step) = self.steps.get_mut(&pull.key) else {
            return;
        };
        let counters = self.counters.for_trainer(&pull.key.trainer);
        for group in &groups {
            step.sent.insert(group.group);
            for sample in &group.samples {
                let oldest = sample.oldest_version().unwrap_or_default();
                counters.staleness.push(version_lag(pull.version, oldest));
                counters.delivered += 1;
            }
        }
        let wait = now.saturating_duration_since(pull.opened_at);
        counters.pull_waits.push(wait);
        let remaining = step.specification.group_count() - step.sent.count();
        let response = Response {
            groups,
            complete: remaining == 0,
            remaining,
        };
        self.actions.push(Action::Respond(number, Ok(response)));
    }

    /// Closes the open pull for `key` with a refusal.
    pub(super) fn refuse_pull(&mut self, key: &Key, refusal: Refusal) {
        while let Some(number) = self.open_pull(key) {
            self.pulls.remove(&number);
            self.actions.push(Action::Respond(number, Err(refusal)));
        }
    }

    /// Responds without groups to pulls that have reached their deadline.
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

    /// Discards undeliverable finished samples of all steps with open pulls.
    pub(super) fn discard_undeliverable_for_pulls(&mut self) {
        let keys: Vec<Key> = self.pulls.values().map(|pull| pull.key.clone()).collect();
        for key in keys {
            self.discard_undeliverable(&key);
        }
    }

    /// Discards finished samples that are too stale for the trainer's version or of a withdrawn
    /// one, so that they are generated again. This needs an open pull, whose receipt shows which of
    /// the delivered groups have arrived.
    fn discard_undeliverable(&mut self, key: &Key) {
        let (Some(step), Some(policy)) = (self.steps.get(key), self.policy(&key.trainer)) else {
            return;
        };
        let version = self.trainer_version(&key.trainer);
        let undeliverable: Vec<u32> = (0..step.samples.len() as u32)
            .filter(
                |&position| match &step.samples[position as usize].progress {
                    Progress::Done(sample) => {
                        self.is_undeliverable(&key.trainer, policy, version, sample)
                    }
                    _ => false,
                },
            )
            .collect();
        for position in undeliverable {
            self.discard(key, position);
        }
    }

    fn is_undeliverable(
        &self,
        trainer: &str,
        policy: Policy,
        version: Version,
        sample: &crate::delivery::Sample,
    ) -> bool {
        let is_stale = sample
            .oldest_version()
            .is_none_or(|oldest| !policy.allows_delivery(version, oldest));
        is_stale || self.has_withdrawn(trainer, &sample.spans)
    }

    fn open_pull(&self, key: &Key) -> Option<u64> {
        let open = self.pulls.values().find(|pull| pull.key == *key);
        open.map(|pull| pull.number)
    }
}
