//! Follows the platform's store: the operators' objects, the host list and the members.
//!
//! Where the changes come from is decided by [`source::Selector`]: from another node, or from
//! watches of the store. This module performs its choices and keeps the [view](crate::view) current.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use shallotroute_adapter::store::{Change as StoreChange, Changes, Item};
use shallotroute_fleet::{
    freshness::Passed,
    replica::{Change, Update},
    source::{self, Choice, Failure, Selector},
};
use shallotroute_types::{name::Name, node::Id};
use tokio::{sync::watch, task::JoinSet};

use crate::{
    admission,
    member::{self, Members},
    object,
    peer::CallError,
    shared::Shared,
    store::{Error, Result, WATCH_MARGIN},
    view::{
        MAX_VIEW_AGE, Prefix, PrefixUpdate, ViewUpdate, apply_changes, apply_update, record_outage,
    },
};

/// How long the store may hold a watch open without a change. Only the response to the watch itself shows that nothing
/// was missed: if it is lost, other calls still succeed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1900);

/// [`WATCH_TIMEOUT`] of the operators' objects while their copy is confirmed about once a second by calls of its own
/// ([`crate::freshness`]).
const CONFIRMED_WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after a lost response within which a node must have noticed and watch again: it counts as reaching the
/// store from then on.
const STABLE_PERIOD: Duration = Duration::from_secs(3);

const _: () = assert!(
    WATCH_TIMEOUT.as_millis() + WATCH_MARGIN.as_millis() < STABLE_PERIOD.as_millis(),
    "a lost response to a watch must be noticed in time"
);

/// The timeout of the first watch, whose response shows that the node's view is current.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// How long the response of a source may take beyond the time for which it holds the request.
const POLL_MARGIN: Duration = Duration::from_millis(200);

/// [`POLL_MARGIN`] of a response with all entries.
const SNAPSHOT_MARGIN: Duration = Duration::from_millis(1200);

/// The longest time between two responses to the watch of a prefix.
pub(crate) const MAX_PROOF_AGE: Duration = Duration::from_millis(
    (WATCH_TIMEOUT.as_millis() + WATCH_MARGIN.as_millis() + SERVER_WATCH_DELAY.as_millis()) as u64,
);

/// The delay between two watches of the host list, whose entries change often. Together with the
/// store's response time it stays far below the time after which a leaving server may get no
/// request.
const SERVER_WATCH_DELAY: Duration = Duration::from_millis(700);

/// How long the watches of the other prefixes wait for that of the operators' objects to reach the store again.
const MAX_UNREACHABLE_WAIT: Duration = Duration::from_millis(500);

/// How long a trial of the store may take to get its first answer; a slow store needs a quarter of a second.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(900);

/// The interval of the calls by which a node that is no source checks that the store still serves it.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

const _: () = assert!(
    CHECK_INTERVAL.as_millis() < MAX_VIEW_AGE.as_millis(),
    "a view must be confirmed before it is too old"
);

/// The delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The version of the calls between nodes with which sources pass on their proofs.
pub(crate) const FOLLOW_PROTOCOL: u32 = 1;

/// Follows the store for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let node = shared.source_node();
    let hints = read_hints(&shared).await;
    let mut follower = Follower {
        selector: Selector::new(node.clone(), rand::random()),
        node,
        members: shared.members.subscribe(),
        hints,
        watches: JoinSet::new(),
        trial_ends_at: None,
        shared,
    };
    loop {
        follower.step().await;
    }
}

/// Performs the choices of a selector.
struct Follower {
    shared: Arc<Shared>,
    node: source::Node,
    selector: Selector,
    members: watch::Receiver<Members>,
    /// The members at some time before the start of this node, by which it finds its first source.
    hints: Members,
    /// The watches of the store, or the trial of one; empty while this node follows a source.
    watches: JoinSet<()>,
    /// Until when a trial may take to get its first answer.
    trial_ends_at: Option<Instant>,
}

impl Follower {
    async fn step(&mut self) {
        let is_loaded = self.members.borrow_and_update().is_loaded;
        let registered = match is_loaded {
            true => self.members.borrow().source_nodes(),
            false => self.hints.source_nodes(),
        };
        match self.selector.choose(&registered, self.shared.now()) {
            Choice::Poll { source, wait } => self.poll(source, wait).await,
            Choice::Watch { .. } if !is_loaded => self.read_members(&registered).await,
            Choice::Watch { until } => {
                self.start_watching();
                self.wait_for_members(until).await;
            }
            Choice::Try(_) if !is_loaded => self.read_members(&registered).await,
            Choice::Try(until) => {
                self.try_store();
                self.wait_for_members(Some(until)).await;
            }
            Choice::Wait(until) => {
                let now = self.shared.now();
                let answered_at = self.shared.store.last_answered();
                let is_current =
                    answered_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_VIEW_AGE);
                if !is_current && self.trial_ends_at.is_none_or(|end| now >= end) {
                    self.stop_watching();
                }
                self.wait_for_members(Some(until)).await;
            }
        }
    }

    async fn poll(&mut self, source: Id, wait: Duration) {
        let found = {
            let members = self.members.borrow();
            let members = match members.is_loaded {
                true => &*members,
                false => &self.hints,
            };
            members.nodes.get(&source).map(|member| {
                let gives_proofs = members.speaks(&member.owner, FOLLOW_PROTOCOL);
                (member.owner.address, gives_proofs)
            })
        };
        let polled = match found {
            Some((address, gives_proofs)) => {
                let asks_for_proof = gives_proofs && self.shared.requires_freshness();
                poll(&self.shared, &source, address, wait, asks_for_proof).await
            }
            None => Err(Failure::Unreachable),
        };
        match polled {
            Ok(()) => {
                self.selector.record_response(&source);
                self.stop_watching();
            }
            Err(failure) => {
                let now = self.shared.now();
                self.selector.record_failure(&source, failure, now);
            }
        }
    }

    /// Reads the members from the store, because no source is known. The nodes that start together do
    /// so one after another.
    async fn read_members(&mut self, registered: &[source::Node]) {
        if !self.hints.nodes.contains_key(&self.node.id) {
            let delay = source::start_delay(&self.node, registered, rand::random());
            tokio::time::sleep(delay).await;
            // Another node of a fleet that starts may have registered meanwhile.
            self.hints = read_hints(&self.shared).await;
            if !self.hints.nodes.is_empty() {
                return;
            }
        }
        if let Err(error) = read(&self.shared, Prefix::Members).await {
            log_store_error(Prefix::Members, &error);
            tokio::time::sleep(STORE_RETRY_DELAY.mul_f64(rand::random_range(1.0..3.0))).await;
            self.hints = read_hints(&self.shared).await;
        }
    }

    /// Returns whether the watches run. A trial that failed does not count.
    fn is_watching(&mut self) -> bool {
        while self.watches.try_join_next().is_some() {}
        !self.watches.is_empty()
    }

    fn start_watching(&mut self) {
        if self.is_watching() {
            return;
        }
        spdlog::info!("watching the platform store");
        self.shared.view.lock().source = None;
        for prefix in Prefix::ALL {
            self.watches
                .spawn(watch_prefix(Arc::clone(&self.shared), prefix));
        }
    }

    /// Watches the store if it serves this node.
    fn try_store(&mut self) {
        if self.is_watching() {
            return;
        }
        self.trial_ends_at = Some(self.shared.now() + TRIAL_TIMEOUT);
        self.watches
            .spawn(watch_if_served(Arc::clone(&self.shared)));
    }

    fn stop_watching(&mut self) {
        if self.watches.is_empty() {
            return;
        }
        self.watches = JoinSet::new();
        self.shared.view.lock().watched = [false; Prefix::ALL.len()];
    }

    /// Waits until the members change, at most until a time.
    async fn wait_for_members(&mut self, until: Option<Instant>) {
        match until {
            Some(until) => {
                // After the timeout another source is chosen.
                let _ = tokio::time::timeout_at(until.into(), self.members.changed()).await;
            }
            None => {
                // The sender lives as long as the process.
                let _ = self.members.changed().await;
            }
        }
    }
}

/// Reads the members as of some seconds ago, which costs the store less than a current read. Returns
/// none if the store does not respond.
async fn read_hints(shared: &Shared) -> Members {
    let mut hints = Members::default();
    match shared.store.stale_range(member::PREFIX).await {
        Ok((items, _)) => {
            for item in items {
                hints.put(&item.key, &item.value, item.revision);
            }
        }
        Err(error) => log_store_error(Prefix::Members, &error),
    }
    hints
}

/// A source's proof, with the time at which the request for it was sent, since boot.
type Proof = (Duration, Passed);

/// Asks a source for the changes that it has, and for its proof with `asks_for_proof`. Returns `None` if the
/// source has no current view.
async fn request_updates(
    shared: &Shared,
    address: SocketAddr,
    wait: Duration,
    asks_for_proof: bool,
) -> std::result::Result<Option<(ViewUpdate, Option<Proof>)>, CallError> {
    let revisions = shared.view.revisions();
    let margin = match revisions.iter().all(|(_, revision)| revision.is_some()) {
        true => POLL_MARGIN,
        false => SNAPSHOT_MARGIN,
    };
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let timeout = wait + margin;
    if !asks_for_proof {
        let response = shared
            .peers
            .call(address, timeout, |client, context| async move {
                client.view_updates(context, revisions, wait_ms).await
            })
            .await?;
        return Ok(response.map(|update| (update, None)));
    }
    let sent_at = shared.boot_time();
    let proof_age = shared.freshness.age(sent_at);
    let response = shared
        .peers
        .call(address, timeout, |client, context| async move {
            client.follow(context, revisions, proof_age, wait_ms).await
        })
        .await?;
    Ok(response.map(|followed| {
        let held = followed.held;
        let proof = followed
            .proof_age
            .map(|age| (sent_at, Passed { age, held }));
        (followed.update, proof)
    }))
}

/// Gets the changes that a source has, and applies them.
async fn poll(
    shared: &Shared,
    source: &Id,
    address: SocketAddr,
    wait: Duration,
    asks_for_proof: bool,
) -> std::result::Result<(), Failure> {
    let response = request_updates(shared, address, wait, asks_for_proof).await;
    let (update, proof) = match response {
        Ok(Some(update)) => update,
        Ok(None) => {
            // Logged once: while the store is away, sources are asked several times a second.
            if shared
                .view
                .lock()
                .source
                .take_if(|followed| followed == source)
                .is_some()
            {
                spdlog::info!("source has no current view", kv: { source = source.as_str() });
            }
            return Err(Failure::Stale);
        }
        Err(error) => {
            spdlog::info!("source did not respond", kv: {
                source = source.as_str(), reason = format!("{error:?}"),
            });
            return Err(Failure::Unreachable);
        }
    };
    let now = shared.now();
    let reconnected_at = update
        .since_outage
        .and_then(|since_outage| now.checked_sub(since_outage));
    // Removals after an outage are applied differently.
    record_outage(shared, reconnected_at);
    for prefix in update.prefixes {
        apply_update(shared, prefix);
    }
    if let Some((sent_at, passed)) = proof {
        let now = shared.boot_time();
        shared.freshness.confirm_from_source(sent_at, passed, now);
    }
    let mut state = shared.view.lock();
    let is_new_source = state.source.as_ref() != Some(source);
    state.source = Some(source.clone());
    state.followed_at = state.followed_at.max(now.checked_sub(update.age));
    drop(state);
    if is_new_source {
        spdlog::info!("following a source", kv: {
            source = source.as_str(), age_ms = update.age.as_millis(),
        });
    }
    Ok(())
}

/// Watches the store until the task is aborted, if the store serves this node.
async fn watch_if_served(shared: Arc<Shared>) {
    if let Err(error) = fetch_proof(&shared).await {
        spdlog::info!("no source has a current view, and the store does not serve this node", kv: {
            error = error.to_string(),
        });
        return;
    }
    spdlog::info!("watching the platform store");
    shared.view.lock().source = None;
    let watch_all = futures::future::join_all(
        Prefix::ALL.map(|prefix| watch_prefix(Arc::clone(&shared), prefix)),
    );
    // The watches are long, and a node that is not registered makes no other calls that show that its view is current.
    let check = async {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            // Without an answer for some time the follower ends the task.
            let _ = fetch_proof(&shared).await;
        }
    };
    tokio::join!(watch_all, check);
}

/// Keeps a prefix current from the store until the task is aborted.
async fn watch_prefix(shared: Arc<Shared>, prefix: Prefix) {
    let mut is_first = true;
    let mut is_failing = false;
    let mut must_read = false;
    loop {
        let revision = shared.view.lock().replicas[prefix as usize].revision();
        let result = match revision {
            Some(after) if !must_read => {
                let timeout = match is_first {
                    true => FIRST_WATCH_TIMEOUT,
                    false => watch_timeout(&shared, prefix),
                };
                watch(&shared, prefix, after, timeout).await
            }
            _ => read(&shared, prefix).await,
        };
        match result {
            Ok(has_changes) => {
                is_failing = false;
                must_read = false;
                shared.view.lock().watched[prefix as usize] = true;
                if has_changes && !is_first {
                    tokio::time::sleep(watch_delay(prefix)).await;
                }
                is_first = false;
            }
            Err(Error::HistoryGone) => {
                spdlog::info!("platform store dropped the history; reading the whole prefix", kv: {
                    prefix = prefix.key(),
                });
                must_read = true;
            }
            Err(error) => {
                if !is_failing {
                    log_store_error(prefix, &error);
                }
                is_failing = true;
                is_first = true;
                shared.view.lock().watched[prefix as usize] = false;
                tokio::time::sleep(admission::pause(STORE_RETRY_DELAY)).await;
                // One prefix suffices to notice that the store is back.
                if prefix != Prefix::Operators {
                    shared
                        .store
                        .wait_until_reachable(MAX_UNREACHABLE_WAIT)
                        .await;
                }
            }
        }
    }
}

fn watch_timeout(shared: &Shared, prefix: Prefix) -> Duration {
    match prefix {
        Prefix::Operators if shared.requires_freshness() => CONFIRMED_WATCH_TIMEOUT,
        Prefix::Operators | Prefix::Servers | Prefix::Members => WATCH_TIMEOUT,
    }
}

fn watch_delay(prefix: Prefix) -> Duration {
    match prefix {
        Prefix::Servers => SERVER_WATCH_DELAY,
        Prefix::Operators | Prefix::Members => Duration::ZERO,
    }
}

fn log_store_error(prefix: Prefix, error: &Error) {
    spdlog::warn!("failed to follow the platform store; retrying", kv: {
        prefix = prefix.key(), error = error.to_string(),
    });
}

/// Waits for changes after a revision and applies them. Returns whether there are any.
async fn watch(shared: &Shared, prefix: Prefix, after: u64, timeout: Duration) -> Result<bool> {
    let sent_at = shared.boot_time();
    let response = shared.store.watch(prefix.key(), after, timeout).await;
    let response = record_store_result(shared, prefix, response)?;
    Ok(apply_watched(shared, prefix, response, sent_at))
}

/// Applies the response to a watch that was sent at `sent_at`, since boot. Returns whether it has changes.
fn apply_watched(shared: &Shared, prefix: Prefix, response: Changes, sent_at: Duration) -> bool {
    let changes: Vec<object::Change> = response
        .changes
        .into_iter()
        .map(|change| match change {
            StoreChange::Put(item) => item_change(item),
            StoreChange::Removed { key, revision } => Change {
                key: Name::from(key),
                revision,
                value: None,
            },
        })
        .collect();
    let has_changes = !changes.is_empty();
    apply_changes(shared, prefix, changes, response.revision);
    record_proof(shared, prefix, sent_at);
    has_changes
}

/// Records that the store has answered a watch or a read of a prefix that was sent at `sent_at`, since boot.
fn record_proof(shared: &Shared, prefix: Prefix, sent_at: Duration) {
    shared.view.lock().proved_at[prefix as usize] = Some(shared.boot_time());
    if prefix == Prefix::Operators {
        shared.freshness.confirm(sent_at);
    }
}

/// Has the store confirm that this node's copy of the operators' objects is complete, or brings it up to date.
///
/// A failure is not recorded as an outage of the store: most nodes follow others, and their own calls may
/// fail alone.
///
/// # Errors
///
/// Returns an error if the store answers neither this node nor its relays.
pub(crate) async fn fetch_proof(shared: &Shared) -> Result<()> {
    let prefix = Prefix::Operators;
    let revision = shared.view.lock().replicas[prefix as usize].revision();
    let sent_at = shared.boot_time();
    let watched = match revision {
        Some(after) => {
            shared
                .store
                .watch(prefix.key(), after, FIRST_WATCH_TIMEOUT)
                .await
        }
        None => Err(Error::HistoryGone),
    };
    match watched {
        Ok(response) => {
            apply_watched(shared, prefix, response, sent_at);
        }
        Err(Error::HistoryGone) => {
            let sent_at = shared.boot_time();
            let response = shared.store.range(prefix.key()).await?;
            apply_read(shared, prefix, response, sent_at);
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Makes this node's copy of a prefix as current as the store is now.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub(crate) async fn refresh(shared: &Shared, prefix: Prefix) -> Result<()> {
    let revision = shared.view.lock().replicas[prefix as usize].revision();
    let watched = match revision {
        Some(after) => watch(shared, prefix, after, FIRST_WATCH_TIMEOUT).await,
        None => Err(Error::HistoryGone),
    };
    match watched {
        Err(Error::HistoryGone) => read(shared, prefix).await.map(|_| ()),
        watched => watched.map(|_| ()),
    }
}

/// Reads a whole prefix and applies the differences. Returns `false`, because the next watch need not
/// be delayed.
async fn read(shared: &Shared, prefix: Prefix) -> Result<bool> {
    let sent_at = shared.boot_time();
    let response = shared.store.range(prefix.key()).await;
    let response = record_store_result(shared, prefix, response)?;
    apply_read(shared, prefix, response, sent_at);
    Ok(false)
}

/// Applies a read of a whole prefix that was sent at `sent_at`, since boot.
fn apply_read(
    shared: &Shared,
    prefix: Prefix,
    (items, revision): (Vec<Item>, u64),
    sent_at: Duration,
) {
    let entries = items.into_iter().map(item_change).collect();
    apply_update(
        shared,
        PrefixUpdate {
            prefix,
            update: Update::Snapshot(entries),
            revision,
        },
    );
    record_proof(shared, prefix, sent_at);
}

/// Records the end of an outage if the last call for this prefix failed.
fn record_store_result<T>(shared: &Shared, prefix: Prefix, result: Result<T>) -> Result<T> {
    let now = shared.now();
    let is_failure = matches!(&result, Err(error) if *error != Error::HistoryGone);
    let had_failed = std::mem::replace(
        &mut shared.view.lock().has_failed[prefix as usize],
        is_failure,
    );
    if had_failed && result.is_ok() {
        record_outage(shared, Some(now));
    }
    result
}

fn item_change(item: Item) -> object::Change {
    Change {
        key: Name::from(item.key),
        revision: item.revision,
        value: Some(Bytes::from(item.value)),
    }
}
