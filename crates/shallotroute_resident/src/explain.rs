//! Explains where a request or batch job would go now, by the node's own decisions. Nothing is sent, counted or
//! reserved.

use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_fleet::{
    access::{self, Denial, Identity},
    admission::Request,
    capacity::Demand,
    freshness::Standing,
    limit::{Class, Rate},
    link,
    route::{Kind, Route, Table},
    server::ranking::Ranked,
};
use shallotroute_http::body::{self, Body};
use shallotroute_types::name::Name;

use crate::{capacity, forward, ingress, response, shared::Shared, view};

/// A result, or why the query can't be answered.
type Result<T> = std::result::Result<T, Invalid>;

/// The reason why a query can't be answered. It does not repeat the query, which may contain a key by mistake.
#[derive(Debug, PartialEq)]
struct Invalid(&'static str);

/// The request or job in question.
#[derive(Debug, Default, PartialEq)]
struct Query {
    host: String,
    path: String,
    id: String,
    workspace: Option<String>,
}

/// What would become of a request.
struct Decision {
    outcome: &'static str,
    reason: Option<&'static str>,
    status: Option<StatusCode>,
    retry_after_ms: Option<u128>,
}

impl Query {
    fn parse(text: &str) -> Result<Self> {
        let mut query = Self::default();
        for (name, value) in form_urlencoded::parse(text.as_bytes()) {
            let value = value.into_owned();
            match &*name {
                "host" => query.host = value,
                "path" => query.path = value,
                "id" => query.id = value,
                "workspace" => query.workspace = Some(value),
                _ => {
                    return Err(Invalid(
                        "the parameters are `host`, `path`, `id` and `workspace`",
                    ));
                }
            }
        }
        match () {
            () if query.host.is_empty() => Err(Invalid("`host` is missing")),
            () if query.path.is_empty() => Err(Invalid("`path` is missing")),
            () if !query.path.starts_with('/') => Err(Invalid("`path` must begin with a slash")),
            () if query.id.is_empty() => Err(Invalid("`id` is missing")),
            () => Ok(query),
        }
    }
}

impl Decision {
    fn new(outcome: &'static str) -> Self {
        Self {
            outcome,
            reason: None,
            status: None,
            retry_after_ms: None,
        }
    }

    fn refused(reason: &'static str, status: StatusCode) -> Self {
        Self {
            reason: Some(reason),
            status: Some(status),
            ..Self::new("refused")
        }
    }

    fn denied(denial: Denial) -> Self {
        let retry_after_ms = match denial {
            Denial::Unauthorized => None,
            Denial::Stale { retry_after } => Some(retry_after.as_millis()),
        };
        Self {
            retry_after_ms,
            ..Self::refused(denial.reason(), response::denied(denial).status())
        }
    }

    fn to_json(&self) -> Value {
        json!({
            "outcome": self.outcome,
            "reason": self.reason,
            "status": self.status.map(|status| status.as_u16()),
            "retry_after_ms": self.retry_after_ms,
        })
    }
}

/// Answers a query in the form of a URL's query part.
pub(crate) fn respond(shared: &Shared, query: Option<&str>) -> http::Response<Body> {
    let explained =
        Query::parse(query.unwrap_or_default()).and_then(|query| explain(shared, &query));
    match explained {
        Ok(value) => body::json_response(StatusCode::OK, &value),
        Err(Invalid(message)) => {
            let error = json!({"error": {"message": message, "code": "invalid_query"}});
            body::json_response(StatusCode::BAD_REQUEST, &error)
        }
    }
}

/// Explains a query. Ages and durations are in milliseconds.
fn explain(shared: &Shared, query: &Query) -> Result<Value> {
    let table = shared.table();
    let workspace = workspace(table.as_deref(), query)?;
    let mut explanation = json!({
        "node": shared.owner.node,
        "draining": shared.drain.is_cancelled(),
        "links": shared.links.state().name(),
        "request": {"host": query.host, "path": query.path, "id": query.id, "workspace": workspace},
        "configuration": table.as_deref().map(|table| configuration(shared, table)),
        "route": null,
        "access": null,
        "service": null,
        "admission": null,
        "servers": null,
        "job": null,
    });
    let decision = decide(shared, query, table.as_deref(), workspace, &mut explanation);
    explanation["decision"] = decision.to_json();
    Ok(explanation)
}

/// Returns the name of the workspace in the query.
fn workspace<'a>(table: Option<&'a Table>, query: &Query) -> Result<Option<&'a str>> {
    let Some(name) = &query.workspace else {
        return Ok(None);
    };
    let unknown = Invalid("the active configuration has no workspace with this name");
    let directory = table.and_then(Table::workspaces);
    let workspace = directory.and_then(|directory| directory.find(name));
    workspace
        .map(|workspace| Some(workspace.name.as_str()))
        .ok_or(unknown)
}

/// Decides about a request, and adds to the explanation what the decision rests on.
fn decide(
    shared: &Shared,
    query: &Query,
    table: Option<&Table>,
    workspace: Option<&str>,
    explanation: &mut Value,
) -> Decision {
    let Some(table) = table else {
        return Decision {
            retry_after_ms: Some(ingress::NO_CONFIGURATION_RETRY_AFTER.as_millis()),
            ..Decision::refused("no_configuration", StatusCode::SERVICE_UNAVAILABLE)
        };
    };
    let Some(route) = table.find(&query.host, &query.path) else {
        return Decision::refused("no_route", StatusCode::NOT_FOUND);
    };
    explanation["route"] = route_json(route);
    let granted = access::preview(table, route, workspace, shared.configuration_freshness());
    explanation["access"] = access_json(shared, table, route, granted.as_ref().ok());
    let priority = match granted {
        Ok((_, priority)) => priority,
        Err(denial) => return Decision::denied(denial),
    };
    if route.kind == Kind::Batch {
        return decide_job(shared, query, route, explanation);
    }
    let service = route.service_for(&query.id);
    explanation["service"] = json!(service);
    explanation["admission"] = admission(shared, route, service, priority);
    let requirements = forward::requirements(service, None, &[], Class::Caller);
    let servers = shared.balancer().ranked(&requirements, shared.now());
    explanation["servers"] = servers.iter().map(server).collect();
    let reason = match servers.iter().any(|server| server.tier.is_ok()) {
        false => "no_server",
        true if shared.links.state() == link::State::Isolated => "no_link",
        true => return Decision::new("sent"),
    };
    Decision {
        reason: Some(reason),
        ..Decision::new("waits")
    }
}

fn decide_job(shared: &Shared, query: &Query, route: &Route, explanation: &mut Value) -> Decision {
    let id = Name::from(query.id.as_str());
    if !id.is_valid() {
        return Decision::refused("invalid_job_identity", StatusCode::BAD_REQUEST);
    }
    let service = route.service_for(&query.path);
    explanation["service"] = json!(service);
    explanation["job"] = job(shared, query, &id, route, service);
    Decision::new("accepted")
}

fn configuration(shared: &Shared, table: &Table) -> Value {
    let now = shared.now();
    let standing = view::standing(shared);
    json!({
        "version": table.version(),
        "in_force_ms": shared.active_since().map(|at| now.saturating_duration_since(at).as_millis()),
        "host_list_age_ms": standing.age.map(|age| age.as_millis()),
        "host_list_source": standing.source,
        "watches_store": view::is_watching(shared),
    })
}

fn route_json(route: &Route) -> Value {
    let shares = route
        .shares
        .iter()
        .map(|share| json!({"service": share.service, "weight": share.weight}));
    json!({
        "name": route.name,
        "prefix": route.prefix,
        "kind": route.kind.to_string(),
        "priority": route.priority,
        "max_attempts": route.max_attempts,
        "timeout_ms": route.timeout.as_millis(),
        "shares": shares.collect::<Vec<_>>(),
    })
}

fn access_json(
    shared: &Shared,
    table: &Table,
    route: &Route,
    granted: Option<&(Identity, u8)>,
) -> Value {
    let identity = granted.map(|(identity, _)| match identity {
        Identity::Unrestricted => "unrestricted",
        Identity::Anonymous => "anonymous",
        Identity::Workspace(_) => "workspace",
    });
    let standing = shared.freshness_standing();
    let retry_after = match standing {
        Standing::Fresh | Standing::Leaving => None,
        Standing::Stale { retry_after } => Some(retry_after.as_millis()),
    };
    let is_required = shared.requires_freshness();
    let age = shared.freshness.age(shared.boot_time());
    json!({
        "key_required": table.workspaces().is_some() && !route.is_public,
        "identity": identity,
        "priority": granted.map(|(_, priority)| priority),
        "freshness": {
            "required": is_required,
            "state": standing.name(),
            "confirmed_ms_ago": age.filter(|_| is_required).map(|age| age.as_millis()),
            "refused_with_retry_after_ms": retry_after,
        },
    })
}

/// Returns whether overload would turn a request away. Which requests are turned away is drawn at random, so that
/// the explanation has the share of them.
fn admission(shared: &Shared, route: &Route, service: &Name, priority: u8) -> Value {
    let now = shared.now();
    let governors = &shared.governors;
    let policy = governors.policy();
    let shortage = governors.preview(service, priority, now);
    let request = Request {
        priority,
        target_latency: route.target_latency,
        timeout: route.timeout,
    };
    let excess = request.excess(policy, &shortage);
    let retry_after = |random| {
        let refusal = request.refusal(policy, &shortage, random);
        refusal.filter(|_| excess > 0.0)
    };
    let summaries = governors.summaries(now);
    let summary = summaries.iter().find(|(name, _)| name == service);
    json!({
        "policy": policy.name(),
        "turned_away_share": excess.max(0.0),
        "retry_after_min_ms": retry_after(0.0).map(|delay| delay.as_millis()),
        "retry_after_max_ms": retry_after(excess.next_down()).map(|delay| delay.as_millis()),
        "recent_requests": shortage.requested.iter().sum::<f64>(),
        "recent_refused": shortage.refused,
        "rejected_share": summary.map(|(_, summary)| summary.rejected_share),
        "repeats_left": summary.map(|(_, summary)| summary.budget),
    })
}

fn server(ranked: &Ranked) -> Value {
    let summary = &ranked.summary;
    let server = &summary.server;
    json!({
        "id": server.id,
        "address": server.address,
        "zone": server.zone,
        "in_zone": ranked.is_in_zone,
        "tier": ranked.tier.ok().map(|tier| tier.name()),
        "not_eligible": ranked.tier.err().map(|reason| reason.name()),
        "cost": ranked.cost,
        "slots": server.slots,
        "running_here": summary.in_flight,
        "running_elsewhere": ranked.foreign,
        "latency_ms": summary.mean_latency.map(|latency| latency.as_secs_f64() * 1e3),
        "failures": summary.failures,
        "back_off_ms": summary.back_off.as_millis(),
        "advised_delay_ms": ranked.advised.as_millis(),
        "limit_per_s": summary.limit.map(Rate::per_second),
        "draining": server.is_draining,
        "entry_missing": summary.is_missing,
    })
}

/// Returns which node would own a job, and by what it would divide the slots, as known at this node.
fn job(shared: &Shared, query: &Query, id: &Name, route: &Route, service: &Name) -> Value {
    let node = shared.node_for_jobs(&query.host, &query.path);
    let demands = |demands: &mut dyn Iterator<Item = &Demand>| {
        let of_service = demands.filter(|demand| demand.service == *service);
        let (jobs, items) = of_service.fold((0_usize, 0_usize), |(jobs, items), demand| {
            (jobs + 1, items.saturating_add(demand.items))
        });
        json!({"jobs": jobs, "open_items": items})
    };
    let own: Vec<Demand> = capacity::needs(shared)
        .map(|(_, need)| need.demand)
        .collect();
    let now = shared.now();
    let slots = shared.balancer().total_slots(service);
    let board = shared.board();
    json!({
        "owner": node.as_ref().map(|member| &member.owner.node),
        "owner_zone": node.as_ref().map(|member| &member.zone),
        "is_owned_here": shared.jobs.owned(id).is_some(),
        "due_after_ms": route.batch.map(|limits| limits.due_after.as_millis()),
        "abandon_after_ms": route.batch.map(|limits| limits.abandon_after.as_millis()),
        "policy": shared.governors.policy().name(),
        "slots": slots,
        "here": demands(&mut own.iter()),
        "elsewhere": demands(&mut board.demands()),
        "all_nodes_reported": board.is_complete(now),
    })
}
