//! The state of one member as another node knows it, and how reports, updates and silence change it.

use std::time::{Duration, Instant};

use shallotroute_types::member::{Member, State};

use crate::{
    digest,
    phase::{self, Trigger},
    timing::Timing,
};

/// The state of one member as another node knows it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member as last reported.
    pub member: Member,
    /// When the member was last known to be alive, from its own datagrams or through other members.
    pub last_heard: Instant,
    /// The highest sequence number of the member's datagrams in this incarnation.
    pub(crate) sequence: u64,
    /// How many more datagrams will carry the member's state because it changed.
    pub(crate) transmissions_left: u32,
    /// When the member was last notified of its state in this node's view.
    pub(crate) last_notified: Option<Instant>,
    /// The hash of the member's name, see [`digest::name_hash`].
    pub(crate) name_hash: u64,
}

/// The changes that a report, an update or a tick made to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Change {
    /// Whether the state, the incarnation or the address changed.
    pub(crate) has_new_state: bool,
    /// Whether the change has to be gossiped. A suspicion and its end are not: they would take the
    /// room of the ages in datagrams, and ages end most suspicions.
    pub(crate) should_spread: bool,
    /// Whether the known revision or the revision in force changed.
    pub(crate) has_new_revision: bool,
}

impl Entry {
    pub(crate) fn new(member: Member, last_heard: Instant, sequence: u64) -> Self {
        let name_hash = digest::name_hash(&member.id);
        Self {
            member,
            last_heard,
            sequence,
            transmissions_left: 0,
            last_notified: None,
            name_hash,
        }
    }

    /// Returns the time since the member was last known to be alive.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_heard)
    }

    /// Applies a report of the member about itself. Returns `None`, without a change, when the report
    /// is replayed, out of order or of an earlier incarnation.
    pub(crate) fn apply_report(
        &mut self,
        member: &Member,
        sequence: u64,
        now: Instant,
    ) -> Option<Change> {
        let is_newer = member.incarnation > self.member.incarnation;
        if !is_newer && (member.incarnation < self.member.incarnation || sequence <= self.sequence)
        {
            return None;
        }
        self.sequence = sequence;
        if is_newer {
            self.last_heard = now;
            return Some(self.replace(member));
        }
        if self.member.state == State::Dead {
            // Only a higher incarnation ends death, so that all members agree on the order of events.
            return Some(Change::default());
        }
        self.last_heard = now;
        Some(self.merge(member))
    }

    /// Applies what another member knows of the member. `last_heard` is `None` when the other member
    /// does not say when it last knew the member to be alive.
    pub(crate) fn apply_update(
        &mut self,
        member: &Member,
        last_heard: Option<Instant>,
        now: Instant,
        timing: &Timing,
    ) -> Change {
        if member.incarnation < self.member.incarnation {
            return Change::default();
        }
        if member.incarnation > self.member.incarnation {
            self.sequence = 0;
            self.last_heard = self.last_heard.max(last_heard.unwrap_or(self.last_heard));
            return self.replace(member);
        }
        if self.member.state == State::Dead {
            return Change::default();
        }
        if member.state == State::Dead {
            let is_leaving = self.member.state == State::Leaving;
            // A recent sign of life outweighs another member's declaration of death.
            if !is_leaving && self.silence(now) < timing.suspect_after {
                return Change::default();
            }
        } else if let Some(last_heard) = last_heard {
            self.last_heard = self.last_heard.max(last_heard);
        }
        self.merge(member)
    }

    /// Changes the state by the time since the member was last known to be alive. A pause of the local
    /// process, which last ended at `resumed_at`, does not count as silence of the member.
    pub(crate) fn tick(&mut self, now: Instant, resumed_at: Instant, timing: &Timing) -> Change {
        let silence = now.saturating_duration_since(self.last_heard.max(resumed_at));
        let trigger = match silence {
            silence if silence >= timing.dead_after => Trigger::Expired,
            silence if silence >= timing.suspect_after => Trigger::Silent,
            _ => Trigger::Heard,
        };
        let state = phase::next(self.member.state, trigger);
        let is_changed = state != self.member.state;
        self.member.state = state;
        Change {
            has_new_state: is_changed,
            should_spread: is_changed && state == State::Dead,
            has_new_revision: false,
        }
    }

    /// Replaces the member by one of a higher incarnation.
    fn replace(&mut self, member: &Member) -> Change {
        // A restarted process may hold an older revision than the previous one, so nothing is kept.
        let has_new_revision =
            (member.known, member.in_force) != (self.member.known, self.member.in_force);
        let state = phase::next(self.member.state, Trigger::Reincarnated);
        let previous = std::mem::replace(&mut self.member, member.clone());
        self.member.state = state_after_report(state, member.state);
        let member = &self.member;
        let has_death_changed = (previous.state == State::Dead) != (member.state == State::Dead);
        let has_leaving_changed =
            (previous.state == State::Leaving) != (member.state == State::Leaving);
        Change {
            has_new_state: true,
            should_spread: has_death_changed
                || has_leaving_changed
                || previous.address != member.address,
            has_new_revision,
        }
    }

    /// Merges a report or update of the same incarnation.
    fn merge(&mut self, member: &Member) -> Change {
        let state = state_after_report(self.member.state, member.state);
        let known = self.member.known.max(member.known);
        let in_force = self.member.in_force.max(member.in_force);
        let change = Change {
            has_new_state: state != self.member.state,
            should_spread: state != self.member.state,
            has_new_revision: (known, in_force) != (self.member.known, self.member.in_force),
        };
        self.member.state = state;
        self.member.known = known;
        self.member.in_force = in_force;
        change
    }
}

/// Returns the state after the state `reported` is received for the same incarnation.
fn state_after_report(state: State, reported: State) -> State {
    match reported {
        // Suspicion follows from `last_heard` alone, not from the suspicion of another node.
        State::Alive | State::Suspect => state,
        State::Leaving => phase::next(state, Trigger::LeavingReported),
        State::Dead => phase::next(state, Trigger::DeathReported),
    }
}
