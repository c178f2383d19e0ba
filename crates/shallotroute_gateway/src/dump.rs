//! Dumps the state of a gateway for operators.

use std::collections::BTreeMap;

use serde::Serialize;
use shallotroute_routing::server::Summary;
use shallotroute_types::{class::Class, name::Name, revision::Revision};

use crate::{Gateway, request_log::Entry, routing_state::SharedPool};

#[derive(Serialize)]
struct Dump {
    revision: Option<Revision>,
    pools: BTreeMap<Name, Pool>,
    records: Records,
    /// Each caller's share of its limit at this node, 0.0 to 1.0.
    limit_shares: BTreeMap<Name, f64>,
    recent: Vec<Entry>,
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
    /// Whether records from before the start still have to be fetched from other nodes.
    recovering: bool,
    /// The age below which this node knows of any earlier request with an idempotency key.
    vouch_from: String,
}

/// Returns the state of `gateway` as JSON.
pub(crate) fn dump(gateway: &Gateway) -> serde_json::Value {
    let routing_state = gateway.routing_state();
    let pools = routing_state
        .iter()
        .flat_map(|routing_state| &routing_state.pools);
    let records = &gateway.records.local;
    let (count, recovering) = records.with_store(|store| (store.len(), store.is_recovering()));
    let vouch_from = records.with_store(|store| store.authoritative_since());
    let dump = Dump {
        revision: routing_state
            .as_ref()
            .map(|routing_state| routing_state.revision()),
        pools: pools
            .map(|(name, shared_pool)| (name.clone(), pool(gateway, shared_pool)))
            .collect(),
        records: Records {
            count,
            recovering,
            vouch_from: format!("{:?} ago", age(gateway, vouch_from)),
        },
        limit_shares: limit_shares(gateway),
        recent: gateway.request_log.entries(),
    };
    serde_json::to_value(dump).unwrap_or_default()
}

fn limit_shares(gateway: &Gateway) -> BTreeMap<Name, f64> {
    let members = gateway.context.members.borrow().live().count();
    let now = gateway.context.clock.now();
    gateway.quotas.shares(members, now).into_iter().collect()
}

fn age(gateway: &Gateway, since: std::time::SystemTime) -> std::time::Duration {
    let now = gateway.context.clock.wall_time();
    now.duration_since(since).unwrap_or_default()
}

fn pool(gateway: &Gateway, shared_pool: &SharedPool) -> Pool {
    let now = gateway.context.clock.now();
    let state = shared_pool.state();
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
