//! Replicas of specifications and announcements that this node holds in memory.
//!
//! The owner of a pool replicates both to other members, so that the next owner can continue.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use shallotroute_rollout::step::{Key, Specification};
use shallotroute_types::name::Name;

use crate::service::Announcement;

/// The number of specifications held per trainer; the oldest is dropped first.
const SPECIFICATIONS_PER_TRAINER: usize = 20;

/// The number of deleted steps remembered, so that a replica that another member still holds does
/// not restore a deleted step.
const MAX_DELETED_STEPS: usize = 1024;

/// The replicas of one node.
#[derive(Default)]
pub(crate) struct Replicas(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    specifications: BTreeMap<Key, Arc<Specification>>,
    /// The steps of each trainer, least recently inserted first.
    submission_order: BTreeMap<Name, VecDeque<u64>>,
    announcements: BTreeMap<Name, Announcement>,
    deleted: VecDeque<Key>,
}

impl Replicas {
    /// Stores a specification, and drops the trainer's oldest one when there are too many.
    pub(crate) fn insert_specification(&self, key: Key, specification: Arc<Specification>) {
        let mut inner = self.lock();
        inner.deleted.retain(|deleted| *deleted != key);
        let steps = inner
            .submission_order
            .entry(key.trainer.clone())
            .or_default();
        steps.retain(|step| *step != key.step);
        steps.push_back(key.step);
        let oldest = match steps.len() > SPECIFICATIONS_PER_TRAINER {
            true => steps.pop_front(),
            false => None,
        };
        if let Some(step) = oldest {
            let trainer = key.trainer.clone();
            inner.specifications.remove(&Key { trainer, step });
        }
        inner.specifications.insert(key, specification);
    }

    /// Returns the specification of a step, or `None` when this node has no replica of it.
    pub(crate) fn get_specification(&self, key: &Key) -> Option<Arc<Specification>> {
        self.lock().specifications.get(key).cloned()
    }

    /// Drops the specification of a step that its trainer deleted, and remembers the deletion.
    pub(crate) fn remove_specification(&self, key: &Key) {
        let mut inner = self.lock();
        inner.specifications.remove(key);
        if let Some(steps) = inner.submission_order.get_mut(&key.trainer) {
            steps.retain(|step| *step != key.step);
        }
        if inner.deleted.len() >= MAX_DELETED_STEPS {
            inner.deleted.pop_front();
        }
        inner.deleted.push_back(key.clone());
    }

    /// Returns whether the step was deleted and has not been submitted again since; false for steps
    /// deleted too long ago to be remembered.
    pub(crate) fn is_deleted(&self, key: &Key) -> bool {
        self.lock().deleted.contains(key)
    }

    /// Stores an announcement unless a later one of the same trainer is known.
    pub(crate) fn insert_announcement(&self, announcement: Announcement) {
        let mut inner = self.lock();
        let known = inner.announcements.get(&announcement.trainer);
        if known.is_none_or(|known| known.at <= announcement.at) {
            inner
                .announcements
                .insert(announcement.trainer.clone(), announcement);
        }
    }

    /// Returns the latest announcement of a trainer, or `None` when none is known here.
    pub(crate) fn get_announcement(&self, trainer: &str) -> Option<Announcement> {
        self.lock().announcements.get(trainer).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
