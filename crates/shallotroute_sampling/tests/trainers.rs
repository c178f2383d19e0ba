//! Trainers' requests over HTTP to nodes on loopback.

mod support;

use std::sync::Arc;

use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{Fleet, KEY};

const ONE_TRAINER: &str = include_str!("fixtures/one_trainer.json");

fn step() -> Value {
    let prompts: Vec<String> = (0..9).map(|group| format!("prompt {group}")).collect();
    json!({"prompts": prompts, "group_size": 3, "max_tokens": 10})
}

/// Guards against requests that only the owner of the pool can answer, and against samples without
/// score or provenance.
#[gtest]
#[tokio::test]
async fn a_step_is_sampled_through_a_node_that_does_not_own_the_pool() {
    let fleet = Fleet::start(3, ONE_TRAINER).await;
    let other = (fleet.owner() + 1) % 3;
    let (status, _) = fleet.call(other, Method::PUT, "/steps/4", &step()).await;
    expect_that!(status, eq(StatusCode::OK));
    let groups = fleet.pull_all(other, 4, 9).await;
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
            expect_that!(sample["node"], eq(fleet.nodes[fleet.owner()].id.as_str()));
            expect_that!(sample["route"], eq("pool/samplers"));
            expect_that!(sample["revision"], eq(&json!(1)));
        }
    }
}

/// Guards against a step that is lost with the owner of its pool.
#[gtest]
#[tokio::test]
async fn a_step_survives_its_owner() {
    let fleet = Fleet::start(4, ONE_TRAINER).await;
    let owner = fleet.owner();
    let other = (owner + 1) % 4;
    fleet.call(other, Method::PUT, "/steps/4", &step()).await;
    fleet.kill(owner);
    expect_that!(fleet.owner(), not(eq(owner)));
    expect_that!(fleet.pull_all(other, 4, 9).await.len(), eq(9));
}

/// Guards against a step that no node has and for which the trainer would wait forever, and
/// against a step that changes under its number.
#[gtest]
#[tokio::test]
async fn unknown_and_conflicting_steps_are_refused() {
    let fleet = Fleet::start(2, ONE_TRAINER).await;
    let pull = json!({"receipt": "", "version": 1});
    let (status, answer) = fleet.call(0, Method::POST, "/steps/8/pull", &pull).await;
    expect_that!(status, eq(StatusCode::NOT_FOUND));
    expect_that!(answer["error"]["code"], eq("unknown_step"));
    for (groups, expected) in [
        (2, StatusCode::OK),
        (2, StatusCode::OK),
        (3, StatusCode::CONFLICT),
    ] {
        let body = json!({"prompts": vec!["p"; groups], "group_size": 1, "max_tokens": 5});
        let (status, _) = fleet.call(1, Method::PUT, "/steps/8", &body).await;
        expect_that!(status, eq(expected));
    }
}

/// Guards against a caller that acts for a trainer that is not its own.
#[gtest]
#[tokio::test]
async fn only_the_trainers_own_key_is_accepted() {
    let fleet = Fleet::start(1, ONE_TRAINER).await;
    let (status, answer) = fleet
        .call_with("another key", 0, Method::PUT, "a/steps/1", &step())
        .await;
    expect_that!(status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(answer["error"]["outcome"], eq("not_run"));
    let (status, _) = fleet
        .call_with(KEY, 0, Method::PUT, "b/steps/1", &step())
        .await;
    expect_that!(status, eq(StatusCode::FORBIDDEN));
}

/// Guards against a deleted step that a copy brings back with its old body.
#[gtest]
#[tokio::test]
async fn a_deleted_step_can_be_submitted_with_another_body() {
    let fleet = Fleet::start(3, ONE_TRAINER).await;
    let node = fleet.owner();
    fleet.call(node, Method::PUT, "/steps/4", &step()).await;
    let (status, _) = fleet
        .call(node, Method::DELETE, "/steps/4", &json!({}))
        .await;
    expect_that!(status, eq(StatusCode::OK));
    let pull = json!({"receipt": "", "version": 1});
    let (status, _) = fleet.call(node, Method::POST, "/steps/4/pull", &pull).await;
    expect_that!(status, eq(StatusCode::NOT_FOUND));
    let body = json!({"prompts": ["p"], "group_size": 1, "max_tokens": 5});
    let (status, _) = fleet.call(node, Method::PUT, "/steps/4", &body).await;
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(fleet.pull_all(node, 4, 1).await.len(), eq(1));
}

/// Guards against cancelled attempts whose streams stay open and keep their engines busy.
#[gtest]
#[tokio::test]
async fn a_cancelled_attempt_frees_its_engine() {
    let fleet = Fleet::start(1, ONE_TRAINER).await;
    let body = json!({"prompts": ["endless"], "group_size": 4, "max_tokens": 5});
    let (status, _) = fleet.call(0, Method::PUT, "/steps/4", &body).await;
    expect_that!(status, eq(StatusCode::OK));
    fleet
        .wait("the streams open", || {
            Arc::strong_count(&fleet.platform.open) == 5
        })
        .await;
    fleet.call(0, Method::DELETE, "/steps/4", &json!({})).await;
    fleet
        .wait("the streams close", || {
            Arc::strong_count(&fleet.platform.open) == 1
        })
        .await;
}
