//! Records of delivered samples in the store.

mod support;

use googletest::prelude::*;
use http::Method;
use serde_json::{Value, json};
use support::Fleet;

const ONE_TRAINER: &str = include_str!("fixtures/one_trainer.json");

/// Guards against delivery that waits for the store, and against records that an outage loses.
#[gtest]
#[tokio::test]
async fn records_are_written_after_an_outage() {
    let fleet = Fleet::start(1, ONE_TRAINER).await;
    *fleet.platform.down.lock().unwrap() = true;
    let body = json!({"prompts": vec!["p"; 9], "group_size": 3, "max_tokens": 10});
    fleet.call(0, Method::PUT, "/steps/4", &body).await;
    let groups = fleet.pull_all(0, 4, 9).await;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    *fleet.platform.down.lock().unwrap() = false;
    let stored = || {
        fleet
            .platform
            .values
            .lock()
            .unwrap()
            .get("ledger/a/4")
            .cloned()
    };
    fleet
        .wait("the records are stored", || stored().is_some())
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
