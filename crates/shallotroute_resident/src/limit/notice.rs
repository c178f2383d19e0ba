//! Tells all nodes of the limits of servers through the platform's store, so that nodes which start know
//! of them before their first request.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_adapter::store::Write;
use shallotroute_batch::record;
use shallotroute_fleet::limit::{NOTICE_RETENTION, Notice};
use shallotroute_types::name::Name;

use crate::{member, object, shared::Shared, store};

/// The prefix of the notices. It is among the keys that all nodes follow.
const PREFIX: &str = "shallotroute/member/limit/";

const _: () = assert!(
    member::is_followed(PREFIX),
    "nodes that start have to learn of limits"
);

/// The interval at which notices are written. The home divides a limit that changes more often all the
/// same.
const INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of notices that one write contains, and of those that it removes.
const MAX_WRITTEN: usize = 16;

/// Tells the other nodes of the limits whose home this node is, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut published = Published::default();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = shared.now();
        let notices = {
            let mut divider = shared.limits.divider();
            divider.expire(now);
            divider.notices()
        };
        let change = published.compare(&notices, now);
        if change.is_empty() {
            continue;
        }
        match write(&shared, &change).await {
            Ok(()) => published.record(change, now),
            Err(error) => spdlog::warn!("failed to tell other nodes of limits; retrying", kv: {
                servers = change.written.len() + change.ended.len(), error = error.to_string(),
            }),
        }
    }
}

/// The notices that this node has written, and when.
#[derive(Default)]
struct Published(BTreeMap<Name, (Notice, Instant)>);

/// What is to be written.
struct Change {
    /// Notices that are new or have to be renewed.
    written: Vec<(Name, Notice)>,
    /// Servers whose limits have ended.
    ended: Vec<Name>,
}

impl Change {
    fn is_empty(&self) -> bool {
        self.written.is_empty() && self.ended.is_empty()
    }
}

impl Published {
    /// Returns what has to be written so that `notices` are the ones that other nodes know.
    fn compare(&self, notices: &BTreeMap<Name, Notice>, now: Instant) -> Change {
        let is_current = |server: &Name, notice: &Notice| {
            let written = self.0.get(server);
            written
                .is_some_and(|(written, at)| written == notice && now < *at + NOTICE_RETENTION / 2)
        };
        let written = notices
            .iter()
            .filter(|(server, notice)| !is_current(server, notice))
            .take(MAX_WRITTEN)
            .map(|(server, notice)| (server.clone(), notice.clone()));
        let ended = self
            .0
            .keys()
            .filter(|server| !notices.contains_key(*server))
            .take(MAX_WRITTEN)
            .cloned();
        Change {
            written: written.collect(),
            ended: ended.collect(),
        }
    }

    fn record(&mut self, change: Change, now: Instant) {
        let written = change.written.into_iter();
        self.0
            .extend(written.map(|(server, notice)| (server, (notice, now))));
        self.0.retain(|server, _| !change.ended.contains(server));
    }
}

async fn write(shared: &Shared, change: &Change) -> store::Result<()> {
    let lease = match change.written.is_empty() {
        true => 0,
        false => shared.store.grant(NOTICE_RETENTION).await?.id,
    };
    let puts = change
        .written
        .iter()
        .map(|(server, notice)| (key(server), record::encode(notice), lease));
    let write = Write {
        puts: puts.collect(),
        removals: change.ended.iter().map(key).collect(),
        ..Write::default()
    };
    shared.store.write(&write).await.map(|_| ())
}

/// Applies a change of the store's keys. Returns whether it is a notice.
pub(crate) fn apply(shared: &Shared, change: &object::Change) -> bool {
    let Some(server) = change.key.strip_prefix(PREFIX) else {
        return false;
    };
    // When a notice ends, the next claim or answer tells whether the limit has ended too.
    let Some(value) = &change.value else {
        return true;
    };
    match record::decode::<Notice>("limit", value) {
        Ok(notice) => {
            let now = shared.now();
            shared.balancer().record_notice(server, &notice, now);
        }
        Err(error) => spdlog::warn!("failed to decode the notice of a limit", kv: {
            key = change.key.as_str(), error = error.to_string(),
        }),
    }
    true
}

fn key(server: &Name) -> String {
    format!("{PREFIX}{server}")
}
