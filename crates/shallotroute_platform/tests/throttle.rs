//! Tests of the rate limits of a node's calls to the key-value service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use error_stack::Report;
use futures::future::BoxFuture;
use googletest::prelude::*;
use prometheus_client::registry::Registry;
use shallotroute_platform::{
    error::{Error, Kind, Result},
    store::{Entry, Store},
    throttle::{
        Call, Options, Throttle,
        bucket::{Backoff, Bucket},
    },
};
use shallotroute_types::clock::Clock;

/// A clock that stands still, so that the results don't depend on the machine's load.
struct FrozenClock(Instant);

impl Clock for FrozenClock {
    fn now(&self) -> Instant {
        self.0
    }

    fn boot_time(&self) -> Duration {
        Duration::ZERO
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// A store that responds immediately, and with `Unreachable` while it is down.
#[derive(Default)]
struct Stub {
    is_down: AtomicBool,
}

impl Stub {
    fn respond<T: Send + 'static>(&self, value: T) -> BoxFuture<'_, Result<T>> {
        let is_down = self.is_down.load(Ordering::Relaxed);
        let failure = || Report::new(Error::new("stub", "stub", Kind::Unreachable));
        let result = if is_down { Err(failure()) } else { Ok(value) };
        Box::pin(async { result })
    }
}

impl Store for Stub {
    fn get<'a>(&'a self, _key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        self.respond(None)
    }

    fn compare_and_swap<'a>(
        &'a self,
        _key: &'a str,
        _: u64,
        _: Bytes,
    ) -> BoxFuture<'a, Result<u64>> {
        self.respond(1)
    }

    fn watch<'a>(
        &'a self,
        _key: &'a str,
        _known: u64,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        self.respond(None)
    }

    fn list<'a>(&'a self, _prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        self.respond(Vec::new())
    }
}

fn throttle(stub: &Arc<Stub>, options: Options) -> Arc<Throttle> {
    let store: Arc<dyn Store> = Arc::clone(stub) as _;
    Throttle::new(
        store,
        Arc::new(FrozenClock(Instant::now())),
        options,
        &mut Registry::default(),
    )
}

fn kind<T>(result: Result<T>) -> Option<Kind> {
    result
        .err()
        .map(|report| report.current_context().kind.clone())
}

/// Guards against a bucket that admits more calls than its rate and burst allow.
#[gtest]
fn bucket_limits_the_rate() {
    let start = Instant::now();
    let mut bucket = Bucket::new(10.0, 5.0, start);
    let mut taken = 0;
    for step in 0..1_000 {
        taken += u32::from(
            bucket
                .try_take(false, start + Duration::from_millis(step * 10))
                .is_ok(),
        );
    }
    // A burst of 5, then 10 per second for 9.99 s; rounding may add or remove one.
    expect_that!(taken, all![ge(103), le(105)]);
}

/// Guards against background calls that take the tokens for which an operator's write waits.
#[gtest]
fn operators_take_precedence_over_background_calls() {
    let start = Instant::now();
    let mut bucket = Bucket::new(1.0, 1.0, start);
    expect_that!(bucket.try_take(false, start), ok(anything()));
    bucket.add_urgent_waiter();
    let later = start + Duration::from_secs(1);
    expect_that!(bucket.try_take(false, later), err(anything()));
    expect_that!(bucket.try_take(true, later), ok(anything()));
    bucket.remove_urgent_waiter();
    let even_later = later + Duration::from_secs(1);
    expect_that!(bucket.try_take(false, even_later), ok(anything()));
}

/// Guards against a back-off that does not grow, grows without bound or does not end with a
/// success.
#[gtest]
fn backoff_grows_to_a_second_and_ends_with_success() {
    let now = Instant::now();
    let mut backoff = Backoff::default();
    expect_that!(backoff.remaining(now), eq(Duration::ZERO));
    backoff.record_failure(0.0, now);
    expect_that!(backoff.remaining(now), eq(Duration::from_millis(25)));
    for _ in 0..40 {
        backoff.record_failure(1.0, now);
    }
    expect_that!(backoff.remaining(now), eq(Duration::from_secs(1)));
    backoff.record_success();
    expect_that!(backoff.remaining(now), eq(Duration::ZERO));
}

/// Guards against calls that are neither sent nor throttled, and against wrong counts of sent calls.
#[gtest]
#[tokio::test]
async fn calls_above_the_rate_are_throttled_and_not_counted_as_sent() {
    let stub = Arc::new(Stub::default());
    let options = Options {
        fleet_writes: 0.001,
        min_node_rate: 0.001,
        max_background_wait: Duration::ZERO,
        max_operator_wait: Duration::ZERO,
        ..Options::default()
    };
    let throttle = throttle(&stub, options);
    let mut throttled = 0;
    for _ in 0..12 {
        let result = throttle
            .compare_and_swap("ledger/t/1", 0, Bytes::new())
            .await;
        throttled += u32::from(kind(result) == Some(Kind::Throttled));
    }
    expect_that!(throttled, eq(4));
    expect_that!(throttle.sent_calls(Call::Swap, "ledger/other"), eq(8));
    expect_that!(kind(throttle.get("config/head").await), none());
}

/// Guards against background calls that overload a service that is down, and against delaying
/// operators' writes.
#[gtest]
#[tokio::test]
async fn failures_delay_background_calls_only() {
    let stub = Arc::new(Stub::default());
    let options = Options {
        max_background_wait: Duration::ZERO,
        ..Options::default()
    };
    let throttle = throttle(&stub, options);
    stub.is_down.store(true, Ordering::Relaxed);
    for _ in 0..10 {
        let result = throttle
            .compare_and_swap("config/head", 0, Bytes::new())
            .await;
        expect_that!(kind(result), some(eq(&Kind::Unreachable)));
    }
    expect_that!(
        kind(throttle.get("lease/a").await),
        some(eq(&Kind::Throttled))
    );
    stub.is_down.store(false, Ordering::Relaxed);
    expect_that!(
        kind(
            throttle
                .compare_and_swap("config/head", 0, Bytes::new())
                .await
        ),
        none()
    );
    expect_that!(kind(throttle.get("lease/a").await), none());
}
