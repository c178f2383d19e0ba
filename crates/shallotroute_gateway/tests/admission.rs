//! Tests that requests beyond the capacity wait, or are refused at once with a time to retry.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::join_all;
use googletest::prelude::*;
use http::StatusCode;
use shallotroute_config::{
    object::{Limit, Object},
    set::Set,
};
use shallotroute_types::name::Name;
use support::{Backend, Node};

struct Fixture {
    node: Node,
    backend: Backend,
    max_running: Arc<AtomicUsize>,
}

/// Starts a node with one engine of two slots, which takes `duration` for a request.
async fn start_fixture(duration: Duration, limit: Option<Limit>) -> Fixture {
    let (running, max_running) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let peak = Arc::clone(&max_running);
    let backend = Backend::start(move |request| {
        let (running, peak) = (Arc::clone(&running), Arc::clone(&peak));
        async move {
            peak.fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            tokio::time::sleep(duration).await;
            running.fetch_sub(1, Ordering::SeqCst);
            support::engine_response(&request, 2)
        }
    })
    .await;
    let mut server = support::server("engine-1", backend.address);
    server.slots = 2;
    let mut objects = support::objects(vec![server], Vec::new());
    if let Some(limit) = limit {
        for object in &mut objects {
            if let Object::Caller(caller) = object {
                caller.limit = Some(limit.name.clone());
            }
        }
        objects.push(Object::Limit(limit));
    }
    let node = Node::start(Set::new(objects)).await;
    Fixture {
        node,
        backend,
        max_running,
    }
}

/// Guards against more requests at a server than it has slots, and against waiting requests that
/// are never admitted.
#[tokio::test]
async fn requests_wait_for_a_slot() {
    let fixture = start_fixture(Duration::from_millis(20), None).await;
    let responses = join_all((0..20).map(|_| fixture.node.completion(false))).await;
    for response in responses {
        assert_that!(response.status(), eq(StatusCode::OK));
    }
    assert_that!(fixture.backend.count(), eq(20));
    assert_that!(fixture.max_running.load(Ordering::SeqCst), eq(2));
}

/// Guards against requests that wait although they can't be served in time.
#[tokio::test]
async fn refuses_at_once_when_the_wait_would_be_too_long() {
    let fixture = start_fixture(Duration::from_millis(1_000), None).await;
    let first = fixture.node.completion(false).await;
    assert_that!(first.status(), eq(StatusCode::OK));
    let started = Instant::now();
    let responses = join_all((0..30).map(|_| async {
        let response = fixture.node.completion(false).await;
        (response, started.elapsed())
    }));
    let mut refused = 0;
    for (response, elapsed) in responses.await {
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            refused += 1;
            assert_that!(elapsed, lt(Duration::from_millis(900)));
            assert_that!(response.headers().contains_key("retry-after"), eq(true));
            let error = support::read_error(response).await;
            assert_that!(error["code"], eq("overloaded"));
            assert_that!(error["outcome"], eq("not_run"));
            assert_that!(error["retry_after_ms"].as_u64(), some(gt(0)));
        }
    }
    // 2 run at once for 1 s each; a request may wait for 2.5 s.
    assert_that!(refused, ge(20));
    assert_that!(fixture.backend.count(), eq(31 - refused));
}

/// Guards against slots that stay occupied, and engines that go on, after the caller has
/// disconnected.
#[tokio::test]
async fn a_disconnected_caller_frees_its_slot() {
    let fixture = start_fixture(Duration::from_secs(60), None).await;
    let running = || fixture.node.gateway.dump()["pools"]["engines"]["running"].clone();
    let request = tokio::time::timeout(Duration::from_millis(300), fixture.node.completion(true));
    assert_that!(request.await.is_err(), eq(true));
    let started = Instant::now();
    while fixture.backend.count() == 0 || running() != 0 {
        assert_that!(started.elapsed(), lt(Duration::from_secs(4)));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a caller that exceeds its limit.
#[tokio::test]
async fn refuses_a_caller_over_its_limit() {
    let limit = Limit {
        name: Name::from("desk-limit"),
        requests_per_second: 0.1,
        burst: 3,
        concurrency: None,
    };
    let fixture = start_fixture(Duration::ZERO, Some(limit)).await;
    for _ in 0..3 {
        assert_that!(
            fixture.node.completion(false).await.status(),
            eq(StatusCode::OK)
        );
    }
    let response = fixture.node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::TOO_MANY_REQUESTS));
    assert_that!(response.headers().contains_key("retry-after"), eq(true));
    let error = support::read_error(response).await;
    assert_that!(error["code"], eq("rate_limited"));
    assert_that!(error["type"], eq("rate_limit_error"));
    assert_that!(error["outcome"], eq("not_run"));
    assert_that!(fixture.backend.count(), eq(3));
}
