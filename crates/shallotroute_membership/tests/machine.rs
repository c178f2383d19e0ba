//! A fleet under crashes, partitions and loss, with fixed seeds.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use shallotroute_types::{member::State, revision::Revision};

#[expect(dead_code, reason = "shared with the scale test")]
mod fleet;

use fleet::Fleet;

const NODES: usize = 7;

/// Silence after which a node without a majority must say so, with a tick and a datagram in flight.
const ISOLATED_AFTER: Duration = Duration::from_millis(6_200);

/// Time after the last fault in which all nodes agree again.
const AGREE_WITHIN: Duration = Duration::from_secs(15);

/// A fault, a repair or time that passes.
#[derive(Clone, Debug)]
enum Transition {
    Run(u64),
    Crash(usize),
    Restart(usize),
    Cut(usize),
    Lose(f64),
    Publish(usize),
}

/// The number of the newest revision; the faults need no model of their own.
#[derive(Clone, Debug)]
struct Reference {
    seed: u64,
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>().prop_map(|seed| Self { seed }).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let node = 0..NODES;
        prop_oneof![
            6 => (50u64..9_000).prop_map(Transition::Run),
            2 => node.clone().prop_map(Transition::Crash),
            3 => node.clone().prop_map(Transition::Restart),
            2 => node.clone().prop_map(Transition::Cut),
            1 => (0.0..0.4).prop_map(Transition::Lose),
            1 => node.prop_map(Transition::Publish),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

struct Test {
    fleet: Fleet,
    cut_since: Duration,
    elapsed: Duration,
    restarts: u64,
    newest: u64,
}

impl Test {
    fn run(&mut self, duration: Duration) {
        self.fleet.run(duration);
        self.elapsed += duration;
    }

    /// Restarting a node makes its address reachable again and its earlier incarnation obsolete.
    fn restart(&mut self, index: usize) {
        if !self.fleet.nodes[index].running {
            self.restarts += 1;
            self.fleet.restart(index, self.restarts);
            self.fleet.list(index);
        }
    }

    fn check_isolated(&self) {
        if self.elapsed < self.cut_since + ISOLATED_AFTER {
            return;
        }
        let cut = self.fleet.cut;
        for (index, node) in self.fleet.nodes.iter().enumerate() {
            let side = if index < cut { cut } else { NODES - cut };
            if node.running && side * 2 < NODES {
                assert!(
                    !node.table.view().majority,
                    "node {index} cut off with {side}"
                );
            }
        }
    }
}

impl StateMachineTest for Test {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(reference: &Reference) -> Self {
        let mut fleet = Fleet::new(NODES, 0.0, reference.seed);
        (0..NODES).for_each(|index| fleet.list(index));
        fleet.run(Duration::from_secs(2));
        assert!(fleet.agrees(), "the fleet did not form within 2 s");
        Self {
            fleet,
            cut_since: Duration::ZERO,
            elapsed: Duration::ZERO,
            restarts: 0,
            newest: 0,
        }
    }

    fn apply(mut test: Self, _: &Reference, transition: Transition) -> Self {
        match transition {
            Transition::Run(millis) => test.run(Duration::from_millis(millis)),
            Transition::Crash(node) => test.fleet.nodes[node].running = false,
            Transition::Restart(node) => test.restart(node),
            Transition::Cut(index) => {
                test.fleet.cut = index;
                test.cut_since = test.elapsed;
            }
            Transition::Lose(share) => test.fleet.loss = share,
            Transition::Publish(node) if test.fleet.nodes[node].running => {
                test.newest += 1;
                test.fleet.publish(node, Revision(test.newest));
            }
            Transition::Publish(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &Reference) {
        test.check_isolated();
        for view in test.fleet.views() {
            let local = view.local.as_ref().unwrap();
            assert_eq!(view.get(local).unwrap().state, State::Alive);
            assert!(view.members.is_sorted_by(|left, right| left.id < right.id));
        }
    }

    /// After the faults all nodes see each other, and know the same newest revision.
    fn teardown(mut test: Self, _: Reference) {
        test.fleet.cut = 0;
        test.fleet.loss = 0.0;
        for index in 0..NODES {
            test.restart(index);
        }
        let newest = test.fleet.nodes.iter().map(|node| node.known).max();
        let agreed = |fleet: &Fleet| {
            fleet.agrees() && fleet.nodes.iter().all(|node| Some(node.known) == newest)
        };
        let within = test.fleet.run_until(AGREE_WITHIN, agreed);
        let states: Vec<_> = test.fleet.views().map(|view| view.live().count()).collect();
        assert!(
            within.is_some(),
            "no agreement, live members by node: {states:?}"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        cases: 60,
        ..Config::default()
    })]

    /// Guards against nodes that stay apart after faults, against revisions that don't spread, and
    /// against a majority on the smaller side of a partition.
    #[test]
    fn fleet_agrees_after_faults(sequential 1..30 => Test);
}
