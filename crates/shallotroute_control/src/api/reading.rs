//! Handlers of the calls that return the state, revisions and samples.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_config::{
    api::{self, Entry, History, Member, RevisionDetails, Status},
    bundle::Head,
    snapshot::Changes,
};
use shallotroute_types::revision::Revision;
use tokio::time::timeout;

use super::{HandlerResult, Query, Rejection, not_found, ok, reject, unavailable};
use crate::{Control, ledger};

/// The timeout of reading the head for the status, which then lacks the accepted revision.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// The page size of the history if the call has no `limit`.
const DEFAULT_HISTORY_LIMIT: usize = 50;

/// The maximum page size of the history.
const MAX_HISTORY_LIMIT: usize = 500;

/// The maximum number of records that one call for the history reads. The key-value service serves
/// about 2,000 reads per second.
const MAX_RECORDS_READ: usize = 2000;

pub(super) async fn status(control: &Arc<Control>) -> HandlerResult {
    let head = timeout(HEAD_TIMEOUT, control.repository.head()).await;
    let accepted = head.ok().and_then(|head| head.ok());
    let view = control.context.members.borrow().clone();
    let members = view.members.iter().map(|member| Member {
        node: member.id.clone(),
        zone: member.zone.clone(),
        address: member.address,
        state: member.state,
        known: member.known,
        in_force: member.in_force,
    });
    let status = control.adopter.inspect(|adoption, now| {
        let in_force = adoption
            .in_force()
            .map(|replica| replica.snapshot.revision());
        let age = adoption.confirmation_age(now);
        Status {
            node: control.context.local.id.clone(),
            accepted: accepted.map(|(_, head)| head.revision),
            known: adoption.known(),
            in_force: in_force.unwrap_or_default(),
            confirmed: adoption.is_confirmed(now),
            confirmation_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            members: members.collect(),
        }
    });
    ok(&status)
}

pub(super) async fn history(control: &Arc<Control>, query: &Query) -> HandlerResult {
    let limit = match query.get("limit").map(str::parse::<usize>) {
        None => DEFAULT_HISTORY_LIMIT,
        Some(Ok(limit)) if (1..=MAX_HISTORY_LIMIT).contains(&limit) => limit,
        Some(_) => {
            let message = format!("`limit` should be 1 to {MAX_HISTORY_LIMIT}");
            return Err(reject(StatusCode::BAD_REQUEST, "query", &message));
        }
    };
    let from = match query.get("from") {
        Some(hash) => Some(hash.to_owned()),
        None => read_head(control).await?.record,
    };
    let object = query.get("object");
    let mut history = History {
        entries: Vec::new(),
        next: from,
    };
    for _ in 0..MAX_RECORDS_READ {
        let Some(hash) = history.next.take() else {
            break;
        };
        let record = control.repository.record(&hash).await;
        let record = record.map_err(|report| unavailable(&report))?;
        history.next = record.parent.clone();
        if object.is_none_or(|object| affects(&record.changes, object)) {
            history.entries.push(Entry::new(hash, record));
        }
        if history.entries.len() == limit {
            break;
        }
    }
    ok(&history)
}

/// Returns whether the changes include the object with this identity.
fn affects(changes: &Changes, object: &str) -> bool {
    [&changes.added, &changes.changed, &changes.removed]
        .into_iter()
        .flatten()
        .any(|changed| changed == object)
}

pub(super) async fn revision(control: &Arc<Control>, revision: &str) -> HandlerResult {
    let Ok(revision) = revision.parse::<u64>() else {
        return Err(reject(
            StatusCode::BAD_REQUEST,
            "path",
            "a revision is a number",
        ));
    };
    let head = read_head(control).await?;
    let found = control
        .repository
        .find_record(&head, Revision(revision))
        .await;
    match found.map_err(|report| unavailable(&report))? {
        Some(hash) => revision_details(control, &hash).await,
        None => Err(not_found()),
    }
}

/// Returns the newest revision that was created at or before the time in the query.
pub(super) async fn revision_at(control: &Arc<Control>, query: &Query) -> HandlerResult {
    let Some(time) = query.get("at").and_then(api::parse_time) else {
        let message = "`at` should be a time as 2026-12-03T20:40:00Z or in seconds since 1970";
        return Err(reject(StatusCode::BAD_REQUEST, "query", message));
    };
    let mut next = read_head(control).await?.record;
    while let Some(hash) = next {
        let record = control.repository.record(&hash).await;
        let record = record.map_err(|report| unavailable(&report))?;
        if record.at <= time {
            return revision_details(control, &hash).await;
        }
        next = record.parent;
    }
    Err(not_found())
}

async fn revision_details(control: &Arc<Control>, hash: &str) -> HandlerResult {
    match control.repository.load_snapshot(hash).await {
        Ok(snapshot) => ok(&RevisionDetails {
            objects: snapshot.set.objects(),
            entry: Entry::new(snapshot.hash.clone(), snapshot.record.clone()),
        }),
        Err(report) => Err(unavailable(&report)),
    }
}

/// Returns the ledger's record of a sample and the record of the revision that was in force for it,
/// if that can be read. `position` holds the group and the index within the step.
pub(super) async fn sample(
    control: &Arc<Control>,
    trainer: &str,
    step: &str,
    position: [&str; 2],
) -> HandlerResult {
    let [Ok(group), Ok(index)] = position.map(str::parse::<u64>) else {
        return Err(reject(
            StatusCode::BAD_REQUEST,
            "path",
            "group and index are numbers",
        ));
    };
    let key = format!("ledger/{trainer}/{step}");
    let sample = read_sample(control, &key, group, index).await?;
    let revision = sample.get("revision").and_then(Value::as_u64);
    let record = match revision {
        Some(revision) => read_entry(control, Revision(revision)).await,
        None => None,
    };
    let identity = json!({"trainer": trainer, "step": step, "group": group, "index": index});
    ok(&json!({"identity": identity, "sample": sample, "configuration": record}))
}

/// Searches the ledger of a step for a sample. A long ledger continues at `KEY/1`, `KEY/2` and so
/// on.
async fn read_sample(
    control: &Arc<Control>,
    key: &str,
    group: u64,
    index: u64,
) -> Result<Value, Rejection> {
    for part in 0_u32.. {
        let part_key = match part {
            0 => key.to_owned(),
            _ => format!("{key}/{part}"),
        };
        let value = control.repository.get(&part_key).await;
        let value = value
            .map_err(|report| unavailable(&report))?
            .ok_or_else(not_found)?;
        let Ok(ledger) = serde_json::from_slice::<Value>(&value) else {
            let message = "the ledger is not JSON";
            return Err(reject(StatusCode::BAD_GATEWAY, "ledger", message));
        };
        if let Some(sample) = ledger::find_sample(&ledger, group, index) {
            return Ok(sample);
        }
    }
    Err(not_found())
}

/// Returns the history entry of a revision; `None` if it does not exist or can't be read.
async fn read_entry(control: &Arc<Control>, revision: Revision) -> Option<Entry> {
    let (_, head) = control.repository.head().await.ok()?;
    let hash = control
        .repository
        .find_record(&head, revision)
        .await
        .ok()??;
    let record = control.repository.record(&hash).await.ok()?;
    Some(Entry::new(hash, record))
}

async fn read_head(control: &Arc<Control>) -> Result<Head, Rejection> {
    let head = control.repository.head().await;
    head.map(|(_, head)| head)
        .map_err(|report| unavailable(&report))
}
