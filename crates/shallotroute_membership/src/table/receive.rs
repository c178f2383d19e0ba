//! Datagrams of other nodes.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use shallotroute_types::{
    member::{Member, State},
    node::Incarnation,
};

use super::{Action, Table, is_live};
use crate::{
    datagram::{Frame, News},
    digest::{hash, key},
    member::Entry,
};

/// The shortest time between two answers that tell a member about its own state.
const TELL_EVERY: Duration = Duration::from_millis(500);

/// How many datagrams carry the state of a newly learned member. Few, because a difference between two
/// live sets is answered with what is missing, and because a fleet that starts at once would otherwise
/// leave no room for ages for many minutes.
const NEWCOMER_SPREAD: u32 = 2;

impl Table {
    pub(super) fn receive(&mut self, frame: &Frame, now: Instant, actions: &mut Vec<Action>) {
        let sender = &frame.sender;
        if sender.id == self.local.id {
            actions.push(Action::Own);
            self.meet_self(sender);
            return;
        }
        if !self.report(frame, now, actions) {
            return;
        }
        let incarnation = self.local.incarnation;
        for news in &frame.news {
            self.news(news, now, actions);
        }
        if self.local.incarnation != incarnation {
            self.refute(sender.address, now, actions);
        }
        self.apply_ages(frame, now, actions);
    }

    /// Takes the sender's report of itself; tells whether the rest of the frame may be used.
    fn report(&mut self, frame: &Frame, now: Instant, actions: &mut Vec<Action>) -> bool {
        let sender = &frame.sender;
        let Some(entry) = self.entries.get_mut(&sender.id) else {
            if sender.state != State::Dead {
                let entry = Entry::new(sender.clone(), now, frame.sequence);
                self.insert(entry, actions);
                self.introduce(sender.address, now, actions);
            }
            return true;
        };
        let change = entry.report(sender, frame.sequence, now);
        let behind = sender.incarnation < entry.member.incarnation;
        let dead = entry.member.state == State::Dead && sender.state != State::Dead;
        let due = entry.told.is_none_or(|told| now >= told + TELL_EVERY);
        // A member that is taken for dead, or whose process restarted with too low an incarnation,
        // has to learn of it to raise its incarnation.
        if (behind || dead && change.is_some()) && due {
            entry.told = Some(now);
            let seen = Member {
                address: sender.address,
                ..entry.member.clone()
            };
            self.tell(seen, now, actions);
        }
        let Some(change) = change else {
            actions.push(Action::Replayed);
            return false;
        };
        self.note(&sender.id, change, actions);
        true
    }

    fn news(&mut self, news: &News, now: Instant, actions: &mut Vec<Action>) {
        let member = &news.member;
        if member.id == self.local.id {
            self.meet_self(member);
            return;
        }
        let heard = news.age.duration().and_then(|age| now.checked_sub(age));
        let pace = self.pace;
        if let Some(entry) = self.entries.get_mut(&member.id) {
            let change = entry.news(member, heard, now, &pace);
            self.note(&member.id, change, actions);
        } else if let Some(heard) = heard
            && member.state != State::Dead
            && now.saturating_duration_since(heard) < pace.dead_after
        {
            self.insert(Entry::new(member.clone(), heard, 0), actions);
        }
    }

    fn insert(&mut self, mut entry: Entry, actions: &mut Vec<Action>) {
        entry.spread = NEWCOMER_SPREAD;
        self.entries.insert(entry.member.id.clone(), entry);
        actions.push(Action::Changed);
    }

    /// Raises the incarnation above the one under which others suspect the local node, or above
    /// that of an earlier process of this node.
    fn meet_self(&mut self, seen: &Member) {
        let doubted = matches!(seen.state, State::Suspect | State::Dead)
            && seen.incarnation == self.local.incarnation;
        if self.local.state != State::Dead && (doubted || seen.incarnation > self.local.incarnation)
        {
            self.local.incarnation = Incarnation(seen.incarnation.0.saturating_add(1));
            self.urgent = true;
        }
    }

    fn apply_ages(&mut self, frame: &Frame, now: Instant, actions: &mut Vec<Action>) {
        if frame.members == 0 {
            return;
        }
        let mut found: HashMap<u16, Match> = HashMap::with_capacity(frame.ages.len());
        let mut end: u16 = 0;
        for seen in &frame.ages {
            end = end.saturating_add(seen.gap);
            let heard = seen.age.duration().and_then(|age| now.checked_sub(age));
            let matched = found.entry(end).or_insert(Match { heard, count: 0 });
            matched.heard = matched.heard.min(heard);
        }
        let offset = |hash: u64| key(hash, frame.salt).wrapping_sub(frame.start);
        if let Some(matched) = found.get_mut(&offset(hash(&self.local.id))) {
            matched.count += 1;
        }
        let mut missing = Vec::new();
        for entry in self.entries.values().filter(|entry| is_live(&entry.member)) {
            let offset = offset(entry.hash);
            match found.get_mut(&offset) {
                Some(matched) => matched.count += 1,
                None if frame.whole || offset <= end => {
                    missing.push(entry.member.id.clone());
                }
                None => {}
            }
        }
        for entry in self.entries.values_mut() {
            if let Some(Match {
                heard: Some(heard),
                count: 1,
            }) = found.get(&offset(entry.hash))
                && is_live(&entry.member)
            {
                entry.heard = entry.heard.max(*heard);
            }
        }
        missing.retain(|id| *id != frame.sender.id);
        if frame.members != self.live_set() {
            self.complete(frame.sender.address, missing, now, actions);
        }
    }
}

/// How a key of a datagram fits the members of the table.
struct Match {
    heard: Option<Instant>,
    count: usize,
}
