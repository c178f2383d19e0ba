//! Tests of the proof that a node's configuration is fresh.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use shallotroute_fleet::{
    freshness::{Chain, Fetcher, Passed, Path, Standing},
    source::POLL_TIMEOUT,
};

const BOUND: Duration = Duration::from_secs(5);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a node that decides about keys without a proof, as after a start during an outage, or
/// with one that is older than the bound.
#[gtest]
fn the_standing_follows_the_age_of_the_proof() {
    let mut chain = Chain::new(BOUND);
    expect_that!(
        chain.standing(ms(1)),
        matches_pattern!(Standing::Stale { .. })
    );
    expect_that!(chain.confirm(ms(1000)), eq(true));
    expect_that!(chain.confirm(ms(900)), eq(false));
    expect_that!(chain.standing(ms(3999)), eq(Standing::Fresh));
    expect_that!(chain.standing(ms(4000)), eq(Standing::Leaving));
    expect_that!(
        chain.standing(ms(5950)),
        eq(Standing::Stale {
            retry_after: ms(250)
        })
    );
    expect_that!(
        chain.standing(ms(60_000)),
        eq(Standing::Stale {
            retry_after: ms(2000)
        })
    );
}

/// Guards against two nodes that follow each other and keep their proofs young.
#[gtest]
fn a_proof_does_not_confirm_itself() {
    let (mut one, mut other) = (Chain::new(BOUND), Chain::new(BOUND));
    one.confirm(ms(1000));
    for now in (1000..10_000).step_by(100).map(ms) {
        for _ in 0..2 {
            let passed = Passed {
                age: one.age(now).unwrap_or_default(),
                held: Duration::ZERO,
            };
            other.confirm_from_source(now, passed, now);
            std::mem::swap(&mut one, &mut other);
        }
    }
    expect_that!(one.confirmed_at(), some(eq(ms(1000))));
    expect_that!(other.confirmed_at(), some(eq(ms(1000))));
}

/// Guards against a source that reports more time than has passed, or a proof from before the host's boot.
#[gtest]
fn an_impossible_report_makes_no_future_proof() {
    let mut chain = Chain::new(BOUND);
    let passed = |age, held| Passed {
        age: ms(age),
        held: ms(held),
    };
    expect_that!(
        chain.confirm_from_source(ms(100), passed(500, 10), ms(120)),
        eq(false)
    );
    chain.confirm_from_source(ms(100), passed(0, 5000), ms(120));
    expect_that!(chain.confirmed_at(), some(eq(ms(120))));
}

/// The number of nodes of a history.
const NODES: usize = 5;

/// A call of a node to the store, or to another node (its source) if there is one. All durations are in
/// milliseconds; suspensions, cuts and slow links make them long.
#[derive(Clone, Copy, Debug)]
struct Call {
    node: usize,
    source: Option<usize>,
    /// The time until the other side handles the call.
    transit: u64,
    /// The time from then until the response is made.
    held: u64,
    /// The time from then until the response is applied; `None` without a response.
    returned: Option<u64>,
}

/// What happens after a pause in milliseconds: a call, or the store's acknowledgement of a change.
type Step = (u64, Option<Call>);

fn step() -> impl Strategy<Value = Step> {
    let delay = || prop_oneof![6 => 0..40u64, 2 => 0..800u64, 1 => 0..9000u64];
    let source = prop::option::weighted(0.7, 0..NODES);
    let returned = prop::option::weighted(0.9, delay());
    let call = (0..NODES, source, delay(), delay(), returned).prop_map(
        |(node, source, transit, held, returned)| Call {
            node,
            source: source.filter(|source| *source != node),
            transit,
            held,
            returned,
        },
    );
    (0..300u64, prop::option::weighted(0.8, call))
}

/// What the store or a source knew when it responded.
#[derive(Clone, Copy, Debug)]
struct Response {
    changes: usize,
    age: Option<Duration>,
}

/// A node whose clock has been running for `boot` longer than the test's.
struct Host {
    boot: Duration,
    chain: Chain,
    /// The number of changes that its copy contains.
    changes: usize,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Acknowledge,
    Respond(usize),
    Apply(usize),
    Check,
}

/// Replays a history. Knows all acknowledged changes, which no node does.
struct World {
    /// The calls with the times at which they were sent.
    calls: Vec<(u64, Call)>,
    responses: Vec<Option<Response>>,
    acknowledged: Vec<u64>,
    hosts: Vec<Host>,
}

impl World {
    fn new() -> Self {
        let host = |index| Host {
            boot: ms(index * 7919 + 20_000),
            chain: Chain::new(BOUND),
            changes: 0,
        };
        Self {
            calls: Vec::new(),
            responses: Vec::new(),
            acknowledged: Vec::new(),
            hosts: (0..NODES as u64).map(host).collect(),
        }
    }

    /// Returns the events of a history in their order.
    fn schedule(&mut self, steps: &[Step]) -> Vec<(u64, Event)> {
        let mut events = Vec::new();
        let mut now = 0;
        for (pause, step) in steps {
            now += pause;
            let Some(call) = step else {
                events.push((now, Event::Acknowledge));
                continue;
            };
            let index = self.calls.len();
            self.calls.push((now, *call));
            let responded = now + call.transit + call.held;
            events.push((responded, Event::Respond(index)));
            let applied = call.returned.map(|returned| responded + returned);
            events.extend(applied.map(|at| (at, Event::Apply(index))));
        }
        self.responses = vec![None; self.calls.len()];
        events.extend((0..now + 8000).step_by(97).map(|at| (at, Event::Check)));
        events.sort_by_key(|(at, _)| *at);
        events
    }

    fn respond(&mut self, index: usize, now: u64) {
        let (sent, call) = self.calls[index];
        let host = call.source.map(|source| &self.hosts[source]);
        self.responses[index] = Some(Response {
            changes: match host {
                // The store's answer may be as of the moment at which it got the call.
                None => self.acknowledged_until(sent + call.transit),
                Some(host) => host.changes,
            },
            age: host.and_then(|host| host.chain.age(host.boot + ms(now))),
        });
    }

    fn apply(&mut self, index: usize, now: u64) {
        let (sent, call) = self.calls[index];
        let response = self.responses[index].expect("a response is made before it is applied");
        let host = &mut self.hosts[call.node];
        host.changes = host.changes.max(response.changes);
        let sent_at = host.boot + ms(sent);
        match (call.source, response.age) {
            (None, _) => {
                host.chain.confirm(sent_at);
            }
            (Some(_), Some(age)) => {
                let held = ms(call.held);
                let passed = Passed { age, held };
                let now = host.boot + ms(now);
                host.chain.confirm_from_source(sent_at, passed, now);
            }
            (Some(_), None) => {}
        }
    }

    fn acknowledged_until(&self, time: u64) -> usize {
        let is_done = |at: &&u64| **at <= time;
        self.acknowledged.iter().filter(is_done).count()
    }

    fn check(&self, now: u64) -> std::result::Result<(), TestCaseError> {
        let bound = BOUND.as_millis() as u64;
        let Some(time) = now.checked_sub(bound) else {
            return Ok(());
        };
        let required = self.acknowledged_until(time);
        for (index, host) in self.hosts.iter().enumerate() {
            let standing = host.chain.standing(host.boot + ms(now));
            let is_stale = matches!(standing, Standing::Stale { .. });
            prop_assert!(
                is_stale || host.changes >= required,
                "node {index} at {now} ms: {standing:?} with {} of {required} changes",
                host.changes
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a node that decides about keys by a configuration that lacks a change which the store
    /// acknowledged longer ago than the bound, in any chain or circle of sources.
    #[test]
    fn a_node_that_is_not_stale_has_all_changes_older_than_the_bound(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut world = World::new();
        for (now, event) in world.schedule(&steps) {
            match event {
                Event::Acknowledge => world.acknowledged.push(now),
                Event::Respond(call) => world.respond(call, now),
                Event::Apply(call) => world.apply(call, now),
                Event::Check => {}
            }
            world.check(now)?;
        }
    }
}

/// A chain in steady state: node 0 watches the store, each other one follows the one before.
struct Line {
    chains: Vec<Chain>,
    /// The requests of the followers: when each was sent, and the age of the follower's proof then.
    requests: Vec<(Duration, Option<Duration>)>,
    /// The responses on their way: the follower, when it arrives, when its request was sent, the proof.
    responses: Vec<(usize, Duration, Duration, Passed)>,
    store_calls: usize,
}

/// The transit of a message between nodes.
const TRANSIT: Duration = Duration::from_millis(5);

/// How long each source holds the request of its follower.
const HOLD: [Duration; 3] = [ms(350), ms(350), POLL_TIMEOUT];

impl Line {
    /// Plays a minute in steps of a millisecond, with a store that answers in `store_time`. Returns the
    /// greatest age of each node's proof after the first five seconds.
    fn play(&mut self, store_time: Duration) -> Vec<Duration> {
        let mut fetcher = Fetcher::new(BOUND, Duration::ZERO, 0.0);
        let mut fetched: Option<Duration> = None;
        let mut oldest = vec![Duration::ZERO; self.chains.len()];
        for now in (0..60_000).map(ms) {
            if let Some(sent_at) = fetched.filter(|sent_at| *sent_at + store_time <= now) {
                self.chains[0].confirm(sent_at);
                fetcher.record_success(0.0);
                fetched = None;
            }
            let due_at = fetcher.due_at(self.chains[0].confirmed_at(), Path::Watching);
            if fetched.is_none() && due_at <= now {
                fetched = Some(now);
                self.store_calls += 1;
            }
            self.follow(now);
            for (oldest, chain) in oldest.iter_mut().zip(&self.chains) {
                let age = chain.age(now).filter(|_| now >= ms(5000));
                *oldest = (*oldest).max(age.unwrap_or_default());
            }
        }
        oldest
    }

    fn follow(&mut self, now: Duration) {
        for (index, hold) in HOLD.into_iter().enumerate() {
            let (sent_at, age) = self.requests[index];
            let Some(held) = now.checked_sub(sent_at + TRANSIT) else {
                continue;
            };
            let source = &self.chains[index];
            let is_open = !self.responses.iter().any(|(node, ..)| *node == index);
            let is_due = held >= hold || source.is_worth_passing(age, held, now);
            if is_open
                && is_due
                && let Some(age) = source.age(now)
            {
                let passed = Passed { age, held };
                self.responses.push((index, now + TRANSIT, sent_at, passed));
            }
        }
        let arrived =
            |(_, arrives_at, ..): &mut (usize, Duration, Duration, Passed)| *arrives_at <= now;
        for (index, _, sent_at, passed) in self.responses.extract_if(.., arrived) {
            let chain = &mut self.chains[index + 1];
            chain.confirm_from_source(sent_at, passed, now);
            self.requests[index] = (now, chain.age(now));
        }
    }
}

/// Guards against hosts that leave the rotation, or fetch proofs of their own, while nothing is wrong, and
/// against more calls than about one a second.
#[gtest]
fn a_chain_in_steady_state_stays_fresh() {
    for (store_time, limit) in [(ms(4), ms(1100)), (ms(240), ms(1600))] {
        let mut line = Line {
            chains: vec![Chain::new(BOUND); 1 + HOLD.len()],
            requests: vec![(Duration::ZERO, None); HOLD.len()],
            responses: Vec::new(),
            store_calls: 0,
        };
        let oldest = line.play(store_time);
        expect_that!(oldest, each(lt(&limit)), "store {store_time:?}");
        expect_that!(line.store_calls, le(61));
    }
}

/// Guards against hundreds of nodes that call the store at the moment at which it returns, and against more
/// calls while it is away than its rate limit has room for.
#[gtest]
fn calls_of_a_fleet_are_spread_over_an_outage() {
    let uniform = |node: u64, attempt: u64| {
        (node.wrapping_mul(2_654_435_761) ^ attempt.wrapping_mul(40_503)) % 1000
    };
    let mut calls = [0; 40];
    for node in 0..1700 {
        let random = |attempt| uniform(node, attempt) as f64 / 1000.0;
        let mut fetcher = Fetcher::new(BOUND, Duration::ZERO, random(0));
        for attempt in 1.. {
            // The last proof is as of second 1.
            let due_at = fetcher.due_at(Some(ms(1000)), Path::Following);
            let Some(second) = calls.get_mut(due_at.as_secs() as usize) else {
                break;
            };
            *second += 1;
            fetcher.record_failure(Path::Following, due_at, random(attempt));
        }
    }
    // Before its age has grown no node calls; later each calls about every six seconds.
    expect_that!(calls[..3], each(eq(&0)));
    expect_that!(calls[3..], each(le(&750)));
    expect_that!(calls[20..], each(le(&450)));
}

/// Guards against a fleet that calls the store at the moment at which a new configuration needs proofs: nodes
/// whose sources may pass one on wait for it, also with an older proof.
#[gtest]
fn only_watching_nodes_fetch_a_proof_at_once() {
    let now = ms(60_000);
    let fetcher = Fetcher::new(BOUND, now, 0.5);
    for confirmed_at in [None, Some(ms(1000))] {
        let due_at = |path| fetcher.due_at(confirmed_at, path);
        expect_that!(due_at(Path::Watching), eq(now));
        expect_that!(due_at(Path::Unproven), eq(now + ms(500)));
        expect_that!(due_at(Path::Following), eq(now + ms(3250)));
    }
}
