//! Tests the outcomes that callers receive, and the retries of failed attempts.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use shallotroute_config::set::Set;
use shallotroute_http::body;
use support::{Backend, Node};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

async fn good_backend() -> Backend {
    Backend::start(|request| async move {
        match request.path.starts_with("/orders") {
            true => Response::new(body::full("done")),
            false => support::engine_response(&request, 4),
        }
    })
    .await
}

async fn refusing_backend(state: &'static str) -> Backend {
    Backend::start(move |_| async move { support::refusal(state) }).await
}

/// Starts a server that reads a request from each connection, writes `bytes` and closes it.
async fn raw_backend(bytes: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(bytes.as_bytes()).await;
        }
    });
    address
}

async fn start_node(addresses: &[std::net::SocketAddr]) -> Node {
    let servers: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| support::server(&format!("server-{index}"), *address))
        .collect();
    let mut services = servers.clone();
    for server in &mut services {
        server.name = format!("service-{}", server.name).into();
    }
    Node::start(Set::new(support::objects(servers, services))).await
}

async fn send_order(node: &Node) -> Response<Incoming> {
    let request = node.request(Method::POST, "/orders");
    node.send(request.body(body::full("two boxes")).unwrap())
        .await
}

/// Guards against requests that fail although nothing ran and another server could have run them.
#[tokio::test]
async fn retries_a_non_idempotent_request_that_did_not_run() {
    let good = good_backend().await;
    let leaving = refusing_backend("leaving").await;
    let overloaded = refusing_backend("overloaded").await;
    let closed = support::closed_address().await;
    for bad in [closed, leaving.address, overloaded.address] {
        let node = start_node(&[bad, good.address]).await;
        for _ in 0..2 {
            assert_that!(send_order(&node).await.status(), eq(StatusCode::OK));
        }
    }
    assert_that!(good.count(), eq(6));
}

/// Guards against a non-idempotent request that runs twice after its response was lost.
#[tokio::test]
async fn does_not_retry_a_non_idempotent_request_that_may_have_run() {
    let good = good_backend().await;
    let lost = raw_backend("").await;
    let cut = raw_backend("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    for (bad, code) in [(lost, "connection_lost"), (cut, "answer_cut")] {
        let node = start_node(&[bad, good.address]).await;
        let response = send_order(&node).await;
        assert_that!(response.status(), eq(StatusCode::BAD_GATEWAY));
        let error = support::read_error(response).await;
        assert_that!(error["code"], eq(code));
        assert_that!(error["outcome"], eq("unknown"));
        assert_that!(error["peer"], eq("service-server-0"));
    }
    assert_that!(good.count(), eq(0));
}

/// Guards against an idempotent request that fails because its first server does.
#[tokio::test]
async fn retries_an_idempotent_request_that_may_have_run() {
    let good = good_backend().await;
    let lost = raw_backend("").await;
    let node = start_node(&[lost, good.address]).await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::OK));
    assert_that!(response.headers()["x-shallotroute-backend"], eq("server-1"));
}

/// Guards against a caller that receives the 404 of an engine at which a swap of weights failed
/// partway.
#[tokio::test]
async fn retries_at_another_engine_when_the_model_is_missing() {
    let good = good_backend().await;
    let missing = raw_backend("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
    let node = start_node(&[missing, good.address]).await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::OK));
    assert_that!(response.headers()["x-shallotroute-backend"], eq("server-1"));
}

/// Guards against the outcome "not run" when an earlier attempt of the same request may have run.
#[tokio::test]
async fn outcome_is_unknown_when_an_earlier_attempt_may_have_run() {
    let lost = raw_backend("").await;
    let refused = refusing_backend("overloaded").await;
    let node = start_node(&[lost, refused.address]).await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    let error = support::read_error(response).await;
    assert_that!(error["code"], eq("server_overloaded"));
    assert_that!(error["outcome"], eq("unknown"));
}

/// Guards against an error, when all servers refuse, that does not tell that nothing ran and when
/// to retry.
#[tokio::test]
async fn outcome_is_not_run_when_all_servers_refuse() {
    let refused = refusing_backend("overloaded").await;
    let node = start_node(&[refused.address]).await;
    let response = send_order(&node).await;
    assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(response.headers()["retry-after"], eq("1"));
    assert_that!(
        support::read_error(response).await["outcome"],
        eq("not_run")
    );
    assert_that!(refused.count(), eq(1));
}

/// Guards against callers that wait past their deadline for a server that does not respond.
#[tokio::test]
async fn returns_an_error_at_the_deadline() {
    let hanging = Backend::start(|_| async {
        tokio::time::sleep(Duration::from_secs(20)).await;
        Response::new(body::empty())
    })
    .await;
    let node = start_node(&[hanging.address]).await;
    let request = node
        .request(Method::POST, "/orders")
        .header("x-request-timeout-ms", "200");
    let started = Instant::now();
    let response = node.send(request.body(body::empty()).unwrap()).await;
    assert_that!(started.elapsed(), lt(Duration::from_secs(2)));
    assert_that!(response.status(), eq(StatusCode::GATEWAY_TIMEOUT));
    assert_that!(
        support::read_error(response).await["outcome"],
        eq("unknown")
    );
}
