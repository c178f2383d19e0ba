//! A store that keeps a node within its share of the key-value service's rates.
//!
//! Operators' writes go before upkeep. After a failure the calls for upkeep back off with jitter, so
//! that a service that returns from an outage is not met by all nodes at once.

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

/// The keys that only operators' publications write.
const OPERATORS_KEYS: &str = "config/";

/// Tokens that a bucket holds at most, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// The fewest tokens that a bucket holds at most; a publication makes about four writes.
const MIN_BURST: f64 = 8.0;

/// The settings of a throttle.
#[derive(Clone, Debug)]
pub struct Options {
    /// Reads per second of the whole fleet; a watch counts as one.
    pub fleet_reads: f64,
    /// Writes per second of the whole fleet.
    pub fleet_writes: f64,
    /// Reads and writes per second that each node may make in any case.
    pub min_node_rate: f64,
    /// How long an operator's write waits for its turn.
    pub max_operator_wait: Duration,
    /// How long any other call waits for its turn; below the interval at which leases are renewed.
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

/// A kind of call.
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
    /// Returns the name in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Swap => "swap",
            Self::Watch => "watch",
            Self::List => "list",
        }
    }
}

/// A store with limited rates.
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
    /// Wraps a store with the rates of a fleet of one node and registers its metrics.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        options: Options,
        registry: &mut Registry,
    ) -> Arc<Self> {
        let now = clock.now();
        let bucket = |fleet: f64| {
            let (rate, burst) = share(fleet, options.min_node_rate, 1);
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

    /// Divides the fleet's rates by the number of live members.
    pub fn set_member_count(&self, members: usize) {
        let now = self.clock.now();
        let (reads, read_burst) = share(
            self.options.fleet_reads,
            self.options.min_node_rate,
            members,
        );
        let (writes, write_burst) = share(
            self.options.fleet_writes,
            self.options.min_node_rate,
            members,
        );
        let mut state = self.state();
        state.reads.set_rate(reads, read_burst, now);
        state.writes.set_rate(writes, write_burst, now);
    }

    /// Returns the number of calls of a kind to keys with the first segment of `key` that were sent.
    pub fn sent_calls(&self, call: Call, key: &str) -> u64 {
        self.metrics.sent_calls(call, key)
    }

    /// Makes a call in its turn and notes how it went.
    async fn call<T>(
        &self,
        call: Call,
        key: &str,
        made: impl Future<Output = Result<T>> + Send,
    ) -> Result<T> {
        let result = match self.admit(call, key).await {
            Ok(()) => {
                let result = made.await;
                self.learn(&result);
                result
            }
            Err(report) => Err(report),
        };
        self.metrics.count(call, key, &result);
        result
    }

    /// Waits for a token.
    async fn admit(&self, call: Call, key: &str) -> Result<()> {
        let urgent = call == Call::Swap && key.starts_with(OPERATORS_KEYS);
        let limit = match urgent {
            true => self.options.max_operator_wait,
            false => self.options.max_background_wait,
        };
        let end = self.clock.now() + limit;
        let _waiting = urgent.then(|| Waiting::new(self, call));
        loop {
            let now = self.clock.now();
            let Err(wait) = self.try_take(call, urgent) else {
                return Ok(());
            };
            if now + wait > end {
                return Err(Report::new(Error::new(call.name(), key, Kind::Throttled)));
            }
            sleep(wait).await;
        }
    }

    fn try_take(&self, call: Call, urgent: bool) -> std::result::Result<(), Duration> {
        let now = self.clock.now();
        let mut state = self.state();
        let pause = state.backoff.remaining(now);
        // An operator waits for the answer and makes few calls, so that no backoff applies.
        if !urgent && !pause.is_zero() {
            return Err(pause);
        }
        state.bucket(call).take(urgent, now)
    }

    fn learn<T>(&self, result: &Result<T>) {
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
            state.backoff.fail(jitter, now);
        } else {
            state.backoff.succeed();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rate and the burst of one node.
fn share(fleet: f64, min_rate: f64, members: usize) -> (f64, f64) {
    let rate = (fleet / members.max(1) as f64).max(min_rate);
    (rate, (rate * BURST_SECONDS).max(MIN_BURST))
}

/// Counts an operator's write as waiting, also when its call is dropped.
struct Waiting<'a> {
    throttle: &'a Throttle,
    call: Call,
}

impl<'a> Waiting<'a> {
    fn new(throttle: &'a Throttle, call: Call) -> Self {
        throttle.state().bucket(call).enter();
        Self { throttle, call }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.throttle.state().bucket(self.call).leave();
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
