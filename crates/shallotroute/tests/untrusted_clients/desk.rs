//! The ingress of a node on the users' platform, and its port for other nodes.

use std::{path::Path, sync::Arc, time::Duration};

use googletest::prelude::*;
use http::StatusCode;
use shallotroute_soak::scripted::{self, Bounds, Desk, Request, Script, Step, response};

use crate::{
    crowd::{self, Crowd, Delivery, Framing, Upload},
    run_alone,
    watch::{Bound, Watch},
};

/// What the node may use in these tests, and has to stay within.
pub(crate) const BOUND: Bound = Bound {
    memory_mb: 96,
    descriptors: 400,
};

/// The size of a body, which is the largest that the configuration allows.
pub(crate) const BODY_BYTES: usize = 4 << 20;

/// The number of connections with such bodies, some 256 MB together.
pub(crate) const UPLOADS: usize = 64;

/// The size of a response that nobody reads.
const RESPONSE_BYTES: usize = 2 << 20;

/// How long an ordinary request is tried again; the tests check no times.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// Starts a node before two servers that answer each request, those below `large` with a large response.
async fn start() -> Desk {
    let large = Arc::new("x".repeat(RESPONSE_BYTES));
    let script: Script = Arc::new(move |request: &Request| {
        let headers = [("x-request-id", request.id()), ("x-server-stamp", "s")];
        let body = match request.target.contains("large") {
            true => large.as_str(),
            false => "whole",
        };
        vec![Step::Write(match request.target.as_str() {
            "/report" => scripted::report(1, 0),
            "/order" => response(409, &[], ""),
            _ => response(200, &headers, body),
        })]
    });
    let bounds = Bounds {
        nodes: 1,
        memory_mb: BOUND.memory_mb,
        descriptors: BOUND.descriptors,
        max_body_bytes: BODY_BYTES,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    Desk::start_bounded(program, vec![Arc::clone(&script), script], bounds)
        .await
        .expect("the stand-ins should start and the node should be ready")
}

pub(crate) fn watch(desk: &Desk) -> Watch {
    let node = desk.node(0);
    Watch::start(
        node.pid,
        vec![
            node.callers.port(),
            node.peers.port(),
            node.readiness.port(),
            node.metrics.port(),
        ],
    )
}

/// Sends an ordinary request until it is answered.
pub(crate) async fn expect_ordinary_answer(desk: &Desk, case: &str) {
    let mut last = None;
    let trying = async {
        for number in 0.. {
            let id = format!("ordinary-{number}");
            let answer = desk.send(&format!("/again/{id}"), &id, &[]).await;
            if answer.status == Some(StatusCode::OK) && answer.is_complete {
                return;
            }
            last = Some(answer);
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, trying).await;
    expect_that!(answered.is_ok(), eq(true), "{case}: {last:?}");
}

/// Lets a crowd act on a node, and checks the node during it, and that an ordinary request is answered while the crowd's
/// connections are still open.
pub(crate) async fn expect_withstood(case: &str, act: impl AsyncFnOnce(&Desk) -> Crowd) {
    let _alone = run_alone().await;
    let desk = start().await;
    let watch = watch(&desk);
    let crowd = act(&desk).await;
    expect_ordinary_answer(&desk, case).await;
    watch.expect_within(BOUND, case);
    drop(crowd);
    expect_ordinary_answer(&desk, case).await;
    expect_that!(desk.errors(), not(contains_substring("panicked")));
}

/// Lets a crowd send bodies to routes that are served by the scripted servers.
async fn expect_bodies_withstood(case: &str, framing: Framing, delivery: Delivery) {
    expect_withstood(case, async |desk| {
        let body: Arc<[u8]> = Arc::from(vec![b'b'; BODY_BYTES]);
        crowd::upload(desk.node(0).callers, UPLOADS, |number| Upload {
            head: format!(
                "POST /once/crowd-{number} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: crowd-{number}\r\n"
            ),
            body: Arc::clone(&body),
            framing,
            delivery,
        })
        .await
    })
    .await;
}

/// Guards against memory that grows with the number of bodies that stop short of their end.
#[gtest]
#[tokio::test]
async fn bodies_that_stop_short() {
    expect_bodies_withstood("desk, length, short", Framing::Length, Delivery::Short).await;
    expect_bodies_withstood("desk, chunked, short", Framing::Chunked, Delivery::Short).await;
}

/// Guards against memory that grows with bodies that arrive in pieces.
#[gtest]
#[tokio::test]
async fn bodies_in_pieces() {
    let delivery = Delivery::ShortInPieces;
    expect_bodies_withstood("desk, length, pieces", Framing::Length, delivery).await;
    expect_bodies_withstood("desk, chunked, pieces", Framing::Chunked, delivery).await;
}

/// Guards against memory that grows with the number of complete bodies at the same time.
#[gtest]
#[tokio::test]
async fn whole_bodies_at_once() {
    expect_bodies_withstood("desk, length, whole", Framing::Length, Delivery::Whole).await;
    expect_bodies_withstood("desk, chunked, whole", Framing::Chunked, Delivery::Whole).await;
}

/// Guards against heads that never end: their memory and their connections.
#[gtest]
#[tokio::test]
async fn heads_without_end() {
    expect_withstood("desk, heads", async |desk| {
        let line = format!("x-filler: {}\r\n", "f".repeat(1000));
        let head = format!(
            "GET /again/h HTTP/1.1\r\nhost: desk.example\r\n{}",
            line.repeat(15)
        );
        crowd::write(desk.node(0).callers, 500, head.into_bytes()).await
    })
    .await;
}

/// Guards against connections without a byte that take all file descriptors.
#[gtest]
#[tokio::test]
async fn silent_connections() {
    expect_withstood("desk, silent", async |desk| {
        crowd::write(desk.node(0).callers, 600, Vec::new()).await
    })
    .await;
}

/// Guards against silent connections at the port for other nodes.
#[gtest]
#[tokio::test]
async fn silent_connections_of_nodes() {
    expect_withstood("desk, silent at the port for nodes", async |desk| {
        crowd::write(desk.node(0).peers, 600, vec![4]).await
    })
    .await;
}

/// Guards against memory that grows with responses that nobody reads.
#[gtest]
#[tokio::test]
async fn responses_that_nobody_reads() {
    expect_withstood("desk, unread", async |desk| {
        let request =
            "GET /again/large HTTP/1.1\r\nhost: desk.example\r\nx-request-id: large\r\n\r\n";
        // Several requests on a connection, whose responses follow each other.
        crowd::write(desk.node(0).callers, 80, request.repeat(4).into_bytes()).await
    })
    .await;
}

/// Guards against memory that grows with frames of other nodes that stop short of their end.
#[gtest]
#[tokio::test]
async fn frames_that_stop_short() {
    expect_withstood("desk, frames", async |desk| {
        let mut bytes = vec![4];
        bytes.extend((32_u32 << 20).to_be_bytes());
        bytes.extend(vec![0; 8 << 20]);
        crowd::write(desk.node(0).peers, 24, bytes).await
    })
    .await;
}

/// Guards against memory that grows with relayed requests whose bodies stop short of their end.
#[gtest]
#[tokio::test]
async fn relayed_bodies_that_stop_short() {
    expect_withstood("desk, relayed", async |desk| {
        let body: Arc<[u8]> = Arc::from(vec![b'b'; BODY_BYTES]);
        // The first byte selects the service of relayed requests.
        crowd::upload(desk.node(0).peers, UPLOADS, |number| Upload {
            head: format!(
                "\u{5}POST /once/crowd-{number} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: crowd-{number}\r\n\
                 shallotroute-server: scripted-0\r\n"
            ),
            body: Arc::clone(&body),
            framing: Framing::Length,
            delivery: Delivery::Short,
        })
        .await
    })
    .await;
}
