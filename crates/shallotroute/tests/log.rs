//! Logging of a node on the users' platform while nothing reads its standard output.

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
use shallotroute_standin::cluster;

/// The number of refused requests, whose log lines exceed the log's queue and a pipe's buffer.
const REQUESTS: usize = 12_000;

/// The timeout within which a node must refuse a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A node's process, which is killed when dropped.
struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        // Killing fails if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a node whose store can't be reached, so that it refuses every request.
fn start_node(folder: &std::path::Path, callers: SocketAddr) -> Node {
    let settings = serde_json::to_string(&json!({
        "node": {"id": "node-0", "region": "lk-west", "zone": "colombo"},
        "site": {
            "role": "entry", "store": cluster::unique_address(), "cores": 0.25, "grace_s": 6,
            "retention_s": 120, "fences_checked": true, "lease_s": 3,
        },
        "listen": {
            "callers": callers, "readiness": cluster::unique_address(), "peers": cluster::unique_address(),
            "metrics": cluster::unique_address(),
        },
        "log_level": "info",
    }))
    .expect("settings should serialize");
    let file = folder.join("node.yaml");
    std::fs::write(&file, settings).expect("the folder should be writable");
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

/// Sends one request. Returns the status, or `None` if the node does not respond in time.
async fn send_request(client: &Client, node: SocketAddr, number: usize) -> Option<StatusCode> {
    let request = Request::builder()
        .uri(format!("http://{node}/quotes/{number}"))
        .header("x-request-id", format!("request-{number}"))
        .body(body::empty())
        .expect("the request should be valid");
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, client.send(request)).await;
    Some(response.ok()?.ok()?.status())
}

/// Guards against a node that blocks on its log when standard output is not read, as when the log
/// collector hangs and the pipe fills up, and against log lines that are dropped without being
/// counted.
#[gtest]
#[tokio::test]
async fn unread_log_does_not_block_requests() {
    let folder = tempfile::tempdir().expect("a folder should be made");
    let callers = cluster::unique_address();
    let mut node = start_node(folder.path(), callers);
    let client = Client::new(Duration::from_secs(1));
    let begun = Instant::now();
    while send_request(&client, callers, 0).await.is_none() {
        assert_that!(begun.elapsed(), lt(Duration::from_secs(10)));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for number in 1..=REQUESTS {
        let status = send_request(&client, callers, number).await;
        assert_that!(
            status,
            some(eq(StatusCode::SERVICE_UNAVAILABLE)),
            "request {number}"
        );
    }
    let mut output = node.0.stdout.take().expect("standard output is piped");
    let reader = std::thread::spawn(move || {
        let mut text = String::new();
        // Killing the process ends its output, perhaps in the middle of a line.
        let _ = output.read_to_string(&mut text);
        text
    });
    // The writer continues with the queued lines and reports the dropped ones in its next batch.
    tokio::time::sleep(Duration::from_secs(1)).await;
    send_request(&client, callers, REQUESTS + 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(node);
    let text = reader.join().expect("the reader should end");
    let refused = text.matches("request refused").count();
    let dropped: usize = text
        .lines()
        .filter(|line| line.contains("log lines dropped"))
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter_map(|line| line["kv"]["lines"].as_u64())
        .filter_map(|lines| usize::try_from(lines).ok())
        .sum();
    expect_that!(refused, ge(1000));
    expect_that!(dropped, ge(1));
    // Every refusal is either logged or counted as dropped; other lines may have been dropped too.
    expect_that!(refused + dropped, ge(REQUESTS));
    expect_that!(refused + dropped, le(REQUESTS + 100));
}
