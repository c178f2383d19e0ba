//! Tests callers' limits across several nodes.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;
use shallotroute_config::{
    object::{Limit, Object},
    set::Set,
};
use support::{Backend, Node};

/// The smallest share of its limit that a caller with requests at only one node must get there.
const MIN_SHARE: f64 = 0.9;

/// Guards against nodes that do not exchange shares of limits: a caller with requests at only one
/// of three nodes would then get a third of its limit.
#[gtest]
#[tokio::test]
async fn a_caller_at_one_of_three_nodes_gets_nearly_its_limit() {
    let backend = Backend::start(|it| async move { support::engine_response(&it, 2) }).await;
    let servers = vec![support::server("engine-1", backend.address)];
    let mut objects = support::objects(servers, Vec::new());
    let limit = json!({"name": "limit", "requests_per_second": 100.0, "burst": 30});
    let limit: Limit = serde_json::from_value(limit).unwrap();
    for object in &mut objects {
        if let Object::Caller(caller) = object {
            caller.limit = Some(limit.name.clone());
        }
    }
    objects.push(Object::Limit(limit));
    let mut nodes = Vec::new();
    for id in ["node-1", "node-2", "node-3"] {
        nodes.push(Node::start_as(id, Set::new(objects.clone()), Duration::ZERO).await);
    }
    let view = Arc::new(support::view(&nodes.iter().collect::<Vec<_>>()));
    for node in &nodes {
        node.members.send_replace(Arc::clone(&view));
    }
    let share = |node: &Node| node.gateway.dump()["limit_shares"]["desk"].as_f64();
    let started = Instant::now();
    while share(&nodes[0]).is_none_or(|share| share < MIN_SHARE) {
        assert_that!(started.elapsed(), lt(Duration::from_secs(20)));
        nodes[0].completion(false).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
