//! Records of non-idempotent requests at one member, by the caller's key.
//!
//! A member that has no record of an identity can *vouch* that the request was not sent before, if it
//! holds all records that were stored with it since the identity was made.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, outcome::Outcome};
use uuid::Uuid;

/// How long a record is kept after its request has ended.
pub const RETENTION: Duration = Duration::from_secs(600);

/// How far the clocks of hosts may differ.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(2);

/// The time within which a coordinator collects its copies. A record whose copies take longer is
/// given up before the request is sent.
pub const BEGIN_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a member waits after its start, and after a change of the members, before it fetches
/// records. By then each record that was being stored has its copies or was given up.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

const _: () = assert!(SETTLE_TIME.as_millis() > BEGIN_TIMEOUT.as_millis());

/// The longest response that is stored with a record, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The most records of one member.
const MAX_RECORDS: usize = 65_536;

/// The most bytes of stored responses of one member.
const MAX_STORED_BYTES: usize = 32 << 20;

/// The identity of a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// A hash of the caller and its key.
    pub hash: [u8; 32],
    /// When the caller made the key, if the key says so.
    pub created: Option<SystemTime>,
}

impl Identity {
    /// Makes the identity of a caller's key. A UUID of version 7 carries its creation time.
    pub fn new(caller: &Name, key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(caller.len() as u64).to_le_bytes());
        hasher.update(caller.as_bytes());
        hasher.update(key);
        let uuid = std::str::from_utf8(key)
            .ok()
            .and_then(|text| Uuid::try_parse(text).ok())
            .filter(|uuid| uuid.get_version_num() == 7);
        let created = uuid.and_then(|uuid| uuid.get_timestamp()).map(|it| {
            let (seconds, nanos) = it.to_unix();
            SystemTime::UNIX_EPOCH + Duration::new(seconds, nanos)
        });
        Self {
            hash: *hasher.finalize().as_bytes(),
            created,
        }
    }

    /// Returns the key by which the replicas are ranked.
    pub fn rank_key(&self) -> String {
        format!("request/{}", blake3::Hash::from_bytes(self.hash).to_hex())
    }
}

/// A response as stored with a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The record of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that the caller's key stands for, of several with the same key.
    pub token: Uuid,
    /// What is known of it.
    pub state: State,
    /// When it is forgotten.
    pub expires: SystemTime,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may have been sent.
    Begun,
    /// It has ended.
    Finished(Outcome, Option<Response>),
}

/// The request to store a record before its request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The identity.
    pub identity: Identity,
    /// The request.
    pub token: Uuid,
    /// The time until the request's deadline.
    pub lifetime: Duration,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The identity.
    pub identity: Identity,
    /// The request.
    pub token: Uuid,
    /// Whether it ran.
    pub outcome: Outcome,
    /// The response, if it is short.
    pub response: Option<Response>,
}

/// What a member answers to [`Begin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It has stored the record.
    Stored {
        /// Whether it can tell that no request of this identity was sent before.
        vouches: bool,
    },
    /// It has the record of another request with the same identity.
    Known(State),
}

/// The records of a member, for a member that has started or has become a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Since when the member holds all records that were stored with it.
    pub held_from: SystemTime,
    /// The records, without their responses.
    pub records: Vec<(Identity, Record)>,
}

/// The records of this member.
#[derive(Clone, Debug)]
pub struct Store {
    records: HashMap<[u8; 32], (Identity, Record)>,
    order: VecDeque<[u8; 32]>,
    /// The records with a response, oldest first.
    with_response: VecDeque<[u8; 32]>,
    stored_bytes: usize,
    held_from: SystemTime,
    vouch_from: SystemTime,
    /// Whether the records that this member lost in its restart may still be fetched.
    recoverable: bool,
}

impl Store {
    /// Makes the empty store of a member that starts at `now`.
    pub fn new(now: SystemTime) -> Self {
        Self {
            records: HashMap::new(),
            order: VecDeque::new(),
            with_response: VecDeque::new(),
            stored_bytes: 0,
            held_from: now,
            vouch_from: now,
            recoverable: true,
        }
    }

    /// Stores a record, unless there is one of another request that may have run. A repeated message
    /// has no further effect.
    pub fn begin(&mut self, begin: &Begin, now: SystemTime) -> Reply {
        self.expire(now);
        let vouches = self.vouches(&begin.identity, now);
        match self.records.get(&begin.identity.hash) {
            Some((_, record)) if record.token == begin.token => match record.state {
                State::Begun => Reply::Stored { vouches },
                State::Finished(..) => Reply::Known(record.state.clone()),
            },
            Some((_, record)) if !record.did_not_run() => Reply::Known(record.state.clone()),
            Some(_) | None => {
                let record = Record {
                    token: begin.token,
                    state: State::Begun,
                    expires: now + begin.lifetime + RETENTION,
                };
                self.insert(begin.identity, record, now);
                Reply::Stored { vouches }
            }
        }
    }

    /// Stores how a request has ended. A message about another request than the recorded one has no
    /// effect.
    pub fn finish(&mut self, finish: Finish, now: SystemTime) {
        let known = self.records.get(&finish.identity.hash);
        let replaceable = known
            .is_none_or(|(_, record)| record.token == finish.token && record.state == State::Begun);
        if replaceable {
            let fits = |it: &Response| it.body.len() <= MAX_RESPONSE_BYTES;
            let record = Record {
                token: finish.token,
                state: State::Finished(finish.outcome, finish.response.filter(fits)),
                expires: now + RETENTION,
            };
            self.insert(finish.identity, record, now);
        }
    }

    /// Takes note that a member was lost, so that this member became a replica of other identities:
    /// until the next [`Store::merge`] it can't vouch for those that are older than the loss.
    pub fn lose(&mut self, now: SystemTime) {
        self.vouch_from = now;
    }

    /// Returns the records without their responses.
    pub fn export(&self) -> Export {
        let stripped = |record: &Record| Record {
            token: record.token,
            expires: record.expires,
            state: match &record.state {
                State::Begun => State::Begun,
                State::Finished(outcome, _) => State::Finished(*outcome, None),
            },
        };
        let records = self.records.values();
        Export {
            held_from: self.held_from,
            records: records
                .map(|(identity, record)| (*identity, stripped(record)))
                .collect(),
        }
    }

    /// Takes over the records of all other live members, those that `wanted` accepts. `lost` counts
    /// the members that were lost since the last time, each with its records. A record has two
    /// copies or more, so that one lost member loses none; after more this member can't vouch for
    /// what is older. A restart of this member counts as a loss, too.
    pub fn merge(
        &mut self,
        exports: Vec<Export>,
        lost: usize,
        wanted: impl Fn(&Identity) -> bool,
        now: SystemTime,
    ) {
        let others = exports.iter().map(|export| export.held_from).max();
        for (identity, record) in exports.into_iter().flat_map(|it| it.records) {
            if wanted(&identity) {
                self.adopt(identity, record, now);
            }
        }
        if let (Some(others), true, 0) = (others, self.recoverable, lost) {
            self.held_from = self.held_from.min(others);
        }
        // Without other members nothing was fetched, and the own loss is final only with them.
        self.recoverable &= others.is_none() && lost == 0;
        self.vouch_from = match (lost, others) {
            (0 | 1, Some(others)) => self.held_from.max(others),
            (0, None) => self.held_from,
            _ => now,
        };
    }

    /// Tells whether this member would know if a request of this identity had been sent before.
    pub fn vouches(&self, identity: &Identity, now: SystemTime) -> bool {
        let oldest = now - RETENTION;
        match identity.created {
            // A key from the future comes from a clock that is wrong by more than the margin.
            Some(created) if created <= now + CLOCK_MARGIN => {
                created >= self.vouch_from + CLOCK_MARGIN && created >= oldest + CLOCK_MARGIN
            }
            Some(_) | None => self.vouch_from <= oldest,
        }
    }

    /// Returns how long a caller has to wait until this member vouches for an identity; none if it
    /// never will, because the identity was made before the member knew of all requests.
    pub fn vouches_in(&self, identity: &Identity, now: SystemTime) -> Option<Duration> {
        let oldest = now - RETENTION;
        match identity.created {
            Some(created) if created < self.vouch_from.max(oldest) + CLOCK_MARGIN => None,
            Some(_) => Some(SETTLE_TIME),
            None => {
                let left = self.vouch_from.duration_since(oldest).unwrap_or_default();
                Some(left.max(SETTLE_TIME))
            }
        }
    }

    /// Tells whether the records that this member lost in its restart have not been fetched yet.
    pub fn is_recovering(&self) -> bool {
        self.recoverable
    }

    /// Returns how many records there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns from when on this member vouches.
    pub fn vouch_from(&self) -> SystemTime {
        self.vouch_from
    }

    fn adopt(&mut self, identity: Identity, record: Record, now: SystemTime) {
        let better = match self.records.get(&identity.hash) {
            None => true,
            // An unfinished record gains its outcome; one that did not run gives way to a later one.
            Some((_, known)) if known.token == record.token => known.state == State::Begun,
            Some((_, known)) => known.did_not_run() && !record.did_not_run(),
        };
        if better && record.expires > now {
            self.insert(identity, record, now);
        }
    }

    fn insert(&mut self, identity: Identity, record: Record, now: SystemTime) {
        let bytes = record.stored_bytes();
        if bytes > 0 {
            self.stored_bytes += bytes;
            self.with_response.push_back(identity.hash);
        }
        match self.records.insert(identity.hash, (identity, record)) {
            Some((_, before)) => self.stored_bytes -= before.stored_bytes(),
            None => self.order.push_back(identity.hash),
        }
        self.bound(now);
    }

    /// Drops the oldest responses and records beyond the bounds. A record that is dropped before its
    /// time ends the vouching for everything older than now.
    fn bound(&mut self, now: SystemTime) {
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some(hash) = self.with_response.pop_front() else {
                break;
            };
            if let Some((_, record)) = self.records.get_mut(&hash) {
                self.stored_bytes -= record.stored_bytes();
                record.drop_response();
            }
        }
        while self.records.len() > MAX_RECORDS {
            let Some(hash) = self.order.pop_front() else {
                break;
            };
            if let Some((_, record)) = self.records.remove(&hash) {
                self.stored_bytes -= record.stored_bytes();
                self.held_from = now;
                self.vouch_from = now;
                self.recoverable = false;
            }
        }
    }

    fn expire(&mut self, now: SystemTime) {
        while let Some(hash) = self.order.front() {
            match self.records.get(hash) {
                // Younger records with an earlier expiry wait behind it, which the bound limits.
                Some((_, record)) if record.expires > now => return,
                Some(_) | None => {
                    if let Some((_, record)) = self.records.remove(hash) {
                        self.stored_bytes -= record.stored_bytes();
                    }
                    self.order.pop_front();
                }
            }
        }
    }
}

impl Record {
    fn did_not_run(&self) -> bool {
        matches!(self.state, State::Finished(Outcome::NotRun, _))
    }

    fn stored_bytes(&self) -> usize {
        match &self.state {
            State::Finished(_, Some(response)) => response.body.len(),
            State::Finished(_, None) | State::Begun => 0,
        }
    }

    fn drop_response(&mut self) {
        if let State::Finished(_, response) = &mut self.state {
            *response = None;
        }
    }
}
