//! Whether the holder of the fleet's duties may call the platform now, and with which token.
//!
//! One node holds all duties, the leader of the fleet. Its token is its fencing number. The platform may not
//! check tokens, so that a call of a former holder must not arrive after one of its successor:
//!
//! * a call is sent only while the lease outlasts the call's timeout, judged on the time since boot;
//! * a call that was given up may arrive until the system gives up its connection, so that a new holder
//!   first waits for longer than that;
//! * a holder that resigns while a call has no answer waits until that call can no longer arrive.
//!
//! Answers the load pattern of few calls, each of which costs money and must not be made by two nodes: a call
//! every few seconds, and bursts while the platform fails.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use shallotroute_types::fence::Fence;

/// The result of asking for permission to call.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The times that the holder keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a new holder waits before its first call. Has to be longer than `abandoned`.
    pub settling: Duration,
    /// The timeout of a call.
    pub call_timeout: Duration,
    /// How long after its timeout a call may still arrive.
    pub abandoned: Duration,
    /// How much longer than a call's timeout the lease has to last. Covers a pause between the check and the
    /// first byte.
    pub margin: Duration,
    /// The shortest time between two calls.
    pub interval: Duration,
}

/// Why a call may not be sent now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// This node does not hold the duties.
    #[display("this node does not hold the duties")]
    NotHolder,
    /// The platform has seen a higher token.
    #[display("the platform has seen a higher token")]
    Fenced,
    /// The platform may have seen a higher token, which has to be found out first.
    #[display("the platform may have seen a higher token")]
    Doubted,
    /// The node is about to give the duties up.
    #[display("this node is about to give up the duties")]
    Resigning,
    /// The lease has ended or ends before the call would time out.
    #[display("the lease does not outlast a call")]
    LeaseTooShort,
    /// A call may be sent at this time since boot, not earlier.
    #[display("no call before {} ms since boot", _0.as_millis())]
    NotBefore(Duration),
}

/// The permission to send one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The token of the call.
    pub token: Fence,
    /// The number of the call at this node.
    number: u64,
}

/// What is known of a call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// No byte was sent, or the platform has answered.
    Settled,
    /// The platform has answered that it saw a higher token.
    Fenced,
    /// The platform has rejected the call, perhaps because it saw a higher token.
    Doubtful,
    /// There was no answer, so that the call may still arrive.
    Unanswered,
}

/// The time for which this node holds the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Tenure {
    token: Fence,
    /// When the first call may be sent, since boot.
    calls_from: Duration,
}

/// Decides about the calls of a node. All times are since the boot of the host and include its suspensions.
#[derive(Clone, Debug)]
pub struct Holder {
    timing: Timing,
    tenure: Option<Tenure>,
    /// The highest token that the platform rejected because of a higher one, or that was retired.
    fenced: Option<Fence>,
    /// The last call that the platform may have rejected because of a higher token.
    doubted: Option<Permit>,
    is_resigning: bool,
    next_number: u64,
    /// When the next call may be sent.
    next_call: Duration,
    /// Until when the calls without an answer may arrive, by number.
    unanswered: BTreeMap<u64, Duration>,
}

impl Holder {
    /// Creates the state of a node that does not hold the duties.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            tenure: None,
            fenced: None,
            doubted: None,
            is_resigning: false,
            next_number: 0,
            next_call: Duration::ZERO,
            unanswered: BTreeMap::new(),
        }
    }

    /// Records that the node holds the duties with a token. The wait before the first call begins with the first
    /// record of a token.
    pub fn gain(&mut self, token: Fence, now: Duration) {
        if self.token() == Some(token) {
            return;
        }
        self.is_resigning = false;
        self.tenure = Some(Tenure {
            token,
            calls_from: now + self.timing.settling,
        });
    }

    /// Records that the node no longer holds the duties.
    pub fn lose(&mut self) {
        self.tenure = None;
        self.is_resigning = false;
    }

    /// Sets whether the node is about to give the duties up, so that it sends no further call.
    pub fn set_resigning(&mut self, is_resigning: bool) {
        self.is_resigning = is_resigning;
    }

    /// Ends the use of a token. The record of the leadership may go on naming this node for a while.
    pub fn retire(&mut self, token: Fence) {
        self.fenced = self.fenced.max(Some(token));
    }

    /// Returns the token; `None` if the node does not hold the duties.
    pub fn token(&self) -> Option<Fence> {
        self.tenure.map(|tenure| tenure.token)
    }

    /// Returns whether the platform has seen a higher token than the node's own or the token is retired, so that the
    /// node has to step down.
    pub fn is_fenced(&self) -> bool {
        self.token()
            .is_some_and(|token| self.fenced.is_some_and(|fenced| token <= fenced))
    }

    /// Returns the last call with the present token that the platform may have rejected because of a higher one. It has
    /// not if a linearizable read of the record of the leadership, after the rejection, shows this token: higher ones
    /// come with later records only.
    pub fn doubted(&self) -> Option<Permit> {
        self.doubted
            .filter(|permit| self.token() == Some(permit.token))
    }

    /// Records whether the token of a doubted call is still the highest one.
    pub fn resolve_doubt(&mut self, permit: Permit, is_highest: bool) {
        match is_highest {
            // The read says nothing about a later rejection.
            true if self.doubted == Some(permit) => self.doubted = None,
            true => {}
            false => self.retire(permit.token),
        }
    }

    /// Returns when the next call may be sent, so that no connection is opened in vain.
    ///
    /// # Errors
    ///
    /// Returns why no call may be sent, whatever the time is.
    pub fn next_call(&self) -> Result<Duration> {
        let tenure = self.tenure.ok_or(Refusal::NotHolder)?;
        if self.is_fenced() {
            return Err(Refusal::Fenced);
        }
        if self.doubted().is_some() {
            return Err(Refusal::Doubted);
        }
        if self.is_resigning {
            return Err(Refusal::Resigning);
        }
        Ok(tenure.calls_from.max(self.next_call))
    }

    /// Permits one call. Has to be asked right before the first byte of the call is written. `lease` is the
    /// end of the lease to which the token is bound.
    ///
    /// # Errors
    ///
    /// Returns why the call may not be sent.
    pub fn permit(&mut self, lease: Option<Duration>, now: Duration) -> Result<Permit> {
        let not_before = self.next_call()?;
        let token = self.token().ok_or(Refusal::NotHolder)?;
        if now < not_before {
            return Err(Refusal::NotBefore(not_before));
        }
        let Timing {
            call_timeout,
            margin,
            abandoned,
            interval,
            ..
        } = self.timing;
        if lease.is_none_or(|lease| lease <= now + call_timeout + margin) {
            return Err(Refusal::LeaseTooShort);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.next_call = now + interval;
        self.unanswered.retain(|_, until| *until > now);
        // The call counts as unanswered until it has ended.
        self.unanswered
            .insert(number, now + margin + call_timeout + abandoned);
        Ok(Permit { token, number })
    }

    /// Records the end of a call.
    pub fn end(&mut self, permit: Permit, end: CallEnd) {
        match end {
            CallEnd::Unanswered => return,
            CallEnd::Settled => {}
            CallEnd::Fenced => self.retire(permit.token),
            CallEnd::Doubtful => self.doubted = Some(permit),
        }
        self.unanswered.remove(&permit.number);
    }

    /// Returns whether no call of this node can arrive any more, so that it may let another node hold the duties.
    pub fn can_step_down(&self, now: Duration) -> bool {
        self.unanswered.values().all(|until| *until <= now)
    }
}
