//! Announced versions reach the engines under a lease.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;
use support::Fleet;

const ONE_TRAINER: &str = include_str!("fixtures/one_trainer.json");

fn all_have(fleet: &Fleet, version: u64) -> bool {
    let versions = fleet.platform.versions.lock().unwrap();
    versions.len() == 2 && versions.values().all(|loaded| *loaded == version)
}

/// Guards against announced versions that no engine loads, and against commands without the fencing
/// number of the lease in the store.
#[gtest]
#[tokio::test]
async fn engines_load_announced_versions() {
    let fleet = Fleet::start(3, ONE_TRAINER).await;
    let (status, _) = fleet.call(0, Method::PUT, "/versions/2", &json!({})).await;
    expect_that!(status, eq(StatusCode::OK));
    fleet
        .wait("the engines load version 2", || all_have(&fleet, 2))
        .await;
    let record = fleet.platform.values.lock().unwrap()["lease/engines-samplers"].clone();
    let record: serde_json::Value = serde_json::from_slice(&record.value).unwrap();
    let loads = fleet.platform.loads.lock().unwrap().clone();
    expect_that!(loads.len(), eq(2));
    expect_that!(json!(loads[0].1.fence), eq(&record["fence"]));
    // Version 1 is within the bound, so that the engines change one after the other.
    expect_that!(loads[0].1.source, none());
    expect_that!(loads[1].1.source, some(eq(loads[0].0)));
}

/// Guards against a version that is forgotten with the owner of the pool, and against commands of
/// two holders.
#[gtest]
#[tokio::test]
async fn another_holder_continues_with_a_higher_fencing_number() {
    let fleet = Fleet::start(4, ONE_TRAINER).await;
    fleet.call(0, Method::PUT, "/versions/4", &json!({})).await;
    fleet
        .wait("the engines load version 4", || all_have(&fleet, 4))
        .await;
    let holder = fleet.holder();
    let first = fleet.platform.loads.lock().unwrap()[0].1.fence;
    fleet.kill(holder);
    let node = (holder + 1) % 4;
    // Both engines restart with old weights.
    fleet.reset_engines(2);
    fleet
        .wait("the engines load version 4 again", || all_have(&fleet, 4))
        .await;
    let last = fleet.platform.loads.lock().unwrap().last().unwrap().1.fence;
    expect_that!(last, gt(first));
    expect_that!(fleet.holder(), not(eq(holder)));
    let (status, _) = fleet
        .call(node, Method::PUT, "/versions/5", &json!({}))
        .await;
    expect_that!(status, eq(StatusCode::OK));
    fleet
        .wait("the engines load version 5", || all_have(&fleet, 5))
        .await;
}

/// Guards against commands while the lease can't be renewed.
#[gtest]
#[tokio::test]
async fn commands_stop_with_the_store() {
    let fleet = Fleet::start(2, ONE_TRAINER).await;
    fleet.call(0, Method::PUT, "/versions/4", &json!({})).await;
    fleet
        .wait("the engines load version 4", || all_have(&fleet, 4))
        .await;
    *fleet.platform.down.lock().unwrap() = true;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    fleet.call(0, Method::PUT, "/versions/5", &json!({})).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_true!(all_have(&fleet, 4));
    *fleet.platform.down.lock().unwrap() = false;
    fleet
        .wait("the engines load version 5", || all_have(&fleet, 5))
        .await;
}

/// Guards against commands of a new holder while those of the former one may still be carried out by
/// engines that ignore fencing numbers.
#[gtest]
#[tokio::test]
async fn a_new_holder_waits_for_commands_of_the_former_one() {
    let fleet = Fleet::start(4, ONE_TRAINER).await;
    *fleet.platform.ignores_fences.lock().unwrap() = true;
    fleet.call(0, Method::PUT, "/versions/4", &json!({})).await;
    fleet
        .wait("the engines load version 4", || all_have(&fleet, 4))
        .await;
    let holder = fleet.holder();
    fleet.kill(holder);
    fleet.reset_engines(2);
    fleet
        .wait("another node holds the lease", || fleet.holder() != holder)
        .await;
    let loads = fleet.platform.loads.lock().unwrap().len();
    // The timeout of a command is 10 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect_that!(fleet.platform.loads.lock().unwrap().len(), eq(loads));
}
