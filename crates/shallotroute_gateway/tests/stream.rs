//! Tests engines' responses that break off, belong to another request, or arrive reordered or late.

mod support;

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use googletest::prelude::*;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use shallotroute_config::set::Set;
use shallotroute_http::body::{self, Body};
use support::{Backend, Node, ReceivedRequest};
use tokio::sync::Notify;

async fn good_engine() -> Backend {
    Backend::start(|request| async move { support::engine_response(&request, 4) }).await
}

async fn start_node(engines: &[&Backend]) -> Node {
    let servers = engines.iter().enumerate();
    let servers = servers
        .map(|(index, engine)| support::server(&format!("engine-{index}"), engine.address))
        .collect();
    Node::start(Set::new(support::objects(servers, Vec::new()))).await
}

fn foreign(request: &ReceivedRequest) -> Response<Body> {
    support::streaming_response(&request.id(), support::events("another.1", 4), false)
}

fn wrong_header(request: &ReceivedRequest) -> Response<Body> {
    support::streaming_response("another.1", support::events(&request.id(), 4), false)
}

fn cut_at_start(request: &ReceivedRequest) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.truncate(1);
    events[0].truncate(20);
    support::streaming_response(&request.id(), events, true)
}

fn reordered_start(request: &ReceivedRequest) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.swap(0, 1);
    support::streaming_response(&request.id(), events, false)
}

/// Guards against a caller that receives a broken stream although none of it was sent yet, so that
/// a retry could replace it.
#[tokio::test]
async fn retries_a_stream_that_fails_before_its_first_event() {
    for bad in [foreign, wrong_header, cut_at_start, reordered_start] {
        let broken = Backend::start(move |request| async move { bad(&request) }).await;
        let good = good_engine().await;
        let node = start_node(&[&broken, &good]).await;
        let response = node.completion(true).await;
        assert_that!(response.status(), eq(StatusCode::OK));
        assert_that!(response.headers()["x-shallotroute-backend"], eq("engine-1"));
        let sent = support::events(&good.received()[0].id(), 4).concat();
        assert_that!(support::read_text(response).await, eq(&sent));
        assert_that!(broken.count(), eq(1));
    }
}

fn cut_later(request: &ReceivedRequest) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.truncate(2);
    support::streaming_response(&request.id(), events, true)
}

fn no_marker(request: &ReceivedRequest) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.pop();
    support::streaming_response(&request.id(), events, false)
}

fn lost_event(request: &ReceivedRequest) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events.remove(2);
    support::streaming_response(&request.id(), events, false)
}

fn foreign_event(request: &ReceivedRequest) -> Response<Body> {
    let mut events = support::events(&request.id(), 4);
    events[2] = support::events("another.1", 4)[2].clone();
    support::streaming_response(&request.id(), events, false)
}

/// Holds a response back after its first event until `release` is notified.
fn hold_after_first_event(response: Response<Body>, release: Arc<Notify>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let chunks = body.into_data_stream().enumerate();
    let chunks = chunks.then(move |(index, chunk)| {
        let release = Arc::clone(&release);
        async move {
            if index == 1 {
                release.notified().await;
            }
            chunk
        }
    });
    Response::from_parts(parts, body::stream(chunks))
}

/// Guards against a broken stream that looks complete to the caller, or that is retried after a
/// part of it was sent.
#[tokio::test]
async fn sends_an_error_event_when_a_stream_fails_after_its_first_event() {
    for bad in [cut_later, no_marker, lost_event, foreign_event] {
        let release = Arc::new(Notify::new());
        let held_until = Arc::clone(&release);
        let broken = Backend::start(move |request| {
            let response = hold_after_first_event(bad(&request), Arc::clone(&held_until));
            async move { response }
        });
        let broken = broken.await;
        let good = good_engine().await;
        let node = start_node(&[&broken, &good]).await;
        let mut response = node.completion(true).await;
        let first = response.frame().await.unwrap().unwrap();
        let first = first.into_data().unwrap();
        release.notify_one();
        let text = support::read_text(response).await;
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

/// Guards against a stream that is not retried although none of it was sent to the caller: its
/// fault is in the same chunk as its first event.
#[tokio::test]
async fn retries_a_stream_that_fails_together_with_its_first_event() {
    let broken = Backend::start(|request| async move {
        let mut events = support::events(&request.id(), 4);
        events.remove(2);
        support::streaming_response(&request.id(), vec![events.concat()], false)
    })
    .await;
    let good = good_engine().await;
    let node = start_node(&[&broken, &good]).await;
    let text = support::read_text(node.completion(true).await).await;
    assert_that!(
        text,
        eq(&support::events(&good.received()[0].id(), 4).concat())
    );
}

/// Guards against a caller that receives a non-streaming response that broke off or belongs to
/// another request.
#[tokio::test]
async fn retries_a_non_streaming_response_that_fails_validation() {
    let broken = Backend::start(|request| async move {
        let text = r#"{"id":"another.1","choices":[{"index":0,"finish_reason":"stop"}]}"#;
        let mut response = Response::new(body::full(text));
        let id = request.id().parse().unwrap();
        response.headers_mut().insert("x-request-id", id);
        response
    })
    .await;
    let good = good_engine().await;
    let node = start_node(&[&broken, &good]).await;
    let text = support::read_text(node.completion(false).await).await;
    assert_that!(text, contains_substring("leek"));
    assert_that!((broken.count(), good.count()), eq((1, 1)));
}

/// Guards against buffering: the first event must arrive while the engine is still generating.
#[tokio::test]
async fn forwards_events_as_they_arrive() {
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
    let node = start_node(&[&slow]).await;
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
    let first = first.expect("the first event should be forwarded at once");
    assert_that!(
        String::from_utf8_lossy(&first),
        contains_substring("\"start\":0")
    );
}
