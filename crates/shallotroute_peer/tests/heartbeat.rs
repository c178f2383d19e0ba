//! Tests of heartbeats between nodes over loopback sockets.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use shallotroute_platform::host::{self, Host};
use shallotroute_types::{
    member::{State, View},
    name::Name,
    revision::Revision,
};
use tokio::{net::UdpSocket, time::timeout};

mod support;

use support::{KEY, Node, start};

/// The expected time is about a second; the margin keeps a busy machine from failing the
/// test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts three nodes, of which the last two know only the first one's address, and waits
/// until all have discovered each other.
async fn start_three() -> [Node; 3] {
    let first = start(1, Vec::new(), KEY).await;
    let seeds = vec![first.address];
    let nodes = [
        first,
        start(2, seeds.clone(), KEY).await,
        start(3, seeds, KEY).await,
    ];
    for node in &nodes {
        wait_until(node, |view| view.live().count() == 3).await;
    }
    nodes
}

async fn wait_until(node: &Node, condition: impl Fn(&View) -> bool) {
    let mut members = node.members.clone();
    let waited = timeout(TIMEOUT, members.wait_for(|view| condition(view))).await;
    assert!(waited.is_ok(), "{:#}", node.heartbeat.dump());
}

fn has_state(view: &View, id: &str, state: State) -> bool {
    view.get(id).is_some_and(|member| member.state == state)
}

/// Guards against nodes that don't discover each other through one seed, or don't spread the newest
/// known revision.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_discover_each_other_and_learn_revisions() {
    let nodes = start_three().await;
    nodes[2].known.send_replace(Revision(5));
    for node in &nodes {
        wait_until(node, |view| {
            view.get("n3")
                .is_some_and(|member| member.known == Revision(5))
        })
        .await;
        expect_true!(node.members.borrow().majority);
    }
}

/// Guards against a draining or stopped node that other nodes still count as live.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn draining_and_stopped_nodes_are_seen_as_leaving_and_dead() {
    let nodes = start_three().await;
    nodes[1].drain.cancel();
    wait_until(&nodes[0], |view| has_state(view, "n2", State::Leaving)).await;
    wait_until(&nodes[2], |view| has_state(view, "n2", State::Leaving)).await;
    nodes[1].stop.cancel();
    wait_until(&nodes[0], |view| has_state(view, "n2", State::Dead)).await;
    wait_until(&nodes[2], |view| has_state(view, "n2", State::Dead)).await;
}

/// Guards against a node that the host list marks as leaving but other nodes count as live.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nodes_marked_in_the_host_list_are_seen_as_leaving() {
    let nodes = start_three().await;
    let host = |name: &str, state| Host {
        name: Name::new(name),
        state,
    };
    let hosts = vec![
        host("n1", host::State::Live),
        host("n2", host::State::Leaving),
    ];
    nodes[0].hosts.send_replace(Arc::new(hosts));
    wait_until(&nodes[0], |view| has_state(view, "n2", State::Leaving)).await;
}

/// Guards against accepting datagrams of another fleet or of an arbitrary sender, and against
/// dropping them without counting them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn foreign_and_hostile_datagrams_are_dropped_and_counted() {
    let first = start(1, Vec::new(), KEY).await;
    let foreign = start(2, vec![first.address], [8; 32]).await;
    let hostile = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let dropped = |reason: &str| first.heartbeat.dump()["dropped"][reason].as_u64().unwrap();
    let waited = timeout(TIMEOUT, async {
        while dropped("foreign") == 0 || dropped("truncated") == 0 || dropped("oversized") == 0 {
            hostile.send_to(&[1; 5], first.address).await.unwrap();
            hostile.send_to(&[1; 1_300], first.address).await.unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    expect_true!(waited.await.is_ok());
    expect_that!(first.members.borrow().members.len(), eq(1));
    foreign.stop.cancel();
}

/// Guards against heartbeat metrics that are missing or not updated.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_traffic_and_members() {
    let nodes = start_three().await;
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &nodes[0].registry).unwrap();
    for line in [
        "heartbeat_members{state=\"alive\"} 3",
        "heartbeat_majority 1",
        "heartbeat_dropped_datagrams_total{reason=\"replayed\"} 0",
    ] {
        expect_that!(text, contains_substring(line));
    }
    for name in [
        "received_datagrams",
        "sent_datagrams",
        "received_bytes",
        "sent_bytes",
    ] {
        expect_that!(text, contains_substring(format!("heartbeat_{name}_total ")));
        expect_that!(text, not(contains_substring(format!("_{name}_total 0\n"))));
    }
}
