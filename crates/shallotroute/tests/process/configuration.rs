//! Publications, and the time until they are in force.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_standin::{proxy, store};

use crate::support::{IN_FORCE_WITH_FAULTS_TIMEOUT, Testbed, streaming_completion};

// Guards against a paused process that delays the revision at other nodes, or that keeps the old
// revision after it is resumed.
#[tokio::test]
async fn paused_node_does_not_delay_a_publication_and_catches_up() {
    let testbed = Testbed::start().await;
    testbed.cluster.nodes[2].pause();
    let revision = testbed
        .publish(0, &testbed.changed_configuration(1))
        .await
        .expect("published");
    testbed
        .await_in_force(&[0, 1], revision, IN_FORCE_WITH_FAULTS_TIMEOUT)
        .await;
    testbed.cluster.nodes[2].resume();
    testbed
        .await_in_force(&[2], revision, IN_FORCE_WITH_FAULTS_TIMEOUT)
        .await;
}

// Guards against a revision that is not in force in time at nine nodes, when one of them is paused
// and the key-value service responds after 2 s and drops the response to every tenth write. The
// time counts from the write of the revision.
#[tokio::test]
async fn nine_nodes_apply_a_change_in_time_despite_faults() {
    let testbed = Testbed::start_nine().await;
    testbed.cluster.nodes[8].pause();
    testbed.cluster.store.set_fault(store::Fault {
        delay: Duration::from_secs(2),
        lose_every: 10,
    });
    let before = testbed.cluster.store.writes().len();
    let objects = testbed.changed_configuration(1);
    let publication = testbed.publish(0, &objects);
    let written_at = async {
        loop {
            let writes = testbed.cluster.store.writes();
            let head = writes[before..]
                .iter()
                .find(|write| write.key == "config/head");
            if let Some(head) = head {
                break head.at;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let in_force = async {
        let at = written_at.await;
        let remaining =
            (at + IN_FORCE_WITH_FAULTS_TIMEOUT).saturating_duration_since(Instant::now());
        let others: Vec<usize> = (0..8).collect();
        testbed
            .await_in_force(&others, testbed.revision + 1, remaining)
            .await;
    };
    futures::future::join(publication, in_force).await;
}

// Guards against a publication that is reported as published although it is not, or as failed
// although it is published, when the key-value service drops the responses to writes that took
// effect.
#[tokio::test]
async fn publication_state_is_right_when_responses_of_the_store_are_lost() {
    let testbed = Testbed::start().await;
    let mut published = BTreeSet::new();
    let mut failed = BTreeSet::new();
    for lose_every in [1, 2, 3, 2, 3] {
        testbed.cluster.store.set_fault(store::Fault {
            lose_every,
            ..store::Fault::default()
        });
        let objects = testbed
            .changed_configuration(published.len() as u64 + 1)
            .to_yaml();
        let admin = testbed.cluster.admin(1);
        let response = testbed
            .cluster
            .operator
            .publish(admin, &objects, "test")
            .await;
        let response = response.expect("the node should respond");
        let identity = response["publication"]
            .as_str()
            .expect("an identity")
            .to_owned();
        match response["result"]["state"].as_str() {
            Some("published") => published.insert(identity),
            Some("unknown") => false,
            _ => failed.insert(identity),
        };
    }
    testbed.cluster.store.set_fault(store::Fault::default());
    let history = testbed
        .cluster
        .operator
        .get(testbed.cluster.admin(0), "/admin/v1/history")
        .await;
    let history = history.expect("the node should respond");
    let stored: BTreeSet<String> = history["entries"]
        .as_array()
        .expect("a list of entries")
        .iter()
        .filter_map(|entry| Some(entry["record"]["publication"].as_str()?.to_owned()))
        .collect();
    assert_that!(published, not(is_empty()));
    assert_that!(
        published.difference(&stored).count(),
        eq(0),
        "reported as published, but not in the history"
    );
    assert_that!(
        failed.intersection(&stored).count(),
        eq(0),
        "reported as failed, but in the history"
    );
    let newest = history["entries"][0]["record"]["revision"].as_u64();
    let newest = newest.expect("a revision");
    testbed
        .await_in_force(&[0, 1, 2], newest, IN_FORCE_WITH_FAULTS_TIMEOUT)
        .await;
}

// Guards against a write that a node treats as not applied, because its connection to the key-value
// service broke after the write was sent and before the response arrived.
#[tokio::test]
async fn publication_state_is_right_when_the_connection_breaks_after_the_write() {
    let (testbed, proxy) = Testbed::start_behind_proxy().await;
    proxy.set_fault(proxy::Fault {
        lose_responses: true,
        ..proxy::Fault::default()
    });
    let objects = testbed.changed_configuration(1).to_yaml();
    let admin = testbed.cluster.admin(0);
    let response = testbed
        .cluster
        .operator
        .publish(admin, &objects, "test")
        .await;
    let response = response.expect("the node should respond");
    proxy.set_fault(proxy::Fault::default());
    let head = testbed.cluster.store.peek("config/head").expect("a head").1;
    let has_new_head =
        !String::from_utf8_lossy(&head).contains(&format!("\"revision\":{}", testbed.revision));
    match response["result"]["state"].as_str() {
        Some("published") => assert_that!(has_new_head, eq(true), "{response}"),
        Some("unknown") => {}
        _ => assert_that!(has_new_head, eq(false), "{response}"),
    }
}

// Guards against requests that fail because routing depends on the key-value service, and against
// nodes that do not apply publications after its outage.
#[tokio::test]
async fn requests_succeed_during_an_outage_of_the_store() {
    let testbed = Testbed::start().await;
    testbed
        .cluster
        .store
        .set_down(true)
        .await
        .expect("stopping can't fail");
    // Longer than a lease, and than the time after which an isolated node rejects work.
    tokio::time::sleep(Duration::from_secs(8)).await;
    for node in 0..3 {
        let prompt = format!("a quote from node {node}");
        let reply = testbed
            .caller()
            .complete(testbed.node(node), &streaming_completion(&prompt))
            .await;
        assert_that!(reply.is_ok(), eq(true), "{:?}", reply.result);
    }
    testbed
        .cluster
        .store
        .set_down(false)
        .await
        .expect("the port is still free");
    let revision = testbed
        .publish(1, &testbed.changed_configuration(1))
        .await
        .expect("published");
    testbed
        .await_in_force(&[0, 1, 2], revision, IN_FORCE_WITH_FAULTS_TIMEOUT)
        .await;
}
