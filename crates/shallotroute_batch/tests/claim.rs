//! Tests of the evidence on which an owner says that a position has no result.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_batch::{
    claim::{Claim, MAX_EVIDENCE_AGE, MAX_RELAY_TIME, SETTLING_TIME, Source},
    job::Job,
    record::{Checkpoint, CheckpointState, Item, ItemResult, Outcome, Specification},
};
use shallotroute_types::version::Version;

/// Returns a job of two items of which `committed` have a result.
fn job(committed: u32) -> Job {
    let item = |index: u32| Item {
        id: format!("item-{index}").as_str().into(),
        group: "group".into(),
        path: "/rollouts/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        expected_tokens: None,
        scorer: None,
    };
    let specification = Specification {
        host: "host".to_owned(),
        path: "/rollouts/".to_owned(),
        model: "m".into(),
        min_version: Version(1),
        wanted_groups: 1,
        items: (0..2).map(item).collect(),
        workspace: None,
    };
    let results = (0..committed).map(|item| ItemResult {
        item,
        outcome: Outcome::Abandoned,
    });
    let abandon_at = Instant::now() + Duration::from_secs(60);
    Job::new(Arc::new(specification), results.collect(), abandon_at)
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against an assigned node that starts a job late, after another one has taken it over, and says
/// that it has no results.
#[gtest]
fn a_start_message_is_no_evidence() {
    let now = milliseconds(5000);
    let claim = Claim::unconfirmed();
    expect_that!(claim.source(&job(0), 0, now), eq(Source::ConfirmedMemory));
    expect_that!(claim.age(now), none());
}

/// Guards against reads that go to the store although the owner has their results.
#[gtest]
fn results_in_memory_need_no_evidence() {
    let now = milliseconds(5000);
    let claim = Claim::unconfirmed();
    expect_that!(claim.source(&job(1), 0, now), eq(Source::Memory));
    expect_that!(claim.source(&job(2), 2, now), eq(Source::Memory));
}

/// Guards against an owner that says that a position is empty while the store has its result: the write
/// took effect, its response was lost, and other nodes read the store.
#[gtest]
fn a_position_is_not_empty_while_a_write_of_results_is_in_progress() {
    let now = Instant::now();
    let mut job = job(0);
    let done = CheckpointState::Done(Outcome::Abandoned);
    job.restore(
        vec![Checkpoint {
            item: 0,
            state: done,
        }],
        now,
    );
    expect_that!(
        job.next_chunk(now + Duration::from_secs(2)),
        some(anything())
    );
    let confirmed_at = milliseconds(5000);
    let claim = Claim::new(confirmed_at);
    expect_that!(claim.source(&job, 0, confirmed_at), eq(Source::Store));
    job.commit_chunk();
    expect_that!(claim.source(&job, 0, confirmed_at), eq(Source::Memory));
    expect_that!(claim.source(&job, 1, confirmed_at), eq(Source::Memory));
}

/// How an owner dates its evidence, and how long its answer may be on its way.
#[derive(Clone, Copy, Debug)]
struct Policy {
    is_dated_by_request: bool,
    max_relay_time: Duration,
}

const POLICY: Policy = Policy {
    is_dated_by_request: true,
    max_relay_time: MAX_RELAY_TIME,
};

/// Plays a takeover during a confirmation by the former owner. Returns how long after the first read of
/// the new owner's result a reader gets an empty page of the former one; `None` if it gets none.
fn stale_page_after(random: &mut ChaCha8Rng, policy: Policy) -> Option<Duration> {
    let mut draw = |from, to| milliseconds(random.random_range(from..=to));
    let requested_at = draw(0, 1000);
    let processed_at = requested_at + draw(0, 100);
    let responded_at = processed_at + draw(0, 800);
    // The store confirms the claim only if it still holds when the call is processed.
    let taken_over_at = processed_at + draw(1, 500);
    let first_read_at = taken_over_at + draw(5, 200);
    let checked_at = responded_at + draw(0, 1500);
    let answered_at = checked_at + draw(0, 1400).min(policy.max_relay_time);
    let claim = Claim::new(match policy.is_dated_by_request {
        true => requested_at,
        false => responded_at,
    });
    match claim.source(&job(0), 0, checked_at) {
        Source::Memory => answered_at.checked_sub(first_read_at),
        Source::ConfirmedMemory | Source::Store => None,
    }
}

fn longest_stale_page(policy: Policy) -> Duration {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    (0..20_000)
        .filter_map(|_| stale_page_after(&mut random, policy))
        .max()
        .unwrap_or_default()
}

/// Guards against a former owner's answer that reaches a reader after the settling time.
#[gtest]
fn empty_pages_reach_readers_within_the_settling_time() {
    expect_that!(longest_stale_page(POLICY), lt(SETTLING_TIME));
}

/// Shows that both bounds are needed.
#[gtest]
fn evidence_that_is_dated_late_or_relayed_slowly_outlives_the_settling_time() {
    let dated_late = Policy {
        is_dated_by_request: false,
        ..POLICY
    };
    expect_that!(longest_stale_page(dated_late), gt(SETTLING_TIME));
    let relayed_slowly = Policy {
        max_relay_time: milliseconds(1400),
        ..POLICY
    };
    expect_that!(longest_stale_page(relayed_slowly), gt(SETTLING_TIME));
}

/// Guards against a confirmation whose response was late and takes the place of a newer one.
#[gtest]
fn older_confirmations_do_not_replace_newer_ones() {
    let mut claim = Claim::new(milliseconds(2000));
    claim.confirm(milliseconds(1000));
    let now = milliseconds(2000) + MAX_EVIDENCE_AGE;
    expect_that!(claim.age(now), some(eq(MAX_EVIDENCE_AGE)));
    expect_that!(claim.source(&job(0), 0, now), eq(Source::ConfirmedMemory));
}
