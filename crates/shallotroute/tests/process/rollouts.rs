//! Steps of trainers.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_standin::trainer::Trainer;

use crate::support::{MAX_TAKEOVER_TIME, Testbed};

/// Timeout for all steps of a test; the design sets no bound.
const STEPS_TIMEOUT: Duration = Duration::from_secs(40);

/// Asserts that the trainer received `samples` different samples, each of them once.
fn assert_each_once(trainer: &Trainer, samples: usize) {
    let record = trainer.record();
    let identities: BTreeSet<_> = record
        .deliveries
        .iter()
        .map(|delivery| &delivery.identity)
        .collect();
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

// Guards against lost, repeated or stale samples, and samples with wrong provenance, without any
// fault.
#[tokio::test]
async fn steps_are_delivered_completely_with_right_provenance() {
    let testbed = Testbed::start().await;
    let trainer = testbed.trainer(4);
    let done = trainer.run(Instant::now() + STEPS_TIMEOUT).await;
    assert_that!(
        done,
        eq(true),
        "{:?}\n{}",
        trainer.record().failures,
        testbed.cluster.logs(20)
    );
    assert_each_once(&trainer, 4 * 64);
    let truth = testbed.truth();
    for delivery in trainer.record().deliveries {
        assert_that!(
            truth.is_provenance_correct(&delivery),
            eq(true),
            "{delivery:?}"
        );
        assert_that!(truth.staleness(&delivery), some(le(2)));
    }
}

// Guards against samples that are lost or delivered twice when the node that owns the pool is
// killed in the middle of a step, and against a takeover that needs the trainer to submit the step
// again.
#[tokio::test]
async fn killing_the_owner_of_a_pool_loses_and_repeats_no_sample() {
    let testbed = Testbed::start_with(|engine| {
        engine.slots = 2;
        engine.tokens_per_second = 400.0;
    })
    .await;
    let trainer = testbed.trainer(1);
    let killing = async {
        let owner = loop {
            if let Some((_, owner)) = trainer.last_node() {
                break testbed.index(&owner);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        testbed.cluster.nodes[owner].kill();
        Instant::now()
    };
    let running = trainer.run(Instant::now() + STEPS_TIMEOUT);
    let (done, killed) = futures::future::join(running, killing).await;
    assert_that!(
        done,
        eq(true),
        "{:?}\n{}",
        trainer.record().failures,
        testbed.cluster.logs(20)
    );
    assert_each_once(&trainer, 64);
    let record = trainer.record();
    let mut later = record
        .deliveries
        .iter()
        .filter(|delivery| delivery.at > killed);
    let next = later
        .next()
        .expect("the owner should be killed in the middle of the step");
    // The time of the longest sample in a group that starts after the takeover.
    let group_time = Duration::from_millis(500);
    assert_that!(next.at - killed, le(MAX_TAKEOVER_TIME + group_time));
    assert_that!(
        record.resubmitted,
        eq(0),
        "the replicas of the step were lost"
    );
}

// Guards against steps that stop or lose samples because sampling depends on the key-value service.
#[tokio::test]
async fn sampling_continues_during_an_outage_of_the_store() {
    let testbed = Testbed::start().await;
    testbed
        .cluster
        .store
        .set_down(true)
        .await
        .expect("stopping can't fail");
    // Longer than a lease, and than the time after which an isolated node rejects work.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let trainer = testbed.trainer(2);
    let done = trainer.run(Instant::now() + STEPS_TIMEOUT).await;
    assert_that!(
        done,
        eq(true),
        "{:?}\n{}",
        trainer.record().failures,
        testbed.cluster.logs(20)
    );
    assert_each_once(&trainer, 2 * 64);
}
