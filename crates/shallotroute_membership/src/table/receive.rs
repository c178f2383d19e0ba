//! Processing of datagrams from other nodes.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotroute_types::{
    member::{Member, State},
    node::Incarnation,
};

use super::{Action, Table, is_participant};
use crate::{
    datagram::{Frame, Update},
    digest::{name_hash, short_key},
    entry::Entry,
};

/// The shortest time between two notices to a member about its own state.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The number of datagrams that carry the state of a newly learned member. It is small because a node
/// that misses members receives them in response to its participant hash, and because the datagrams of a
/// fleet that starts all at once would otherwise have no room for ages for many minutes.
const NEWCOMER_TRANSMISSIONS: u32 = 2;

impl Table {
    pub(super) fn receive(&mut self, frame: &Frame, now: Instant, actions: &mut Vec<Action>) {
        let sender = &frame.sender;
        if sender.id == self.local.id {
            actions.push(Action::Own);
            self.outbid_incarnation(sender);
            return;
        }
        if !self.receive_report(frame, now, actions) {
            return;
        }
        let incarnation = self.local.incarnation;
        for update in &frame.updates {
            self.receive_update(update, now, actions);
        }
        if self.local.incarnation != incarnation {
            self.send_refutation(sender.address, now, actions);
        }
        self.apply_ages(frame, now, actions);
    }

    /// Applies the sender's report of itself. Returns whether the rest of the frame may be used.
    fn receive_report(&mut self, frame: &Frame, now: Instant, actions: &mut Vec<Action>) -> bool {
        let sender = &frame.sender;
        let Some(entry) = self.entries.get_mut(&sender.id) else {
            if sender.state != State::Dead {
                let entry = Entry::new(sender.clone(), now, frame.sequence);
                self.insert(entry, actions);
                self.greet(sender.address, now, actions);
            }
            return true;
        };
        let change = entry.apply_report(sender, frame.sequence, now);
        let is_behind = sender.incarnation < entry.member.incarnation;
        let is_dead = entry.member.state == State::Dead && sender.state != State::Dead;
        let is_notice_due = entry
            .last_notified
            .is_none_or(|last_notified| now >= last_notified + MIN_NOTICE_INTERVAL);
        // A member that is regarded as dead, or whose process restarted with too low an incarnation,
        // raises its incarnation when it learns of that.
        if (is_behind || is_dead && change.is_some()) && is_notice_due {
            entry.last_notified = Some(now);
            let seen = Member {
                address: sender.address,
                ..entry.member.clone()
            };
            self.notify(seen, now, actions);
        }
        let Some(change) = change else {
            actions.push(Action::Replayed);
            return false;
        };
        self.record_change(&sender.id, change, actions);
        true
    }

    /// Applies what the sender knows of a member.
    fn receive_update(&mut self, update: &Update, now: Instant, actions: &mut Vec<Action>) {
        let member = &update.member;
        if member.id == self.local.id {
            self.outbid_incarnation(member);
            return;
        }
        let last_heard = update.age.duration().and_then(|age| now.checked_sub(age));
        let timing = self.timing;
        if let Some(entry) = self.entries.get_mut(&member.id) {
            let change = entry.apply_update(member, last_heard, now, &timing);
            self.record_change(&member.id, change, actions);
        } else if let Some(last_heard) = last_heard
            && member.state != State::Dead
            && now.saturating_duration_since(last_heard) < timing.dead_after
        {
            self.insert(Entry::new(member.clone(), last_heard, 0), actions);
        }
    }

    fn insert(&mut self, mut entry: Entry, actions: &mut Vec<Action>) {
        entry.transmissions_left = NEWCOMER_TRANSMISSIONS;
        self.entries.insert(entry.member.id.clone(), entry);
        actions.push(Action::ViewChanged);
    }

    /// Raises the local incarnation above the one under which another node suspects the local node, or
    /// above that of an earlier process of this node.
    fn outbid_incarnation(&mut self, seen: &Member) {
        let is_doubted = matches!(seen.state, State::Suspect | State::Dead)
            && seen.incarnation == self.local.incarnation;
        if self.local.state != State::Dead
            && (is_doubted || seen.incarnation > self.local.incarnation)
        {
            self.local.incarnation = Incarnation(seen.incarnation.0.saturating_add(1));
            self.is_round_urgent = true;
        }
    }

    /// Applies the ages of the members in the frame's key range, and sends the sender the members that
    /// it does not seem to know.
    fn apply_ages(&mut self, frame: &Frame, now: Instant, actions: &mut Vec<Action>) {
        if frame.participant_hash == 0 {
            return;
        }
        let mut matches_by_offset: HashMap<u16, Match> = HashMap::with_capacity(frame.ages.len());
        let mut last_offset: u16 = 0;
        for keyed_age in &frame.ages {
            last_offset = last_offset.saturating_add(keyed_age.gap);
            let last_heard = keyed_age
                .age
                .duration()
                .and_then(|age| now.checked_sub(age));
            let matched = matches_by_offset.entry(last_offset).or_insert(Match {
                last_heard,
                count: 0,
            });
            matched.last_heard = matched.last_heard.min(last_heard);
        }
        let offset =
            |name_hash: u64| short_key(name_hash, frame.key_salt).wrapping_sub(frame.range_start);
        if let Some(matched) = matches_by_offset.get_mut(&offset(name_hash(&self.local.id))) {
            matched.count += 1;
        }
        let mut missing = Vec::new();
        for entry in self
            .entries
            .values()
            .filter(|entry| is_participant(&entry.member))
        {
            let offset = offset(entry.name_hash);
            match matches_by_offset.get_mut(&offset) {
                Some(matched) => matched.count += 1,
                None if frame.is_full_range || offset <= last_offset => {
                    missing.push(entry.member.id.clone());
                }
                None => {}
            }
        }
        for entry in self.entries.values_mut() {
            if let Some(Match {
                last_heard: Some(last_heard),
                count: 1,
            }) = matches_by_offset.get(&offset(entry.name_hash))
                && is_participant(&entry.member)
            {
                entry.last_heard = entry.last_heard.max(*last_heard);
            }
        }
        missing.retain(|id| *id != frame.sender.id);
        if frame.participant_hash != self.hash_participants() {
            self.send_missing(frame.sender.address, missing, now, actions);
        }
    }
}

/// A key of a datagram and the number of members of the table that have it.
struct Match {
    /// The instant that the age stands for; the earliest if several ages have this key.
    last_heard: Option<Instant>,
    /// The number of members with this key, including the local node.
    count: usize,
}
