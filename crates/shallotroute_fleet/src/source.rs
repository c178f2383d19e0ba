//! From which node a node gets the changes of the platform's store, and which nodes are registered
//! in the store.
//!
//! Answers the load that hundreds of nodes make at the store when their source fails, when the store
//! drops its history or is down, and when they start together. In each availability zone
//! [`SOURCES_PER_ZONE`] nodes are sources. The first watches the store, the second follows the first
//! and takes its place if it fails, and so on; the other nodes of the zone are distributed over the
//! sources. A node whose sources are all gone follows a source of another zone. Only sources, and
//! nodes that reach no source with a current view, call the store. The latter do so at different times and a
//! few seconds apart, since the store may be down for all.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::{location::Zone, node::Id};

use crate::election;

/// The number of sources in each availability zone.
pub const SOURCES_PER_ZONE: usize = 3;

/// The number of sources in other availability zones that a node falls back to.
const FOREIGN_SOURCES: usize = 2;

/// How long a source may hold a request without a change. A failed source is noticed after this
/// time. This time, together with a watch of the store, stays below the time after which a leaving
/// server may get no request.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// [`POLL_TIMEOUT`] between two sources: the followers of the second get a view that is older by this
/// time.
const SOURCE_POLL_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a node that did not respond is not asked again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// How long a node is not asked again that does not have a current view itself.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The range over which the nodes whose sources all lost the store try the store themselves: it may turn away the
/// sources only. Such a node still learns of a change within the time after which all nodes apply it, 2 s.
const FIRST_TRIAL_SPREAD: Duration = Duration::from_millis(600);

/// How long a node waits after a trial until it tries the store again. The sources notice within this time that the store
/// is back.
const TRIAL_DELAY_MIN: Duration = Duration::from_secs(5);

/// The range over which further trials of different nodes are spread.
const TRIAL_DELAY_SPREAD: Duration = Duration::from_secs(6);

/// The delay of a start or a registration of a host with one core, if no other node is registered in
/// its availability zone. Larger hosts come first.
const START_DELAY_PER_CORE: Duration = Duration::from_millis(100);

/// The key by which hosts of equal size are ranked as sources.
const RANK_KEY: &str = "source";

/// A node that may be a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The node's identity.
    pub id: Id,
    /// The node's availability zone.
    pub zone: Zone,
    /// The host's processor cores, in thousandths.
    pub capacity: u32,
}

/// Where a node gets changes from next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Ask this node, which may hold the request for `wait` until there is a change.
    Poll {
        /// The source.
        source: Id,
        /// How long the source may hold the request.
        wait: Duration,
    },
    /// Watch the store, and choose again at `until` or when the nodes change. `None` for the first
    /// source of a zone.
    Watch {
        /// When another source is to be tried; `None` if there is none.
        until: Option<Instant>,
    },
    /// Call the store once, and watch it if it serves this node: it may turn away only the sources. Choose again at this
    /// time.
    Try(Instant),
    /// Choose again at this time. A node that the store has served since [`Choice::Try`] goes on watching it.
    Wait(Instant),
}

/// Why a source was of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It did not respond.
    Unreachable,
    /// It responded that it has no current view itself.
    Stale,
}

/// Chooses the source of one node.
#[derive(Debug)]
pub struct Selector {
    node: Node,
    /// The source that answered last.
    current: Option<Id>,
    /// The sources that failed, and until when they are not asked again.
    failures: BTreeMap<Id, (Failure, Instant)>,
    /// Since when all sources have been stale.
    stale_since: Option<Instant>,
    /// How long all sources have to be stale before this node tries the store.
    first_trial_delay: Duration,
    /// The time between two trials, also if sources answer in between.
    trial_delay: Duration,
    /// When the next trial is due at the earliest.
    next_trial: Option<Instant>,
}

impl Selector {
    /// Creates the selector of `node`. `uniform` is a random number in `0.0..1.0`.
    pub fn new(node: Node, uniform: f64) -> Self {
        Self {
            node,
            current: None,
            failures: BTreeMap::new(),
            stale_since: None,
            first_trial_delay: FIRST_TRIAL_SPREAD.mul_f64(uniform),
            trial_delay: TRIAL_DELAY_MIN + TRIAL_DELAY_SPREAD.mul_f64(uniform),
            next_trial: None,
        }
    }

    /// Chooses where to get changes from. `registered` are the registered nodes that are not leaving,
    /// which may include this one.
    pub fn choose(&mut self, registered: &[Node], now: Instant) -> Choice {
        self.failures.retain(|_, (_, until)| now < *until);
        let own_rank = rank(&self.node, registered);
        let candidates = self.candidates(registered, own_rank);
        let available = candidates
            .iter()
            .find(|id| !self.failures.contains_key(&***id));
        if let Some(source) = available {
            let wait = match (self.current.as_ref() == Some(source), own_rank) {
                // Whether another source has a current view is asked without delay.
                (false, _) => Duration::ZERO,
                (true, Some(_)) => SOURCE_POLL_TIMEOUT,
                (true, None) => POLL_TIMEOUT,
            };
            return Choice::Poll {
                source: source.clone(),
                wait,
            };
        }
        let failed = candidates.iter().filter_map(|id| self.failures.get(id));
        let until = failed.clone().map(|(_, until)| *until).min();
        let has_stale = failed
            .clone()
            .any(|(failure, _)| *failure == Failure::Stale);
        if own_rank.is_none()
            && has_stale
            && let Some(until) = until
        {
            let first = *self.stale_since.get_or_insert(now) + self.first_trial_delay;
            let due = self.next_trial.map_or(first, |next| next.max(first));
            if now < due {
                return Choice::Wait(until.min(due));
            }
            self.next_trial = Some(now + self.trial_delay);
            return Choice::Try(until);
        }
        self.current = None;
        Choice::Watch { until }
    }

    /// Records that a source has a current view.
    pub fn record_response(&mut self, source: &Id) {
        self.current = Some(source.clone());
        self.failures.remove(source);
        self.stale_since = None;
    }

    /// Records that a source was of no use.
    pub fn record_failure(&mut self, source: &Id, failure: Failure, now: Instant) {
        if self.current.as_ref() == Some(source) {
            self.current = None;
        }
        let delay = match failure {
            Failure::Unreachable => UNREACHABLE_RETRY_DELAY,
            Failure::Stale => STALE_RETRY_DELAY,
        };
        self.failures.insert(source.clone(), (failure, now + delay));
    }

    /// Returns the sources in the order in which they are tried.
    fn candidates(&self, registered: &[Node], own_rank: Option<usize>) -> Vec<Id> {
        let mut own_zone = sources(&self.node.zone, registered);
        if let Some(rank) = own_rank {
            own_zone.truncate(rank);
            return own_zone.into_iter().map(|node| node.id.clone()).collect();
        }
        let mut zones: Vec<&Zone> = registered.iter().map(|node| &node.zone).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| **zone != self.node.zone);
        let position = election::weight(&self.node.id, RANK_KEY);
        rotate(&mut own_zone, position);
        rotate(&mut zones, position);
        let foreign = zones.into_iter().take(FOREIGN_SOURCES).filter_map(|zone| {
            let mut sources = sources(zone, registered);
            rotate(&mut sources, position);
            sources.first().copied()
        });
        let mut candidates: Vec<Id> = own_zone
            .into_iter()
            .chain(foreign)
            .map(|node| node.id.clone())
            .collect();
        // A source that answers is kept while others come and go.
        if let Some(current) = &self.current
            && let Some(index) = candidates.iter().position(|id| id == current)
            && registered
                .iter()
                .any(|node| node.id == *current && node.zone == self.node.zone)
        {
            candidates.swap(0, index);
        }
        candidates
    }
}

/// Returns the sources of an availability zone: the largest hosts, and those of equal size by
/// rendezvous hashing.
pub fn sources<'a>(zone: &Zone, registered: &'a [Node]) -> Vec<&'a Node> {
    let mut sources: Vec<&Node> = registered
        .iter()
        .filter(|node| node.zone == *zone)
        .collect();
    sources.sort_by(|one, other| precedence(other).cmp(&precedence(one)));
    sources.truncate(SOURCES_PER_ZONE);
    sources
}

/// Returns the rank of a registered node among the sources of its availability zone, or `None` if it is
/// no source.
pub fn rank(node: &Node, registered: &[Node]) -> Option<usize> {
    sources(&node.zone, registered)
        .iter()
        .position(|source| source.id == node.id)
}

/// Returns whether a node that is not registered should register, because its availability zone has
/// fewer than [`SOURCES_PER_ZONE`] sources that precede it.
pub fn should_register(node: &Node, registered: &[Node]) -> bool {
    let preceding = registered
        .iter()
        .filter(|other| other.zone == node.zone && precedence(other) > precedence(node));
    preceding.count() < SOURCES_PER_ZONE
}

/// Returns how long a node waits before it reads the store at its start, or registers. The nodes of a
/// zone do so one after another, the larger hosts first, so that most of them find sources and need
/// do neither. `uniform` is a random number in `0.0..1.0`.
pub fn start_delay(node: &Node, registered: &[Node], uniform: f64) -> Duration {
    let others = registered.iter().filter(|other| other.zone == node.zone);
    // A missing source is less urgent while there are others.
    let patience = 1 + others.count();
    let cores = f64::from(node.capacity.max(1)) / 1000.0;
    START_DELAY_PER_CORE.mul_f64(uniform * patience as f64 / cores)
}

fn precedence(node: &Node) -> (u32, u64, &Id) {
    let weight = election::weight(&node.id, RANK_KEY);
    (node.capacity, weight, &node.id)
}

fn rotate<T>(list: &mut [T], position: u64) {
    if let Some(start) = usize::try_from(position)
        .unwrap_or_default()
        .checked_rem(list.len())
    {
        list.rotate_left(start);
    }
}
