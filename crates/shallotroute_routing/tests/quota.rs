//! Division of a caller's limit among nine nodes.
#![allow(clippy::print_stdout, reason = "the design note quotes the figures")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_config::object::Limit;
use shallotroute_routing::quota::{Allocator, Quota};
use shallotroute_types::name::Name;

const NODES: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: usize = 100;
/// The limit, in requests a second.
const RATE: usize = 200;
const BURST: usize = 20;
/// The number of requests that the limit allows in 10 s.
const ALLOWED: usize = RATE * 10 + BURST;
/// The number of requests in 10 s above which a test fails.
const MAX_ADMITTED: usize = ALLOWED * 11 / 10;

/// Nine nodes with one allocator, simulated in steps of 10 ms.
struct Fleet {
    quotas: Vec<Quota>,
    allocator: Allocator,
    random: ChaCha8Rng,
    now: Instant,
    /// The number of admitted requests in each step.
    admitted: Vec<usize>,
    /// The probability that a reply of the allocator is lost.
    loss: f64,
    /// A node that gets no replies.
    isolated: Option<usize>,
}

impl Fleet {
    fn new(loss: f64) -> Self {
        let now = Instant::now();
        Self {
            quotas: vec![Quota::new(now); NODES],
            allocator: Allocator::new(now),
            random: ChaCha8Rng::seed_from_u64(20_261_203),
            now,
            admitted: Vec::new(),
            loss,
            isolated: None,
        }
    }

    /// Offers three times the limit for some seconds, spread over `nodes`.
    fn overload(&mut self, seconds: usize, nodes: std::ops::Range<usize>) {
        self.offer(3 * RATE / STEPS_PER_SECOND, seconds, nodes);
    }

    /// Offers `count` requests in each step, spread over `nodes`, and exchanges messages with the allocator
    /// when they are due.
    fn offer(&mut self, count: usize, seconds: usize, nodes: std::ops::Range<usize>) {
        let limit = Limit {
            name: Name::from("limit"),
            requests_per_second: RATE as f64,
            burst: BURST as u32,
            concurrency: None,
        };
        for _ in 0..seconds * STEPS_PER_SECOND {
            let mut admitted = 0;
            for _ in 0..count {
                let quota = &mut self.quotas[self.random.random_range(nodes.clone())];
                admitted += usize::from(quota.acquire(&limit, NODES, self.now).is_ok());
            }
            self.admitted.push(admitted);
            for (index, quota) in self.quotas.iter_mut().enumerate() {
                if quota.is_exchange_due(NODES, self.now) && self.random.random_bool(0.1) {
                    let request = quota.share_request(7, &limit, self.now);
                    let node = Name::from(format!("node-{index}"));
                    let grant = self.allocator.allocate(&node, &request, NODES, self.now);
                    if !self.random.random_bool(self.loss) && self.isolated != Some(index) {
                        quota.apply_grant(grant, NODES, self.now);
                    }
                }
            }
            self.now += STEP;
        }
    }

    /// Returns the numbers of requests that were admitted in all windows of 10 s.
    fn windows(&self) -> Vec<usize> {
        let windows = self.admitted.windows(10 * STEPS_PER_SECOND);
        let windows: Vec<usize> = windows.map(|window| window.iter().sum()).collect();
        println!(
            "admitted in 10 s: {:?} to {:?}",
            windows.iter().min(),
            windows.iter().max()
        );
        windows
    }
}

/// Guards against a caller that sends to one node only and gets a ninth of its limit.
#[gtest]
fn a_caller_at_one_node_gets_nearly_its_limit() {
    let mut fleet = Fleet::new(0.0);
    fleet.overload(5, 0..NODES);
    fleet.overload(5, 3..4);
    fleet.admitted.clear();
    fleet.overload(20, 3..4);
    expect_that!(
        fleet.windows(),
        each(all!(ge(&(RATE * 9)), le(&MAX_ADMITTED)))
    );
}

/// Guards against nodes that together allow more than the limit while the caller moves between nodes and
/// replies are lost, and against a caller that sends to all nodes and gets too little.
#[gtest]
fn a_caller_that_moves_never_exceeds_its_limit() {
    for loss in [0.0, 0.3] {
        let mut fleet = Fleet::new(loss);
        for round in 0..20 {
            fleet.overload(3, 0..NODES);
            fleet.overload(1 + round % 7, round % NODES..round % NODES + 1);
        }
        // A change of the live members makes another member the allocator, which knows of no grants.
        fleet.allocator = Allocator::new(fleet.now);
        fleet.overload(15, 0..NODES);
        expect_that!(fleet.windows(), each(le(&MAX_ADMITTED)));
        fleet.loss = 0.0;
        fleet.overload(5, 0..NODES);
        fleet.admitted.clear();
        fleet.overload(20, 0..NODES);
        expect_that!(fleet.windows(), each(ge(&(RATE * 9))));
    }
}

/// Guards against a grant being given to other nodes while a node that lost the reply still uses it.
#[gtest]
fn a_lost_reply_does_not_free_a_grant() {
    let mut fleet = Fleet::new(0.0);
    fleet.overload(15, 0..1);
    fleet.isolated = Some(0);
    // The first node's part of this load alone would use the whole limit.
    fleet.offer(NODES * RATE / STEPS_PER_SECOND, 20, 0..NODES);
    expect_that!(fleet.windows(), each(le(&MAX_ADMITTED)));
}

/// Guards against a caller whose limit stays reduced while the allocator can't be reached.
#[gtest]
fn without_grants_each_node_takes_an_equal_share() {
    let mut fleet = Fleet::new(1.0);
    fleet.overload(6, 0..NODES);
    fleet.admitted.clear();
    fleet.overload(20, 0..NODES);
    expect_that!(
        fleet.windows(),
        each(all!(ge(&(RATE * 9)), le(&MAX_ADMITTED)))
    );
}

/// Guards against shares that follow the random load of single seconds: a caller below its limit would have
/// requests refused that equal shares admit.
#[gtest]
fn a_caller_below_its_limit_is_refused_no_more_than_by_equal_shares() {
    let [divided, equal] = [0.0, 1.0].map(|loss| {
        let mut fleet = Fleet::new(loss);
        fleet.offer(1, 10, 0..NODES);
        fleet.admitted.clear();
        fleet.offer(1, 60, 0..NODES);
        fleet.admitted.iter().sum::<usize>()
    });
    println!("admitted with divided shares: {divided}, with equal shares: {equal}");
    expect_that!(divided, ge(equal * 99 / 100));
}
