//! The client of the platform's store. A node that the store turns away, or that can't reach it,
//! sends its calls through other nodes.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use prometheus_client::metrics::counter::Counter;
use shallotroute_adapter::store::{
    self, Call, Changes, Item, Kind, Lease, Page, Refusal, Write, Written,
};
use shallotroute_http::body;
use tokio::{sync::watch, time::timeout};

use crate::{
    metric::{CallLabel, Metrics},
    peer::Peers,
    pool::{Failure, Pool},
};

/// How long connecting to the store may take; it answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a call may take: the store answers in 4 ms, and in 60 times that when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// How long idle connections to the store are kept.
const KEEP_TIME: Duration = Duration::from_secs(20);

/// How long a watch may take beyond its own waiting time.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// After a failed call, the store is asked through other nodes for this long before it is asked
/// directly again.
const DETOUR_TIME: Duration = Duration::from_millis(700);

/// After a call that failed on all ways, calls fail at once for this long: refused calls are counted
/// too, and the store is found again within this time.
const DARK_TIME: Duration = Duration::from_millis(300);

/// How long a relay may take for a call other than a watch.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call to a relay may take beyond the relay's own call.
const RELAY_SLACK: Duration = Duration::from_millis(150);

/// The most nodes that are asked to relay one call.
const MAX_RELAYS: usize = 2;

/// The longest body of an answer: a page of a range has about a megabyte of values.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The result of a call.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Error {
    /// Nothing was done.
    #[display("not done: {_0}")]
    NotApplied(String),
    /// A write may have been done, or may be done later.
    #[display("outcome unknown: {_0}")]
    OutcomeUnknown(String),
    /// The key or lease does not exist.
    #[display("not found")]
    NotFound,
    /// The history that a watch asks for is gone.
    #[display("history gone")]
    HistoryGone,
}

/// An answer as it came.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// The client.
pub(crate) struct Store {
    address: SocketAddr,
    pool: Arc<Pool>,
    metrics: Arc<Metrics>,
    peers: Arc<Peers>,
    relays: Mutex<Vec<SocketAddr>>,
    detour: Mutex<Option<Instant>>,
    /// Until when calls fail at once, because the store answered on no way.
    dark: Mutex<Option<Instant>>,
    confirmed: Mutex<Option<Instant>>,
    /// Whether the last direct call was answered; watches start anew when it changes.
    reachable: watch::Sender<bool>,
}

impl Store {
    /// Makes a client of the store at `address`.
    pub(crate) fn new(address: SocketAddr, metrics: Arc<Metrics>, peers: Arc<Peers>) -> Self {
        Self {
            address,
            // Only connections to backend servers are counted.
            pool: Pool::new(CONNECT_TIMEOUT, Counter::default()),
            metrics,
            peers,
            relays: Mutex::new(Vec::new()),
            detour: Mutex::new(None),
            dark: Mutex::new(None),
            confirmed: Mutex::new(None),
            reachable: watch::channel(true).0,
        }
    }

    /// Sets the nodes that may relay calls.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *lock(&self.relays) = relays;
    }

    /// Returns when the store last answered this node.
    pub(crate) fn last_answered(&self) -> Option<Instant> {
        *lock(&self.confirmed)
    }

    /// Reads a key; linearizable.
    pub(crate) async fn get(&self, key: &str) -> Result<Item> {
        let answer = self.call(&Call::get(key), CALL_TIMEOUT).await?;
        read(store::read_item(answer.status, &answer.body))
    }

    /// Reads all keys below a prefix, page by page, with the revision before the first page.
    pub(crate) async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64)> {
        let mut items: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let call = Call::range(prefix, after.as_deref());
            let answer = self.call(&call, CALL_TIMEOUT).await?;
            let page: Page = read(store::read_page(answer.status, &answer.body))?;
            let revision = *first.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, revision));
            }
        }
    }

    /// Waits for changes below a prefix. Ends early when the way to the store changes.
    pub(crate) async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes> {
        let mut reachable = self.reachable.subscribe();
        reachable.mark_unchanged();
        let call = Call::watch(prefix, after, wait);
        let answer = tokio::select! {
            answer = self.call(&call, wait + WATCH_SLACK) => answer?,
            _ = reachable.changed() => {
                return Err(Error::NotApplied("the way to the store changed".to_owned()));
            }
        };
        read(store::read_changes(answer.status, &answer.body))
    }

    /// Writes under conditions.
    pub(crate) async fn write(&self, write: &Write) -> Result<Written> {
        let answer = self.call(&Call::write(write), CALL_TIMEOUT).await?;
        read(store::read_written(answer.status, &answer.body))
    }

    /// Starts a lease.
    pub(crate) async fn grant(&self, period: Duration) -> Result<Lease> {
        let answer = self.call(&Call::grant(period), CALL_TIMEOUT).await?;
        read(store::read_lease(answer.status, &answer.body))
    }

    /// Renews a lease.
    pub(crate) async fn renew(&self, lease: u64) -> Result<Lease> {
        let answer = self.call(&Call::renew(lease), CALL_TIMEOUT).await?;
        read(store::read_lease(answer.status, &answer.body))
    }

    /// Ends a lease.
    pub(crate) async fn revoke(&self, lease: u64) -> Result<()> {
        self.call(&Call::revoke(lease), CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Makes a call without the help of other nodes.
    pub(crate) async fn direct(&self, call: &Call, limit: Duration) -> Result<Answer> {
        let begun = Instant::now();
        let result = match timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::OutcomeUnknown(format!(
                "{} did not answer in time",
                self.address
            ))),
        };
        self.count(call.kind, &result, begun.elapsed());
        self.note(&result);
        result
    }

    /// Makes a call for another node, unless the store did not answer this one either.
    pub(crate) async fn relay_for(&self, call: &Call, limit: Duration) -> Result<Answer> {
        match self.is_dark() {
            true => Err(dark()),
            false => self.direct(call, limit).await,
        }
    }

    fn is_dark(&self) -> bool {
        lock(&self.dark).is_some_and(|until| Instant::now() < until)
    }

    async fn call(&self, call: &Call, limit: Duration) -> Result<Answer> {
        if self.is_dark() {
            return Err(dark());
        }
        let outcome = self.call_any_way(call, limit).await;
        *lock(&self.dark) = match &outcome {
            Ok(_) => None,
            // Nodes that fail together should not call together again.
            Err(_) => Some(Instant::now() + DARK_TIME.mul_f64(rand::random_range(0.7..1.3))),
        };
        outcome
    }

    async fn call_any_way(&self, call: &Call, limit: Duration) -> Result<Answer> {
        let detour = lock(&self.detour).is_some_and(|until| Instant::now() < until);
        let mut outcome = match detour {
            true => Err(Error::NotApplied(format!(
                "{} failed a moment ago",
                self.address
            ))),
            false => self.direct(call, limit).await,
        };
        if outcome.is_ok() {
            return outcome;
        }
        for relay in self.some_relays() {
            self.metrics.relayed_calls.inc();
            match self.relay(relay, call, limit).await {
                Ok(answer) => return Ok(answer),
                // The write may have been done on one of the ways.
                Err(Error::OutcomeUnknown(reason)) => outcome = Err(Error::OutcomeUnknown(reason)),
                Err(_) => {}
            }
        }
        outcome
    }

    async fn relay(&self, relay: SocketAddr, call: &Call, limit: Duration) -> Result<Answer> {
        let limit = limit.min(match call.kind {
            Kind::Watch => limit,
            _ => RELAY_TIMEOUT,
        });
        let milliseconds = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        let content = call.clone();
        let relayed = self
            .peers
            .call(relay, limit + RELAY_SLACK, |client, context| async move {
                client
                    .relay_store_call(context, content, milliseconds)
                    .await
            })
            .await;
        match relayed {
            Ok(Some((status, body))) => {
                let status = StatusCode::from_u16(status)
                    .map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
                let answer = Answer {
                    status,
                    body: Bytes::from(body),
                };
                match refused(status) {
                    true => Err(Error::NotApplied(format!("relay {relay} was refused"))),
                    false => Ok(answer),
                }
            }
            Ok(None) => Err(Error::OutcomeUnknown(format!(
                "relay {relay} got no answer from the store"
            ))),
            Err(denial) => Err(Error::OutcomeUnknown(format!("relay failed: {denial:?}"))),
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Answer> {
        let mut connection = self
            .pool
            .get(self.address)
            .await
            .map_err(|failure| Error::NotApplied(failure.reason().to_owned()))?;
        let request = Request::builder()
            .method(call.method())
            .uri(&call.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(store::body(call)))
            .map_err(|error| Error::NotApplied(error.to_string()))?;
        let response = connection
            .send(request)
            .await
            .map_err(|failure| match failure {
                Failure::Unsent(reason) => Error::NotApplied(reason),
                Failure::NoResponse(reason) => Error::OutcomeUnknown(reason),
            })?;
        let status = response.status();
        let body = body::read(response.into_body(), MAX_BODY_BYTES)
            .await
            .map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
        self.pool.put(connection, KEEP_TIME);
        match refused(status) {
            true => Err(Error::NotApplied(format!(
                "{} answered {status}",
                self.address
            ))),
            false => Ok(Answer { status, body }),
        }
    }

    /// Returns some nodes to relay a call, others with each call.
    fn some_relays(&self) -> Vec<SocketAddr> {
        let relays = lock(&self.relays);
        if relays.is_empty() {
            return Vec::new();
        }
        let start = rand::random_range(0..relays.len());
        (0..relays.len().min(MAX_RELAYS))
            .map(|index| relays[(start + index) % relays.len()])
            .collect()
    }

    /// Notes whether the store answers this node.
    fn note(&self, result: &Result<Answer>) {
        let reachable = result.is_ok();
        if reachable {
            *lock(&self.confirmed) = Some(Instant::now());
        }
        *lock(&self.detour) = match reachable {
            true => None,
            false => Some(Instant::now() + DETOUR_TIME),
        };
        let changed = self.reachable.send_if_modified(|last| {
            let changed = *last != reachable;
            *last = reachable;
            changed
        });
        match (changed, result) {
            (true, Ok(_)) => spdlog::info!("platform store regained"),
            (true, Err(error)) => {
                spdlog::warn!("platform store lost", kv: { error = error.to_string() });
            }
            (false, _) => {}
        }
    }

    fn count(&self, kind: Kind, result: &Result<Answer>, taken: Duration) {
        let outcome = match result {
            Ok(answer) if answer.status.is_success() => "done",
            Ok(_) => "rejected",
            Err(Error::OutcomeUnknown(_)) => "lost",
            Err(_) => "refused",
        };
        let label = CallLabel {
            kind: kind_name(kind),
            outcome,
        };
        self.metrics.store_calls.get_or_create(&label).inc();
        if kind != Kind::Watch {
            Metrics::observe(&self.metrics.store_seconds, taken);
        }
    }
}

fn dark() -> Error {
    Error::NotApplied("the store answered neither this node nor its relays a moment ago".to_owned())
}

fn refused(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Get => "get",
        Kind::Range => "range",
        Kind::Watch => "watch",
        Kind::Write => "write",
        Kind::Grant => "grant",
        Kind::Renew => "renew",
        Kind::Revoke => "revoke",
    }
}

fn read<T>(answer: store::Answer<T>) -> Result<T> {
    match answer {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(Refusal::NotFound)) => Err(Error::NotFound),
        Ok(Err(Refusal::HistoryGone)) => Err(Error::HistoryGone),
        Ok(Err(Refusal::Busy)) => Err(Error::NotApplied("the store is busy".to_owned())),
        Ok(Err(Refusal::Unknown(status))) => Err(Error::OutcomeUnknown(format!(
            "the store answered {status}"
        ))),
        Err(error) => Err(Error::OutcomeUnknown(error.to_string())),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
