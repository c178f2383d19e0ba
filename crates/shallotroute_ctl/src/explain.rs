//! Shows where a request or batch job would go now at a node on the users' platform.

use std::fmt::Write;

use error_stack::Report;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    arguments::Explain,
    client::{Error, Node, Result},
    output::Output,
};

#[derive(Debug, Deserialize)]
struct Explanation {
    node: String,
    request: Request,
    draining: bool,
    links: String,
    configuration: Option<Configuration>,
    route: Option<Route>,
    access: Option<Access>,
    service: Option<String>,
    admission: Option<Admission>,
    servers: Option<Vec<Server>>,
    job: Option<Job>,
    decision: Decision,
}

#[derive(Debug, Deserialize)]
struct Request {
    workspace: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Configuration {
    version: u64,
    host_list_age_ms: Option<u64>,
    host_list_source: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Route {
    name: String,
    prefix: String,
    kind: String,
    shares: Vec<Share>,
}

#[derive(Debug, Deserialize)]
struct Share {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct Access {
    key_required: bool,
    identity: Option<String>,
    priority: Option<u8>,
    freshness: Freshness,
}

#[derive(Debug, Deserialize)]
struct Freshness {
    required: bool,
    state: String,
    confirmed_ms_ago: Option<u64>,
    refused_with_retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Admission {
    policy: String,
    turned_away_share: f64,
    retry_after_min_ms: Option<u64>,
    retry_after_max_ms: Option<u64>,
    recent_requests: f64,
    recent_refused: f64,
}

#[derive(Debug, Deserialize)]
struct Server {
    id: String,
    zone: String,
    in_zone: bool,
    tier: Option<String>,
    not_eligible: Option<String>,
    cost: f64,
    slots: usize,
    running_here: usize,
    running_elsewhere: usize,
    latency_ms: Option<f64>,
    failures: u32,
    back_off_ms: u64,
    advised_delay_ms: u64,
    limit_per_s: Option<f64>,
    draining: bool,
    entry_missing: bool,
}

#[derive(Debug, Deserialize)]
struct Job {
    owner: Option<String>,
    owner_zone: Option<String>,
    is_owned_here: bool,
    due_after_ms: Option<u64>,
    abandon_after_ms: Option<u64>,
    policy: String,
    slots: usize,
    here: Demand,
    elsewhere: Demand,
    all_nodes_reported: bool,
}

#[derive(Debug, Deserialize)]
struct Demand {
    jobs: usize,
    open_items: usize,
}

#[derive(Debug, Deserialize)]
struct Decision {
    outcome: String,
    reason: Option<String>,
    status: Option<u16>,
    retry_after_ms: Option<u64>,
}

/// Asks a node where a request would go.
///
/// # Errors
///
/// Returns an error for a malformed path, a workspace that the node does not know, or a failed call.
pub(crate) async fn run(node: Node, explain: &Explain) -> Result<Output> {
    let path = request_path(explain)?;
    let value: Value = node.get(&path).await.map_err(|report| {
        let Error::UnreadableResponse(address) = *report.current_context() else {
            return report;
        };
        report.change_context(Error::Refused(format!(
            "{address} does not explain requests: it is a standby, runs an earlier build, or is no metrics listener"
        )))
    })?;
    let explanation = Explanation::deserialize(&value).map_err(|error| {
        Report::new(Error::Refused(format!("reading the explanation: {error}")))
    })?;
    let refusal = refusal(&explanation.decision);
    Ok(Output::new(format(&explanation), &value).with_refusal(refusal))
}

/// Returns the path and query of the call.
fn request_path(explain: &Explain) -> Result<String> {
    let usage = |message: &str| Err(Report::new(Error::Usage(message.into())));
    match () {
        () if explain.host.is_empty() => return usage("--host is empty"),
        () if !explain.path.starts_with('/') => return usage("--path must begin with a slash"),
        () if explain.path.contains(['?', '#']) => return usage("--path must have no query"),
        () if explain.id.is_empty() => return usage("--id is empty"),
        () => {}
    }
    let mut query = form_urlencoded::Serializer::new(String::new());
    query
        .append_pair("host", &explain.host)
        .append_pair("path", &explain.path)
        .append_pair("id", &explain.id);
    if let Some(workspace) = &explain.workspace {
        query.append_pair("workspace", workspace);
    }
    Ok(format!("/admin/v1/explain?{}", query.finish()))
}

fn refusal(decision: &Decision) -> Option<String> {
    let reason = decision.reason.as_deref()?;
    let explained = match reason {
        "no_configuration" => "the node has no configuration yet",
        "no_route" => "no route has this host and path",
        "unauthorized" => "the route needs the key of a workspace, and none is named",
        "stale_configuration" => "the configuration is too old to tell which keys are valid",
        "invalid_job_identity" => "the identity of the job is no name",
        "no_server" => "no server of the service is eligible; the request would wait for one",
        "no_link" => "the node reaches no servers, neither itself nor by a relay",
        other => other,
    };
    let mut text = explained.to_owned();
    if let Some(status) = decision.status {
        let _ = write!(text, " (status {status}");
        if let Some(delay) = decision.retry_after_ms {
            let _ = write!(text, ", Retry-After {delay} ms");
        }
        text.push(')');
    }
    Some(text)
}

fn format(explanation: &Explanation) -> String {
    let mut text = format!(
        "node       {}, links {}",
        explanation.node, explanation.links
    );
    if explanation.draining {
        text.push_str(", draining");
    }
    if let Some(configuration) = &explanation.configuration {
        let _ = write!(text, ", configuration {}", configuration.version);
    }
    text.push('\n');
    if let Some(route) = &explanation.route {
        let _ = writeln!(
            text,
            "route      {} ({}, prefix {})",
            route.name, route.kind, route.prefix
        );
    }
    if let Some(access) = &explanation.access {
        format_access(&mut text, access, explanation.request.workspace.as_deref());
    }
    if let (Some(service), Some(route)) = (&explanation.service, &explanation.route) {
        let shares = route.shares.iter();
        let shares: Vec<String> = shares
            .map(|share| format!("{} {}", share.service, share.weight))
            .collect();
        let _ = writeln!(
            text,
            "service    {service} (weights: {})",
            shares.join(", ")
        );
    }
    if let Some(admission) = &explanation.admission {
        format_admission(&mut text, admission);
    }
    if let Some(servers) = &explanation.servers {
        format_servers(&mut text, servers, explanation.configuration.as_ref());
    }
    if let Some(job) = &explanation.job {
        format_job(&mut text, job);
    }
    let _ = writeln!(text, "decision   {}", decision(explanation));
    text
}

fn decision(explanation: &Explanation) -> String {
    let outcome = &explanation.decision.outcome;
    let servers = explanation.servers.as_deref().unwrap_or_default();
    let first = servers.iter().find(|server| server.tier.is_some());
    match first {
        Some(server) if outcome == "sent" => format!("sent to {}", server.id),
        _ => outcome.clone(),
    }
}

fn format_access(text: &mut String, access: &Access, workspace: Option<&str>) {
    let key = match access.key_required {
        true => "key required",
        false => "no key required",
    };
    let _ = write!(text, "access     {key}");
    if let (Some(identity), Some(priority)) = (&access.identity, access.priority) {
        let name = workspace.filter(|_| identity == "workspace");
        let name = name.map_or(String::new(), |name| format!(" {name}"));
        let _ = write!(text, ", sent as {identity}{name} with priority {priority}");
    }
    let freshness = &access.freshness;
    if freshness.required {
        let age = match freshness.confirmed_ms_ago {
            Some(age) => format!("confirmed {age} ms ago"),
            None => "never confirmed".to_owned(),
        };
        let _ = write!(text, "; configuration {} ({age})", freshness.state);
    }
    if let Some(delay) = freshness.refused_with_retry_after_ms {
        let _ = write!(text, "; requests with keys get Retry-After {delay} ms");
    }
    text.push('\n');
}

fn format_admission(text: &mut String, admission: &Admission) {
    let _ = write!(
        text,
        "admission  {}: {:.1} requests lately, {:.1} refused; ",
        admission.policy, admission.recent_requests, admission.recent_refused
    );
    match (admission.retry_after_min_ms, admission.retry_after_max_ms) {
        (Some(min), Some(max)) => {
            let percent = admission.turned_away_share * 100.0;
            let _ = writeln!(
                text,
                "{percent:.0} % are turned away, with Retry-After {min} to {max} ms"
            );
        }
        _ => text.push_str("none are turned away\n"),
    }
}

fn format_servers(text: &mut String, servers: &[Server], configuration: Option<&Configuration>) {
    let age = configuration.and_then(|configuration| configuration.host_list_age_ms);
    let age = age.map_or("of unknown age".to_owned(), |age| format!("{age} ms old"));
    let source = configuration.and_then(|configuration| configuration.host_list_source.as_deref());
    let source = source.map_or(String::new(), |source| format!(", from {source}"));
    let _ = writeln!(text, "servers    in order; host list {age}{source}");
    for (index, server) in servers.iter().enumerate() {
        let place = match &server.not_eligible {
            Some(reason) => format!("  -  {}  not eligible: {reason}", server.id),
            None => format!("  {}  {}", index + 1, server.id),
        };
        let _ = writeln!(text, "{place}{}", server_inputs(server));
    }
}

fn server_inputs(server: &Server) -> String {
    let mut inputs = format!(
        "  cost {:.3}, {} here + {} elsewhere of {} slots, zone {}",
        server.cost, server.running_here, server.running_elsewhere, server.slots, server.zone
    );
    let latency = server
        .latency_ms
        .map(|latency| format!("latency {latency:.1} ms"));
    let limit = server.limit_per_s.map(|limit| format!("limit {limit}/s"));
    let delay = |name: &str, millis: u64| (millis > 0).then(|| format!("{name} {millis} ms"));
    let flag = |is_set: bool, name: &str| is_set.then(|| name.to_owned());
    let optional = [
        flag(!server.in_zone, "another zone"),
        flag(server.tier.as_deref() == Some("last_resort"), "last resort"),
        latency,
        (server.failures > 0).then(|| format!("failures {}", server.failures)),
        delay("back-off", server.back_off_ms),
        delay("advised delay", server.advised_delay_ms),
        limit,
        flag(server.draining, "draining"),
        flag(server.entry_missing, "entry missing"),
    ];
    for input in optional.into_iter().flatten() {
        inputs.push_str(", ");
        inputs.push_str(&input);
    }
    inputs
}

fn format_job(text: &mut String, job: &Job) {
    let owner = match (&job.owner, &job.owner_zone) {
        (Some(owner), Some(zone)) => format!("{owner} in zone {zone}"),
        _ => "this node, after it has registered".to_owned(),
    };
    let _ = writeln!(text, "owner      {owner}");
    if job.is_owned_here {
        text.push_str("           a job with this identity runs here already\n");
    }
    if let (Some(due), Some(abandon)) = (job.due_after_ms, job.abandon_after_ms) {
        let _ = writeln!(
            text,
            "times      due after {due} ms, abandoned after {abandon} ms"
        );
    }
    let reports = match job.all_nodes_reported {
        true => "",
        false => " (reports incomplete)",
    };
    let _ = writeln!(
        text,
        "share      {}: {} slots; {} jobs with {} open items here, {} with {} elsewhere{reports}",
        job.policy,
        job.slots,
        job.here.jobs,
        job.here.open_items,
        job.elsewhere.jobs,
        job.elsewhere.open_items
    );
}
