//! What a node knows of one other member, and how news changes it.

use std::time::{Duration, Instant};

use shallotroute_types::member::{Member, State};

use crate::{
    digest,
    pace::Pace,
    phase::{self, Trigger},
};

/// What a node knows of another member.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member as last reported.
    pub member: Member,
    /// When it was last known to be alive, directly or by news.
    pub heard: Instant,
    /// The highest sequence of its datagrams in this incarnation.
    pub(crate) sequence: u64,
    /// How many more datagrams carry its state because it changed.
    pub(crate) spread: u32,
    /// When it was last told about its own state.
    pub(crate) told: Option<Instant>,
    pub(crate) hash: u64,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Change {
    /// The state, the incarnation or the address changed.
    pub(crate) state: bool,
    /// Others have to be told. Suspicion and its end are not passed on: they would crowd out the
    /// ages that end most suspicions.
    pub(crate) spread: bool,
    /// The known revision or the revision in force changed.
    pub(crate) revision: bool,
}

impl Entry {
    pub(crate) fn new(member: Member, heard: Instant, sequence: u64) -> Self {
        let hash = digest::hash(&member.id);
        Self {
            member,
            heard,
            sequence,
            spread: 0,
            told: None,
            hash,
        }
    }

    /// Returns how long there was no news.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    /// Takes a report of the member by itself; `false` when it is replayed or out of order.
    pub(crate) fn report(
        &mut self,
        member: &Member,
        sequence: u64,
        now: Instant,
    ) -> Option<Change> {
        let newer = member.incarnation > self.member.incarnation;
        if !newer && (member.incarnation < self.member.incarnation || sequence <= self.sequence) {
            return None;
        }
        self.sequence = sequence;
        if newer {
            self.heard = now;
            return Some(self.replace(member));
        }
        if self.member.state == State::Dead {
            // Only a higher incarnation ends death, so that all members agree on the order.
            return Some(Change::default());
        }
        self.heard = now;
        Some(self.merge(member))
    }

    /// Takes what another member knows.
    pub(crate) fn news(
        &mut self,
        member: &Member,
        heard: Option<Instant>,
        now: Instant,
        pace: &Pace,
    ) -> Change {
        if member.incarnation < self.member.incarnation {
            return Change::default();
        }
        if member.incarnation > self.member.incarnation {
            self.sequence = 0;
            self.heard = self.heard.max(heard.unwrap_or(self.heard));
            return self.replace(member);
        }
        if self.member.state == State::Dead {
            return Change::default();
        }
        if member.state == State::Dead {
            let departed = self.member.state == State::Leaving;
            // Direct or fresher news outweighs another member's declaration of death.
            if !departed && self.silence(now) < pace.suspect_after {
                return Change::default();
            }
        } else if let Some(heard) = heard {
            self.heard = self.heard.max(heard);
        }
        self.merge(member)
    }

    /// Changes the state by the time since the last news; `resumed` is when the local node last
    /// resumed after a pause in which it could hear nothing.
    pub(crate) fn tick(&mut self, now: Instant, resumed: Instant, pace: &Pace) -> Change {
        let silence = now.saturating_duration_since(self.heard.max(resumed));
        let trigger = match silence {
            silence if silence >= pace.dead_after => Trigger::Expired,
            silence if silence >= pace.suspect_after => Trigger::Silent,
            _ => Trigger::Fresh,
        };
        let state = phase::next(self.member.state, trigger);
        let changed = state != self.member.state;
        self.member.state = state;
        Change {
            state: changed,
            spread: changed && state == State::Dead,
            revision: false,
        }
    }

    fn replace(&mut self, member: &Member) -> Change {
        // A restarted process may hold less than the one before, so that nothing is carried over.
        let revision = (member.known, member.in_force) != (self.member.known, self.member.in_force);
        let state = phase::next(self.member.state, Trigger::Renewed);
        let before = std::mem::replace(&mut self.member, member.clone());
        self.member.state = reported(state, member.state);
        let member = &self.member;
        let died = (before.state == State::Dead) != (member.state == State::Dead);
        let left = (before.state == State::Leaving) != (member.state == State::Leaving);
        Change {
            state: true,
            spread: died || left || before.address != member.address,
            revision,
        }
    }

    fn merge(&mut self, member: &Member) -> Change {
        let state = reported(self.member.state, member.state);
        let known = self.member.known.max(member.known);
        let in_force = self.member.in_force.max(member.in_force);
        let change = Change {
            state: state != self.member.state,
            spread: state != self.member.state,
            revision: (known, in_force) != (self.member.known, self.member.in_force),
        };
        self.member.state = state;
        self.member.known = known;
        self.member.in_force = in_force;
        change
    }
}

/// Returns the state after a report of a state under the same incarnation.
fn reported(state: State, report: State) -> State {
    match report {
        // Suspicion follows from the age of the news alone.
        State::Alive | State::Suspect => state,
        State::Leaving => phase::next(state, Trigger::Left),
        State::Dead => phase::next(state, Trigger::Departed),
    }
}
