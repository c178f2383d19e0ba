//! The start of a node that can't work.

use std::{net::TcpListener, time::Duration};

use googletest::prelude::*;
use shallotroute_standin::{
    caller::Caller,
    fleet::{self, Fleet, Layout},
    process::{Node, Settings},
};
use shallotroute_types::outcome::Outcome;

use crate::support::{START_LIMIT, ZONES, binary, streamed, turn};

async fn platform() -> Fleet {
    let layout = Layout::new("lk-west", &[]);
    Fleet::start(binary(), &layout).await.expect("a free port")
}

fn settings(fleet: &Fleet) -> Settings {
    let peers = fleet::unique_address();
    Settings {
        id: "node-0".to_owned(),
        region: "lk-west".to_owned(),
        zone: ZONES[0].to_owned(),
        callers: fleet::unique_address(),
        admin: fleet::unique_address(),
        peers,
        seeds: vec![peers],
        peer_key: fleet::PEER_KEY.to_owned(),
        store: fleet.store.address(),
        hosts: fleet.hosts.address(),
        operators: vec![(fleet::OPERATOR.to_owned(), fleet::OPERATOR_KEY.to_owned())],
        log_level: "info".to_owned(),
    }
}

// Guards against a node that hangs, or ends without naming the address, when a port is in use.
#[tokio::test]
async fn a_port_in_use_ends_the_node_with_its_address() {
    let _turn = turn().await;
    let fleet = platform().await;
    let settings = settings(&fleet);
    for address in [settings.callers, settings.admin, settings.peers] {
        let _taken = TcpListener::bind(address).expect("the address is free");
        let node = Node::start(binary(), settings.clone(), fleet.folder()).expect("it starts");
        let exit = node.wait_for_exit(START_LIMIT).await;
        assert_that!(exit.map(|status| status.success()), some(eq(false)));
        assert_that!(node.log(), contains_substring(address.to_string()));
        assert_that!(node.output(), eq(""));
    }
}

// Guards against a node that is ready, or says nothing, while it can't reach the platform.
#[tokio::test]
async fn an_unreachable_platform_is_named_and_keeps_the_node_from_being_ready() {
    let _turn = turn().await;
    let fleet = platform().await;
    fleet
        .store
        .set_down(true)
        .await
        .expect("stopping can't fail");
    fleet
        .hosts
        .set_down(true)
        .await
        .expect("stopping can't fail");
    let settings = settings(&fleet);
    let node = Node::start(binary(), settings.clone(), fleet.folder()).expect("it starts");
    let live = fleet.operator.await_live(settings.admin, START_LIMIT).await;
    assert_that!(live, ok(anything()));
    let store = settings.store.to_string();
    let named = async {
        while !node.log().contains(&store) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let named = tokio::time::timeout(START_LIMIT, named).await;
    assert_that!(
        named,
        ok(anything()),
        "the log does not name {store}: {}",
        node.log()
    );
    assert_that!(fleet.operator.is_ready(settings.admin).await, eq(false));
    let caller = Caller::new(fleet.client.clone(), "caller-key");
    let reply = caller
        .complete(settings.callers, &streamed("a quote"))
        .await;
    assert_that!(
        reply.outcome(),
        some(eq(Outcome::NotRun)),
        "{:?}",
        reply.result
    );
    assert_that!(node.output(), eq(""));
}
