//! The memory budget against a plain model of who holds what.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;
use shallotroute_http::budget::{Admission, Budget, Connections, Limits, Phase};

const LIMITS: Limits = Limits {
    capacity: 1000,
    reserved: 200,
    small: 50,
    pressed_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
};

#[derive(Clone, Debug)]
enum Step {
    Open,
    Grow(usize, usize),
    Shrink(usize, usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (0..20_usize, 0..300_usize).prop_map(|(holder, bytes)| Step::Grow(holder, bytes)),
        (0..20_usize, 0..300_usize).prop_map(|(holder, bytes)| Step::Shrink(holder, bytes)),
        (0..20_usize).prop_map(Step::Close),
    ]
}

proptest! {
    /// Guards against a budget that exceeds its bound, loses or keeps bytes, or lets large holders take the share of small ones.
    #[test]
    fn bytes_are_bounded_and_accounted(steps in prop::collection::vec(step(), 1..200)) {
        let mut budget = Budget::new(LIMITS);
        let mut model: BTreeMap<u64, usize> = BTreeMap::new();
        let now = Duration::ZERO;
        for step in steps {
            let nth = |index: usize| model.keys().nth(index).copied();
            match step {
                Step::Open => {
                    let id = budget.open(Phase::Arriving, now);
                    model.insert(id, 0);
                }
                Step::Grow(index, bytes) => if let Some(id) = nth(index) {
                    let after = model[&id] + bytes;
                    let others = || model.iter().filter(|(other, _)| **other != id);
                    let total: usize = others().map(|(_, held)| held).sum::<usize>() + after;
                    let large: usize = others()
                        .map(|(_, held)| *held)
                        .chain([after])
                        .filter(|held| *held > LIMITS.small)
                        .sum();
                    let fits = total <= LIMITS.capacity && large <= LIMITS.capacity - LIMITS.reserved;
                    prop_assert_eq!(budget.grow(id, bytes, now).is_ok(), fits);
                    if fits {
                        model.insert(id, after);
                    }
                },
                Step::Shrink(index, bytes) => if let Some(id) = nth(index) {
                    budget.shrink(id, bytes, now);
                    let held = model[&id].saturating_sub(bytes);
                    model.insert(id, held);
                },
                Step::Close(index) => if let Some(id) = nth(index) {
                    budget.close(id);
                    model.remove(&id);
                },
            }
            prop_assert_eq!(budget.used(), model.values().sum::<usize>());
            prop_assert!(budget.used() <= LIMITS.capacity);
            prop_assert!(budget.used_by_large() <= LIMITS.capacity - LIMITS.reserved);
            prop_assert_eq!(budget.holders(), model.len());
        }
        for id in model.keys() {
            budget.close(*id);
        }
        prop_assert_eq!((budget.used(), budget.used_by_large()), (0, 0));
    }

    /// Guards against more connections than allowed, and against closing one that has a request.
    #[test]
    fn connections_are_bounded(max in 1..6_usize, steps in prop::collection::vec((0..3_u8, 0..8_usize), 1..100)) {
        let mut connections = Connections::new(max);
        let mut model: BTreeMap<u64, bool> = BTreeMap::new();
        for (at, (kind, index)) in steps.into_iter().enumerate() {
            let now = Duration::from_secs(at as u64);
            let nth = model.keys().nth(index).copied();
            match (kind, nth) {
                (0, _) => match connections.admit(now) {
                    Admission::Admitted(id) => {
                        prop_assert!(model.len() < max);
                        model.insert(id, false);
                    }
                    Admission::Replaced(id, victim) => {
                        prop_assert_eq!(model.remove(&victim), Some(false));
                        model.insert(id, false);
                    }
                    Admission::Rejected => {
                        prop_assert!(model.len() == max && model.values().all(|busy| *busy));
                    }
                },
                (1, Some(id)) if !model[&id] => {
                    connections.begin(id);
                    model.insert(id, true);
                }
                (1, Some(id)) => {
                    connections.end(id, now);
                    model.insert(id, false);
                }
                (2, Some(id)) => {
                    connections.close(id);
                    model.remove(&id);
                }
                _ => {}
            }
            prop_assert_eq!(connections.len(), model.len());
            prop_assert!(connections.len() <= max);
        }
    }
}

/// Guards against a client that sends single bytes and counts as making progress, and against closing a request that runs.
#[gtest]
fn only_holders_without_progress_are_stalled() {
    let mut budget = Budget::new(Limits {
        capacity: 1 << 20,
        reserved: 1 << 17,
        small: 1 << 10,
        ..LIMITS
    });
    let at = Duration::from_secs;
    let [slow, fast, kept] =
        [Phase::Arriving, Phase::Arriving, Phase::Kept].map(|phase| budget.open(phase, at(0)));
    for id in [slow, fast, kept] {
        expect_that!(budget.grow(id, 200 << 10, at(0)), ok(eq(())));
    }
    for second in 1..=5 {
        expect_that!(budget.grow(slow, 1, at(second)), ok(eq(())));
        expect_that!(budget.grow(fast, 16 << 10, at(second)), ok(eq(())));
    }
    expect_that!(budget.stalled(at(4)), is_empty());
    expect_that!(budget.stalled(at(5)), elements_are![eq(&slow)]);
    budget.close(kept);
    budget.close(fast);
    // Without pressure the deadline is longer, but finite.
    expect_that!(budget.stalled(at(59)), is_empty());
    expect_that!(budget.stalled(at(60)), elements_are![eq(&slow)]);
}
