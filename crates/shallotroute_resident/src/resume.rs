//! Records which software version began a caller's stream, copies the records to other nodes while
//! there are servers of several versions, and finds them when a caller takes its stream up. The
//! decisions are in [`shallotroute_fleet::resume`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::{StreamExt, future::join_all, stream::FuturesUnordered};
use shallotroute_adapter::backend;
use shallotroute_fleet::{
    resume::{
        self, Answer, Group, LOOKUPS, Node, Origin, Records, Source, Stream, WIDE_LOOKUPS, Waits,
    },
    route::{Kind, Route},
    software::{Knowledge, Listing},
};
use shallotroute_types::{name::Name, node::Id};
use tokio::sync::{Mutex as AsyncMutex, Notify};

use crate::{
    follow,
    forward::BackendRequest,
    metric::Metrics,
    peer::Peers,
    shared::Shared,
    view::{self, Prefix},
};

/// How long the first event of a stream waits for the copies of its record. A call to another node
/// takes a few milliseconds; the limit bounds what a node that has just failed adds to the latency.
const COPY_WAIT: Duration = Duration::from_millis(100);

/// The timeout of a call that copies records.
const COPY_TIMEOUT: Duration = Duration::from_millis(100);

/// The timeout of a call that copies the records of all streams that began before a release.
const COPY_ALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of streams whose records are copied at once, which bounds the size of a call.
const COPY_CHUNK: usize = 10_000;

/// How often nodes that do not answer are replaced as holders of a record.
const COPY_ROUNDS: usize = 2;

/// How long a node that did not answer is passed over as a holder. A killed node is listed for up to
/// 2.5 s; a node that was only slow is used again soon.
const FAILURE_PERIOD: Duration = Duration::from_secs(1);

/// The timeout of a call that asks another node for a record.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// The maximum age of a view of the host list that counts as current. A follower's view is up to 1.7 s
/// old: that of its source by [`view::MAX_VIEW_AGE`], and the time for which it holds the request.
const MAX_VIEW_AGE: Duration = Duration::from_secs(2);

/// How long a caller that takes its stream up waits for the host list. The store answers in milliseconds, also when it is
/// slow within a quarter of a second.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);

/// When a caller may take its stream up again after a refusal. Another node may know the version.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The streams whose callers may come back.
pub(crate) struct Streams {
    records: Mutex<Records>,
    waits: Mutex<Waits>,
    /// The reads of the host list for take-ups. Locked during a read, so that callers that come together share it.
    reads: AsyncMutex<Reads>,
    /// The nodes that did not answer, and until when they are passed over.
    failed_until: Mutex<BTreeMap<Id, Instant>>,
    /// Connections for calls about streams only: an older node closes a connection on which it
    /// receives a call that it does not know, and the calls about batch jobs must not fail with it.
    peers: Peers,
    /// The services that have a new server.
    changed_services: Mutex<BTreeSet<Name>>,
    has_changed: Notify,
}

/// The last reads of the host list for take-ups.
#[derive(Default)]
struct Reads {
    /// When the last one began that the store has answered.
    answered: Option<Instant>,
    /// When the last one failed.
    failed: Option<Instant>,
}

impl Streams {
    pub(crate) fn new() -> Self {
        Self {
            records: Mutex::default(),
            waits: Mutex::default(),
            reads: AsyncMutex::default(),
            failed_until: Mutex::default(),
            peers: Peers::new(),
            changed_services: Mutex::default(),
            has_changed: Notify::new(),
        }
    }

    /// Records that a service has a new server, which may have another software version.
    pub(crate) fn record_new_server(&self, service: &Name) {
        if lock(&self.changed_services).insert(service.clone()) {
            self.has_changed.notify_one();
        }
    }

    /// Records how long the caller of a stream waits altogether, if it says so.
    pub(crate) fn record_wait(&self, route: &Route, request: &BackendRequest) {
        let wait = backend::request_timeout(&request.headers);
        lock(&self.waits).record(route, wait);
    }

    /// Holds records of other nodes.
    pub(crate) fn hold(&self, groups: Vec<Group>, now: Instant) {
        lock(&self.records).insert_copies(groups, now);
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        lock(&self.records).len()
    }

    fn has_failed(&self, node: &Id, now: Instant) -> bool {
        lock(&self.failed_until)
            .get(node)
            .is_some_and(|until| now < *until)
    }

    fn record_failure(&self, node: Id, now: Instant) {
        let mut failed_until = lock(&self.failed_until);
        failed_until.retain(|_, until| now < *until);
        failed_until.insert(node, now + FAILURE_PERIOD);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Copies the records of streams that began before their service had servers of several software
/// versions, for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.streams.has_changed.notified().await;
        let services = std::mem::take(&mut *lock(&shared.streams.changed_services));
        for service in services {
            let Some(period) = longest_stream(&shared, &service) else {
                continue;
            };
            if known(&shared, &service, period) != Knowledge::Several {
                continue;
            }
            let streams = lock(&shared.streams.records).uncopied(&service, shared.now());
            if streams.is_empty() {
                continue;
            }
            spdlog::info!("copying records of streams; the service has several software versions", kv: {
                service = service.as_str(), streams = streams.len(),
            });
            for chunk in streams.chunks(COPY_CHUNK) {
                copy(&shared, chunk.to_vec(), COPY_ALL_TIMEOUT).await;
            }
        }
    }
}

/// Returns the longest time between the first event of a service's stream and its caller's last take-up; `None` if no
/// route has streams of it that may be resumed.
fn longest_stream(shared: &Shared, service: &str) -> Option<Duration> {
    let table = shared.table()?;
    let waits = lock(&shared.streams.waits);
    table
        .routes()
        .filter(|route| route.kind == Kind::Stream { resumable: true } && route.uses(service))
        .map(|route| waits.longest_stream(route))
        .max()
}

/// Returns what this node knows of the software versions of a service's servers in the `period` up to
/// now.
fn known(shared: &Shared, service: &str, period: Duration) -> Knowledge {
    let known = shared
        .balancer()
        .software(service, period, shared.now())
        .known;
    match view::standing(shared).age {
        Some(age) if age <= MAX_VIEW_AGE => known,
        _ => known.without_present(),
    }
}

/// Returns what the host list says of a service's software versions, as it is after `since`. Returns `None` if the store
/// does not answer in time.
async fn read_listing(
    shared: &Shared,
    service: &str,
    period: Duration,
    since: Instant,
) -> Option<Listing> {
    let mut reads = shared.streams.reads.lock().await;
    let is_after = |at: Option<Instant>| at.is_some_and(|at| at >= since);
    // The callers that waited for a read that failed are refused together.
    if is_after(reads.failed) {
        return None;
    }
    if !is_after(reads.answered) {
        let began_at = shared.now();
        match refresh(shared).await {
            Ok(()) => reads.answered = Some(began_at),
            Err(reason) => {
                reads.failed = Some(shared.now());
                spdlog::info!("failed to read the host list for a caller that takes its stream up", kv: {
                    service, reason = reason.as_str(),
                });
                return None;
            }
        }
    }
    drop(reads);
    Some(shared.balancer().software(service, period, shared.now()))
}

/// Makes this node's copy of the host list as current as the store is now. Returns why it failed.
async fn refresh(shared: &Shared) -> Result<(), String> {
    let refreshing = follow::refresh(shared, Prefix::Servers);
    match tokio::time::timeout(REFRESH_TIMEOUT, refreshing).await {
        Ok(refreshed) => refreshed.map_err(|error| error.to_string()),
        Err(_) => Err("the store did not answer in time".to_owned()),
    }
}

/// Records the origin of a stream of which this node is about to pass on the first event. `id` is the
/// identity of the request that brought the stream's first event.
///
/// While servers of several software versions are known, or may be, also copies the record to other
/// nodes. With `waits_for_copies`, returns when they have it or after [`COPY_WAIT`].
pub(crate) async fn record(
    shared: &Arc<Shared>,
    route: &Route,
    request: &BackendRequest,
    id: Name,
    origin: Origin,
    waits_for_copies: bool,
) {
    let stream = Stream {
        id,
        retention: resume::retention(route, backend::request_timeout(&request.headers)),
    };
    // Before the versions are looked up: a version that appears meanwhile has this record copied.
    lock(&shared.streams.records).insert_own(stream.clone(), origin.clone(), shared.now());
    let period = lock(&shared.streams.waits).longest_stream(route);
    if matches!(known(shared, &origin.service, period), Knowledge::Sole(_)) {
        return;
    }
    let copying = Arc::clone(shared);
    let copies =
        tokio::spawn(async move { copy(&copying, vec![(stream, origin)], COPY_TIMEOUT).await });
    if waits_for_copies {
        // After the timeout the copies are still sent.
        let _ = tokio::time::timeout(COPY_WAIT, copies).await;
    }
}

/// Copies records to the nodes that hold them, and to others in place of those that do not answer.
async fn copy(shared: &Arc<Shared>, mut streams: Vec<(Stream, Origin)>, timeout: Duration) {
    let nodes: Vec<Node> = nodes(shared, false);
    for _ in 0..COPY_ROUNDS {
        let now = shared.now();
        let has_failed = |node: &Id| shared.streams.has_failed(node, now);
        let assigned = resume::assign(&streams, &nodes, &shared.owner.node, has_failed);
        let calls = assigned
            .into_iter()
            .map(|(node, groups)| copy_to(shared, node, groups, timeout));
        let failed: BTreeSet<Name> = join_all(calls).await.into_iter().flatten().collect();
        streams.retain(|(stream, _)| failed.contains(&stream.id));
        if streams.is_empty() {
            return;
        }
    }
    spdlog::info!("records of streams have fewer copies than usual", kv: {
        streams = streams.len(),
    });
}

/// Copies records to one node. Returns the identities of the streams if it did not answer.
async fn copy_to(
    shared: &Arc<Shared>,
    node: &Id,
    groups: Vec<Group>,
    timeout: Duration,
) -> Vec<Name> {
    let streams = groups.iter().flat_map(|group| &group.streams);
    let ids: Vec<Name> = streams.map(|stream| stream.id.clone()).collect();
    let address = shared.members.borrow().address(node);
    let held = match address {
        Some(address) => {
            let call = shared
                .streams
                .peers
                .call(address, timeout, |client, context| async move {
                    client.hold_streams(context, groups).await
                });
            call.await.is_ok()
        }
        None => false,
    };
    let outcome = match held {
        true => "held",
        false => "failed",
    };
    Metrics::count(&shared.metrics.stream_copies, outcome);
    if !held {
        shared.streams.record_failure(node.clone(), shared.now());
        return ids;
    }
    lock(&shared.streams.records).record_copied(ids.iter());
    Vec::new()
}

/// Returns this node's answer to another one that looks for a stream's record.
pub(crate) fn answer(shared: &Shared, id: &str, service: &str, period: Duration) -> Answer {
    let origin = lock(&shared.streams.records).get(id, shared.now()).cloned();
    let period = longest_stream(shared, service).max(Some(period.min(resume::MAX_RETENTION)));
    Answer {
        origin,
        known: known(shared, service, period.unwrap_or_default()),
    }
}

/// Finds what began the stream that a caller takes up. `id` is the identity of the request that brought
/// the stream's first event. Returns `None` if the software version is unknown.
pub(crate) async fn find(
    shared: &Arc<Shared>,
    route: &Route,
    id: &Name,
) -> Option<(Origin, Source)> {
    if let Some(origin) = lock(&shared.streams.records).get(id, shared.now()) {
        return Some((origin.clone(), Source::Own));
    }
    let came_at = shared.now();
    let service = resume::service(route, None, id);
    let period = lock(&shared.streams.waits).longest_stream(route);
    let mut asked: BTreeSet<Id> = BTreeSet::new();
    let mut answers = Vec::new();
    let mut listing = None;
    let mut is_listing_due = true;
    // Draining nodes hold no new records but still answer.
    for (nodes, count) in [
        (nodes(shared, false), LOOKUPS),
        (nodes(shared, true), WIDE_LOOKUPS),
    ] {
        let mut calls: FuturesUnordered<_> =
            resume::lookups(id, nodes.iter(), &shared.owner.node, count)
                .into_iter()
                .filter(|node| asked.insert(node.id.clone()))
                .map(|node| ask(shared, &node.id, id, service, period))
                .collect();
        while let Some(answer) = calls.next().await {
            let Some(answer) = answer else {
                continue;
            };
            let has_record = answer.origin.is_some();
            answers.push(answer);
            if has_record {
                return resume::resolve(service, None, &answers);
            }
        }
        // The store can't tell anything else once several versions are known.
        if is_listing_due && known(shared, service, period) != Knowledge::Several {
            listing = read_listing(shared, service, period, came_at).await;
            is_listing_due = false;
        }
        let found = resume::resolve(service, listing.as_ref(), &answers);
        if found.is_some() {
            return found;
        }
    }
    None
}

/// Asks a node for the record of a stream. Returns `None` if it does not answer.
async fn ask(
    shared: &Shared,
    node: &Id,
    id: &Name,
    service: &Name,
    period: Duration,
) -> Option<Answer> {
    let address = shared.members.borrow().address(node)?;
    let (id, service) = (id.clone(), service.clone());
    let call = shared
        .streams
        .peers
        .call(address, LOOKUP_TIMEOUT, |client, context| async move {
            client.find_stream(context, id, service, period).await
        });
    call.await.ok()
}

/// Returns the registered nodes, with this one if it is registered.
fn nodes(shared: &Shared, with_leaving: bool) -> Vec<Node> {
    let members = shared.members.borrow();
    members
        .nodes
        .iter()
        .filter(|(_, member)| with_leaving || !member.leaving)
        .map(|(id, member)| Node {
            id: id.clone(),
            zone: member.zone.clone(),
        })
        .collect()
}
