//! Tests that non-idempotent requests with a key run at most once, with one node or several.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use googletest::prelude::*;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use shallotroute_config::{object::Server, set::Set};
use shallotroute_http::body;
use shallotroute_types::clock::Clock;
use support::{Backend, Node};

/// The wall time is set forward by this after the start, so that new keys are younger than the node
/// by more than the tolerated clock skew.
const SHIFT: Duration = Duration::from_secs(60);

async fn start_service(bytes: usize) -> Backend {
    Backend::start(move |request| async move {
        match request.headers.contains_key("x-refuse") {
            true => support::refusal("overloaded"),
            false => {
                let mut response = Response::new(body::full("x".repeat(bytes)));
                *response.status_mut() = StatusCode::CREATED;
                response
                    .headers_mut()
                    .insert("x-order", "7".parse().unwrap());
                response
            }
        }
    })
    .await
}

fn servers(backend: &Backend) -> Vec<Server> {
    vec![support::server("service-1", backend.address)]
}

async fn start_node(id: &str, backend: &Backend, shift: Duration) -> Node {
    let set = Set::new(support::objects(Vec::new(), servers(backend)));
    Node::start_as(id, set, shift).await
}

/// Creates a key that carries the node's wall time.
fn new_key(node: &Node) -> String {
    let since = node
        .clock
        .wall_time()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap();
    let millis = u64::try_from(since.as_millis()).unwrap();
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &[3; 10]).into_uuid();
    uuid.to_string()
}

async fn send_order(node: &Node, key: &str) -> Response<Incoming> {
    let request = node
        .request(Method::POST, "/orders")
        .header("idempotency-key", key);
    node.send(request.body(body::full("two boxes")).unwrap())
        .await
}

/// Guards against a repeated request that runs again or whose response gets lost.
#[tokio::test]
async fn a_repetition_gets_the_stored_response() {
    let backend = start_service(64 << 10).await;
    let node = start_node("node-1", &backend, Duration::ZERO).await;
    node.clock.set(SHIFT);
    let key = new_key(&node);
    for _ in 0..3 {
        let response = send_order(&node, &key).await;
        assert_that!(response.status(), eq(StatusCode::CREATED));
        assert_that!(response.headers()["x-order"], eq("7"));
        assert_that!(support::read_text(response).await.len(), eq(64 << 10));
    }
    assert_that!(backend.count(), eq(1));
}

/// Guards against a second run when the response is too long to be stored.
#[tokio::test]
async fn reports_already_ran_when_the_response_is_too_long_to_store() {
    let backend = start_service((64 << 10) + 1).await;
    let node = start_node("node-1", &backend, Duration::ZERO).await;
    node.clock.set(SHIFT);
    let key = new_key(&node);
    let first = send_order(&node, &key).await;
    assert_that!(support::read_text(first).await.len(), eq((64 << 10) + 1));
    let response = send_order(&node, &key).await;
    assert_that!(response.status(), eq(StatusCode::CONFLICT));
    let error = support::read_error(response).await;
    assert_that!(error["code"], eq("already_ran"));
    assert_that!(error["outcome"], eq("ran"));
    assert_that!(backend.count(), eq(1));
}

/// Guards against a key that stays blocked after a server refused the request without running it.
#[tokio::test]
async fn a_request_that_did_not_run_may_be_repeated() {
    let backend = start_service(10).await;
    let node = start_node("node-1", &backend, Duration::ZERO).await;
    node.clock.set(SHIFT);
    let key = new_key(&node);
    let request = node
        .request(Method::POST, "/orders")
        .header("x-refuse", "1");
    let request = request.header("idempotency-key", &key);
    let refused = node.send(request.body(body::empty()).unwrap()).await;
    assert_that!(refused.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(support::read_error(refused).await["outcome"], eq("not_run"));
    // The server gets no requests for a moment after its refusal.
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_that!(
        send_order(&node, &key).await.status(),
        eq(StatusCode::CREATED)
    );
}

/// Guards against a restarted node, whose records are lost, that runs a request that may have run
/// before.
#[tokio::test]
async fn a_restarted_node_refuses_older_keys() {
    let backend = start_service(10).await;
    let node = start_node("node-1", &backend, Duration::ZERO).await;
    node.clock.set(SHIFT);
    let old = new_key(&node);
    assert_that!(
        send_order(&node, &old).await.status(),
        eq(StatusCode::CREATED)
    );
    drop(node);
    let node = start_node("node-1", &backend, 2 * SHIFT).await;
    for key in [old, "order-1".to_owned()] {
        let response = send_order(&node, &key).await;
        assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
        assert_that!(
            support::read_error(response).await["outcome"],
            eq("unknown")
        );
    }
    assert_that!(backend.count(), eq(1));
    node.clock.set(3 * SHIFT);
    let response = send_order(&node, &new_key(&node)).await;
    assert_that!(response.status(), eq(StatusCode::CREATED));
}

async fn start_cluster(backend: &Backend) -> Vec<Node> {
    let mut nodes = Vec::new();
    for id in ["node-1", "node-2", "node-3", "node-4"] {
        nodes.push(start_node(id, backend, Duration::ZERO).await);
    }
    let shared = Arc::new(support::view(&nodes.iter().collect::<Vec<_>>()));
    for node in &nodes {
        node.members.send_replace(Arc::clone(&shared));
        node.clock.set(SHIFT);
    }
    nodes
}

/// Repeats an order until the node replays its stored response.
async fn wait_for_replay(node: &Node, key: &str) {
    let started = Instant::now();
    loop {
        let response = send_order(node, key).await;
        if response.status() == StatusCode::CREATED {
            return;
        }
        assert_that!(response.status(), eq(StatusCode::CONFLICT));
        assert_that!(started.elapsed(), lt(Duration::from_secs(5)));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a request that runs again because the caller repeats it at another node.
#[tokio::test]
async fn a_repetition_at_another_node_does_not_run() {
    let backend = start_service(10).await;
    let nodes = start_cluster(&backend).await;
    let key = new_key(&nodes[0]);
    assert_that!(
        send_order(&nodes[0], &key).await.status(),
        eq(StatusCode::CREATED)
    );
    for node in &nodes {
        wait_for_replay(node, &key).await;
    }
    assert_that!(backend.count(), eq(1));
}

/// Guards against a request that runs at several nodes at once.
#[tokio::test]
async fn concurrent_requests_with_one_key_run_at_most_once() {
    let backend = start_service(10).await;
    let nodes = start_cluster(&backend).await;
    for round in 0..20 {
        let key = format!("{}{round:02}", &new_key(&nodes[0])[..34]);
        let before = backend.count();
        let orders = nodes.iter().map(|node| send_order(node, &key));
        let responses = futures::future::join_all(orders).await;
        let ran = backend.count() - before;
        assert_that!(ran, le(1));
        for response in responses {
            if response.status() != StatusCode::CREATED {
                assert_that!(
                    support::read_error(response).await["outcome"],
                    eq("unknown")
                );
            }
        }
    }
}

/// Guards against records whose copies get lost one by one, as each member restarts with an empty
/// store.
#[tokio::test]
async fn a_restarted_member_fetches_its_records() {
    let backend = start_service(10).await;
    let mut nodes = start_cluster(&backend).await;
    let key = new_key(&nodes[0]);
    assert_that!(
        send_order(&nodes[0], &key).await.status(),
        eq(StatusCode::CREATED)
    );
    for node in &nodes {
        wait_for_replay(node, &key).await;
    }
    // Each member restarts in turn, so that no original copy is left in the end.
    for index in 0..nodes.len() {
        let id = nodes[index].context.local.id.clone();
        nodes[index] = start_node(&id, &backend, SHIFT).await;
        let shared = Arc::new(support::view(&nodes.iter().collect::<Vec<_>>()));
        for node in &nodes {
            node.members.send_replace(Arc::clone(&shared));
        }
        let started = Instant::now();
        while nodes[index].gateway.dump()["records"]["recovering"] == true {
            assert_that!(started.elapsed(), lt(Duration::from_secs(20)));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    for node in &nodes {
        let response = send_order(node, &key).await;
        assert_that!(response.status(), eq(StatusCode::CONFLICT));
        assert_that!(support::read_error(response).await["outcome"], eq("ran"));
    }
    assert_that!(backend.count(), eq(1));
}

/// Guards against orders that fail while one member is unreachable and not yet known to be dead.
#[tokio::test]
async fn orders_run_while_one_member_is_unreachable() {
    let backend = start_service(10).await;
    let mut nodes = start_cluster(&backend).await;
    nodes.pop();
    let key = new_key(&nodes[0]);
    for number in 0..8 {
        let response = send_order(&nodes[0], &format!("{}{number}", &key[..35])).await;
        assert_that!(response.status(), eq(StatusCode::CREATED));
    }
}

/// Guards against a network partition of which both sides accept the same request.
#[tokio::test]
async fn a_node_without_a_majority_refuses_keys() {
    let backend = start_service(10).await;
    let nodes = start_cluster(&backend).await;
    let mut alone = support::view(&nodes.iter().collect::<Vec<_>>());
    alone.majority = false;
    nodes[0].members.send_replace(Arc::new(alone));
    let response = send_order(&nodes[0], &new_key(&nodes[0])).await;
    assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(
        support::read_error(response).await["code"],
        eq("identity_unvouched")
    );
    assert_that!(backend.count(), eq(0));
}
