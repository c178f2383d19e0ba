//! The limits of a node's calls to the key-value service.

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

/// A clock that stands still, so that the verdict does not depend on the machine's load.
struct Frozen(Instant);

impl Clock for Frozen {
    fn now(&self) -> Instant {
        self.0
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Answers at once, with a failure while it is down.
#[derive(Default)]
struct Stub {
    down: AtomicBool,
}

impl Stub {
    fn answer<T: Send + 'static>(&self, value: T) -> BoxFuture<'_, Result<T>> {
        let down = self.down.load(Ordering::Relaxed);
        let failure = || Report::new(Error::new("stub", "stub", Kind::Unreachable));
        let result = if down { Err(failure()) } else { Ok(value) };
        Box::pin(async { result })
    }
}

impl Store for Stub {
    fn get<'a>(&'a self, _key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        self.answer(None)
    }

    fn compare_and_swap<'a>(
        &'a self,
        _key: &'a str,
        _: u64,
        _: Bytes,
    ) -> BoxFuture<'a, Result<u64>> {
        self.answer(1)
    }

    fn watch<'a>(
        &'a self,
        _key: &'a str,
        _known: u64,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        self.answer(None)
    }

    fn list<'a>(&'a self, _prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        self.answer(Vec::new())
    }
}

fn throttle(stub: &Arc<Stub>, options: Options) -> Arc<Throttle> {
    let store: Arc<dyn Store> = Arc::clone(stub) as _;
    Throttle::new(
        store,
        Arc::new(Frozen(Instant::now())),
        options,
        &mut Registry::default(),
    )
}

fn kind<T>(result: Result<T>) -> Option<Kind> {
    result
        .err()
        .map(|report| report.current_context().kind.clone())
}

/// Guards against more calls than the rate allows.
#[gtest]
fn bucket_limits_the_rate() {
    let start = Instant::now();
    let mut bucket = Bucket::new(10.0, 5.0, start);
    let mut taken = 0;
    for step in 0..1_000 {
        taken += u32::from(
            bucket
                .take(false, start + Duration::from_millis(step * 10))
                .is_ok(),
        );
    }
    // 5 at once and 10 per second for 9.99 s; one more or less by rounding.
    expect_that!(taken, all![ge(103), le(105)]);
}

/// Guards against upkeep that takes the tokens for which an operator waits.
#[gtest]
fn operators_go_before_upkeep() {
    let start = Instant::now();
    let mut bucket = Bucket::new(1.0, 1.0, start);
    expect_that!(bucket.take(false, start), ok(anything()));
    bucket.enter();
    let later = start + Duration::from_secs(1);
    expect_that!(bucket.take(false, later), err(anything()));
    expect_that!(bucket.take(true, later), ok(anything()));
    bucket.leave();
    let last = later + Duration::from_secs(1);
    expect_that!(bucket.take(false, last), ok(anything()));
}

/// Guards against a backoff that never grows, grows without bound or does not end.
#[gtest]
fn backoff_grows_to_a_second_and_ends_with_success() {
    let now = Instant::now();
    let mut backoff = Backoff::default();
    expect_that!(backoff.remaining(now), eq(Duration::ZERO));
    backoff.fail(0.0, now);
    expect_that!(backoff.remaining(now), eq(Duration::from_millis(25)));
    for _ in 0..40 {
        backoff.fail(1.0, now);
    }
    expect_that!(backoff.remaining(now), eq(Duration::from_secs(1)));
    backoff.succeed();
    expect_that!(backoff.remaining(now), eq(Duration::ZERO));
}

/// Guards against calls that are neither sent nor refused, and against wrong counts.
#[gtest]
#[tokio::test]
async fn calls_beyond_the_rate_are_refused_and_counted() {
    let stub = Arc::new(Stub::default());
    let options = Options {
        fleet_writes: 0.001,
        min_node_rate: 0.001,
        max_background_wait: Duration::ZERO,
        max_operator_wait: Duration::ZERO,
        ..Options::default()
    };
    let throttle = throttle(&stub, options);
    let mut refused = 0;
    for _ in 0..12 {
        let result = throttle
            .compare_and_swap("ledger/t/1", 0, Bytes::new())
            .await;
        refused += u32::from(kind(result) == Some(Kind::Throttled));
    }
    expect_that!(refused, eq(4));
    expect_that!(throttle.sent_calls(Call::Swap, "ledger/other"), eq(8));
    expect_that!(kind(throttle.get("config/head").await), none());
}

/// Guards against hammering a service that is down, and against holding operators' writes back.
#[gtest]
#[tokio::test]
async fn failures_hold_back_upkeep_only() {
    let stub = Arc::new(Stub::default());
    let options = Options {
        max_background_wait: Duration::ZERO,
        ..Options::default()
    };
    let throttle = throttle(&stub, options);
    stub.down.store(true, Ordering::Relaxed);
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
    stub.down.store(false, Ordering::Relaxed);
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
