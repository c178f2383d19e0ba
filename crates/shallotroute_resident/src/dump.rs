//! The state of a node as JSON, for operators and audits.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotroute_batch::record::Owner;
use shallotroute_fleet::{limit::Rate, workspace::Directory};

use crate::{capacity, job::Owned, shared::Shared, usage, view};

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
            "confirmed_ms_ago": confirmed_ms_ago(shared),
            "routes": table.routes().map(|route| json!({
                "name": route.name,
                "host": route.host,
                "prefix": route.prefix,
                "kind": route.kind.to_string(),
                "public": route.is_public,
                "services": route.shares.iter().map(|share| &share.service).collect::<Vec<_>>(),
            })).collect::<Vec<_>>(),
            "workspaces": table.workspaces().map(workspaces),
        })),
        "view": view(shared),
        "memory": BTreeMap::from(shared.memory.usage().numbers()),
        "links": shared.links.state().name(),
        "members": members(shared),
        "duties": duties(shared),
        "named_versions": *shared.targets.borrow(),
        "servers": servers(shared),
        "scaling": shared.scaling.dump(now),
        "recorded_streams": shared.streams.len(),
        "suspects": suspects(shared),
        "admission": admission(shared),
        "jobs": shared.jobs.all_owned().iter().map(|owned| job(owned, shared.boot_time())).collect::<Vec<_>>(),
    })
}

/// Returns the workspaces with the numbers of their API keys. Neither keys nor their digests are shown.
fn workspaces(directory: &Directory) -> Vec<Value> {
    directory
        .workspaces()
        .map(|workspace| {
            json!({
                "name": workspace.name,
                "priority": workspace.priority,
                "keys": workspace.key_count,
            })
        })
        .collect()
}

/// Returns the age of the proof that the configuration is complete, where strict revocation needs one.
fn confirmed_ms_ago(shared: &Shared) -> Option<u128> {
    let age = shared.freshness.age(shared.boot_time())?;
    shared.requires_freshness().then_some(age.as_millis())
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
        "prefixes": view::prefixes(shared),
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

/// Returns the duties as this node knows them; `null` if the deployment has none. `token` is `null` unless this node
/// holds them; `members.duty` names the holder.
fn duties(shared: &Shared) -> Value {
    let Some(duties) = &shared.duties else {
        return Value::Null;
    };
    let now = shared.boot_time();
    let usage = shared.usage.as_ref().and_then(|usage| usage.summary());
    json!({
        "address": duties.address(),
        "token": duties.token(),
        "calls": duties.entries().iter().map(|entry| json!({
            "duty": entry.duty,
            "subject": entry.subject,
            "token": entry.token,
            "outcome": entry.outcome,
            "ended_ms_ago": now.saturating_sub(entry.at).as_millis(),
        })).collect::<Vec<_>>(),
        "usage": usage.map(|(summary, windows)| json!({
            "closed_through": summary.closed_through,
            "open": summary.open,
            "pending": summary.pending,
            "windows": windows.iter().map(|(window, reported)| json!({
                "window": window,
                "state": usage::reported_name(*reported).unwrap_or("pending"),
            })).collect::<Vec<_>>(),
        })),
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

fn admission(shared: &Shared) -> Value {
    let summaries = shared.governors.summaries(shared.now());
    json!({
        "policy": shared.governors.policy().name(),
        "services": summaries.iter().map(|(service, summary)| json!({
            "service": service,
            "scorings": summary.scorings,
            "max_scorings": summary.window,
            "rejected_share": summary.rejected_share,
            "repeats_left": summary.budget,
            "paused_ms": summary.pause.as_millis(),
        })).collect::<Vec<_>>(),
        "jobs": capacity::needs(shared).map(|(id, need)| json!({
            "id": id,
            "priority": need.priority,
            "workspace": need.workspace,
            "open": need.demand.items,
            "needed": need.slots,
        })).collect::<Vec<_>>(),
    })
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
