//! Decides who may hold how many bytes of a process's memory, and which connections are closed for others.
//!
//! The load that it answers: many clients that each hold a body of legal size and stay open. A holder is a body that arrives,
//! a response that waits for its reader, or data that is kept. Time is passed in as the time since any fixed moment.

use std::{collections::HashMap, time::Duration};

/// Identifies a holder or a connection.
pub type Id = u64;

/// The limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes that all holders may hold together.
    pub capacity: usize,
    /// The part of the capacity that only small holders may use, in bytes.
    pub reserved: usize,
    /// The size up to which a holder is small, in bytes.
    pub small: usize,
    /// How long a holder may make no progress while the budget is under pressure.
    pub pressed_timeout: Duration,
    /// How long a holder may make no progress at any time.
    pub idle_timeout: Duration,
}

/// What a holder does with its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The bytes arrive from a client, which has to go on sending.
    Arriving,
    /// The bytes are in use; nobody outside has to make progress.
    Kept,
    /// The bytes wait for a client, which has to go on reading.
    Leaving,
}

/// A request for bytes was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    phase: Phase,
    /// The bytes that have moved since `progressed_at`.
    moved: usize,
    progressed_at: Duration,
}

/// The bytes that must move within a timeout for a holder to count as making progress: a client that sends single bytes makes
/// none.
const PROGRESS_BYTES: usize = 16 << 10;

/// The bytes that the holders of a process hold.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    holders: HashMap<Id, Holder>,
    next: Id,
    used: usize,
    used_by_large: usize,
    refusals: u64,
}

impl Budget {
    /// Creates a budget without holders.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            next: 0,
            used: 0,
            used_by_large: 0,
            refusals: 0,
        }
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, phase: Phase, now: Duration) -> Id {
        let id = self.next;
        self.next += 1;
        let holder = Holder {
            bytes: 0,
            phase,
            moved: 0,
            progressed_at: now,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Gives a holder more bytes.
    ///
    /// # Errors
    ///
    /// Refuses if the capacity, or the part of it that large holders may use, would be exceeded.
    pub fn grow(&mut self, id: Id, bytes: usize, now: Duration) -> Result<(), Refused> {
        let held = self.holders.get(&id).map_or(0, |holder| holder.bytes);
        let total = held.saturating_add(bytes);
        let large = self.used_by_large - self.large_part(held) + self.large_part(total);
        let max_large = self.limits.capacity.saturating_sub(self.limits.reserved);
        if self.used.saturating_add(bytes) > self.limits.capacity || large > max_large {
            self.refusals += 1;
            return Err(Refused);
        }
        self.add(id, bytes, now);
        Ok(())
    }

    /// Gives a holder bytes that are in memory already, even above the capacity.
    pub fn force(&mut self, id: Id, bytes: usize, now: Duration) {
        self.add(id, bytes, now);
    }

    fn add(&mut self, id: Id, bytes: usize, now: Duration) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let before = holder.bytes;
        holder.bytes += bytes;
        if holder.phase == Phase::Arriving {
            holder.record_progress(bytes, now);
        }
        let after = holder.bytes;
        self.account(before, after);
    }

    /// Takes bytes back from a holder.
    pub fn shrink(&mut self, id: Id, bytes: usize, now: Duration) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let before = holder.bytes;
        holder.bytes = before.saturating_sub(bytes);
        holder.record_progress(bytes, now);
        let after = holder.bytes;
        self.account(before, after);
    }

    /// Records that the client of a holder has taken bytes that are still held.
    pub fn touch(&mut self, id: Id, bytes: usize, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.record_progress(bytes, now);
        }
    }

    /// Changes what a holder does with its bytes.
    pub fn set_phase(&mut self, id: Id, phase: Phase, now: Duration) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.phase = phase;
            holder.moved = 0;
            holder.progressed_at = now;
        }
    }

    /// Removes a holder and takes all its bytes back.
    pub fn close(&mut self, id: Id) {
        if let Some(holder) = self.holders.remove(&id) {
            self.account(holder.bytes, 0);
        }
    }

    /// Returns the holders whose clients make no progress, the largest first. Those that only hold a small number of bytes
    /// count only under pressure.
    pub fn stalled(&self, now: Duration) -> Vec<Id> {
        let is_pressed = self.is_pressed();
        let timeout = match is_pressed {
            true => self.limits.pressed_timeout,
            false => self.limits.idle_timeout,
        };
        let mut stalled: Vec<(usize, Id)> = self
            .holders
            .iter()
            .filter(|(_, holder)| {
                holder.phase != Phase::Kept
                    && holder.bytes > 0
                    && (is_pressed || holder.bytes > self.limits.small)
                    && now.saturating_sub(holder.progressed_at) >= timeout
            })
            .map(|(id, holder)| (holder.bytes, *id))
            .collect();
        stalled.sort_unstable_by(|left, right| right.cmp(left));
        stalled.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether more than half of the capacity, or of the part of large holders, is used.
    pub fn is_pressed(&self) -> bool {
        let max_large = self.limits.capacity.saturating_sub(self.limits.reserved);
        self.used > self.limits.capacity / 2 || self.used_by_large > max_large / 2
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the bytes that large holders hold.
    pub fn used_by_large(&self) -> usize {
        self.used_by_large
    }

    /// Returns the number of holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of requests for bytes that were refused.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn account(&mut self, before: usize, after: usize) {
        self.used = self.used - before + after;
        self.used_by_large = self.used_by_large - self.large_part(before) + self.large_part(after);
    }

    /// Returns the bytes of a holder that count as those of a large one.
    fn large_part(&self, bytes: usize) -> usize {
        match bytes > self.limits.small {
            true => bytes,
            false => 0,
        }
    }
}

impl Holder {
    fn record_progress(&mut self, bytes: usize, now: Duration) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES || self.bytes == 0 {
            self.moved = 0;
            self.progressed_at = now;
        }
    }
}

/// Whether a new connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted(Id),
    /// It is, and another one that waits for a request is closed.
    Replaced(Id, Id),
    /// It is not: all others are busy.
    Rejected,
}

/// The connections of a listener, of which those are closed first that have waited longest for a request.
#[derive(Clone, Debug)]
pub struct Connections {
    max: usize,
    next: Id,
    /// The number of requests of each connection, and since when it has none.
    open: HashMap<Id, (usize, Duration)>,
}

impl Connections {
    /// Creates the state of a listener with at most `max` connections, but at least one.
    pub fn new(max: usize) -> Self {
        Self {
            max: max.max(1),
            next: 0,
            open: HashMap::new(),
        }
    }

    /// Decides whether a new connection is taken.
    pub fn admit(&mut self, now: Duration) -> Admission {
        let mut victim = None;
        if self.open.len() >= self.max {
            let idle = self.open.iter().filter(|(_, (requests, _))| *requests == 0);
            let oldest = idle.min_by_key(|(id, (_, since))| (*since, **id));
            let Some((&id, _)) = oldest else {
                return Admission::Rejected;
            };
            self.open.remove(&id);
            victim = Some(id);
        }
        let id = self.next;
        self.next += 1;
        self.open.insert(id, (0, now));
        match victim {
            Some(victim) => Admission::Replaced(id, victim),
            None => Admission::Admitted(id),
        }
    }

    /// Records that a request of a connection has begun.
    pub fn begin(&mut self, id: Id) {
        if let Some((requests, _)) = self.open.get_mut(&id) {
            *requests += 1;
        }
    }

    /// Records that a request of a connection has ended with its response.
    pub fn end(&mut self, id: Id, now: Duration) {
        if let Some((requests, since)) = self.open.get_mut(&id) {
            *requests = requests.saturating_sub(1);
            *since = now;
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: Id) {
        self.open.remove(&id);
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
