//! The lease holder commands the engines to load announced versions.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;
use support::Cluster;

const ONE_TRAINER: &str = include_str!("fixtures/one_trainer.json");

fn all_have_loaded(cluster: &Cluster, version: u64) -> bool {
    let versions = cluster.platform.loaded_versions.lock().unwrap();
    versions.len() == 2 && versions.values().all(|loaded| *loaded == version)
}

/// Guards against announced versions that no engine loads, and against commands whose fencing
/// number is not that of the lease record in the store.
#[gtest]
#[tokio::test]
async fn engines_load_announced_versions() {
    let cluster = Cluster::start(3, ONE_TRAINER).await;
    let (status, _) = cluster
        .call(0, Method::PUT, "/versions/2", &json!({}))
        .await;
    expect_that!(status, eq(StatusCode::OK));
    cluster
        .wait_until("the engines load version 2", || {
            all_have_loaded(&cluster, 2)
        })
        .await;
    let record = cluster.platform.stored_values.lock().unwrap()["lease/engines-samplers"].clone();
    let record: serde_json::Value = serde_json::from_slice(&record.value).unwrap();
    let loads = cluster.platform.loads.lock().unwrap().clone();
    expect_that!(loads.len(), eq(2));
    expect_that!(json!(loads[0].1.fence), eq(&record["fence"]));
    // Samples of version 1 are still within the staleness bound, so that the engines load one after
    // the other, the second from the first.
    expect_that!(loads[0].1.source, none());
    expect_that!(loads[1].1.source, some(eq(loads[0].0)));
}

/// Kills the lease holder after an announcement. Guards against a new holder that does not know the
/// announced version, and against commands with the fencing number of the former holder.
#[gtest]
#[tokio::test]
async fn the_next_lease_holder_continues_with_a_higher_fencing_number() {
    let cluster = Cluster::start(4, ONE_TRAINER).await;
    cluster
        .call(0, Method::PUT, "/versions/4", &json!({}))
        .await;
    cluster
        .wait_until("the engines load version 4", || {
            all_have_loaded(&cluster, 4)
        })
        .await;
    let holder = cluster.lease_holder();
    let former_fence = cluster.platform.loads.lock().unwrap()[0].1.fence;
    cluster.kill(holder);
    let node = (holder + 1) % 4;
    // Both engines restart with an older version.
    cluster.set_loaded_versions(2);
    cluster
        .wait_until("the engines load version 4 again", || {
            all_have_loaded(&cluster, 4)
        })
        .await;
    let latest_fence = cluster
        .platform
        .loads
        .lock()
        .unwrap()
        .last()
        .unwrap()
        .1
        .fence;
    expect_that!(latest_fence, gt(former_fence));
    expect_that!(cluster.lease_holder(), not(eq(holder)));
    let (status, _) = cluster
        .call(node, Method::PUT, "/versions/5", &json!({}))
        .await;
    expect_that!(status, eq(StatusCode::OK));
    cluster
        .wait_until("the engines load version 5", || {
            all_have_loaded(&cluster, 5)
        })
        .await;
}

/// Takes the store down for longer than the lease lasts. Guards against commands of a node whose
/// lease has expired.
#[gtest]
#[tokio::test]
async fn no_commands_are_sent_while_the_lease_cannot_be_renewed() {
    let cluster = Cluster::start(2, ONE_TRAINER).await;
    cluster
        .call(0, Method::PUT, "/versions/4", &json!({}))
        .await;
    cluster
        .wait_until("the engines load version 4", || {
            all_have_loaded(&cluster, 4)
        })
        .await;
    *cluster.platform.store_is_down.lock().unwrap() = true;
    tokio::time::sleep(Duration::from_millis(3500)).await;
    cluster
        .call(0, Method::PUT, "/versions/5", &json!({}))
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_true!(all_have_loaded(&cluster, 4));
    *cluster.platform.store_is_down.lock().unwrap() = false;
    cluster
        .wait_until("the engines load version 5", || {
            all_have_loaded(&cluster, 5)
        })
        .await;
}

/// Kills the lease holder of engines that ignore fencing numbers. Guards against a new holder that
/// sends commands while commands of the former one may still take effect.
#[gtest]
#[tokio::test]
async fn a_new_lease_holder_waits_for_commands_of_the_former_one() {
    let cluster = Cluster::start(4, ONE_TRAINER).await;
    *cluster.platform.ignores_fences.lock().unwrap() = true;
    cluster
        .call(0, Method::PUT, "/versions/4", &json!({}))
        .await;
    cluster
        .wait_until("the engines load version 4", || {
            all_have_loaded(&cluster, 4)
        })
        .await;
    let holder = cluster.lease_holder();
    cluster.kill(holder);
    cluster.set_loaded_versions(2);
    cluster
        .wait_until("another node holds the lease", || {
            cluster.lease_holder() != holder
        })
        .await;
    let loads = cluster.platform.loads.lock().unwrap().len();
    // The timeout of a command is 10 s, so that the new holder is still waiting after 3 s.
    tokio::time::sleep(Duration::from_secs(3)).await;
    expect_that!(cluster.platform.loads.lock().unwrap().len(), eq(loads));
}
