//! Admission of requests: callers' limits and the queues of the pools.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use shallotroute_routing::admission::{self, Decision};
use shallotroute_types::{class::Class, clock::Clock, name::Name};
use tokio::sync::oneshot;

use crate::{
    Gateway,
    entry::Call,
    failure::{Failure, Result, Step},
    journal::Progress,
    runtime::{Cell, State},
};

/// What wakes a waiting request.
pub(crate) type Ticket = oneshot::Sender<Slot>;

/// The right of a request to be sent, held until its response has ended.
pub(crate) struct Permit {
    _slot: Slot,
    _metered: Option<Metered>,
    pub(crate) progress: Arc<Progress>,
}

/// A place among a pool's running requests.
pub(crate) struct Slot {
    pool: Arc<Cell>,
    clock: Arc<dyn Clock>,
    at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.pool.state();
        let duration = now.saturating_duration_since(self.at);
        state.queue.complete(Some(duration));
        let capacity = state.pool.last_capacity();
        let ticket = state.queue.admit_next(capacity, now);
        drop(state);
        if let Some(ticket) = ticket {
            drop(ticket.send(slot(&self.pool, &self.clock, now)));
            wake(&self.pool, &self.clock);
        }
    }
}

/// A request that counts against its caller's limit.
struct Metered {
    gateway: Arc<Gateway>,
    caller: Name,
}

impl Drop for Metered {
    fn drop(&mut self) {
        self.gateway.quotas.leave(&self.caller);
    }
}

/// A waiting request; it leaves the queue when it is dropped.
struct Waiting<'a> {
    pool: &'a Cell,
    class: Class,
    number: u64,
}

impl Waiting<'_> {
    fn cancel(&self) -> Option<Duration> {
        let mut state = self.pool.state();
        let capacity = state.pool.last_capacity();
        state.queue.cancel(self.class, self.number, capacity)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Waits until a request may be sent.
pub(crate) async fn enter(gateway: &Arc<Gateway>, call: &Call) -> Result<Permit> {
    let metered = meter(gateway, call)?;
    let clock = &gateway.context.clock;
    let now = clock.now();
    let until = admission::wait_deadline(now, call.deadline);
    let (decision, receiver) = decide(gateway, call, until, now);
    let slot = match (decision, receiver) {
        (Decision::Refused(refusal), _) => {
            return Err(overloaded(&refusal.reason.to_string(), refusal.retry_after));
        }
        (Decision::Queued(number), Some(receiver)) => {
            let waiting = Waiting {
                pool: &call.pool,
                class: call.client.caller.class,
                number,
            };
            wake(&call.pool, clock);
            wait(waiting, receiver, until).await?
        }
        (Decision::Admitted | Decision::Queued(_), _) => slot(&call.pool, clock, now),
    };
    Ok(Permit {
        _slot: slot,
        _metered: metered,
        progress: Arc::clone(&call.progress),
    })
}

fn decide(
    gateway: &Gateway,
    call: &Call,
    until: Instant,
    now: Instant,
) -> (Decision, Option<oneshot::Receiver<Slot>>) {
    let class = call.client.caller.class;
    let mut receiver = None;
    let mut state = call.pool.state();
    let State { pool, queue, .. } = &mut *state;
    pool.retry_budget().deposit();
    let capacity = pool.capacity(now, || gateway.context.members.borrow().live().count());
    let decision = queue.submit(class, capacity, until, now, || {
        let (sender, waiting) = oneshot::channel();
        receiver = Some(waiting);
        sender
    });
    (decision, receiver)
}

async fn wait(
    waiting: Waiting<'_>,
    receiver: oneshot::Receiver<Slot>,
    until: Instant,
) -> Result<Slot> {
    match tokio::time::timeout_at(until.into(), receiver).await {
        Ok(Ok(slot)) => Ok(slot),
        Ok(Err(_)) | Err(_) => {
            let after = waiting.cancel().unwrap_or(Duration::from_secs(1));
            Err(overloaded("the request waited for half of its time", after))
        }
    }
}

/// Admits waiting requests while there is room.
pub(crate) fn wake(pool: &Arc<Cell>, clock: &Arc<dyn Clock>) {
    loop {
        let now = clock.now();
        let mut state = pool.state();
        let capacity = state.pool.last_capacity();
        let ticket = state.queue.admit_next(capacity, now);
        drop(state);
        let Some(ticket) = ticket else { return };
        // A slot that its request has given up is dropped here, which admits the next request.
        drop(ticket.send(slot(pool, clock, now)));
    }
}

fn slot(pool: &Arc<Cell>, clock: &Arc<dyn Clock>, at: Instant) -> Slot {
    Slot {
        pool: Arc::clone(pool),
        clock: Arc::clone(clock),
        at,
    }
}

fn meter(gateway: &Arc<Gateway>, call: &Call) -> Result<Option<Metered>> {
    let Some(limit) = &call.client.limit else {
        return Ok(None);
    };
    let now = gateway.context.clock.now();
    let members = gateway.context.members.borrow().live().count();
    let caller = &call.client.caller.name;
    match gateway.quotas.enter(caller, limit, members, now) {
        Ok(()) => Ok(Some(Metered {
            gateway: Arc::clone(gateway),
            caller: caller.clone(),
        })),
        Err(after) => {
            let message = format!("the caller `{caller}` is over its limit `{}`", limit.name);
            let status = StatusCode::TOO_MANY_REQUESTS;
            let failure = Failure::not_run(status, "rate_limited", Step::Admission, message);
            Err(failure.with_retry_after(after))
        }
    }
}

fn overloaded(message: &str, after: Duration) -> Box<Failure> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failure::not_run(status, "overloaded", Step::Admission, message).with_retry_after(after)
}
