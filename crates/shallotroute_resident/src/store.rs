//! A client of the platform's store.
//!
//! While the store rejects this node's calls or can't be reached, calls are relayed through other
//! nodes, and a circuit breaker opens when the relays fail too.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{Either, Full};
use prometheus_client::metrics::counter::Counter;
use shallotroute_adapter::{
    backend,
    store::{
        self, Call, Changes, ErrorStatus, Item, Kind, Lease, Page, Write, WriteChunks, WriteOutcome,
    },
};
use shallotroute_batch::claim::SETTLING_TIME;
use shallotroute_http::body;
use tokio::{sync::watch, time::timeout};

use crate::{
    ledger,
    metric::{CallLabel, Metrics},
    peer::Peers,
    pool::{Failure, Pool, RequestBody},
    write_body::WriteBody,
};

/// The timeout for connecting to the store, which answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a call: the store answers in 4 ms, or in 60 times that when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

const _: () = assert!(
    CALL_TIMEOUT.as_millis() < SETTLING_TIME.as_millis(),
    "results that are read from the store must not be outdated when they arrive"
);

/// The size of the values above which a transaction is encoded while it is sent, in bytes. Batch jobs have half a megabyte.
pub(crate) const LARGE_WRITE_BYTES: usize = 2 << 20;

/// The rate at which a large transaction has to reach the store.
const MIN_WRITE_BYTES_PER_SECOND: f64 = 2e6;

/// How long an idle connection to the store stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How much longer than its own wait a watch call may take.
pub(crate) const WATCH_MARGIN: Duration = Duration::from_millis(900);

/// How long calls go only through relays after a direct call has failed.
const RELAY_PERIOD: Duration = Duration::from_millis(700);

/// How long calls fail at once after one that failed both directly and through relays: rejected
/// calls count against the store's rate limit too, and a recovered store is noticed within this
/// period.
const CIRCUIT_OPEN_PERIOD: Duration = Duration::from_millis(300);

/// The longest delay advised by the store that is kept: leases end within 2.5 s without a renewal.
const MAX_ADVISED_DELAY: Duration = Duration::from_secs(2);

/// The timeout of a relay's own call, unless it is a watch.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer than the relay's own call the call to the relay may take.
const RELAY_MARGIN: Duration = Duration::from_millis(150);

/// The maximum number of nodes that are asked to relay one call.
const MAX_RELAYS: usize = 2;

/// The subject of calls about leases, in metrics and logs.
const LEASE_SUBJECT: &str = "lease";

/// The subject of calls on behalf of other nodes.
const RELAY_SUBJECT: &str = "relay";

/// The maximum size of a response body; a page of a range has about a megabyte of values.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The result of a call to the store.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Error {
    /// The call had no effect and will have none.
    #[display("not applied: {_0}")]
    NotApplied(String),
    /// A write may have taken effect, or may do so later. Also the error of a read without a valid
    /// response.
    #[display("outcome unknown: {_0}")]
    OutcomeUnknown(String),
    /// The key or lease does not exist.
    #[display("not found")]
    NotFound,
    /// The store no longer has the history that a watch starts from.
    #[display("history no longer available")]
    HistoryGone,
}

/// An undecoded response of the store.
#[derive(Debug)]
pub(crate) struct RawResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// A client of the platform's store.
pub(crate) struct Store {
    address: SocketAddr,
    pool: Arc<Pool>,
    metrics: Arc<Metrics>,
    peers: Arc<Peers>,
    relays: Mutex<Vec<SocketAddr>>,
    /// Until when calls go only through relays.
    relay_until: Mutex<Option<Instant>>,
    /// Until when the store has asked for no further calls of this node.
    advised_until: Mutex<Option<Instant>>,
    /// Until when calls fail at once.
    circuit_open_until: Mutex<Option<Instant>>,
    /// When the store last served a direct call.
    last_answer: Mutex<Option<Instant>>,
    /// The direct calls since the last [`Store::log_calls`], by kind and subject.
    calls: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
    /// Whether the store served the last direct call, that is, answered without rejecting it. A
    /// change ends open watches.
    is_reachable: watch::Sender<bool>,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub(crate) fn new(address: SocketAddr, metrics: Arc<Metrics>, peers: Arc<Peers>) -> Self {
        Self {
            address,
            // The metric counts only connections to backend servers.
            pool: Pool::new(CONNECT_TIMEOUT, Counter::default()),
            metrics,
            peers,
            relays: Mutex::new(Vec::new()),
            relay_until: Mutex::new(None),
            advised_until: Mutex::new(None),
            circuit_open_until: Mutex::new(None),
            last_answer: Mutex::new(None),
            calls: Mutex::default(),
            is_reachable: watch::channel(true).0,
        }
    }

    /// Replaces the addresses of the nodes that may relay calls.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *lock(&self.relays) = relays;
    }

    /// Returns when the store last served a direct call of this node; `None` before the first one.
    pub(crate) fn last_answered(&self) -> Option<Instant> {
        *lock(&self.last_answer)
    }

    /// Waits until the store serves direct calls of this node, at most for `limit`.
    pub(crate) async fn wait_until_reachable(&self, limit: Duration) {
        let mut is_reachable = self.is_reachable.subscribe();
        // The sender lives as long as the store; after the timeout the call may go through another node.
        let _ = timeout(limit, is_reachable.wait_for(|is_reachable| *is_reachable)).await;
    }

    /// Reads a key. The read is linearizable.
    pub(crate) async fn get(&self, key: &str) -> Result<Item> {
        let answer = self
            .call(&Call::get(key), ledger::subject(key), CALL_TIMEOUT)
            .await?;
        into_result(store::parse_item(answer.status, &answer.body))
    }

    /// Reads all keys below a prefix, page by page. Returns them with the revision as of the first
    /// page; later pages may already contain newer changes.
    pub(crate) async fn range(&self, prefix: &str) -> Result<(Vec<Item>, u64)> {
        self.read_pages(prefix, |call| call).await
    }

    /// Reads all keys below a prefix as of some seconds ago, at a lower price than [`Store::range`].
    pub(crate) async fn stale_range(&self, prefix: &str) -> Result<(Vec<Item>, u64)> {
        self.read_pages(prefix, Call::with_stale_result).await
    }

    async fn read_pages(
        &self,
        prefix: &str,
        refine: impl Fn(Call) -> Call,
    ) -> Result<(Vec<Item>, u64)> {
        let mut items: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let call = refine(Call::range(prefix, after.as_deref()));
            let subject = ledger::subject(prefix);
            let answer = self.call(&call, subject, CALL_TIMEOUT).await?;
            let page: Page = into_result(store::parse_page(answer.status, &answer.body))?;
            let revision = *first.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.has_next || empty {
                return Ok((items, revision));
            }
        }
    }

    /// Waits up to `wait` for changes below a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotApplied`] also when the store becomes reachable or unreachable for
    /// direct calls, so that the caller watches again over the new path.
    pub(crate) async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes> {
        let mut is_reachable = self.is_reachable.subscribe();
        is_reachable.mark_unchanged();
        let call = Call::watch(prefix, after, wait);
        let answer = tokio::select! {
            answer = self.call(&call, ledger::subject(prefix), wait + WATCH_MARGIN) => answer?,
            _ = is_reachable.changed() => {
                return Err(Error::NotApplied("the network path to the store has changed".to_owned()));
            }
        };
        into_result(store::parse_changes(answer.status, &answer.body))
    }

    /// Writes and removes keys in one transaction if its conditions hold.
    pub(crate) async fn write(&self, write: &Write) -> Result<WriteOutcome> {
        let key = write.puts.first().map(|(key, _, _)| key.as_str());
        let subject = ledger::subject(key.unwrap_or_default());
        let answer = self
            .call(&Call::write(write), subject, CALL_TIMEOUT)
            .await?;
        into_result(store::parse_write_outcome(answer.status, &answer.body))
    }

    /// Writes as [`Store::write`] does. Values of a large transaction are encoded one at a time; no other node relays it, since
    /// its frame would be longer than the largest one.
    pub(crate) async fn write_shared(&self, write: &Arc<Write>) -> Result<WriteOutcome> {
        let bytes: usize = write.puts.iter().map(|(_, value, _)| value.len()).sum();
        if bytes <= LARGE_WRITE_BYTES {
            return self.write(write).await;
        }
        if self.is_circuit_open() {
            return Err(circuit_open_error());
        }
        let key = write.puts.first().map(|(key, _, _)| key.as_str());
        let subject = ledger::subject(key.unwrap_or_default());
        let allowed =
            CALL_TIMEOUT + Duration::from_secs_f64(bytes as f64 / MIN_WRITE_BYTES_PER_SECOND);
        let body = WriteBody::new(WriteChunks::new(Arc::clone(write)));
        let started_at = Instant::now();
        let sending = self.send(Method::POST, WriteChunks::path(), Either::Right(body));
        let result = match timeout(allowed, sending).await {
            Ok(result) => result,
            Err(_) => Err(Error::OutcomeUnknown(format!(
                "{} did not answer in time",
                self.address
            ))),
        };
        self.record_metrics(Kind::Write, subject, &result, started_at.elapsed());
        self.record_reachability(&result);
        let answer = result?;
        into_result(store::parse_write_outcome(answer.status, &answer.body))
    }

    /// Grants a new lease of `period`.
    pub(crate) async fn grant(&self, period: Duration) -> Result<Lease> {
        let answer = self
            .call(&Call::grant(period), LEASE_SUBJECT, CALL_TIMEOUT)
            .await?;
        into_result(store::parse_lease(answer.status, &answer.body))
    }

    /// Renews a lease.
    pub(crate) async fn renew(&self, lease: u64) -> Result<Lease> {
        let answer = self
            .call(&Call::renew(lease), LEASE_SUBJECT, CALL_TIMEOUT)
            .await?;
        into_result(store::parse_lease(answer.status, &answer.body))
    }

    /// Revokes a lease, which removes the keys that are attached to it.
    pub(crate) async fn revoke(&self, lease: u64) -> Result<()> {
        self.call(&Call::revoke(lease), LEASE_SUBJECT, CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Makes a call without relays.
    async fn call_directly(
        &self,
        call: &Call,
        subject: &'static str,
        call_timeout: Duration,
    ) -> Result<RawResponse> {
        let started_at = Instant::now();
        let result = match timeout(call_timeout, self.send_request(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::OutcomeUnknown(format!(
                "{} did not answer in time",
                self.address
            ))),
        };
        self.record_metrics(call.kind, subject, &result, started_at.elapsed());
        self.record_reachability(&result);
        result
    }

    /// Makes a direct call on behalf of another node, unless this node's circuit breaker is open.
    pub(crate) async fn call_for_peer(
        &self,
        call: &Call,
        call_timeout: Duration,
    ) -> Result<RawResponse> {
        match self.is_circuit_open() || is_before(&self.advised_until) {
            true => Err(circuit_open_error()),
            false => self.call_directly(call, RELAY_SUBJECT, call_timeout).await,
        }
    }

    /// Logs how often this node has called the store since the last time, by kind and subject.
    pub(crate) fn log_calls(&self) {
        let calls = std::mem::take(&mut *lock(&self.calls));
        if calls.is_empty() {
            return;
        }
        let calls: Vec<String> = calls
            .iter()
            .map(|((kind, subject), count)| format!("{kind} {subject} {count}"))
            .collect();
        spdlog::info!("calls to the platform store", kv: { calls = calls.join(", ") });
    }

    fn is_circuit_open(&self) -> bool {
        is_before(&self.circuit_open_until)
    }

    async fn call(
        &self,
        call: &Call,
        subject: &'static str,
        call_timeout: Duration,
    ) -> Result<RawResponse> {
        if self.is_circuit_open() {
            return Err(circuit_open_error());
        }
        let outcome = self.call_with_relays(call, subject, call_timeout).await;
        *lock(&self.circuit_open_until) = match &outcome {
            Ok(_) => None,
            // The jitter keeps nodes that failed together from calling together again.
            Err(_) => {
                Some(Instant::now() + CIRCUIT_OPEN_PERIOD.mul_f64(rand::random_range(0.7..1.3)))
            }
        };
        outcome
    }

    async fn call_with_relays(
        &self,
        call: &Call,
        subject: &'static str,
        call_timeout: Duration,
    ) -> Result<RawResponse> {
        let relays_only = is_before(&self.relay_until) || is_before(&self.advised_until);
        let mut outcome = match relays_only {
            true => Err(Error::NotApplied(format!(
                "{} failed recently",
                self.address
            ))),
            false => self.call_directly(call, subject, call_timeout).await,
        };
        if outcome.is_ok() {
            return outcome;
        }
        for relay in self.pick_relays() {
            self.metrics.relayed_calls.inc();
            match self.relay(relay, call, call_timeout).await {
                Ok(answer) => return Ok(answer),
                // The write may have taken effect through this relay.
                Err(Error::OutcomeUnknown(reason)) => outcome = Err(Error::OutcomeUnknown(reason)),
                Err(_) => {}
            }
        }
        outcome
    }

    async fn relay(
        &self,
        relay: SocketAddr,
        call: &Call,
        call_timeout: Duration,
    ) -> Result<RawResponse> {
        let call_timeout = call_timeout.min(match call.kind {
            Kind::Watch => call_timeout,
            _ => RELAY_TIMEOUT,
        });
        let milliseconds = u64::try_from(call_timeout.as_millis()).unwrap_or(u64::MAX);
        let content = call.clone();
        let relayed = self
            .peers
            .call(
                relay,
                call_timeout + RELAY_MARGIN,
                |client, context| async move {
                    client
                        .relay_store_call(context, content, milliseconds)
                        .await
                },
            )
            .await;
        match relayed {
            Ok(Some((status, body))) => {
                let status = StatusCode::from_u16(status)
                    .map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
                let answer = RawResponse {
                    status,
                    body: Bytes::from(body),
                };
                match is_rejection(status) {
                    true => Err(Error::NotApplied(format!(
                        "relay {relay} was rejected by the store"
                    ))),
                    false => Ok(answer),
                }
            }
            Ok(None) => Err(Error::OutcomeUnknown(format!(
                "relay {relay} got no answer from the store"
            ))),
            Err(error) => Err(Error::OutcomeUnknown(format!("relay failed: {error:?}"))),
        }
    }

    async fn send_request(&self, call: &Call) -> Result<RawResponse> {
        let body = Either::Left(Full::new(store::request_body(call)));
        self.send(call.method(), &call.path, body).await
    }

    async fn send(&self, method: Method, path: &str, body: RequestBody) -> Result<RawResponse> {
        let mut connection = self
            .pool
            .get(self.address)
            .await
            .map_err(|failure| Error::NotApplied(failure.reason().to_owned()))?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|error| Error::NotApplied(error.to_string()))?;
        let response = connection
            .send(request)
            .await
            .map_err(|failure| match failure {
                failure @ (Failure::Unsent(_) | Failure::NoWay(_) | Failure::Denied(_)) => {
                    Error::NotApplied(failure.reason().to_owned())
                }
                Failure::NoResponse { reason, .. } | Failure::LinkLost(reason) => {
                    Error::OutcomeUnknown(reason)
                }
            })?;
        let status = response.status();
        if is_rejection(status)
            && let Some(delay) = backend::parse_retry_after(response.headers())
        {
            *lock(&self.advised_until) = Some(Instant::now() + delay.min(MAX_ADVISED_DELAY));
        }
        let body = body::read(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
        self.pool.put(connection, IDLE_TIMEOUT);
        match is_rejection(status) {
            true => Err(Error::NotApplied(format!(
                "{} answered {status}",
                self.address
            ))),
            false => Ok(RawResponse { status, body }),
        }
    }

    /// Picks nodes to relay a call, at random so that the relays share the load.
    fn pick_relays(&self) -> Vec<SocketAddr> {
        let relays = lock(&self.relays);
        if relays.is_empty() {
            return Vec::new();
        }
        let start = rand::random_range(0..relays.len());
        (0..relays.len().min(MAX_RELAYS))
            .map(|index| relays[(start + index) % relays.len()])
            .collect()
    }

    /// Records whether the store has served a direct call, and logs changes.
    fn record_reachability(&self, result: &Result<RawResponse>) {
        let answered = result.is_ok();
        if answered {
            *lock(&self.last_answer) = Some(Instant::now());
        }
        *lock(&self.relay_until) = match answered {
            true => None,
            false => Some(Instant::now() + RELAY_PERIOD),
        };
        let changed = self.is_reachable.send_if_modified(|last| {
            let changed = *last != answered;
            *last = answered;
            changed
        });
        match (changed, result) {
            (true, Ok(_)) => spdlog::info!("reconnected to the platform store"),
            (true, Err(error)) => {
                spdlog::warn!("lost connection to the platform store", kv: { error = error.to_string() });
            }
            (false, _) => {}
        }
    }

    fn record_metrics(
        &self,
        kind: Kind,
        subject: &'static str,
        result: &Result<RawResponse>,
        duration: Duration,
    ) {
        *lock(&self.calls)
            .entry((kind_label(kind), subject))
            .or_default() += 1;
        let outcome = match result {
            Ok(answer) if answer.status.is_success() => "done",
            Ok(_) => "rejected",
            Err(Error::OutcomeUnknown(_)) => "lost",
            Err(_) => "refused",
        };
        let label = CallLabel {
            kind: kind_label(kind),
            subject,
            outcome,
        };
        self.metrics.store_calls.get_or_create(&label).inc();
        if kind != Kind::Watch {
            Metrics::observe(&self.metrics.store_seconds, duration);
        }
    }
}

fn is_before(until: &Mutex<Option<Instant>>) -> bool {
    lock(until).is_some_and(|until| Instant::now() < until)
}

fn circuit_open_error() -> Error {
    Error::NotApplied(
        "circuit breaker open: the store recently answered neither this node nor its relays"
            .to_owned(),
    )
}

fn is_rejection(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

fn kind_label(kind: Kind) -> &'static str {
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

fn into_result<T>(answer: store::Response<T>) -> Result<T> {
    match answer {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(ErrorStatus::NotFound)) => Err(Error::NotFound),
        Ok(Err(ErrorStatus::HistoryGone)) => Err(Error::HistoryGone),
        Ok(Err(ErrorStatus::Busy)) => Err(Error::NotApplied("the store is busy".to_owned())),
        Ok(Err(ErrorStatus::Other(status))) => Err(Error::OutcomeUnknown(format!(
            "the store answered {status}"
        ))),
        Err(error) => Err(Error::OutcomeUnknown(error.to_string())),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
