//! Tests of the software version at which streams go on, and a replay of a release during which nodes
//! and servers fail.

mod release;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::{
    resume::{
        self, Answer, COPIES, Group, MIN_STREAM_TIME, Node, Origin, Records, Source, Stream,
        WIDE_LOOKUPS, Waits,
    },
    route::{Kind, Route, Share},
    server::{Balancer, Server},
    software::{Knowledge, Listing},
};
use shallotroute_types::name::Name;

use crate::release::{Policy, Release};

const PERIOD: Duration = Duration::from_secs(10);

fn origin(service: &str, software: &str) -> Origin {
    Origin {
        service: service.into(),
        software: software.into(),
    }
}

fn stream(id: &str) -> Stream {
    Stream {
        id: id.into(),
        retention: PERIOD,
    }
}

fn nodes(count: usize, zones: usize) -> Vec<Node> {
    (0..count)
        .map(|index| Node {
            id: format!("node-{index}").into(),
            zone: format!("zone-{}", index % zones).into(),
        })
        .collect()
}

fn server(id: &str, software: &str) -> Server {
    Server {
        id: id.into(),
        service: "quotes".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "zone-0".into(),
        slots: 4,
        is_draining: false,
        leaves_after: None,
        is_spot: false,
        born: 1,
        software: software.into(),
        models: BTreeMap::new(),
    }
}

fn sole(software: &str) -> Knowledge {
    Knowledge::Sole(software.into())
}

fn answer(origin: Option<Origin>, known: Knowledge) -> Answer {
    Answer { origin, known }
}

fn route(services: &[&str]) -> Route {
    Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: Kind::Stream { resumable: true },
        shares: services
            .iter()
            .map(|service| Share {
                service: (*service).into(),
                weight: 1,
            })
            .collect(),
        max_attempts: 3,
        timeout: PERIOD,
        target_latency: Duration::from_millis(400),
        priority: 2,
        is_public: false,
        batch: None,
    }
}

/// Guards against streams of two versions in one: with the former policy, which resumes at any server,
/// a release mixes them. Also guards against take-ups that are refused although a record has outlived
/// the kills: each kill takes a third of the nodes, so that all holders of a record are killed with a
/// probability of at most one in 27.
#[gtest]
fn a_release_with_kills_mixes_no_stream() {
    const KILLED_SHARE: f64 = 1.0 / 3.0;
    let bound = 1.0 - KILLED_SHARE.powi(COPIES as i32);
    for (count, seed) in [(9, 1), (12, 2), (30, 20)] {
        let former = Release::new(count, seed, Policy::AnyServer).run();
        let current = Release::new(count, seed, Policy::SameSoftware).run();
        eprintln!("{count} nodes, any server: {former:?}; same software: {current:?}");
        expect_that!(former.mixed, gt(2), "the replay has no streams to mix");
        expect_that!(current.mixed, eq(0));
        expect_that!(current.take_ups, ge(100), "the replay has few take-ups");
        expect_that!(current.continued_share(), ge(bound));
        // A node without a record would refuse everything if nothing were copied.
        expect_that!(current.found_by_copy, ge(current.take_ups / 4));
    }
}

/// Guards against copies that cost calls on days without a release.
#[gtest]
fn a_service_with_one_version_needs_no_copies() {
    let outcome = Release::new(9, 4, Policy::SameSoftware)
        .without_release()
        .run();
    expect_that!(outcome.mixed, eq(0));
    expect_that!(outcome.copies_after_start, eq(0));
    expect_that!(outcome.take_ups, ge(100));
    expect_that!(outcome.continued_share(), eq(1.0));
}

/// Guards against a node that takes a version for the only one although it has not known the host list
/// for as long as a stream lasts.
#[gtest]
fn a_started_node_does_not_know_the_former_versions() {
    let start = Instant::now();
    let mut balancer = Balancer::new("zone-0".into());
    expect_that!(
        balancer.software("quotes", PERIOD, start).known,
        eq(&Knowledge::Incomplete)
    );
    balancer.insert(server("a", "v1"));
    balancer.record_first_read(start);
    let known =
        |balancer: &mut Balancer, after| balancer.software("quotes", PERIOD, start + after).known;
    expect_that!(
        known(&mut balancer, Duration::from_secs(9)),
        eq(&Knowledge::Incomplete)
    );
    expect_that!(known(&mut balancer, PERIOD), eq(&sole("v1")));
    // A service without servers says nothing about its streams.
    expect_that!(
        balancer.software("other", PERIOD, start + PERIOD).known,
        eq(&Knowledge::Incomplete)
    );
}

/// Guards against a version that is forgotten while its streams may still be taken up: its last server
/// has been removed, is missing after an outage, or has started again with another version.
#[gtest]
fn a_version_counts_until_its_streams_are_over() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    type Change = fn(&mut Balancer, Instant);
    let changes: [(&str, Change); 4] = [
        ("removed", |balancer, now| balancer.remove("a", now)),
        ("missing", |balancer, now| {
            balancer.start_recovery(now - Duration::from_secs(2));
            balancer.remove("a", now - Duration::from_secs(1));
            balancer.remove_missing(now);
        }),
        ("restarted", |balancer, _| {
            let restarted = Server {
                born: 2,
                ..server("a", "v2")
            };
            balancer.insert(restarted);
        }),
        ("draining, then removed", |balancer, now| {
            balancer.insert(Server {
                is_draining: true,
                ..server("a", "v1")
            });
            balancer.remove("a", now);
        }),
    ];
    for (name, change) in changes {
        let mut balancer = Balancer::new("zone-0".into());
        balancer.insert(server("a", "v1"));
        balancer.record_first_read(start);
        expect_that!(
            balancer.software("quotes", PERIOD, at(20)).known,
            eq(&sole("v1"))
        );
        balancer.insert(server("b", "v2"));
        expect_that!(
            balancer.software("quotes", PERIOD, at(21)).known,
            eq(&Knowledge::Several)
        );
        change(&mut balancer, at(22));
        for seconds in [22, 31] {
            expect_that!(
                balancer.software("quotes", PERIOD, at(seconds)).known,
                eq(&Knowledge::Several),
                "{name}"
            );
        }
        expect_that!(
            balancer.software("quotes", PERIOD, at(34)).known,
            eq(&sole("v2")),
            "{name}"
        );
    }
}

/// Guards against a stream whose record changes when it is taken up, and against records that are
/// dropped while the caller may still come back.
#[gtest]
fn a_record_stays_as_it_was_made() {
    let start = Instant::now();
    let mut records = Records::default();
    records.insert_own(stream("r1"), origin("quotes", "v1"), start);
    let later = start + Duration::from_secs(8);
    records.insert_copies(
        vec![Group {
            origin: origin("quotes", "v2"),
            streams: vec![stream("r1"), stream("r2")],
        }],
        later,
    );
    let end = start + Duration::from_secs(17);
    expect_that!(records.get("r1", end), some(eq(&origin("quotes", "v1"))));
    expect_that!(records.get("r2", end), some(eq(&origin("quotes", "v2"))));
    expect_that!(records.get("r1", later + PERIOD), none());
    expect_that!(records.get("r3", later), none());
    // Expired records are dropped.
    records.insert_own(stream("r4"), origin("quotes", "v1"), later + PERIOD);
    expect_that!(records.len(), eq(1));
}

/// Guards against memory that grows with the identities that callers send.
#[gtest]
fn the_number_and_size_of_records_is_bounded() {
    let start = Instant::now();
    let mut records = Records::default();
    records.insert_own(stream(""), origin("quotes", "v1"), start);
    let long = "x".repeat(Name::MAX_BYTES + 1);
    records.insert_own(stream(&long), origin("quotes", "v1"), start);
    expect_that!(records.is_empty(), eq(true));
    let endless = Stream {
        id: "endless".into(),
        retention: Duration::MAX,
    };
    records.insert_own(endless, origin("quotes", "v1"), start);
    expect_that!(
        records.get("endless", start + Duration::from_secs(901)),
        none()
    );
    for index in 0..100_100 {
        records.insert_own(stream(&format!("r{index}")), origin("quotes", "v1"), start);
    }
    expect_that!(records.len(), eq(100_000));
}

/// Guards against streams that began before a release, and are copied never or again and again.
#[gtest]
fn records_are_copied_once() {
    let now = Instant::now();
    let mut records = Records::default();
    records.insert_own(stream("r1"), origin("quotes", "v1"), now);
    records.insert_own(stream("r2"), origin("other", "v1"), now);
    records.insert_copies(
        vec![Group {
            origin: origin("quotes", "v1"),
            streams: vec![stream("r3")],
        }],
        now,
    );
    let uncopied = records.uncopied("quotes", now);
    expect_that!(uncopied, eq(&vec![(stream("r1"), origin("quotes", "v1"))]));
    records.record_copied([Name::from("r1")].iter());
    expect_that!(records.uncopied("quotes", now), is_empty());
    // A stream that was taken up here may have lost its former holders.
    records.insert_own(stream("r3"), origin("quotes", "v1"), now);
    expect_that!(records.uncopied("quotes", now).len(), eq(1));
}

/// Guards against copies that are all in one availability zone, or at nodes that are not asked: after
/// the record was made, one node has left and another has joined.
#[gtest]
fn holders_are_in_several_zones_and_are_asked() {
    let before = nodes(12, 3);
    let mut after = nodes(13, 3);
    after.remove(4);
    for index in 0..200 {
        let id = format!("request-{index}");
        let holders = resume::holders(&id, before.iter(), "node-0", |node| **node == *"node-1");
        expect_that!(holders.len(), eq(COPIES));
        let zones: std::collections::BTreeSet<&str> =
            holders.iter().map(|node| node.zone.as_str()).collect();
        expect_that!(zones.len(), ge(2));
        let avoided = holders
            .iter()
            .any(|node| ["node-0", "node-1"].contains(&&*node.id));
        expect_that!(avoided, eq(false));
        let asked = resume::lookups(&id, after.iter(), "node-2", resume::LOOKUPS);
        let found = holders.iter().filter(|node| asked.contains(node)).count();
        let may_answer = holders
            .iter()
            .filter(|node| !["node-2", "node-4"].contains(&&*node.id))
            .count();
        expect_that!(found, ge(may_answer.saturating_sub(1)));
        expect_that!(
            resume::lookups(&id, after.iter(), "node-2", WIDE_LOOKUPS).len(),
            eq(11)
        );
    }
}

/// Guards against one call for each record when a release begins.
#[gtest]
fn records_are_grouped_by_their_holders() {
    let streams: Vec<(Stream, Origin)> = (0..500)
        .map(|index| {
            let software = ["v1", "v2"][index % 2];
            (stream(&format!("r{index}")), origin("quotes", software))
        })
        .collect();
    let nodes = nodes(9, 3);
    let assigned = resume::assign(&streams, &nodes, "node-0", |_| false);
    expect_that!(assigned.len(), eq(8));
    let records: usize = assigned
        .values()
        .flatten()
        .map(|group| group.streams.len())
        .sum();
    expect_that!(records, eq(500 * COPIES));
    expect_that!(assigned.values().map(Vec::len).max(), some(eq(2)));
}

/// Guards against a take-up at a version that is only guessed.
#[gtest]
fn a_version_is_unknown_unless_it_is_certain() {
    let service = Name::from("quotes");
    let listing = |versions: &[&str], known: Knowledge| Listing {
        versions: versions.iter().copied().map(Name::from).collect(),
        known,
    };
    let resolve =
        |listing: &Listing, answers: &[Answer]| resume::resolve(&service, Some(listing), answers);
    let nothing = || answer(None, Knowledge::Incomplete);
    let by_copy = Some((origin("quotes", "v1"), Source::Copy));
    let by_history = Some((origin("quotes", "v1"), Source::SingleVersion));
    let record = answer(Some(origin("quotes", "v1")), Knowledge::Several);
    let only_v1 = listing(&["v1"], sole("v1"));
    let only_v2 = listing(&["v2"], sole("v2"));
    let started = listing(&["v1"], Knowledge::Incomplete);
    let several = listing(&["v1", "v2"], Knowledge::Several);
    let answers = [nothing(), record];
    expect_that!(
        resolve(&only_v2, &answers),
        eq(&by_copy),
        "a record decides"
    );
    expect_that!(resume::resolve(&service, None, &answers), eq(&by_copy));
    expect_that!(resolve(&only_v1, &[]), eq(&by_history));
    expect_that!(
        resolve(&started, &[answer(None, sole("v1"))]),
        eq(&by_history),
        "another node has known the host list for longer"
    );
    expect_that!(resolve(&started, &[nothing()]), none());
    expect_that!(resolve(&several, &[answer(None, sole("v1"))]), none());
    expect_that!(
        resolve(&only_v1, &[answer(None, Knowledge::Several)]),
        none(),
        "this node's host list lags"
    );
    expect_that!(resolve(&only_v1, &[answer(None, sole("v2"))]), none());
    expect_that!(
        sole("v1").without_present(),
        eq(&Knowledge::Incomplete),
        "a node without a current host list"
    );
}

/// Guards against a stream that goes on at another version at a node that is out of step: without a record, only a host
/// list that was read since the caller came tells the version, whatever other nodes know.
#[gtest]
fn an_older_host_list_does_not_tell_the_version() {
    let service = Name::from("quotes");
    let former = answer(None, sole("v1"));
    expect_that!(resume::resolve(&service, None, &[]), none());
    expect_that!(
        resume::resolve(&service, None, std::slice::from_ref(&former)),
        none()
    );
    // The other node's list lags, and this one has only started.
    for versions in [&["v2"][..], &["v1", "v2"]] {
        let listing = Listing {
            versions: versions.iter().copied().map(Name::from).collect(),
            known: Knowledge::Incomplete,
        };
        let found = resume::resolve(&service, Some(&listing), std::slice::from_ref(&former));
        expect_that!(found, none(), "{versions:?}");
    }
}

/// Guards against a version that is taken for the only one although a server of another one may have come and gone while
/// this node did not get the changes of the host list.
#[gtest]
fn a_gap_in_the_changes_is_no_history() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut balancer = Balancer::new("zone-0".into());
    balancer.insert(server("a", "v1"));
    balancer.record_gap(start);
    balancer.record_first_read(at(1));
    let known = |balancer: &mut Balancer, now| balancer.software("quotes", PERIOD, now).known;
    expect_that!(known(&mut balancer, at(11)), eq(&sole("v1")));
    balancer.record_gap(at(12));
    expect_that!(known(&mut balancer, at(21)), eq(&Knowledge::Incomplete));
    expect_that!(known(&mut balancer, at(22)), eq(&sole("v1")));
}

/// Guards against a history that is shorter than the time in which a caller may take its stream up: it waits longer than
/// the route's timeout, and says only what is left when it comes back.
#[gtest]
fn a_stream_lasts_as_long_as_the_most_patient_caller_waits() {
    let route = route(&["a"]);
    let other = Route {
        name: "other".into(),
        ..route.clone()
    };
    let seconds = Duration::from_secs;
    let mut waits = Waits::default();
    expect_that!(waits.longest_stream(&route), eq(MIN_STREAM_TIME));
    for wait in [Some(seconds(120)), Some(seconds(4)), None] {
        waits.record(&route, wait);
        expect_that!(waits.longest_stream(&route), eq(seconds(123)));
    }
    expect_that!(waits.longest_stream(&other), eq(MIN_STREAM_TIME));
    waits.record(&other, Some(Duration::MAX));
    expect_that!(waits.longest_stream(&other), eq(seconds(900)));
}

/// Guards against a stream that goes on at another service of a split route, and against one that goes
/// to a service that the route no longer uses.
#[gtest]
fn a_stream_stays_at_its_service_while_the_route_uses_it() {
    let split = route(&["a", "b"]);
    let begun_at_b = origin("b", "v1");
    let moved = route(&["c"]);
    for index in 0..20 {
        let id = format!("r{index}");
        let service = resume::service(&split, Some(&begun_at_b), &id);
        expect_that!(service.as_str(), eq("b"));
        let service = resume::service(&moved, Some(&begun_at_b), &id);
        expect_that!(service.as_str(), eq("c"));
        // Without a record, the request that began the stream decides as it did then.
        expect_that!(
            resume::service(&split, None, &id),
            eq(split.service_for(&id))
        );
    }
}

/// Guards against a record that is dropped before its caller gives up.
#[gtest]
fn a_record_is_kept_for_as_long_as_its_caller_waits() {
    let route = route(&["a"]);
    let seconds = Duration::from_secs;
    expect_that!(resume::retention(&route, None), eq(seconds(13)));
    expect_that!(
        resume::retention(&route, Some(seconds(30))),
        eq(seconds(33))
    );
    expect_that!(resume::retention(&route, Some(seconds(5))), eq(seconds(13)));
    expect_that!(
        resume::retention(&route, Some(Duration::MAX)),
        eq(seconds(900))
    );
}
