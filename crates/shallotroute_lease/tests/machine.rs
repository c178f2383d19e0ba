//! Several holders of one lease under faults, with fixed seeds.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

mod world;

use world::{NODES, World};

/// The longest time from the crash of a holder to the next one.
const TAKEOVER_WITHIN: Duration = Duration::from_secs(5);

/// A fault, a repair or time that passes.
#[derive(Clone, Debug)]
enum Transition {
    Run(u64),
    Pause(usize),
    Resume(usize),
    Crash(usize),
    Restart(usize),
    Want(usize, bool),
    Outage(bool),
    Lose(f64),
    Slow(u64),
}

/// The faults need no model of their own: each is possible at any time.
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
            1 => (node, any::<bool>()).prop_map(|(node, wanted)| Transition::Want(node, wanted)),
            1 => any::<bool>().prop_map(Transition::Outage),
            1 => (0.0..0.5).prop_map(Transition::Lose),
            1 => (1u64..2_500).prop_map(Transition::Slow),
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

    /// The world itself checks at each step that there is one holder and that numbers rise.
    fn apply(mut world: World, _: &u64, transition: Transition) -> World {
        match transition {
            Transition::Run(millis) => world.run(Duration::from_millis(millis)),
            Transition::Pause(node) => world.pause(node, true),
            Transition::Resume(node) => world.pause(node, false),
            Transition::Crash(node) => world.crash(node),
            Transition::Restart(node) => world.restart(node),
            Transition::Want(node, wanted) => world.want(node, wanted),
            Transition::Outage(outage) => world.outage = outage,
            Transition::Lose(share) => world.lost = share,
            Transition::Slow(millis) => world.longest_delay = Duration::from_millis(millis),
        }
        world
    }

    /// After all faults are over, the lease has a holder again.
    fn teardown(mut world: World, _: u64) {
        world.outage = false;
        world.lost = 0.0;
        world.longest_delay = Duration::from_millis(10);
        for node in 0..NODES {
            world.pause(node, false);
            world.restart(node);
            world.want(node, true);
        }
        let held = world.run_until(TAKEOVER_WITHIN * 2, |world| !world.holders().is_empty());
        assert!(held.is_some(), "nobody holds the lease after the faults");
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

    /// Guards against two holders at once by true time, fencing numbers that don't rise, and a lease
    /// that nobody gets after faults.
    #[test]
    fn one_holder_at_a_time(sequential 1..60 => LeaseTest);
}

proptest! {
    #![proptest_config(config(12, 300))]

    /// Guards against a slow takeover after the crash of a holder.
    #[test]
    fn takeover_within_five_seconds(seed in any::<u64>(), before in 100u64..8_000, delay in 1u64..100) {
        let mut world = World::new(seed);
        world.longest_delay = Duration::from_millis(delay);
        world.run(Duration::from_millis(before));
        let acquired = world.run_until(TAKEOVER_WITHIN, |world| !world.holders().is_empty());
        prop_assert!(acquired.is_some());
        let holder = world.holders()[0];
        world.crash(holder);
        let taken = world.run_until(TAKEOVER_WITHIN, |world| !world.holders().is_empty());
        prop_assert!(taken.is_some(), "no takeover within 5 s");
    }
}
