//! Tests of the state of a node's links to the backend servers, and of the choice of relays.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::link::{Check, Links, RECHECK_INTERVAL, Relays, SILENCE, State};
use shallotroute_types::{name::Name, node::Id};

const OPENED: Check = Check {
    has_opened: true,
    is_reached_by_others: None,
};

const REACHED_BY_OTHERS: Check = Check {
    has_opened: false,
    is_reached_by_others: Some(true),
};

const REACHED_BY_NONE: Check = Check {
    has_opened: false,
    is_reached_by_others: Some(false),
};

const NOT_OPENED: Check = Check {
    has_opened: false,
    is_reached_by_others: None,
};

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn lost(now: Instant) -> Links {
    let mut links = Links::default();
    links.record_check(REACHED_BY_OTHERS, now, now);
    links
}

/// Guards against a node that takes the failure of its only server, or of several at a time, for a loss of its links.
#[gtest]
fn servers_that_no_node_reaches_do_not_count_as_lost_links() {
    let now = Instant::now();
    let mut links = Links::default();
    expect_that!(links.record_check(OPENED, now, now), none());
    expect_that!(
        links.record_check(REACHED_BY_NONE, now, now),
        some(eq(State::Isolated))
    );
    expect_that!(links.record_check(OPENED, now, now), some(eq(State::Sound)));
}

#[gtest]
fn servers_that_only_other_nodes_reach_count_as_lost_links() {
    let now = Instant::now();
    let mut links = Links::default();
    expect_that!(
        links.record_check(REACHED_BY_OTHERS, now, now),
        some(eq(State::Lost))
    );
    // A check that asks no other node does not change that.
    expect_that!(links.record_check(NOT_OPENED, now, now), none());
    expect_that!(links.record_check(OPENED, now, now), some(eq(State::Sound)));
}

/// Guards against links that come and go, each time at the cost of the requests that are sent over them.
#[gtest]
fn unsteady_links_are_used_again_later_each_time() {
    let mut now = Instant::now();
    let mut links = Links::default();
    let mut checks_per_loss = Vec::new();
    for _ in 0..6 {
        links.record_check(REACHED_BY_OTHERS, now, now);
        let mut checks = 0;
        while links.state() != State::Sound {
            now += RECHECK_INTERVAL;
            links.record_check(OPENED, now, now);
            checks += 1;
        }
        checks_per_loss.push(checks);
        now += Duration::from_millis(300);
    }
    expect_that!(
        checks_per_loss,
        elements_are![eq(&1), eq(&2), eq(&4), eq(&8), eq(&8), eq(&8)]
    );
    now += Duration::from_secs(30);
    links.record_check(REACHED_BY_OTHERS, now, now);
    links.record_check(OPENED, now, now);
    expect_that!(links.state(), eq(State::Sound));
}

#[gtest]
fn an_interrupted_series_of_successes_begins_anew() {
    let now = Instant::now();
    let mut links = lost(now);
    links.record_check(OPENED, after(now, 400), after(now, 400));
    links.record_check(REACHED_BY_OTHERS, after(now, 500), after(now, 500));
    links.record_check(OPENED, after(now, 900), after(now, 900));
    links.record_check(NOT_OPENED, after(now, 1300), after(now, 1300));
    links.record_check(OPENED, after(now, 1700), after(now, 1700));
    expect_that!(links.state(), eq(State::Lost));
    links.record_check(OPENED, after(now, 2100), after(now, 2100));
    expect_that!(links.state(), eq(State::Sound));
}

#[gtest]
fn a_new_connection_shortly_before_clears_the_links_of_a_failure() {
    let now = Instant::now();
    let mut links = Links::default();
    expect_that!(links.is_doubtful(now), eq(true));
    links.record_opened(now);
    expect_that!(links.is_doubtful(after(now, 200)), eq(false));
    expect_that!(links.is_doubtful(after(now, 300)), eq(true));
    // Answers on open connections prove nothing of new ones.
    links.record_heard(after(now, 299));
    expect_that!(links.is_doubtful(after(now, 300)), eq(true));
}

#[gtest]
fn only_silence_of_all_servers_is_suspicious() {
    let sent_at = Instant::now();
    let late = sent_at + SILENCE;
    let mut links = Links::default();
    expect_that!(
        links.is_suspiciously_silent(sent_at, after(sent_at, 200)),
        eq(false)
    );
    expect_that!(links.is_suspiciously_silent(sent_at, late), eq(true));
    links.record_check(OPENED, late, late);
    expect_that!(
        links.is_suspiciously_silent(late, late + SILENCE),
        eq(false),
        "checks are not repeated at once"
    );
    links.record_heard(after(late, 2000));
    expect_that!(
        links.is_suspiciously_silent(late, after(late, 3000)),
        eq(false)
    );
}

/// Guards against requests that wait for their deadline on connections that hang, and against a cancellation of those
/// on connections that live on.
#[gtest]
fn requests_are_stranded_only_while_nothing_is_heard() {
    let sent_at = Instant::now();
    let mut links = lost(after(sent_at, 100));
    expect_that!(links.is_stranded(sent_at, after(sent_at, 200)), eq(false));
    expect_that!(links.is_stranded(sent_at, after(sent_at, 300)), eq(true));
    expect_that!(links.may_use_open_connections(), eq(false));
    links.record_heard(after(sent_at, 150));
    expect_that!(links.is_stranded(sent_at, after(sent_at, 300)), eq(false));
    expect_that!(links.may_use_open_connections(), eq(true));
}

#[gtest]
fn a_connection_from_before_a_loss_does_not_blame_its_server() {
    let opened_at = Instant::now();
    let mut links = Links::default();
    expect_that!(links.blames_server(opened_at), eq(true));
    links.record_check(
        REACHED_BY_OTHERS,
        after(opened_at, 10),
        after(opened_at, 10),
    );
    expect_that!(links.blames_server(opened_at), eq(false));
    links.record_check(OPENED, after(opened_at, 500), after(opened_at, 500));
    expect_that!(links.blames_server(opened_at), eq(false));
    expect_that!(links.blames_server(after(opened_at, 600)), eq(true));
}

fn node_ids(count: usize) -> Vec<Id> {
    (0..count)
        .map(|index| Id::from(format!("node-{index}")))
        .collect()
}

/// Guards against a few nodes with links that are chosen by all others, while more are left.
#[gtest]
fn requests_of_many_nodes_are_spread_over_all_relays() {
    let now = Instant::now();
    let ids = node_ids(40);
    let relays = || ids[..5].iter().map(|id| (id, 250));
    let mut first = BTreeSet::new();
    let mut most = 0;
    for relay in &ids[..5] {
        let mut count = 0;
        for node in &ids[5..] {
            for server in 0..4 {
                let server = Name::from(format!("server-{server}"));
                let chosen = Relays::default().choose(relays(), node, &server, now);
                expect_that!(chosen, len(eq(3)));
                first.insert(chosen[0].clone());
                count += usize::from(chosen[0] == *relay);
            }
        }
        most = most.max(count);
    }
    expect_that!(first, len(eq(5)));
    expect_that!(most, le(2 * 35 * 4 / 5));
}

#[gtest]
fn a_relay_that_fails_is_passed_over_longer_each_time() {
    let now = Instant::now();
    let ids = node_ids(2);
    let server = Name::from("server");
    let mut relays = Relays::default();
    let choose = |relays: &mut Relays, at: Instant| {
        relays.choose(ids.iter().map(|id| (id, 250)), &ids[0], &server, at)
    };
    expect_that!(choose(&mut relays, now), elements_are![eq(&ids[1])]);
    expect_that!(relays.record_failure(&ids[1], now), eq(true));
    expect_that!(relays.record_failure(&ids[1], now), eq(false));
    expect_that!(choose(&mut relays, after(now, 400)), is_empty());
    expect_that!(choose(&mut relays, after(now, 600)), len(eq(1)));
    expect_that!(relays.record_failure(&ids[1], after(now, 600)), eq(true));
    expect_that!(choose(&mut relays, after(now, 1500)), is_empty());
    expect_that!(choose(&mut relays, after(now, 1700)), len(eq(1)));
}
