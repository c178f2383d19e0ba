//! Publication and adoption of several nodes under faults, against the promises of the service: no
//! revert on any node, also over restarts; no accepted change lost; no wrong result of a publication;
//! the newest revision in force everywhere once the faults stop.

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use simulation::{Fault, Simulation, any_faults};

mod simulation;

/// The number of fleets.
const CASES: u32 = 1_000;

/// How many threads share the cases.
const SHARES: u8 = 4;

fn run(share: u8) {
    let config = ProptestConfig {
        cases: CASES / u32::from(SHARES),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let seed = [share; 32];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let fleet = (1..=7_usize, any_faults(), any::<u64>());
    let result = runner.run(&fleet, |(count, faults, seed)| check(count, &faults, seed));
    if let Err(error) = result {
        panic!("share {share}: {error}");
    }
}

fn check(count: usize, faults: &[Fault], seed: u64) -> Result<(), TestCaseError> {
    let violations = Simulation::new(count, faults, seed).run();
    prop_assert!(violations.is_empty(), "{}", violations.join("\n"));
    Ok(())
}

/// Guards against broken promises of publication and adoption.
#[test]
fn invariants_hold_under_faults() {
    std::thread::scope(|scope| {
        for share in 0..SHARES {
            scope.spawn(move || run(share));
        }
    });
}
