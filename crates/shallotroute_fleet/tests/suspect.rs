//! Tests of requests under which servers crashed.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::{
    retry::{AttemptFailure, Attempts, Decision, Policy, RequestFailure},
    server::{Balancer, Server},
    suspect::{Fingerprint, MAX_CRASHES, Process, RETENTION, Record, Suspects, Verdict},
};
use shallotroute_types::name::Name;

fn request(name: &str) -> Fingerprint {
    Fingerprint(Name::from(name))
}

fn process(server: &str, born: u64) -> Process {
    Process {
        server: Name::from(server),
        born,
    }
}

fn is_blocked(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Blocked { .. })
}

fn is_held(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Held { .. })
}

/// Guards against one request that crashes server after server, at whichever nodes it comes: it is blocked
/// after the third crash, and runs only while others are left until then.
#[gtest]
fn a_request_that_crashes_its_servers_is_blocked_at_all_nodes() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let deadly = request("deadly");
    for (crash, server) in ["a", "b", "c"].into_iter().enumerate() {
        let verdict = there.verdict(&deadly, 8, 8, now);
        expect_that!(is_blocked(verdict) || is_held(verdict), eq(false));
        let record = here.record_crash(&deadly, process(server, 1), now);
        let record = record.expect("the crash should be new");
        expect_that!(record.crashed.len(), eq(crash + 1));
        expect_that!(there.merge(&deadly, &record, now), eq(true));
        expect_that!(there.merge(&deadly, &record, now), eq(false));
    }
    for suspects in [&here, &there] {
        let verdict = suspects.verdict(&deadly, 8, 8, now);
        expect_that!(is_blocked(verdict), eq(true));
        expect_that!(suspects.counts(), eq((1, 1)));
    }
    let later = now + RETENTION;
    expect_that!(there.verdict(&deadly, 8, 8, later), eq(Verdict::Clear));
    expect_that!(MAX_CRASHES, eq(3));
}

/// Guards against a service without any server: after two crashes a request is sent only while others are left.
/// After one crash, which most often has another cause, it goes on.
#[gtest]
fn the_last_servers_of_a_service_are_kept_from_a_suspect() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let deadly = request("deadly");
    expect_that!(suspects.verdict(&deadly, 1, 3, now), eq(Verdict::Clear));
    suspects.record_crash(&deadly, process("a", 1), now);
    expect_that!(suspects.verdict(&deadly, 1, 2, now), eq(Verdict::Suspect));
    suspects.record_crash(&deadly, process("b", 1), now);
    for (available, listed) in [(0, 0), (1, 1), (1, 3), (2, 2), (2, 3)] {
        let verdict = suspects.verdict(&deadly, available, listed, now);
        expect_that!(is_held(verdict), eq(true), "{available} of {listed}");
    }
    expect_that!(suspects.verdict(&deadly, 3, 3, now), eq(Verdict::Suspect));
    // A service with one server still serves a request beside which it crashed twice.
    let later = now + Duration::from_secs(15);
    expect_that!(suspects.verdict(&deadly, 1, 1, later), eq(Verdict::Suspect));
    expect_that!(is_held(suspects.verdict(&deadly, 1, 2, later)), eq(true));
}

/// Guards against requests that are blocked because they ran beside the one that crashes servers.
#[gtest]
fn a_request_that_a_server_answers_is_cleared() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let (deadly, beside) = (request("deadly"), request("beside"));
    for server in ["a", "b"] {
        suspects.record_crash(&deadly, process(server, 1), now);
        suspects.record_crash(&beside, process(server, 1), now);
    }
    expect_that!(suspects.remove(&beside), eq(true));
    suspects.record_crash(&beside, process("c", 1), now);
    suspects.record_crash(&deadly, process("c", 1), now);
    expect_that!(is_blocked(suspects.verdict(&deadly, 9, 9, now)), eq(true));
    expect_that!(suspects.verdict(&beside, 9, 9, now), eq(Verdict::Suspect));
    expect_that!(
        suspects.verdict(&request("other"), 9, 9, now),
        eq(Verdict::Clear)
    );
}

/// Guards against a broken connection that counts as a crash, a crash that counts more than once, and
/// one that is missed because its process is replaced at once.
#[gtest]
fn a_broken_connection_is_a_crash_only_if_its_process_is_gone() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let (first, second) = (request("first"), request("second"));
    suspects.record_break(&first, process("a", 1), now);
    suspects.record_break(&second, process("a", 1), now);
    suspects.record_break(&second, process("b", 1), now);
    expect_that!(suspects.is_empty(), eq(true));
    expect_that!(suspects.take_broken(&process("a", 2), now), is_empty());
    let soon = now + Duration::from_secs(4);
    let broken = suspects.take_broken(&process("a", 1), soon);
    expect_that!(broken, eq(&BTreeSet::from([first.clone(), second])));
    expect_that!(suspects.take_broken(&process("a", 1), soon), is_empty());
    // A process that ends long after the break did not end by the request.
    let late = now + Duration::from_secs(20);
    expect_that!(suspects.take_broken(&process("b", 1), late), is_empty());
    expect_that!(
        suspects.record_crash(&first, process("a", 1), now),
        some(anything())
    );
    expect_that!(suspects.record_crash(&first, process("a", 1), now), none());
}

/// Guards against memory that grows with crashes or with what other nodes say.
#[gtest]
fn the_number_of_remembered_requests_and_crashes_is_bounded() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let blocked = request("blocked");
    let crashed = (0..100).map(|born| process("a", born)).collect();
    suspects.merge(&blocked, &Record { crashed }, now);
    expect_that!(suspects.record(&blocked).crashed.len(), le(8));
    for index in 0..10_100 {
        suspects.record_crash(&request(&index.to_string()), process("b", 1), now);
    }
    expect_that!(suspects.counts(), eq((10_000, 1)));
    expect_that!(is_blocked(suspects.verdict(&blocked, 9, 9, now)), eq(true));
}

fn attempts(started_at: Instant) -> Attempts {
    Attempts::new(Policy {
        is_idempotent: true,
        max_attempts: 3,
        started_at,
        target_latency: Duration::from_millis(150),
        deadline: started_at + Duration::from_secs(2),
    })
}

/// Guards against a second copy of a suspect, which would crash a second server, and against a blocked
/// request that is said not to have run though it has.
#[gtest]
fn a_suspect_runs_at_one_server_at_a_time_and_a_blocked_request_at_none() {
    let started_at = Instant::now();
    let hedge_at = started_at + Duration::from_millis(100);
    let mut suspect = attempts(started_at);
    expect_that!(suspect.set_verdict(Verdict::Suspect), eq(true));
    expect_that!(suspect.set_verdict(Verdict::Suspect), eq(false));
    expect_that!(suspect.decide(started_at), eq(Decision::Send));
    suspect.record_attempt(&Name::from("a"));
    expect_that!(suspect.decide(hedge_at), not(eq(Decision::Send)));
    let retry_after = Duration::from_secs(60);
    suspect.set_verdict(Verdict::Blocked { retry_after });
    suspect.record_failure(AttemptFailure::MayHaveRun, hedge_at);
    expect_that!(
        suspect.decide(hedge_at),
        eq(Decision::Fail(RequestFailure::OutcomeUnknown))
    );
    let mut blocked = attempts(started_at);
    blocked.set_verdict(Verdict::Blocked { retry_after });
    expect_that!(
        blocked.decide(started_at),
        eq(Decision::Fail(RequestFailure::NotRun { retry_after }))
    );
}

/// Guards against requests that are sent to a process of which another node knows that it has crashed.
#[gtest]
fn a_crashed_process_is_not_available_until_another_one_replaces_it() {
    let now = Instant::now();
    let mut balancer = Balancer::new("near".into());
    let server = |id: &str, born| Server {
        id: id.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "near".into(),
        slots: 6,
        is_draining: false,
        leaves_after: None,
        is_spot: false,
        born,
        software: Name::from("v1"),
        models: Default::default(),
    };
    balancer.insert(server("a", 1));
    balancer.insert(server("b", 1));
    balancer.record_crash("a", 2, now);
    expect_that!(balancer.available_servers("desk", now), eq((2, 2)));
    balancer.record_crash("a", 1, now);
    expect_that!(balancer.available_servers("desk", now), eq((1, 2)));
    balancer.insert(server("a", 2));
    expect_that!(balancer.available_servers("desk", now), eq((2, 2)));
    expect_that!(balancer.available_servers("other", now), eq((0, 0)));
}
