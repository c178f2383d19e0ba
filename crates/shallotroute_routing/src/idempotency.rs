//! Stores one member's copies of the records of non-idempotent requests, so that a request with a known
//! idempotency key does not run twice.
//!
//! A member is *authoritative* for an identity if it holds all records that were stored with it since the
//! identity was created. When it then has no record of the identity, the request was not sent before.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, outcome::Outcome};
use uuid::Uuid;

/// How long a record is stored after its request has ended.
pub const RETENTION: Duration = Duration::from_secs(600);

/// The largest difference between the clocks of two hosts that is tolerated.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The time within which a coordinator must collect the copies of a record. When it takes longer, the
/// record is abandoned before its request is sent.
pub const BEGIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay between a member's start, or a change of the members, and its fetch of others' records. It
/// outlasts [`BEGIN_TIMEOUT`], so that each record that was being stored has its copies or is abandoned.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

const _: () = assert!(SETTLE_TIME.as_millis() > BEGIN_TIMEOUT.as_millis());

/// The maximum size of the body of a stored response.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The maximum number of records of one member.
const MAX_RECORDS: usize = 65_536;

/// The maximum total size of the stored responses of one member.
const MAX_STORED_BYTES: usize = 32 << 20;

/// The identity of a non-idempotent request, derived from its caller and idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// A hash of the caller's name and the key.
    pub hash: [u8; 32],
    /// When the caller created the key; `None` when the key does not tell.
    pub created: Option<SystemTime>,
}

impl Identity {
    /// Creates the identity for a caller's key. A UUID of version 7 carries its creation time.
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

    /// Returns the key by which members are ranked to select the replicas of the record.
    pub fn rank_key(&self) -> String {
        format!("request/{}", blake3::Hash::from_bytes(self.hash).to_hex())
    }
}

/// A response that is stored with a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The end-to-end headers; hop-by-hop headers are not stored.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, up to [`MAX_RESPONSE_BYTES`].
    pub body: Vec<u8>,
}

/// The record of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the request among several with the same identity.
    pub token: Uuid,
    /// The progress of the request.
    pub state: State,
    /// When the record is deleted.
    pub expires: SystemTime,
}

/// The progress of a request, as far as a replica knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The request may have been sent.
    Begun,
    /// The request has ended with this outcome, and with this response if it is stored.
    Finished(Outcome, Option<Response>),
}

/// A message that asks a replica to store a record before its request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The identity that the record is stored under.
    pub identity: Identity,
    /// The token of the request.
    pub token: Uuid,
    /// The time until the request's deadline.
    pub lifetime: Duration,
}

/// A message that tells a replica how a request has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The identity that the record is stored under.
    pub identity: Identity,
    /// The token of the request.
    pub token: Uuid,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The response, if it is short enough to be stored.
    pub response: Option<Response>,
}

/// A replica's reply to [`Begin`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The replica has stored the record.
    Stored {
        /// Whether the replica is authoritative: it can rule out that a request of this identity was sent
        /// before.
        #[serde(rename = "vouches")]
        is_authoritative: bool,
    },
    /// The replica has the record of another request with the same identity.
    Known(State),
}

/// The records of a member, for another one that has started or has become a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The time since which the member holds all records that were stored with it.
    pub held_from: SystemTime,
    /// The records, without their responses.
    pub records: Vec<(Identity, Record)>,
}

/// The records of this member, bounded in number and size.
#[derive(Clone, Debug)]
pub struct Store {
    records: HashMap<[u8; 32], (Identity, Record)>,
    /// The hashes of all records in the order of their insertion.
    order: VecDeque<[u8; 32]>,
    /// The hashes of the records with a response, oldest first.
    with_response: VecDeque<[u8; 32]>,
    stored_bytes: usize,
    held_from: SystemTime,
    authoritative_since: SystemTime,
    /// Whether the records that this member lost by its restart may still be fetched.
    is_recoverable: bool,
}

impl Store {
    /// Creates the empty store of a member that starts at `now`.
    pub fn new(now: SystemTime) -> Self {
        Self {
            records: HashMap::new(),
            order: VecDeque::new(),
            with_response: VecDeque::new(),
            stored_bytes: 0,
            held_from: now,
            authoritative_since: now,
            is_recoverable: true,
        }
    }

    /// Stores a record, unless there is one of another request that may have run. A repeated message
    /// has no further effect.
    pub fn begin(&mut self, begin: &Begin, now: SystemTime) -> Reply {
        self.expire(now);
        let is_authoritative = self.is_authoritative_for(&begin.identity, now);
        match self.records.get(&begin.identity.hash) {
            Some((_, record)) if record.token == begin.token => match record.state {
                State::Begun => Reply::Stored { is_authoritative },
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
                Reply::Stored { is_authoritative }
            }
        }
    }

    /// Stores how a request has ended. A message about another request than the recorded one has no
    /// effect.
    pub fn finish(&mut self, finish: Finish, now: SystemTime) {
        let known = self.records.get(&finish.identity.hash);
        let is_replaceable = known
            .is_none_or(|(_, record)| record.token == finish.token && record.state == State::Begun);
        if is_replaceable {
            let fits = |it: &Response| it.body.len() <= MAX_RESPONSE_BYTES;
            let record = Record {
                token: finish.token,
                state: State::Finished(finish.outcome, finish.response.filter(fits)),
                expires: now + RETENTION,
            };
            self.insert(finish.identity, record, now);
        }
    }

    /// Records the loss of another member, which makes this member a replica of more identities. Until the
    /// next [`Store::merge`], it is not authoritative for identities that are older than the loss.
    pub fn record_member_loss(&mut self, now: SystemTime) {
        self.authoritative_since = now;
    }

    /// Returns the records without their responses.
    pub fn export(&self) -> Export {
        let without_response = |record: &Record| Record {
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
                .map(|(identity, record)| (*identity, without_response(record)))
                .collect(),
        }
    }

    /// Merges the records of all other live members, limited to the identities that `wanted` accepts.
    ///
    /// `lost` is the number of members that were lost with their records since the last merge. A record
    /// has two copies or more, so that the loss of one member loses no record. After further losses, this
    /// member is not authoritative for older identities. A restart of this member also counts as a loss.
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
        if let (Some(others), true, 0) = (others, self.is_recoverable, lost) {
            self.held_from = self.held_from.min(others);
        }
        // Without other members nothing was fetched, so that this member's own loss is not final yet.
        self.is_recoverable &= others.is_none() && lost == 0;
        self.authoritative_since = match (lost, others) {
            (0 | 1, Some(others)) => self.held_from.max(others),
            (0, None) => self.held_from,
            _ => now,
        };
    }

    /// Returns whether this member would know if a request of this identity had been sent before.
    pub fn is_authoritative_for(&self, identity: &Identity, now: SystemTime) -> bool {
        let oldest = now - RETENTION;
        match identity.created {
            // A later creation time comes from a clock that is off by more than the allowed skew.
            Some(created) if created <= now + MAX_CLOCK_SKEW => {
                created >= self.authoritative_since + MAX_CLOCK_SKEW
                    && created >= oldest + MAX_CLOCK_SKEW
            }
            Some(_) | None => self.authoritative_since <= oldest,
        }
    }

    /// Returns how long a caller has to wait until this member is authoritative for an identity. Returns
    /// `None` if it never will be, because the identity was created before the member held all records.
    pub fn authoritative_in(&self, identity: &Identity, now: SystemTime) -> Option<Duration> {
        let oldest = now - RETENTION;
        match identity.created {
            Some(created) if created < self.authoritative_since.max(oldest) + MAX_CLOCK_SKEW => {
                None
            }
            Some(_) => Some(SETTLE_TIME),
            None => {
                let remaining = self
                    .authoritative_since
                    .duration_since(oldest)
                    .unwrap_or_default();
                Some(remaining.max(SETTLE_TIME))
            }
        }
    }

    /// Returns whether the records that this member lost by its restart still have to be fetched.
    pub fn is_recovering(&self) -> bool {
        self.is_recoverable
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the time since which this member is authoritative: it has all records of identities that
    /// were created later.
    pub fn authoritative_since(&self) -> SystemTime {
        self.authoritative_since
    }

    fn adopt(&mut self, identity: Identity, record: Record, now: SystemTime) {
        let is_better = match self.records.get(&identity.hash) {
            None => true,
            // An unfinished record gains its outcome; one that did not run gives way to a later one.
            Some((_, known)) if known.token == record.token => known.state == State::Begun,
            Some((_, known)) => known.did_not_run() && !record.did_not_run(),
        };
        if is_better && record.expires > now {
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
        self.enforce_bounds(now);
    }

    /// Drops the oldest responses and records beyond the bounds. After a record is dropped early, this
    /// member is not authoritative for anything older than `now`.
    fn enforce_bounds(&mut self, now: SystemTime) {
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
                self.authoritative_since = now;
                self.is_recoverable = false;
            }
        }
    }

    fn expire(&mut self, now: SystemTime) {
        while let Some(hash) = self.order.front() {
            match self.records.get(hash) {
                // Later records with an earlier expiry stay behind it; `MAX_RECORDS` bounds them.
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
