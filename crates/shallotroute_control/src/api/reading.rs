//! Calls that show state and history.

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

use super::{Answer, Query, Refused, failed, not_found, ok, refuse};
use crate::{Control, ledger};

/// How long the status waits for the head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// How many entries of the history are returned at once.
const DEFAULT_ENTRIES: usize = 50;

/// The most entries of the history that are returned at once.
const MAX_ENTRIES: usize = 500;

/// How many records one call reads at most; the key-value service serves about 2,000 reads a second.
const MAX_RECORDS: usize = 2000;

pub(super) async fn status(control: &Arc<Control>) -> Answer {
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
        let in_force = adoption.in_force().map(|held| held.snapshot.revision());
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

pub(super) async fn history(control: &Arc<Control>, query: &Query) -> Answer {
    let limit = match query.get("limit").map(str::parse::<usize>) {
        None => DEFAULT_ENTRIES,
        Some(Ok(limit)) if (1..=MAX_ENTRIES).contains(&limit) => limit,
        Some(_) => {
            let message = format!("`limit` should be 1 to {MAX_ENTRIES}");
            return Err(refuse(StatusCode::BAD_REQUEST, "query", &message));
        }
    };
    let from = match query.get("from") {
        Some(hash) => Some(hash.to_owned()),
        None => head(control).await?.record,
    };
    let object = query.get("object");
    let mut history = History {
        entries: Vec::new(),
        next: from,
    };
    for _ in 0..MAX_RECORDS {
        let Some(hash) = history.next.take() else {
            break;
        };
        let record = control.repository.record(&hash).await;
        let record = record.map_err(|report| failed(&report))?;
        history.next = record.parent.clone();
        if object.is_none_or(|object| touches(&record.changes, object)) {
            history.entries.push(Entry::new(hash, record));
        }
        if history.entries.len() == limit {
            break;
        }
    }
    ok(&history)
}

fn touches(changes: &Changes, object: &str) -> bool {
    [&changes.added, &changes.changed, &changes.removed]
        .into_iter()
        .flatten()
        .any(|changed| changed == object)
}

pub(super) async fn revision(control: &Arc<Control>, revision: &str) -> Answer {
    let Ok(revision) = revision.parse::<u64>() else {
        return Err(refuse(
            StatusCode::BAD_REQUEST,
            "path",
            "a revision is a number",
        ));
    };
    let head = head(control).await?;
    let found = control.repository.find(&head, Revision(revision)).await;
    match found.map_err(|report| failed(&report))? {
        Some(hash) => show(control, &hash).await,
        None => Err(not_found()),
    }
}

/// Shows the newest revision whose record is not younger than the time.
pub(super) async fn revision_at(control: &Arc<Control>, query: &Query) -> Answer {
    let Some(time) = query.get("at").and_then(api::parse_time) else {
        let message = "`at` should be a time as 2026-12-03T20:40:00Z or in seconds since 1970";
        return Err(refuse(StatusCode::BAD_REQUEST, "query", message));
    };
    let mut next = head(control).await?.record;
    while let Some(hash) = next {
        let record = control.repository.record(&hash).await;
        let record = record.map_err(|report| failed(&report))?;
        if record.at <= time {
            return show(control, &hash).await;
        }
        next = record.parent;
    }
    Err(not_found())
}

async fn show(control: &Arc<Control>, hash: &str) -> Answer {
    match control.repository.open(hash).await {
        Ok(snapshot) => ok(&RevisionDetails {
            objects: snapshot.set.objects(),
            entry: Entry::new(snapshot.hash.clone(), snapshot.record.clone()),
        }),
        Err(report) => Err(failed(&report)),
    }
}

/// Shows what the ledger has of a sample, and the record of the revision that was in force.
pub(super) async fn sample(
    control: &Arc<Control>,
    trainer: &str,
    step: &str,
    place: [&str; 2],
) -> Answer {
    let [Ok(group), Ok(index)] = place.map(str::parse::<u64>) else {
        return Err(refuse(
            StatusCode::BAD_REQUEST,
            "path",
            "group and index are numbers",
        ));
    };
    let key = format!("ledger/{trainer}/{step}");
    let sample = recorded(control, &key, group, index).await?;
    let revision = sample.get("revision").and_then(Value::as_u64);
    let record = match revision {
        Some(revision) => record(control, Revision(revision)).await,
        None => None,
    };
    let identity = json!({"trainer": trainer, "step": step, "group": group, "index": index});
    ok(&json!({"identity": identity, "sample": sample, "configuration": record}))
}

/// Finds a sample in a step's ledger, which goes on at `KEY/1`, `KEY/2` and so on when it is long.
async fn recorded(
    control: &Arc<Control>,
    key: &str,
    group: u64,
    index: u64,
) -> Result<Value, Refused> {
    for part in 0_u32.. {
        let name = match part {
            0 => key.to_owned(),
            _ => format!("{key}/{part}"),
        };
        let value = control.repository.get(&name).await;
        let value = value
            .map_err(|report| failed(&report))?
            .ok_or_else(not_found)?;
        let Ok(ledger) = serde_json::from_slice::<Value>(&value) else {
            let message = "the ledger is not JSON";
            return Err(refuse(StatusCode::BAD_GATEWAY, "ledger", message));
        };
        if let Some(sample) = ledger::sample(&ledger, group, index) {
            return Ok(sample);
        }
    }
    Err(not_found())
}

async fn record(control: &Arc<Control>, revision: Revision) -> Option<Entry> {
    let (_, head) = control.repository.head().await.ok()?;
    let hash = control.repository.find(&head, revision).await.ok()??;
    let record = control.repository.record(&hash).await.ok()?;
    Some(Entry::new(hash, record))
}

async fn head(control: &Arc<Control>) -> Result<Head, Refused> {
    let head = control.repository.head().await;
    head.map(|(_, head)| head).map_err(|report| failed(&report))
}
