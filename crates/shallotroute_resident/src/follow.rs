//! Follows prefixes of the platform's store: a whole read first, then the changes.
//!
//! In each availability zone one node watches the store; the others get the changes from it, and
//! watch the store themselves when it does not answer in time or can't reach the store.

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
use shallotroute_fleet::feed::{Answer, Log};
use shallotroute_types::name::Name;
use tokio::sync::watch;

use crate::{
    member,
    shared::{ActiveTable, Shared},
    store::{Error, Result},
};

/// How long a watch waits. A longer wait costs fewer calls; it stays below the time for which the
/// store keeps its history.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// How long another node lets a follower wait. A source that falls silent is noticed after this
/// time, which with a watch of the store stays below the time after which a leaving server may get
/// no request.
const SOURCE_WAIT: Duration = Duration::from_millis(700);

/// A node whose last answer from the store is older than this is no source: it may have missed a
/// change. A source renews its lease twice in this time.
const SOURCE_TRUST: Duration = Duration::from_millis(950);

/// How long the answer of another node may take beyond that.
const SOURCE_SLACK: Duration = Duration::from_millis(200);

/// How long a source that failed is left alone.
const SOURCE_PAUSE: Duration = Duration::from_secs(3);

/// The pause between two watches of the host list, whose entries change often; together with the
/// store's answer it stays far below the time after which a leaving server may get no request.
const LIST_PAUSE: Duration = Duration::from_millis(700);

/// The pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// A prefix that all nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Prefix {
    /// What operators and trainers write.
    Operators,
    /// The host list.
    Servers,
    /// The nodes.
    Members,
}

/// What other nodes can get from this one.
pub(crate) struct Source {
    log: Mutex<Log<Change>>,
    seen: watch::Sender<u64>,
}

/// The sources of all prefixes.
#[derive(Default)]
pub(crate) struct Sources {
    operators: Source,
    servers: Source,
    members: Source,
}

/// The changes that a follower gets, with the revision up to which they are complete; none when it
/// has to ask the store.
pub(crate) type Fed = Option<(Vec<Change>, u64)>;

/// What a prefix holds, or what has changed there.
enum Feed {
    Whole(Vec<Item>),
    Change(Change),
    /// The prefix can be read again.
    Regained,
}

impl Prefix {
    fn key(self) -> &'static str {
        match self {
            Self::Operators => registry::OPERATOR_PREFIX,
            Self::Servers => registry::SERVER_PREFIX,
            Self::Members => member::PREFIX,
        }
    }

    fn pause(self) -> Duration {
        match self {
            Self::Servers => LIST_PAUSE,
            Self::Operators | Self::Members => Duration::ZERO,
        }
    }

    fn apply(self, shared: &Shared, feed: Feed) {
        match self {
            Self::Operators => operator_feed(shared, feed),
            Self::Servers => server_feed(shared, feed),
            Self::Members => member_feed(shared, feed),
        }
    }
}

impl Default for Source {
    fn default() -> Self {
        Self {
            log: Mutex::default(),
            seen: watch::channel(0).0,
        }
    }
}

impl Source {
    fn with<T>(&self, action: impl FnOnce(&mut Log<Change>) -> T) -> T {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let result = action(&mut log);
        let seen = log.seen();
        self.seen.send_if_modified(|last| {
            let changed = *last != seen;
            *last = seen;
            changed
        });
        result
    }
}

impl Sources {
    fn get(&self, prefix: Prefix) -> &Source {
        match prefix {
            Prefix::Operators => &self.operators,
            Prefix::Servers => &self.servers,
            Prefix::Members => &self.members,
        }
    }
}

/// Returns the changes after a revision to another node; waits a while for one.
pub(crate) async fn changes(shared: &Shared, prefix: Prefix, after: u64) -> Fed {
    let trusted_until = || shared.store.last_answered().map(|last| last + SOURCE_TRUST);
    let source = shared.sources.get(prefix);
    let mut seen = source.seen.subscribe();
    let changed = seen.wait_for(|seen| *seen > after);
    let until = trusted_until()?.min(shared.now() + SOURCE_WAIT);
    // Without a change the answer is empty, and tells that this node still follows the store.
    let _ = tokio::time::timeout_at(until.into(), changed).await;
    if trusted_until()? <= shared.now() {
        return None;
    }
    match source.with(|log| log.after(after)) {
        Answer::Changes(changes, revision) => Some((changes, revision)),
        Answer::TooOld | Answer::Unknown => None,
    }
}

/// Follows a prefix for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, prefix: Prefix) {
    let mut revision = None;
    let mut failing = false;
    let mut source_from = tokio::time::Instant::now();
    loop {
        let source = match tokio::time::Instant::now() >= source_from {
            true => source_address(&shared),
            false => None,
        };
        if let (Some(source), Some(after)) = (source, revision) {
            match from_source(&shared, prefix, source, after).await {
                Some((changes, next)) => {
                    take(&shared, prefix, changes, next);
                    revision = Some(next);
                }
                None => source_from = tokio::time::Instant::now() + SOURCE_PAUSE,
            }
            continue;
        }
        let result = from_store(&shared, prefix, revision).await;
        if failing && result.is_ok() {
            failing = false;
            prefix.apply(&shared, Feed::Regained);
        }
        match result {
            Ok(next) => {
                let changed = revision.is_some_and(|last| next > last);
                revision = Some(next);
                if changed {
                    tokio::time::sleep(prefix.pause()).await;
                }
            }
            Err(Error::HistoryGone) => {
                spdlog::info!("history of the platform store is gone, reading all", kv: {
                    prefix = prefix.key(),
                });
                revision = None;
            }
            Err(error) => {
                if !failing {
                    spdlog::warn!("can't follow the platform store", kv: {
                        prefix = prefix.key(), error = error.to_string(),
                    });
                }
                failing = true;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Returns the node that watches the store for this availability zone, unless it is this one.
fn source_address(shared: &Shared) -> Option<SocketAddr> {
    let members = shared.members.borrow();
    let source = members.source(&shared.settings.node.zone)?;
    (source.owner != shared.owner).then_some(source.owner.address)
}

async fn from_source(shared: &Shared, prefix: Prefix, source: SocketAddr, after: u64) -> Fed {
    let limit = SOURCE_WAIT + SOURCE_SLACK;
    let fed = shared
        .peers
        .call(source, limit, |client, context| async move {
            client.prefix_changes(context, prefix, after).await
        })
        .await;
    match fed {
        Ok(Some(fed)) => return Some(fed),
        Ok(None) => spdlog::info!("source can't tell the changes", kv: {
            prefix = prefix.key(), source = source.to_string(), after,
        }),
        Err(denial) => spdlog::info!("source does not answer", kv: {
            prefix = prefix.key(), source = source.to_string(), reason = format!("{denial:?}"),
        }),
    }
    None
}

/// Reads the whole prefix, or waits for changes after a revision. Returns the revision up to which
/// the prefix is known then.
async fn from_store(shared: &Shared, prefix: Prefix, after: Option<u64>) -> Result<u64> {
    match after {
        None => {
            let (items, revision) = shared.store.range(prefix.key()).await?;
            prefix.apply(shared, Feed::Whole(items));
            shared.sources.get(prefix).with(|log| log.restart(revision));
            Ok(revision)
        }
        Some(after) => {
            let changes = shared.store.watch(prefix.key(), after, WATCH_WAIT).await?;
            take(shared, prefix, changes.changes, changes.revision);
            Ok(changes.revision)
        }
    }
}

/// Applies changes and keeps them for other nodes.
fn take(shared: &Shared, prefix: Prefix, changes: Vec<Change>, revision: u64) {
    let logged: Vec<(u64, Change)> = changes
        .iter()
        .map(|change| (change.revision(), change.clone()))
        .collect();
    for change in changes {
        prefix.apply(shared, Feed::Change(change));
    }
    shared
        .sources
        .get(prefix)
        .with(|log| log.extend(logged, revision));
}

fn operator_feed(shared: &Shared, feed: Feed) {
    match feed {
        Feed::Whole(items) => {
            for item in items {
                operator_item(shared, &item);
            }
        }
        Feed::Change(Change::Put(item)) => operator_item(shared, &item),
        Feed::Change(Change::Removed { key, .. }) => {
            if let Some(node) = registry::retired_node(&key) {
                shared.retirements.send_modify(|nodes| {
                    nodes.remove(&node);
                });
            }
        }
        Feed::Regained => {}
    }
}

fn operator_item(shared: &Shared, item: &Item) {
    match registry::read_object(&item.key, &item.value) {
        Ok(Object::Configuration(table)) => {
            let last = shared.table().map_or(0, |table| table.version());
            // A page of a range may be older than a change that was seen before.
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
            shared.table.send_replace(Some(ActiveTable {
                table: Arc::new(table),
                since: shared.now(),
            }));
        }
        Ok(Object::Version { model, version }) => shared.targets.send_modify(|targets| {
            let target = targets.entry(model.clone()).or_default();
            if version > *target {
                spdlog::info!("trainer named a version", kv: { model = model.as_str(), version = version.0 });
                *target = version;
            }
        }),
        Ok(Object::Retirement { node }) => shared.retirements.send_modify(|nodes| {
            nodes.insert(node);
        }),
        Ok(Object::Other) => {}
        Err(error) => {
            spdlog::error!("object of an operator can't be read and is ignored", kv: {
                key = item.key.as_str(),
                revision = item.revision,
                error = error.to_string(),
            });
        }
    }
}

fn server_feed(shared: &Shared, feed: Feed) {
    let now = shared.now();
    match feed {
        Feed::Whole(items) => {
            let servers = items.iter().filter_map(read_server).collect();
            shared.roster().replace(servers, now);
            shared.has_host_list.send_replace(true);
        }
        Feed::Change(Change::Put(item)) => match read_server(&item) {
            Some(server) => {
                let (id, draining) = (server.id.clone(), server.draining);
                let started = shared.roster().insert(server);
                if started || draining {
                    spdlog::info!("server listed", kv: {
                        server = id.as_str(), draining, started, revision = item.revision,
                    });
                }
            }
            None => {
                if let Some(id) = registry::server_id(&item.key) {
                    shared.roster().remove(&id, now);
                }
            }
        },
        Feed::Change(Change::Removed { key, .. }) => {
            if let Some(id) = registry::server_id(&key) {
                spdlog::info!("server gone from the host list", kv: { server = id.as_str() });
                shared.roster().remove(&id, now);
            }
        }
        Feed::Regained => shared.roster().regained(now),
    }
}

fn read_server(item: &Item) -> Option<shallotroute_fleet::server::Server> {
    let id: Name = registry::server_id(&item.key)?;
    match registry::read_server(id, &item.value) {
        Ok(server) => Some(server),
        Err(error) => {
            spdlog::warn!("entry of the host list names no server", kv: {
                key = item.key.as_str(), error = error.to_string(),
            });
            None
        }
    }
}

fn member_feed(shared: &Shared, feed: Feed) {
    let now = shared.now();
    let own = &shared.owner.node;
    shared.members.send_modify(|members| match feed {
        Feed::Whole(items) => {
            let known = members.nodes.contains_key(own);
            let entries: Vec<(String, Vec<u8>, u64)> = items
                .into_iter()
                .map(|item| (item.key, item.value, item.revision))
                .collect();
            // The first read may be older than the entry that this process has just written.
            let first = !std::mem::replace(&mut members.read, true);
            let entry = members.nodes.get(own).cloned();
            members.replace(&entries);
            match (first, entry) {
                (true, Some(entry)) => {
                    members.nodes.insert(own.clone(), entry);
                }
                _ if known && !members.nodes.contains_key(own) => members.own_losses += 1,
                _ => {}
            }
        }
        Feed::Change(Change::Put(item)) => members.put(&item.key, &item.value, item.revision),
        Feed::Change(Change::Removed { key, .. }) => {
            spdlog::info!("member entry gone", kv: { key = key.as_str() });
            members.remove(&key);
            if key == member::node_key(own) {
                members.own_losses += 1;
            }
        }
        Feed::Regained => members.regained = Some(now),
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
