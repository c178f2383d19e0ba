//! Starts of a node under conditions in which it can't serve requests.

use std::{net::TcpListener, time::Duration};

use googletest::prelude::*;
use shallotroute_standin::{
    caller::Caller,
    cluster::{self, Cluster, Layout},
    process::{Node, Settings},
};
use shallotroute_types::outcome::Outcome;

use crate::support::{START_TIMEOUT, ZONES, lock_clusters, node_program, streaming_completion};

/// Starts a cluster without nodes, only with the platform's stand-ins.
async fn platform() -> Cluster {
    let layout = Layout::new("lk-west", &[]);
    Cluster::start(node_program(), &layout)
        .await
        .expect("a free port")
}

fn settings(cluster: &Cluster) -> Settings {
    let peers = cluster::unique_address();
    Settings {
        id: "node-0".to_owned(),
        region: "lk-west".to_owned(),
        zone: ZONES[0].to_owned(),
        callers: cluster::unique_address(),
        admin: cluster::unique_address(),
        peers,
        seeds: vec![peers],
        peer_key: cluster::PEER_KEY.to_owned(),
        store: cluster.store.address(),
        hosts: cluster.hosts.address(),
        operators: vec![(
            cluster::OPERATOR.to_owned(),
            cluster::OPERATOR_KEY.to_owned(),
        )],
        log_level: "info".to_owned(),
        memory_mb: None,
        descriptors: None,
    }
}

// Guards against a node that hangs, or exits without logging the address, when another process
// listens on one of its ports.
#[tokio::test]
async fn node_exits_and_names_the_address_in_use() {
    let _cluster_lock = lock_clusters().await;
    let cluster = platform().await;
    let settings = settings(&cluster);
    for address in [settings.callers, settings.admin, settings.peers] {
        let _listener = TcpListener::bind(address).expect("the address is free");
        let node = Node::start(node_program(), settings.clone(), cluster.folder())
            .expect("the node should start");
        let exit = node.wait_for_exit(START_TIMEOUT).await;
        assert_that!(exit.map(|status| status.success()), some(eq(false)));
        assert_that!(node.log(), contains_substring(address.to_string()));
        assert_that!(node.output(), eq(""));
    }
}

// Guards against a node that reports ready, runs requests or does not log the address of the
// key-value service when neither that service nor the host list is reachable at its start.
#[tokio::test]
async fn node_is_not_ready_and_names_the_platform_that_is_unreachable() {
    let _cluster_lock = lock_clusters().await;
    let cluster = platform().await;
    cluster
        .store
        .set_down(true)
        .await
        .expect("stopping can't fail");
    cluster
        .hosts
        .set_down(true)
        .await
        .expect("stopping can't fail");
    let settings = settings(&cluster);
    let node = Node::start(node_program(), settings.clone(), cluster.folder())
        .expect("the node should start");
    let live = cluster
        .operator
        .await_live(settings.admin, START_TIMEOUT)
        .await;
    assert_that!(live, ok(anything()));
    let store = settings.store.to_string();
    let named = async {
        while !node.log().contains(&store) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let named = tokio::time::timeout(START_TIMEOUT, named).await;
    assert_that!(
        named,
        ok(anything()),
        "the log does not name {store}: {}",
        node.log()
    );
    assert_that!(cluster.operator.is_ready(settings.admin).await, eq(false));
    let caller = Caller::new(cluster.client.clone(), "caller-key");
    let reply = caller
        .complete(settings.callers, &streaming_completion("a quote"))
        .await;
    assert_that!(
        reply.outcome(),
        some(eq(Outcome::NotRun)),
        "{:?}",
        reply.result
    );
    assert_that!(node.output(), eq(""));
}
