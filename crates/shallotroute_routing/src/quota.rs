//! Divides a caller's limit among the nodes that get its requests.
//!
//! The member that owns the caller by rendezvous hashing is its allocator. Each node that gets requests of
//! the caller asks the allocator for a share of the limit by its demand. A grant expires by
//! itself, and the sum of the grants never exceeds the limit, also when messages are lost.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_config::object::Limit;
use shallotroute_types::{name::Name, node::Id};

use crate::limit::Limiter;

/// The share of each limit that is divided equally among all nodes without grants, so that a caller's
/// first requests at a node pass before the node's first exchange with the allocator.
pub const RESERVED_SHARE: f64 = 0.05;

/// The shortest time between two exchanges on the same caller.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two exchanges on the same caller, per live member. When all nodes ask the same member,
/// it gets 25 exchanges a second. At about 250 bytes each, both directions and packet headers included,
/// they take 6 of the 10 KB/s that control traffic may use.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(40);

/// The lifetime of a grant, in exchange intervals. A grant outlives some lost exchanges.
const LIFETIME_INTERVALS: u32 = 5;

/// The factor by which demand is rounded up, so that a caller with growing demand is not refused at each
/// step.
const DEMAND_HEADROOM: f64 = 1.25;

/// The maximum number of entries of an allocator, at about 100 bytes each.
const MAX_ENTRIES: usize = 65_536;

/// Returns the time between two exchanges on the same caller among `members` live members.
pub fn exchange_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_MEMBER.saturating_mul(members))
}

/// Returns the lifetime of a grant among `members` live members.
pub fn grant_lifetime(members: usize) -> Duration {
    exchange_interval(members) * LIFETIME_INTERVALS
}

/// Returns the key whose owner by rendezvous hashing is the caller's allocator.
pub fn rank_key(caller: &Name) -> String {
    format!("limit/{caller}")
}

/// Returns the hash that identifies a caller in messages between nodes.
pub fn caller_hash(caller: &Name) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(caller.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// A node's request for a share of one caller's limit. All shares are relative to the limit, 0.0 to 1.0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The caller, by its [`caller_hash`].
    pub caller: u64,
    /// The share that the caller's recent requests at the node would use.
    pub demand: f32,
    /// The share of the node's unexpired grant, 0.0 without one.
    pub held: f32,
}

/// One caller's limiter at one node, with the grant that the node holds.
#[derive(Clone, Debug)]
pub struct Quota {
    limiter: Limiter,
    grant: f32,
    /// When the grant expires. Without a grant so far, the start of this quota.
    expires_at: Instant,
    last_exchange: Option<Instant>,
    /// The start of the period in which `attempts` is counted.
    counted_from: Instant,
    attempts: u32,
    last_attempt: Instant,
}

impl Quota {
    /// Creates a quota without a grant.
    pub fn new(now: Instant) -> Self {
        Self {
            limiter: Limiter::new(now),
            grant: 0.0,
            expires_at: now,
            last_exchange: None,
            counted_from: now,
            attempts: 0,
            last_attempt: now,
        }
    }

    /// Counts a request as started if the node's share of the limit allows it. Each success must be
    /// followed by one [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Returns the delay after which the request may be retried when the share is used up.
    pub fn acquire(&mut self, limit: &Limit, members: usize, now: Instant) -> Result<(), Duration> {
        self.attempts = self.attempts.saturating_add(1);
        self.last_attempt = now;
        let share = self.share(members, now);
        self.limiter.acquire(limit, share, now)
    }

    /// Counts a request as ended.
    pub fn release(&mut self) {
        self.limiter.release();
    }

    /// Returns the node's share of the limit, 0.0 to 1.0.
    ///
    /// A node that has been without a grant for the lifetime of one takes an equal share: by then, the
    /// allocator gives no other node a grant either.
    pub fn share(&self, members: usize, now: Instant) -> f64 {
        let equal = 1.0 / members.max(1) as f64;
        if members <= 1 {
            1.0
        } else if now < self.expires_at {
            f64::from(self.grant) + RESERVED_SHARE * equal
        } else if now < self.expires_at + grant_lifetime(members) {
            RESERVED_SHARE * equal
        } else {
            equal
        }
    }

    /// Returns whether the node should exchange messages with the allocator now.
    pub fn is_exchange_due(&self, members: usize, now: Instant) -> bool {
        let is_past = |at| now.saturating_duration_since(at) >= exchange_interval(members);
        members > 1 && self.last_exchange.is_none_or(is_past) && !self.is_unused(members, now)
    }

    /// Returns whether the quota may be dropped: the grant has expired and the caller has had no requests
    /// here for the lifetime of a grant.
    pub fn is_removable(&self, members: usize, now: Instant) -> bool {
        now >= self.expires_at && self.is_unused(members, now)
    }

    fn is_unused(&self, members: usize, now: Instant) -> bool {
        let unused_for = now.saturating_duration_since(self.last_attempt);
        self.limiter.in_progress() == 0 && unused_for > grant_lifetime(members)
    }

    /// Creates the request of an exchange and restarts the count of the demand.
    pub fn share_request(&mut self, caller: u64, limit: &Limit, now: Instant) -> ShareRequest {
        let elapsed = now.saturating_duration_since(self.counted_from);
        let seconds = elapsed.max(MIN_INTERVAL).as_secs_f64();
        let rate_demand = f64::from(self.attempts) / seconds / limit.requests_per_second;
        let max_concurrency = limit.concurrency.map_or(f64::INFINITY, f64::from);
        let demand = rate_demand.max(f64::from(self.limiter.in_progress()) / max_concurrency);
        self.last_exchange = Some(now);
        self.counted_from = now;
        self.attempts = 0;
        ShareRequest {
            caller,
            demand: demand.min(1.0) as f32,
            held: if now < self.expires_at {
                self.grant
            } else {
                0.0
            },
        }
    }

    /// Applies a grant that was requested at `requested`. Its lifetime starts there, which is earlier than
    /// the allocator counts it, so that the node never uses a grant that has expired at the allocator.
    pub fn apply_grant(&mut self, grant: f32, members: usize, requested: Instant) {
        if grant.is_finite() {
            self.grant = grant.clamp(0.0, 1.0);
            self.expires_at = requested + grant_lifetime(members);
        }
    }
}

/// The grants of this member to the nodes, for the callers that it owns.
#[derive(Clone, Debug)]
pub struct Allocator {
    callers: HashMap<u64, BTreeMap<Id, Entry>>,
    /// The number of entries of all callers.
    entries: usize,
    members_changed_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    demand: f64,
    /// The greatest share that the node may be using.
    used: f64,
    expires_at: Instant,
}

impl Allocator {
    /// Creates the allocator of a member that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            callers: HashMap::new(),
            entries: 0,
            members_changed_at: now,
        }
    }

    /// Records a change of the live members, by which this member may have become the owner of further
    /// callers. For two exchange intervals it only renews grants that nodes already hold, until the nodes
    /// that hold grants of the previous owner have reported them.
    pub fn record_member_change(&mut self, now: Instant) {
        self.members_changed_at = now;
    }

    /// Returns the share that a node is granted, 0.0 to 1.0. It is 0.0 for a malformed request and for a
    /// new node when the maximum number of entries is reached.
    pub fn allocate(
        &mut self,
        node: &Id,
        request: &ShareRequest,
        members: usize,
        now: Instant,
    ) -> f32 {
        if !request.demand.is_finite() || !request.held.is_finite() {
            return 0.0;
        }
        self.expire(request.caller, now);
        let entries = self.callers.entry(request.caller).or_default();
        if !entries.contains_key(node) {
            if self.entries >= MAX_ENTRIES {
                return 0.0;
            }
            self.entries += 1;
        }
        let held = f64::from(request.held.clamp(0.0, 1.0));
        let entry = Entry {
            demand: f64::from(request.demand.clamp(0.0, 1.0)) * DEMAND_HEADROOM,
            used: held,
            expires_at: now + grant_lifetime(members),
        };
        entries.insert(node.clone(), entry);
        let others = entries.iter().filter(|(id, _)| *id != node);
        let available = 1.0 - RESERVED_SHARE - others.map(|(_, it)| it.used).sum::<f64>();
        let is_settling =
            now.saturating_duration_since(self.members_changed_at) < exchange_interval(members) * 2;
        let wanted = match is_settling {
            true => held,
            false => target_share(entries, entry.demand),
        };
        // Rounding down ensures that the sum of the grants stays within the limit.
        let granted = (wanted.min(available).max(0.0) as f32).next_down().max(0.0);
        if let Some(entry) = entries.get_mut(node) {
            // If the reply is lost, the node continues with the share that it held.
            entry.used = held.max(f64::from(granted));
        }
        granted
    }

    fn expire(&mut self, caller: u64, now: Instant) {
        if self.entries >= MAX_ENTRIES {
            for entries in self.callers.values_mut() {
                entries.retain(|_, entry| entry.expires_at > now);
            }
            self.callers.retain(|_, entries| !entries.is_empty());
        } else if let Some(entries) = self.callers.get_mut(&caller) {
            entries.retain(|_, entry| entry.expires_at > now);
        }
        self.entries = self.callers.values().map(BTreeMap::len).sum();
    }
}

/// Returns the share that a node with this demand should have. When the demands exceed the limit, the
/// shares are max-min fair. Otherwise smaller demands are raised to a common level, so that a node's share
/// does not follow the random load of single seconds.
fn target_share(entries: &BTreeMap<Id, Entry>, demand: f64) -> f64 {
    let mut demands: Vec<f64> = entries.values().map(|entry| entry.demand).collect();
    demands.sort_by(f64::total_cmp);
    let capacity = 1.0 - RESERVED_SHARE;
    match demands.iter().sum::<f64>() > capacity {
        true => demand.min(fair_level(demands.iter(), capacity, f64::lt)),
        false => demand.max(fair_level(demands.iter().rev(), capacity, f64::gt)),
    }
}

/// Returns the equal share of the nodes that remain after each demand that is `beyond` the equal share has
/// been subtracted from the capacity.
fn fair_level<'a>(
    demands: impl ExactSizeIterator<Item = &'a f64>,
    capacity: f64,
    beyond: fn(&f64, &f64) -> bool,
) -> f64 {
    let (mut remaining, mut nodes) = (capacity, demands.len());
    for demand in demands {
        let level = remaining / nodes as f64;
        if !beyond(demand, &level) {
            return level;
        }
        remaining -= demand;
        nodes -= 1;
    }
    capacity
}
