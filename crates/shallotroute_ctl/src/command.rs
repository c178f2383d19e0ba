//! The commands.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report as Trace, ResultExt};
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
    input,
    output::{self, Report},
    site,
};

/// The time between looks at the status while waiting.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);

/// Carries out a command.
pub(crate) async fn execute(arguments: Arguments) -> Result<Report> {
    let key = arguments.key();
    let key = key.change_context_lazy(|| Error::File("the key file".into()))?;
    let node = arguments
        .node
        .map(|address| Node::new(address, key.clone()));
    let node = match (node, &arguments.command) {
        (None, Command::Check(check)) => return check_here(check),
        (None, Command::HashKey(_)) => return hash(key.as_deref()),
        (None, _) => return Err(Trace::new(Error::Usage("--node ADDRESS is missing".into()))),
        (Some(node), _) => node,
    };
    match arguments.command {
        Command::Check(check) => check_at(&node, &check).await,
        Command::Publish(publish) => publish_at(&node, publish).await,
        Command::Status(status) => status_of(&node, &status).await,
        Command::History(history) => history_of(&node, &history).await,
        Command::Show(show) => show_at(&node, &show).await,
        Command::Audit(audit) => audit_of(&node, &audit).await,
        Command::HashKey(_) => hash(key.as_deref()),
        Command::Dump(_) => {
            let value: Value = node.get("/admin/v1/dump").await?;
            Ok(Report::new(output::pretty(&value), &value))
        }
        Command::Site(more) => site_of(&node, key.as_ref(), &more).await,
    }
}

async fn site_of(node: &Node, key: Option<&String>, more: &Site) -> Result<Report> {
    let first: site::Dump = node.get("/admin/v1/dump").await?;
    let others = more.nodes.iter().map(|address| async move {
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
    Ok(Report::new(site::text(&dumps), &dumps).with_refusal(refusal))
}

fn hash(key: Option<&str>) -> Result<Report> {
    match key {
        Some(key) => {
            let hash = bundle::hash(key.as_bytes());
            Ok(Report::new(hash.clone(), &json!({ "key_hash": hash })))
        }
        None => Err(Trace::new(Error::Usage(
            "the key to hash is missing".into(),
        ))),
    }
}

fn check_here(check: &Check) -> Result<Report> {
    let checked = check::files(&input::read(&check.files)?);
    Ok(verdict(&CheckResponse {
        accepted: !finding::has_errors(&checked.findings),
        findings: checked.findings,
        ..CheckResponse::default()
    }))
}

async fn check_at(node: &Node, check: &Check) -> Result<Report> {
    let files = input::read(&check.files)?;
    let answer: CheckResponse = node
        .post("/admin/v1/check", &CheckRequest { files })
        .await?;
    Ok(verdict(&answer))
}

fn verdict(verdict: &CheckResponse) -> Report {
    let refusal = (!verdict.accepted).then(|| "the set has errors".to_owned());
    Report::new(output::verdict(verdict), verdict).with_refusal(refusal)
}

async fn publish_at(node: &Node, publish: Publish) -> Result<Report> {
    let files = match publish.rollback {
        Some(_) if publish.files.is_empty() => Vec::new(),
        Some(_) => {
            let message = "--rollback takes no files".into();
            return Err(Trace::new(Error::Usage(message)));
        }
        None => input::read(&publish.files)?,
    };
    let identity = publish.publication.unwrap_or_else(uuid::Uuid::now_v7);
    let submission = Submission {
        publication: identity.to_string(),
        reason: publish.reason,
        files,
        parent: publish.parent.map(Revision),
        rollback: publish.rollback.map(Revision),
    };
    let sent = node.post("/admin/v1/publications", &submission).await;
    let answer = match sent {
        Err(report) if matches!(report.current_context(), Error::Lost(_)) => unknown(&submission),
        other => other?,
    };
    let report = publication(&answer);
    match answer.result {
        Outcome::Published { revision } if publish.wait => {
            let limit = Duration::from_secs(publish.wait_seconds);
            wait(node, revision, limit, report).await
        }
        Outcome::Published { .. }
        | Outcome::Rejected
        | Outcome::Conflict { .. }
        | Outcome::NotPublished { .. }
        | Outcome::Unknown { .. } => Ok(report),
    }
}

/// Returns the result of a publication whose answer was lost on its way here.
fn unknown(submission: &Submission) -> Publication {
    let publication = submission.publication.clone();
    let command = format!("shallotctl status --publication {publication}");
    Publication {
        publication,
        result: Outcome::Unknown { command },
        findings: Vec::new(),
        changes: Changes::default(),
    }
}

fn publication(answer: &Publication) -> Report {
    let mut text = output::publication(answer);
    let refusal = match &answer.result {
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
            text.push_str(&output::changes(difference));
            Some(format!(
                "conflict with revision {winner} by {}; nothing was published",
                author.unwrap_or_else(|| "an operator that could not be read".into())
            ))
        }
        Outcome::NotPublished { reason } => Some(format!("not published: {reason}")),
        Outcome::Unknown { command } => Some(format!(
            "unknown whether it is published; this tells later: {command}"
        )),
    };
    Report::new(text, answer).with_refusal(refusal)
}

/// Waits until the revision is in force on every live node.
async fn wait(
    node: &Node,
    revision: Revision,
    limit: Duration,
    accepted: Report,
) -> Result<Report> {
    let started = Instant::now();
    loop {
        // The publication is done, so a status that can't be read does not end the waiting.
        let status: Option<api::Status> = node.get("/admin/v1/status").await.ok();
        let missing = status.map(|status| missing(&status, revision));
        let done = missing.as_ref().is_some_and(|(names, _)| names.is_empty());
        if done || started.elapsed() >= limit {
            return Ok(waited(accepted, missing, started.elapsed()));
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

/// Tells on how many nodes an accepted revision is in force.
fn waited(accepted: Report, missing: Option<(Vec<String>, usize)>, time: Duration) -> Report {
    let seconds = time.as_secs_f64();
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
    Report::new(text, &value).with_refusal(refusal.map(reason))
}

/// Returns the live nodes without the revision in force, and the number of live nodes.
fn missing(status: &api::Status, revision: Revision) -> (Vec<String>, usize) {
    let mut nodes = vec![(status.node.to_string(), status.in_force)];
    for member in &status.members {
        let live = matches!(member.state, State::Alive | State::Suspect);
        if live && member.node != status.node {
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

async fn status_of(node: &Node, status: &Status) -> Result<Report> {
    match &status.publication {
        Some(identity) => {
            let path = format!("/admin/v1/publications/{identity}");
            let answer: Publication = node.get(&path).await?;
            Ok(publication(&answer))
        }
        None => {
            let status: api::Status = node.get("/admin/v1/status").await?;
            Ok(Report::new(output::status(&status), &status))
        }
    }
}

async fn history_of(node: &Node, history: &History) -> Result<Report> {
    let mut path = format!("/admin/v1/history?limit={}", history.limit);
    if let Some(object) = &history.object {
        path.push_str(&format!("&object={}", encode(object)));
    }
    if let Some(from) = &history.from {
        path.push_str(&format!("&from={}", encode(from)));
    }
    let history: api::History = node.get(&path).await?;
    Ok(Report::new(output::history(&history), &history))
}

async fn show_at(node: &Node, show: &Show) -> Result<Report> {
    let path = match (show.revision, &show.at) {
        (Some(revision), None) => format!("/admin/v1/revisions/{revision}"),
        (None, Some(time)) => format!("/admin/v1/revisions?at={}", encode(time)),
        (None, None) => {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            let seconds = since.unwrap_or_default().as_secs() + 60;
            format!("/admin/v1/revisions?at={seconds}")
        }
        (Some(_), Some(_)) => {
            let message = "give a revision or --at, not both".into();
            return Err(Trace::new(Error::Usage(message)));
        }
    };
    let shown: api::RevisionDetails = node.get(&path).await?;
    Ok(Report::new(output::shown(&shown), &shown))
}

async fn audit_of(node: &Node, audit: &Audit) -> Result<Report> {
    let segments: Vec<&str> = audit.target.split('/').collect();
    match segments.as_slice() {
        [_, _] => {
            let history = History {
                object: Some(audit.target.clone()),
                limit: 500,
                from: None,
            };
            history_of(node, &history).await
        }
        [trainer, step, group, index] => {
            let segments = [trainer, step, group, index].map(|segment| encode(segment));
            let path = format!("/admin/v1/samples/{}", segments.join("/"));
            let value: Value = node.get(&path).await?;
            Ok(Report::new(output::pretty(&value), &value))
        }
        _ => {
            let message = "the target should be kind/name or trainer/step/group/index".into();
            Err(Trace::new(Error::Usage(message)))
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
