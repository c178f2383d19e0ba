//! Responses that a backend server repeats late, after the next attempt of the same request has come in on the connection.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use googletest::prelude::*;
use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_soak::scripted::{self, Bounds, Call, Desk, Request, Script, Step, response};

const BINARY: &str = env!("CARGO_BIN_EXE_shallotroute");

const BOUNDS: Bounds = Bounds {
    nodes: 1,
    memory_mb: 256,
    descriptors: 1000,
    max_body_bytes: 1 << 20,
};

/// Returns the script of a server that sends the response to an attempt once more where that to the next attempt of the
/// request is due, if both come on one connection. It repeats no reports. `respond` gets the number of earlier runs of the
/// request; those without an identity count by their targets.
fn repeating(
    respond: impl Fn(&Request, usize) -> Vec<u8> + Send + Sync + 'static,
) -> (Script, Arc<Mutex<BTreeMap<String, usize>>>) {
    let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let counted = Arc::clone(&runs);
    let sent: Mutex<BTreeMap<(usize, usize, String), Vec<u8>>> = Mutex::default();
    let script = move |request: &Request| {
        let key = match request.id() {
            "" => request.target.clone(),
            id => id.to_owned(),
        };
        let earlier = {
            let mut runs = runs.lock().expect("no holder of the lock panics");
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count - 1
        };
        let own = respond(request, earlier);
        let connection = (request.server, request.connection, key);
        let mut sent = sent.lock().expect("no holder of the lock panics");
        let copy = match request.target.as_str() {
            "/report" => None,
            _ => sent.insert(connection, own.clone()),
        };
        copy.into_iter()
            .chain([own])
            .map(Step::Write)
            .collect::<Vec<Step>>()
    };
    (Arc::new(script), counted)
}

/// Returns a response whose body and signature tell the run.
fn answer(request: &Request, status: u16, run: usize) -> Vec<u8> {
    let stamp = format!("s.{run}");
    let headers = [
        ("x-request-id", request.id()),
        ("x-server-stamp", &stamp),
        ("x-weight-versions", "1"),
    ];
    let body = match request.target.starts_with("/jobs/") || request.target.starts_with("/streams/")
    {
        true => format!("id: 1\ndata: run {run}\n\n"),
        false => format!("run {run}"),
    };
    response(status, &headers, &body)
}

/// Runs a job of one item at a server that fails the requests with the identity `failing` at all runs but the second one.
/// Returns the result, and how often the request ran.
async fn run_job(failing: &'static str) -> (Value, usize) {
    let (script, runs) = repeating(move |request, run| {
        let status = match (request.id() == failing, run) {
            (true, 1) | (false, _) => 200,
            (true, _) => 500,
        };
        answer(request, status, run)
    });
    let desk = Desk::start_bounded(Path::new(BINARY), vec![script], BOUNDS)
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
    let mut result = Value::Null;
    for _ in 0..10 {
        let page = desk
            .call(call("GET", "/lots/job?after=0", Vec::new()))
            .await;
        let page: Value = serde_json::from_str(&page.body).unwrap_or_default();
        result = page["results"][0].clone();
        if !result.is_null() {
            break;
        }
    }
    let runs = runs.lock().expect("no holder of the lock panics");
    (result, runs.get(failing).copied().unwrap_or_default())
}

/// Guards against an item that is abandoned because a copy of its scorer's first error counts as a second one (review
/// case 11).
#[gtest]
#[tokio::test]
async fn a_copy_of_a_scorers_error_does_not_count_for_the_next_attempt() {
    let (result, runs) = run_job("one-score").await;
    expect_that!(result["state"], eq(&json!("completed")), "{result}");
    expect_that!(result["score"], eq(&json!("s.1")), "{result}");
    expect_that!(runs, eq(2));
}

/// Guards against an item that is abandoned because a copy of a server's first error counts as a second one.
#[gtest]
#[tokio::test]
async fn a_copy_of_an_items_error_does_not_count_for_the_next_attempt() {
    let (result, runs) = run_job("one").await;
    expect_that!(result["state"], eq(&json!("completed")), "{result}");
    expect_that!(result["text"], eq(&json!("run 1")), "{result}");
    expect_that!(runs, eq(2));
}

/// Sends a request to a node three times under one identity. Returns the bodies.
async fn send_again(desk: &Desk, target: &str) -> Vec<String> {
    let mut bodies = Vec::new();
    for _ in 0..3 {
        bodies.push(desk.send(target, "same", &[]).await.body);
    }
    bodies
}

/// Guards against a response to an earlier request for one that has the same identity.
#[gtest]
#[tokio::test]
async fn a_copy_does_not_count_for_a_request_with_the_same_identity() {
    for prefix in ["/once/", "/again/"] {
        let (script, _) = repeating(|request, run| answer(request, 200, run));
        let desk = Desk::start(Path::new(BINARY), vec![script])
            .await
            .expect("the stand-ins should start and the node should be ready");
        let bodies = send_again(&desk, &format!("{prefix}same")).await;
        expect_that!(bodies, elements_are![eq("run 0"), eq("run 1"), eq("run 2")]);
    }
}

/// Guards against a stream that consists of the events of an earlier one with the same identity.
#[gtest]
#[tokio::test]
async fn a_copy_of_a_stream_does_not_count_for_one_with_the_same_identity() {
    let (script, _) = repeating(|request, run| answer(request, 200, run));
    let desk = Desk::start(Path::new(BINARY), vec![script])
        .await
        .expect("the stand-ins should start and the node should be ready");
    let bodies = send_again(&desk, "/streams/same").await;
    let event = |run| format!("id: 1\ndata: run {run}\n\n");
    expect_that!(bodies, eq(&vec![event(0), event(1), event(2)]));
}

/// Guards against the same at a node that passes requests on for another one, over its own connections.
#[gtest]
#[tokio::test]
async fn a_copy_does_not_count_for_a_relayed_request_with_the_same_identity() {
    let (script, _) = repeating(|request, run| answer(request, 200, run));
    let desk = Desk::start_with(Path::new(BINARY), vec![script], 2, Some(json!([])))
        .await
        .expect("the stand-ins should start and the nodes should be ready");
    desk.await_relays(0)
        .await
        .expect("the other node should pass requests on");
    let bodies = send_again(&desk, "/open/same").await;
    expect_that!(bodies, elements_are![eq("run 0"), eq("run 1"), eq("run 2")]);
}

/// Guards against a leader that steps down again because a copy of the rejection of its former order counts for the next
/// one.
#[gtest]
#[tokio::test]
async fn a_copy_of_the_response_to_an_order_does_not_count_for_the_next_order() {
    let accepted = AtomicU64::new(0);
    let (script, runs) = repeating(move |request, run| match request.target.as_str() {
        "/report" => {
            let accepted = accepted.load(Ordering::Relaxed);
            scripted::report(1 + accepted.min(1), accepted)
        }
        // The server has seen a higher fencing number than that of the first order.
        "/order" if run == 0 => response(412, &[], ""),
        "/order" => {
            accepted.fetch_add(1, Ordering::Relaxed);
            response(202, &[], "")
        }
        _ => answer(request, 200, run),
    });
    let desk = Desk::start(Path::new(BINARY), vec![script])
        .await
        .expect("the stand-ins should start and the node should be ready");
    desk.announce_version();
    let deadline = Instant::now() + Duration::from_secs(15);
    let count = || {
        let runs = runs.lock().expect("no holder of the lock panics");
        runs.get("/order").copied().unwrap_or_default()
    };
    while count() < 2 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let log = desk.log();
    let replies = |name: &str| log.matches(&format!("\"reply\":\"{name}\"")).count();
    expect_that!((replies("fenced"), replies("accepted")), eq((1, 1)));
}
