//! The state of a gateway, for people.

use std::collections::BTreeMap;

use serde::Serialize;
use shallotroute_routing::server::Summary;
use shallotroute_types::{class::Class, name::Name, revision::Revision};

use crate::{Gateway, journal::Line, runtime::Cell};

#[derive(Serialize)]
struct Dump {
    revision: Option<Revision>,
    pools: BTreeMap<Name, Pool>,
    records: Records,
    /// The part of its limit that each caller has at this node, 0.0 to 1.0.
    limit_shares: BTreeMap<Name, f64>,
    recent: Vec<Line>,
}

#[derive(Serialize)]
struct Pool {
    capacity: u32,
    running: u32,
    waiting: BTreeMap<Class, usize>,
    servers: Vec<Summary>,
}

#[derive(Serialize)]
struct Records {
    count: usize,
    /// Whether records from before the start are still to be fetched.
    recovering: bool,
    vouch_from: String,
}

/// Returns the state as JSON.
pub(crate) fn dump(gateway: &Gateway) -> serde_json::Value {
    let runtime = gateway.runtime();
    let pools = runtime.iter().flat_map(|runtime| &runtime.pools);
    let records = &gateway.records.local;
    let (count, recovering) = records.with(|store| (store.len(), store.is_recovering()));
    let vouch_from = records.with(|store| store.authoritative_since());
    let dump = Dump {
        revision: runtime.as_ref().map(|runtime| runtime.revision()),
        pools: pools
            .map(|(name, cell)| (name.clone(), pool(gateway, cell)))
            .collect(),
        records: Records {
            count,
            recovering,
            vouch_from: format!("{:?} ago", elapsed(gateway, vouch_from)),
        },
        limit_shares: limit_shares(gateway),
        recent: gateway.journal.lines(),
    };
    serde_json::to_value(dump).unwrap_or_default()
}

fn limit_shares(gateway: &Gateway) -> BTreeMap<Name, f64> {
    let members = gateway.context.members.borrow().live().count();
    let now = gateway.context.clock.now();
    gateway.quotas.shares(members, now).into_iter().collect()
}

fn elapsed(gateway: &Gateway, since: std::time::SystemTime) -> std::time::Duration {
    let now = gateway.context.clock.wall_time();
    now.duration_since(since).unwrap_or_default()
}

fn pool(gateway: &Gateway, cell: &Cell) -> Pool {
    let now = gateway.context.clock.now();
    let state = cell.state();
    let lengths = state.queue.queue_lengths();
    Pool {
        capacity: state.pool.last_capacity(),
        running: state.queue.running(),
        waiting: Class::ALL.into_iter().zip(lengths).collect(),
        servers: state
            .pool
            .servers()
            .iter()
            .map(|it| it.summary(now))
            .collect(),
    }
}
