//! Admits requests within callers' limits and the capacity of pools, and queues them otherwise.

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
    failure::{Failure, Result, Step},
    ingress::Call,
    request_log::Progress,
    routing_state::{SharedPool, State},
};

/// The sender that hands a slot to a waiting request.
pub(crate) type SlotSender = oneshot::Sender<Slot>;

/// The permission to send a request, held until its response has ended.
pub(crate) struct Permit {
    _slot: Slot,
    _quota: Option<QuotaGuard>,
    pub(crate) progress: Arc<Progress>,
}

/// A place among a pool's running requests. Dropping it admits the next waiting requests.
pub(crate) struct Slot {
    pool: Arc<SharedPool>,
    clock: Arc<dyn Clock>,
    started_at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.pool.state();
        let duration = now.saturating_duration_since(self.started_at);
        state.queue.complete(Some(duration));
        let capacity = state.pool.last_capacity();
        let sender = state.queue.admit_next(capacity, now);
        drop(state);
        if let Some(sender) = sender {
            drop(sender.send(occupy_slot(&self.pool, &self.clock, now)));
            admit_waiting(&self.pool, &self.clock);
        }
    }
}

/// Counts a request against its caller's limit until it is dropped.
struct QuotaGuard {
    gateway: Arc<Gateway>,
    caller: Name,
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        self.gateway.quotas.finish_request(&self.caller);
    }
}

/// A request in a pool's queue. Dropping this removes the request from the queue.
struct QueuedRequest<'a> {
    pool: &'a SharedPool,
    class: Class,
    number: u64,
}

impl QueuedRequest<'_> {
    fn cancel(&self) -> Option<Duration> {
        let mut state = self.pool.state();
        let capacity = state.pool.last_capacity();
        state.queue.cancel(self.class, self.number, capacity)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Waits until a request may be sent.
///
/// # Errors
///
/// The caller is over its limit, the pool's queue refuses the request, or the request has waited
/// for half of the time to its deadline.
pub(crate) async fn admit(gateway: &Arc<Gateway>, call: &Call) -> Result<Permit> {
    let quota = acquire_quota(gateway, call)?;
    let clock = &gateway.context.clock;
    let now = clock.now();
    let until = admission::wait_deadline(now, call.deadline);
    let (decision, receiver) = enqueue(gateway, call, until, now);
    let slot = match (decision, receiver) {
        (Decision::Refused(refusal), _) => {
            return Err(overloaded(&refusal.reason.to_string(), refusal.retry_after));
        }
        (Decision::Queued(number), Some(receiver)) => {
            let queued = QueuedRequest {
                pool: &call.pool,
                class: call.caller_entry.caller.class,
                number,
            };
            admit_waiting(&call.pool, clock);
            wait_for_slot(queued, receiver, until).await?
        }
        (Decision::Admitted | Decision::Queued(_), _) => occupy_slot(&call.pool, clock, now),
    };
    Ok(Permit {
        _slot: slot,
        _quota: quota,
        progress: Arc::clone(&call.progress),
    })
}

fn enqueue(
    gateway: &Gateway,
    call: &Call,
    until: Instant,
    now: Instant,
) -> (Decision, Option<oneshot::Receiver<Slot>>) {
    let class = call.caller_entry.caller.class;
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

async fn wait_for_slot(
    queued: QueuedRequest<'_>,
    receiver: oneshot::Receiver<Slot>,
    until: Instant,
) -> Result<Slot> {
    match tokio::time::timeout_at(until.into(), receiver).await {
        Ok(Ok(slot)) => Ok(slot),
        Ok(Err(_)) | Err(_) => {
            let after = queued.cancel().unwrap_or(Duration::from_secs(1));
            Err(overloaded("the request waited for half of its time", after))
        }
    }
}

/// Admits waiting requests while the pool has capacity.
pub(crate) fn admit_waiting(pool: &Arc<SharedPool>, clock: &Arc<dyn Clock>) {
    loop {
        let now = clock.now();
        let mut state = pool.state();
        let capacity = state.pool.last_capacity();
        let sender = state.queue.admit_next(capacity, now);
        drop(state);
        let Some(sender) = sender else {
            return;
        };
        // When the request is no longer waiting, its slot is dropped here, which admits the next
        // one.
        drop(sender.send(occupy_slot(pool, clock, now)));
    }
}

fn occupy_slot(pool: &Arc<SharedPool>, clock: &Arc<dyn Clock>, started_at: Instant) -> Slot {
    Slot {
        pool: Arc::clone(pool),
        clock: Arc::clone(clock),
        started_at,
    }
}

fn acquire_quota(gateway: &Arc<Gateway>, call: &Call) -> Result<Option<QuotaGuard>> {
    let Some(limit) = &call.caller_entry.limit else {
        return Ok(None);
    };
    let now = gateway.context.clock.now();
    let members = gateway.context.members.borrow().live().count();
    let caller = &call.caller_entry.caller.name;
    match gateway.quotas.start_request(caller, limit, members, now) {
        Ok(()) => Ok(Some(QuotaGuard {
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
