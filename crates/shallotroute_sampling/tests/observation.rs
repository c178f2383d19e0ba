//! The dump and the metrics that operators read.

mod support;

use googletest::prelude::*;
use http::Method;
use serde_json::json;
use support::Cluster;

const NO_SECOND_ATTEMPTS: &str = include_str!("fixtures/no_second_attempts.json");

/// Guards against a dump that lacks the progress of steps or the versions of engines, and against
/// metrics that are not updated from the scheduler's counters.
#[gtest]
#[tokio::test]
async fn dump_and_metrics_show_the_progress_of_a_step() {
    let cluster = Cluster::start(1, NO_SECOND_ATTEMPTS).await;
    let body = json!({"prompts": vec!["p"; 9], "group_size": 3, "max_tokens": 10});
    cluster.call(0, Method::PUT, "/steps/4", &body).await;
    cluster.pull_all(0, 4, 9).await;
    let node = &cluster.nodes[0];
    let is_answered = || node.sampler.dump()["pools"][0]["steps"][0]["answered_groups"] == 9;
    cluster
        .wait_until("the dump shows the answered groups", is_answered)
        .await;
    let dump = node.sampler.dump();
    expect_that!(dump["pools"][0]["steps"][0]["trainer"], eq("a"));
    expect_that!(
        dump["pools"][0]["engines"][0]["models"],
        eq(&json!({"model-a": 1}))
    );
    expect_that!(
        dump["controllers"][0]["controller"]["targets"],
        eq(&json!({"model-a": 1}))
    );
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &node.registry).unwrap();
    for line in [
        "rollout_samples_delivered_total{trainer=\"a\"} 27",
        "rollout_attempts_started_total{trainer=\"a\"} 27",
        "rollout_staleness_versions_count{trainer=\"a\"} 27",
    ] {
        expect_that!(text, contains_substring(line));
    }
}
