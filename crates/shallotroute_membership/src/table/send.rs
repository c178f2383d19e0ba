//! Datagrams to other nodes.

use std::{
    net::SocketAddr,
    ops::Bound,
    time::{Duration, Instant},
};

use rand::{RngExt, seq::SliceRandom};
use shallotroute_types::{member::Member, node::Id};

use super::{Action, MAX_TOLD, Table, is_live};
use crate::{
    datagram::{Age, Frame, MAX_BYTES, MAX_NEWS, News, Seen},
    digest::{self, hash, key},
    pace::{FANOUT, Pace},
};

/// How often a lost address is tried: a seed that is not a member, or a dead member.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// The shortest time between a round and one that does not wait for its interval.
const URGENT_AFTER: Duration = Duration::from_millis(20);

/// States per datagram that are repeated though they did not change.
const REPEATED_NEWS: usize = 2;

/// An upper bound of a datagram's bytes without members and ages.
const FIXED_BYTES: usize = 56;

/// The ages of the members in a range of keys.
#[derive(Default)]
struct Range {
    start: u16,
    whole: bool,
    ages: Vec<Seen>,
}

impl Table {
    pub(super) fn send_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let urgent = self.urgent && now >= self.last_round + URGENT_AFTER;
        if urgent || now >= self.next_round {
            self.round(now, actions);
        }
        if now >= self.next_probe {
            self.probe(now, actions);
        }
    }

    fn round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let to = self.choose_targets();
        let (frame, bytes) = self.frame(true, now);
        self.pace = self.choose_pace(bytes);
        // The jitter keeps nodes that started together from sending together.
        let jitter = self.random.random_range(0.9..1.1);
        self.next_round = now + self.pace.interval.mul_f64(jitter);
        self.last_round = now;
        self.urgent = false;
        self.may_tell = MAX_TOLD;
        if !to.is_empty() {
            actions.push(Action::Send { to, frame });
        }
    }

    /// Calculates the time limits from the length that a datagram with news of all members would have.
    /// The actual length does not suffice: a node that heard nothing for a while sends short datagrams,
    /// and would conclude that news travels fast.
    fn choose_pace(&self, bytes: usize) -> Pace {
        let members = self.live_count() + 1;
        let local = member_bytes(&self.local) + 1;
        let room = MAX_BYTES - FIXED_BYTES - local;
        let room = room - (local * REPEATED_NEWS).min(room / 2);
        let base = MAX_BYTES - room;
        let gap = u64::from(u16::MAX) / members as u64;
        let all = (members - 1) * (varint_bytes(gap) + 1);
        let coverage = room as f64 / all.max(room) as f64;
        Pace::new(members, bytes.max(base + all.min(room)), coverage)
    }

    /// Returns the next targets of a pass over all live members in random order.
    fn choose_targets(&mut self) -> Vec<SocketAddr> {
        let wanted = FANOUT.min(self.live_count());
        let mut chosen: Vec<Id> = Vec::with_capacity(wanted);
        while chosen.len() < wanted {
            let Some(id) = self.targets.pop() else {
                self.targets = self.live().map(|member| member.id.clone()).collect();
                self.targets.shuffle(&mut self.random);
                continue;
            };
            let live = self
                .entries
                .get(&id)
                .is_some_and(|entry| is_live(&entry.member));
            if live && !chosen.contains(&id) {
                chosen.push(id);
            }
        }
        chosen
            .iter()
            .map(|id| self.entries[id].member.address)
            .collect()
    }

    /// Tries addresses at which no live member is known: all seeds at first, then one at random.
    fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut lost = self.lost_addresses();
        let alone = self.live_count() == 0;
        let every = if alone {
            self.pace.interval
        } else {
            PROBE_EVERY
        };
        self.next_probe = now + every;
        if lost.is_empty() {
            return;
        }
        if !alone {
            let index = self.random.random_range(0..lost.len());
            lost = vec![lost[index]];
        }
        let (frame, _) = self.frame(false, now);
        actions.push(Action::Send { to: lost, frame });
    }

    fn lost_addresses(&self) -> Vec<SocketAddr> {
        let dead = self
            .entries
            .values()
            .filter(|entry| !is_live(&entry.member));
        let mut lost: Vec<SocketAddr> = dead.map(|entry| entry.member.address).collect();
        for seed in &self.seeds {
            let known = self.live().any(|member| member.address == *seed);
            if !known && *seed != self.local.address {
                lost.push(*seed);
            }
        }
        lost.sort_unstable();
        lost.dedup();
        lost
    }

    /// Answers a new member with states that it can't know yet.
    pub(super) fn introduce(&mut self, to: SocketAddr, now: Instant, actions: &mut Vec<Action>) {
        let (frame, _) = self.frame(true, now);
        actions.push(Action::Send {
            to: vec![to],
            frame,
        });
    }

    /// Answers a member with states of members that it does not seem to know.
    pub(super) fn complete(
        &mut self,
        to: SocketAddr,
        mut missing: Vec<Id>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if missing.is_empty() || now < self.next_answer {
            return;
        }
        self.next_answer = now + self.pace.interval / FANOUT as u32;
        missing.shuffle(&mut self.random);
        missing.truncate(MAX_NEWS);
        let (mut frame, bytes) = self.frame(false, now);
        let mut room = MAX_BYTES - bytes;
        frame.news.clear();
        for entry in missing.iter().filter_map(|id| self.entries.get(id)) {
            let bytes = member_bytes(&entry.member) + 1;
            if bytes <= room {
                room -= bytes;
                frame.news.push(News {
                    member: entry.member.clone(),
                    age: Age::new(entry.silence(now)),
                });
            }
        }
        actions.push(Action::Send {
            to: vec![to],
            frame,
        });
    }

    /// Tells a member how it is seen, so that it can refute.
    pub(super) fn tell(&mut self, member: Member, now: Instant, actions: &mut Vec<Action>) {
        let (mut frame, _) = self.frame(false, now);
        let to = vec![member.address];
        frame.news = vec![News {
            member,
            age: Age::UNKNOWN,
        }];
        actions.push(Action::Send { to, frame });
    }

    /// Refutes a suspicion towards the node that reported it.
    pub(super) fn refute(&mut self, to: SocketAddr, now: Instant, actions: &mut Vec<Action>) {
        let (mut frame, _) = self.frame(false, now);
        frame.news.clear();
        actions.push(Action::Send {
            to: vec![to],
            frame,
        });
    }

    /// Announces the departure to a few members, which spread it.
    pub(super) fn farewell(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for _ in 0..2 {
            let to = self.choose_targets();
            if !to.is_empty() {
                let (frame, _) = self.frame(false, now);
                actions.push(Action::Send { to, frame });
            }
        }
    }

    /// Makes a datagram and returns an upper bound of its bytes.
    fn frame(&mut self, with_ages: bool, now: Instant) -> (Box<Frame>, usize) {
        self.sequence += 1;
        let mut room = MAX_BYTES - FIXED_BYTES - member_bytes(&self.local);
        // Half of the room is for ages, which long names would otherwise leave no room for.
        let mut half = room / 2;
        room -= half;
        let news = self.choose_news(&mut half, now);
        room += half;
        let salt = self.random.random();
        let range = match with_ages {
            true => self.choose_ages(salt, &mut room, now),
            false => Range::default(),
        };
        let members = if with_ages { self.live_set() } else { 0 };
        let confirmed = self
            .confirmed
            .map(|at| now.saturating_duration_since(at).as_millis());
        let frame = Frame {
            sender: self.local.clone(),
            sequence: self.sequence,
            confirmation_age_ms: confirmed
                .and_then(|age| u32::try_from(age).ok())
                .unwrap_or(u32::MAX),
            load: self.load,
            news,
            members,
            salt,
            start: range.start,
            whole: range.whole,
            ages: range.ages,
        };
        (Box::new(frame), MAX_BYTES - room)
    }

    /// Takes changed states first, the least repeated ones before others, then some in order.
    fn choose_news(&mut self, room: &mut usize, now: Instant) -> Vec<News> {
        let mut changed: Vec<(u32, Id)> = self
            .entries
            .values()
            .filter(|entry| entry.spread > 0)
            .map(|entry| (entry.spread, entry.member.id.clone()))
            .collect();
        changed.shuffle(&mut self.random);
        changed.sort_by_key(|(spread, _)| std::cmp::Reverse(*spread));
        changed.truncate(MAX_NEWS);
        let mut ids: Vec<Id> = changed.into_iter().map(|(_, id)| id).collect();
        let repeated = REPEATED_NEWS.min(MAX_NEWS - ids.len());
        for _ in 0..repeated.min(self.entries.len()) {
            if let Some(id) = self.next_repeated()
                && !ids.contains(&id)
            {
                ids.push(id);
            }
        }
        let mut news = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let bytes = member_bytes(&entry.member) + 1;
            if bytes <= *room {
                *room -= bytes;
                entry.spread = entry.spread.saturating_sub(1);
                news.push(News {
                    member: entry.member.clone(),
                    age: Age::new(entry.silence(now)),
                });
            }
        }
        news
    }

    fn next_repeated(&mut self) -> Option<Id> {
        let after = self
            .cursor
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let next = self
            .entries
            .range::<Id, _>((after, Bound::Unbounded))
            .next()
            .or_else(|| self.entries.iter().next())
            .map(|(id, _)| id.clone());
        self.cursor.clone_from(&next);
        next
    }

    /// Takes the members in a range of keys that starts at random and is as long as there is room for.
    /// The salt makes each range a random choice of members, and a range needs one byte for most keys.
    fn choose_ages(&mut self, salt: u16, room: &mut usize, now: Instant) -> Range {
        let start: u16 = self.random.random();
        // News that not all members can be told of goes out only while it is young: older news is
        // likely known, and would take the room of younger.
        let limit = match self.pace.coverage < 1.0 {
            true => self.pace.suspect_after / 2,
            false => self.pace.suspect_after,
        };
        let mut recent: Vec<(u16, Duration)> = self
            .entries
            .values()
            .filter(|entry| is_live(&entry.member))
            .map(|entry| {
                (
                    key(entry.hash, salt).wrapping_sub(start),
                    entry.silence(now),
                )
            })
            .filter(|(_, silence)| *silence < limit)
            .collect();
        recent.sort_unstable_by_key(|(offset, _)| *offset);
        let mut ages = Vec::new();
        let mut last = 0;
        let mut whole = true;
        for (offset, silence) in recent {
            let gap = offset - last;
            let bytes = varint_bytes(gap.into()) + 1;
            if bytes > *room {
                whole = false;
                break;
            }
            *room -= bytes;
            last = offset;
            ages.push(Seen {
                gap,
                age: Age::new(silence),
            });
        }
        Range { start, whole, ages }
    }

    /// Returns a hash of the live members and the local node.
    pub(super) fn live_set(&self) -> u32 {
        let entries = self.entries.values().filter(|entry| is_live(&entry.member));
        let local = std::iter::once(hash(&self.local.id));
        digest::set(entries.map(|entry| entry.hash).chain(local))
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members.filter(|member| is_live(member))
    }

    pub(super) fn live_count(&self) -> usize {
        self.live().count()
    }
}

/// Returns the bytes of a member in a datagram.
fn member_bytes(member: &Member) -> usize {
    let names = [&member.id, &member.region, &member.zone];
    let names: usize = names.into_iter().map(|name| name.len() + 2).sum();
    let numbers = [member.incarnation.0, member.known.0, member.in_force.0];
    let numbers: usize = numbers.into_iter().map(varint_bytes).sum();
    let ip = if member.address.is_ipv4() { 4 } else { 16 };
    let port = 3;
    let tags = 2;
    names + numbers + ip + port + tags
}

/// Returns the bytes of a number in the variable-length encoding of `postcard`.
fn varint_bytes(number: u64) -> usize {
    let bits = u64::BITS - number.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}
