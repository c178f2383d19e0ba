//! The log of a node on the users' platform whose standard output is not read.

use std::{
    io::Read,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use http::{Request, StatusCode};
use serde_json::json;
use shallotroute_http::{body, client::Client};
use shallotroute_standin::fleet;

/// The refused requests: their lines are more than the log's queue and a pipe hold.
const REQUESTS: usize = 12_000;

/// The longest time that a node may take to refuse a request.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// A process that is killed when it is dropped.
struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a node whose store can't be reached, so that it refuses every request.
fn start(folder: &std::path::Path, callers: SocketAddr) -> Node {
    let text = serde_json::to_string(&json!({
        "node": {"id": "node-0", "region": "lk-west", "zone": "colombo"},
        "site": {
            "role": "entry", "store": fleet::address(), "cores": 0.25, "grace_s": 6,
            "retention_s": 120, "fences_checked": true, "lease_s": 3,
        },
        "listen": {
            "callers": callers, "readiness": fleet::address(), "peers": fleet::address(),
            "metrics": fleet::address(),
        },
        "log_level": "info",
    }))
    .expect("settings should have a text");
    let file = folder.join("node.yaml");
    std::fs::write(&file, text).expect("the folder should be writable");
    let child = Command::new(env!("CARGO_BIN_EXE_shallotroute"))
        .arg("--settings")
        .arg(file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program should start");
    Node(child)
}

async fn refuse(client: &Client, node: SocketAddr, number: usize) -> Option<StatusCode> {
    let request = Request::builder()
        .uri(format!("http://{node}/quotes/{number}"))
        .header("x-request-id", format!("request-{number}"))
        .body(body::empty())
        .expect("the request should be valid");
    let answer = tokio::time::timeout(ANSWER_TIME, client.send(request)).await;
    Some(answer.ok()?.ok()?.status())
}

/// Guards against a node that waits for the reader of its log, and against lines that are left out
/// unseen.
#[gtest]
#[tokio::test]
async fn a_log_that_is_not_read_holds_up_no_request() {
    let folder = tempfile::tempdir().expect("a folder should be made");
    let callers = fleet::address();
    let mut node = start(folder.path(), callers);
    let client = Client::new(Duration::from_secs(1));
    let begun = Instant::now();
    while refuse(&client, callers, 0).await.is_none() {
        assert_that!(begun.elapsed(), lt(Duration::from_secs(10)));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for number in 1..=REQUESTS {
        let status = refuse(&client, callers, number).await;
        assert_that!(
            status,
            some(eq(StatusCode::SERVICE_UNAVAILABLE)),
            "request {number}"
        );
    }
    let mut output = node.0.stdout.take().expect("standard output is piped");
    let reader = std::thread::spawn(move || {
        let mut text = String::new();
        // The end of the process ends the text, perhaps within a line.
        let _ = output.read_to_string(&mut text);
        text
    });
    // The writer goes on with what waits, and counts what was left out in its next piece.
    tokio::time::sleep(Duration::from_secs(1)).await;
    refuse(&client, callers, REQUESTS + 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(node);
    let text = reader.join().expect("the reader should end");
    let refused = text.matches("request refused").count();
    let left_out: usize = text
        .lines()
        .filter(|line| line.contains("log lines dropped"))
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter_map(|line| line["kv"]["lines"].as_u64())
        .filter_map(|lines| usize::try_from(lines).ok())
        .sum();
    expect_that!(refused, ge(1000));
    expect_that!(left_out, ge(1));
    // Each refusal is written or counted; other lines may be among those left out.
    expect_that!(refused + left_out, ge(REQUESTS));
    expect_that!(refused + left_out, le(REQUESTS + 100));
}
