//! How many requests of each workspace the servers began to run, by window of the wall clock.
//!
//! Each node counts with a [`Counter`] and sends cumulative counts to the leader, which adds them up in a
//! [`Ledger`], closes each window in the store and then reports what the store has. All writes of the ledger
//! depend on the revision of one key, its head: a late write of a former leader, or one whose answer was
//! lost, has no effect after a newer one. So no window is stored, and none reported, with two figures.
//!
//! Answers the load pattern of many nodes with a few requests a second each, whose counts are due within
//! seconds: a message a second from each node that has counts, and one write to the store for each window.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use shallotroute_types::{fence::Fence, name::Name};

mod ledger;

pub use ledger::{
    Action, Close, Ledger, Moment, ReportEnd, Reported, Schedule, Stored, Summary, Window,
};

/// How long nodes keep the counts of a window after its end, to send them to a new leader.
pub const RETENTION: Duration = Duration::from_secs(30);

/// The maximum number of windows that a node keeps, also when its wall clock jumps.
const MAX_WINDOWS: usize = 64;

/// The number of requests that servers began to run, by workspace.
pub type Counts = BTreeMap<Name, u64>;

/// The cumulative counts of a window at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The number of the window: it begins this many times the length of a window after 1970.
    pub window: u64,
    /// The counts so far.
    pub counts: Counts,
}

/// What the leader answers to counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The leader's fencing number: a later leader has not got the counts.
    pub fence: Fence,
    /// The windows that are closed. Their counts are no longer needed.
    pub closed: Vec<u64>,
}

/// The counts of a window that is not known to be closed.
#[derive(Clone, Debug, Default)]
struct Open {
    counts: Counts,
    /// How often `counts` has changed.
    changes: u64,
    /// The leader that has these counts, and `changes` as of its receipt.
    received: Option<(Fence, u64)>,
}

/// Counts at one process.
#[derive(Clone, Debug)]
pub struct Counter {
    window: Duration,
    open: BTreeMap<u64, Open>,
    /// When the configuration was last seen to have workspaces.
    last_observed: Option<Duration>,
}

/// The counts that are to be sent to a leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The counts.
    pub tallies: Vec<Tally>,
    /// How often the counts of each window had changed.
    changes: Vec<(u64, u64)>,
}

/// Returns the number of the window that contains a time since 1970.
///
/// # Panics
///
/// Panics if the window has no length.
pub fn window_at(unix: Duration, window: Duration) -> u64 {
    let number = unix.as_nanos() / window.as_nanos();
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Returns when a window ends, since 1970.
pub fn window_end(number: u64, window: Duration) -> Duration {
    let nanoseconds = (u128::from(number) + 1) * window.as_nanos();
    Duration::from_nanos_u128(nanoseconds)
}

impl Counter {
    /// Creates a counter for windows of the length `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            open: BTreeMap::new(),
            last_observed: None,
        }
    }

    /// Counts a request that a server began to run at `unix`, since 1970.
    pub fn record(&mut self, workspace: &Name, unix: Duration) {
        let open = self.open.entry(window_at(unix, self.window)).or_default();
        open.changes += 1;
        match open.counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                open.counts.insert(workspace.clone(), 1);
            }
        }
    }

    /// Records at intervals whether the configuration has workspaces, so that a window without requests is
    /// reported too, and drops windows that are too old.
    pub fn observe(&mut self, has_workspaces: bool, unix: Duration) {
        if has_workspaces {
            let last = self.last_observed.filter(|last| *last <= unix);
            let from = last.unwrap_or(unix).max(unix.saturating_sub(RETENTION));
            for number in window_at(from, self.window)..=window_at(unix, self.window) {
                self.open.entry(number).or_default();
            }
        }
        self.last_observed = has_workspaces.then_some(unix);
        let window = self.window;
        self.open
            .retain(|number, _| window_end(*number, window) + RETENTION > unix);
        while self.open.len() > MAX_WINDOWS {
            self.open.pop_first();
        }
    }

    /// Returns the counts that the leader with this fencing number lacks; empty if there are none.
    pub fn message(&self, leader: Fence) -> Message {
        let lacking = self
            .open
            .iter()
            .filter(|(_, open)| open.changes > 0 && open.received != Some((leader, open.changes)));
        let mut message = Message::default();
        for (number, open) in lacking {
            message.changes.push((*number, open.changes));
            message.tallies.push(Tally {
                window: *number,
                counts: open.counts.clone(),
            });
        }
        message
    }

    /// Records the receipt of a message. Closed windows are dropped.
    pub fn record_receipt(&mut self, message: &Message, receipt: &Receipt) {
        for (number, changes) in &message.changes {
            if let Some(open) = self.open.get_mut(number) {
                open.received = Some((receipt.fence, *changes));
            }
        }
        for number in &receipt.closed {
            self.open.remove(number);
        }
    }

    /// Returns the counts of all windows, with those that have none. The leader's own node needs no messages.
    pub fn tallies(&self) -> Vec<Tally> {
        let tally = |(number, open): (&u64, &Open)| Tally {
            window: *number,
            counts: open.counts.clone(),
        };
        self.open.iter().map(tally).collect()
    }
}
