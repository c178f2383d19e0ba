//! Property test of publication and adoption on several nodes under faults.
//!
//! The invariants: no node returns to an earlier revision, also across restarts; no accepted change
//! is lost; no reported outcome of a publication is wrong; once the faults end, the newest revision
//! comes into force on all nodes.

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use simulation::{Fault, Simulation, any_faults};

mod simulation;

/// The number of simulated fleets.
const CASES: u32 = 1_000;

/// The number of threads among which the cases are divided.
const THREADS: u8 = 4;

fn run(worker: u8) {
    let config = ProptestConfig {
        cases: CASES / u32::from(THREADS),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let seed = [worker; 32];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let fleet = (1..=7_usize, any_faults(), any::<u64>());
    let result = runner.run(&fleet, |(count, faults, seed)| check(count, &faults, seed));
    if let Err(error) = result {
        panic!("worker {worker}: {error}");
    }
}

fn check(count: usize, faults: &[Fault], seed: u64) -> Result<(), TestCaseError> {
    let violations = Simulation::new(count, faults, seed).run();
    prop_assert!(violations.is_empty(), "{}", violations.join("\n"));
    Ok(())
}

/// Guards against violations of the invariants by any combination of faults: outages, slow or lossy
/// calls to the key-value service, network partitions and restarts.
#[test]
fn invariants_hold_under_faults() {
    std::thread::scope(|scope| {
        for worker in 0..THREADS {
            scope.spawn(move || run(worker));
        }
    });
}
