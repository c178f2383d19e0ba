//! Callers' requests, and orders, which must not run twice.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_platform::host;
use shallotroute_standin::{
    caller::Reply,
    engine::{self, Refusal, StreamFault},
    service,
};
use shallotroute_types::outcome::Outcome;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
    task::JoinSet,
};

use crate::support::{IN_FORCE_TIMEOUT, SEED, Testbed, streaming_completion};

/// Bound on the time from a backend server starting to leave to its last new request.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);

// Guards against a node that routes only by configurations that were published through itself, and
// against incomplete streams.
#[tokio::test]
async fn stream_through_a_node_that_did_not_publish_is_complete() {
    let testbed = Testbed::start().await;
    for node in [1, 2] {
        let prompt = format!("a quote from node {node}");
        let reply = testbed
            .caller()
            .complete(testbed.node(node), &streaming_completion(&prompt))
            .await;
        let content = reply.result.as_ref().expect("a complete response");
        assert_that!(testbed.truth().check(&prompt, &content.text), ok(eq(&())));
        let name = &testbed.cluster.nodes[node].settings().id;
        assert_that!(reply.header("x-shallotroute-node"), some(eq(name)));
    }
}

// Guards against callers who get a wrong stream without an error: one that ends early, or whose
// engine repeats or reorders chunks or sends those of another request. A request that may have run
// must not be reported as not run either.
#[tokio::test]
async fn faulty_stream_never_ends_like_a_complete_one() {
    let testbed = Testbed::start().await;
    let faults = [
        StreamFault::Cut,
        StreamFault::Truncated,
        StreamFault::Repeated,
        StreamFault::Reordered,
        StreamFault::Foreign,
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        for engine in &testbed.engines {
            engine.set_fault(engine::Fault {
                stream: Some(fault),
                stream_every: 2,
                ..engine::Fault::default()
            });
        }
        for request in 0..8 {
            let prompt = format!("a quote {number} {request}");
            let reply = testbed
                .caller()
                .complete(testbed.node(1), &streaming_completion(&prompt))
                .await;
            if let Ok(content) = &reply.result {
                let checked = testbed.truth().check(&prompt, &content.text);
                assert_that!(checked, ok(eq(&())), "{fault:?}");
            } else {
                let failure = reply.result.as_ref().expect_err("a failure");
                let is_silent = matches!(failure, shallotroute_standin::caller::Failure::Truncated);
                assert_that!(is_silent, eq(false), "{fault:?}: ended without an error");
                assert_that!(reply.outcome(), not(some(eq(Outcome::NotRun))), "{fault:?}");
            }
        }
    }
}

// Guards against a graceful shutdown that interrupts requests in progress, or rejects those that
// arrive before the load balancer sees that the node is not ready.
#[tokio::test]
async fn sigterm_under_load_interrupts_no_request() {
    let testbed = Testbed::start_with(|engine| engine.tokens_per_second = 60.0).await;
    let mut tasks = JoinSet::new();
    let mut number = 0;
    let mut terminated = None;
    let admin = testbed.cluster.admin(1);
    // As a load balancer does, send requests until the node is not ready.
    while testbed.cluster.operator.is_ready(admin).await {
        let (caller, node) = (testbed.caller(), testbed.node(1));
        tasks.spawn(async move {
            let prompt = format!("a quote {number}");
            let reply = caller.complete(node, &streaming_completion(&prompt)).await;
            (prompt, reply)
        });
        number += 1;
        if number == 20 {
            testbed.cluster.nodes[1].terminate();
            terminated = Some(Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(terminated, some(anything()), "not ready before the signal");
    let replies: Vec<(String, Reply)> = tasks.join_all().await;
    let truth = testbed.truth();
    for (prompt, reply) in replies {
        let content = reply
            .result
            .unwrap_or_else(|failure| panic!("{prompt}: {failure}"));
        assert_that!(truth.check(&prompt, &content.text), ok(eq(&())));
    }
    let exit = testbed.cluster.nodes[1]
        .wait_for_exit(Duration::from_secs(10))
        .await;
    assert_that!(exit.map(|status| status.success()), some(eq(true)));
}

// Guards against new requests to an engine that rejects them because it leaves, while the host list
// still shows it as live.
#[tokio::test]
async fn leaving_engine_gets_no_request_after_three_seconds() {
    let testbed = Testbed::start().await;
    testbed.cluster.hosts.set_lag(Duration::from_secs(30));
    let leaving = &testbed.engines[1];
    testbed
        .cluster
        .hosts
        .set(leaving.name(), host::State::Leaving);
    leaving.set_fault(engine::Fault {
        refusal: Some(Refusal::Leaving),
        ..engine::Fault::default()
    });
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < MAX_LEAVING_DELAY + Duration::from_secs(2) {
        let prompt = format!("a quote {number}");
        let reply = testbed
            .caller()
            .complete(testbed.node(number % 3), &streaming_completion(&prompt))
            .await;
        assert_that!(reply.is_ok(), eq(true), "{:?}", reply.result);
        number += 1;
    }
    let delay = leaving
        .last_arrival()
        .map(|last| last.saturating_duration_since(since));
    assert_that!(delay.unwrap_or_default(), le(MAX_LEAVING_DELAY));
}

// Guards against an order that runs twice because a caller repeats it through another node, both
// when the backend server responded and when its response was lost.
#[tokio::test]
async fn order_repeated_through_other_nodes_runs_once() {
    let testbed = Testbed::start().await;
    testbed.await_orders().await;
    for lose_every in [0, 1] {
        for desk in &testbed.desks {
            desk.set_fault(service::Fault {
                lose_every,
                ..service::Fault::default()
            });
        }
        let key = uuid::Uuid::now_v7().to_string();
        let mut replies = Vec::new();
        for node in [1, 2, 0] {
            let reply = testbed
                .caller()
                .call(
                    testbed.node(node),
                    Method::POST,
                    "/orders/1",
                    Some(&key),
                    "one",
                )
                .await;
            replies.push((node, reply.result));
        }
        let runs = testbed.desks.iter().map(|desk| desk.runs_by_identity());
        let count: u64 = runs.filter_map(|mut runs| runs.remove(&key)).sum();
        assert_that!(count, eq(1), "lose_every: {lose_every}, {replies:?}");
    }
}

// Guards against an order that runs twice because it is sent through several nodes at the same
// time, and against a success response for an order that did not run.
#[tokio::test]
async fn order_sent_through_all_nodes_at_once_runs_at_most_once() {
    let testbed = Testbed::start().await;
    testbed.await_orders().await;
    for _ in 0..20 {
        let key = uuid::Uuid::now_v7().to_string();
        let caller = testbed.caller();
        let send = |node| {
            caller.call(
                testbed.node(node),
                Method::POST,
                "/orders/1",
                Some(&key),
                "one",
            )
        };
        let (first, second, third) = futures::future::join3(send(0), send(1), send(2)).await;
        let runs = testbed.desks.iter().map(|desk| desk.runs_by_identity());
        let count: u64 = runs.filter_map(|mut runs| runs.remove(&key)).sum();
        let any_succeeded = [first, second, third].iter().any(Reply::is_ok);
        assert_that!(count, le(1));
        assert_that!(
            any_succeeded && count == 0,
            eq(false),
            "success without a run"
        );
    }
}

// Guards against a node that exits, fails requests or loses or gains members when random bytes
// arrive at its peer port by UDP or TCP.
#[tokio::test]
async fn random_traffic_to_the_peer_port_does_no_harm() {
    let testbed = Testbed::start().await;
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    for node in &testbed.cluster.nodes {
        let peer = node.settings().peers;
        for _ in 0..500 {
            let length = random.random_range(0..1_500);
            let mut datagram = vec![0; length];
            random.fill(datagram.as_mut_slice());
            let _ = socket.send_to(&datagram, peer).await;
        }
        for first in [0_u8, 1, 2, 3, 255] {
            let mut stream = TcpStream::connect(peer).await.expect("the port is open");
            let mut garbage = vec![0; 256];
            random.fill(garbage.as_mut_slice());
            garbage[0] = first;
            let _ = stream.write_all(&garbage).await;
        }
    }
    let revision = testbed
        .publish(0, &testbed.changed_configuration(1))
        .await
        .expect("published");
    testbed
        .await_in_force(&[0, 1, 2], revision, IN_FORCE_TIMEOUT)
        .await;
    for node in 0..3 {
        let prompt = format!("a quote from node {node}");
        let reply = testbed
            .caller()
            .complete(testbed.node(node), &streaming_completion(&prompt))
            .await;
        assert_that!(reply.is_ok(), eq(true), "{:?}", reply.result);
        let members = testbed
            .cluster
            .operator
            .get(testbed.cluster.admin(node), "/admin/v1/status")
            .await;
        let members = members.expect("the node should respond")["members"].clone();
        assert_that!(members.as_array().map(Vec::len), some(eq(3)), "{members}");
    }
}
