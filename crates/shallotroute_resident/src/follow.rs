//! Follows prefixes of the platform's store: one read of the whole prefix, then its changes.
//!
//! In each availability zone one node, the source, watches the store. The other nodes, its
//! followers, get the changes from the source, and watch the store themselves when the source does
//! not respond in time or can't reach the store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use shallotroute_adapter::{
    registry::{self, Object},
    store::{Change, Item},
};
use shallotroute_fleet::change_log::{Log, Lookup};
use shallotroute_types::name::Name;
use tokio::sync::watch;

use crate::{
    member,
    shared::{ActiveTable, Shared},
    store::{Error, Result},
};

/// How long the store may hold a watch open without a change. Longer watches need fewer calls; the
/// time stays below that for which the store retains its history.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a source lets a follower wait without a change. A failed source is noticed after this
/// time. This time, together with a watch of the store, stays below the time after which a leaving
/// server may get no request.
const SOURCE_POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// The maximum age of a source's last response from the store; an older source may have missed a
/// change. A source renews its lease twice in this time.
const SOURCE_MAX_STALENESS: Duration = Duration::from_millis(950);

/// How long the response of a source may take beyond [`SOURCE_POLL_TIMEOUT`].
const SOURCE_CALL_MARGIN: Duration = Duration::from_millis(200);

/// How long a node watches the store itself after its source has failed.
const SOURCE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The delay between two watches of the host list, whose entries change often. Together with the
/// store's response time it stays far below the time after which a leaving server may get no
/// request.
const SERVER_WATCH_DELAY: Duration = Duration::from_millis(700);

/// The delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

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

/// The recent changes of one prefix, from which this node serves its followers.
pub(crate) struct ChangeLog {
    log: Mutex<Log<Change>>,
    last_revision: watch::Sender<u64>,
}

/// The change logs of all prefixes.
#[derive(Default)]
pub(crate) struct ChangeLogs {
    operators: ChangeLog,
    servers: ChangeLog,
    members: ChangeLog,
}

/// The changes that a follower gets, with the revision up to which they are complete; `None` if the
/// follower has to ask the store.
pub(crate) type ChangeBatch = Option<(Vec<Change>, u64)>;

/// An update of a prefix.
enum Update {
    /// All items of the prefix.
    Snapshot(Vec<Item>),
    Change(Change),
    /// The store responds again after a failure.
    Reconnected,
}

impl Prefix {
    fn key(self) -> &'static str {
        match self {
            Self::Operators => registry::OPERATOR_PREFIX,
            Self::Servers => registry::SERVER_PREFIX,
            Self::Members => member::PREFIX,
        }
    }

    fn watch_delay(self) -> Duration {
        match self {
            Self::Servers => SERVER_WATCH_DELAY,
            Self::Operators | Self::Members => Duration::ZERO,
        }
    }

    fn apply(self, shared: &Shared, update: Update) {
        match self {
            Self::Operators => apply_operator_update(shared, update),
            Self::Servers => apply_server_update(shared, update),
            Self::Members => apply_member_update(shared, update),
        }
    }
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self {
            log: Mutex::default(),
            last_revision: watch::channel(0).0,
        }
    }
}

impl ChangeLog {
    /// Accesses the log, and wakes waiting followers if its last revision has changed.
    fn with_log<T>(&self, action: impl FnOnce(&mut Log<Change>) -> T) -> T {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let result = action(&mut log);
        let seen = log.last_revision();
        self.last_revision.send_if_modified(|last| {
            let changed = *last != seen;
            *last = seen;
            changed
        });
        result
    }
}

impl ChangeLogs {
    fn get(&self, prefix: Prefix) -> &ChangeLog {
        match prefix {
            Prefix::Operators => &self.operators,
            Prefix::Servers => &self.servers,
            Prefix::Members => &self.members,
        }
    }
}

/// Returns the changes after a revision for a follower; waits up to [`SOURCE_POLL_TIMEOUT`] for
/// one. Returns `None` if this node may have missed a change or does not hold all changes.
pub(crate) async fn changes(shared: &Shared, prefix: Prefix, after: u64) -> ChangeBatch {
    let fresh_until = || {
        shared
            .store
            .last_answered()
            .map(|last| last + SOURCE_MAX_STALENESS)
    };
    let change_log = shared.change_logs.get(prefix);
    let mut last_revision = change_log.last_revision.subscribe();
    let changed = last_revision.wait_for(|seen| *seen > after);
    let deadline = fresh_until()?.min(shared.now() + SOURCE_POLL_TIMEOUT);
    // After a timeout the batch is empty, which confirms that this node still follows the store.
    let _ = tokio::time::timeout_at(deadline.into(), changed).await;
    if fresh_until()? <= shared.now() {
        return None;
    }
    match change_log.with_log(|log| log.changes_after(after)) {
        Lookup::Changes(changes, revision) => Some((changes, revision)),
        Lookup::TooOld | Lookup::Uninitialized => None,
    }
}

/// Follows a prefix for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, prefix: Prefix) {
    let mut revision = None;
    let mut is_failing = false;
    let mut next_source_attempt = tokio::time::Instant::now();
    loop {
        let source = match tokio::time::Instant::now() >= next_source_attempt {
            true => source_address(&shared),
            false => None,
        };
        if let (Some(source), Some(after)) = (source, revision) {
            match from_source(&shared, prefix, source, after).await {
                Some((changes, next)) => {
                    apply_changes(&shared, prefix, changes, next);
                    revision = Some(next);
                }
                None => next_source_attempt = tokio::time::Instant::now() + SOURCE_RETRY_DELAY,
            }
            continue;
        }
        let result = from_store(&shared, prefix, revision).await;
        if is_failing && result.is_ok() {
            is_failing = false;
            prefix.apply(&shared, Update::Reconnected);
        }
        match result {
            Ok(next) => {
                let changed = revision.is_some_and(|last| next > last);
                revision = Some(next);
                if changed {
                    tokio::time::sleep(prefix.watch_delay()).await;
                }
            }
            Err(Error::HistoryGone) => {
                spdlog::info!("platform store dropped the history; reading the whole prefix", kv: {
                    prefix = prefix.key(),
                });
                revision = None;
            }
            Err(error) => {
                if !is_failing {
                    spdlog::warn!("failed to follow the platform store; retrying", kv: {
                        prefix = prefix.key(), error = error.to_string(),
                    });
                }
                is_failing = true;
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the address of this availability zone's source, or `None` if there is none or if this
/// node is the source.
fn source_address(shared: &Shared) -> Option<SocketAddr> {
    let members = shared.members.borrow();
    let source = members.source_for(&shared.settings.node.zone)?;
    (source.owner != shared.owner).then_some(source.owner.address)
}

async fn from_source(
    shared: &Shared,
    prefix: Prefix,
    source: SocketAddr,
    after: u64,
) -> ChangeBatch {
    let timeout = SOURCE_POLL_TIMEOUT + SOURCE_CALL_MARGIN;
    let response = shared
        .peers
        .call(source, timeout, |client, context| async move {
            client.prefix_changes(context, prefix, after).await
        })
        .await;
    match response {
        Ok(Some(batch)) => return Some(batch),
        Ok(None) => spdlog::info!("source does not have the changes", kv: {
            prefix = prefix.key(), source = source.to_string(), after,
        }),
        Err(error) => spdlog::info!("source did not respond", kv: {
            prefix = prefix.key(), source = source.to_string(), reason = format!("{error:?}"),
        }),
    }
    None
}

/// Reads the whole prefix, or waits for changes after a revision, and applies them. Returns the
/// revision up to which they are complete.
async fn from_store(shared: &Shared, prefix: Prefix, after: Option<u64>) -> Result<u64> {
    match after {
        None => {
            let (items, revision) = shared.store.range(prefix.key()).await?;
            prefix.apply(shared, Update::Snapshot(items));
            shared
                .change_logs
                .get(prefix)
                .with_log(|log| log.reset(revision));
            Ok(revision)
        }
        Some(after) => {
            let changes = shared
                .store
                .watch(prefix.key(), after, WATCH_TIMEOUT)
                .await?;
            apply_changes(shared, prefix, changes.changes, changes.revision);
            Ok(changes.revision)
        }
    }
}

/// Applies changes and adds them to the change log for followers.
fn apply_changes(shared: &Shared, prefix: Prefix, changes: Vec<Change>, revision: u64) {
    let log_entries: Vec<(u64, Change)> = changes
        .iter()
        .map(|change| (change.revision(), change.clone()))
        .collect();
    for change in changes {
        prefix.apply(shared, Update::Change(change));
    }
    shared
        .change_logs
        .get(prefix)
        .with_log(|log| log.extend(log_entries, revision));
}

fn apply_operator_update(shared: &Shared, update: Update) {
    match update {
        Update::Snapshot(items) => {
            for item in items {
                apply_operator_item(shared, &item);
            }
        }
        Update::Change(Change::Put(item)) => apply_operator_item(shared, &item),
        Update::Change(Change::Removed { key, .. }) => {
            if let Some(node) = registry::retirement_target(&key) {
                shared.retirements.send_modify(|nodes| {
                    nodes.remove(&node);
                });
            }
        }
        Update::Reconnected => {}
    }
}

fn apply_operator_item(shared: &Shared, item: &Item) {
    match registry::parse_object(&item.key, &item.value) {
        Ok(Object::Configuration(table)) => {
            let last = shared.table().map_or(0, |table| table.version());
            // A page of a range may be older than a change that was applied before.
            if table.version() <= last {
                return;
            }
            spdlog::info!("configuration in force", kv: {
                version = table.version(),
                replaced = last,
                revision = item.revision,
            });
            let version = i64::try_from(table.version()).unwrap_or(i64::MAX);
            shared.metrics.configuration_version.set(version);
            shared.active_table.send_replace(Some(ActiveTable {
                table: Arc::new(table),
                since: shared.now(),
            }));
        }
        Ok(Object::Version { model, version }) => shared.targets.send_modify(|targets| {
            let target = targets.entry(model.clone()).or_default();
            if version > *target {
                spdlog::info!("trainer set a target version", kv: {
                    model = model.as_str(), version = version.0,
                });
                *target = version;
            }
        }),
        Ok(Object::Retirement { node }) => shared.retirements.send_modify(|nodes| {
            nodes.insert(node);
        }),
        Ok(Object::Other) => {}
        Err(error) => {
            spdlog::error!("failed to decode an operator's object; ignoring it", kv: {
                key = item.key.as_str(),
                revision = item.revision,
                error = error.to_string(),
            });
        }
    }
}

fn apply_server_update(shared: &Shared, update: Update) {
    let now = shared.now();
    match update {
        Update::Snapshot(items) => {
            let servers = items.iter().filter_map(read_server).collect();
            shared.balancer().replace(servers, now);
            shared.has_host_list.send_replace(true);
        }
        Update::Change(Change::Put(item)) => match read_server(&item) {
            Some(server) => {
                let (id, draining) = (server.id.clone(), server.is_draining);
                let started = shared.balancer().insert(server);
                if started || draining {
                    spdlog::info!("server listed", kv: {
                        server = id.as_str(), draining, started, revision = item.revision,
                    });
                }
            }
            None => {
                if let Some(id) = registry::server_id(&item.key) {
                    shared.balancer().remove(&id, now);
                }
            }
        },
        Update::Change(Change::Removed { key, .. }) => {
            if let Some(id) = registry::server_id(&key) {
                spdlog::info!("server removed from the host list", kv: { server = id.as_str() });
                shared.balancer().remove(&id, now);
            }
        }
        Update::Reconnected => shared.balancer().start_recovery(now),
    }
}

/// Decodes an entry of the host list; `None` if its key names no server or its value can't be
/// decoded.
fn read_server(item: &Item) -> Option<shallotroute_fleet::server::Server> {
    let id: Name = registry::server_id(&item.key)?;
    match registry::parse_server(id, &item.value) {
        Ok(server) => Some(server),
        Err(error) => {
            spdlog::warn!("failed to decode an entry of the host list", kv: {
                key = item.key.as_str(), error = error.to_string(),
            });
            None
        }
    }
}

fn apply_member_update(shared: &Shared, update: Update) {
    let now = shared.now();
    let own = &shared.owner.node;
    shared.members.send_modify(|members| match update {
        Update::Snapshot(items) => {
            let had_entry = members.nodes.contains_key(own);
            let entries: Vec<(String, Vec<u8>, u64)> = items
                .into_iter()
                .map(|item| (item.key, item.value, item.revision))
                .collect();
            // The first read may be older than the entry that this process has already written.
            let is_first_read = !std::mem::replace(&mut members.is_loaded, true);
            let own_entry = members.nodes.get(own).cloned();
            members.replace(&entries);
            match (is_first_read, own_entry) {
                (true, Some(own_entry)) => {
                    members.nodes.insert(own.clone(), own_entry);
                }
                _ if had_entry && !members.nodes.contains_key(own) => members.entry_losses += 1,
                _ => {}
            }
        }
        Update::Change(Change::Put(item)) => members.put(&item.key, &item.value, item.revision),
        Update::Change(Change::Removed { key, .. }) => {
            spdlog::info!("member entry removed", kv: { key = key.as_str() });
            members.remove(&key);
            if key == member::node_key(own) {
                members.entry_losses += 1;
            }
        }
        Update::Reconnected => members.reconnected_at = Some(now),
    });
    let relays = shared
        .members
        .borrow()
        .nodes
        .values()
        .filter(|member| member.owner != shared.owner)
        .map(|member| member.owner.address)
        .collect();
    shared.store.set_relays(relays);
}
