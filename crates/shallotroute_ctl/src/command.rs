//! Executes the commands.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};
use shallotroute_config::{
    api::{self, CheckRequest, CheckResponse, Outcome, Publication, Submission},
    bundle, check, finding,
    snapshot::Changes,
};
use shallotroute_types::{member::State, revision::Revision};

use crate::{
    arguments::{Arguments, Audit, Check, Command, History, Publish, Show, Site, Status},
    client::{Error, Node, Result},
    explain, input,
    output::{self, Output},
    site,
};

/// The interval at which a waiting command reads the status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Executes a command.
///
/// # Errors
///
/// Returns an error for incorrect usage, an unreadable file or a failed call. A command that was
/// refused but has a result returns an [`Output`] with the refusal.
pub(crate) async fn execute(arguments: Arguments) -> Result<Output> {
    let key = arguments.key();
    let key = key.change_context_lazy(|| Error::File("the key file".into()))?;
    let node = arguments
        .node
        .map(|address| Node::new(address, key.clone()));
    let node = match (node, &arguments.command) {
        (None, Command::Check(check)) => return check_locally(check),
        (None, Command::HashKey(_)) => return hash_key(key.as_deref()),
        (None, _) => {
            return Err(Report::new(Error::Usage(
                "--node ADDRESS is missing".into(),
            )));
        }
        (Some(node), _) => node,
    };
    match arguments.command {
        Command::Check(check) => check_on_node(&node, &check).await,
        Command::Publish(publish) => run_publish(&node, publish).await,
        Command::Status(status) => run_status(&node, &status).await,
        Command::History(history) => run_history(&node, &history).await,
        Command::Show(show) => run_show(&node, &show).await,
        Command::Audit(audit) => run_audit(&node, &audit).await,
        Command::HashKey(_) => hash_key(key.as_deref()),
        Command::Dump(_) => {
            let value: Value = node.get("/admin/v1/dump").await?;
            Ok(Output::new(output::format_json(&value), &value))
        }
        Command::Explain(explain) => explain::run(node.without_key(), &explain).await,
        Command::Site(site_arguments) => run_site(&node, key.as_ref(), &site_arguments).await,
    }
}

async fn run_site(node: &Node, key: Option<&String>, site_arguments: &Site) -> Result<Output> {
    let first: site::Dump = node.get("/admin/v1/dump").await?;
    let others = site_arguments.nodes.iter().map(|address| async move {
        let node = Node::new(*address, key.cloned());
        let dump = node.get::<site::Dump>("/admin/v1/dump").await;
        dump.map_err(|report| report.current_context().to_string())
    });
    let mut dumps = vec![first];
    let mut errors = Vec::new();
    for dump in futures::future::join_all(others).await {
        match dump {
            Ok(dump) => dumps.push(dump),
            Err(error) => errors.push(error),
        }
    }
    let refusal = (!errors.is_empty()).then(|| errors.join("; "));
    Ok(Output::new(site::format_dumps(&dumps), &dumps).with_refusal(refusal))
}

fn hash_key(key: Option<&str>) -> Result<Output> {
    match key {
        Some(key) => {
            let hash = bundle::hash(key.as_bytes());
            Ok(Output::new(hash.clone(), &json!({ "key_hash": hash })))
        }
        None => Err(Report::new(Error::Usage(
            "the key to hash is missing".into(),
        ))),
    }
}

fn check_locally(check: &Check) -> Result<Output> {
    let checked = check::files(&input::read_sources(&check.files)?);
    Ok(check_output(&CheckResponse {
        accepted: !finding::has_errors(&checked.findings),
        findings: checked.findings,
        ..CheckResponse::default()
    }))
}

async fn check_on_node(node: &Node, check: &Check) -> Result<Output> {
    let files = input::read_sources(&check.files)?;
    let response: CheckResponse = node
        .post("/admin/v1/check", &CheckRequest { files })
        .await?;
    Ok(check_output(&response))
}

fn check_output(response: &CheckResponse) -> Output {
    let refusal = (!response.accepted).then(|| "the set has errors".to_owned());
    Output::new(output::format_check(response), response).with_refusal(refusal)
}

async fn run_publish(node: &Node, publish: Publish) -> Result<Output> {
    let files = match publish.rollback {
        Some(_) if publish.files.is_empty() => Vec::new(),
        Some(_) => {
            let message = "--rollback takes no files".into();
            return Err(Report::new(Error::Usage(message)));
        }
        None => input::read_sources(&publish.files)?,
    };
    let identity = publish.publication.unwrap_or_else(uuid::Uuid::now_v7);
    let submission = Submission {
        publication: identity.to_string(),
        reason: publish.reason,
        files,
        parent: publish.parent.map(Revision),
        rollback: publish.rollback.map(Revision),
    };
    let result = node.post("/admin/v1/publications", &submission).await;
    let publication = match result {
        Err(report) if matches!(report.current_context(), Error::Lost(_)) => {
            unknown_publication(&submission)
        }
        other => other?,
    };
    let output = publication_output(&publication);
    match publication.result {
        Outcome::Published { revision } if publish.wait => {
            let timeout = Duration::from_secs(publish.wait_seconds);
            wait_until_in_force(node, revision, timeout, output).await
        }
        Outcome::Published { .. }
        | Outcome::Rejected
        | Outcome::Conflict { .. }
        | Outcome::NotPublished { .. }
        | Outcome::Unknown { .. } => Ok(output),
    }
}

/// Returns the result of a publication whose response was lost.
fn unknown_publication(submission: &Submission) -> Publication {
    let publication = submission.publication.clone();
    let command = format!("shallotctl status --publication {publication}");
    Publication {
        publication,
        result: Outcome::Unknown { command },
        findings: Vec::new(),
        changes: Changes::default(),
    }
}

fn publication_output(publication: &Publication) -> Output {
    let mut text = output::format_publication(publication);
    let refusal = match &publication.result {
        Outcome::Published { revision } => {
            text.push_str(&format!("accepted as revision {revision}\n"));
            None
        }
        Outcome::Rejected => Some("the set has errors; nothing was published".to_owned()),
        Outcome::Conflict {
            winner,
            author,
            difference,
        } => {
            let author = author.as_ref().map(ToString::to_string);
            text.push_str(&format!("changes up to revision {winner}:\n"));
            text.push_str(&output::format_changes(difference));
            Some(format!(
                "conflict with revision {winner} by {}; nothing was published",
                author.unwrap_or_else(|| "an operator whose name could not be read".into())
            ))
        }
        Outcome::NotPublished { reason } => Some(format!("not published: {reason}")),
        Outcome::Unknown { command } => Some(format!(
            "unknown whether it was published; to find out, run: {command}"
        )),
    };
    Output::new(text, publication).with_refusal(refusal)
}

/// Waits until the revision is in force on every live node or `timeout` has passed.
async fn wait_until_in_force(
    node: &Node,
    revision: Revision,
    timeout: Duration,
    accepted: Output,
) -> Result<Output> {
    let started = Instant::now();
    loop {
        // The publication has succeeded, so a status that can't be read does not end the wait.
        let status: Option<api::Status> = node.get("/admin/v1/status").await.ok();
        let missing = status.map(|status| nodes_not_in_force(&status, revision));
        let is_done = missing.as_ref().is_some_and(|(names, _)| names.is_empty());
        if is_done || started.elapsed() >= timeout {
            return Ok(wait_output(accepted, missing, started.elapsed()));
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

/// Returns the output of a wait. `missing` is the result of [`nodes_not_in_force`]; `None` if the
/// status could not be read.
fn wait_output(
    accepted: Output,
    missing: Option<(Vec<String>, usize)>,
    waited: Duration,
) -> Output {
    let seconds = waited.as_secs_f64();
    let mut text = accepted.text;
    let refusal = match &missing {
        Some((names, total)) if names.is_empty() => {
            text.push_str(&format!(
                "in force on {total} of {total} nodes after {seconds:.1} s\n"
            ));
            None
        }
        Some((names, _)) => Some(names.join(", ")),
        None => Some("unknown nodes, since the status can't be read".into()),
    };
    let value = json!({
        "publication": accepted.value,
        "in_force": refusal.is_none(),
        "waited_s": seconds,
        "missing": missing.map(|(names, _)| names),
    });
    let reason = |names| format!("accepted, but not in force after {seconds:.1} s on {names}");
    Output::new(text, &value).with_refusal(refusal.map(reason))
}

/// Returns the names of the live nodes on which an older revision is in force, and the number of
/// all live nodes.
fn nodes_not_in_force(status: &api::Status, revision: Revision) -> (Vec<String>, usize) {
    let mut nodes = vec![(status.node.to_string(), status.in_force)];
    for member in &status.members {
        let is_live = matches!(member.state, State::Alive | State::Suspect);
        if is_live && member.node != status.node {
            nodes.push((member.node.to_string(), member.in_force));
        }
    }
    let total = nodes.len();
    let missing = nodes
        .into_iter()
        .filter(|(_, in_force)| *in_force < revision)
        .map(|(name, _)| name);
    (missing.collect(), total)
}

async fn run_status(node: &Node, status: &Status) -> Result<Output> {
    match &status.publication {
        Some(identity) => {
            let path = format!("/admin/v1/publications/{identity}");
            let publication: Publication = node.get(&path).await?;
            Ok(publication_output(&publication))
        }
        None => {
            let status: api::Status = node.get("/admin/v1/status").await?;
            Ok(Output::new(output::format_status(&status), &status))
        }
    }
}

async fn run_history(node: &Node, history: &History) -> Result<Output> {
    let mut path = format!("/admin/v1/history?limit={}", history.limit);
    if let Some(object) = &history.object {
        path.push_str(&format!("&object={}", encode(object)));
    }
    if let Some(from) = &history.from {
        path.push_str(&format!("&from={}", encode(from)));
    }
    let history: api::History = node.get(&path).await?;
    Ok(Output::new(output::format_history(&history), &history))
}

async fn run_show(node: &Node, show: &Show) -> Result<Output> {
    let path = match (show.revision, &show.at) {
        (Some(revision), None) => format!("/admin/v1/revisions/{revision}"),
        (None, Some(time)) => format!("/admin/v1/revisions?at={}", encode(time)),
        (None, None) => {
            // Asks for the revision in force a minute from now, which is the newest one.
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let seconds = since_epoch.unwrap_or_default().as_secs() + 60;
            format!("/admin/v1/revisions?at={seconds}")
        }
        (Some(_), Some(_)) => {
            let message = "give a revision or --at, not both".into();
            return Err(Report::new(Error::Usage(message)));
        }
    };
    let details: api::RevisionDetails = node.get(&path).await?;
    Ok(Output::new(output::format_revision(&details), &details))
}

async fn run_audit(node: &Node, audit: &Audit) -> Result<Output> {
    let segments: Vec<&str> = audit.target.split('/').collect();
    match segments.as_slice() {
        [_, _] => {
            let history = History {
                object: Some(audit.target.clone()),
                limit: 500,
                from: None,
            };
            run_history(node, &history).await
        }
        [trainer, step, group, index] => {
            let segments = [trainer, step, group, index].map(|segment| encode(segment));
            let path = format!("/admin/v1/samples/{}", segments.join("/"));
            let value: Value = node.get(&path).await?;
            Ok(Output::new(output::format_json(&value), &value))
        }
        _ => {
            let message = "the target should be kind/name or trainer/step/group/index".into();
            Err(Report::new(Error::Usage(message)))
        }
    }
}

/// Percent-encodes all but unreserved characters (RFC 3986, section 2.3).
fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(byte.into());
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
