//! The choice of the sample for a free slot and of the engine for a sample.

mod support;

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use shallotroute_config::object::{Order, Selection};
use shallotroute_rollout::{
    engine::Report,
    order::{Candidate, compare},
    scheduler::Event,
};
use support::{Harness, configuration, key, loaded, pool, specification, trainer};

/// Guards against orders that rank steps differently from their definitions.
#[gtest]
fn orders_rank_steps() {
    let long = Candidate {
        sequence: 1,
        submitted: Duration::ZERO,
        steps_ahead: 0,
        running_attempts: 2,
        share: 1.0,
        total_seconds: 100.0,
        remaining_seconds: 5.0,
    };
    let short = Candidate {
        sequence: 2,
        submitted: Duration::from_secs(10),
        running_attempts: 6,
        total_seconds: 20.0,
        remaining_seconds: 15.0,
        ..long
    };
    let first = |order| {
        if compare(order, &long, &short).is_lt() {
            "long"
        } else {
            "short"
        }
    };
    expect_that!(first(Order::Fcfs), eq("long"));
    expect_that!(first(Order::Fair), eq("long"));
    expect_that!(first(Order::LeastRemaining), eq("long"));
    expect_that!(
        first(Order::Joint),
        eq("short"),
        "the mean busy times are 50 s and 20 s"
    );
    let weighted = Candidate {
        share: 4.0,
        ..short
    };
    expect_true!(compare(Order::LeastRemaining, &weighted, &long).is_lt());
    expect_true!(compare(Order::Fair, &weighted, &long).is_lt());
    // No trainer waits for a step that is generated in advance.
    let ahead = Candidate {
        steps_ahead: 1,
        ..long
    };
    expect_true!(compare(Order::LeastRemaining, &ahead, &short).is_gt());
}

/// Guards against a trainer that gets less than its share because another one submitted more work
/// first.
#[gtest]
fn fair_order_divides_the_slots_by_share() {
    let [mut a, mut b] = ["a", "b"].map(trainer);
    (a.order, b.order) = (Order::Fair, Order::Fair);
    a.share = 3.0;
    let mut harness = Harness::new(configuration(pool(2, 8), vec![a, b]));
    harness.event(Event::Submitted(key("b", 0), specification(50, 2)));
    harness.event(Event::Submitted(key("a", 0), specification(50, 2)));
    harness.report(5);
    let of = |name: &str| {
        let starts = harness.running.values();
        starts
            .filter(|start| start.sample.trainer.as_str() == name)
            .count()
    };
    expect_that!((of("a"), of("b")), eq((12, 4)));
}

fn by_engine(harness: &Harness) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for start in harness.running.values() {
        *counts.entry(start.server.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against attempts on slots that other clients use or that are reserved for callers.
#[gtest]
fn attempts_leave_other_load_and_reserved_slots_alone() {
    for selection in [
        Selection::RoundRobin,
        Selection::LeastLoaded,
        Selection::Adaptive,
    ] {
        let mut pool = pool(3, 8);
        pool.selection = selection;
        let mut configuration = (*configuration(pool, vec![trainer("a")])).clone();
        configuration.serves_callers = true;
        let mut harness = Harness::new(configuration.into());
        harness.event(Event::Submitted(key("a", 0), specification(50, 2)));
        let polls = std::mem::take(&mut harness.polls);
        for ((server, number), load) in polls.into_iter().zip([0, 5, 9]) {
            let report = Report { load, ..loaded(5) };
            harness.event(Event::Polled(server, number, Some(report)));
        }
        // One of eight slots is reserved.
        let expected = BTreeMap::from([("engine-0".into(), 7), ("engine-1".into(), 2)]);
        expect_that!(by_engine(&harness), eq(&expected));
        // The next report includes the attempts of this scheduler.
        harness.now += Duration::from_millis(250);
        harness.event(Event::Tick);
        let polls = std::mem::take(&mut harness.polls);
        for ((server, number), load) in polls.into_iter().zip([7, 7, 9]) {
            let report = Report { load, ..loaded(5) };
            harness.event(Event::Polled(server, number, Some(report)));
        }
        expect_that!(by_engine(&harness), eq(&expected));
    }
}

/// Guards against samples on engines that are leaving, are swapping or lack the model, or whose
/// state is unknown.
#[gtest]
fn unusable_engines_get_no_attempts() {
    let mut harness = Harness::new(configuration(pool(4, 2), vec![trainer("a")]));
    let polls = std::mem::take(&mut harness.polls);
    let leaving = Report {
        is_leaving: true,
        ..loaded(5)
    };
    let swapping = Report {
        swapping: Some("model-a".into()),
        ..loaded(5)
    };
    let without = Report {
        models: BTreeMap::new(),
        ..loaded(5)
    };
    let reports = [Some(leaving), Some(swapping), Some(without), None];
    for ((server, number), report) in polls.into_iter().zip(reports) {
        harness.event(Event::Polled(server, number, report));
    }
    harness.event(Event::Submitted(key("a", 0), specification(50, 2)));
    expect_that!(harness.started, eq(0));
    let dump = harness.scheduler.dump(harness.now);
    let reasons: Vec<_> = dump["engines"]
        .as_array()
        .unwrap()
        .iter()
        .map(|engine| engine["blocked"]["a"].as_str().unwrap().to_owned())
        .collect();
    expect_that!(
        reasons,
        eq(&["leaving", "swapping", "not_loaded", "state_unknown"])
    );
}
