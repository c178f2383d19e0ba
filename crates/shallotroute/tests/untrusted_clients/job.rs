//! Large batch jobs on the users' platform.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use data_encoding::BASE64;
use googletest::prelude::*;
use http::{Request as HttpRequest, header};
use serde_json::{Value, json};
use shallotroute_http::{body, client::Client};
use shallotroute_soak::scripted::{
    self, Bounds, Desk, LAST_CHUNK, Request, Script, Step, chunk, chunked, response,
};

use crate::{
    crowd::{self, Delivery, Framing, Upload},
    run_alone,
    watch::{self, Bound, Watch},
};

/// What a node may use, as on the smaller hosts of the known deployments.
const BOUND: Bound = Bound {
    memory_mb: 160,
    descriptors: 1000,
};

/// The largest body that the configuration of the known deployments allows.
const MAX_BODY_BYTES: usize = 33_554_432;

/// The size of the submission of the long job, 31.9 MB.
const LONG_BYTES: usize = 33_450_000;

/// The number of items of a job.
const ITEMS: usize = 250;

/// How long a call about a job is tried again; the tests check no times.
const JOB_TIMEOUT: Duration = Duration::from_secs(120);

/// The pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Starts nodes before two servers, which answer no items while `is_held` is set.
async fn start(nodes: usize, is_held: &Arc<AtomicBool>) -> Desk {
    let is_held = Arc::clone(is_held);
    let script: Script = Arc::new(move |request: &Request| {
        let headers = [("x-request-id", request.id()), ("x-server-stamp", "s")];
        let is_item = request.target.starts_with("/jobs/");
        match request.target.as_str() {
            "/report" => vec![Step::Write(scripted::report(1, 0))],
            "/order" => vec![Step::Write(response(409, &[], ""))],
            _ if is_item && is_held.load(Ordering::Relaxed) => {
                vec![Step::Wait(JOB_TIMEOUT), Step::Close]
            }
            _ if is_item => {
                let generated = [headers[0], headers[1], ("x-weight-versions", "1")];
                vec![
                    Step::Write(chunked(200, &generated)),
                    Step::Write(chunk("id: 1\ndata: generated\n\n")),
                    Step::Write(LAST_CHUNK.to_vec()),
                ]
            }
            _ => vec![Step::Write(response(200, &headers, "whole"))],
        }
    });
    let bounds = Bounds {
        nodes,
        memory_mb: BOUND.memory_mb,
        descriptors: BOUND.descriptors,
        max_body_bytes: MAX_BODY_BYTES,
    };
    let program = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    Desk::start_bounded(program, vec![Arc::clone(&script), script], bounds)
        .await
        .expect("the stand-ins should start and the node should be ready")
}

/// Returns the submission of a job of some `bytes` bytes.
fn submission(job: &str, bytes: usize) -> Vec<u8> {
    let item_bytes = bytes / ITEMS - 150;
    let item_body = BASE64.encode(&vec![b'b'; item_bytes / 4 * 3]);
    let items: Vec<Value> = (0..ITEMS)
        .map(|index| {
            json!({
                "id": format!("{job}i{index}"), "path": format!("/jobs/{job}i{index}"),
                "headers": {"X-Model": "scripted-model"}, "body": item_body, "group": format!("g{index}"),
            })
        })
        .collect();
    let submission = json!({
        "step": 1, "model": "scripted-model", "minVersion": 1, "groupCount": ITEMS, "items": items,
    });
    submission.to_string().into_bytes()
}

/// Makes a call until its status is one of success.
async fn call(address: SocketAddr, method: &str, path: &str, id: &str, content: &[u8]) -> Value {
    let client = Client::new(Duration::from_secs(1));
    let mut last = String::new();
    let trying = async {
        loop {
            let request = HttpRequest::builder()
                .method(method)
                .uri(format!("http://{address}{path}"))
                .header(header::HOST, "desk.example")
                .header("x-request-id", id)
                .body(body::full(content.to_vec()))
                .expect("the request should be valid");
            last = match client.send(request).await {
                Ok(response) => {
                    let status = response.status();
                    let read = body::read(response.into_body(), 64 << 20).await;
                    match (status.is_success(), read) {
                        (true, Ok(read)) => {
                            return serde_json::from_slice(&read).unwrap_or_default();
                        }
                        (_, read) => format!("{status}, {read:?}"),
                    }
                }
                Err(error) => format!("{error:?}"),
            };
            tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    let answer = tokio::time::timeout(JOB_TIMEOUT, trying).await;
    answer.unwrap_or_else(|_| panic!("{method} {path} at {address} was not answered: {last}"))
}

/// Reads the results of a job to the last one.
async fn read_results(address: SocketAddr, job: &str) {
    let mut count = 0;
    let reading = async {
        while count < ITEMS {
            let page = call(
                address,
                "GET",
                &format!("/lots/{job}?after={count}"),
                "read",
                &[],
            )
            .await;
            count += page["results"].as_array().map_or(0, Vec::len);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    let read = tokio::time::timeout(JOB_TIMEOUT, reading).await;
    expect_that!(read.is_ok(), eq(true), "{count} results of {job}");
}

fn watch(desk: &Desk, index: usize) -> Watch {
    let node = desk.node(index);
    Watch::start(node.pid, vec![node.callers.port(), node.peers.port()])
}

/// Guards against a process that ends because of one batch job of the largest size, at the node that accepts it and at the
/// one that runs it.
#[gtest]
#[tokio::test]
async fn a_job_of_the_largest_size_is_served() {
    let _alone = run_alone().await;
    let desk = start(2, &Arc::default()).await;
    let watches = [watch(&desk, 0), watch(&desk, 1)];
    for (index, job) in ["long-0", "long-1"].into_iter().enumerate() {
        let content = submission(job, LONG_BYTES);
        expect_that!(content.len(), lt(MAX_BODY_BYTES));
        let address = desk.node(index).callers;
        call(address, "POST", &format!("/jobs/{job}"), job, &content).await;
        read_results(address, job).await;
        call(address, "DELETE", &format!("/lots/{job}"), job, &[]).await;
        for watch in &watches {
            watch.expect_within(BOUND, job);
        }
    }
}

/// Waits until one of the nodes runs a job, and returns it.
async fn await_start(desk: &Desk, nodes: &[usize]) -> usize {
    let runs_job = |index: usize| {
        let log = desk.log_of(index);
        log.lines()
            .any(|line| line.contains("job started at this node"))
    };
    let finding = async {
        loop {
            if let Some(owner) = nodes.iter().find(|index| runs_job(**index)) {
                return *owner;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    let owner = tokio::time::timeout(JOB_TIMEOUT, finding).await;
    owner.expect("a node should start the job")
}

/// Guards against a process that ends because it takes a job of the largest size over.
#[gtest]
#[tokio::test]
async fn a_job_of_the_largest_size_is_taken_over() {
    let _alone = run_alone().await;
    let is_held = Arc::new(AtomicBool::new(true));
    let desk = start(2, &is_held).await;
    let watches = [watch(&desk, 0), watch(&desk, 1)];
    let content = submission("moved", LONG_BYTES);
    call(
        desk.node(0).callers,
        "POST",
        "/jobs/moved",
        "moved",
        &content,
    )
    .await;
    let owner = await_start(&desk, &[0, 1]).await;
    for watch in &watches {
        watch.expect_within(BOUND, "before the takeover");
    }
    is_held.store(false, Ordering::Relaxed);
    desk.kill(owner);
    let successor = 1 - owner;
    // A debug build takes seconds to load the specification for each read, so that reads before the takeover delay it.
    await_start(&desk, &[successor]).await;
    let reading = read_results(desk.node(successor).callers, "moved");
    let read = tokio::time::timeout(JOB_TIMEOUT, reading).await;
    let log = desk.log_of(successor);
    let tail: Vec<&str> = log.lines().rev().take(40).collect();
    expect_that!(read.is_ok(), eq(true), "{tail:#?}");
    watches[successor].expect_within(BOUND, "after the takeover");
}

/// Guards against memory that grows with the number of large submissions at the same time.
#[gtest]
#[tokio::test]
async fn many_large_submissions_at_once() {
    let _alone = run_alone().await;
    let desk = start(1, &Arc::new(AtomicBool::new(true))).await;
    let watch = watch(&desk, 0);
    for delivery in [Delivery::Whole, Delivery::Short] {
        let body: Arc<[u8]> = Arc::from(submission("many", 12 << 20));
        let crowd = crowd::upload(desk.node(0).callers, 16, |number| Upload {
            head: format!(
                "POST /jobs/many-{number} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: many-{number}-{delivery:?}\r\n"
            ),
            body: Arc::clone(&body),
            framing: Framing::Length,
            delivery,
        })
        .await;
        let answer = call(desk.node(0).callers, "GET", "/again/after", "after", &[]).await;
        expect_that!(answer, eq(&Value::Null));
        watch.expect_within(BOUND, "submissions");
        drop(crowd);
    }
    expect_that!(watch::is_running(desk.node(0).pid), eq(true));
    expect_that!(desk.errors(), not(contains_substring("panicked")));
}
