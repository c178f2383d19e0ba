//! The batch jobs that this node owns, and the known owners of other jobs.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use shallotroute_adapter::{backend, job};
use shallotroute_batch::{
    claim::{Claim, MAX_EVIDENCE_AGE, MAX_RELAY_TIME, Source},
    job::{Event, Job},
    record::{Head, ItemResult, Owner, Specification},
};
use shallotroute_fleet::access::Grant;
use shallotroute_types::name::Name;
use tokio::sync::{mpsc, watch};

use crate::{claim, metric::Metrics, peer::CallError, shared::Shared};

/// The maximum number of cached owners of other nodes' jobs; the cache is cleared when it is full.
const MAX_KNOWN_OWNERS: usize = 1024;

/// The maximum number of output bytes in one page of results, which trainers rely on.
pub(crate) const MAX_PAGE_BYTES: usize = 900 << 10;

/// The time after a confirmation by the store from which on an owner has its claim confirmed again.
pub(crate) const CLAIM_TTL: Duration = Duration::from_millis(1500);

/// How long an empty page waits for the outcome of a write of results. A slow store answers in a quarter of
/// a second.
const WRITE_WAIT: Duration = Duration::from_millis(300);

const _: () = assert!(
    WRITE_WAIT.as_millis() < MAX_RELAY_TIME.as_millis(),
    "a relayed page must arrive before the relay gives up"
);

/// The jobs that this node owns, and a cache of other jobs' owners, by identity of the job.
#[derive(Default)]
pub(crate) struct Registry {
    owned: Mutex<HashMap<Name, Arc<Owned>>>,
    /// The jobs that this node is about to start. Locked after `owned`.
    reserved: Mutex<HashSet<Name>>,
    known_owners: Mutex<HashMap<Name, Owner>>,
    /// The workspaces of jobs at other nodes, which never change.
    known_workspaces: Mutex<HashMap<Name, Option<Name>>>,
    /// The jobs whose end this node still has to store.
    ending: Mutex<HashSet<Ending>>,
}

/// A job whose end this node still has to store, and the workspace that asked for it, which may turn out to
/// be another one than the job's.
pub(crate) type Ending = (Name, Option<Name>);

/// The right to start a job at this node, which one task has at a time. A job may be taken over for
/// several reasons at once, as after a restart, when its node resumes it while the leader has it
/// adopted.
pub(crate) struct Reservation {
    shared: Arc<Shared>,
    job: Name,
}

impl Reservation {
    /// Reserves a job. Returns `None` if this node runs it or another task is about to start it.
    pub(crate) fn new(shared: &Arc<Shared>, job: &Name) -> Option<Self> {
        let owned = lock(&shared.jobs.owned);
        let is_free = !owned.contains_key(job) && lock(&shared.jobs.reserved).insert(job.clone());
        is_free.then(|| Self {
            shared: Arc::clone(shared),
            job: job.clone(),
        })
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn job(&self) -> &Name {
        &self.job
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.shared.jobs.reserved).remove(&self.job);
    }
}

/// A job that this node runs.
pub(crate) struct Owned {
    pub(crate) id: Name,
    /// The events of attempts, each with the number of its attempt.
    pub(crate) events: mpsc::UnboundedSender<(u64, Event)>,
    /// Wakes readers when results are committed, and the runner when the job is ended or lost.
    pub(crate) progress: watch::Sender<Progress>,
    /// The number of items that generate or wait for a server, as of the runner's last iteration.
    open_items: AtomicUsize,
    /// The host and path of the job's route.
    route: (String, String),
    /// The model that generates the job's items.
    pub(crate) model: Name,
    /// The workspace that submitted the job.
    pub(crate) workspace: Option<Name>,
    state: Mutex<State>,
}

/// The progress of a job, on which its readers and its runner wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The number of committed results.
    pub(crate) committed: usize,
    /// Whether the trainer has ended the job.
    pub(crate) is_ended: bool,
    /// Whether this node no longer owns the job.
    pub(crate) is_lost: bool,
}

/// The mutable part of an owned job.
pub(crate) struct State {
    /// The state machine of the job.
    pub(crate) job: Job,
    /// The head as last read or written.
    pub(crate) head: Head,
    /// The revision of the head that makes this node the owner, or that ended the job after that.
    pub(crate) revision: u64,
    /// When the store last confirmed that revision.
    pub(crate) claim: Claim,
    /// When this node began to run the job.
    pub(crate) started_at: Instant,
}

impl State {
    /// Returns whether the end of the job is stored and no result will follow.
    fn has_final_end(&self) -> bool {
        self.head.ended && self.job.is_stopped() && !self.job.is_writing()
    }
}

impl Registry {
    /// Records that a task of this node is about to store the end of a job. Returns `false` if another one does.
    pub(crate) fn begin_ending(&self, ending: &Ending) -> bool {
        lock(&self.ending).insert(ending.clone())
    }

    /// Returns whether this node still has to store the end of a job.
    pub(crate) fn has_endings(&self) -> bool {
        !lock(&self.ending).is_empty()
    }

    /// Records that the task has ended.
    pub(crate) fn finish_ending(&self, ending: &Ending) {
        lock(&self.ending).remove(ending);
    }

    /// Returns a job, or `None` if this node does not own it.
    pub(crate) fn owned(&self, job: &str) -> Option<Arc<Owned>> {
        lock(&self.owned).get(job).cloned()
    }

    /// Returns all jobs that this node owns.
    pub(crate) fn all_owned(&self) -> Vec<Arc<Owned>> {
        lock(&self.owned).values().cloned().collect()
    }

    /// Returns the priority of a job's items at the servers, which queue them behind more urgent ones:
    /// each unfinished job that was submitted before it makes its items one less urgent.
    pub(crate) fn priority(&self, owned: &Owned) -> u8 {
        let earlier = self.earlier_jobs(owned, |_| true);
        let earlier = u8::try_from(earlier).unwrap_or(u8::MAX);
        (backend::DEFAULT_PRIORITY - 1).saturating_add(earlier)
    }

    /// Returns the number of unfinished jobs that were submitted before one and for which `is_equal` holds.
    pub(crate) fn earlier_jobs(&self, owned: &Owned, is_equal: impl Fn(&Owned) -> bool) -> usize {
        let submitted_ms = owned.state().head.submitted_ms;
        let jobs = self.all_owned();
        let earlier = jobs.iter().filter(|other| {
            let progress = *other.progress.borrow();
            if progress.is_ended || progress.is_lost || other.id == owned.id || !is_equal(other) {
                return false;
            }
            let state = other.state();
            state.head.submitted_ms < submitted_ms && !state.job.is_finished()
        });
        earlier.count()
    }

    /// Adds a job that this node owns.
    pub(crate) fn insert(&self, owned: Arc<Owned>) {
        lock(&self.owned).insert(owned.id.clone(), owned);
    }

    /// Removes a job that this node owned, unless the node has taken the job over again since.
    pub(crate) fn remove(&self, owned: &Arc<Owned>) {
        let mut jobs = lock(&self.owned);
        if jobs
            .get(&owned.id)
            .is_some_and(|current| Arc::ptr_eq(current, owned))
        {
            jobs.remove(&owned.id);
        }
    }

    /// Returns the cached owner of a job, which may be out of date.
    pub(crate) fn known_owner(&self, job: &str) -> Option<Owner> {
        lock(&self.known_owners).get(job).cloned()
    }

    /// Returns the workspace of a job at another node, if it is cached.
    pub(crate) fn known_workspace(&self, job: &str) -> Option<Option<Name>> {
        lock(&self.known_workspaces).get(job).cloned()
    }

    /// Caches the workspace of a job at another node.
    pub(crate) fn set_known_workspace(&self, job: &Name, workspace: Option<Name>) {
        let mut known_workspaces = lock(&self.known_workspaces);
        if known_workspaces.len() >= MAX_KNOWN_OWNERS {
            known_workspaces.clear();
        }
        known_workspaces.insert(job.clone(), workspace);
    }

    /// Removes a job that does not exist from the caches.
    pub(crate) fn forget(&self, job: &Name) {
        self.set_known_owner(job, None);
        lock(&self.known_workspaces).remove(job);
    }

    /// Caches the owner of a job, or removes it from the cache.
    pub(crate) fn set_known_owner(&self, job: &Name, owner: Option<Owner>) {
        let mut known_owners = lock(&self.known_owners);
        match owner {
            Some(owner) => {
                if known_owners.len() >= MAX_KNOWN_OWNERS {
                    known_owners.clear();
                }
                known_owners.insert(job.clone(), owner);
            }
            None => {
                known_owners.remove(job);
            }
        }
    }
}

impl Owned {
    /// Creates a job that begins to run at `now`. Returns it with the receiver of its events.
    pub(crate) fn new(
        id: Name,
        job: Job,
        head: Head,
        revision: u64,
        claim: Claim,
        now: Instant,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<(u64, Event)>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let progress = Progress {
            committed: job.results().len(),
            is_ended: head.ended,
            is_lost: false,
        };
        let specification = job.specification();
        let route = (specification.host.clone(), specification.path.clone());
        let owned = Self {
            id,
            events,
            progress: watch::channel(progress).0,
            open_items: AtomicUsize::new(job.open_item_count()),
            route,
            model: specification.model.clone(),
            workspace: specification.workspace.clone(),
            state: Mutex::new(State {
                job,
                head,
                revision,
                claim,
                started_at: now,
            }),
        };
        (Arc::new(owned), receiver)
    }

    /// Returns the number of items that generate or wait for a server; 0 once the job has ended here.
    pub(crate) fn open_items(&self) -> usize {
        let progress = *self.progress.borrow();
        match progress.is_ended || progress.is_lost {
            true => 0,
            false => self.open_items.load(Ordering::Relaxed),
        }
    }

    /// Updates [`Owned::open_items`].
    pub(crate) fn set_open_items(&self, count: usize) {
        self.open_items.store(count, Ordering::Relaxed);
    }

    /// Returns the host and path of the job's route.
    pub(crate) fn route(&self) -> (&str, &str) {
        (&self.route.0, &self.route.1)
    }

    /// Locks the mutable part.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns a page with the results after the first `after` ones, encoded as JSON. Waits up to
    /// `wait` for one; the page is empty if none is committed. Returns `None` if this node no
    /// longer owns the job, or can't tell whether there is a result.
    pub(crate) async fn page(
        &self,
        shared: &Shared,
        after: usize,
        wait: Duration,
    ) -> Option<Vec<u8>> {
        let mut progress = self.progress.subscribe();
        let has_changed = |progress: &Progress| progress.committed > after || progress.is_lost;
        // The relay bounds a page's age by its timeout, which starts after the wait. So an empty page comes
        // sooner only if no result can follow.
        let wait = match self.state().has_final_end() {
            true => Duration::ZERO,
            false => wait,
        };
        // After a timeout the page is empty.
        let _ = tokio::time::timeout(wait, progress.wait_for(has_changed)).await;
        if self.source(shared, after) == Source::Store {
            let _ = tokio::time::timeout(WRITE_WAIT, progress.wait_for(has_changed)).await;
        }
        if self.source(shared, after) == Source::ConfirmedMemory {
            let confirming = claim::confirm(shared, self, MAX_EVIDENCE_AGE);
            let _ = tokio::time::timeout(MAX_RELAY_TIME, confirming).await;
        }
        let is_lost = self.progress.borrow().is_lost;
        let refusal = match self.source(shared, after) {
            _ if is_lost => Some("not_owner"),
            Source::Memory => None,
            Source::Store => Some("writing"),
            Source::ConfirmedMemory => Some("unconfirmed"),
        };
        if let Some(refusal) = refusal {
            Metrics::count(&shared.metrics.pages, refusal);
            return None;
        }
        let state = self.state();
        self.log_page(shared, &state, after);
        Some(page(state.job.specification(), state.job.results(), after))
    }

    fn source(&self, shared: &Shared, after: usize) -> Source {
        let state = self.state();
        match state.has_final_end() {
            true => Source::Memory,
            false => state.claim.source(&state.job, after, shared.boot_time()),
        }
    }

    /// Counts a page with the results after the first `after` ones, and logs on what evidence an empty
    /// page rests.
    fn log_page(&self, shared: &Shared, state: &State, after: usize) {
        let committed = state.job.results().len();
        if committed > after {
            Metrics::count(&shared.metrics.pages, "results");
            return;
        }
        Metrics::count(&shared.metrics.pages, "none");
        let age = state.claim.age(shared.boot_time());
        spdlog::info!("no result at this position", kv: {
            job = self.id.as_str(),
            after,
            listed = committed,
            revision = state.revision,
            confirmed_ms_ago = format!("{:?}", age.map(|age| age.as_millis())),
            writing = state.job.is_writing(),
        });
    }

    /// Returns the body of an item, or `None` if the job has no such item.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotOwner`] if the job has ended and only the store has the bodies.
    pub(crate) fn body(&self, item: &str) -> Result<Option<Vec<u8>>, CallError> {
        let state = self.state();
        if state.job.has_released_payloads() {
            return Err(CallError::NotOwner);
        }
        let specification = Arc::clone(state.job.specification());
        drop(state);
        Ok(body(&specification, item))
    }

    /// Records that the job's end was stored with the head `head` in place of the one with the revision
    /// `replaced`. Does nothing unless that one made this node the owner: the job that runs here may be one
    /// that another process has taken over.
    pub(crate) fn record_end(
        &self,
        replaced: u64,
        head: Head,
        revision: u64,
        requested_at: Duration,
    ) {
        let mut state = self.state();
        if state.revision != replaced {
            return;
        }
        state.head = head;
        state.revision = revision;
        state.claim.confirm(requested_at);
        drop(state);
        self.progress
            .send_modify(|progress| progress.is_ended = true);
    }

    /// Ends the job and cancels its attempts at once. Returns whether the end is stored; if it is not, this node goes on
    /// storing it. The caller must not drop the future before it is ready.
    pub(crate) async fn end(&self, shared: &Arc<Shared>) -> bool {
        self.progress
            .send_modify(|progress| progress.is_ended = true);
        let is_stored = claim::end(shared, &self.id).await;
        if !is_stored {
            let table = shared.table();
            let grant = Grant::for_item(self.workspace.as_ref(), table.as_deref());
            claim::end_later(shared, &self.id, &grant);
        }
        is_stored
    }
}

/// Encodes a page with the results after the first `after` ones as JSON.
pub(crate) fn page(specification: &Specification, results: &[ItemResult], after: usize) -> Vec<u8> {
    job::encode_page(specification, results, after, MAX_PAGE_BYTES)
}

/// Returns the body of an item, or `None` if the specification has no such item.
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
