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
use shallotroute_soak::scripted::{self, Desk, Request, Script, Step, response};

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
