//! Callers' requests.

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

use crate::support::{IN_FORCE, SEED, World, streamed};

/// A leaving backend server receives no new work after this time.
const LEAVING: Duration = Duration::from_secs(3);

// Guards against a node that serves only what it published itself, and against cut streams.
#[tokio::test]
async fn a_streamed_request_through_another_node_is_whole() {
    let world = World::start().await;
    for node in [1, 2] {
        let prompt = format!("a quote from node {node}");
        let reply = world
            .caller()
            .complete(world.node(node), &streamed(&prompt))
            .await;
        let content = reply.result.as_ref().expect("a whole answer");
        assert_that!(world.truth().check(&prompt, &content.text), ok(eq(&())));
        let name = &world.fleet.nodes[node].settings().id;
        assert_that!(reply.header("x-shallotroute-node"), some(eq(name)));
    }
}

// Guards against truncated, late, reordered and foreign chunks that reach a caller as an answer.
#[tokio::test]
async fn a_faulty_stream_never_passes_for_a_whole_answer() {
    let world = World::start().await;
    let faults = [
        StreamFault::Cut,
        StreamFault::Truncated,
        StreamFault::Repeated,
        StreamFault::Reordered,
        StreamFault::Foreign,
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        for engine in &world.engines {
            engine.set_fault(engine::Fault {
                stream: Some(fault),
                stream_every: 2,
                ..engine::Fault::default()
            });
        }
        for request in 0..8 {
            let prompt = format!("a quote {number} {request}");
            let reply = world
                .caller()
                .complete(world.node(1), &streamed(&prompt))
                .await;
            if let Ok(content) = &reply.result {
                let checked = world.truth().check(&prompt, &content.text);
                assert_that!(checked, ok(eq(&())), "{fault:?}");
            } else {
                let failure = reply.result.as_ref().expect_err("no answer");
                let silent = matches!(failure, shallotroute_standin::caller::Failure::Truncated);
                assert_that!(silent, eq(false), "{fault:?}: ended without an error");
                assert_that!(reply.outcome(), not(some(eq(Outcome::NotRun))), "{fault:?}");
            }
        }
    }
}

// Guards against requests in progress that a graceful shutdown interrupts.
#[tokio::test]
async fn sigterm_under_load_cuts_nothing() {
    let world = World::start_with(|engine| engine.tokens_per_second = 60.0).await;
    let mut tasks = JoinSet::new();
    let mut number = 0;
    let mut terminated = None;
    let admin = world.fleet.admin(1);
    // The balancer stops sending once the node is not ready.
    while world.fleet.operator.is_ready(admin).await {
        let (caller, node) = (world.caller(), world.node(1));
        tasks.spawn(async move {
            let prompt = format!("a quote {number}");
            let reply = caller.complete(node, &streamed(&prompt)).await;
            (prompt, reply)
        });
        number += 1;
        if number == 20 {
            world.fleet.nodes[1].terminate();
            terminated = Some(Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(terminated, some(anything()), "not ready before the signal");
    let replies: Vec<(String, Reply)> = tasks.join_all().await;
    let truth = world.truth();
    for (prompt, reply) in replies {
        let content = reply
            .result
            .unwrap_or_else(|failure| panic!("{prompt}: {failure}"));
        assert_that!(truth.check(&prompt, &content.text), ok(eq(&())));
    }
    let exit = world.fleet.nodes[1]
        .wait_for_exit(Duration::from_secs(10))
        .await;
    assert_that!(exit.map(|status| status.success()), some(eq(true)));
}

// Guards against new work for a server that leaves while the host list still shows it as live.
#[tokio::test]
async fn a_leaving_engine_gets_nothing_after_three_seconds() {
    let world = World::start().await;
    world.fleet.hosts.set_lag(Duration::from_secs(30));
    let leaving = &world.engines[1];
    world.fleet.hosts.set(leaving.name(), host::State::Leaving);
    leaving.set_fault(engine::Fault {
        refusal: Some(Refusal::Leaving),
        ..engine::Fault::default()
    });
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < LEAVING + Duration::from_secs(2) {
        let prompt = format!("a quote {number}");
        let reply = world
            .caller()
            .complete(world.node(number % 3), &streamed(&prompt))
            .await;
        assert_that!(reply.is_ok(), eq(true), "{:?}", reply.result);
        number += 1;
    }
    let last = leaving
        .last_arrival()
        .map(|last| last.saturating_duration_since(since));
    assert_that!(last.unwrap_or_default(), le(LEAVING));
}

// Guards against a caller's repetition through another node that runs an order twice.
#[tokio::test]
async fn a_repeated_order_runs_once() {
    let world = World::start().await;
    world.await_orders().await;
    for lose_every in [0, 1] {
        for desk in &world.desks {
            desk.set_fault(service::Fault {
                lose_every,
                ..service::Fault::default()
            });
        }
        let key = uuid::Uuid::now_v7().to_string();
        let mut replies = Vec::new();
        for node in [1, 2, 0] {
            let reply = world
                .caller()
                .call(
                    world.node(node),
                    Method::POST,
                    "/orders/1",
                    Some(&key),
                    "one",
                )
                .await;
            replies.push((node, reply.result));
        }
        let runs = world.desks.iter().map(|desk| desk.runs_by_identity());
        let count: u64 = runs.filter_map(|mut runs| runs.remove(&key)).sum();
        assert_that!(count, eq(1), "answers lost: {lose_every}, {replies:?}");
    }
}

// Guards against orders that run twice when they are sent through two nodes at the same time.
#[tokio::test]
async fn orders_sent_at_the_same_time_run_once() {
    let world = World::start().await;
    world.await_orders().await;
    for _ in 0..20 {
        let key = uuid::Uuid::now_v7().to_string();
        let caller = world.caller();
        let send = |node| {
            caller.call(
                world.node(node),
                Method::POST,
                "/orders/1",
                Some(&key),
                "one",
            )
        };
        let (first, second, third) = futures::future::join3(send(0), send(1), send(2)).await;
        let runs = world.desks.iter().map(|desk| desk.runs_by_identity());
        let count: u64 = runs.filter_map(|mut runs| runs.remove(&key)).sum();
        let whole = [first, second, third].iter().any(Reply::is_ok);
        assert_that!(count, le(1));
        assert_that!(whole && count == 0, eq(false), "answered without a run");
    }
}

// Guards against a node that stops, mixes up members or loses its peers through foreign traffic.
#[tokio::test]
async fn malformed_and_foreign_traffic_to_the_peer_port_does_no_harm() {
    let world = World::start().await;
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    for node in &world.fleet.nodes {
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
    let revision = world
        .publish(0, &world.changed(1))
        .await
        .expect("published");
    world.await_in_force(&[0, 1, 2], revision, IN_FORCE).await;
    for node in 0..3 {
        let prompt = format!("a quote from node {node}");
        let reply = world
            .caller()
            .complete(world.node(node), &streamed(&prompt))
            .await;
        assert_that!(reply.is_ok(), eq(true), "{:?}", reply.result);
        let members = world
            .fleet
            .operator
            .get(world.fleet.admin(node), "/admin/v1/status")
            .await;
        let members = members.expect("the node should answer")["members"].clone();
        assert_that!(members.as_array().map(Vec::len), some(eq(3)), "{members}");
    }
}
