//! Records of delivered groups in the key-value service.

mod support;

use googletest::prelude::*;
use http::Method;
use serde_json::{Value, json};
use support::Cluster;

const ONE_TRAINER: &str = include_str!("fixtures/one_trainer.json");

/// Pulls a step while the store is down. Guards against pulls that wait for the store, and against
/// records that are lost because their first write failed.
#[gtest]
#[tokio::test]
async fn records_are_written_after_an_outage() {
    let cluster = Cluster::start(1, ONE_TRAINER).await;
    *cluster.platform.store_is_down.lock().unwrap() = true;
    let body = json!({"prompts": vec!["p"; 9], "group_size": 3, "max_tokens": 10});
    cluster.call(0, Method::PUT, "/steps/4", &body).await;
    let groups = cluster.pull_all(0, 4, 9).await;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    *cluster.platform.store_is_down.lock().unwrap() = false;
    let stored = || {
        cluster
            .platform
            .stored_values
            .lock()
            .unwrap()
            .get("ledger/a/4")
            .cloned()
    };
    cluster
        .wait_until("the records are stored", || stored().is_some())
        .await;
    let document: Value = serde_json::from_slice(&stored().unwrap().value).unwrap();
    let recorded = document["groups"].as_array().unwrap();
    expect_that!(recorded.len(), eq(9));
    for group in recorded {
        let delivered = &groups[&group["group"].as_u64().unwrap()];
        for sample in group["samples"].as_array().unwrap() {
            let delivered = &delivered[sample["index"].as_u64().unwrap() as usize];
            for (field, value) in sample.as_object().unwrap() {
                expect_that!(value, eq(&delivered[field]), "{field}");
            }
        }
    }
}
