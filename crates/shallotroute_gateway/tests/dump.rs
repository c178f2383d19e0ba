//! Tests that the dump and the metrics show operators how requests were routed.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use prometheus_client::encoding::text;
use shallotroute_config::set::Set;
use support::{Backend, Node};

async fn start_node() -> (Node, Backend, Backend) {
    let refusing = Backend::start(|_| async { support::refusal("leaving") }).await;
    let good = Backend::start(|request| async move { support::engine_response(&request, 2) }).await;
    let servers = vec![
        support::server("engine-1", refusing.address),
        support::server("engine-2", good.address),
    ];
    let node = Node::start(Set::new(support::objects(servers, Vec::new()))).await;
    (node, refusing, good)
}

/// Waits until `count` requests have ended, which is shortly after their responses have arrived,
/// and returns the dump.
async fn wait_for_requests(node: &Node, count: usize) -> serde_json::Value {
    let started = Instant::now();
    loop {
        let dump = node.gateway.dump();
        if dump["recent"].as_array().unwrap().len() == count {
            return dump;
        }
        assert_that!(started.elapsed(), lt(Duration::from_secs(5)));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a dump that does not show each attempt with the reason for its server and its
/// end.
#[tokio::test]
async fn the_dump_shows_each_attempt() {
    let (node, _refusing, _good) = start_node().await;
    support::read_text(node.completion(true).await).await;
    let dump = wait_for_requests(&node, 1).await;
    let entry = &dump["recent"][0];
    assert_that!(entry["caller"], eq("desk"));
    assert_that!(entry["route"], eq("assistant"));
    assert_that!(entry["outcome"], eq("ran"));
    assert_that!(entry["attempts"][0]["server"], eq("engine-1"));
    assert_that!(entry["attempts"][0]["reason"], eq("turn"));
    let evidence = entry["attempts"][0]["evidence"].as_str().unwrap();
    assert_that!(evidence, eq("the server refused: leaving"));
    assert_that!(entry["attempts"][1]["server"], eq("engine-2"));
    assert_that!(dump["revision"], eq(1));
    let pool = &dump["pools"]["engines"];
    assert_that!(pool["running"], eq(0));
    assert_that!(pool["waiting"]["interactive"], eq(0));
    assert_that!(pool["servers"][0]["availability"], eq("leaving"));
    assert_that!(pool["servers"][1]["sent"], eq(1));
}

/// Guards against metrics that miss outcomes, retries or refusals, or count ended requests as in
/// progress.
#[tokio::test]
async fn metrics_count_outcomes_retries_and_refusals() {
    let (node, _refusing, _good) = start_node().await;
    support::read_text(node.completion(false).await).await;
    support::read_text(node.get("/elsewhere").await).await;
    wait_for_requests(&node, 2).await;
    let mut text = String::new();
    text::encode(&mut text, &node.registry).unwrap();
    for line in [
        r#"shallotroute_requests_finished_total{class="interactive",outcome="ran"} 1"#,
        r#"shallotroute_requests_finished_total{class="interactive",outcome="not_run"} 1"#,
        r#"shallotroute_requests_refused_total{code="no_route"} 1"#,
        "shallotroute_requests_retries_total 1",
        r#"shallotroute_requests_in_progress{class="interactive"} 0"#,
        r#"shallotroute_requests_seconds_count{class="interactive"} 2"#,
    ] {
        assert_that!(text, contains_substring(line));
    }
}
