//! Rate limiting of calls to the key-value service, which keeps a node within its share of the
//! fleet's rates.
//!
//! Operators' writes take precedence over background calls. After a failure, background calls back
//! off with jitter, so that the nodes don't all call at once when the service recovers from an
//! outage.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use error_stack::Report;
use futures::future::BoxFuture;
use prometheus_client::registry::Registry;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_types::clock::Clock;
use tokio::time::sleep;

use crate::{
    error::{Error, Kind, Result},
    store::{Entry, Store},
};

pub mod bucket;
mod metrics;

use bucket::{Backoff, Bucket};
use metrics::Metrics;

/// The prefix of the keys that only operators' publications write.
const PUBLICATION_KEY_PREFIX: &str = "config/";

/// The capacity of a token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// The minimum capacity of a token bucket, in calls. A publication makes about four writes.
const MIN_BURST: f64 = 8.0;

/// The settings of a throttle.
#[derive(Clone, Debug)]
pub struct Options {
    /// The limit of the whole fleet's reads per second; a watch counts as one.
    pub fleet_reads: f64,
    /// The limit of the whole fleet's writes per second.
    pub fleet_writes: f64,
    /// The minimum share of a node, in reads and in writes per second, however large the fleet is.
    pub min_node_rate: f64,
    /// The maximum time that an operator's write waits for a token.
    pub max_operator_wait: Duration,
    /// The maximum time that any other call waits for a token. Must be below the interval at which
    /// leases are renewed.
    pub max_background_wait: Duration,
    /// The seed of the jitter.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fleet_reads: 1_000.0,
            fleet_writes: 200.0,
            min_node_rate: 4.0,
            max_operator_wait: Duration::from_secs(2),
            max_background_wait: Duration::from_millis(500),
            seed: 0,
        }
    }
}

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// [`Store::get`].
    Get,
    /// [`Store::compare_and_swap`].
    Swap,
    /// [`Store::watch`].
    Watch,
    /// [`Store::list`].
    List,
}

impl Call {
    /// Returns the value of the metrics' label `call`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Swap => "swap",
            Self::Watch => "watch",
            Self::List => "list",
        }
    }
}

/// A store whose calls are rate-limited. A call that gets no token in time fails as
/// [`Kind::Throttled`] without being sent.
pub struct Throttle {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    options: Options,
    state: Mutex<State>,
    metrics: Metrics,
}

struct State {
    reads: Bucket,
    writes: Bucket,
    backoff: Backoff,
    random: ChaCha8Rng,
}

impl State {
    fn bucket(&mut self, call: Call) -> &mut Bucket {
        match call {
            Call::Swap => &mut self.writes,
            Call::Get | Call::Watch | Call::List => &mut self.reads,
        }
    }
}

impl Throttle {
    /// Wraps a store and registers its metrics. The rates are those of a fleet of one node until
    /// [`Throttle::set_member_count`] is called.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        options: Options,
        registry: &mut Registry,
    ) -> Arc<Self> {
        let now = clock.now();
        let bucket = |fleet: f64| {
            let (rate, burst) = node_share(fleet, options.min_node_rate, 1);
            Bucket::new(rate, burst, now)
        };
        let state = State {
            reads: bucket(options.fleet_reads),
            writes: bucket(options.fleet_writes),
            backoff: Backoff::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
        };
        Arc::new(Self {
            store,
            clock,
            state: Mutex::new(state),
            metrics: Metrics::register(registry),
            options,
        })
    }

    /// Sets the number of live members, among which the fleet's rates are divided.
    pub fn set_member_count(&self, members: usize) {
        let now = self.clock.now();
        let (reads, read_burst) = node_share(
            self.options.fleet_reads,
            self.options.min_node_rate,
            members,
        );
        let (writes, write_burst) = node_share(
            self.options.fleet_writes,
            self.options.min_node_rate,
            members,
        );
        let mut state = self.state();
        state.reads.set_rate(reads, read_burst, now);
        state.writes.set_rate(writes, write_burst, now);
    }

    /// Returns the number of calls of a kind that were sent to keys with the same first segment as
    /// `key`.
    pub fn sent_calls(&self, call: Call, key: &str) -> u64 {
        self.metrics.sent_calls(call, key)
    }

    /// Waits for a token, then makes a call and records its result.
    async fn call<T>(
        &self,
        call: Call,
        key: &str,
        future: impl Future<Output = Result<T>> + Send,
    ) -> Result<T> {
        let result = match self.admit(call, key).await {
            Ok(()) => {
                let result = future.await;
                self.record_result(&result);
                result
            }
            Err(report) => Err(report),
        };
        self.metrics.count(call, key, &result);
        result
    }

    /// Waits for a token and takes it.
    ///
    /// # Errors
    ///
    /// Returns `Throttled` once no token can become available within the call's maximum wait.
    async fn admit(&self, call: Call, key: &str) -> Result<()> {
        let is_urgent = call == Call::Swap && key.starts_with(PUBLICATION_KEY_PREFIX);
        let max_wait = match is_urgent {
            true => self.options.max_operator_wait,
            false => self.options.max_background_wait,
        };
        let deadline = self.clock.now() + max_wait;
        let _waiting = is_urgent.then(|| WaitingGuard::new(self, call));
        loop {
            let now = self.clock.now();
            let Err(wait) = self.try_take(call, is_urgent) else {
                return Ok(());
            };
            if now + wait > deadline {
                return Err(Report::new(Error::new(call.name(), key, Kind::Throttled)));
            }
            sleep(wait).await;
        }
    }

    /// Takes a token, or returns the time to wait before the next attempt.
    fn try_take(&self, call: Call, is_urgent: bool) -> std::result::Result<(), Duration> {
        let now = self.clock.now();
        let mut state = self.state();
        let remaining_backoff = state.backoff.remaining(now);
        // Back-off does not apply to operators, who wait for the response and make few calls.
        if !is_urgent && !remaining_backoff.is_zero() {
            return Err(remaining_backoff);
        }
        state.bucket(call).try_take(is_urgent, now)
    }

    /// Starts, extends or ends the back-off according to the result of a call.
    fn record_result<T>(&self, result: &Result<T>) {
        let failed = result
            .as_ref()
            .is_err_and(|report| match report.current_context().kind {
                Kind::Conflict { .. } | Kind::Throttled | Kind::Fenced => false,
                Kind::Unreachable | Kind::Lost | Kind::Refused(_) | Kind::Malformed(_) => true,
            });
        let now = self.clock.now();
        let mut state = self.state();
        if failed {
            let jitter = state.random.random();
            state.backoff.record_failure(jitter, now);
        } else {
            state.backoff.record_success();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns one node's rate in calls per second and its burst in calls.
fn node_share(fleet: f64, min_rate: f64, members: usize) -> (f64, f64) {
    let rate = (fleet / members.max(1) as f64).max(min_rate);
    (rate, (rate * BURST_SECONDS).max(MIN_BURST))
}

/// Registers an operator's write as waiting for as long as the guard lives, so that a dropped call
/// is deregistered too.
struct WaitingGuard<'a> {
    throttle: &'a Throttle,
    call: Call,
}

impl<'a> WaitingGuard<'a> {
    fn new(throttle: &'a Throttle, call: Call) -> Self {
        throttle.state().bucket(call).add_urgent_waiter();
        Self { throttle, call }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.throttle
            .state()
            .bucket(self.call)
            .remove_urgent_waiter();
    }
}

impl Store for Throttle {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        Box::pin(self.call(Call::Get, key, self.store.get(key)))
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<u64>> {
        Box::pin(self.call(
            Call::Swap,
            key,
            self.store.compare_and_swap(key, expected, value),
        ))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        Box::pin(self.call(Call::Watch, key, self.store.watch(key, known, wait)))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        Box::pin(self.call(Call::List, prefix, self.store.list(prefix)))
    }
}
