//! Admission with weighted classes, and callers' limits.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use shallotroute_config::object::Limit;
use shallotroute_routing::{
    admission::{Decision, Queue, Reason, Refusal},
    limit::Limiter,
};
use shallotroute_types::{class::Class, name::Name};

const SECOND: Duration = Duration::from_secs(1);

fn submit(queue: &mut Queue<Class>, class: Class, wait: Duration, now: Instant) -> Decision {
    queue.submit(class, 1, now + wait, now, || class)
}

/// Guards against a class that starves and an interactive request that waits behind batch work.
#[test]
fn admissions_follow_the_weights() {
    let now = Instant::now();
    let mut queue = Queue::default();
    assert_that!(
        submit(&mut queue, Class::Batch, SECOND, now),
        eq(Decision::Admitted)
    );
    for _ in 0..420 {
        for class in [Class::Batch, Class::Training, Class::Interactive] {
            submit(&mut queue, class, SECOND, now);
        }
    }
    let mut admitted = Vec::new();
    for _ in 0..420 {
        queue.complete(None);
        admitted.extend(queue.admit_next(1, now));
    }
    let count = |class| admitted.iter().filter(|it| **it == class).count();
    assert_that!(admitted[0], eq(Class::Interactive));
    assert_that!(count(Class::Interactive), all!(ge(315), le(325)));
    assert_that!(count(Class::Training), all!(ge(75), le(85)));
    assert_that!(count(Class::Batch), all!(ge(15), le(25)));
}

/// Guards against requests that wait although they can't meet their deadline, and against refusals without
/// a retry delay.
#[test]
fn refuses_a_request_that_would_miss_its_deadline() {
    let now = Instant::now();
    let mut queue = Queue::default();
    submit(&mut queue, Class::Interactive, SECOND, now);
    queue.complete(Some(2 * SECOND));
    submit(&mut queue, Class::Interactive, SECOND, now);
    let late = Refusal {
        reason: Reason::WaitTooLong,
        retry_after: 2 * SECOND,
    };
    let decision = submit(&mut queue, Class::Interactive, SECOND, now);
    assert_that!(decision, eq(Decision::Refused(late)));
    let decision = submit(&mut queue, Class::Interactive, 3 * SECOND, now);
    assert_that!(decision, eq(Decision::Queued(0)));
}

/// Guards against a queue that grows without a bound.
#[test]
fn queues_are_bounded() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let refused = (0..3_000)
        .map(|_| submit(&mut queue, Class::Batch, SECOND, now))
        .filter(|decision| {
            matches!(decision, Decision::Refused(refusal) if refusal.reason == Reason::QueueFull)
        })
        .count();
    assert_that!(refused + queue.queue_lengths()[2] + 1, eq(3_000));
    assert_that!(queue.queue_lengths()[2], le(1_024));
}

/// Guards against slots that are given to waiting requests that were cancelled or are past their deadline.
#[test]
fn skips_late_and_cancelled_requests() {
    let now = Instant::now();
    let mut queue = Queue::default();
    submit(&mut queue, Class::Batch, SECOND, now);
    submit(&mut queue, Class::Batch, SECOND, now);
    let Decision::Queued(number) = submit(&mut queue, Class::Training, 9 * SECOND, now) else {
        panic!("the request should wait");
    };
    submit(&mut queue, Class::Interactive, 9 * SECOND, now);
    assert_that!(queue.cancel(Class::Training, number, 1), some(anything()));
    assert_that!(queue.cancel(Class::Training, number, 1), none());
    queue.complete(None);
    let later = now + 2 * SECOND;
    assert_that!(queue.admit_next(1, later), some(eq(Class::Interactive)));
    queue.complete(None);
    assert_that!(queue.admit_next(1, later), none());
    assert_that!((queue.running(), queue.queue_lengths()), eq((0, [0, 0, 0])));
}

fn limit(requests_per_second: f64, burst: u32, concurrency: Option<u32>) -> Limit {
    Limit {
        name: Name::from("limit"),
        requests_per_second,
        burst,
        concurrency,
    }
}

/// Guards against a fleet whose nodes together allow more than the limit.
#[test]
fn enforces_the_share_of_the_request_rate() {
    let mut now = Instant::now();
    let limit = limit(90.0, 30, None);
    let mut limiter = Limiter::new(now);
    let mut allowed = 0;
    for _ in 0..10_000 {
        allowed += u32::from(limiter.acquire(&limit, 1.0 / 3.0, now).is_ok());
        now += Duration::from_millis(1);
    }
    // A burst of 10, and 30 requests a second over 10 s.
    assert_that!(allowed, all!(ge(309), le(311)));
    while limiter.acquire(&limit, 1.0 / 3.0, now).is_ok() {}
    let wait = limiter.acquire(&limit, 1.0 / 3.0, now).unwrap_err();
    assert_that!(wait, le(Duration::from_millis(34)));
    assert_that!(
        limiter.acquire(&limit, 1.0 / 3.0, now + wait),
        ok(anything())
    );
}

/// Guards against a caller with more requests in progress than its limit allows.
#[test]
fn enforces_the_concurrency_limit() {
    let now = Instant::now();
    let limit = limit(1_000.0, 100, Some(2));
    let mut limiter = Limiter::new(now);
    assert_that!(limiter.acquire(&limit, 1.0, now), ok(anything()));
    assert_that!(limiter.acquire(&limit, 1.0, now), ok(anything()));
    assert_that!(limiter.acquire(&limit, 1.0, now), err(anything()));
    limiter.release();
    assert_that!(limiter.acquire(&limit, 1.0, now), ok(anything()));
}
