//! Single transitions of the lease state machine.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_lease::lease::{Action, Config, Event, Failure, Lease, Record};
use shallotroute_types::{fence::Fence, name::Name, node::Incarnation};

fn lease(now: Instant) -> Lease {
    let config = Config {
        role: Name::new("pool-a"),
        holder: Name::new("n1"),
        incarnation: Incarnation(7),
        ttl: Duration::from_secs(3),
        renewal_interval: Duration::from_secs(1),
        clock_margin: Duration::from_millis(500),
    };
    Lease::new(config, now)
}

fn other_holder(nonce: u64) -> Record {
    Record {
        holder: Name::new("n2"),
        incarnation: Incarnation(1),
        fence: Fence(4),
        nonce,
    }
}

fn swap_record(actions: &[Action]) -> Record {
    match actions {
        [.., Action::CompareAndSwap { record, .. }] => record.clone(),
        other => panic!("expected a swap, got {other:?}"),
    }
}

fn read(lease: &mut Lease, found: Option<(Record, u64)>, now: Instant) -> Vec<Action> {
    lease.handle(Event::Read { result: Ok(found) }, now)
}

fn acquire(lease: &mut Lease, now: Instant) -> Record {
    lease.handle(Event::Wanted(true), now);
    let record = swap_record(&read(lease, None, now));
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

/// Guards against a deadline that is counted from the response instead of from the request, which would
/// let the lease outlast the time that other nodes wait.
#[gtest]
fn deadline_counts_from_the_request() {
    let start = Instant::now();
    let mut lease = lease(start);
    lease.handle(Event::Wanted(true), start);
    let record = swap_record(&read(&mut lease, None, start));
    let later = start + Duration::from_secs(2);
    lease.handle(
        Event::Swapped {
            nonce: record.nonce,
            result: Ok(1),
        },
        later,
    );
    expect_that!(
        lease.valid_fence(start + Duration::from_millis(2_999)),
        some(eq(Fence(1)))
    );
    expect_that!(lease.valid_fence(start + Duration::from_secs(3)), none());
}

/// Guards against a takeover while the former holder's lease may still be valid.
#[gtest]
fn takeover_waits_until_the_record_is_unchanged_for_long_enough() {
    let start = Instant::now();
    let mut lease = lease(start);
    lease.handle(Event::Wanted(true), start);
    read(&mut lease, Some((other_holder(1), 9)), start);
    let early = start + Duration::from_millis(3_499);
    expect_that!(
        lease.handle(Event::Tick, early),
        elements_are![eq(&Action::Read)]
    );
    read(&mut lease, Some((other_holder(1), 9)), early);
    let record = swap_record(&lease.handle(Event::Tick, start + Duration::from_millis(3_500)));
    expect_that!(record.fence, eq(Fence(5)));
}

/// Guards against a takeover after a wait that began before the holder's last renewal.
#[gtest]
fn renewal_by_the_holder_restarts_the_wait() {
    let start = Instant::now();
    let mut lease = lease(start);
    lease.handle(Event::Wanted(true), start);
    read(&mut lease, Some((other_holder(1), 9)), start);
    let renewed = start + Duration::from_secs(1);
    lease.handle(Event::Tick, renewed);
    read(&mut lease, Some((other_holder(2), 10)), renewed);
    let actions = lease.handle(Event::Tick, start + Duration::from_millis(3_600));
    expect_that!(actions, elements_are![eq(&Action::Read)]);
}

/// Guards against the loss of a lease because the response to a successful renewal was lost.
#[gtest]
fn lost_renewal_response_leads_to_a_read() {
    let start = Instant::now();
    let mut lease = lease(start);
    acquire(&mut lease, start);
    let second = start + Duration::from_secs(1);
    let record = swap_record(&lease.handle(Event::Tick, second));
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
        lease.valid_fence(start + Duration::from_millis(3_900)),
        some(eq(Fence(1)))
    );
    expect_that!(lease.valid_fence(start + Duration::from_secs(4)), none());
}

/// Guards against a node that holds a lease again after it released it, because a renewal was confirmed
/// late.
#[gtest]
fn late_confirmation_does_not_restore_a_released_lease() {
    let start = Instant::now();
    let mut lease = lease(start);
    acquire(&mut lease, start);
    let second = start + Duration::from_secs(1);
    let renewal = swap_record(&lease.handle(Event::Tick, second));
    expect_that!(
        lease.handle(Event::Wanted(false), second),
        contains(eq(&Action::NoLongerHeld))
    );
    let late = Event::Swapped {
        nonce: renewal.nonce,
        result: Ok(2),
    };
    let vacant = swap_record(&lease.handle(late, second));
    expect_true!(vacant.is_vacant());
    expect_that!(vacant.fence, eq(Fence(1)));
    expect_that!(lease.valid_fence(second), none());
}
