//! Streams with large events and pages of results that their callers do not read.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use http::StatusCode;
use serde_json::json;
use shallotroute_soak::scripted::{self, Bounds, Call, Desk, Request, Script, Step, response};

use crate::{
    crowd,
    desk::{self, BOUND},
    run_alone,
};

/// The size of an event; the largest one that a server may send has 256 KiB.
const EVENT_BYTES: usize = 64 << 10;

/// The number of events of a stream, 16 MB together.
const EVENTS: usize = 256;

/// The number of streams that nobody reads.
const STREAMS: usize = 64;

/// The number of events of an item, whose result of 768 KiB is on a page of its own.
const ITEM_EVENTS: usize = 12;

/// The number of connections on which nobody reads pages, and the number of requests for the page on each.
const PAGE_READERS: (usize, usize) = (64, 4);

/// How long the job may take.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the servers have to send what the node takes.
const SENDING_TIME: Duration = Duration::from_secs(3);

/// Starts a node before two servers that answer requests for streams with large events.
async fn start() -> Desk {
    let data = "x".repeat(EVENT_BYTES);
    let events: Vec<Step> = (1..=EVENTS)
        .map(|number| Step::Write(scripted::chunk(&format!("id: {number}\ndata: {data}\n\n"))))
        .chain([Step::Write(scripted::LAST_CHUNK.to_vec())])
        .collect();
    let script: Script = Arc::new(move |request: &Request| {
        let headers = [("x-request-id", request.id()), ("x-server-stamp", "s")];
        if request.target.starts_with("/jobs/") {
            let mut headers = headers.to_vec();
            headers.push(("x-weight-versions", "1"));
            let mut steps = vec![Step::Write(scripted::chunked(200, &headers))];
            steps.extend(events.iter().take(ITEM_EVENTS).cloned());
            steps.push(Step::Write(scripted::LAST_CHUNK.to_vec()));
            return steps;
        }
        if request.target.starts_with("/streams/") {
            let mut steps = vec![Step::Write(scripted::chunked(200, &headers))];
            steps.extend(events.iter().cloned());
            return steps;
        }
        vec![Step::Write(match request.target.as_str() {
            "/report" => scripted::report(1, 0),
            "/order" => response(409, &[], ""),
            _ => response(200, &headers, "whole"),
        })]
    });
    let bounds = Bounds {
        nodes: 1,
        memory_mb: BOUND.memory_mb,
        descriptors: BOUND.descriptors,
        max_body_bytes: 1 << 20,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    Desk::start_bounded(program, vec![Arc::clone(&script), script], bounds)
        .await
        .expect("the stand-ins should start and the node should be ready")
}

/// Guards against memory that grows with the events that wait for callers that do not read their streams.
#[gtest]
#[tokio::test]
async fn streams_that_nobody_reads() {
    let _alone = run_alone().await;
    let desk = start().await;
    let watch = desk::watch(&desk);
    let request =
        "GET /streams/unread HTTP/1.1\r\nhost: desk.example\r\nx-request-id: unread\r\n\r\n";
    let crowd = crowd::write(desk.node(0).callers, STREAMS, request.as_bytes().to_vec()).await;
    tokio::time::sleep(SENDING_TIME).await;
    desk::expect_ordinary_answer(&desk, "streams, unread").await;
    watch.expect_within(BOUND, "streams, unread");
    drop(crowd);
    desk::expect_ordinary_answer(&desk, "streams, unread").await;
    expect_that!(desk.errors(), not(contains_substring("panicked")));
}

/// Guards against memory that grows with the pages of results that wait for clients that do not read them.
#[gtest]
#[tokio::test]
async fn pages_that_nobody_reads() {
    let _alone = run_alone().await;
    let desk = start().await;
    let watch = desk::watch(&desk);
    let call = |method, target, body| Call {
        node: 0,
        method,
        target,
        id: "job",
        headers: &[],
        body,
    };
    let job = scripted::job(&["one"], &json!({"X-Model": "scripted-model"}));
    let submitted = desk.call(call("POST", "/jobs/job", job)).await;
    expect_that!(submitted.status, some(eq(StatusCode::ACCEPTED)));
    let began = Instant::now();
    loop {
        let page = desk
            .call(call("GET", "/lots/job?after=0", Vec::new()))
            .await;
        if page.body.len() > ITEM_EVENTS * EVENT_BYTES {
            break;
        }
        assert_that!(began.elapsed(), lt(JOB_TIMEOUT));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let request = "GET /lots/job?after=0 HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    let (connections, requests) = PAGE_READERS;
    let bytes = request.repeat(requests).into_bytes();
    let crowd = crowd::write(desk.node(0).callers, connections, bytes).await;
    desk::expect_ordinary_answer(&desk, "pages, unread").await;
    watch.expect_within(BOUND, "pages, unread");
    drop(crowd);
    expect_that!(desk.errors(), not(contains_substring("panicked")));
}
