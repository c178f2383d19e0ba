//! Notices requests under which backend servers crash, and tells all nodes of them through the platform's
//! store. The decisions are in [`shallotroute_fleet::suspect`].

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, header};
use shallotroute_adapter::store::{Write, WriteOutcome};
use shallotroute_batch::record;
use shallotroute_fleet::{
    access::Identity,
    link::{Finding, State},
    retry::Attempts,
    server::Server,
    suspect::{Fingerprint, Process, RETENTION, Record, Suspects, Verdict},
};
use shallotroute_types::name::Name;
use tokio::sync::mpsc;

use crate::{
    admission,
    forward::BackendRequest,
    link, member,
    metric::Metrics,
    object,
    shared::Shared,
    store::{Error, Result},
};

/// The prefix of the records of requests. It is among the keys that all nodes follow.
const PREFIX: &str = "shallotroute/member/suspect/";

/// The number of changes that wait to be written. Further ones are known at this node only.
const QUEUE_LENGTH: usize = 256;

/// The number of times that a write is tried; the store may be away for some seconds.
const WRITE_TRIES: usize = 20;

/// The delay before a write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The requests under which servers crashed, and what is to be written of them.
pub(crate) struct Tracker {
    suspects: Mutex<Suspects>,
    changes: mpsc::Sender<Change>,
}

/// A change that the other nodes are told of.
#[derive(Debug)]
pub(crate) enum Change {
    /// A crash is held against the request.
    Crashed(Fingerprint),
    /// The request has succeeded.
    Cleared(Fingerprint),
}

impl Tracker {
    /// Creates the state without any request. [`run`] reads the changes from the receiver.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Change>) {
        let (changes, receiver) = mpsc::channel(QUEUE_LENGTH);
        let tracker = Self {
            suspects: Mutex::default(),
            changes,
        };
        (tracker, receiver)
    }

    /// Returns the number of requests of which a crash is known, and of those that are blocked.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.lock().counts()
    }

    /// Forgets the connections that broke and may yet turn out to be crashes.
    pub(crate) fn discard_broken(&self) {
        self.lock().discard_broken();
    }

    fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self, change: Change) {
        if let Err(error) = self.changes.try_send(change) {
            spdlog::warn!("too many crashes at a time; other nodes are not told of one", kv: {
                error = error.to_string(),
            });
        }
    }
}

/// Returns the fingerprint of a caller's request: of all by which it is the same when it comes again, but not
/// of its identity and its deadline. Where there are workspaces, it has the caller's workspace in place of the
/// credential: fingerprints are stored and logged, and must not help to guess keys.
pub(crate) fn fingerprint(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    content: &[u8],
    identity: &Identity,
) -> Fingerprint {
    let header = |name| headers.get(name).map_or(&[][..], |value| value.as_bytes());
    let sender = match identity {
        Identity::Unrestricted => header(header::AUTHORIZATION),
        Identity::Anonymous => &[],
        Identity::Workspace(name) => name.as_bytes(),
    };
    let mut digest = blake3::Hasher::new();
    for part in [
        method.as_str().as_bytes(),
        header(header::HOST),
        target.as_bytes(),
        sender,
        content,
    ] {
        digest.update(&part.len().to_le_bytes());
        digest.update(part);
    }
    let mut name = digest.finalize().to_hex().to_string();
    name.truncate(32);
    Fingerprint(Name::from(name))
}

/// Decides whether a caller's request may be sent to a server of a service, and passes the verdict to its
/// attempts.
pub(crate) fn judge(
    shared: &Shared,
    request: &BackendRequest,
    service: &str,
    attempts: &mut Attempts,
) {
    let Some(fingerprint) = &request.fingerprint else {
        return;
    };
    if shared.suspects.lock().is_empty() {
        attempts.set_verdict(Verdict::Clear);
        return;
    }
    let now = shared.now();
    let (available, listed) = shared.balancer().available_servers(service, now);
    let verdict = shared
        .suspects
        .lock()
        .verdict(fingerprint, available, listed, now);
    if !attempts.set_verdict(verdict) {
        return;
    }
    let event = match verdict {
        Verdict::Clear => return,
        Verdict::Suspect => "suspect",
        Verdict::Held { .. } => "held",
        Verdict::Blocked { .. } => "blocked",
    };
    Metrics::count(&shared.metrics.suspects, event);
    spdlog::info!("servers crashed under a request", kv: {
        request = &*request.id, fingerprint = fingerprint.0.as_str(), event, available, listed,
    });
}

/// Records that the connection to a server broke before it answered a request. Returns when it is known whether the
/// server refuses connections, as it does after a crash.
pub(crate) async fn record_break(shared: &Shared, request: &Fingerprint, server: &Server) {
    let process = Process {
        server: server.id.clone(),
        born: server.born,
    };
    shared
        .suspects
        .lock()
        .record_break(request, process.clone(), shared.now());
    match link::examine(shared, server).await {
        Finding::Refused => confirm_crash(shared, &process),
        _ if shared.links.state() != State::Sound => shared.suspects.discard_broken(),
        // The host list tells later.
        Finding::Reached | Finding::Silent | Finding::Unknown => {}
    }
}

/// Records that a process is gone without having announced it: a crash, if requests broke at it shortly
/// before.
pub(crate) fn confirm_crash(shared: &Shared, process: &Process) {
    let now = shared.now();
    let mut suspects = shared.suspects.lock();
    let mut changed = Vec::new();
    for request in suspects.take_broken(process, now) {
        if let Some(record) = suspects.record_crash(&request, process.clone(), now) {
            changed.push((request, record.crashed.len()));
        }
    }
    drop(suspects);
    if changed.is_empty() {
        return;
    }
    shared
        .balancer()
        .record_crash(&process.server, process.born, now);
    for (request, crashes) in changed {
        Metrics::count(&shared.metrics.suspects, "crash");
        spdlog::info!("server crashed under a request", kv: {
            fingerprint = request.0.as_str(), server = process.server.as_str(), crashes,
        });
        shared.suspects.announce(Change::Crashed(request));
    }
}

/// Records that a server has answered a request, which therefore is not what crashed the others.
pub(crate) fn record_answer(shared: &Shared, request: &Fingerprint) {
    let mut suspects = shared.suspects.lock();
    if suspects.is_empty() || !suspects.remove(request) {
        return;
    }
    drop(suspects);
    Metrics::count(&shared.metrics.suspects, "cleared");
    spdlog::info!("request is no longer suspect; a server has answered it", kv: {
        fingerprint = request.0.as_str(),
    });
    shared.suspects.announce(Change::Cleared(request.clone()));
}

/// Applies a change of the store's keys. Returns whether it is about a request under which servers crashed.
pub(crate) fn apply(shared: &Shared, change: &object::Change) -> bool {
    let Some(name) = change.key.strip_prefix(PREFIX) else {
        return false;
    };
    let request = Fingerprint(Name::from(name));
    let now = shared.now();
    let Some(value) = &change.value else {
        shared.suspects.lock().remove(&request);
        return true;
    };
    match record::decode::<Record>("suspect", value) {
        Ok(record) => {
            if shared.suspects.lock().merge(&request, &record, now) {
                let mut balancer = shared.balancer();
                for process in &record.crashed {
                    balancer.record_crash(&process.server, process.born, now);
                }
            }
        }
        Err(error) => spdlog::warn!("failed to decode the record of a request", kv: {
            key = change.key.as_str(), error = error.to_string(),
        }),
    }
    true
}

/// Writes changes to the store for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, mut changes: mpsc::Receiver<Change>) {
    let mut lease = None;
    while let Some(change) = changes.recv().await {
        let mut is_written = false;
        for _ in 0..WRITE_TRIES {
            let written = match &change {
                Change::Crashed(request) => write(&shared, request, &mut lease).await,
                Change::Cleared(request) => remove(&shared, request).await,
            };
            match written {
                Ok(()) => {
                    is_written = true;
                    break;
                }
                // The lease may have ended.
                Err(Error::NotFound) => lease = None,
                Err(error) => {
                    spdlog::warn!("failed to store the record of a request; retrying", kv: {
                        change = format!("{change:?}"), error = error.to_string(),
                    });
                    tokio::time::sleep(admission::pause(WRITE_RETRY_DELAY)).await;
                }
            }
        }
        if !is_written {
            spdlog::error!("gave up storing the record of a request; other nodes do not know it", kv: {
                change = format!("{change:?}"), tries = WRITE_TRIES,
            });
        }
    }
}

/// A lease under which records are written, and when it was granted.
type StoredLease = Option<(u64, Instant)>;

/// Adds what this node knows of a request to its record in the store.
async fn write(shared: &Shared, request: &Fingerprint, lease: &mut StoredLease) -> Result<()> {
    let key = key(request);
    let mut revision = 0;
    loop {
        let known = shared.suspects.lock().record(request);
        if known == Record::default() {
            return Ok(());
        }
        let now = shared.now();
        let lease_id = match *lease {
            // Records are kept for at least half of the retention after a crash.
            Some((id, granted_at)) if now < granted_at + RETENTION / 2 => id,
            _ => {
                let granted = shared.store.grant(RETENTION).await?;
                *lease = Some((granted.id, now));
                granted.id
            }
        };
        let write = Write {
            conditions: vec![(key.clone(), revision)],
            puts: vec![(key.clone(), record::encode(&known), lease_id)],
            ..Write::default()
        };
        let WriteOutcome::Conflict(items) = shared.store.write(&write).await? else {
            return Ok(());
        };
        let stored = items.into_iter().find(|item| item.key == key);
        revision = stored.as_ref().map_or(0, |item| item.revision);
        if let Some(stored) = stored
            && let Ok(record) = record::decode::<Record>("suspect", &stored.value)
        {
            let now = shared.now();
            let mut suspects = shared.suspects.lock();
            suspects.merge(request, &record, now);
            if suspects.record(request) == record {
                return Ok(());
            }
        }
    }
}

/// Removes the record of a request from the store.
async fn remove(shared: &Shared, request: &Fingerprint) -> Result<()> {
    let write = Write {
        removals: vec![key(request)],
        ..Write::default()
    };
    shared.store.write(&write).await.map(|_| ())
}

fn key(request: &Fingerprint) -> String {
    format!("{PREFIX}{request}")
}

const _: () = assert!(
    member::is_followed(PREFIX),
    "nodes have to learn of requests under which servers crashed"
);
