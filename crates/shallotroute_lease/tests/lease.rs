//! Single steps of the lease state machine.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_lease::lease::{Action, Config, Event, Failure, Lease, Record};
use shallotroute_types::{fence::Fence, name::Name, node::Incarnation};

fn lease(now: Instant) -> Lease {
    let config = Config {
        role: Name::new("pool-a"),
        holder: Name::new("n1"),
        incarnation: Incarnation(7),
        duration: Duration::from_secs(3),
        renew_every: Duration::from_secs(1),
        margin: Duration::from_millis(500),
    };
    Lease::new(config, now)
}

fn foreign(nonce: u64) -> Record {
    Record {
        holder: Name::new("n2"),
        incarnation: Incarnation(1),
        fence: Fence(4),
        nonce,
    }
}

fn sent(actions: &[Action]) -> Record {
    match actions {
        [.., Action::Swap { record, .. }] => record.clone(),
        other => panic!("expected a swap, got {other:?}"),
    }
}

fn read(lease: &mut Lease, found: Option<(Record, u64)>, now: Instant) -> Vec<Action> {
    lease.handle(Event::Read { result: Ok(found) }, now)
}

fn acquire(lease: &mut Lease, now: Instant) -> Record {
    lease.handle(Event::Wanted(true), now);
    let record = sent(&read(lease, None, now));
    let event = Event::Swapped {
        nonce: record.nonce,
        result: Ok(1),
    };
    assert_that!(
        lease.handle(event, now),
        contains(eq(&Action::Acquired(Fence(1))))
    );
    record
}

/// Guards against a deadline that is counted from the answer instead of from the request.
#[gtest]
fn deadline_counts_from_before_the_request() {
    let start = Instant::now();
    let mut lease = lease(start);
    lease.handle(Event::Wanted(true), start);
    let record = sent(&read(&mut lease, None, start));
    let later = start + Duration::from_secs(2);
    lease.handle(
        Event::Swapped {
            nonce: record.nonce,
            result: Ok(1),
        },
        later,
    );
    expect_that!(
        lease.held(start + Duration::from_millis(2_999)),
        some(eq(Fence(1)))
    );
    expect_that!(lease.held(start + Duration::from_secs(3)), none());
}

/// Guards against a takeover while the former holder's lease can still be valid.
#[gtest]
fn challenger_waits_for_an_unchanged_record() {
    let start = Instant::now();
    let mut lease = lease(start);
    lease.handle(Event::Wanted(true), start);
    read(&mut lease, Some((foreign(1), 9)), start);
    let early = start + Duration::from_millis(3_499);
    expect_that!(
        lease.handle(Event::Tick, early),
        elements_are![eq(&Action::Read)]
    );
    read(&mut lease, Some((foreign(1), 9)), early);
    let record = sent(&lease.handle(Event::Tick, start + Duration::from_millis(3_500)));
    expect_that!(record.fence, eq(Fence(5)));
}

/// Guards against counting the wait from before a renewal.
#[gtest]
fn renewal_restarts_the_wait() {
    let start = Instant::now();
    let mut lease = lease(start);
    lease.handle(Event::Wanted(true), start);
    read(&mut lease, Some((foreign(1), 9)), start);
    let renewed = start + Duration::from_secs(1);
    lease.handle(Event::Tick, renewed);
    read(&mut lease, Some((foreign(2), 10)), renewed);
    let actions = lease.handle(Event::Tick, start + Duration::from_millis(3_600));
    expect_that!(actions, elements_are![eq(&Action::Read)]);
}

/// Guards against losing a lease because the answer to its renewal was lost.
#[gtest]
fn lost_renewal_is_read_back() {
    let start = Instant::now();
    let mut lease = lease(start);
    acquire(&mut lease, start);
    let second = start + Duration::from_secs(1);
    let record = sent(&lease.handle(Event::Tick, second));
    let lost = Event::Swapped {
        nonce: record.nonce,
        result: Err(Failure::Lost),
    };
    let actions = lease.handle(lost, second + Duration::from_millis(500));
    expect_that!(actions, elements_are![eq(&Action::Read)]);
    read(
        &mut lease,
        Some((record, 2)),
        second + Duration::from_millis(600),
    );
    expect_that!(
        lease.held(start + Duration::from_millis(3_900)),
        some(eq(Fence(1)))
    );
    expect_that!(lease.held(start + Duration::from_secs(4)), none());
}

/// Guards against use of a lease that the node gave up, revived by a late answer.
#[gtest]
fn released_lease_is_not_revived() {
    let start = Instant::now();
    let mut lease = lease(start);
    acquire(&mut lease, start);
    let second = start + Duration::from_secs(1);
    let renewal = sent(&lease.handle(Event::Tick, second));
    expect_that!(
        lease.handle(Event::Wanted(false), second),
        contains(eq(&Action::Released))
    );
    let late = Event::Swapped {
        nonce: renewal.nonce,
        result: Ok(2),
    };
    let vacant = sent(&lease.handle(late, second));
    expect_true!(vacant.is_vacant());
    expect_that!(vacant.fence, eq(Fence(1)));
    expect_that!(lease.held(second), none());
}
