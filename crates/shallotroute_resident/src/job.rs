//! The batch jobs of this node, and what it knows of others.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use shallotroute_adapter::job;
use shallotroute_batch::{
    record::{Head, Listed, Owner, Specification},
    run::{Event, Run},
};
use shallotroute_types::name::Name;
use tokio::sync::{mpsc, watch};

use crate::{claim, peer::CallError, shared::Shared};

/// The most owners of other nodes' jobs that are remembered.
const MAX_OWNERS: usize = 1024;

/// The most bytes of text in one page of results, as trainers expect it.
pub(crate) const MAX_PAGE_BYTES: usize = 900 << 10;

/// How long an owner relies on its claim without asking the store again.
pub(crate) const CLAIM_TRUST: Duration = Duration::from_millis(1500);

/// The jobs by identity.
#[derive(Default)]
pub(crate) struct Registry {
    owned: Mutex<HashMap<Name, Arc<Owned>>>,
    owners: Mutex<HashMap<Name, Owner>>,
}

/// A job that this node runs.
pub(crate) struct Owned {
    pub(crate) id: Name,
    /// What happened to attempts, with their numbers.
    pub(crate) events: mpsc::UnboundedSender<(u64, Event)>,
    /// The number of listed results; changes wake readers, and an end wakes the runner.
    pub(crate) progress: watch::Sender<Progress>,
    state: Mutex<State>,
}

/// What readers and the runner of a job wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The results that stand in their positions.
    pub(crate) listed: usize,
    /// Whether the trainer has ended the job.
    pub(crate) ended: bool,
    /// Whether this node no longer owns the job.
    pub(crate) lost: bool,
}

/// The changing part of an owned job.
pub(crate) struct State {
    pub(crate) run: Run,
    pub(crate) head: Head,
    /// The revision of the head that makes this node the owner.
    pub(crate) revision: u64,
    /// When the store last confirmed that revision.
    pub(crate) confirmed: Instant,
    /// When this node began to run the job.
    pub(crate) since: Instant,
}

impl Registry {
    /// Returns a job that this node owns.
    pub(crate) fn owned(&self, job: &str) -> Option<Arc<Owned>> {
        lock(&self.owned).get(job).cloned()
    }

    /// Returns all jobs that this node owns.
    pub(crate) fn all_owned(&self) -> Vec<Arc<Owned>> {
        lock(&self.owned).values().cloned().collect()
    }

    /// Adds a job.
    pub(crate) fn insert(&self, owned: Arc<Owned>) {
        lock(&self.owned).insert(owned.id.clone(), owned);
    }

    /// Forgets a job that this node no longer runs.
    pub(crate) fn remove(&self, job: &str) {
        lock(&self.owned).remove(job);
    }

    /// Returns the owner of a job as last seen.
    pub(crate) fn owner(&self, job: &str) -> Option<Owner> {
        lock(&self.owners).get(job).cloned()
    }

    /// Remembers the owner of a job, or forgets it.
    pub(crate) fn set_owner(&self, job: &Name, owner: Option<Owner>) {
        let mut owners = lock(&self.owners);
        match owner {
            Some(owner) => {
                if owners.len() >= MAX_OWNERS {
                    owners.clear();
                }
                owners.insert(job.clone(), owner);
            }
            None => {
                owners.remove(job);
            }
        }
    }
}

impl Owned {
    /// Makes a job whose claim the store has just confirmed, and the receiver of its events.
    pub(crate) fn new(
        id: Name,
        run: Run,
        head: Head,
        revision: u64,
        now: Instant,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<(u64, Event)>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let progress = Progress {
            listed: run.results().len(),
            ended: head.ended,
            lost: false,
        };
        let owned = Self {
            id,
            events,
            progress: watch::channel(progress).0,
            state: Mutex::new(State {
                run,
                head,
                revision,
                confirmed: now,
                since: now,
            }),
        };
        (Arc::new(owned), receiver)
    }

    /// Returns the changing part.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns a page of results; waits up to `wait` for one that follows `after`. None when this
    /// node no longer owns the job.
    pub(crate) async fn page(
        &self,
        shared: &Shared,
        after: usize,
        wait: Duration,
    ) -> Option<Vec<u8>> {
        let mut progress = self.progress.subscribe();
        let awaited = progress
            .wait_for(|progress| progress.listed > after || progress.ended || progress.lost);
        // The time may be over without a result; the page is empty then.
        let _ = tokio::time::timeout(wait, awaited).await;
        let complete = self.state().run.finished();
        let short = self.progress.borrow().listed <= after;
        if short && !complete && !claim::confirm(shared, self).await {
            return None;
        }
        if self.progress.borrow().lost {
            return None;
        }
        let state = self.state();
        Some(page(state.run.specification(), state.run.results(), after))
    }

    /// Returns the body of an item; none when the job has no such item.
    ///
    /// # Errors
    ///
    /// The job has ended, and only the store has the bodies.
    pub(crate) fn body(&self, item: &str) -> Result<Option<Vec<u8>>, CallError> {
        let state = self.state();
        if state.run.is_released() {
            return Err(CallError::NotOwner);
        }
        let specification = Arc::clone(state.run.specification());
        drop(state);
        Ok(body(&specification, item))
    }

    /// Ends the job: its runs stop at once. Returns whether the store keeps the end.
    pub(crate) async fn end(&self, shared: &Shared) -> bool {
        self.progress.send_modify(|progress| progress.ended = true);
        claim::end(shared, &self.id).await
    }
}

/// Writes a page of results.
pub(crate) fn page(specification: &Specification, results: &[Listed], after: usize) -> Vec<u8> {
    job::write_page(specification, results, after, MAX_PAGE_BYTES)
}

/// Returns the body of an item.
pub(crate) fn body(specification: &Specification, item: &str) -> Option<Vec<u8>> {
    let found = specification
        .items
        .iter()
        .find(|other| other.id.as_str() == item)?;
    Some(found.body.clone())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
