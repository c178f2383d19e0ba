//! The state of a node as JSON, for operators and audits.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotroute_batch::record::Owner;
use shallotroute_fleet::limit::Rate;

use crate::{job::Owned, shared::Shared, view};

/// Returns the state of a node as JSON. Ages and durations are in milliseconds.
pub(crate) fn dump(shared: &Shared) -> Value {
    let now = shared.now();
    let age = |at: Instant| now.saturating_duration_since(at).as_millis();
    json!({
        "node": owner(&shared.owner),
        "draining": shared.drain.is_cancelled(),
        "ready": shared.is_ready(),
        "store": {
            "address": shared.settings.store,
            "answered_ms_ago": shared.store.last_answered().map(age),
        },
        "configuration": shared.table().map(|table| json!({
            "version": table.version(),
            "in_force_ms": shared.active_since().map(age),
            "routes": table.routes().map(|route| json!({
                "name": route.name,
                "host": route.host,
                "prefix": route.prefix,
                "kind": route.kind.to_string(),
                "services": route.shares.iter().map(|share| &share.service).collect::<Vec<_>>(),
            })).collect::<Vec<_>>(),
        })),
        "view": view(shared),
        "memory": BTreeMap::from(shared.memory.usage().numbers()),
        "links": shared.links.state().name(),
        "members": members(shared),
        "named_versions": *shared.targets.borrow(),
        "servers": servers(shared),
        "recorded_streams": shared.streams.len(),
        "suspects": suspects(shared),
        "jobs": shared.jobs.all_owned().iter().map(|owned| job(owned, shared.boot_time())).collect::<Vec<_>>(),
    })
}

fn owner(owner: &Owner) -> Value {
    json!({
        "node": owner.node,
        "incarnation": owner.incarnation,
        "address": owner.address,
    })
}

fn view(shared: &Shared) -> Value {
    let standing = view::standing(shared);
    json!({
        "source": standing.source,
        "watches_store": view::is_watching(shared),
        "age_ms": standing.age.map(|age| age.as_millis()),
        "registered": *shared.should_register.borrow(),
    })
}

fn members(shared: &Shared) -> Value {
    let members = shared.members.borrow();
    json!({
        "duty": members.leadership.as_ref().map(|leadership| json!({
            "holder": leadership.leader.as_ref().map(owner),
            "fence": leadership.fence,
        })),
        "nodes": members.nodes.values().map(|member| json!({
            "process": owner(&member.owner),
            "zone": member.zone,
            "capacity": member.capacity,
            "leaving": member.leaving,
        })).collect::<Vec<_>>(),
        "stranded": members.stranded,
    })
}

fn servers(shared: &Shared) -> Vec<Value> {
    let summaries = shared.balancer().summaries(shared.now());
    summaries
        .iter()
        .map(|summary| {
            json!({
                "id": summary.server.id,
                "service": summary.server.service,
                "address": summary.server.address,
                "zone": summary.server.zone,
                "draining": summary.server.is_draining,
                "software": summary.server.software,
                "versions": summary.server.models,
                "running_here": summary.in_flight,
                "failures": summary.failures,
                "paused_ms": summary.back_off.as_millis(),
                "pace_ms": summary.mean_latency.map(|latency| latency.as_millis()),
                "entry_missing": summary.is_missing,
                "limit_per_s": summary.limit.map(Rate::per_second),
            })
        })
        .collect()
}

fn suspects(shared: &Shared) -> Value {
    let (known, blocked) = shared.suspects.counts();
    json!({ "requests": known, "blocked": blocked })
}

fn job(owned: &Owned, boot_time: Duration) -> Value {
    let progress = *owned.progress.borrow();
    let state = owned.state();
    let counts = state.job.item_counts();
    json!({
        "id": owned.id,
        "revision": state.revision,
        "confirmed_ms_ago": state.claim.age(boot_time).map(|age| age.as_millis()),
        "oldest_version": state.job.specification().min_version,
        "ended": progress.is_ended,
        "waiting": counts.waiting,
        "generating": counts.generating,
        "rating": counts.scoring,
        "ready": counts.ready,
        "listed": counts.committed,
        "total": state.head.total,
    })
}
