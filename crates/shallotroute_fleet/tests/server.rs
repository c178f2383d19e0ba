//! Tests of load balancing, back-off, and outages of the host list.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::limit::{Class, Rate, Statement};
use shallotroute_fleet::server::{Balancer, Outcome, Rank, Requirements, Server};
use shallotroute_types::{name::Name, version::Version};

fn server(id: &str, zone: &str, version: u64) -> Server {
    Server {
        id: id.into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.into(),
        slots: 4,
        is_draining: false,
        leaves_after: None,
        is_spot: false,
        born: 1,
        software: Name::from("v1"),
        models: BTreeMap::from([(Name::from("m"), Version(version))]),
    }
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("near".into());
    for id in ids {
        balancer.insert(server(id, "near", 3));
    }
    balancer
}

const ANY: Requirements<'static> = Requirements {
    service: "llm",
    model: None,
    software: None,
    avoid: &[],
    cached_on: None,
    batch_rank: None,
    class: Class::Caller,
};

fn chosen(balancer: &Balancer, requirements: &Requirements<'_>, now: Instant) -> Option<String> {
    balancer
        .choose(requirements, now)
        .map(|server| server.id.as_str().to_owned())
}

/// Guards against a burst of requests from one node that overloads a few servers.
#[gtest]
fn a_burst_spreads_over_all_servers() {
    let mut balancer = balancer(&["a", "b", "c", "d"]);
    let now = Instant::now();
    for _ in 0..16 {
        let id = chosen(&balancer, &ANY, now).unwrap_or_default();
        balancer.record_start(&id);
    }
    for id in ["a", "b", "c", "d"] {
        expect_that!(balancer.in_flight(id), eq(4), "{id}");
    }
}

/// Guards against batch items that queue at full servers instead of at their node, and against callers'
/// requests that are held back with them.
#[gtest]
fn batch_items_do_not_queue_at_full_servers() {
    let mut balancer = balancer(&["a"]);
    let now = Instant::now();
    for _ in 0..4 {
        balancer.record_start("a");
    }
    let items = Requirements {
        model: Some(("m", Version(3))),
        batch_rank: Some(Rank(1)),
        ..ANY
    };
    expect_that!(chosen(&balancer, &items, now), none());
    expect_that!(chosen(&balancer, &ANY, now), some(eq("a")));
    balancer.record_end("a", Outcome::Neutral, now);
    expect_that!(chosen(&balancer, &items, now), some(eq("a")));
}

/// Guards against a stream that goes on at a server whose software can't continue its events.
#[gtest]
fn only_servers_of_the_required_software_are_chosen() {
    let mut balancer = balancer(&["a"]);
    balancer.insert(Server {
        software: Name::from("v2"),
        ..server("b", "near", 3)
    });
    let now = Instant::now();
    let requirements = |software| Requirements {
        software: Some(software),
        ..ANY
    };
    expect_that!(chosen(&balancer, &requirements("v1"), now), some(eq("a")));
    expect_that!(chosen(&balancer, &requirements("v2"), now), some(eq("b")));
    expect_that!(chosen(&balancer, &requirements("v3"), now), none());
}

/// Guards against generation under a version that the trainer no longer accepts.
#[gtest]
fn servers_with_older_versions_are_left_out() {
    let mut balancer = balancer(&["a"]);
    balancer.insert(server("b", "near", 5));
    let now = Instant::now();
    let requirements = |oldest| Requirements {
        model: Some(("m", Version(oldest))),
        ..ANY
    };
    expect_that!(chosen(&balancer, &requirements(4), now), some(eq("b")));
    expect_that!(chosen(&balancer, &requirements(6), now), none());
    balancer.record_version("a", "m", Version(6));
    expect_that!(chosen(&balancer, &requirements(6), now), some(eq("a")));
}

/// Guards against frequent attempts at a server that is down, and against a back-off so long that a
/// restarted server stays unused.
#[gtest]
fn back_off_grows_with_each_failure() {
    let mut balancer = balancer(&["a", "b"]);
    let start = Instant::now();
    let back_off_after = |balancer: &mut Balancer, now: Instant| {
        balancer.record_start("a");
        balancer.record_end("a", Outcome::Failed, now);
        (0_u64..10_000)
            .step_by(50)
            .find(|milliseconds| {
                let later = now + Duration::from_millis(*milliseconds);
                let requirements = Requirements {
                    avoid: &[Name::from("b")],
                    model: Some(("m", Version(0))),
                    ..ANY
                };
                chosen(balancer, &requirements, later).is_some()
            })
            .unwrap_or(u64::MAX)
    };
    let first = back_off_after(&mut balancer, start);
    let second = back_off_after(&mut balancer, start + Duration::from_secs(10));
    let tenth = (3_u64..=10)
        .map(|index| back_off_after(&mut balancer, start + Duration::from_secs(10 * index)))
        .last();
    expect_that!(first, eq(500));
    expect_that!(second, eq(1000));
    expect_that!(tenth, some(eq(4000)));
    // A caller's request goes to a server in back-off when there is no other.
    let mut alone = self::balancer(&["a"]);
    alone.record_start("a");
    alone.record_end("a", Outcome::Failed, start);
    expect_that!(chosen(&alone, &ANY, start), some(eq("a")));
}

/// Guards against the longest back-off after a single event: requests that a loading server rejects
/// together count as one rejection.
#[gtest]
fn simultaneous_rejections_count_once() {
    let mut balancer = balancer(&["a", "b"]);
    let now = Instant::now();
    let avoid = [Name::from("b")];
    let requirements = Requirements {
        avoid: &avoid,
        model: Some(("m", Version(0))),
        ..ANY
    };
    for _ in 0..8 {
        balancer.record_start("a");
    }
    for _ in 0..8 {
        balancer.record_end("a", Outcome::Rejected, now);
    }
    expect_that!(
        chosen(&balancer, &requirements, now + Duration::from_millis(99)),
        none()
    );
    expect_that!(
        chosen(&balancer, &requirements, now + Duration::from_millis(100)),
        some(eq("a"))
    );
}

/// Guards against slow servers that get as much work as others, or whose work can't be migrated because
/// they are not reported.
#[gtest]
fn slow_servers_get_less_work_and_are_reported() {
    let mut balancer = balancer(&["a", "b", "c"]);
    let now = Instant::now();
    for _ in 0..100 {
        balancer.record_event_interval("a", Duration::from_millis(120));
        balancer.record_event_interval("b", Duration::from_millis(35));
        balancer.record_event_interval("c", Duration::from_millis(36));
    }
    let (slow_servers, free_slots) = balancer.slow_servers("llm", "m", Version(3));
    expect_that!(slow_servers, elements_are![eq(&Name::from("a"))]);
    expect_that!(free_slots, eq(&BTreeMap::from([(Name::from("v1"), 8)])));
    for _ in 0..8 {
        let id = chosen(&balancer, &ANY, now).unwrap_or_default();
        balancer.record_start(&id);
    }
    expect_that!(balancer.in_flight("a"), le(1));
}

/// Guards against a server that counts as slow after one pause to load a version.
#[gtest]
fn one_long_pause_does_not_make_a_server_slow() {
    let mut balancer = balancer(&["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        for _ in 0..50 {
            balancer.record_event_interval(id, Duration::from_millis(36));
        }
    }
    balancer.record_event_interval("a", Duration::from_millis(950));
    expect_that!(balancer.slow_servers("llm", "m", Version(0)).0, is_empty());
}

/// Guards against new requests for a server that is draining or was removed.
#[gtest]
fn draining_and_removed_servers_get_no_requests() {
    let mut balancer = balancer(&["a"]);
    let now = Instant::now();
    let mut leaving = server("a", "near", 3);
    leaving.is_draining = true;
    balancer.insert(leaving);
    expect_that!(chosen(&balancer, &ANY, now), none());
    balancer.insert(server("b", "near", 3));
    balancer.remove("b", now);
    expect_that!(chosen(&balancer, &ANY, now), none());
}

/// Guards against the loss of all servers when their entries expire during an outage of the host list,
/// and against entries that are kept although they did not return within two seconds.
#[gtest]
fn entries_that_expire_in_an_outage_are_kept_for_two_seconds() {
    let mut balancer = balancer(&["a", "b"]);
    let now = Instant::now();
    balancer.start_recovery(now);
    balancer.remove("a", now);
    balancer.remove("b", now);
    expect_that!(chosen(&balancer, &ANY, now), some(anything()));
    balancer.insert(server("a", "near", 3));
    balancer.remove_missing(now + Duration::from_millis(1999));
    expect_that!(balancer.get("b").is_some(), eq(true));
    balancer.remove_missing(now + Duration::from_secs(2));
    expect_that!(balancer.get("a").is_some(), eq(true));
    expect_that!(balancer.get("b").is_some(), eq(false));
    // Outside of the grace period an entry is removed at once.
    balancer.remove("a", now + Duration::from_secs(3));
    expect_that!(balancer.get("a").is_some(), eq(false));
}

/// Guards against a restarted server that inherits the back-off of its former process.
#[gtest]
fn a_restart_under_the_same_identity_clears_the_back_off() {
    let mut balancer = balancer(&["a"]);
    let now = Instant::now();
    balancer.record_start("a");
    balancer.record_end("a", Outcome::Failed, now);
    let mut again = server("a", "near", 3);
    again.born = 2;
    expect_that!(balancer.insert(again.clone()), eq(true));
    expect_that!(balancer.insert(again), eq(false));
    let requirements = Requirements {
        model: Some(("m", Version(0))),
        ..ANY
    };
    expect_that!(chosen(&balancer, &requirements, now), some(eq("a")));
}

/// Guards against requests that leave the availability zone at equal load, and against a loaded server
/// in the same zone that is preferred to a free one elsewhere.
#[gtest]
fn the_same_zone_is_preferred_at_equal_load() {
    let mut balancer = Balancer::new("near".into());
    balancer.insert(server("far", "far", 3));
    balancer.insert(server("near", "near", 3));
    let now = Instant::now();
    expect_that!(chosen(&balancer, &ANY, now), some(eq("near")));
    balancer.record_start("near");
    expect_that!(chosen(&balancer, &ANY, now), some(eq("far")));
}

/// Guards against the last outputs of a job that wait for the slots of a newer one. A job that moves to
/// another node arrives there after the newer job has filled all slots.
#[gtest]
fn a_job_that_is_due_first_takes_slots_before_a_newer_one() {
    let now = Instant::now();
    let mut balancer = Balancer::default();
    balancer.insert(server("a", "near", 3));
    let slots = 4;
    let (older, newer) = (Rank(1000), Rank(5000));
    let request = |rank| Requirements {
        batch_rank: Some(rank),
        model: Some(("m", Version(3))),
        ..ANY
    };
    for _ in 0..slots {
        balancer.record_start("a");
        balancer.record_batch_start("a", newer);
    }
    expect_that!(balancer.choose(&request(newer), now), none());
    for _ in 0..slots {
        expect_that!(balancer.choose(&request(older), now), some(anything()));
        balancer.record_start("a");
        balancer.record_batch_start("a", older);
    }
    expect_that!(balancer.choose(&request(older), now), none());
    for _ in 0..slots {
        balancer.record_end("a", Outcome::Neutral, now);
        balancer.record_batch_end("a", newer);
    }
    expect_that!(balancer.choose(&request(newer), now), none());
}

/// Guards against requests to a server that has said that it leaves: older entries of the host list,
/// a list that is read anew, and an entry that vanishes and returns do not undo it.
#[gtest]
fn a_server_that_says_it_is_leaving_gets_no_requests() {
    let mut balancer = balancer(&["a", "b"]);
    let now = Instant::now();
    expect_that!(balancer.record_leaving("a", now), eq(true));
    expect_that!(balancer.record_leaving("a", now), eq(false));
    expect_that!(balancer.record_leaving("unknown", now), eq(false));
    let gets_none = |balancer: &Balancer| {
        let requirements = Requirements {
            avoid: &["b".into()],
            ..ANY
        };
        chosen(balancer, &requirements, now).is_none()
    };
    expect_that!(gets_none(&balancer), eq(true));
    balancer.insert(server("a", "near", 4));
    expect_that!(gets_none(&balancer), eq(true));
    balancer.remove("a", now);
    balancer.insert(server("a", "near", 4));
    expect_that!(gets_none(&balancer), eq(true));
    balancer.start_recovery(now);
    balancer.remove("a", now);
    expect_that!(gets_none(&balancer), eq(true));
}

/// Guards against a restarted server that gets no requests because its former process was leaving.
#[gtest]
fn a_new_process_is_not_leaving() {
    let mut balancer = balancer(&["a"]);
    let now = Instant::now();
    balancer.record_leaving("a", now);
    let restarted = Server {
        born: 2,
        ..server("a", "near", 3)
    };
    expect_that!(balancer.insert(restarted), eq(true));
    expect_that!(chosen(&balancer, &ANY, now), some(eq("a")));
}

/// Guards against back-offs that a node set while it had lost its own links and that outlive the loss.
#[gtest]
fn failures_are_forgotten_and_rejections_are_not() {
    let mut balancer = balancer(&["a", "b"]);
    let now = Instant::now();
    balancer.record_end("a", Outcome::Failed, now);
    balancer.record_end("b", Outcome::Rejected, now);
    balancer.clear_failures();
    let back_offs: Vec<bool> = balancer
        .summaries(now)
        .iter()
        .map(|summary| summary.back_off.is_zero())
        .collect();
    expect_that!(back_offs, elements_are![eq(&true), eq(&false)]);
}

#[gtest]
fn links_are_checked_by_servers_without_failures_first() {
    let mut balancer = balancer(&["a", "b", "c", "d"]);
    let now = Instant::now();
    balancer.record_end("b", Outcome::Failed, now);
    balancer.record_leaving("c", now);
    for random in 0..10 {
        let witnesses = balancer.witnesses(Some("a"), random);
        let ids: Vec<&str> = witnesses.iter().map(|server| &*server.id).collect();
        expect_that!(ids, elements_are![eq(&"d"), eq(&"b")]);
    }
}

/// Guards against a departure that late entries put off, and against one that outlives the drain.
#[gtest]
fn the_earliest_departure_of_a_draining_server_counts() {
    let now = Instant::now();
    let mut balancer = Balancer::new("zone-a".into());
    let mut list = |is_draining: bool, left_ms: Option<u64>, after_ms: u64| {
        let now = now + Duration::from_millis(after_ms);
        balancer.insert(Server {
            is_draining,
            leaves_after: left_ms.map(Duration::from_millis),
            ..server("a", "zone-a", 3)
        });
        balancer.record_departure("a", now);
        let left = balancer.departures("llm", now).into_values().next();
        left.map(|left| left.as_millis())
    };
    expect_that!(list(false, None, 0), none());
    expect_that!(list(true, Some(2500), 100), some(eq(2500)));
    expect_that!(list(true, Some(2500), 600), some(eq(2000)));
    expect_that!(list(true, None, 1100), some(eq(1500)));
    expect_that!(list(true, Some(900), 1600), some(eq(900)));
    expect_that!(list(false, None, 1700), none());
}

/// Guards against scorings that are sent again to the only server that is left, which has just rejected requests
/// or asked for a pause.
#[gtest]
fn a_server_that_rejects_gets_no_requests_of_batch_jobs() {
    let mut balancer = balancer(&["a"]);
    let now = Instant::now();
    let scoring = Requirements {
        class: Class::Batch,
        ..ANY
    };
    balancer.record_start("a");
    balancer.record_end("a", Outcome::Rejected, now);
    expect_that!(chosen(&balancer, &scoring, now), none());
    expect_that!(chosen(&balancer, &ANY, now), some(eq("a")));
    let later = now + Duration::from_secs(1);
    expect_that!(chosen(&balancer, &scoring, later), some(eq("a")));
    balancer.record_advice("a", Duration::from_secs(3), now);
    expect_that!(chosen(&balancer, &scoring, later), none());
    balancer.insert(server("b", "far", 3));
    expect_that!(chosen(&balancer, &ANY, later), some(eq("b")));
    let end = now + Duration::from_secs(3);
    expect_that!(chosen(&balancer, &scoring, end), some(eq("a")));
}

proptest::proptest! {
    /// Guards against an explanation of where a request goes that differs from the choice of a server.
    #[test]
    fn the_first_ranked_server_is_the_chosen_one(
        events in proptest::collection::vec((0_usize..6, 0_u8..10, 0_u64..400), 0..60),
        kind in 0_u8..4,
        avoided in 0_usize..8,
        seed in 0_u64..3,
        later in 0_u64..2000,
    ) {
        let ids = ["a", "b", "c", "d", "e", "f"];
        let mut balancer = balancer(&ids[..3]).with_seed(seed);
        for id in &ids[3..] {
            balancer.insert(server(id, "far", 2));
        }
        let start = Instant::now();
        balancer.start_recovery(start);
        for (number, event, millis) in events {
            let (id, pause) = (ids[number], Duration::from_millis(millis));
            let now = start + pause;
            match event {
                0 => balancer.record_end(id, Outcome::Succeeded(pause), now),
                1 => balancer.record_end(id, Outcome::Rejected, now),
                2 => balancer.record_end(id, Outcome::Failed, now),
                3 => balancer.record_advice(id, pause, now),
                4 => balancer.remove(id, now),
                5 => balancer.set_foreign_loads(&BTreeMap::from([(Name::from(id), number)])),
                6 if millis < 100 => { balancer.record_leaving(id, now); }
                7 => {
                    let rate = Rate::new(5.0).map_or(Statement::Silent, Statement::Limited);
                    balancer.record_limit(id, rate, now);
                    balancer.record_denial(id, Class::Caller, pause, now);
                }
                8 => {
                    balancer.record_batch_start(id, Rank(millis));
                    balancer.record_start(id);
                }
                _ => balancer.record_start(id),
            }
        }
        let avoid: Vec<Name> = ids.get(avoided).map(|id| Name::from(*id)).into_iter().collect();
        let batch = Class::Batch;
        let requirements = match kind {
            0 => ANY,
            1 => Requirements { avoid: &avoid, ..ANY },
            2 => Requirements { class: batch, avoid: &avoid, ..ANY },
            _ => Requirements {
                class: batch,
                model: Some(("m", Version(3))),
                batch_rank: Some(Rank(200)),
                ..ANY
            },
        };
        let now = start + Duration::from_millis(later);
        let ranked = balancer.ranked(&requirements, now);
        let first = ranked.first().filter(|server| server.tier.is_ok());
        let first = first.map(|server| server.summary.server.id.as_str().to_owned());
        proptest::prop_assert_eq!(first, chosen(&balancer, &requirements, now));
        proptest::prop_assert_eq!(ranked.len(), ids.len());
    }
}
