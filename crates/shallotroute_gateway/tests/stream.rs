//! Engines' responses that are cut, foreign, reordered or late.

mod support;

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use googletest::prelude::*;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use shallotroute_config::set::Set;
use shallotroute_http::body::{self, Body};
use support::{Backend, Node, Received};
use tokio::sync::Notify;

async fn good() -> Backend {
    Backend::start(|request| async move { support::engine_answer(&request, 4) }).await
}

async fn node(engines: &[&Backend]) -> Node {
    let servers = engines.iter().enumerate();
    let servers = servers
        .map(|(index, engine)| support::server(&format!("engine-{index}"), engine.address))
        .collect();
    Node::start(Set::new(support::objects(servers, Vec::new()))).await
}

fn foreign(request: &Received) -> Response<Body> {
    support::streamed(&request.id(), support::events("another.1", 4), false)
}

fn wrong_header(request: &Received) -> Response<Body> {
    support::streamed("another.1", support::events(&request.id(), 4), false)
}

fn cut_at_start(request: &Received) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.truncate(1);
    events[0].truncate(20);
    support::streamed(&request.id(), events, true)
}

fn reordered_start(request: &Received) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.swap(0, 1);
    support::streamed(&request.id(), events, false)
}

/// Guards against a broken stream that reaches the caller although it could be replaced.
#[tokio::test]
async fn restarts_a_stream_that_is_broken_before_its_first_event() {
    for bad in [foreign, wrong_header, cut_at_start, reordered_start] {
        let broken = Backend::start(move |request| async move { bad(&request) }).await;
        let good = good().await;
        let node = node(&[&broken, &good]).await;
        let response = node.completion(true).await;
        assert_that!(response.status(), eq(StatusCode::OK));
        assert_that!(response.headers()["x-shallotroute-backend"], eq("engine-1"));
        let sent = support::events(&good.received()[0].id(), 4).concat();
        assert_that!(support::text(response).await, eq(&sent));
        assert_that!(broken.count(), eq(1));
    }
}

fn cut_later(request: &Received) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.truncate(2);
    support::streamed(&request.id(), events, true)
}

fn no_marker(request: &Received) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.pop();
    support::streamed(&request.id(), events, false)
}

fn lost_event(request: &Received) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.remove(2);
    support::streamed(&request.id(), events, false)
}

fn foreign_event(request: &Received) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events[2] = support::events("another.1", 4)[2].clone();
    support::streamed(&request.id(), events, false)
}

/// Holds a response back after its first event until `go` is notified.
fn held(response: Response<Body>, go: Arc<Notify>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let chunks = body.into_data_stream().enumerate();
    let chunks = chunks.then(move |(index, chunk)| {
        let go = Arc::clone(&go);
        async move {
            if index == 1 {
                go.notified().await;
            }
            chunk
        }
    });
    Response::from_parts(parts, body::stream(chunks))
}

/// Guards against a broken stream that looks whole to the caller or is restarted in its middle.
#[tokio::test]
async fn tells_the_caller_that_a_stream_broke_off() {
    for bad in [cut_later, no_marker, lost_event, foreign_event] {
        let go = Arc::new(Notify::new());
        let gate = Arc::clone(&go);
        let broken = Backend::start(move |request| {
            let response = held(bad(&request), Arc::clone(&gate));
            async move { response }
        });
        let broken = broken.await;
        let good = good().await;
        let node = node(&[&broken, &good]).await;
        let mut response = node.completion(true).await;
        let first = response.frame().await.unwrap().unwrap();
        let first = first.into_data().unwrap();
        go.notify_one();
        let text = support::text(response).await;
        let events: Vec<&str> = text.split_terminator("\n\n").collect();
        let last = events.last().unwrap().strip_prefix("data: ").unwrap();
        let error: serde_json::Value = serde_json::from_str(last).unwrap();
        assert_that!(error["error"]["code"], eq("answer_cut"));
        assert_that!(error["error"]["outcome"], eq("unknown"));
        assert_that!(text.contains("[DONE]"), eq(false));
        assert_that!(first.starts_with(b"data: {"), eq(true));
        assert_that!(good.count(), eq(0));
    }
}

/// Guards against a stream that is given up although nothing of it went to the caller.
#[tokio::test]
async fn restarts_a_stream_whose_fault_comes_with_its_first_event() {
    let broken = Backend::start(|request| async move {
        let mut events = support::events(&request.id(), 4);
        events.remove(2);
        support::streamed(&request.id(), vec![events.concat()], false)
    })
    .await;
    let good = good().await;
    let node = node(&[&broken, &good]).await;
    let text = support::text(node.completion(true).await).await;
    assert_that!(
        text,
        eq(&support::events(&good.received()[0].id(), 4).concat())
    );
}

/// Guards against a non-streaming response of another request or a cut one.
#[tokio::test]
async fn replaces_a_broken_whole_response() {
    let broken = Backend::start(|request| async move {
        let text = r#"{"id":"another.1","choices":[{"index":0,"finish_reason":"stop"}]}"#;
        let mut response = Response::new(body::full(text));
        let id = request.id().parse().unwrap();
        response.headers_mut().insert("x-request-id", id);
        response
    })
    .await;
    let good = good().await;
    let node = node(&[&broken, &good]).await;
    let text = support::text(node.completion(false).await).await;
    assert_that!(text, contains_substring("leek"));
    assert_that!((broken.count(), good.count()), eq((1, 1)));
}

/// Guards against buffering: the first event has to arrive while the engine still generates.
#[tokio::test]
async fn passes_events_on_as_they_arrive() {
    let slow = Backend::start(|request| async move {
        let id = request.id();
        let events = futures::stream::iter(support::events(&id, 4));
        let events = events.then(|event| async move {
            if event.contains("\"start\":1") {
                tokio::time::sleep(Duration::from_secs(20)).await;
            }
            Ok(event.into())
        });
        let mut response = Response::new(body::stream(events));
        response
            .headers_mut()
            .insert("x-request-id", id.parse().unwrap());
        response
    })
    .await;
    let node = node(&[&slow]).await;
    let first = async {
        let mut response = node.completion(true).await;
        response
            .frame()
            .await
            .unwrap()
            .unwrap()
            .into_data()
            .unwrap()
    };
    let first = tokio::time::timeout(Duration::from_secs(5), first).await;
    let first = first.expect("the first event should pass on at once");
    assert_that!(
        String::from_utf8_lossy(&first),
        contains_substring("\"start\":0")
    );
}
