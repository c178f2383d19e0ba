//! Which node comes first for a key.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use shallotroute_fleet::election;
use shallotroute_types::node::Id;

fn nodes(count: usize) -> Vec<(Id, u32)> {
    (0..count)
        .map(|index| (format!("node-{index}").into(), 250))
        .collect()
}

fn first(nodes: &[(Id, u32)], key: &str) -> Option<Id> {
    election::first(nodes.iter().map(|(id, capacity)| (id, *capacity)), key).cloned()
}

/// Guards against a change of one node that moves the keys of the others.
#[gtest]
fn a_node_that_leaves_moves_only_its_own_keys() {
    let all = nodes(9);
    let fewer = &all[1..];
    for key in (0..500).map(|index| format!("key-{index}")) {
        let before = first(&all, &key);
        if before.as_ref() != Some(&all[0].0) {
            expect_that!(first(fewer, &key), eq(&before), "{key}");
        }
    }
}

/// Answers hosts of different sizes: each gets keys in proportion to its part of a core.
#[gtest]
fn keys_follow_capacity() {
    let mut all = nodes(4);
    all[0].1 = 750;
    let mut counts: BTreeMap<Id, usize> = BTreeMap::new();
    for key in (0..6000).map(|index| format!("key-{index}")) {
        if let Some(id) = first(&all, &key) {
            *counts.entry(id).or_default() += 1;
        }
    }
    expect_that!(counts[&all[0].0], all!(ge(2700), le(3300)));
    expect_that!(counts[&all[1].0], all!(ge(850), le(1150)));
}

/// Guards against candidates that all write at once, and against one that waits for long.
#[gtest]
fn one_candidate_does_not_wait_and_none_waits_long() {
    let live: Vec<Id> = nodes(60).into_iter().map(|(id, _)| id).collect();
    let delays: Vec<Duration> = live
        .iter()
        .map(|id| election::delay(id, &live, "duty"))
        .collect();
    let at_once = delays.iter().filter(|delay| delay.is_zero()).count();
    expect_that!(at_once, eq(1));
    expect_that!(delays.iter().max(), some(le(&Duration::from_secs(1))));
}
