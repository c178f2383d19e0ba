//! Tests that requests reach a backend server and responses the caller, and that invalid requests
//! are rejected without running.

mod support;

use googletest::prelude::*;
use http::{Method, StatusCode, header};
use shallotroute_config::set::Set;
use shallotroute_http::body;
use support::{Backend, MODEL, Node};

async fn start_node() -> (Node, Backend, Backend) {
    let engine =
        Backend::start(|request| async move { support::engine_response(&request, 4) }).await;
    let service = Backend::start(|request| async move {
        let text = format!("{} {}", request.method, request.path);
        let mut response = http::Response::new(body::full(text));
        *response.status_mut() = StatusCode::ACCEPTED;
        response
            .headers_mut()
            .insert("x-shelf", "7".parse().unwrap());
        response
    })
    .await;
    let engines = vec![support::server("engine-1", engine.address)];
    let services = vec![support::server("service-1", service.address)];
    let node = Node::start(Set::new(support::objects(engines, services))).await;
    (node, engine, service)
}

/// Guards against a gateway that changes or drops events, so that clients can't read the stream.
#[tokio::test]
async fn forwards_a_stream_unchanged() {
    let (node, engine, _service) = start_node().await;
    let response = node.completion(true).await;
    assert_that!(response.status(), eq(StatusCode::OK));
    assert_that!(
        response.headers()[header::CONTENT_TYPE],
        eq("text/event-stream")
    );
    assert_that!(response.headers()["x-shallotroute-node"], eq("node-1"));
    assert_that!(response.headers()["x-shallotroute-revision"], eq("1"));
    assert_that!(response.headers()["x-shallotroute-backend"], eq("engine-1"));
    let text = support::read_text(response).await;
    let sent = support::events(&engine.received()[0].id(), 4).concat();
    assert_that!(text, eq(&sent));
}

/// Guards against a gateway that changes a non-streaming response or sends the caller's key to the
/// backend server.
#[tokio::test]
async fn forwards_a_non_streaming_response_without_leaking_the_key() {
    let (node, engine, _service) = start_node().await;
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::OK));
    assert_that!(response.headers().contains_key("x-request-id"), eq(true));
    let text = support::read_text(response).await;
    assert_that!(text, contains_substring("leek"));
    let received = &engine.received()[0];
    assert_that!(
        received.headers.contains_key(header::AUTHORIZATION),
        eq(false)
    );
    assert_that!(received.headers["x-priority"], eq("0"));
    assert_that!(
        received.headers.contains_key("x-request-timeout-ms"),
        eq(true)
    );
}

/// Guards against requests to services whose method, path, query, status or headers get lost.
#[tokio::test]
async fn forwards_any_method_and_path_to_a_service() {
    let (node, _engine, _service) = start_node().await;
    for method in [Method::GET, Method::PUT, Method::DELETE, Method::PATCH] {
        let request = node.request(method.clone(), "/orders/7?urgent=1");
        let response = node.send(request.body(body::empty()).unwrap()).await;
        assert_that!(response.status(), eq(StatusCode::ACCEPTED));
        assert_that!(response.headers()["x-shelf"], eq("7"));
        let text = support::read_text(response).await;
        assert_that!(text, eq(&format!("{method} /orders/7?urgent=1")));
    }
}

/// Guards against a `HEAD` response whose content length gets lost because it has no body.
#[tokio::test]
async fn forwards_the_content_length_of_a_head_response() {
    let (node, _engine, _service) = start_node().await;
    let request = node.request(Method::HEAD, "/orders/7");
    let response = node.send(request.body(body::empty()).unwrap()).await;
    assert_that!(response.headers()[header::CONTENT_LENGTH], eq("14"));
}

/// Guards against failures of clients that list the models before their first request.
#[tokio::test]
async fn lists_the_models() {
    let (node, _engine, _service) = start_node().await;
    let text = support::read_text(node.get("/v1/models").await).await;
    assert_that!(text, contains_substring(format!(r#""id":"{MODEL}""#)));
    let one = node.get(&format!("/v1/models/{MODEL}")).await;
    assert_that!(one.status(), eq(StatusCode::OK));
    let none = node.get("/v1/models/absent").await;
    assert_that!(none.status(), eq(StatusCode::NOT_FOUND));
}

/// Guards against invalid requests that reach a backend server, or whose error does not tell the
/// reason.
#[tokio::test]
async fn rejects_invalid_requests_without_running_them() {
    let (node, engine, service) = start_node().await;
    let completion = |text: String| {
        let request = node.request(Method::POST, "/v1/chat/completions");
        request.body(body::full(text)).unwrap()
    };
    let mut wrong_key = completion("{}".into());
    let value = "Bearer other".parse().unwrap();
    wrong_key.headers_mut().insert(header::AUTHORIZATION, value);
    let mut bad_timeout = completion(format!(r#"{{"model":"{MODEL}"}}"#));
    let value = "soon".parse().unwrap();
    bad_timeout
        .headers_mut()
        .insert("x-request-timeout-ms", value);
    let unrouted = node.request(Method::GET, "/elsewhere").body(body::empty());
    let cases = [
        (wrong_key, 401, "invalid_api_key"),
        (completion("{\"model\":".into()), 400, "malformed_body"),
        (
            completion(r#"{"model":"absent"}"#.into()),
            404,
            "model_not_found",
        ),
        (completion(" ".repeat((4 << 20) + 1)), 413, "body_too_large"),
        (bad_timeout, 400, "malformed_timeout"),
        (unrouted.unwrap(), 404, "no_route"),
    ];
    for (request, status, code) in cases {
        let response = node.send(request).await;
        assert_that!(response.status().as_u16(), eq(status));
        let error = support::read_error(response).await;
        assert_that!(error["code"], eq(code));
        assert_that!(error["outcome"], eq("not_run"));
        assert_that!(error["request_id"].as_str().unwrap().len(), eq(36));
    }
    assert_that!(engine.count() + service.count(), eq(0));
}

/// Guards against a node that accepts requests without a confirmed configuration.
#[tokio::test]
async fn rejects_requests_while_not_ready() {
    let (node, engine, _service) = start_node().await;
    node.confirmed.send_replace(false);
    let response = node.completion(false).await;
    assert_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(
        response.headers().contains_key(header::RETRY_AFTER),
        eq(true)
    );
    let error = support::read_error(response).await;
    assert_that!(error["code"], eq("not_ready"));
    assert_that!(error["outcome"], eq("not_run"));
    assert_that!(engine.count(), eq(0));
}
