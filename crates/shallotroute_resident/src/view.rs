//! This node's view of what all nodes follow in the store: the operators' objects, the host list and
//! the members. It is served to other nodes, with its age.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shallotroute_adapter::registry;
use shallotroute_fleet::replica::{Change, Replica, Update};
use shallotroute_types::{name::Name, node::Id};
use tokio::sync::watch;

use crate::{follow::MAX_PROOF_AGE, member, object, shared::Shared};

/// The maximum age of a view that is served to other nodes; an older one may lack a change. A node
/// that watches the store renews its lease twice in this time.
pub(crate) const MAX_VIEW_AGE: Duration = Duration::from_millis(950);

/// How long a node without a current view waits for one before it says so to a follower, which may have another source.
const STALE_WAIT: Duration = Duration::from_millis(150);

/// The interval at which a node without a current view checks whether it has one.
const STALE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A prefix that all nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Prefix {
    /// The objects that operators and trainers write.
    Operators,
    /// The host list, which contains the backend servers.
    Servers,
    /// The entries of the nodes and of the leadership.
    Members,
}

/// What a follower lacks of one prefix, and the revision up to which it is complete then.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PrefixUpdate {
    pub(crate) prefix: Prefix,
    pub(crate) update: Update<Bytes>,
    pub(crate) revision: u64,
}

/// What a follower lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ViewUpdate {
    pub(crate) prefixes: Vec<PrefixUpdate>,
    /// The age of the source's view.
    pub(crate) age: Duration,
    /// The time since the store has responded again after an outage; `None` if there was none.
    pub(crate) since_outage: Option<Duration>,
}

/// What a follower lacks, and the source's proof that its copy of the operators' objects is complete.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Followed {
    pub(crate) update: ViewUpdate,
    /// The age of the source's proof at the time of this response, since boot; `None` without one.
    pub(crate) proof_age: Option<Duration>,
    /// How long the source held the request, since boot.
    pub(crate) held: Duration,
}

/// The revision up to which each of a follower's copies is complete; `None` before the first read.
pub(crate) type Revisions = Vec<(Prefix, Option<u64>)>;

/// The copies of all prefixes at this node, and how current they are.
pub(crate) struct View {
    state: Mutex<State>,
    /// Incremented with each change of a copy.
    generation: watch::Sender<u64>,
}

/// The mutable part of a view.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) replicas: [Replica<Bytes>; Prefix::ALL.len()],
    /// The prefixes that a watch of the store keeps current.
    pub(crate) watched: [bool; Prefix::ALL.len()],
    /// When the store last answered a watch or a read of each prefix, since boot.
    pub(crate) proved_at: [Option<Duration>; Prefix::ALL.len()],
    /// As of when a source's view was current that this node has received.
    pub(crate) followed_at: Option<Instant>,
    /// The prefixes for which the last call to the store failed.
    pub(crate) has_failed: [bool; Prefix::ALL.len()],
    /// The source that answered last; `None` while this node watches the store or has no source.
    pub(crate) source: Option<Id>,
    /// When the store responded again after an outage.
    pub(crate) reconnected_at: Option<Instant>,
}

/// How this node gets the store's changes, for operators.
pub(crate) struct Standing {
    /// The node that it follows; `None` while it watches the store or has no source.
    pub(crate) source: Option<Id>,
    /// The age of its view; `None` before the first one.
    pub(crate) age: Option<Duration>,
}

/// How current the copy of a prefix is, for operators.
#[derive(Debug, Serialize)]
pub(crate) struct PrefixStanding {
    /// The revision up to which it is complete; `None` before the first read.
    revision: Option<u64>,
    /// Whether a watch of the store keeps it current.
    watched: bool,
    /// When the store last answered a watch or a read of it; `None` if it never has.
    answered_ms_ago: Option<u128>,
}

impl Prefix {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Servers, Self::Members];

    pub(crate) fn key(self) -> &'static str {
        match self {
            Self::Operators => registry::OPERATOR_PREFIX,
            Self::Servers => registry::SERVER_PREFIX,
            Self::Members => member::PREFIX,
        }
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            generation: watch::channel(0).0,
        }
    }
}

impl View {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn revisions(&self) -> Revisions {
        let state = self.lock();
        Prefix::ALL
            .into_iter()
            .map(|prefix| (prefix, state.replicas[prefix as usize].revision()))
            .collect()
    }
}

impl State {
    /// Returns as of when the view was current, or `None` before the first one. That the store answers other calls shows
    /// only that watches may be answered too: each watch must have been answered itself.
    fn current_at(&self, shared: &Shared) -> Option<Instant> {
        let is_watching = self.watched.iter().all(|is_watched| *is_watched);
        let now = shared.boot_time();
        let is_proved = |at: &Option<Duration>| at.is_some_and(|at| now < at + MAX_PROOF_AGE);
        let is_current = is_watching && self.proved_at.iter().all(is_proved);
        let watched_at = shared.store.last_answered().filter(|_| is_current);
        watched_at.max(self.followed_at)
    }

    fn updates_since(&self, revisions: &Revisions) -> Option<Vec<PrefixUpdate>> {
        revisions
            .iter()
            .map(|(prefix, after)| {
                let (update, revision) = self.replicas[*prefix as usize].since(*after)?;
                Some(PrefixUpdate {
                    prefix: *prefix,
                    update,
                    revision,
                })
            })
            .collect()
    }
}

impl PrefixUpdate {
    fn is_empty(&self) -> bool {
        matches!(&self.update, Update::Changes(changes) if changes.is_empty())
    }
}

/// Returns how this node gets the store's changes.
pub(crate) fn standing(shared: &Shared) -> Standing {
    let state = shared.view.lock();
    let now = shared.now();
    Standing {
        source: state.source.clone(),
        age: state
            .current_at(shared)
            .map(|at| now.saturating_duration_since(at)),
    }
}

/// Returns how current the copy of each prefix is, for operators.
pub(crate) fn prefixes(shared: &Shared) -> BTreeMap<&'static str, PrefixStanding> {
    let state = shared.view.lock();
    let now = shared.boot_time();
    let standing = |prefix: Prefix| PrefixStanding {
        revision: state.replicas[prefix as usize].revision(),
        watched: state.watched[prefix as usize],
        answered_ms_ago: state.proved_at[prefix as usize]
            .map(|at| now.saturating_sub(at).as_millis()),
    };
    Prefix::ALL
        .into_iter()
        .map(|prefix| (prefix.key(), standing(prefix)))
        .collect()
}

/// Returns whether this node watches the store itself.
pub(crate) fn is_watching(shared: &Shared) -> bool {
    shared.view.lock().watched.iter().any(|watched| *watched)
}

/// Returns what a follower lacks; waits up to `wait` for a change. Returns `None` if this node's own
/// view is not current.
pub(crate) async fn updates(
    shared: &Shared,
    revisions: Revisions,
    wait: Duration,
) -> Option<ViewUpdate> {
    let (update, _) = wait_for_update(shared, revisions, wait, || false).await?;
    Some(update)
}

/// Returns what a follower lacks with this node's proof; waits up to `wait` for a change or a proof that is
/// much newer than the follower's, whose age is `proof_age`. Returns `None` if this node's own view is not
/// current.
pub(crate) async fn follow(
    shared: &Shared,
    revisions: Revisions,
    proof_age: Option<Duration>,
    wait: Duration,
) -> Option<Followed> {
    let arrived_at = shared.boot_time();
    let is_worth_passing = || {
        let now = shared.boot_time();
        let held = now.saturating_sub(arrived_at);
        shared.freshness.is_worth_passing(proof_age, held, now)
    };
    let (update, confirmed_at) = wait_for_update(shared, revisions, wait, is_worth_passing).await?;
    let now = shared.boot_time();
    Some(Followed {
        update,
        proof_age: confirmed_at.map(|at| now.saturating_sub(at)),
        held: now.saturating_sub(arrived_at),
    })
}

/// Returns what a follower lacks, and as of when it proves the follower's copy of the operators' objects to be
/// complete. Waits up to `wait` for a change or until `is_due`, which is checked with each new proof.
async fn wait_for_update(
    shared: &Shared,
    revisions: Revisions,
    wait: Duration,
    is_due: impl Fn() -> bool,
) -> Option<(ViewUpdate, Option<Duration>)> {
    let deadline = shared.now() + wait;
    let mut generation = shared.view.generation.subscribe();
    let mut proofs = shared.freshness.subscribe();
    let mut stale_deadline = None;
    loop {
        generation.mark_unchanged();
        proofs.mark_unchanged();
        // Read before the copy, which may become newer than the proof but not the reverse.
        let confirmed_at = shared.freshness.confirmed_at();
        let now = shared.now();
        let next_check;
        {
            let state = shared.view.lock();
            let current_at = state
                .current_at(shared)
                .filter(|at| now < *at + MAX_VIEW_AGE);
            match (current_at, state.updates_since(&revisions)) {
                (Some(current_at), Some(prefixes)) => {
                    stale_deadline = None;
                    let has_changes = prefixes.iter().any(|update| !update.is_empty());
                    if has_changes || now >= deadline || is_due() {
                        let update = ViewUpdate {
                            prefixes,
                            age: now.saturating_duration_since(current_at),
                            since_outage: state
                                .reconnected_at
                                .map(|at| now.saturating_duration_since(at)),
                        };
                        return Some((update, confirmed_at));
                    }
                    // The view may become too old before the end of the wait.
                    next_check = deadline.min(current_at + MAX_VIEW_AGE);
                }
                _ => {
                    let end = *stale_deadline.get_or_insert(deadline.min(now + STALE_WAIT));
                    if now >= end {
                        return None;
                    }
                    next_check = end.min(now + STALE_POLL_INTERVAL);
                }
            }
        }
        tokio::select! {
            _ = generation.changed() => {}
            _ = proofs.changed() => {}
            () = tokio::time::sleep_until(next_check.into()) => {}
        }
    }
}

/// Adds an entry that this node has written to its own copy, because other tasks may need it before
/// the watch returns it.
pub(crate) fn apply_own_write(shared: &Shared, key: &str, value: Vec<u8>, revision: u64) {
    let change = Change {
        key: Name::from(key),
        revision,
        value: Some(Bytes::from(value)),
    };
    apply_changes(shared, Prefix::Members, vec![change], 0);
}

/// Records the end of an outage of the store, unless it is known already.
pub(crate) fn record_outage(shared: &Shared, reconnected_at: Option<Instant>) {
    let Some(reconnected_at) = reconnected_at else {
        return;
    };
    let mut state = shared.view.lock();
    // The times of different nodes differ by their messages' transit.
    let is_known = state
        .reconnected_at
        .is_some_and(|known| reconnected_at < known + MAX_VIEW_AGE);
    if is_known {
        return;
    }
    state.reconnected_at = Some(reconnected_at);
    drop(state);
    object::start_recovery(shared, reconnected_at);
}

/// Applies what a source or a read of the store has sent for one prefix.
pub(crate) fn apply_update(shared: &Shared, update: PrefixUpdate) {
    let PrefixUpdate {
        prefix,
        update,
        revision,
    } = update;
    match update {
        Update::Changes(changes) => apply_changes(shared, prefix, changes, revision),
        Update::Snapshot(changes) => {
            let _application = lock_application(shared, prefix);
            let entries = changes
                .into_iter()
                .filter_map(|change| Some((change.key, change.revision, change.value?)));
            let (changes, is_first_read) = {
                let mut state = shared.view.lock();
                let replica = &mut state.replicas[prefix as usize];
                let is_first_read = replica.revision().is_none();
                (replica.replace(entries, revision), is_first_read)
            };
            if prefix == Prefix::Servers && !is_first_read {
                // A server may have come and gone since the former revision.
                shared.balancer().record_gap(shared.now());
            }
            notify(shared, prefix, &changes, is_first_read);
        }
    }
}

/// Applies changes of a prefix, after which its copy is complete up to `revision`.
pub(crate) fn apply_changes(
    shared: &Shared,
    prefix: Prefix,
    changes: Vec<object::Change>,
    revision: u64,
) {
    let _application = lock_application(shared, prefix);
    let changes = shared.view.lock().replicas[prefix as usize].apply(changes, revision);
    notify(shared, prefix, &changes, false);
}

/// Returns a guard to hold until a change of the operators' objects is in force; `None` for other prefixes.
fn lock_application(shared: &Shared, prefix: Prefix) -> Option<MutexGuard<'_, ()>> {
    (prefix == Prefix::Operators).then(|| shared.freshness.lock_application())
}

/// Applies the changes of a copy to this node, and wakes waiting followers.
fn notify(shared: &Shared, prefix: Prefix, changes: &[object::Change], is_first_read: bool) {
    if changes.is_empty() && !is_first_read {
        return;
    }
    object::apply(shared, prefix, changes, is_first_read);
    shared
        .view
        .generation
        .send_modify(|generation| *generation += 1);
}
