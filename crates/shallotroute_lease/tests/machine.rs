//! Several nodes that compete for one lease under random faults, with fixed seeds.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

mod world;

use world::{NODES, World};

/// The longest time from the crash of a holder until another node holds the lease.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// A fault, a recovery, or a time to run, in milliseconds.
#[derive(Clone, Debug)]
enum Transition {
    Run(u64),
    Pause(usize),
    Resume(usize),
    Crash(usize),
    Restart(usize),
    SetWanted(usize, bool),
    SetOutage(bool),
    SetLoss(f64),
    SetDelay(u64),
}

/// The reference model. It has no state, since each fault is possible at any time.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        let node = 0..NODES;
        prop_oneof![
            6 => (10u64..4_000).prop_map(Transition::Run),
            2 => node.clone().prop_map(Transition::Pause),
            2 => node.clone().prop_map(Transition::Resume),
            1 => node.clone().prop_map(Transition::Crash),
            2 => node.clone().prop_map(Transition::Restart),
            1 => (node, any::<bool>()).prop_map(|(node, wanted)| Transition::SetWanted(node, wanted)),
            1 => any::<bool>().prop_map(Transition::SetOutage),
            1 => (0.0..0.5).prop_map(Transition::SetLoss),
            1 => (1u64..2_500).prop_map(Transition::SetDelay),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Transition) -> u64 {
        state
    }
}

struct LeaseTest;

impl StateMachineTest for LeaseTest {
    type SystemUnderTest = World;
    type Reference = Faults;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    /// [`World`] checks after each step that there is at most one holder, and at each acquisition that
    /// the fencing number rises.
    fn apply(mut world: World, _: &u64, transition: Transition) -> World {
        match transition {
            Transition::Run(millis) => world.run(Duration::from_millis(millis)),
            Transition::Pause(node) => world.pause(node, true),
            Transition::Resume(node) => world.pause(node, false),
            Transition::Crash(node) => world.crash(node),
            Transition::Restart(node) => world.restart(node),
            Transition::SetWanted(node, wanted) => world.want(node, wanted),
            Transition::SetOutage(has_outage) => world.has_outage = has_outage,
            Transition::SetLoss(loss) => world.loss_probability = loss,
            Transition::SetDelay(millis) => world.longest_delay = Duration::from_millis(millis),
        }
        world
    }

    /// Ends all faults and checks that the lease has a holder again.
    fn teardown(mut world: World, _: u64) {
        world.has_outage = false;
        world.loss_probability = 0.0;
        world.longest_delay = Duration::from_millis(10);
        for node in 0..NODES {
            world.pause(node, false);
            world.restart(node);
            world.want(node, true);
        }
        let held = world.run_until(TAKEOVER_TIMEOUT * 2, |world| !world.holders().is_empty());
        assert!(
            held.is_some(),
            "no node holds the lease after the faults ended"
        );
    }
}

fn config(seed: u64, cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(11, 300))]

    /// Guards against two holders at the same true time, fencing numbers that don't rise, and a lease
    /// that no node acquires after faults. Clocks drift, processes pause and crash, and calls to the store
    /// are delayed or lose their responses.
    #[test]
    fn lease_has_one_holder_at_a_time(sequential 1..60 => LeaseTest);
}

proptest! {
    #![proptest_config(config(12, 300))]

    /// Guards against a takeover that takes too long after the crash of a holder.
    #[test]
    fn lease_is_taken_over_within_five_seconds(seed in any::<u64>(), run_ms in 100u64..8_000, delay_ms in 1u64..100) {
        let mut world = World::new(seed);
        world.longest_delay = Duration::from_millis(delay_ms);
        world.run(Duration::from_millis(run_ms));
        let acquired = world.run_until(TAKEOVER_TIMEOUT, |world| !world.holders().is_empty());
        prop_assert!(acquired.is_some());
        let holder = world.holders()[0];
        world.crash(holder);
        let took_over = world.run_until(TAKEOVER_TIMEOUT, |world| !world.holders().is_empty());
        prop_assert!(took_over.is_some(), "no node took the lease over within 5 s");
    }
}
