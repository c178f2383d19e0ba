//! Trainers' HTTP requests to nodes on loopback.

mod support;

use std::sync::Arc;

use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{Cluster, KEY};

const ONE_TRAINER: &str = include_str!("fixtures/one_trainer.json");

fn step() -> Value {
    let prompts: Vec<String> = (0..9).map(|group| format!("prompt {group}")).collect();
    json!({"prompts": prompts, "group_size": 3, "max_tokens": 10})
}

/// Guards against nodes that don't forward requests to the owner of the pool, and against samples
/// that lose their score or provenance on the way.
#[gtest]
#[tokio::test]
async fn a_step_is_sampled_through_a_node_that_does_not_own_the_pool() {
    let cluster = Cluster::start(3, ONE_TRAINER).await;
    let other = (cluster.owner() + 1) % 3;
    let (status, _) = cluster.call(other, Method::PUT, "/steps/4", &step()).await;
    expect_that!(status, eq(StatusCode::OK));
    let groups = cluster.pull_all(other, 4, 9).await;
    expect_that!(groups.len(), eq(9));
    for samples in groups.values() {
        let samples = samples.as_array().unwrap();
        expect_that!(samples.len(), eq(3));
        for sample in samples {
            expect_that!(sample["text"], eq("0 2 "));
            expect_that!(
                sample["spans"],
                eq(&json!([{"start": 0, "end": 4, "version": 1}]))
            );
            expect_that!(sample["score"], eq(&json!(4.0)));
            expect_that!(
                sample["node"],
                eq(cluster.nodes[cluster.owner()].id.as_str())
            );
            expect_that!(sample["route"], eq("pool/samplers"));
            expect_that!(sample["revision"], eq(&json!(1)));
        }
    }
}

/// Kills the owner of the pool after a step was submitted. Guards against a step that is lost
/// because the new owner does not recover it from a replica.
#[gtest]
#[tokio::test]
async fn a_step_survives_the_death_of_the_pool_owner() {
    let cluster = Cluster::start(4, ONE_TRAINER).await;
    let owner = cluster.owner();
    let other = (owner + 1) % 4;
    cluster.call(other, Method::PUT, "/steps/4", &step()).await;
    cluster.kill(owner);
    expect_that!(cluster.owner(), not(eq(owner)));
    expect_that!(cluster.pull_all(other, 4, 9).await.len(), eq(9));
}

/// Guards against pulls that wait forever for a step that no node has, and against a second
/// submission that replaces the specification of a step.
#[gtest]
#[tokio::test]
async fn unknown_and_conflicting_steps_are_refused() {
    let cluster = Cluster::start(2, ONE_TRAINER).await;
    let pull = json!({"receipt": "", "version": 1});
    let (status, answer) = cluster.call(0, Method::POST, "/steps/8/pull", &pull).await;
    expect_that!(status, eq(StatusCode::NOT_FOUND));
    expect_that!(answer["error"]["code"], eq("unknown_step"));
    for (groups, expected) in [
        (2, StatusCode::OK),
        (2, StatusCode::OK),
        (3, StatusCode::CONFLICT),
    ] {
        let body = json!({"prompts": vec!["p"; groups], "group_size": 1, "max_tokens": 5});
        let (status, _) = cluster.call(1, Method::PUT, "/steps/8", &body).await;
        expect_that!(status, eq(expected));
    }
}

/// Guards against requests that are accepted with an unknown key or with the key of another
/// trainer.
#[gtest]
#[tokio::test]
async fn only_the_trainers_own_key_is_accepted() {
    let cluster = Cluster::start(1, ONE_TRAINER).await;
    let (status, answer) = cluster
        .call_with_key("another key", 0, Method::PUT, "a/steps/1", &step())
        .await;
    expect_that!(status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(answer["error"]["outcome"], eq("not_run"));
    let (status, _) = cluster
        .call_with_key(KEY, 0, Method::PUT, "b/steps/1", &step())
        .await;
    expect_that!(status, eq(StatusCode::FORBIDDEN));
}

/// Guards against a replica that restores a deleted step with its old specification.
#[gtest]
#[tokio::test]
async fn a_deleted_step_can_be_submitted_with_another_body() {
    let cluster = Cluster::start(3, ONE_TRAINER).await;
    let node = cluster.owner();
    cluster.call(node, Method::PUT, "/steps/4", &step()).await;
    let (status, _) = cluster
        .call(node, Method::DELETE, "/steps/4", &json!({}))
        .await;
    expect_that!(status, eq(StatusCode::OK));
    let pull = json!({"receipt": "", "version": 1});
    let (status, _) = cluster
        .call(node, Method::POST, "/steps/4/pull", &pull)
        .await;
    expect_that!(status, eq(StatusCode::NOT_FOUND));
    let body = json!({"prompts": ["p"], "group_size": 1, "max_tokens": 5});
    let (status, _) = cluster.call(node, Method::PUT, "/steps/4", &body).await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(cluster.pull_all(node, 4, 1).await.len(), eq(1));
}

/// Guards against cancelled attempts whose streams stay open, so that engines continue to generate.
#[gtest]
#[tokio::test]
async fn a_cancelled_attempt_frees_its_engine() {
    let cluster = Cluster::start(1, ONE_TRAINER).await;
    let body = json!({"prompts": ["endless"], "group_size": 4, "max_tokens": 5});
    let (status, _) = cluster.call(0, Method::PUT, "/steps/4", &body).await;
    expect_that!(status, eq(StatusCode::OK));
    cluster
        .wait_until("the streams open", || {
            Arc::strong_count(&cluster.platform.open_streams) == 5
        })
        .await;
    cluster
        .call(0, Method::DELETE, "/steps/4", &json!({}))
        .await;
    cluster
        .wait_until("the streams close", || {
            Arc::strong_count(&cluster.platform.open_streams) == 1
        })
        .await;
}
