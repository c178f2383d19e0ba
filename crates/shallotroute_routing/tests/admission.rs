//! Admission, weighted shares and callers' limits.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_config::object::Limit;
use shallotroute_routing::{
    admission::{Decision, Queue, Reason, Refusal},
    limit::Meter,
};
use shallotroute_types::{class::Class, name::Name};

const SECOND: Duration = Duration::from_secs(1);

fn enter(queue: &mut Queue<Class>, class: Class, wait: Duration, now: Instant) -> Decision {
    queue.enter(class, 1, now + wait, now, || class)
}

/// Guards against a class that starves and an interactive request that waits behind batch work.
#[test]
fn shares_follow_the_weights() {
    let now = Instant::now();
    let mut queue = Queue::default();
    assert_that!(
        enter(&mut queue, Class::Batch, SECOND, now),
        eq(Decision::Admitted)
    );
    for _ in 0..420 {
        for class in [Class::Batch, Class::Training, Class::Interactive] {
            enter(&mut queue, class, SECOND, now);
        }
    }
    let mut admitted = Vec::new();
    for _ in 0..420 {
        queue.leave(None);
        admitted.extend(queue.admit(1, now));
    }
    let count = |class| admitted.iter().filter(|it| **it == class).count();
    assert_that!(admitted[0], eq(Class::Interactive));
    assert_that!(count(Class::Interactive), all!(ge(315), le(325)));
    assert_that!(count(Class::Training), all!(ge(75), le(85)));
    assert_that!(count(Class::Batch), all!(ge(15), le(25)));
}

/// Guards against requests that wait although they can't be in time, and against refusals that do
/// not say when to come again.
#[test]
fn refuses_early_what_would_be_late() {
    let now = Instant::now();
    let mut queue = Queue::default();
    enter(&mut queue, Class::Interactive, SECOND, now);
    queue.leave(Some(2 * SECOND));
    enter(&mut queue, Class::Interactive, SECOND, now);
    let late = Refusal {
        reason: Reason::Late,
        retry_after: 2 * SECOND,
    };
    let decision = enter(&mut queue, Class::Interactive, SECOND, now);
    assert_that!(decision, eq(Decision::Refused(late)));
    let decision = enter(&mut queue, Class::Interactive, 3 * SECOND, now);
    assert_that!(decision, eq(Decision::Waiting(0)));
}

/// Guards against queues without a bound.
#[test]
fn queues_are_bounded() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let refused = (0..3_000)
        .map(|_| enter(&mut queue, Class::Batch, SECOND, now))
        .filter(|decision| {
            matches!(decision, Decision::Refused(refusal) if refusal.reason == Reason::Full)
        })
        .count();
    assert_that!(refused + queue.lengths()[2] + 1, eq(3_000));
    assert_that!(queue.lengths()[2], le(1_024));
}

/// Guards against places that are lost to waiting requests that are gone or late.
#[test]
fn skips_late_and_cancelled_requests() {
    let now = Instant::now();
    let mut queue = Queue::default();
    enter(&mut queue, Class::Batch, SECOND, now);
    enter(&mut queue, Class::Batch, SECOND, now);
    let Decision::Waiting(number) = enter(&mut queue, Class::Training, 9 * SECOND, now) else {
        panic!("the request should wait");
    };
    enter(&mut queue, Class::Interactive, 9 * SECOND, now);
    assert_that!(queue.cancel(Class::Training, number, 1), some(anything()));
    assert_that!(queue.cancel(Class::Training, number, 1), none());
    queue.leave(None);
    let later = now + 2 * SECOND;
    assert_that!(queue.admit(1, later), some(eq(Class::Interactive)));
    queue.leave(None);
    assert_that!(queue.admit(1, later), none());
    assert_that!((queue.running(), queue.lengths()), eq((0, [0, 0, 0])));
}

fn limit(requests_per_second: f64, burst: u32, concurrency: Option<u32>) -> Limit {
    Limit {
        name: Name::from("limit"),
        requests_per_second,
        burst,
        concurrency,
    }
}

/// Guards against a fleet of nodes that together allow more than the limit.
#[test]
fn enforces_the_share_of_the_rate() {
    let mut now = Instant::now();
    let limit = limit(90.0, 30, None);
    let mut meter = Meter::new(now);
    let mut allowed = 0;
    for _ in 0..10_000 {
        allowed += u32::from(meter.enter(&limit, 1.0 / 3.0, now).is_ok());
        now += Duration::from_millis(1);
    }
    // 10 at once and 30 a second over 10 s.
    assert_that!(allowed, all!(ge(309), le(311)));
    while meter.enter(&limit, 1.0 / 3.0, now).is_ok() {}
    let wait = meter.enter(&limit, 1.0 / 3.0, now).unwrap_err();
    assert_that!(wait, le(Duration::from_millis(34)));
    assert_that!(meter.enter(&limit, 1.0 / 3.0, now + wait), ok(anything()));
}

/// Guards against a caller with more requests in progress than allowed.
#[test]
fn enforces_the_concurrency() {
    let now = Instant::now();
    let limit = limit(1_000.0, 100, Some(2));
    let mut meter = Meter::new(now);
    assert_that!(meter.enter(&limit, 1.0, now), ok(anything()));
    assert_that!(meter.enter(&limit, 1.0, now), ok(anything()));
    assert_that!(meter.enter(&limit, 1.0, now), err(anything()));
    meter.leave();
    assert_that!(meter.enter(&limit, 1.0, now), ok(anything()));
}
