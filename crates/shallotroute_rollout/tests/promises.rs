//! R1 to R3 under faults: a state machine of schedulers, engines and trainers with fixed seeds.

mod support;
mod world;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use world::World;

/// The oracle. It has no model of the scheduler: the trainers' checks in [`World`] are the
/// promises.
struct Script;

#[derive(Clone, Debug)]
enum Operation {
    Pass(u64),
    Generate(usize, u32, bool),
    Pull(usize, bool),
    Announce(usize, bool),
    LoseAnswers(bool),
    LosePolls,
    AnswerScores(bool),
    BeginSwap(usize, usize, bool),
    EndSwap(usize, bool, bool),
    CrashEngine(usize),
    Cut(usize, bool),
    Replay(usize, usize),
    CrashNode(usize),
    ChangeOwner,
    Checkpoint(usize),
    Restart(usize),
}

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = Operation;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        use Operation::*;
        let (engine, trainer, node) = (0..3_usize, 0..2_usize, 0..2_usize);
        prop_oneof![
            8 => prop_oneof![Just(50), Just(250), Just(4_000)].prop_map(Pass),
            12 => (engine.clone(), 1..30_u32, prop::bool::weighted(0.05))
                .prop_map(|(engine, count, lost)| Generate(engine, count, lost)),
            10 => (trainer.clone(), prop::bool::weighted(0.8)).prop_map(|(t, owner)| Pull(t, owner)),
            3 => (trainer.clone(), any::<bool>()).prop_map(|(t, lost)| Announce(t, lost)),
            2 => any::<bool>().prop_map(LoseAnswers),
            1 => Just(LosePolls),
            5 => prop::bool::weighted(0.8).prop_map(AnswerScores),
            4 => (engine.clone(), trainer.clone(), any::<bool>())
                .prop_map(|(engine, trainer, told)| BeginSwap(engine, trainer, told)),
            4 => (engine.clone(), prop::bool::weighted(0.7), any::<bool>())
                .prop_map(|(engine, success, new)| EndSwap(engine, success, new)),
            1 => engine.clone().prop_map(CrashEngine),
            1 => (engine, any::<bool>()).prop_map(|(engine, quiet)| Cut(engine, quiet)),
            2 => (any::<usize>(), any::<usize>()).prop_map(|(pick, into)| Replay(pick, into)),
            1 => node.prop_map(CrashNode),
            1 => Just(ChangeOwner),
            1 => trainer.clone().prop_map(Checkpoint),
            1 => trainer.prop_map(Restart),
        ]
        .boxed()
    }

    fn apply(_: Self::State, _: &Self::Transition) -> Self::State {}
}

struct Promises;

impl StateMachineTest for Promises {
    type SystemUnderTest = World;
    type Reference = Script;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), operation: Operation) -> World {
        match operation {
            Operation::Pass(time) => world.pass(time),
            Operation::Generate(engine, count, lost) => world.generate(engine, count, lost),
            Operation::Pull(trainer, at_owner) => world.pull(trainer, at_owner),
            Operation::Announce(trainer, lost) => world.announce(trainer, lost),
            Operation::LoseAnswers(lose) => world.lose_answers(lose),
            Operation::LosePolls => world.answer_polls(false),
            Operation::AnswerScores(success) => world.answer_scores(success),
            Operation::BeginSwap(engine, trainer, told) => world.begin_swap(engine, trainer, told),
            Operation::EndSwap(engine, success, new) => world.end_swap(engine, success, new),
            Operation::CrashEngine(engine) => world.crash_engine(engine),
            Operation::Cut(engine, quiet) => world.cut(engine, quiet),
            Operation::Replay(pick, into) => world.replay(pick, into),
            Operation::CrashNode(node) => world.crash_node(node),
            Operation::ChangeOwner => world.change_owner(),
            Operation::Checkpoint(trainer) => world.checkpoint(trainer),
            Operation::Restart(trainer) => world.restart(trainer),
        }
        world
    }

    fn teardown(mut world: World, _: ()) {
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    })]

    /// Guards against a sample with wrong provenance, beyond its trainer's staleness bound, or
    /// delivered twice, and against a step that never becomes whole after the faults stop.
    #[test]
    fn promises_hold_under_faults(sequential 20..200 => Promises);
}
