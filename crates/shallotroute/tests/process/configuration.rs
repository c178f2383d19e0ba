//! Publications and their way into force.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_standin::{proxy, store};

use crate::support::{IN_FORCE_WITH_FAULTS, World, streamed};

// Guards against a paused node that holds up the others or stays on the old revision.
#[tokio::test]
async fn a_paused_node_does_not_hold_up_a_publication_and_catches_up() {
    let world = World::start().await;
    world.fleet.nodes[2].pause();
    let revision = world
        .publish(0, &world.changed(1))
        .await
        .expect("published");
    world
        .await_in_force(&[0, 1], revision, IN_FORCE_WITH_FAULTS)
        .await;
    world.fleet.nodes[2].resume();
    world
        .await_in_force(&[2], revision, IN_FORCE_WITH_FAULTS)
        .await;
}

// Guards against a change that takes longer than the target with nine nodes, of which one is paused,
// and a key-value service that answers after 2 s and loses one answer in ten.
#[tokio::test]
async fn nine_nodes_apply_a_change_within_the_target_in_spite_of_faults() {
    let world = World::start_nine().await;
    world.fleet.nodes[8].pause();
    world.fleet.store.set_fault(store::Fault {
        delay: Duration::from_secs(2),
        lose_every: 10,
    });
    let before = world.fleet.store.writes().len();
    let objects = world.changed(1);
    let publication = world.publish(0, &objects);
    let accepted = async {
        loop {
            let writes = world.fleet.store.writes();
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
        let at = accepted.await;
        let left = (at + IN_FORCE_WITH_FAULTS).saturating_duration_since(Instant::now());
        let others: Vec<usize> = (0..8).collect();
        world
            .await_in_force(&others, world.revision + 1, left)
            .await;
    };
    futures::future::join(publication, in_force).await;
}

// Guards against a publication reported as made that is not, or as not made that is, when the
// key-value service loses answers to writes that took effect.
#[tokio::test]
async fn lost_answers_of_the_key_value_service_make_no_publication_wrong() {
    let world = World::start().await;
    let mut published = BTreeSet::new();
    let mut denied = BTreeSet::new();
    for lose_every in [1, 2, 3, 2, 3] {
        world.fleet.store.set_fault(store::Fault {
            lose_every,
            ..store::Fault::default()
        });
        let objects = world.changed(published.len() as u64 + 1).to_yaml();
        let admin = world.fleet.admin(1);
        let answer = world.fleet.operator.publish(admin, &objects, "test").await;
        let answer = answer.expect("the node should answer");
        let identity = answer["publication"]
            .as_str()
            .expect("an identity")
            .to_owned();
        match answer["result"]["state"].as_str() {
            Some("published") => published.insert(identity),
            Some("unknown") => false,
            _ => denied.insert(identity),
        };
    }
    world.fleet.store.set_fault(store::Fault::default());
    let history = world
        .fleet
        .operator
        .get(world.fleet.admin(0), "/admin/v1/history")
        .await;
    let history = history.expect("the node should answer");
    let made: BTreeSet<String> = history["entries"]
        .as_array()
        .expect("a list of entries")
        .iter()
        .filter_map(|entry| Some(entry["record"]["publication"].as_str()?.to_owned()))
        .collect();
    assert_that!(published, not(is_empty()));
    assert_that!(
        published.difference(&made).count(),
        eq(0),
        "said to be made and are not"
    );
    assert_that!(
        denied.intersection(&made).count(),
        eq(0),
        "said not to be made and are"
    );
    let newest = history["entries"][0]["record"]["revision"].as_u64();
    let newest = newest.expect("a revision");
    world
        .await_in_force(&[0, 1, 2], newest, IN_FORCE_WITH_FAULTS)
        .await;
}

// Guards against a connection that breaks between a node and the key-value service after the write
// passed, which the node must not take for a write that did not happen.
#[tokio::test]
async fn a_connection_broken_after_the_write_makes_no_publication_wrong() {
    let (world, proxy) = World::start_behind_proxy().await;
    proxy.set_fault(proxy::Fault {
        lose_answers: true,
        ..proxy::Fault::default()
    });
    let objects = world.changed(1).to_yaml();
    let admin = world.fleet.admin(0);
    let answer = world.fleet.operator.publish(admin, &objects, "test").await;
    let answer = answer.expect("the node should answer");
    proxy.set_fault(proxy::Fault::default());
    let head = world.fleet.store.peek("config/head").expect("a head").1;
    let made =
        !String::from_utf8_lossy(&head).contains(&format!("\"revision\":{}", world.revision));
    match answer["result"]["state"].as_str() {
        Some("published") => assert_that!(made, eq(true), "{answer}"),
        Some("unknown") => {}
        _ => assert_that!(made, eq(false), "{answer}"),
    }
}

// Guards against routing that needs the key-value service.
#[tokio::test]
async fn an_outage_of_the_key_value_service_stops_no_request() {
    let world = World::start().await;
    world
        .fleet
        .store
        .set_down(true)
        .await
        .expect("stopping can't fail");
    // Longer than a lease and than the time after which an isolated node refuses work.
    tokio::time::sleep(Duration::from_secs(8)).await;
    for node in 0..3 {
        let prompt = format!("a quote from node {node}");
        let reply = world
            .caller()
            .complete(world.node(node), &streamed(&prompt))
            .await;
        assert_that!(reply.is_ok(), eq(true), "{:?}", reply.result);
    }
    world
        .fleet
        .store
        .set_down(false)
        .await
        .expect("the port is still free");
    let revision = world
        .publish(1, &world.changed(1))
        .await
        .expect("published");
    world
        .await_in_force(&[0, 1, 2], revision, IN_FORCE_WITH_FAULTS)
        .await;
}
