//! A caller's limit over all nodes: the member ranked first for the caller divides it by need.
//!
//! Nodes that get requests of a caller ask that member for a part of the limit. Parts are grants that
//! end by themselves, and their sum never exceeds the limit, also when messages are lost.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_config::object::Limit;
use shallotroute_types::{name::Name, node::Id};

use crate::limit::Meter;

/// The part of each limit that all nodes have in equal shares without a grant, so that a caller's
/// first requests at a node pass before its first exchange.
pub const RESERVE: f64 = 0.05;

/// The least time between two exchanges on the same caller.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The interval for each live member. When all nodes ask the same member it gets 25 exchanges a
/// second. At about 250 bytes each, both directions and packet headers included, this takes 6 of the
/// 10 KB/s of control traffic.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(40);

/// The lifetime of a grant in intervals; it outlives some lost exchanges.
const LIFETIME_INTERVALS: u32 = 5;

/// The factor by which demand is rounded up, so that a growing caller is not refused at each step.
const HEADROOM: f64 = 1.25;

/// The most entries of a ledger, of some 100 bytes each.
const MAX_ENTRIES: usize = 65_536;

/// Returns the time between two exchanges on the same caller among `members` live members.
pub fn interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_MEMBER.saturating_mul(members))
}

/// Returns how long a grant lasts among `members` live members.
pub fn lifetime(members: usize) -> Duration {
    interval(members) * LIFETIME_INTERVALS
}

/// Returns the key whose first ranked member divides a caller's limit.
pub fn rank_key(caller: &Name) -> String {
    format!("limit/{caller}")
}

/// Returns the hash by which messages name a caller.
pub fn hash(caller: &Name) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(caller.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// A node's need of one caller's limit. All parts are relative to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The hash of the caller.
    pub caller: u64,
    /// The part that the caller's recent requests at the node would take.
    pub demand: f32,
    /// The part that the node has by its last grant.
    pub held: f32,
}

/// One caller's requests at one node.
#[derive(Clone, Debug)]
pub struct Quota {
    meter: Meter,
    grant: f32,
    /// When the grant ends, or the start of this quota.
    until: Instant,
    asked: Option<Instant>,
    counted_from: Instant,
    attempts: u32,
    last_attempt: Instant,
}

impl Quota {
    /// Makes a quota without a grant.
    pub fn new(now: Instant) -> Self {
        Self {
            meter: Meter::new(now),
            grant: 0.0,
            until: now,
            asked: None,
            counted_from: now,
            attempts: 0,
            last_attempt: now,
        }
    }

    /// Counts a request that the node's part of the limit allows.
    ///
    /// # Errors
    ///
    /// The part is used up; the request may come again after the time given.
    pub fn enter(&mut self, limit: &Limit, members: usize, now: Instant) -> Result<(), Duration> {
        self.attempts = self.attempts.saturating_add(1);
        self.last_attempt = now;
        let share = self.share(members, now);
        self.meter.enter(limit, share, now)
    }

    /// Counts a request as ended.
    pub fn leave(&mut self) {
        self.meter.leave();
    }

    /// Returns the node's part of the limit. A node that got no grant for a grant's lifetime takes an
    /// equal share: by then the member that should divide the limit gives no one else a grant either.
    pub fn share(&self, members: usize, now: Instant) -> f64 {
        let equal = 1.0 / members.max(1) as f64;
        if members <= 1 {
            1.0
        } else if now < self.until {
            f64::from(self.grant) + RESERVE * equal
        } else if now < self.until + lifetime(members) {
            RESERVE * equal
        } else {
            equal
        }
    }

    /// Tells whether an exchange is due.
    pub fn is_due(&self, members: usize, now: Instant) -> bool {
        let past = |at| now.saturating_duration_since(at) >= interval(members);
        members > 1 && self.asked.is_none_or(past) && !self.is_unused(members, now)
    }

    /// Tells whether the caller has had no requests here for so long that the quota may be dropped.
    pub fn is_idle(&self, members: usize, now: Instant) -> bool {
        now >= self.until && self.is_unused(members, now)
    }

    fn is_unused(&self, members: usize, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.last_attempt);
        self.meter.in_progress() == 0 && since > lifetime(members)
    }

    /// Makes the message of an exchange and starts the count of demand anew.
    pub fn ask(&mut self, caller: u64, limit: &Limit, now: Instant) -> Ask {
        let elapsed = now.saturating_duration_since(self.counted_from);
        let seconds = elapsed.max(MIN_INTERVAL).as_secs_f64();
        let rate = f64::from(self.attempts) / seconds / limit.requests_per_second;
        let most = limit.concurrency.map_or(f64::INFINITY, f64::from);
        let demand = rate.max(f64::from(self.meter.in_progress()) / most);
        self.asked = Some(now);
        self.counted_from = now;
        self.attempts = 0;
        Ask {
            caller,
            demand: demand.min(1.0) as f32,
            held: if now < self.until { self.grant } else { 0.0 },
        }
    }

    /// Takes over a grant that was asked for at `asked`, which is before the granting member counts
    /// its lifetime.
    pub fn grant(&mut self, grant: f32, members: usize, asked: Instant) {
        if grant.is_finite() {
            self.grant = grant.clamp(0.0, 1.0);
            self.until = asked + lifetime(members);
        }
    }
}

/// The grants that this member has given.
#[derive(Clone, Debug)]
pub struct Ledger {
    callers: HashMap<u64, BTreeMap<Id, Entry>>,
    entries: usize,
    changed: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    demand: f64,
    /// The greatest part that the node may be using.
    used: f64,
    until: Instant,
}

impl Ledger {
    /// Makes a ledger of a member that starts.
    pub fn new(now: Instant) -> Self {
        Self {
            callers: HashMap::new(),
            entries: 0,
            changed: now,
        }
    }

    /// Takes note that the live members have changed, so that this member may have taken callers
    /// over. For two intervals it only renews what others granted, until it has heard from the nodes
    /// that hold those grants.
    pub fn change(&mut self, now: Instant) {
        self.changed = now;
    }

    /// Answers a node's message with its grant.
    pub fn grant(&mut self, node: &Id, ask: &Ask, members: usize, now: Instant) -> f32 {
        if !ask.demand.is_finite() || !ask.held.is_finite() {
            return 0.0;
        }
        self.expire(ask.caller, now);
        let entries = self.callers.entry(ask.caller).or_default();
        if !entries.contains_key(node) {
            if self.entries >= MAX_ENTRIES {
                return 0.0;
            }
            self.entries += 1;
        }
        let held = f64::from(ask.held.clamp(0.0, 1.0));
        let entry = Entry {
            demand: f64::from(ask.demand.clamp(0.0, 1.0)) * HEADROOM,
            used: held,
            until: now + lifetime(members),
        };
        entries.insert(node.clone(), entry);
        let others = entries.iter().filter(|(id, _)| *id != node);
        let free = 1.0 - RESERVE - others.map(|(_, it)| it.used).sum::<f64>();
        let is_settling = now.saturating_duration_since(self.changed) < interval(members) * 2;
        let wanted = match is_settling {
            true => held,
            false => target(entries, entry.demand),
        };
        // Rounding down keeps the sum of the grants within the limit.
        let granted = (wanted.min(free).max(0.0) as f32).next_down().max(0.0);
        if let Some(entry) = entries.get_mut(node) {
            // If the reply is lost, the node goes on with what it held.
            entry.used = held.max(f64::from(granted));
        }
        granted
    }

    fn expire(&mut self, caller: u64, now: Instant) {
        if self.entries >= MAX_ENTRIES {
            for entries in self.callers.values_mut() {
                entries.retain(|_, entry| entry.until > now);
            }
            self.callers.retain(|_, entries| !entries.is_empty());
        } else if let Some(entries) = self.callers.get_mut(&caller) {
            entries.retain(|_, entry| entry.until > now);
        }
        self.entries = self.callers.values().map(BTreeMap::len).sum();
    }
}

/// Returns a node's part. Demands beyond the limit get max-min fair parts. Otherwise the others are
/// raised to a common level, so that a node's part does not follow the chance of single seconds.
fn target(entries: &BTreeMap<Id, Entry>, demand: f64) -> f64 {
    let mut demands: Vec<f64> = entries.values().map(|entry| entry.demand).collect();
    demands.sort_by(f64::total_cmp);
    let capacity = 1.0 - RESERVE;
    match demands.iter().sum::<f64>() > capacity {
        true => demand.min(level(demands.iter(), capacity, f64::lt)),
        false => demand.max(level(demands.iter().rev(), capacity, f64::gt)),
    }
}

/// Returns the level of the nodes that are left when each demand that is `beyond` the equal part of
/// what is left has been taken out.
fn level<'a>(
    demands: impl ExactSizeIterator<Item = &'a f64>,
    capacity: f64,
    beyond: fn(&f64, &f64) -> bool,
) -> f64 {
    let (mut left, mut nodes) = (capacity, demands.len());
    for demand in demands {
        let level = left / nodes as f64;
        if !beyond(demand, &level) {
            return level;
        }
        left -= demand;
        nodes -= 1;
    }
    capacity
}
