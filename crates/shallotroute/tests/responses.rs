//! Responses of backend servers in trouble: late copies of earlier responses, and responses that end or continue
//! a stream wrongly.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_soak::scripted::{self, Bounds, Call, Desk, Request, Script, Step, response};

/// How long a server takes to run a request.
const WORK: Duration = Duration::from_millis(30);

async fn start(scripts: Vec<Script>) -> Desk {
    Desk::start(Path::new(env!("CARGO_BIN_EXE_shallotroute")), scripts)
        .await
        .expect("the stand-ins should start and the node should be ready")
}

/// Returns the response of a server that has run a request.
fn success(id: &str) -> Vec<u8> {
    let headers = [("x-request-id", id), ("x-server-stamp", "s.200")];
    response(200, &headers, &format!("answer to {id}"))
}

/// Returns the response of a server that has not run a request because it is full.
fn rejection(id: &str) -> Vec<u8> {
    response(503, &[("x-request-id", id), ("x-not-executed", "1")], "")
}

/// Returns a script that rejects the requests `full-*`. The first `faulty` servers send a rejection once more where
/// the next response on the connection is due, and count that in `copies`.
fn rejecting(faulty: usize, copies: Arc<AtomicUsize>) -> Script {
    // The identity of the request that was rejected last, by server and connection.
    let rejected: Mutex<BTreeMap<(usize, usize), String>> = Mutex::default();
    Arc::new(move |request: &Request| {
        let mut rejected = rejected.lock().expect("no holder of the lock panics");
        let connection = (request.server, request.connection);
        let id = request.id().to_owned();
        let mut steps = Vec::new();
        if let Some(earlier) = rejected.remove(&connection) {
            copies.fetch_add(1, Ordering::Relaxed);
            steps.push(Step::Write(rejection(&earlier)));
        }
        if id.starts_with("full") {
            steps.push(Step::Write(rejection(&id)));
            if request.server < faulty {
                rejected.insert(connection, id);
            }
        } else {
            steps.extend([Step::Wait(WORK), Step::Write(success(&id))]);
        }
        steps
    })
}

/// Sends requests below `prefix` to three servers, of which `faulty` repeat rejections. Returns the statuses of
/// those that no server has rejected, and how often each ran.
async fn send_among_copies(prefix: &str, faulty: usize) -> Vec<(StatusCode, usize)> {
    let copies = Arc::new(AtomicUsize::new(0));
    let script = rejecting(faulty, Arc::clone(&copies));
    let desk = start(vec![Arc::clone(&script), Arc::clone(&script), script]).await;
    let mut outcomes = Vec::new();
    for number in 0..6 {
        // Leaves a connection to each server on which a rejection was sent.
        let full = format!("full-{number}");
        desk.send(&format!("{prefix}{full}"), &full, &[]).await;
        // Longer than the back-off from servers that reject requests.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let id = format!("request-{number}");
        let answer = desk.send(&format!("{prefix}{id}"), &id, &[]).await;
        let requests = desk.requests();
        let runs = requests.iter().filter(|request| request.id() == id).count();
        if answer.status == Some(StatusCode::OK) {
            expect_that!(answer.body, eq(&format!("answer to {id}")));
        }
        outcomes.push((answer.status.unwrap_or_default(), runs));
    }
    expect_that!(copies.load(Ordering::Relaxed), ge(1));
    outcomes
}

/// Guards against a request that runs twice, or is refused as not run although it has run: a server's late copy of
/// its rejection of an earlier request on the connection says nothing about the next request.
#[gtest]
#[tokio::test]
async fn a_late_copy_of_a_rejection_does_not_count_for_the_next_request() {
    for (status, runs) in send_among_copies("/once/", 3).await {
        expect_that!(runs, eq(1));
        expect_that!(
            status,
            any!(eq(StatusCode::OK), eq(StatusCode::BAD_GATEWAY))
        );
    }
}

/// Guards against an idempotent request that fails because a server sent a late copy of another response.
#[gtest]
#[tokio::test]
async fn an_idempotent_request_is_served_in_spite_of_late_copies() {
    for (status, _) in send_among_copies("/again/", 1).await {
        expect_that!(status, eq(StatusCode::OK));
    }
}

/// Guards against an order that counts as carried out, so that a server keeps its old version, because of a late copy
/// of the response to an earlier request on the connection, or of a report.
#[gtest]
#[tokio::test]
async fn a_late_copy_does_not_count_as_the_response_to_an_order() {
    for copy in [success("ready"), scripted::report(1, 0)] {
        let orders = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&orders);
        let script = move |request: &Request| match request.target.as_str() {
            "/report" => {
                let accepted = accepted.load(Ordering::Relaxed);
                let version = 1 + accepted.min(1) as u64;
                vec![Step::Write(scripted::report(version, accepted as u64))]
            }
            // The response is lost together with the order.
            "/order" if request.number > 0 && request.connection == 0 => {
                vec![Step::Write(copy.clone()), Step::Wait(WORK), Step::Close]
            }
            "/order" => {
                accepted.fetch_add(1, Ordering::Relaxed);
                vec![Step::Write(response(202, &[], ""))]
            }
            _ => vec![Step::Write(success(request.id()))],
        };
        let desk = start(vec![Arc::new(script)]).await;
        desk.announce_version();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let requests = desk.requests();
        let is_copied = |request: &&Request| request.target == "/order" && request.connection == 0;
        expect_that!(requests.iter().filter(is_copied).count(), ge(1));
        expect_that!(orders.load(Ordering::Relaxed), eq(1));
    }
}

/// The number of events of a stream.
const EVENTS: u64 = 6;

/// The number of events after which a stream breaks off at its first server.
const FIRST_EVENTS: u64 = 3;

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn events(id: &str, count: u64) -> String {
    (1..=count).map(|number| event(id, number)).collect()
}

/// Returns the steps that send the events of a stream from `first` to `last`.
fn send_events(id: &str, first: u64, last: u64) -> Vec<Step> {
    let headers = [("x-request-id", id), ("x-server-stamp", "s.200")];
    let chunks = (first..=last).map(|number| Step::Write(scripted::chunk(&event(id, number))));
    std::iter::once(Step::Write(scripted::chunked(200, &headers)))
        .chain(chunks)
        .collect()
}

/// Requests a stream that breaks off after [`FIRST_EVENTS`]. The next `count` servers answer with `continuation`, and
/// others go on.
async fn request_stream(continuation: Vec<Step>, count: usize) -> scripted::Answer {
    let requests = AtomicUsize::new(0);
    let script: Script = Arc::new(move |request: &Request| {
        let id = request.id();
        if !request.target.starts_with("/streams/") {
            return vec![Step::Write(success(id))];
        }
        match requests.fetch_add(1, Ordering::Relaxed) {
            0 => {
                let mut steps = send_events(id, 1, FIRST_EVENTS);
                steps.extend([Step::Wait(WORK), Step::Close]);
                steps
            }
            number if number <= count => continuation.clone(),
            _ => {
                let mut steps = send_events(id, request.resume_after() + 1, EVENTS);
                steps.push(Step::Write(scripted::LAST_CHUNK.to_vec()));
                steps
            }
        }
    });
    let desk = start(vec![script.clone(), script.clone(), script]).await;
    desk.send("/streams/one", "one", &[]).await
}

/// Returns the response of a server that has no further event.
fn nothing_left() -> Vec<Step> {
    let own = [("x-request-id", "one"), ("x-server-stamp", "s")];
    vec![Step::Write(response(200, &own, ""))]
}

/// Returns responses that do not continue a stream.
fn wrong_continuations() -> Vec<Vec<Step>> {
    let own = [("x-request-id", "one"), ("x-server-stamp", "s")];
    let without_stamp = [("x-request-id", "one")];
    let redirect = [own[0], own[1], ("location", "/streams/two")];
    let mut responses: Vec<Vec<Step>> = [404, 410, 422, 429, 500, 502, 504]
        .into_iter()
        .map(|status| vec![Step::Write(response(status, &own, "server failed\n"))])
        .collect();
    responses.push(vec![Step::Write(response(302, &redirect, ""))]);
    responses.push(vec![Step::Write(response(206, &own, &event("one", 4)))]);
    responses.push(vec![Step::Write(response(
        200,
        &without_stamp,
        &event("one", 4),
    ))]);
    // Without a length, and ended with the connection.
    responses.push(vec![
        Step::Write(
            b"HTTP/1.1 500 scripted\r\nx-request-id: one\r\nx-server-stamp: s\r\n\r\nfailed"
                .to_vec(),
        ),
        Step::Close,
    ]);
    responses
}

/// Guards against a stream that ends as complete without its last events, or with the body of an error, because a
/// later server's response does not continue it: another server goes on.
#[gtest]
#[tokio::test]
async fn a_stream_goes_on_at_another_server_after_a_response_that_does_not_continue_it() {
    for continuation in wrong_continuations().into_iter().chain([nothing_left()]) {
        let answer = request_stream(continuation.clone(), 1).await;
        let expected = scripted::Answer {
            status: Some(StatusCode::OK),
            body: events("one", EVENTS),
            is_complete: true,
        };
        expect_that!(answer, eq(&expected), "{continuation:?}");
    }
}

/// Guards against a stream that looks complete although no server has continued it.
#[gtest]
#[tokio::test]
async fn a_stream_that_no_server_continues_does_not_look_complete() {
    for continuation in wrong_continuations() {
        let answer = request_stream(continuation.clone(), usize::MAX).await;
        expect_that!(answer.is_complete, eq(false), "{continuation:?}");
        expect_that!(
            answer.body,
            eq(&events("one", FIRST_EVENTS)),
            "{continuation:?}"
        );
    }
}

/// Guards against a stream that is broken off although its last event was sent: two servers agree that nothing is
/// left.
#[gtest]
#[tokio::test]
async fn a_stream_that_breaks_off_after_its_last_event_ends_when_two_servers_agree() {
    let answer = request_stream(nothing_left(), usize::MAX).await;
    expect_that!(answer.is_complete, eq(true));
    expect_that!(answer.body, eq(&events("one", FIRST_EVENTS)));
}

/// Guards against a stream that ends as complete without its last events because its caller has not read it until the
/// route's timeout.
#[gtest]
#[tokio::test]
async fn a_stream_that_its_caller_reads_too_slowly_does_not_look_complete() {
    // More than the buffers on the way hold.
    const EVENT_COUNT: u64 = 6000;
    let script: Script = Arc::new(|request: &Request| {
        let id = request.id();
        if !request.target.starts_with("/streams/") {
            return vec![Step::Write(success(id))];
        }
        let filler = "x".repeat(4 << 10);
        let headers = [("x-request-id", id), ("x-server-stamp", "s.200")];
        let events = (1..=EVENT_COUNT).map(|number| {
            let event = format!("id: {number}\ndata: {filler}\n\n");
            Step::Write(scripted::chunk(&event))
        });
        std::iter::once(Step::Write(scripted::chunked(200, &headers)))
            .chain(events)
            .chain([Step::Write(scripted::LAST_CHUNK.to_vec())])
            .collect()
    });
    let desk = start(vec![script]).await;
    let pause = scripted::CALLER_TIMEOUT + Duration::from_secs(1);
    let whole = desk.send("/streams/fast", "fast", &[]).await;
    let slow = desk.send_and_read_after("/streams/slow", "slow", &[], pause);
    let slow = slow.await;
    let count = |answer: &scripted::Answer| answer.body.matches("data: ").count() as u64;
    expect_that!((whole.is_complete, count(&whole)), eq((true, EVENT_COUNT)));
    expect_that!(slow.status, some(eq(StatusCode::OK)));
    expect_that!(count(&slow), lt(EVENT_COUNT));
    expect_that!(slow.is_complete, eq(false));
}

/// Runs a job of one item at two servers. The first attempt gets `first`, and a later one the item's event. Returns the text
/// of the result.
async fn run_item(first: Vec<Step>) -> Option<String> {
    let attempts = AtomicUsize::new(0);
    let script: Script = Arc::new(move |request: &Request| {
        let id = request.id();
        let is_item = request.target.starts_with("/jobs/");
        if is_item && attempts.fetch_add(1, Ordering::Relaxed) == 0 {
            return first.clone();
        }
        if !is_item {
            return vec![Step::Write(success(id))];
        }
        let own = [
            ("x-request-id", id),
            ("x-server-stamp", "s.200"),
            ("x-weight-versions", "1"),
        ];
        vec![Step::Write(response(200, &own, &event(id, 1)))]
    });
    let bounds = Bounds {
        nodes: 1,
        memory_mb: 256,
        descriptors: 1000,
        max_body_bytes: 1 << 20,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    let desk = Desk::start_bounded(program, vec![Arc::clone(&script), script], bounds)
        .await
        .expect("the stand-ins should start and the node should be ready");
    let call = |method, target, body| Call {
        node: 0,
        method,
        target,
        id: "job",
        headers: &[("x-max-wait", "1000")],
        body,
    };
    let job = scripted::job(&["one"], &json!({"X-Model": "scripted-model"}));
    let submitted = desk.call(call("POST", "/jobs/job", job)).await;
    expect_that!(submitted.status, some(eq(StatusCode::ACCEPTED)));
    for _ in 0..10 {
        let answer = desk
            .call(call("GET", "/lots/job?after=0", Vec::new()))
            .await;
        let page: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        if let Some(text) = page["results"][0]["text"].as_str() {
            return Some(text.to_owned());
        }
    }
    None
}

/// Guards against an item whose text is that of a response which is not the server's own: another attempt completes it.
#[gtest]
#[tokio::test]
async fn a_response_to_an_item_without_its_signature_is_no_answer() {
    let generated = ("x-weight-versions", "1");
    let own = [("x-request-id", "one"), ("x-server-stamp", "s"), generated];
    let without_stamp = [own[0], generated];
    let encoded = [own[0], own[1], generated, ("content-encoding", "gzip")];
    let wrong = event("wrong", 1);
    for first in [
        response(200, &without_stamp, &wrong),
        response(200, &without_stamp, ""),
        response(200, &encoded, &wrong),
        response(200, &[("x-request-id", "two"), own[1], generated], &wrong),
    ] {
        let head = String::from_utf8_lossy(&first).into_owned();
        let text = run_item(vec![Step::Write(first)]).await;
        expect_that!(text, some(eq("one 1")), "{head}");
    }
}
