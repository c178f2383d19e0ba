//! Outcomes and retries as callers see them.

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

async fn whole() -> Backend {
    Backend::start(|request| async move {
        match request.path.starts_with("/orders") {
            true => Response::new(body::full("done")),
            false => support::engine_answer(&request, 4),
        }
    })
    .await
}

async fn refusing(state: &'static str) -> Backend {
    Backend::start(move |_| async move { support::refusal(state) }).await
}

/// Accepts connections, reads the request, answers with `answer` and closes.
async fn raw(answer: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

async fn node(addresses: &[std::net::SocketAddr]) -> Node {
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

async fn order(node: &Node) -> Response<Incoming> {
    let request = node.request(Method::POST, "/orders");
    node.send(request.body(body::full("two boxes")).unwrap())
        .await
}

/// Guards against requests that fail although another server could have run them.
#[tokio::test]
async fn repeats_what_did_not_run_even_when_not_idempotent() {
    let good = whole().await;
    let leaving = refusing("leaving").await;
    let overloaded = refusing("overloaded").await;
    let closed = support::closed_address().await;
    for bad in [closed, leaving.address, overloaded.address] {
        let node = node(&[bad, good.address]).await;
        for _ in 0..2 {
            assert_that!(order(&node).await.status(), eq(StatusCode::OK));
        }
    }
    assert_that!(good.count(), eq(6));
}

/// Guards against a non-idempotent request that runs twice after its response was lost.
#[tokio::test]
async fn does_not_repeat_a_non_idempotent_request_that_may_have_run() {
    let good = whole().await;
    let lost = raw("").await;
    let cut = raw("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    for (bad, code) in [(lost, "connection_lost"), (cut, "answer_cut")] {
        let node = node(&[bad, good.address]).await;
        let response = order(&node).await;
        assert_that!(response.status(), eq(StatusCode::BAD_GATEWAY));
        let error = support::error(response).await;
        assert_that!(error["code"], eq(code));
        assert_that!(error["outcome"], eq("unknown"));
        assert_that!(error["peer"], eq("service-server-0"));
    }
    assert_that!(good.count(), eq(0));
}

/// Guards against an idempotent request that fails with its first server.
#[tokio::test]
async fn repeats_an_idempotent_request_that_may_have_run() {
    let good = whole().await;
    let lost = raw("").await;
    let node = node(&[lost, good.address]).await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::OK));
    assert_that!(response.headers()["x-shallotroute-backend"], eq("server-1"));
}

/// Guards against a caller that gets an engine's 404 after a swap of weights failed partway there.
#[tokio::test]
async fn repeats_at_another_engine_what_one_without_the_model_refused() {
    let good = whole().await;
    let missing = raw("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;
    let node = node(&[missing, good.address]).await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::OK));
    assert_that!(response.headers()["x-shallotroute-backend"], eq("server-1"));
}

/// Guards against "not run" when an earlier attempt of the same request may have run.
#[tokio::test]
async fn an_earlier_attempt_that_may_have_run_counts() {
    let lost = raw("").await;
    let refused = refusing("overloaded").await;
    let node = node(&[lost, refused.address]).await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    let error = support::error(response).await;
    assert_that!(error["code"], eq("server_overloaded"));
    assert_that!(error["outcome"], eq("unknown"));
}

/// Guards against a refusal by all servers that hides that nothing ran and when to come again.
#[tokio::test]
async fn a_refusal_by_all_servers_is_not_run() {
    let refused = refusing("overloaded").await;
    let node = node(&[refused.address]).await;
    let response = order(&node).await;
    assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(response.headers()["retry-after"], eq("1"));
    assert_that!(support::error(response).await["outcome"], eq("not_run"));
    assert_that!(refused.count(), eq(1));
}

/// Guards against callers that wait past their deadline for a server that hangs.
#[tokio::test]
async fn gives_up_at_the_deadline() {
    let hanging = Backend::start(|_| async {
        tokio::time::sleep(Duration::from_secs(20)).await;
        Response::new(body::empty())
    })
    .await;
    let node = node(&[hanging.address]).await;
    let request = node
        .request(Method::POST, "/orders")
        .header("x-request-timeout-ms", "200");
    let started = Instant::now();
    let response = node.send(request.body(body::empty()).unwrap()).await;
    assert_that!(started.elapsed(), lt(Duration::from_secs(2)));
    assert_that!(response.status(), eq(StatusCode::GATEWAY_TIMEOUT));
    assert_that!(support::error(response).await["outcome"], eq("unknown"));
}
