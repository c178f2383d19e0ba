//! How nodes keep together to the rate of requests that a backend server in need has named.
//!
//! A server names the rate in its answers for as long as it holds, and it is the sum over all nodes.
//! One node, the server's home, divides it: the others ask it for a permit before each request,
//! whatever the request is (first try, retry, hedge, resumption, batch item or scoring). Where requests
//! arrive at the nodes unevenly, equal shares would leave most of the rate unused.
//!
//! The home is found by rendezvous hashing over the members. While it does not answer, a deputy grants a
//! small part of the rate, so that nodes which disagree about the home grant little more than the rate.
//!
//! Answers the load pattern of a service that is short of capacity: the servers in need get what they
//! can take, callers' requests before batch items, and the excess goes to the others or is refused at
//! once.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_types::{name::Name, node::Id};

use crate::election;

/// The lowest rate that is granted, in requests per second. The end of a limit is seen in an answer, so
/// that a server that takes nothing still gets a request now and then.
const MIN_RATE: f64 = 0.2;

/// The time over which unused permits add up.
const BURST_PERIOD: Duration = Duration::from_millis(250);

/// The part of [`BURST_PERIOD`]'s permits that is kept for callers' requests, which wait for their
/// answers while batch items have seconds.
const CALLER_RESERVE: f64 = 0.4;

/// The part of the rate that a deputy grants, and a new home until the members have agreed on it.
const DEPUTY_SHARE: f64 = 0.2;

/// How long it takes until all nodes know of a change of the members and ask the new home.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// The shortest time for which a denial holds.
const MIN_DENIAL: Duration = Duration::from_millis(10);

/// The longest time for which a denial holds: a limit may be raised or end meanwhile.
const MAX_DENIAL: Duration = Duration::from_millis(500);

/// The interval between the requests that a node sends to a server while neither its home nor the
/// deputy answers.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a home remembers a limit that no node asks about.
const RETENTION: Duration = Duration::from_secs(60);

/// How long a notice is kept that its home does not renew.
pub const NOTICE_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of servers whose limits a home divides; the least recently used ones yield.
const MAX_BUCKETS: usize = 20_000;

/// A number of requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(f64);

/// What a response says about the limit of the server that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The server takes this rate from all nodes together.
    Limited(Rate),
    /// The server names no limit, or no longer.
    Unlimited,
    /// The response may come from another server, or is malformed.
    Silent,
}

/// What the home of a server tells all nodes through the platform's store, so that those that have just
/// started know of the limit before their first request. It may be outdated: the home decides on each claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The Unix time of the start of the server's process, in milliseconds.
    pub born: u64,
    /// The rate that was named last.
    pub rate: Rate,
}

/// Whose request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A caller waits for the answer.
    Caller,
    /// It belongs to a batch job.
    Batch,
}

/// What a node has seen of the limit of a server's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The server.
    pub server: Name,
    /// The Unix time of the start of the server's process, in milliseconds.
    pub born: u64,
    /// The rate that the last answer named; `None` if it named none.
    pub rate: Option<Rate>,
    /// The time since that answer.
    pub age: Duration,
}

/// A node's question for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// What the node has seen last.
    pub observation: Observation,
    /// For how long the node has known that the server has a limit.
    pub known_for: Duration,
    /// Whose request it is.
    pub class: Class,
}

/// The answer to a [`Claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// One request may be sent now.
    Granted,
    /// No request may be sent before this time has passed.
    Denied(Duration),
    /// The limit has ended.
    Unlimited,
    /// Another node divides the rate.
    NotResponsible,
}

/// Why a node divides the rate of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It is the server's home.
    Home,
    /// It stands in while the home does not answer.
    Deputy,
}

impl Rate {
    /// Creates a rate; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// The limit of one server as a node knows it, and the denials that it has got.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    rate: Rate,
    known_since: Instant,
    observed_at: Instant,
    /// Until when requests of callers and of batch jobs are denied.
    denied_until: [Option<Instant>; 2],
    last_trial: Option<Instant>,
}

impl Known {
    /// Creates the knowledge of a limit that an answer has named at `now`.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate,
            known_since: now,
            observed_at: now,
            denied_until: [None; 2],
            last_trial: None,
        }
    }

    /// Creates the knowledge of a limit from a notice at `now`. Any answer of the server is later.
    pub fn from_notice(rate: Rate, now: Instant) -> Self {
        let observed_at = now.checked_sub(NOTICE_RETENTION).unwrap_or(now);
        Self {
            observed_at,
            ..Self::new(rate, now)
        }
    }

    /// Returns the rate that was named last.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Records that an answer has named the limit. Returns whether the rate is another one.
    pub fn observe(&mut self, rate: Rate, now: Instant) -> bool {
        self.observed_at = now;
        let has_changed = self.rate != rate;
        if rate > self.rate {
            self.denied_until = [None; 2];
        }
        self.rate = rate;
        has_changed
    }

    /// Returns the claim for a request to the server.
    pub fn claim(&self, server: Name, born: u64, class: Class, now: Instant) -> Claim {
        Claim {
            observation: Observation {
                server,
                born,
                rate: Some(self.rate),
                age: now.saturating_duration_since(self.observed_at),
            },
            known_for: now.saturating_duration_since(self.known_since),
            class,
        }
    }

    /// Records that requests of a class are denied for some time.
    pub fn record_denial(&mut self, class: Class, retry_after: Duration, now: Instant) {
        let denied_for = retry_after.clamp(MIN_DENIAL, MAX_DENIAL);
        self.denied_until[class as usize] = Some(now + denied_for);
    }

    /// Returns until when requests of a class are denied; `None` if a permit may be asked for.
    pub fn denied_until(&self, class: Class, now: Instant) -> Option<Instant> {
        self.denied_until[class as usize].filter(|until| now < *until)
    }

    /// Returns whether a request may be sent although no node divides the rate.
    pub fn take_trial(&mut self, now: Instant) -> bool {
        let is_due = self
            .last_trial
            .is_none_or(|last| now >= last + TRIAL_INTERVAL);
        if is_due {
            self.last_trial = Some(now);
        }
        is_due
    }
}

/// Divides the rates of the servers for which this node is the home or the deputy.
#[derive(Debug, Default)]
pub struct Divider {
    buckets: BTreeMap<Name, Bucket>,
}

/// The permits of one server's process: a token bucket.
#[derive(Debug)]
struct Bucket {
    born: u64,
    rate: Option<Rate>,
    observed_at: Instant,
    role: Role,
    /// From when on the home grants the whole rate.
    full_from: Instant,
    permits: f64,
    refilled_at: Instant,
}

/// Returns the home of a server and its deputy among `nodes`, which are identities with their
/// capacities.
pub fn responsible<'a>(
    nodes: impl Iterator<Item = (&'a Id, u32)> + Clone,
    server: &str,
) -> impl Iterator<Item = (Role, &'a Id)> {
    let home = election::preferred_node(nodes.clone(), server);
    let others = nodes.filter(move |(id, _)| Some(*id) != home);
    let deputy = election::preferred_node(others, server);
    let home = home.map(|id| (Role::Home, id));
    home.into_iter().chain(deputy.map(|id| (Role::Deputy, id)))
}

impl Divider {
    /// Decides on a claim as the home or the deputy of its server.
    pub fn decide(&mut self, claim: &Claim, role: Role, now: Instant) -> Reply {
        let Observation { server, born, .. } = &claim.observation;
        self.record(&claim.observation, now);
        let Some(bucket) = self.buckets.get_mut(server) else {
            return Reply::NotResponsible;
        };
        if bucket.born > *born {
            return Reply::Denied(MAX_DENIAL);
        }
        bucket.assume(role, claim.known_for, now);
        bucket.take(claim.class, now)
    }

    /// Records what a node has seen. The latest answer counts, whichever node it came to.
    pub fn record(&mut self, observation: &Observation, now: Instant) {
        let observed_at = now.checked_sub(observation.age).unwrap_or(now);
        match self.buckets.get_mut(&observation.server) {
            Some(bucket) if bucket.born > observation.born => {}
            Some(bucket) if bucket.born == observation.born => {
                if observed_at >= bucket.observed_at {
                    bucket.observed_at = observed_at;
                    bucket.rate = observation.rate;
                }
            }
            _ => {
                // Without a limit there is nothing to divide.
                let Some(rate) = observation.rate else {
                    self.buckets.remove(&observation.server);
                    return;
                };
                self.make_room(now);
                let bucket = Bucket::new(observation.born, rate, observed_at, now);
                self.buckets.insert(observation.server.clone(), bucket);
            }
        }
    }

    /// Returns the notices of all servers whose home this node is.
    pub fn notices(&self) -> BTreeMap<Name, Notice> {
        let homes = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.role == Role::Home);
        homes
            .filter_map(|(server, bucket)| {
                let born = bucket.born;
                let notice = bucket.rate.map(|rate| Notice { born, rate })?;
                Some((server.clone(), notice))
            })
            .collect()
    }

    /// Returns the number of servers whose limits are known.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Drops the limits that no node has asked about for long.
    pub fn expire(&mut self, now: Instant) {
        self.buckets
            .retain(|_, bucket| now < bucket.refilled_at + RETENTION);
    }

    fn make_room(&mut self, now: Instant) {
        if self.buckets.len() < MAX_BUCKETS {
            return;
        }
        self.expire(now);
        let oldest = self
            .buckets
            .iter()
            .min_by_key(|(_, bucket)| bucket.refilled_at)
            .map(|(server, _)| server.clone());
        if self.buckets.len() >= MAX_BUCKETS
            && let Some(oldest) = oldest
        {
            self.buckets.remove(&oldest);
        }
    }
}

impl Bucket {
    fn new(born: u64, rate: Rate, observed_at: Instant, now: Instant) -> Self {
        Self {
            born,
            rate: Some(rate),
            observed_at,
            role: Role::Deputy,
            full_from: now,
            permits: 1.0,
            refilled_at: now,
        }
    }

    /// Takes on a role. A new home of a limit that is known for longer has had a predecessor, which
    /// some nodes may still ask.
    fn assume(&mut self, role: Role, known_for: Duration, now: Instant) {
        if role == Role::Home && self.role != Role::Home && known_for >= HANDOVER_TIME {
            self.refill(now);
            self.full_from = now + HANDOVER_TIME;
        }
        self.role = role;
    }

    /// Returns the rate that this node grants, in requests per second.
    fn granted_rate(&self, rate: Rate, now: Instant) -> f64 {
        let share = match self.role {
            Role::Home if now >= self.full_from => 1.0,
            Role::Home | Role::Deputy => DEPUTY_SHARE,
        };
        (rate.per_second() * share).max(MIN_RATE)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        if let Some(rate) = self.rate {
            let granted = self.granted_rate(rate, now);
            let capacity = 1.0 + granted * BURST_PERIOD.as_secs_f64();
            self.permits = (self.permits + granted * elapsed.as_secs_f64()).min(capacity);
        }
    }

    fn take(&mut self, class: Class, now: Instant) -> Reply {
        self.refill(now);
        let Some(rate) = self.rate else {
            return Reply::Unlimited;
        };
        let granted = self.granted_rate(rate, now);
        let needed = match class {
            Class::Caller => 1.0,
            Class::Batch => 1.0 + CALLER_RESERVE * granted * BURST_PERIOD.as_secs_f64(),
        };
        if self.permits >= needed {
            self.permits -= 1.0;
            return Reply::Granted;
        }
        Reply::Denied(Duration::from_secs_f64((needed - self.permits) / granted))
    }
}
