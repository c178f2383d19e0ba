//! Whether a non-idempotent request may be sent, from the replies of its replicas.

use std::time::{Duration, Instant};

use shallotroute_types::outcome::Outcome;

use crate::identity::{BEGIN_TIMEOUT, Reply, Response, State};

/// The number of members that get a copy of a record.
pub const REPLICAS: usize = 3;

/// The number of copies without which a request is not sent, where there are that many members.
const MIN_COPIES: usize = 2;

/// The replies to one request's record.
#[derive(Clone, Debug)]
pub struct Round {
    replicas: usize,
    started: Instant,
    answers: [Answer; REPLICAS],
    known: Option<State>,
}

/// What is known of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Answer {
    #[default]
    Awaited,
    None,
    Stored {
        vouches: bool,
    },
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// An earlier request with the same identity ran; the caller gets its response.
    Replay(Response),
    /// It is not sent.
    Refuse(Refusal),
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// An earlier request with the same identity ran, and its response is not stored.
    Ran,
    /// An earlier request with the same identity runs or ended in an unknown way.
    Unknown,
    /// Too few members have stored the record, or can tell that there was no earlier request.
    Unvouched,
}

impl Refusal {
    /// Returns what is known of the runs of the identity.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Ran => Outcome::Ran,
            Self::Unknown | Self::Unvouched => Outcome::Unknown,
        }
    }
}

impl Round {
    /// Makes a round with `replicas` members, the live ones up to [`REPLICAS`].
    pub fn new(replicas: usize, started: Instant) -> Self {
        Self {
            replicas: replicas.min(REPLICAS),
            started,
            answers: [Answer::default(); REPLICAS],
            known: None,
        }
    }

    /// Takes the reply of the replica with that index, or that there will be none.
    pub fn reply(&mut self, replica: usize, reply: Option<Reply>) {
        let Some(answer) = self.answers.get_mut(replica) else {
            return;
        };
        match (reply, *answer) {
            (Some(Reply::Stored { vouches }), Answer::Stored { vouches: before }) => {
                // Of two replies the weaker one counts: the replica may have restarted in between.
                *answer = Answer::Stored {
                    vouches: vouches && before,
                };
            }
            (Some(Reply::Stored { vouches }), _) => *answer = Answer::Stored { vouches },
            (Some(Reply::Known(state)), _) => {
                *answer = Answer::None;
                let known = self.known.get_or_insert(State::Begun);
                if rank(&state) > rank(known) {
                    *known = state;
                }
            }
            (None, Answer::Awaited) => *answer = Answer::None,
            (None, _) => {}
        }
    }

    /// Returns the time that is left for replies.
    pub fn left(&self, now: Instant) -> Duration {
        (self.started + BEGIN_TIMEOUT).saturating_duration_since(now)
    }

    /// Decides when the replies suffice; `None` while more may come.
    ///
    /// An earlier request that was sent has `MIN_COPIES` copies among the replicas. When more
    /// members than there can be without a copy vouch that they have none, it was not sent.
    pub fn decide(&self, now: Instant) -> Option<Decision> {
        let late = self.left(now).is_zero();
        let answers = &self.answers[..self.replicas];
        let count = |wanted: fn(&Answer) -> bool| answers.iter().filter(|it| wanted(it)).count();
        let complete = late || count(|it| *it == Answer::Awaited) == 0;
        if let Some(known) = &self.known {
            return complete.then(|| earlier(known));
        }
        let copies = MIN_COPIES.min(self.replicas);
        let stored = count(|it| matches!(it, Answer::Stored { .. }));
        let vouching = count(|it| *it == Answer::Stored { vouches: true });
        let enough = stored >= copies && vouching > self.replicas - copies;
        match (enough && !late, complete) {
            (true, _) => Some(Decision::Send),
            (false, true) => Some(Decision::Refuse(Refusal::Unvouched)),
            (false, false) => None,
        }
    }
}

fn earlier(known: &State) -> Decision {
    match known {
        State::Finished(Outcome::Ran, Some(response)) => Decision::Replay(response.clone()),
        State::Finished(Outcome::Ran, None) => Decision::Refuse(Refusal::Ran),
        State::Begun | State::Finished(Outcome::Unknown | Outcome::NotRun, _) => {
            Decision::Refuse(Refusal::Unknown)
        }
    }
}

/// Orders what members know by how much it says.
fn rank(state: &State) -> u8 {
    match state {
        State::Begun | State::Finished(Outcome::NotRun, _) => 0,
        State::Finished(Outcome::Unknown, _) => 1,
        State::Finished(Outcome::Ran, None) => 2,
        State::Finished(Outcome::Ran, Some(_)) => 3,
    }
}
