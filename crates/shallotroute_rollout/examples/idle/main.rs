//! Runs the scheduler and the swap controller against simulated engines in virtual time and prints
//! the idle time of two trainers by selection, swap, order and tail policy.
//!
//! `cargo run --release -p shallotroute_rollout --example idle [-- sample|attempt]`
//!
//! The length belongs to the sample by default, or is drawn for each attempt with `attempt`.
#![allow(clippy::print_stdout, reason = "the table is the result")]

mod load;
mod model;

use load::{SEEDS, STEPS, TRAINERS, lower_bound};
use model::{Model, Policy};
use shallotroute_config::object::{Order, Selection, Swap, Tail};

const BASE: Policy = Policy {
    order: Order::Fcfs,
    tail: Tail::None,
    swap: Swap::AllAtOnce,
    selection: Selection::RoundRobin,
};

const POLICIES: [(&str, Policy); 12] = {
    let chosen = Policy {
        selection: Selection::Adaptive,
        swap: Swap::Waves,
        ..BASE
    };
    [
        ("baselines", BASE),
        (
            "least_loaded",
            Policy {
                selection: Selection::LeastLoaded,
                ..BASE
            },
        ),
        (
            "adaptive",
            Policy {
                selection: Selection::Adaptive,
                ..BASE
            },
        ),
        ("adaptive waves fcfs none", chosen),
        (
            "adaptive waves fair none",
            Policy {
                order: Order::Fair,
                ..chosen
            },
        ),
        (
            "adaptive waves least_remaining none",
            Policy {
                order: Order::LeastRemaining,
                ..chosen
            },
        ),
        (
            "adaptive waves joint none",
            Policy {
                order: Order::Joint,
                ..chosen
            },
        ),
        (
            "adaptive waves fcfs hedge",
            Policy {
                tail: Tail::Hedge,
                ..chosen
            },
        ),
        (
            "adaptive waves fair hedge",
            Policy {
                order: Order::Fair,
                tail: Tail::Hedge,
                ..chosen
            },
        ),
        (
            "adaptive waves least_remaining hedge",
            Policy {
                order: Order::LeastRemaining,
                tail: Tail::Hedge,
                ..chosen
            },
        ),
        (
            "adaptive waves least_remaining priority",
            Policy {
                order: Order::LeastRemaining,
                tail: Tail::Priority,
                ..chosen
            },
        ),
        (
            "adaptive waves joint hedge",
            Policy {
                order: Order::Joint,
                tail: Tail::Hedge,
                ..chosen
            },
        ),
    ]
};

fn main() {
    let by_attempt = std::env::args().nth(1).as_deref() == Some("attempt");
    println!(
        "lengths belong to the {}",
        if by_attempt { "attempt" } else { "sample" }
    );
    println!(
        "{:40} {:>32} {:>7} {:>7} {:>9} {:>7} {:>7}",
        "policy", "idle seconds by seed", "mean", "idle %", "stale avg", "doomed", "hedged"
    );
    for (name, policy) in POLICIES {
        let mut idle = Vec::new();
        let (mut total, mut ages, mut doomed, mut hedged) = (0.0, Vec::new(), 0, 0);
        for seed in 1..=SEEDS {
            let mut model = Model::new(seed, policy, by_attempt);
            model.run();
            idle.push(
                model
                    .learners
                    .iter()
                    .map(|learner| learner.idle_seconds)
                    .sum::<f64>(),
            );
            let train: f64 = TRAINERS
                .iter()
                .map(|(.., seconds)| seconds * STEPS as f64)
                .sum();
            total += train + idle[idle.len() - 1];
            ages.extend(
                model
                    .learners
                    .iter()
                    .flat_map(|learner| learner.staleness.clone()),
            );
            doomed += model.doomed;
            hedged += model.hedged;
        }
        let sum: f64 = idle.iter().sum();
        let age = ages.iter().sum::<u64>() as f64 / ages.len() as f64;
        let by_seed: Vec<String> = idle.iter().map(|idle| format!("{idle:.0}")).collect();
        println!(
            "{name:40} {:>32} {:7.0} {:7.1} {age:9.2} {doomed:7} {hedged:7}",
            by_seed.join(" "),
            sum / SEEDS as f64,
            100.0 * sum / total,
        );
        assert!(
            ages.iter().all(|age| *age <= 1),
            "a sample exceeds the staleness bound"
        );
    }
    if by_attempt {
        // A hedged attempt may be shorter, so that the longest sample gives no bound.
        return;
    }
    let bounds: Vec<f64> = (1..=SEEDS)
        .map(|seed| lower_bound(seed, &Model::new(seed, BASE, false).slowdowns))
        .collect();
    let by_seed: Vec<String> = bounds.iter().map(|bound| format!("{bound:.0}")).collect();
    let mean = bounds.iter().sum::<f64>() / SEEDS as f64;
    println!("{:40} {:>32} {mean:7.0}", "lower bound", by_seed.join(" "));
}
