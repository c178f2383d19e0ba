//! Replicas of specifications and announcements that this node keeps for pools of other nodes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use shallotroute_rollout::step::{Key, Specification};
use shallotroute_types::name::Name;

use crate::service::Announcement;

/// How many specifications of one trainer are kept; the oldest copy goes first.
const SPECIFICATIONS_PER_TRAINER: usize = 20;

/// How many deleted steps are remembered, so that a copy that outlived its deletion at another
/// member does not bring one back.
const MAX_DELETED_STEPS: usize = 1024;

/// The copies.
#[derive(Default)]
pub(crate) struct Replicas(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    specifications: BTreeMap<Key, Arc<Specification>>,
    submission_order: BTreeMap<Name, VecDeque<u64>>,
    announcements: BTreeMap<Name, Announcement>,
    deleted: VecDeque<Key>,
}

impl Replicas {
    /// Keeps a specification.
    pub(crate) fn insert_specification(&self, key: Key, specification: Arc<Specification>) {
        let mut inner = self.lock();
        inner.deleted.retain(|deleted| *deleted != key);
        let steps = inner
            .submission_order
            .entry(key.trainer.clone())
            .or_default();
        steps.retain(|step| *step != key.step);
        steps.push_back(key.step);
        let excess = match steps.len() > SPECIFICATIONS_PER_TRAINER {
            true => steps.pop_front(),
            false => None,
        };
        if let Some(step) = excess {
            let trainer = key.trainer.clone();
            inner.specifications.remove(&Key { trainer, step });
        }
        inner.specifications.insert(key, specification);
    }

    /// Returns a specification.
    pub(crate) fn get_specification(&self, key: &Key) -> Option<Arc<Specification>> {
        self.lock().specifications.get(key).cloned()
    }

    /// Drops a specification that its trainer deleted.
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

    /// Tells whether the step was deleted and not submitted again.
    pub(crate) fn is_deleted(&self, key: &Key) -> bool {
        self.lock().deleted.contains(key)
    }

    /// Keeps an announcement unless a later one is known.
    pub(crate) fn insert_announcement(&self, announcement: Announcement) {
        let mut inner = self.lock();
        let known = inner.announcements.get(&announcement.trainer);
        if known.is_none_or(|known| known.at <= announcement.at) {
            inner
                .announcements
                .insert(announcement.trainer.clone(), announcement);
        }
    }

    /// Returns the last announcement of a trainer.
    pub(crate) fn get_announcement(&self, trainer: &str) -> Option<Announcement> {
        self.lock().announcements.get(trainer).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
