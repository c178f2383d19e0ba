//! One node's part in one lease: observation, acquisition, renewal, expiry and release.
//!
//! The driver performs [`Action::Read`] and [`Action::Swap`] against `lease/<role>` and answers each
//! with exactly one [`Event::Read`] or [`Event::Swapped`], with a timeout of its own. It sends
//! [`Event::Tick`] at least every 100 ms. A value that is not a [`Record`] is answered as
//! [`Failure::Unreachable`].

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

/// The settings of a lease; all nodes must use the same duration and margin.
#[derive(Clone, Debug)]
pub struct Config {
    /// The role that the lease protects.
    pub role: Name,
    /// The local node.
    pub holder: Id,
    /// The incarnation of the local node's process.
    pub incarnation: Incarnation,
    /// How long an acquisition or renewal is valid, counted from before its request was sent.
    pub duration: Duration,
    /// The interval of renewals by the holder and of reads by challengers.
    pub renew_every: Duration,
    /// What a challenger waits beyond the duration; covers the drift between two clocks.
    pub margin: Duration,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether the local node wants the lease.
    Wanted(bool),
    /// The answer to [`Action::Read`].
    Read {
        /// The record and the version of the stored value; none when the key has no value.
        result: Result<Option<(Record, u64)>, Failure>,
    },
    /// The answer to [`Action::Swap`].
    Swapped {
        /// The nonce of the record in the request.
        nonce: u64,
        /// The new version of the stored value.
        result: Result<u64, Failure>,
    },
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The key has another version.
    Conflict,
    /// The answer was lost; a write may have taken effect or may still do so.
    Lost,
    /// Nothing was sent, or the call was refused.
    Unreachable,
}

/// An output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record if the key has version `expected` (0: no value).
    Swap {
        /// The version that the key must have.
        expected: u64,
        /// The new value.
        record: Record,
    },
    /// The local node holds the lease now.
    Acquired(Fence),
    /// The local node no longer holds the lease.
    Released,
}

/// The state of one lease at one node.
#[derive(Debug)]
pub struct Lease {
    config: Config,
    machine: Machine<Phase, Trigger>,
    observed: Option<Observed>,
    /// Whether the record may have changed since it was observed, by a write of this node.
    stale: bool,
    highest: Fence,
    deadline: Option<Instant>,
    pending: Vec<Pending>,
    request: Option<Request>,
    due: Instant,
    retry: Instant,
    nonce: u64,
}

#[derive(Debug)]
struct Observed {
    record: Option<Record>,
    version: u64,
    since: Instant,
}

/// A write that may have taken effect.
#[derive(Debug)]
struct Pending {
    record: Record,
    sent: Instant,
    /// Whether the lease was given up after the write was sent.
    revoked: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Read,
    Swap(u64),
}

impl Lease {
    /// Starts without interest in the lease.
    pub fn new(config: Config, now: Instant) -> Self {
        let nonce = config.incarnation.0;
        Self {
            config,
            machine: Machine::new(Arc::clone(&CHART)),
            observed: None,
            stale: true,
            highest: Fence(0),
            deadline: None,
            pending: Vec::new(),
            request: None,
            due: now,
            retry: now,
            nonce,
        }
    }

    /// Processes an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Tick => {}
            Event::Wanted(true) => self.want(now),
            Event::Wanted(false) => self.unwant(&mut actions),
            Event::Read { result } => self.read(result, now, &mut actions),
            Event::Swapped { nonce, result } => self.swapped(nonce, result, now, &mut actions),
        }
        self.proceed(now, &mut actions);
        actions
    }

    /// Returns the fencing number if the local node holds the lease at `now`.
    pub fn held(&self, now: Instant) -> Option<Fence> {
        let valid = self.phase() == Phase::Held && self.deadline.is_some_and(|end| now < end);
        valid.then_some(self.highest)
    }

    /// Returns the instant at which the lease expires unless it is renewed.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline.filter(|_| self.phase() == Phase::Held)
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.machine.state()
    }

    fn want(&mut self, now: Instant) {
        if self.machine.fire(Trigger::Wanted).is_some() {
            self.due = now;
        }
    }

    fn unwant(&mut self, actions: &mut Vec<Action>) {
        let held = self.phase() == Phase::Held;
        if self.machine.fire(Trigger::Unwanted).is_none() {
            return;
        }
        if held {
            actions.push(Action::Released);
        }
        self.deadline = None;
        // Confirmations that arrive later must not revive a lease that was given up.
        for pending in &mut self.pending {
            pending.revoked = true;
        }
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.phase() == Phase::Held && self.deadline.is_none_or(|end| now >= end) {
            self.lose(Trigger::Expired, actions);
        }
    }

    fn lose(&mut self, trigger: Trigger, actions: &mut Vec<Action>) {
        if self.machine.fire(trigger).is_some() {
            self.deadline = None;
            actions.push(Action::Released);
        }
    }

    fn read(
        &mut self,
        result: Result<Option<(Record, u64)>, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.request == Some(Request::Read) {
            self.request = None;
        }
        let Ok(found) = result else {
            self.retry = now + self.config.renew_every / 2;
            self.machine.fire(Trigger::Vacated);
            return;
        };
        let (record, version) = match found {
            Some((record, version)) => (Some(record), version),
            None => (None, 0),
        };
        let confirmed = record.as_ref().and_then(|record| self.sent_at(record));
        let own = self.is_own(record.as_ref());
        self.observe(record, version, now);
        if let Some(sent) = confirmed {
            self.confirm(sent, now, actions);
        } else if !own {
            self.lose(Trigger::Taken, actions);
        }
    }

    fn swapped(
        &mut self,
        nonce: u64,
        result: Result<u64, Failure>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.request == Some(Request::Swap(nonce)) {
            self.request = None;
        }
        let position = self
            .pending
            .iter()
            .position(|pending| pending.record.nonce == nonce);
        match result {
            Ok(version) => {
                if let Some(position) = position {
                    let pending = self.pending.swap_remove(position);
                    self.observe(Some(pending.record), version, now);
                    if !pending.revoked {
                        self.confirm(pending.sent, now, actions);
                    }
                }
            }
            Err(failure) => {
                self.machine.fire(Trigger::Refused);
                if failure != Failure::Lost
                    && let Some(position) = position
                {
                    self.pending.swap_remove(position);
                }
                self.stale |= failure != Failure::Unreachable;
                if failure == Failure::Unreachable {
                    self.retry = now + self.config.renew_every / 2;
                }
                self.due = now;
            }
        }
    }

    fn observe(&mut self, record: Option<Record>, version: u64, now: Instant) {
        self.stale = false;
        if let Some(record) = &record {
            self.highest = self.highest.max(record.fence);
        }
        let since = match &self.observed {
            Some(observed) if observed.version == version => observed.since,
            _ => now,
        };
        self.observed = Some(Observed {
            record,
            version,
            since,
        });
        let horizon = self.config.duration;
        self.pending.retain(|pending| now < pending.sent + horizon);
    }

    /// Counts a write as valid from the instant before it was sent.
    fn confirm(&mut self, sent: Instant, now: Instant, actions: &mut Vec<Action>) {
        self.due = sent + self.config.renew_every;
        let end = sent + self.config.duration;
        if now >= end {
            self.machine.fire(Trigger::Refused);
            return;
        }
        let gained = self.machine.fire(Trigger::Confirmed).is_some();
        if self.phase() == Phase::Held {
            self.deadline = self.deadline.max(Some(end));
        }
        if gained {
            actions.push(Action::Acquired(self.highest));
        }
    }

    fn proceed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.request.is_some() || now < self.retry {
            return;
        }
        match self.phase() {
            Phase::Idle | Phase::Acquiring => {}
            Phase::Observing if self.may_claim(now) => {
                self.machine.fire(Trigger::Claimed);
                self.swap(now, actions);
            }
            Phase::Held if !self.stale && now >= self.due => self.swap(now, actions),
            Phase::Observing | Phase::Held if now >= self.due => {
                self.due = now + self.config.renew_every;
                self.start(Request::Read, Action::Read, actions);
            }
            Phase::Observing | Phase::Held => {}
            Phase::Releasing => self.release(now, actions),
        }
    }

    /// Tells whether no other node can hold the lease under the observed record.
    fn may_claim(&self, now: Instant) -> bool {
        let Some(observed) = self.observed.as_ref().filter(|_| !self.stale) else {
            return false;
        };
        let wait = self.config.duration + self.config.margin;
        let unchanged = now.saturating_duration_since(observed.since) >= wait;
        match &observed.record {
            // A record that was seen and then removed may still have a holder.
            None => self.highest == Fence(0) || unchanged,
            Some(record) => record.is_vacant() || self.is_own(Some(record)) || unchanged,
        }
    }

    fn swap(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let own = self.is_own(self.observed.as_ref().and_then(|seen| seen.record.as_ref()));
        let fence = if own {
            self.highest
        } else {
            self.highest.next()
        };
        let record = Record {
            holder: self.config.holder.clone(),
            incarnation: self.config.incarnation,
            fence,
            nonce: self.next_nonce(),
        };
        self.due = now + self.config.renew_every;
        self.pending.push(Pending {
            record: record.clone(),
            sent: now,
            revoked: false,
        });
        self.write(record, actions);
    }

    fn release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let own = self.is_own(self.observed.as_ref().and_then(|seen| seen.record.as_ref()));
        if self.stale && now >= self.due && !self.pending.is_empty() {
            self.start(Request::Read, Action::Read, actions);
        } else if own && !self.stale {
            let record = Record {
                holder: Name::new(""),
                incarnation: self.config.incarnation,
                fence: self.highest,
                nonce: self.next_nonce(),
            };
            self.write(record, actions);
            self.machine.fire(Trigger::Vacated);
            self.stale = true;
        } else {
            self.machine.fire(Trigger::Vacated);
        }
    }

    fn write(&mut self, record: Record, actions: &mut Vec<Action>) {
        let expected = self
            .observed
            .as_ref()
            .map_or(0, |observed| observed.version);
        self.start(
            Request::Swap(record.nonce),
            Action::Swap { expected, record },
            actions,
        );
    }

    fn start(&mut self, request: Request, action: Action, actions: &mut Vec<Action>) {
        self.request = Some(request);
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

    fn sent_at(&self, record: &Record) -> Option<Instant> {
        let found = self
            .pending
            .iter()
            .find(|pending| !pending.revoked && pending.record == *record);
        found.map(|pending| pending.sent)
    }
}
