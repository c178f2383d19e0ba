//! Decides from the replies of its replicas whether a non-idempotent request may be sent.

use std::time::{Duration, Instant};

use shallotroute_types::outcome::Outcome;

use crate::idempotency::{BEGIN_TIMEOUT, Reply, Response, State};

/// The number of members that store a copy of a record, the replicas.
pub const REPLICAS: usize = 3;

/// The minimum number of copies for a request to be sent; with fewer replicas, all of them.
const MIN_COPIES: usize = 2;

/// The replies of the replicas to one request's record.
#[derive(Clone, Debug)]
pub struct Round {
    replicas: usize,
    started_at: Instant,
    copies: [CopyState; REPLICAS],
    /// The most informative state that a replica knows of an earlier request.
    earlier_state: Option<State>,
}

/// The state of a replica's copy, by its latest reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CopyState {
    #[default]
    Pending,
    /// The replica can't be reached, or it has the record of an earlier request.
    NotStored,
    Stored {
        is_authoritative: bool,
    },
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent.
    Send,
    /// An earlier request with the same identity ran; the caller gets its stored response.
    Replay(Response),
    /// The request is not sent.
    Refuse(Refusal),
}

/// The reason why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An earlier request with the same identity ran, and its response is not stored.
    Ran,
    /// An earlier request with the same identity is in progress or its outcome is unknown.
    Unknown,
    /// Too few replicas have stored the record, or can rule out an earlier request.
    NoQuorum,
}

impl Refusal {
    /// Returns whether a request with the identity ran, as far as the replicas know.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Ran => Outcome::Ran,
            Self::Unknown | Self::NoQuorum => Outcome::Unknown,
        }
    }
}

impl Round {
    /// Creates a round that starts at `started_at` with `replicas` members: the live ones, capped at
    /// [`REPLICAS`].
    pub fn new(replicas: usize, started_at: Instant) -> Self {
        Self {
            replicas: replicas.min(REPLICAS),
            started_at,
            copies: [CopyState::default(); REPLICAS],
            earlier_state: None,
        }
    }

    /// Records the reply of the replica with this index; `None` when there will be no reply.
    pub fn record_reply(&mut self, replica: usize, reply: Option<Reply>) {
        let Some(copy) = self.copies.get_mut(replica) else {
            return;
        };
        match (reply, *copy) {
            (
                Some(Reply::Stored { is_authoritative }),
                CopyState::Stored {
                    is_authoritative: before,
                },
            ) => {
                // Of two replies the weaker one counts: the replica may have restarted in between.
                *copy = CopyState::Stored {
                    is_authoritative: is_authoritative && before,
                };
            }
            (Some(Reply::Stored { is_authoritative }), _) => {
                *copy = CopyState::Stored { is_authoritative }
            }
            (Some(Reply::Known(state)), _) => {
                *copy = CopyState::NotStored;
                let known = self.earlier_state.get_or_insert(State::Begun);
                if information_rank(&state) > information_rank(known) {
                    *known = state;
                }
            }
            (None, CopyState::Pending) => *copy = CopyState::NotStored,
            (None, _) => {}
        }
    }

    /// Returns the time that is left for replies.
    pub fn time_left(&self, now: Instant) -> Duration {
        (self.started_at + BEGIN_TIMEOUT).saturating_duration_since(now)
    }

    /// Returns the decision, or `None` while further replies may change it.
    ///
    /// An earlier request that was sent has at least `MIN_COPIES` copies among the replicas. The replicas
    /// without a copy are therefore at most `replicas - MIN_COPIES`. When more authoritative replicas
    /// than that have no record of it, it was not sent.
    pub fn decide(&self, now: Instant) -> Option<Decision> {
        let is_late = self.time_left(now).is_zero();
        let copies = &self.copies[..self.replicas];
        let count = |wanted: fn(&CopyState) -> bool| copies.iter().filter(|it| wanted(it)).count();
        let is_complete = is_late || count(|it| *it == CopyState::Pending) == 0;
        if let Some(known) = &self.earlier_state {
            return is_complete.then(|| decide_by_earlier_state(known));
        }
        let required = MIN_COPIES.min(self.replicas);
        let stored = count(|it| matches!(it, CopyState::Stored { .. }));
        let authoritative = count(|it| {
            *it == CopyState::Stored {
                is_authoritative: true,
            }
        });
        let has_quorum = stored >= required && authoritative > self.replicas - required;
        match (has_quorum && !is_late, is_complete) {
            (true, _) => Some(Decision::Send),
            (false, true) => Some(Decision::Refuse(Refusal::NoQuorum)),
            (false, false) => None,
        }
    }
}

fn decide_by_earlier_state(known: &State) -> Decision {
    match known {
        State::Finished(Outcome::Ran, Some(response)) => Decision::Replay(response.clone()),
        State::Finished(Outcome::Ran, None) => Decision::Refuse(Refusal::Ran),
        State::Begun | State::Finished(Outcome::Unknown | Outcome::NotRun, _) => {
            Decision::Refuse(Refusal::Unknown)
        }
    }
}

/// Ranks states by how much they tell about the request; a higher rank tells more.
fn information_rank(state: &State) -> u8 {
    match state {
        State::Begun | State::Finished(Outcome::NotRun, _) => 0,
        State::Finished(Outcome::Unknown, _) => 1,
        State::Finished(Outcome::Ran, None) => 2,
        State::Finished(Outcome::Ran, Some(_)) => 3,
    }
}
