//! Provenance, staleness and delivery under faults: random operations with a fixed seed on a
//! simulation of schedulers, engines and trainers.

mod simulation;
mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use simulation::Simulation;

/// Generates the operations. There is no reference model of the scheduler: the trainers of the
/// [`Simulation`] check the invariants.
struct Script;

#[derive(Clone, Debug)]
enum Operation {
    PassTime(u64),
    Generate(usize, u32, bool),
    Pull(usize, bool),
    Announce(usize, bool),
    LoseResponses(bool),
    LosePolls,
    AnswerScores(bool),
    BeginSwap(usize, usize, bool),
    EndSwap(usize, bool, bool),
    CrashEngine(usize),
    CutStreams(usize, bool),
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
            8 => prop_oneof![Just(50), Just(250), Just(4_000)].prop_map(PassTime),
            12 => (engine.clone(), 1..30_u32, prop::bool::weighted(0.05))
                .prop_map(|(engine, count, lost)| Generate(engine, count, lost)),
            10 => (trainer.clone(), prop::bool::weighted(0.8))
                .prop_map(|(trainer, is_at_owner)| Pull(trainer, is_at_owner)),
            3 => (trainer.clone(), any::<bool>())
                .prop_map(|(trainer, lost)| Announce(trainer, lost)),
            2 => any::<bool>().prop_map(LoseResponses),
            1 => Just(LosePolls),
            5 => prop::bool::weighted(0.8).prop_map(AnswerScores),
            4 => (engine.clone(), trainer.clone(), any::<bool>())
                .prop_map(|(engine, trainer, is_owner_notified)| {
                    BeginSwap(engine, trainer, is_owner_notified)
                }),
            4 => (engine.clone(), prop::bool::weighted(0.7), any::<bool>())
                .prop_map(|(engine, success, new)| EndSwap(engine, success, new)),
            1 => engine.clone().prop_map(CrashEngine),
            1 => (engine, any::<bool>())
                .prop_map(|(engine, with_end_marker)| CutStreams(engine, with_end_marker)),
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

struct Invariants;

impl StateMachineTest for Invariants {
    type SystemUnderTest = Simulation;
    type Reference = Script;

    fn init_test(_: &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, _: &(), operation: Operation) -> Simulation {
        match operation {
            Operation::PassTime(time) => simulation.pass_time(time),
            Operation::Generate(engine, count, lost) => {
                simulation.generate_tokens(engine, count, lost)
            }
            Operation::Pull(trainer, is_at_owner) => simulation.send_pull(trainer, is_at_owner),
            Operation::Announce(trainer, lost) => simulation.announce_next_version(trainer, lost),
            Operation::LoseResponses(lose) => simulation.lose_responses(lose),
            Operation::LosePolls => simulation.answer_polls(false),
            Operation::AnswerScores(success) => simulation.answer_scores(success),
            Operation::BeginSwap(engine, trainer, is_owner_notified) => {
                simulation.begin_swap(engine, trainer, is_owner_notified)
            }
            Operation::EndSwap(engine, success, new) => simulation.end_swap(engine, success, new),
            Operation::CrashEngine(engine) => simulation.crash_engine(engine),
            Operation::CutStreams(engine, with_end_marker) => {
                simulation.cut_streams(engine, with_end_marker)
            }
            Operation::Replay(pick, into) => simulation.replay_tokens(pick, into),
            Operation::CrashNode(node) => simulation.crash_node(node),
            Operation::ChangeOwner => simulation.change_owner(),
            Operation::Checkpoint(trainer) => simulation.save_checkpoint(trainer),
            Operation::Restart(trainer) => simulation.restart_trainer(trainer),
        }
        simulation
    }

    fn teardown(mut simulation: Simulation, _: ()) {
        simulation.settle_without_faults();
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

    /// Guards against a sample with wrong provenance, one that exceeds its trainer's staleness
    /// bound, and a group that is delivered twice, after crashes, lost messages, failed swaps and
    /// changes of the owner. Also guards against a step that never completes once the faults stop.
    #[test]
    fn invariants_hold_under_faults(sequential 20..200 => Invariants);
}
