//! Trainers' steps.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_standin::trainer::Trainer;

use crate::support::{TAKEOVER, World};

/// How long all steps of a test may take; no bound of the product.
const LIMIT: Duration = Duration::from_secs(40);

fn assert_each_once(trainer: &Trainer, samples: usize) {
    let record = trainer.record();
    let identities: BTreeSet<_> = record.deliveries.iter().map(|one| &one.identity).collect();
    assert_that!(record.duplicates, eq(0));
    assert_that!(record.lost, eq(0));
    assert_that!(record.ended_early, eq(0));
    assert_that!(
        identities.len(),
        eq(samples),
        "{:?}",
        record.failures.last()
    );
    assert_that!(record.deliveries.len(), eq(samples));
}

// Guards against wrong provenance, stale samples, and repeated or lost samples without any fault.
#[tokio::test]
async fn steps_are_delivered_whole_with_true_provenance() {
    let world = World::start().await;
    let trainer = world.trainer(4);
    let done = trainer.run(Instant::now() + LIMIT).await;
    assert_that!(
        done,
        eq(true),
        "{:?}\n{}",
        trainer.record().failures,
        world.fleet.logs(20)
    );
    assert_each_once(&trainer, 4 * 64);
    let truth = world.truth();
    for delivery in trainer.record().deliveries {
        assert_that!(
            truth.is_provenance_correct(&delivery),
            eq(true),
            "{delivery:?}"
        );
        assert_that!(truth.staleness(&delivery), some(le(2)));
    }
}

// Guards against samples that are lost or delivered twice when the node that runs a step crashes.
#[tokio::test]
async fn a_crash_of_the_pools_owner_in_mid_step_loses_and_repeats_nothing() {
    let world = World::start_with(|engine| {
        engine.slots = 2;
        engine.tokens_per_second = 400.0;
    })
    .await;
    let trainer = world.trainer(1);
    let killing = async {
        let owner = loop {
            if let Some((_, owner)) = trainer.last_node() {
                break world.index(&owner);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        world.fleet.nodes[owner].kill();
        Instant::now()
    };
    let running = trainer.run(Instant::now() + LIMIT);
    let (done, killed) = futures::future::join(running, killing).await;
    assert_that!(
        done,
        eq(true),
        "{:?}\n{}",
        trainer.record().failures,
        world.fleet.logs(20)
    );
    assert_each_once(&trainer, 64);
    let record = trainer.record();
    let mut after = record.deliveries.iter().filter(|one| one.at > killed);
    let next = after.next().expect("the owner was killed in mid-step");
    // A group that is started after the takeover needs the time of its longest sample.
    let group = Duration::from_millis(500);
    assert_that!(next.at - killed, le(TAKEOVER + group));
    assert_that!(
        record.resubmitted,
        eq(0),
        "the copies of the step were lost"
    );
}

// Guards against sampling that needs the key-value service.
#[tokio::test]
async fn an_outage_of_the_key_value_service_stops_no_sampling() {
    let world = World::start().await;
    world
        .fleet
        .store
        .set_down(true)
        .await
        .expect("stopping can't fail");
    // Longer than a lease and than the time after which an isolated node refuses work.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let trainer = world.trainer(2);
    let done = trainer.run(Instant::now() + LIMIT).await;
    assert_that!(
        done,
        eq(true),
        "{:?}\n{}",
        trainer.record().failures,
        world.fleet.logs(20)
    );
    assert_each_once(&trainer, 2 * 64);
}
