//! Whether the links of a node to the backend servers work, and through which other node it reaches servers when
//! they do not.
//!
//! A connection that fails says that the server failed or that the node's own links did. To tell them apart, the
//! node tries other servers and asks other nodes whether they reach the ones that it does not. Its links are lost
//! if others reach servers and it reaches none.
//!
//! Answers the load pattern of hosts that lose the way to all backend servers for seconds while callers, the
//! store and the other hosts still reach them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, node::Id};

use crate::election;

/// How long a new connection proves that the links work. Until then failed connections are taken for failures of
/// their servers.
const PROOF_PERIOD: Duration = Duration::from_millis(250);

/// How long a request may wait without a byte from any server before the links are checked. It is above the time
/// that a plain service needs for an answer.
pub const SILENCE: Duration = Duration::from_millis(250);

/// The interval between two checks for silence while they find that the links work.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two checks of lost links.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(400);

/// The number of checks in a row that have to succeed before lost links are used again, if they were lost again
/// shortly after they had come back.
const MAX_REQUIRED_SUCCESSES: u32 = 8;

/// Links that are lost again within this time of coming back are unsteady.
const STEADY_PERIOD: Duration = Duration::from_secs(10);

/// How long a node that can't be reached, or reaches no servers itself, is not asked again at first; each further
/// failure doubles it.
const RELAY_BACKOFF_MIN: Duration = Duration::from_millis(500);

/// The longest time for which a node is not asked again.
const RELAY_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// How long after its last failure a relay counts as sound again.
const RELAY_RECOVERY_PERIOD: Duration = Duration::from_secs(8);

/// The maximum number of relays that are tried for one request.
const MAX_RELAYS: usize = 3;

/// The state of a node's links to the backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The links work, or no check has found otherwise.
    #[default]
    Sound,
    /// The node reaches no server, and other nodes do.
    Lost,
    /// Neither this node nor any other that it can ask reaches a server.
    Isolated,
}

impl State {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Lost => "lost",
            Self::Isolated => "isolated",
        }
    }
}

/// How a node found a server, or several of which one suffices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// A connection was opened.
    Reached,
    /// All connections were refused, by a node that reaches other servers.
    Refused,
    /// Not all connections were refused, and none was opened, by a node that reaches other servers.
    Silent,
    /// The node reaches no servers, so that its finding says nothing.
    Unknown,
}

/// What a check of the links found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Check {
    /// Whether a connection to a server was opened.
    pub has_opened: bool,
    /// Whether another node reached a server that this one did not; `None` if none was asked.
    pub is_reached_by_others: Option<bool>,
}

/// What a node knows of its links.
#[derive(Debug, Default)]
pub struct Links {
    state: State,
    /// When bytes of any server arrived last over the node's own links.
    heard_at: Option<Instant>,
    /// When a connection was opened last.
    opened_at: Option<Instant>,
    /// When the last check began.
    checked_at: Option<Instant>,
    /// When the check began that found the links lost.
    lost_at: Option<Instant>,
    /// When lost links were used again.
    restored_at: Option<Instant>,
    /// The number of checks in a row that opened a connection while the links count as lost.
    successes: u32,
    required_successes: u32,
}

impl Links {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Records that bytes of a server arrived.
    pub fn record_heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Records that a connection to a server was opened.
    pub fn record_opened(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.opened_at = Some(now);
    }

    /// Returns whether a connection that failed at `now` may be the fault of the links.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        self.state != State::Sound || self.opened_at.is_none_or(|at| now > at + PROOF_PERIOD)
    }

    /// Returns whether a request that was sent at `sent_at` has waited so long that the links are to be checked.
    pub fn is_suspiciously_silent(&self, sent_at: Instant, now: Instant) -> bool {
        self.state == State::Sound
            && self.is_silent(sent_at, now)
            && self
                .checked_at
                .is_none_or(|at| now >= at + SILENCE_CHECK_INTERVAL)
    }

    /// Returns whether a request that was sent at `sent_at` can't expect an answer on its connection any more.
    pub fn is_stranded(&self, sent_at: Instant, now: Instant) -> bool {
        self.state != State::Sound && self.is_silent(sent_at, now)
    }

    /// Returns whether a check that covers a failure at `failed_at` has been made.
    pub fn is_checked_since(&self, failed_at: Instant) -> bool {
        let last = self.checked_at.max(self.opened_at);
        last.is_some_and(|at| at >= failed_at)
    }

    /// Returns whether open connections may be used. While the links are lost, connections may hang, or live on
    /// although no new one can be opened.
    pub fn may_use_open_connections(&self) -> bool {
        self.state == State::Sound
            || matches!((self.heard_at, self.lost_at), (Some(heard), Some(lost)) if heard > lost)
    }

    /// Returns whether the failure of a connection that was opened at `opened_at` is the fault of its server, as
    /// far as this node can tell.
    pub fn blames_server(&self, opened_at: Instant) -> bool {
        self.state == State::Sound && self.restored_at.is_none_or(|at| opened_at >= at)
    }

    /// Records what a check found that began at `began_at`. Returns the state if it has changed.
    pub fn record_check(&mut self, check: Check, began_at: Instant, now: Instant) -> Option<State> {
        self.checked_at = Some(began_at);
        if check.has_opened {
            self.record_opened(now);
        }
        let former = self.state;
        self.state = match (former, check) {
            (
                State::Sound,
                Check {
                    has_opened: true, ..
                },
            ) => State::Sound,
            // Without another way an unsteady one is better than none.
            (
                State::Isolated,
                Check {
                    has_opened: true, ..
                },
            ) => State::Sound,
            (
                State::Lost,
                Check {
                    has_opened: true, ..
                },
            ) => {
                self.successes += 1;
                match self.successes >= self.required_successes {
                    true => State::Sound,
                    false => State::Lost,
                }
            }
            (
                _,
                Check {
                    is_reached_by_others: Some(true),
                    ..
                },
            ) => State::Lost,
            (
                _,
                Check {
                    is_reached_by_others: Some(false),
                    ..
                },
            ) => State::Isolated,
            (former, _) => former,
        };
        if !check.has_opened {
            self.successes = 0;
        }
        match (former == State::Sound, self.state == State::Sound) {
            (true, false) => self.record_loss(began_at),
            (false, true) => self.restored_at = Some(now),
            _ => {}
        }
        (self.state != former).then_some(self.state)
    }

    fn record_loss(&mut self, began_at: Instant) {
        let is_unsteady = self
            .restored_at
            .is_some_and(|at| began_at < at + STEADY_PERIOD);
        self.required_successes = match is_unsteady {
            true => (self.required_successes * 2).min(MAX_REQUIRED_SUCCESSES),
            false => 1,
        };
        self.successes = 0;
        self.lost_at = Some(began_at);
    }

    fn is_silent(&self, sent_at: Instant, now: Instant) -> bool {
        now >= sent_at + SILENCE && self.heard_at.is_none_or(|heard| heard <= sent_at)
    }
}

/// Chooses among the nodes that may pass requests on.
#[derive(Debug, Default)]
pub struct Relays {
    failures: BTreeMap<Id, RelayFailure>,
}

#[derive(Debug)]
struct RelayFailure {
    last_at: Instant,
    back_off: Duration,
}

impl RelayFailure {
    fn is_backed_off(&self, now: Instant) -> bool {
        now < self.last_at + self.back_off
    }
}

impl Relays {
    /// Returns the relays to try for a request of a node to a server, in this order. `relays` are identities with
    /// their capacities. The requests of each node are spread over all relays in proportion to their capacity, so
    /// that few that are left share the load. Those in the node's own availability zone are not preferred: a zone
    /// often loses its links together.
    ///
    /// Returns none if all of them have failed shortly before.
    pub fn choose<'a>(
        &mut self,
        relays: impl Iterator<Item = (&'a Id, u32)>,
        node: &Id,
        server: &Name,
        now: Instant,
    ) -> Vec<Id> {
        self.failures
            .retain(|_, failure| now < failure.last_at + RELAY_RECOVERY_PERIOD);
        let is_backed_off = |id: &Id| {
            let failure = self.failures.get(id);
            failure.is_some_and(|failure| failure.is_backed_off(now))
        };
        let key = format!("{node}/{server}");
        let mut left: Vec<(&Id, u32)> = relays
            .filter(|(id, _)| *id != node && !is_backed_off(id))
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < MAX_RELAYS
            && let Some(id) = election::preferred_node(left.iter().copied(), &key).cloned()
        {
            left.retain(|(other, _)| **other != id);
            chosen.push(id);
        }
        chosen
    }

    /// Records that a relay can't be reached, or reaches no servers itself. Returns whether that was not known.
    pub fn record_failure(&mut self, id: &Id, now: Instant) -> bool {
        let back_off = match self.failures.get(id) {
            // Requests that were sent together fail together.
            Some(failure) if failure.is_backed_off(now) => return false,
            Some(failure) => (failure.back_off * 2).min(RELAY_BACKOFF_MAX),
            None => RELAY_BACKOFF_MIN,
        };
        let failure = RelayFailure {
            last_at: now,
            back_off,
        };
        self.failures.insert(id.clone(), failure);
        true
    }
}
