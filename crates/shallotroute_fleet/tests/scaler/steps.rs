//! Steps of four trainers on the servers that the scaler orders: what is late, and what it costs.
//!
//! A step has 100 items that need 0.4 to 2.8 s of a slot, 1 s on average, up to a quarter more at full
//! servers. The next one begins 4 s after the last one, or 0.5 s after its end. Servers load versions for a
//! quarter of their time. The steps in progress share the slots, as batch jobs do.

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_fleet::scaler::{Policy, Scaler};

use super::{
    START,
    platform::{DUE_AFTER, Platform, known_scaling},
};

const TICK: Duration = Duration::from_millis(50);

/// The time to score and commit the last items of a step, in seconds.
const COMMIT_TIME: f64 = 0.4;

/// The figures of ten minutes.
#[derive(Debug, Default)]
struct Figures {
    steps: usize,
    late: usize,
    cost: f64,
    calls: usize,
}

struct Trainer {
    next: f64,
    begun: f64,
    /// The time that each open item still needs.
    work: Vec<f64>,
}

/// Runs ten minutes. The spot servers of the zones that `reclaimed` returns for a minute are reclaimed in it,
/// and none can be had there for ten seconds.
fn run(policy: Policy, reclaimed: impl Fn(u64) -> &'static [&'static str]) -> Figures {
    let mut platform = Platform::new(known_scaling(), &START);
    platform.scaler = Scaler::new(policy, platform.now);
    let mut state = 0x9E37_79B9_7F4A_7C15_u64;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    let trainer = |index| Trainer {
        next: f64::from(index) * 0.9,
        begun: 0.0,
        work: Vec::new(),
    };
    let mut trainers: Vec<Trainer> = (0..4).map(trainer).collect();
    let mut figures = Figures::default();
    for tick in 0_u64..12_000 {
        let now = tick as f64 * TICK.as_secs_f64();
        match tick % 1200 {
            0 => platform.reclaim(reclaimed(tick / 1200)),
            200 => platform.restore(),
            _ => {}
        }
        for trainer in &mut trainers {
            if trainer.work.is_empty() && now >= trainer.next {
                trainer.begun = now;
                trainer.work = (0..100).map(|_| 0.4 + 2.4 * random() * random()).collect();
            }
        }
        generate(
            &mut trainers,
            f64::from(platform.serving()) * 6.0 * 0.75,
            now,
            &mut figures,
        );
        figures.cost += platform.cost() * TICK.as_secs_f64();
        if tick % 20 == 0 {
            platform.step(Some(
                trainers.iter().map(|trainer| trainer.work.len()).sum(),
            ));
            platform.now -= Duration::from_secs(1);
        }
        platform.now += TICK;
    }
    figures.calls = platform.orders.len();
    figures
}

fn generate(trainers: &mut [Trainer], slots: f64, now: f64, figures: &mut Figures) {
    let open: usize = trainers.iter().map(|trainer| trainer.work.len()).sum();
    let mut left = slots as usize;
    let crowding = (open as f64 / slots.max(1.0)).min(1.0);
    let progress = TICK.as_secs_f64() / (1.0 + 0.25 * crowding);
    let mut active: Vec<&mut Trainer> = trainers
        .iter_mut()
        .filter(|one| !one.work.is_empty())
        .collect();
    active.sort_by_key(|trainer| trainer.work.len());
    let count = active.len();
    for (index, trainer) in active.into_iter().enumerate() {
        let share = (left / (count - index)).min(trainer.work.len());
        left -= share;
        trainer.work[..share]
            .iter_mut()
            .for_each(|item| *item -= progress);
        trainer.work.retain(|item| *item > 0.0);
        if trainer.work.is_empty() {
            let taken = now - trainer.begun + COMMIT_TIME;
            figures.steps += 1;
            figures.late += usize::from(taken > DUE_AFTER.as_secs_f64());
            trainer.next = (trainer.begun + 4.0).max(now + 0.5);
        }
    }
}

/// Guards against numbers that make steps late or cost as much as they save: by demand, no step is late
/// without a loss of servers or when one zone a minute is reclaimed, and few are when all are.
#[gtest]
fn steps_are_in_time_at_half_the_price() {
    let unchanged = run(Policy::Unchanged, |_| &[]);
    let calm = run(Policy::ByDemand, |_| &[]);
    let by_zone = run(Policy::ByDemand, |minute| {
        [&["a"][..], &["b"], &["c"]][minute as usize % 3]
    });
    let all = run(Policy::ByDemand, |_| &["a", "b", "c"]);
    eprintln!("unchanged {unchanged:?}, by demand {calm:?}, with losses {by_zone:?}, {all:?}");
    expect_that!(unchanged.late, eq(0));
    for (figures, price) in [(&calm, 0.5), (&by_zone, 0.6)] {
        expect_that!(figures.late, eq(0));
        expect_that!(figures.cost, lt(unchanged.cost * price));
        expect_that!(figures.steps * 100, ge(unchanged.steps * 98));
    }
    expect_that!(all.late * 100, le(all.steps * 2));
    expect_that!(calm.calls, le(40));
}
