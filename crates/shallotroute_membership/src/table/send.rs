//! Composition of datagrams to other nodes.

use std::{
    net::SocketAddr,
    ops::Bound,
    time::{Duration, Instant},
};

use rand::{RngExt, seq::SliceRandom};
use shallotroute_types::{member::Member, node::Id};

use super::{Action, MAX_SUSPECT_NOTICES, Table, is_participant};
use crate::{
    datagram::{Age, Frame, KeyedAge, MAX_BYTES, MAX_UPDATES, Update},
    digest::{self, name_hash, short_key},
    timing::{FANOUT, Timing},
};

/// The interval between probes of an unresponsive address: that of a dead member, or a seed at which no
/// live member is known.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest time between a round and an urgent round.
const MIN_URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// The number of unchanged member states that a datagram repeats.
const REPEATED_UPDATES: usize = 2;

/// An upper bound of the length of a datagram without its members and ages.
const FRAME_OVERHEAD_BYTES: usize = 56;

/// The ages of the members whose short keys lie in a range; see the fields of [`Frame`].
#[derive(Default)]
struct KeyRange {
    range_start: u16,
    is_full_range: bool,
    ages: Vec<KeyedAge>,
}

impl Table {
    pub(super) fn send_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_round_urgent =
            self.is_round_urgent && now >= self.last_round + MIN_URGENT_ROUND_INTERVAL;
        if is_round_urgent || now >= self.next_round {
            self.send_round(now, actions);
        }
        if now >= self.next_probe {
            self.probe(now, actions);
        }
    }

    fn send_round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let to = self.choose_targets();
        let (frame, bytes) = self.compose(true, now);
        self.timing = self.choose_timing(bytes);
        // The jitter prevents nodes that started together from sending at the same instants.
        let jitter = self.rng.random_range(0.9..1.1);
        self.next_round = now + self.timing.interval.mul_f64(jitter);
        self.last_round = now;
        self.is_round_urgent = false;
        self.suspect_notices_left = MAX_SUSPECT_NOTICES;
        if !to.is_empty() {
            actions.push(Action::Send { to, frame });
        }
    }

    /// Calculates the timing from the length of a datagram with the ages of all members. `bytes` is the
    /// actual length, which does not suffice: a node that heard nothing for a while sends short datagrams,
    /// and would conclude that ages spread fast.
    fn choose_timing(&self, bytes: usize) -> Timing {
        let member_count = self.participant_count() + 1;
        let local = member_bytes(&self.local) + 1;
        let room = MAX_BYTES - FRAME_OVERHEAD_BYTES - local;
        let room = room - (local * REPEATED_UPDATES).min(room / 2);
        let min_bytes = MAX_BYTES - room;
        let gap = u64::from(u16::MAX) / member_count as u64;
        let all_ages_bytes = (member_count - 1) * (varint_bytes(gap) + 1);
        let coverage = room as f64 / all_ages_bytes.max(room) as f64;
        Timing::new(
            member_count,
            bytes.max(min_bytes + all_ages_bytes.min(room)),
            coverage,
        )
    }

    /// Returns the addresses of the next targets, in passes over all participants in random order.
    fn choose_targets(&mut self) -> Vec<SocketAddr> {
        let target_count = FANOUT.min(self.participant_count());
        let mut chosen: Vec<Id> = Vec::with_capacity(target_count);
        while chosen.len() < target_count {
            let Some(id) = self.remaining_targets.pop() else {
                self.remaining_targets = self
                    .participants()
                    .map(|member| member.id.clone())
                    .collect();
                self.remaining_targets.shuffle(&mut self.rng);
                continue;
            };
            let is_reachable = self
                .entries
                .get(&id)
                .is_some_and(|entry| is_participant(&entry.member));
            if is_reachable && !chosen.contains(&id) {
                chosen.push(id);
            }
        }
        chosen
            .iter()
            .map(|id| self.entries[id].member.address)
            .collect()
    }

    /// Sends to unresponsive addresses: to all of them while no other participant is known, else to one at
    /// random.
    fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut unresponsive = self.unresponsive_addresses();
        let is_alone = self.participant_count() == 0;
        let probe_interval = if is_alone {
            self.timing.interval
        } else {
            PROBE_INTERVAL
        };
        self.next_probe = now + probe_interval;
        if unresponsive.is_empty() {
            return;
        }
        if !is_alone {
            let index = self.rng.random_range(0..unresponsive.len());
            unresponsive = vec![unresponsive[index]];
        }
        let (frame, _) = self.compose(false, now);
        actions.push(Action::Send {
            to: unresponsive,
            frame,
        });
    }

    fn unresponsive_addresses(&self) -> Vec<SocketAddr> {
        let dead = self
            .entries
            .values()
            .filter(|entry| !is_participant(&entry.member));
        let mut unresponsive: Vec<SocketAddr> = dead.map(|entry| entry.member.address).collect();
        for seed in &self.seeds {
            let is_known = self.participants().any(|member| member.address == *seed);
            if !is_known && *seed != self.local.address {
                unresponsive.push(*seed);
            }
        }
        unresponsive.sort_unstable();
        unresponsive.dedup();
        unresponsive
    }

    /// Responds to a new member with the states of other members, which it may not know yet.
    pub(super) fn greet(&mut self, to: SocketAddr, now: Instant, actions: &mut Vec<Action>) {
        let (frame, _) = self.compose(true, now);
        actions.push(Action::Send {
            to: vec![to],
            frame,
        });
    }

    /// Responds to a member with the states of members that it does not seem to know.
    pub(super) fn send_missing(
        &mut self,
        to: SocketAddr,
        mut missing: Vec<Id>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if missing.is_empty() || now < self.next_completion {
            return;
        }
        self.next_completion = now + self.timing.interval / FANOUT as u32;
        missing.shuffle(&mut self.rng);
        missing.truncate(MAX_UPDATES);
        let (mut frame, bytes) = self.compose(false, now);
        let mut room = MAX_BYTES - bytes;
        frame.updates.clear();
        for entry in missing.iter().filter_map(|id| self.entries.get(id)) {
            let bytes = member_bytes(&entry.member) + 1;
            if bytes <= room {
                room -= bytes;
                frame.updates.push(Update {
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

    /// Notifies a member of its state in the view of this node, so that it can refute a suspicion.
    pub(super) fn notify(&mut self, member: Member, now: Instant, actions: &mut Vec<Action>) {
        let (mut frame, _) = self.compose(false, now);
        let to = vec![member.address];
        frame.updates = vec![Update {
            member,
            age: Age::UNKNOWN,
        }];
        actions.push(Action::Send { to, frame });
    }

    /// Refutes a suspicion of the local node to the node that reported it.
    pub(super) fn send_refutation(
        &mut self,
        to: SocketAddr,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let (mut frame, _) = self.compose(false, now);
        frame.updates.clear();
        actions.push(Action::Send {
            to: vec![to],
            frame,
        });
    }

    /// Announces the local node's departure to a few members, which gossip it.
    pub(super) fn announce_departure(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for _ in 0..2 {
            let to = self.choose_targets();
            if !to.is_empty() {
                let (frame, _) = self.compose(false, now);
                actions.push(Action::Send { to, frame });
            }
        }
    }

    /// Composes a datagram, and returns it with an upper bound of its length in bytes.
    fn compose(&mut self, with_ages: bool, now: Instant) -> (Box<Frame>, usize) {
        self.sequence += 1;
        let mut room = MAX_BYTES - FRAME_OVERHEAD_BYTES - member_bytes(&self.local);
        // Half of the room is reserved for ages, because updates with long names could take all of it.
        let mut updates_room = room / 2;
        room -= updates_room;
        let updates = self.choose_updates(&mut updates_room, now);
        room += updates_room;
        let key_salt = self.rng.random();
        let range = match with_ages {
            true => self.choose_ages(key_salt, &mut room, now),
            false => KeyRange::default(),
        };
        let participant_hash = if with_ages {
            self.hash_participants()
        } else {
            0
        };
        let confirmation_age = self
            .last_majority
            .map(|at| now.saturating_duration_since(at).as_millis());
        let frame = Frame {
            sender: self.local.clone(),
            sequence: self.sequence,
            confirmation_age_ms: confirmation_age
                .and_then(|age| u32::try_from(age).ok())
                .unwrap_or(u32::MAX),
            load: self.load,
            updates,
            participant_hash,
            key_salt,
            range_start: range.range_start,
            is_full_range: range.is_full_range,
            ages: range.ages,
        };
        (Box::new(frame), MAX_BYTES - room)
    }

    /// Chooses the updates of a datagram: first changed states, those with the most transmissions left
    /// before others, then a few unchanged states in turn.
    fn choose_updates(&mut self, room: &mut usize, now: Instant) -> Vec<Update> {
        let mut changed: Vec<(u32, Id)> = self
            .entries
            .values()
            .filter(|entry| entry.transmissions_left > 0)
            .map(|entry| (entry.transmissions_left, entry.member.id.clone()))
            .collect();
        changed.shuffle(&mut self.rng);
        changed.sort_by_key(|(transmissions_left, _)| std::cmp::Reverse(*transmissions_left));
        changed.truncate(MAX_UPDATES);
        let mut ids: Vec<Id> = changed.into_iter().map(|(_, id)| id).collect();
        let repeated = REPEATED_UPDATES.min(MAX_UPDATES - ids.len());
        for _ in 0..repeated.min(self.entries.len()) {
            if let Some(id) = self.next_repeat()
                && !ids.contains(&id)
            {
                ids.push(id);
            }
        }
        let mut updates = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let bytes = member_bytes(&entry.member) + 1;
            if bytes <= *room {
                *room -= bytes;
                entry.transmissions_left = entry.transmissions_left.saturating_sub(1);
                updates.push(Update {
                    member: entry.member.clone(),
                    age: Age::new(entry.silence(now)),
                });
            }
        }
        updates
    }

    /// Returns the member whose unchanged state is repeated next.
    fn next_repeat(&mut self) -> Option<Id> {
        let after = self
            .repeat_cursor
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let next = self
            .entries
            .range::<Id, _>((after, Bound::Unbounded))
            .next()
            .or_else(|| self.entries.iter().next())
            .map(|(id, _)| id.clone());
        self.repeat_cursor.clone_from(&next);
        next
    }

    /// Chooses the ages of the members in a range of keys that starts at random and is as long as `room`
    /// permits. The salt makes each range a random choice of members, and the gaps between adjacent keys
    /// take one byte for most keys.
    fn choose_ages(&mut self, key_salt: u16, room: &mut usize, now: Instant) -> KeyRange {
        let range_start: u16 = self.rng.random();
        // When the ages of all members do not fit into a datagram, only recent ones are sent: older ones
        // are likely known to the receiver, and would take the room of recent ones.
        let max_silence = match self.timing.coverage < 1.0 {
            true => self.timing.suspect_after / 2,
            false => self.timing.suspect_after,
        };
        let mut recent: Vec<(u16, Duration)> = self
            .entries
            .values()
            .filter(|entry| is_participant(&entry.member))
            .map(|entry| {
                (
                    short_key(entry.name_hash, key_salt).wrapping_sub(range_start),
                    entry.silence(now),
                )
            })
            .filter(|(_, silence)| *silence < max_silence)
            .collect();
        recent.sort_unstable_by_key(|(offset, _)| *offset);
        let mut ages = Vec::new();
        let mut last_offset = 0;
        let mut is_full_range = true;
        for (offset, silence) in recent {
            let gap = offset - last_offset;
            let bytes = varint_bytes(gap.into()) + 1;
            if bytes > *room {
                is_full_range = false;
                break;
            }
            *room -= bytes;
            last_offset = offset;
            ages.push(KeyedAge {
                gap,
                age: Age::new(silence),
            });
        }
        KeyRange {
            range_start,
            is_full_range,
            ages,
        }
    }

    /// Returns a hash of the set of participants, including the local node.
    pub(super) fn hash_participants(&self) -> u32 {
        let entries = self
            .entries
            .values()
            .filter(|entry| is_participant(&entry.member));
        let local = std::iter::once(name_hash(&self.local.id));
        digest::set_hash(entries.map(|entry| entry.name_hash).chain(local))
    }

    /// Returns the other members that take part in gossip.
    pub(super) fn participants(&self) -> impl Iterator<Item = &Member> {
        let members = self.entries.values().map(|entry| &entry.member);
        members.filter(|member| is_participant(member))
    }

    pub(super) fn participant_count(&self) -> usize {
        self.participants().count()
    }
}

/// Returns an upper bound of the encoded length of a member in bytes.
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

/// Returns the length of a number in bytes in the variable-length encoding of `postcard`.
fn varint_bytes(number: u64) -> usize {
    let bits = u64::BITS - number.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}
