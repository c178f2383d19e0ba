//! A fleet under random crashes, partitions and loss of datagrams, with fixed seeds.

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

/// The time after which a node on the smaller side of a partition must report that it has no majority:
/// 6 s, a tick and the delay of a datagram.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(6_200);

/// The time after the last fault within which all nodes must agree again.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(15);

/// A fault, a recovery, a publication, or a time to run in milliseconds.
#[derive(Clone, Debug)]
enum Transition {
    Run(u64),
    Crash(usize),
    Restart(usize),
    SetPartition(usize),
    SetLoss(f64),
    Publish(usize),
}

/// The reference model. It holds only the seed of the fleet, since each fault is possible at any time.
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
            2 => node.clone().prop_map(Transition::SetPartition),
            1 => (0.0..0.4).prop_map(Transition::SetLoss),
            1 => node.prop_map(Transition::Publish),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

struct FleetTest {
    fleet: Fleet,
    /// The virtual time at which the partition began or ended last.
    partitioned_at: Duration,
    elapsed: Duration,
    restarts: u64,
    /// The newest published revision.
    newest: u64,
}

impl FleetTest {
    fn run(&mut self, duration: Duration) {
        self.fleet.run(duration);
        self.elapsed += duration;
    }

    /// Restarts a node with a higher incarnation, unless it is running.
    fn restart(&mut self, index: usize) {
        if !self.fleet.nodes[index].is_running {
            self.restarts += 1;
            self.fleet.restart(index, self.restarts);
            self.fleet.set_host_list(index);
        }
    }

    /// Checks that no node on the smaller side of a partition reports a majority for longer than
    /// [`ISOLATION_TIMEOUT`].
    fn check_minority(&self) {
        if self.elapsed < self.partitioned_at + ISOLATION_TIMEOUT {
            return;
        }
        let partition_index = self.fleet.partition_index;
        for (index, node) in self.fleet.nodes.iter().enumerate() {
            let side_size = if index < partition_index {
                partition_index
            } else {
                NODES - partition_index
            };
            if node.is_running && side_size * 2 < NODES {
                assert!(
                    !node.table.view().majority,
                    "node {index} still has a majority although it sees only {side_size} nodes"
                );
            }
        }
    }
}

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(reference: &Reference) -> Self {
        let mut fleet = Fleet::new(NODES, 0.0, reference.seed);
        (0..NODES).for_each(|index| fleet.set_host_list(index));
        fleet.run(Duration::from_secs(2));
        assert!(fleet.agrees(), "the fleet did not form within 2 s");
        Self {
            fleet,
            partitioned_at: Duration::ZERO,
            elapsed: Duration::ZERO,
            restarts: 0,
            newest: 0,
        }
    }

    fn apply(mut test: Self, _: &Reference, transition: Transition) -> Self {
        match transition {
            Transition::Run(millis) => test.run(Duration::from_millis(millis)),
            Transition::Crash(node) => test.fleet.nodes[node].is_running = false,
            Transition::Restart(node) => test.restart(node),
            Transition::SetPartition(index) => {
                test.fleet.partition_index = index;
                test.partitioned_at = test.elapsed;
            }
            Transition::SetLoss(loss) => test.fleet.loss_probability = loss,
            Transition::Publish(node) if test.fleet.nodes[node].is_running => {
                test.newest += 1;
                test.fleet.publish(node, Revision(test.newest));
            }
            Transition::Publish(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &Reference) {
        test.check_minority();
        for view in test.fleet.views() {
            let local = view.local.as_ref().unwrap();
            assert_eq!(view.get(local).unwrap().state, State::Alive);
            assert!(view.members.is_sorted_by(|left, right| left.id < right.id));
        }
    }

    /// Ends all faults, and checks that all nodes see each other and hold the same newest revision.
    fn teardown(mut test: Self, _: Reference) {
        test.fleet.partition_index = 0;
        test.fleet.loss_probability = 0.0;
        for index in 0..NODES {
            test.restart(index);
        }
        let newest = test.fleet.nodes.iter().map(|node| node.known).max();
        let agreed = |fleet: &Fleet| {
            fleet.agrees() && fleet.nodes.iter().all(|node| Some(node.known) == newest)
        };
        let agreed_after = test.fleet.run_until(AGREEMENT_TIMEOUT, agreed);
        let states: Vec<_> = test.fleet.views().map(|view| view.live().count()).collect();
        assert!(
            agreed_after.is_some(),
            "the nodes do not agree; live members in each node's view: {states:?}"
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

    /// Guards against nodes that do not find each other again after crashes, partitions and loss, against
    /// revisions that don't spread, and against a majority on the smaller side of a partition.
    #[test]
    fn fleet_agrees_after_faults(sequential 1..30 => FleetTest);
}
