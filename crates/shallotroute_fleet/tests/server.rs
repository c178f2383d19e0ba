//! The choice of a server, and what is believed of servers in outages of the host list.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::server::{Need, Outcome, Roster, Server};
use shallotroute_types::{name::Name, version::Version};

fn server(id: &str, zone: &str, version: u64) -> Server {
    Server {
        id: id.into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 4,
        draining: false,
        born: 1,
        models: BTreeMap::from([(Name::from("m"), Version(version))]),
    }
}

fn roster(ids: &[&str]) -> Roster {
    let mut roster = Roster::new("near".into());
    for id in ids {
        roster.insert(server(id, "near", 3));
    }
    roster
}

const ANY: Need<'static> = Need {
    service: "llm",
    model: None,
    avoid: &[],
    cached: None,
    within_slots: false,
};

fn chosen(roster: &Roster, need: &Need<'_>, now: Instant) -> Option<String> {
    roster
        .choose(need, now)
        .map(|server| server.id.as_str().to_owned())
}

/// Answers a burst that one node sends at once: it has to spread over all servers.
#[gtest]
fn a_burst_spreads_over_all_servers() {
    let mut roster = roster(&["a", "b", "c", "d"]);
    let now = Instant::now();
    for _ in 0..16 {
        let id = chosen(&roster, &ANY, now).unwrap_or_default();
        roster.begin(&id);
    }
    for id in ["a", "b", "c", "d"] {
        expect_that!(roster.running(id), eq(4), "{id}");
    }
}

/// Answers a burst beyond the slots: items wait at their node, callers' requests do not.
#[gtest]
fn items_do_not_queue_at_full_servers() {
    let mut roster = roster(&["a"]);
    let now = Instant::now();
    for _ in 0..4 {
        roster.begin("a");
    }
    let items = Need {
        model: Some(("m", Version(3))),
        within_slots: true,
        ..ANY
    };
    expect_that!(chosen(&roster, &items, now), none());
    expect_that!(chosen(&roster, &ANY, now), some(eq("a")));
    roster.end("a", Outcome::Dropped, now);
    expect_that!(chosen(&roster, &items, now), some(eq("a")));
}

/// Guards against work under a version that its trainer no longer takes.
#[gtest]
fn servers_with_older_versions_are_left_out() {
    let mut roster = roster(&["a"]);
    roster.insert(server("b", "near", 5));
    let now = Instant::now();
    let need = |oldest| Need {
        model: Some(("m", Version(oldest))),
        ..ANY
    };
    expect_that!(chosen(&roster, &need(4), now), some(eq("b")));
    expect_that!(chosen(&roster, &need(6), now), none());
    roster.observe_version("a", "m", Version(6));
    expect_that!(chosen(&roster, &need(6), now), some(eq("a")));
}

/// Answers a server that is down: it is avoided for longer with each failure, and found again.
#[gtest]
fn failures_pause_a_server_for_longer_and_longer() {
    let mut roster = roster(&["a", "b"]);
    let start = Instant::now();
    let pause_after = |roster: &mut Roster, now: Instant| {
        roster.begin("a");
        roster.end("a", Outcome::Failed, now);
        (0_u64..10_000)
            .step_by(50)
            .find(|milliseconds| {
                let later = now + Duration::from_millis(*milliseconds);
                let need = Need {
                    avoid: &[Name::from("b")],
                    model: Some(("m", Version(0))),
                    ..ANY
                };
                chosen(roster, &need, later).is_some()
            })
            .unwrap_or(u64::MAX)
    };
    let first = pause_after(&mut roster, start);
    let second = pause_after(&mut roster, start + Duration::from_secs(10));
    let tenth = (3_u64..=10)
        .map(|index| pause_after(&mut roster, start + Duration::from_secs(10 * index)))
        .last();
    expect_that!(first, eq(500));
    expect_that!(second, eq(1000));
    expect_that!(tenth, some(eq(4000)));
    // A caller's request is sent to a paused server when there is no other.
    let mut alone = self::roster(&["a"]);
    alone.begin("a");
    alone.end("a", Outcome::Failed, start);
    expect_that!(chosen(&alone, &ANY, start), some(eq("a")));
}

/// Answers many requests that a loading server refuses together: they count as one refusal.
#[gtest]
fn refusals_that_come_together_count_once() {
    let mut roster = roster(&["a", "b"]);
    let now = Instant::now();
    let avoid = [Name::from("b")];
    let need = Need {
        avoid: &avoid,
        model: Some(("m", Version(0))),
        ..ANY
    };
    for _ in 0..8 {
        roster.begin("a");
    }
    for _ in 0..8 {
        roster.end("a", Outcome::Refused, now);
    }
    expect_that!(
        chosen(&roster, &need, now + Duration::from_millis(99)),
        none()
    );
    expect_that!(
        chosen(&roster, &need, now + Duration::from_millis(100)),
        some(eq("a"))
    );
}

/// Answers slow servers: they get less work, and their runs may be moved to free slots.
#[gtest]
fn slow_servers_get_less_and_are_named() {
    let mut roster = roster(&["a", "b", "c"]);
    let now = Instant::now();
    for _ in 0..100 {
        roster.observe_event("a", Duration::from_millis(120));
        roster.observe_event("b", Duration::from_millis(35));
        roster.observe_event("c", Duration::from_millis(36));
    }
    let (slow, spare) = roster.slow("llm", "m", Version(3));
    expect_that!(slow, elements_are![eq(&Name::from("a"))]);
    expect_that!(spare, eq(8));
    for _ in 0..8 {
        let id = chosen(&roster, &ANY, now).unwrap_or_default();
        roster.begin(&id);
    }
    expect_that!(roster.running("a"), le(1));
}

/// Guards against a server that counts as slow because it paused once to load a version.
#[gtest]
fn one_long_pause_does_not_make_a_server_slow() {
    let mut roster = roster(&["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        for _ in 0..50 {
            roster.observe_event(id, Duration::from_millis(36));
        }
    }
    roster.observe_event("a", Duration::from_millis(950));
    expect_that!(roster.slow("llm", "m", Version(0)).0, is_empty());
}

/// Guards against new work for a server that drains or is gone.
#[gtest]
fn leaving_servers_get_nothing() {
    let mut roster = roster(&["a"]);
    let now = Instant::now();
    let mut leaving = server("a", "near", 3);
    leaving.draining = true;
    roster.insert(leaving);
    expect_that!(chosen(&roster, &ANY, now), none());
    roster.insert(server("b", "near", 3));
    roster.remove("b", now);
    expect_that!(chosen(&roster, &ANY, now), none());
}

/// Answers an outage in which entries expire: they may return for two seconds, then they are gone.
#[gtest]
fn entries_that_expire_in_an_outage_may_return() {
    let mut roster = roster(&["a", "b"]);
    let now = Instant::now();
    roster.regained(now);
    roster.remove("a", now);
    roster.remove("b", now);
    expect_that!(chosen(&roster, &ANY, now), some(anything()));
    roster.insert(server("a", "near", 3));
    roster.expire(now + Duration::from_millis(1999));
    expect_that!(roster.get("b").is_some(), eq(true));
    roster.expire(now + Duration::from_secs(2));
    expect_that!(roster.get("a").is_some(), eq(true));
    expect_that!(roster.get("b").is_some(), eq(false));
    // Outside of an outage an entry is gone at once.
    roster.remove("a", now + Duration::from_secs(3));
    expect_that!(roster.get("a").is_some(), eq(false));
}

/// Guards against beliefs that outlive the process they are about.
#[gtest]
fn a_new_start_under_an_old_identity_is_another_server() {
    let mut roster = roster(&["a"]);
    let now = Instant::now();
    roster.begin("a");
    roster.end("a", Outcome::Failed, now);
    let mut again = server("a", "near", 3);
    again.born = 2;
    expect_that!(roster.insert(again.clone()), eq(true));
    expect_that!(roster.insert(again), eq(false));
    let need = Need {
        model: Some(("m", Version(0))),
        ..ANY
    };
    expect_that!(chosen(&roster, &need, now), some(eq("a")));
}

/// Guards against load for a far zone while the near one is free, and against a full near one.
#[gtest]
fn the_near_zone_comes_first_at_equal_load() {
    let mut roster = Roster::new("near".into());
    roster.insert(server("far", "far", 3));
    roster.insert(server("near", "near", 3));
    let now = Instant::now();
    expect_that!(chosen(&roster, &ANY, now), some(eq("near")));
    roster.begin("near");
    expect_that!(chosen(&roster, &ANY, now), some(eq("far")));
}
