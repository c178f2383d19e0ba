//! The state machine of one lease at one node: observation, acquisition, renewal, expiry and release.
//!
//! The driver performs [`Action::Read`] and [`Action::CompareAndSwap`] on the key `lease/<role>` of
//! the store. It answers each with exactly one [`Event::Read`] or [`Event::Swapped`], and reports
//! [`Failure::Lost`] after a timeout of its own. It sends [`Event::Tick`] at least every 100 ms. It
//! reports a stored value that is not a [`Record`] as [`Failure::Unreachable`].

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_chart::machine::Machine;
use shallotroute_types::{
    fence::Fence,
    name::Name,
    node::{Id, Incarnation},
};

use crate::phase::{CHART, Phase, Trigger};
pub use crate::record::Record;

/// The settings of a lease. All nodes must use the same `ttl` and `clock_margin`.
#[derive(Clone, Debug)]
pub struct Config {
    /// The role that only the holder of the lease performs.
    pub role: Name,
    /// The local node, the holder in the records that it writes.
    pub holder: Id,
    /// The incarnation of the local node's process.
    pub incarnation: Incarnation,
    /// How long an acquired or renewed lease is valid, counted from before the request was sent.
    pub ttl: Duration,
    /// The interval between renewals by the holder, and between reads by the other nodes.
    pub renewal_interval: Duration,
    /// The time that a node waits beyond `ttl` before it takes the lease over; covers the drift
    /// between two clocks.
    pub clock_margin: Duration,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether the local node wants the lease.
    Wanted(bool),
    /// The result of [`Action::Read`].
    Read {
        /// The record and the version of the stored value; `None` when the key has no value.
        result: Result<Option<(Record, u64)>, Failure>,
    },
    /// The result of [`Action::CompareAndSwap`].
    Swapped {
        /// The nonce of the record in the request.
        nonce: u64,
        /// The new version of the stored value.
        result: Result<u64, Failure>,
    },
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The stored value does not have the expected version.
    Conflict,
    /// No response arrived; a write may have taken effect or may still do so.
    Lost,
    /// The call was not sent or was refused; a write has no effect.
    Unreachable,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record if the stored value has version `expected`.
    CompareAndSwap {
        /// The version that the stored value must have; 0 when the key must have no value.
        expected: u64,
        /// The new value.
        record: Record,
    },
    /// The local node acquired the lease with this fencing number.
    Acquired(Fence),
    /// The local node no longer holds the lease: it released it, let it expire, or was replaced.
    NoLongerHeld,
}

/// The state of one lease at one node.
#[derive(Debug)]
pub struct Lease {
    config: Config,
    machine: Machine<Phase, Trigger>,
    observed: Option<Observation>,
    /// Whether a write of this node may have changed the record since it was observed.
    is_stale: bool,
    /// The highest fencing number in any record seen.
    highest_fence: Fence,
    /// When the lease expires unless it is renewed.
    deadline: Option<Instant>,
    pending_writes: Vec<PendingWrite>,
    /// The call to the store that has no result yet; there is at most one.
    in_flight: Option<Request>,
    /// When the next renewal or read is due.
    next_request_at: Instant,
    /// The end of the back-off after a failed read or an unreachable store.
    retry_at: Instant,
    /// The nonce of the last record that this node wrote.
    nonce: u64,
}

/// The stored value as it was last read or written.
#[derive(Debug)]
struct Observation {
    record: Option<Record>,
    version: u64,
    /// When this node first saw this version.
    since: Instant,
}

/// A write that may have taken effect or may still do so.
#[derive(Debug)]
struct PendingWrite {
    record: Record,
    sent: Instant,
    /// Whether this node gave the lease up after it sent the write.
    is_revoked: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Read,
    CompareAndSwap(u64),
}

impl Lease {
    /// Creates the state machine of a node that does not want the lease yet.
    pub fn new(config: Config, now: Instant) -> Self {
        let nonce = config.incarnation.0;
        Self {
            config,
            machine: Machine::new(Arc::clone(&CHART)),
            observed: None,
            is_stale: true,
            highest_fence: Fence(0),
            deadline: None,
            pending_writes: Vec::new(),
            in_flight: None,
            next_request_at: now,
            retry_at: now,
            nonce,
        }
    }

    /// Processes an event and returns the actions that the driver must perform.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Tick => {}
            Event::Wanted(true) => self.want(now),
            Event::Wanted(false) => self.unwant(&mut actions),
            Event::Read { result } => self.on_read(result, now, &mut actions),
            Event::Swapped { nonce, result } => self.on_swapped(nonce, result, now, &mut actions),
        }
        self.send_due(now, &mut actions);
        actions
    }

    /// Returns the fencing number if the local node holds the lease at `now`, else `None`.
    pub fn valid_fence(&self, now: Instant) -> Option<Fence> {
        let is_valid = self.phase() == Phase::Held && self.deadline.is_some_and(|end| now < end);
        is_valid.then_some(self.highest_fence)
    }

    /// Returns the instant at which the lease expires unless it is renewed, or `None` when the local
    /// node does not hold it.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.filter(|_| self.phase() == Phase::Held)
    }

    /// Returns the state of the lease at this node.
    pub fn phase(&self) -> Phase {
        self.machine.state()
    }

    fn want(&mut self, now: Instant) {
        if self.machine.fire(Trigger::Wanted).is_some() {
            self.next_request_at = now;
        }
    }

    fn unwant(&mut self, actions: &mut Vec<Action>) {
        let was_held = self.phase() == Phase::Held;
        if self.machine.fire(Trigger::Unwanted).is_none() {
            return;
        }
        if was_held {
            actions.push(Action::NoLongerHeld);
        }
        self.deadline = None;
        // A confirmation that arrives later must not restore a lease that was given up.
        for write in &mut self.pending_writes {
            write.is_revoked = true;
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.phase() == Phase::Held && self.deadline.is_none_or(|end| now >= end) {
            self.end_lease(Trigger::Expired, actions);
        }
    }

    fn end_lease(&mut self, trigger: Trigger, actions: &mut Vec<Action>) {
        if self.machine.fire(trigger).is_some() {
            self.deadline = None;
            actions.push(Action::NoLongerHeld);
        }
    }

    fn on_read(
        &mut self,
        result: Result<Option<(Record, u64)>, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight == Some(Request::Read) {
            self.in_flight = None;
        }
        let Ok(found) = result else {
            self.retry_at = now + self.config.renewal_interval / 2;
            self.machine.fire(Trigger::Released);
            return;
        };
        let (record, version) = match found {
            Some((record, version)) => (Some(record), version),
            None => (None, 0),
        };
        let confirmed = record
            .as_ref()
            .and_then(|record| self.pending_since(record));
        let is_holder = self.is_own(record.as_ref());
        self.observe(record, version, now);
        if let Some(sent) = confirmed {
            self.confirm(sent, now, actions);
        } else if !is_holder {
            self.end_lease(Trigger::TakenOver, actions);
        }
    }

    fn on_swapped(
        &mut self,
        nonce: u64,
        result: Result<u64, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.in_flight == Some(Request::CompareAndSwap(nonce)) {
            self.in_flight = None;
        }
        let position = self
            .pending_writes
            .iter()
            .position(|write| write.record.nonce == nonce);
        match result {
            Ok(version) => {
                if let Some(position) = position {
                    let write = self.pending_writes.swap_remove(position);
                    self.observe(Some(write.record), version, now);
                    if !write.is_revoked {
                        self.confirm(write.sent, now, actions);
                    }
                }
            }
            Err(failure) => {
                self.machine.fire(Trigger::ClaimFailed);
                if failure != Failure::Lost
                    && let Some(position) = position
                {
                    self.pending_writes.swap_remove(position);
                }
                self.is_stale |= failure != Failure::Unreachable;
                if failure == Failure::Unreachable {
                    self.retry_at = now + self.config.renewal_interval / 2;
                }
                self.next_request_at = now;
            }
        }
    }

    fn observe(&mut self, record: Option<Record>, version: u64, now: Instant) {
        self.is_stale = false;
        if let Some(record) = &record {
            self.highest_fence = self.highest_fence.max(record.fence);
        }
        let since = match &self.observed {
            Some(observed) if observed.version == version => observed.since,
            _ => now,
        };
        self.observed = Some(Observation {
            record,
            version,
            since,
        });
        let max_age = self.config.ttl;
        self.pending_writes
            .retain(|write| now < write.sent + max_age);
    }

    /// Extends the lease by a write that took effect, counted from the instant before it was sent.
    fn confirm(&mut self, sent: Instant, now: Instant, actions: &mut Vec<Action>) {
        self.next_request_at = sent + self.config.renewal_interval;
        let end = sent + self.config.ttl;
        if now >= end {
            self.machine.fire(Trigger::ClaimFailed);
            return;
        }
        let is_acquired = self.machine.fire(Trigger::Confirmed).is_some();
        if self.phase() == Phase::Held {
            self.deadline = self.deadline.max(Some(end));
        }
        if is_acquired {
            actions.push(Action::Acquired(self.highest_fence));
        }
    }

    /// Sends the request that is due, unless another one is in flight.
    fn send_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.in_flight.is_some() || now < self.retry_at {
            return;
        }
        match self.phase() {
            Phase::Idle | Phase::Acquiring => {}
            Phase::Observing if self.may_claim(now) => {
                self.machine.fire(Trigger::ClaimSent);
                self.claim(now, actions);
            }
            Phase::Held if !self.is_stale && now >= self.next_request_at => {
                self.claim(now, actions)
            }
            Phase::Observing | Phase::Held if now >= self.next_request_at => {
                self.next_request_at = now + self.config.renewal_interval;
                self.send(Request::Read, Action::Read, actions);
            }
            Phase::Observing | Phase::Held => {}
            Phase::Releasing => self.release(now, actions),
        }
    }

    /// Returns whether no other node can hold the lease under the observed record.
    fn may_claim(&self, now: Instant) -> bool {
        let Some(observed) = self.observed.as_ref().filter(|_| !self.is_stale) else {
            return false;
        };
        let takeover_wait = self.config.ttl + self.config.clock_margin;
        let is_unchanged = now.saturating_duration_since(observed.since) >= takeover_wait;
        match &observed.record {
            // The holder of a record that was removed may still hold the lease.
            None => self.highest_fence == Fence(0) || is_unchanged,
            Some(record) => record.is_vacant() || self.is_own(Some(record)) || is_unchanged,
        }
    }

    /// Sends the write that acquires the lease, or renews it if the record is this node's own.
    fn claim(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_holder = self.is_own(
            self.observed
                .as_ref()
                .and_then(|observation| observation.record.as_ref()),
        );
        let fence = if is_holder {
            self.highest_fence
        } else {
            self.highest_fence.next()
        };
        let record = Record {
            holder: self.config.holder.clone(),
            incarnation: self.config.incarnation,
            fence,
            nonce: self.next_nonce(),
        };
        self.next_request_at = now + self.config.renewal_interval;
        self.pending_writes.push(PendingWrite {
            record: record.clone(),
            sent: now,
            is_revoked: false,
        });
        self.compare_and_swap(record, actions);
    }

    fn release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_holder = self.is_own(
            self.observed
                .as_ref()
                .and_then(|observation| observation.record.as_ref()),
        );
        if self.is_stale && now >= self.next_request_at && !self.pending_writes.is_empty() {
            self.send(Request::Read, Action::Read, actions);
        } else if is_holder && !self.is_stale {
            let record = Record {
                holder: Name::new(""),
                incarnation: self.config.incarnation,
                fence: self.highest_fence,
                nonce: self.next_nonce(),
            };
            self.compare_and_swap(record, actions);
            self.machine.fire(Trigger::Released);
            self.is_stale = true;
        } else {
            self.machine.fire(Trigger::Released);
        }
    }

    fn compare_and_swap(&mut self, record: Record, actions: &mut Vec<Action>) {
        let expected = self
            .observed
            .as_ref()
            .map_or(0, |observed| observed.version);
        self.send(
            Request::CompareAndSwap(record.nonce),
            Action::CompareAndSwap { expected, record },
            actions,
        );
    }

    fn send(&mut self, request: Request, action: Action, actions: &mut Vec<Action>) {
        self.in_flight = Some(request);
        actions.push(action);
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    fn is_own(&self, record: Option<&Record>) -> bool {
        record.is_some_and(|record| {
            record.holder == self.config.holder && record.incarnation == self.config.incarnation
        })
    }

    fn pending_since(&self, record: &Record) -> Option<Instant> {
        let found = self
            .pending_writes
            .iter()
            .find(|write| !write.is_revoked && write.record == *record);
        found.map(|write| write.sent)
    }
}
