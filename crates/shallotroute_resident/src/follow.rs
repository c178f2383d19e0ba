//! Follows prefixes of the platform's store: a whole read first, then the changes.

use std::{sync::Arc, time::Duration};

use shallotroute_adapter::{
    registry::{self, Object},
    store::{Change, Item},
};
use shallotroute_types::name::Name;

use crate::{
    member,
    site::Site,
    store::{Error, Result},
};

/// How long a watch waits. A longer wait costs fewer calls; it stays below the time for which the
/// store keeps its history.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// The pause between two watches of the host list, whose entries change often; together with the
/// store's answer it stays far below the time after which a leaving server may get no request.
const LIST_PAUSE: Duration = Duration::from_millis(400);

/// The pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// What a prefix holds, or what has changed there.
enum Feed {
    Whole(Vec<Item>),
    Change(Change),
    /// The prefix can be read again.
    Regained,
}

/// Follows what operators and trainers write.
pub(crate) async fn operators(site: Arc<Site>) {
    let target = Arc::clone(&site);
    follow(
        site,
        registry::OPERATOR_PREFIX,
        Duration::ZERO,
        move |feed| {
            operator_feed(&target, feed);
        },
    )
    .await;
}

/// Follows the host list.
pub(crate) async fn servers(site: Arc<Site>) {
    let target = Arc::clone(&site);
    follow(site, registry::SERVER_PREFIX, LIST_PAUSE, move |feed| {
        server_feed(&target, feed);
    })
    .await;
}

/// Follows the other nodes.
pub(crate) async fn members(site: Arc<Site>) {
    let target = Arc::clone(&site);
    follow(site, member::PREFIX, Duration::ZERO, move |feed| {
        member_feed(&target, feed);
    })
    .await;
}

async fn follow(
    site: Arc<Site>,
    prefix: &'static str,
    pause: Duration,
    mut apply: impl FnMut(Feed),
) {
    let mut revision = None;
    let mut failing = false;
    loop {
        let result = step(&site, prefix, revision).await;
        if failing && result.is_ok() {
            failing = false;
            apply(Feed::Regained);
        }
        match result {
            Ok((feeds, next)) => {
                let changed = !feeds.is_empty();
                for feed in feeds {
                    apply(feed);
                }
                revision = Some(next);
                if changed && !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            }
            Err(Error::HistoryGone) => {
                spdlog::info!("history of the platform store is gone, reading all", kv: { prefix });
                revision = None;
            }
            Err(error) => {
                if !failing {
                    spdlog::warn!("can't follow the platform store", kv: { prefix, error = error.to_string() });
                }
                failing = true;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Reads the whole prefix, or waits for changes after a revision.
async fn step(site: &Site, prefix: &str, after: Option<u64>) -> Result<(Vec<Feed>, u64)> {
    match after {
        None => {
            let (items, revision) = site.store.range(prefix).await?;
            Ok((vec![Feed::Whole(items)], revision))
        }
        Some(after) => {
            let changes = site.store.watch(prefix, after, WATCH_WAIT).await?;
            let feeds = changes.changes.into_iter().map(Feed::Change).collect();
            Ok((feeds, changes.revision))
        }
    }
}

fn operator_feed(site: &Site, feed: Feed) {
    match feed {
        Feed::Whole(items) => {
            for item in items {
                operator_item(site, &item);
            }
        }
        Feed::Change(Change::Put(item)) => operator_item(site, &item),
        Feed::Change(Change::Removed { key }) => {
            if let Some(node) = registry::retired_node(&key) {
                site.retirements.send_modify(|nodes| {
                    nodes.remove(&node);
                });
            }
        }
        Feed::Regained => {}
    }
}

fn operator_item(site: &Site, item: &Item) {
    match registry::read_object(&item.key, &item.value) {
        Ok(Object::Configuration(table)) => {
            let last = site.table().map_or(0, |table| table.version());
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
            site.metrics.configuration_version.set(version);
            site.table.send_replace(Some(Arc::new(table)));
        }
        Ok(Object::Version { model, version }) => site.targets.send_modify(|targets| {
            let target = targets.entry(model.clone()).or_default();
            if version > *target {
                spdlog::info!("trainer named a version", kv: { model = model.as_str(), version = version.0 });
                *target = version;
            }
        }),
        Ok(Object::Retirement { node }) => site.retirements.send_modify(|nodes| {
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

fn server_feed(site: &Site, feed: Feed) {
    let now = site.now();
    match feed {
        Feed::Whole(items) => {
            let servers = items.iter().filter_map(read_server).collect();
            site.roster().replace(servers, now);
            site.listed.send_replace(true);
        }
        Feed::Change(Change::Put(item)) => match read_server(&item) {
            Some(server) => {
                let (id, draining) = (server.id.clone(), server.draining);
                let started = site.roster().insert(server);
                if started || draining {
                    spdlog::info!("server listed", kv: {
                        server = id.as_str(), draining, started, revision = item.revision,
                    });
                }
            }
            None => {
                if let Some(id) = registry::server_id(&item.key) {
                    site.roster().remove(&id, now);
                }
            }
        },
        Feed::Change(Change::Removed { key }) => {
            if let Some(id) = registry::server_id(&key) {
                spdlog::info!("server gone from the host list", kv: { server = id.as_str() });
                site.roster().remove(&id, now);
            }
        }
        Feed::Regained => site.roster().regained(now),
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

fn member_feed(site: &Site, feed: Feed) {
    let now = site.now();
    let own = &site.owner.node;
    site.members.send_modify(|members| match feed {
        Feed::Whole(items) => {
            let known = members.nodes.contains_key(own);
            let entries: Vec<(String, Vec<u8>, u64)> = items
                .into_iter()
                .map(|item| (item.key, item.value, item.revision))
                .collect();
            // The first read may be older than the entry that this process has just written.
            let first = !std::mem::replace(&mut members.read, true);
            let entry = members.nodes.get(own).cloned();
            members.replace(&entries, now);
            match (first, entry) {
                (true, Some(entry)) => {
                    members.nodes.insert(own.clone(), entry);
                }
                _ if known && !members.nodes.contains_key(own) => members.own_losses += 1,
                _ => {}
            }
        }
        Feed::Change(Change::Put(item)) => members.put(&item.key, &item.value, item.revision),
        Feed::Change(Change::Removed { key }) => {
            spdlog::info!("member entry gone", kv: { key = key.as_str() });
            members.remove(&key, now);
            if key == member::node_key(own) {
                members.own_losses += 1;
            }
        }
        Feed::Regained => members.regained = Some(now),
    });
    let relays = site
        .members
        .borrow()
        .nodes
        .values()
        .filter(|member| member.owner != site.owner)
        .map(|member| member.address)
        .collect();
    site.store.set_relays(relays);
}
