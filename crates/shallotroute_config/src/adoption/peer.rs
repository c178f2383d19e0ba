//! The other nodes and the revisions that they hold.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use shallotroute_types::{
    member::{Member, State, View},
    name::Name,
    node::Id,
    revision::Revision,
};

use super::message::{Local, Report};
use crate::set::Set;

/// The number of nodes in each availability zone that watch the head.
const WATCHERS_PER_ZONE: usize = 2;

/// The number of other nodes that must hold a revision before it comes into force.
const REQUIRED_REPLICAS: usize = 2;

/// The minimum number of peers for which [`REQUIRED_REPLICAS`] applies. With fewer peers one
/// replica is enough: otherwise a failed node that the host list still names would block every
/// publication.
const MIN_PEERS: usize = REQUIRED_REPLICAS + 1;

/// How long no revision is fetched from a node after a failed fetch from it.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The members with their latest reports.
#[derive(Debug)]
pub(super) struct Peers {
    local: Local,
    view: Arc<View>,
    /// The live hosts in the host list: nodes and backend servers.
    listed: BTreeSet<Name>,
    /// The backend servers in the newest revision that the local node holds.
    servers: BTreeSet<Name>,
    reports: HashMap<Id, Report>,
    /// The ends of the back-offs after failed fetches.
    backoffs: HashMap<Id, Instant>,
}

impl Peers {
    pub(super) fn new(local: Local) -> Self {
        Self {
            local,
            view: Arc::default(),
            listed: BTreeSet::new(),
            servers: BTreeSet::new(),
            reports: HashMap::new(),
            backoffs: HashMap::new(),
        }
    }

    pub(super) fn set_view(&mut self, view: Arc<View>) {
        // The view's members are sorted by name.
        let position = |id: &Id| view.members.binary_search_by(|member| member.id.cmp(id));
        self.reports.retain(|id, _| position(id).is_ok());
        self.view = view;
    }

    pub(super) fn set_servers(&mut self, set: &Set) {
        let servers = set.pools.values().flat_map(|pool| &pool.servers);
        self.servers = servers.map(|server| server.name.clone()).collect();
    }

    pub(super) fn set_listed(&mut self, names: Vec<Name>) {
        self.listed = names.into_iter().collect();
    }

    /// Stores a report and returns whether it differs from the node's previous one; a report of an
    /// earlier incarnation is ignored.
    pub(super) fn record_report(&mut self, report: Report) -> bool {
        if report.node == self.local.id {
            return false;
        }
        match self.reports.get(&report.node) {
            Some(last) if last.incarnation > report.incarnation || *last == report => false,
            Some(_) | None => {
                self.reports.insert(report.node.clone(), report);
                true
            }
        }
    }

    pub(super) fn record_failure(&mut self, peer: &Id, now: Instant) {
        self.backoffs.retain(|_, until| *until > now);
        self.backoffs.insert(peer.clone(), now + FETCH_RETRY_DELAY);
    }

    pub(super) fn has_majority(&self) -> bool {
        self.view.majority
    }

    /// Returns whether rendezvous hashing selects the local node as a watcher of its zone.
    pub(super) fn is_watcher(&self) -> bool {
        let key = format!("config/watch/{}", self.local.zone);
        let zone = View {
            members: self
                .view
                .members
                .iter()
                .filter(|member| member.zone == self.local.zone)
                .cloned()
                .collect(),
            ..View::default()
        };
        zone.ranked(&key, WATCHERS_PER_ZONE)
            .iter()
            .any(|member| member.id == self.local.id)
    }

    /// Returns the other nodes that may hold a revision: the live members, and the dead ones that
    /// the host list still names, since those are expected to come back.
    pub(super) fn possible_holders(&self) -> impl Iterator<Item = &Member> {
        self.view
            .members
            .iter()
            .filter(|member| member.id != self.local.id)
            .filter(|member| match member.state {
                State::Alive | State::Suspect => true,
                State::Dead => self.listed.contains(&member.id),
                State::Leaving => false,
            })
    }

    /// Returns the other live members.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.view.live().filter(|member| member.id != self.local.id)
    }

    /// Returns the newest revision that the member's current incarnation holds, from its report and
    /// its heartbeats.
    fn newest_of(&self, member: &Member) -> Revision {
        match self.reports.get(&member.id) {
            Some(report) if report.incarnation > member.incarnation => report.known,
            Some(report) if report.incarnation == member.incarnation => {
                report.known.max(member.known)
            }
            Some(_) | None => member.known,
        }
    }

    /// Returns whether so many peers are known that further ones would not raise the required
    /// number of replicas.
    pub(super) fn has_enough_peers(&self) -> bool {
        self.possible_holders().take(MIN_PEERS).count() == MIN_PEERS
    }

    /// Returns the number of live hosts that seem to be nodes but have sent no heartbeat so far.
    pub(super) fn silent_hosts(&self) -> usize {
        let members: BTreeSet<&Id> = self.view.members.iter().map(|member| &member.id).collect();
        let is_silent = |name: &&Name| !members.contains(*name) && !self.servers.contains(*name);
        self.listed
            .iter()
            .filter(|name| **name != self.local.id)
            .filter(is_silent)
            .count()
    }

    /// Returns whether enough other live nodes hold `revision` or a later one.
    pub(super) fn is_replicated(&self, revision: Revision) -> bool {
        let required = required_replicas(self.possible_holders().count());
        let holders = self
            .live()
            .filter(|member| self.newest_of(member) >= revision);
        holders.take(required).count() == required
    }

    /// Returns the newest revision among the reports of established peers if they form a quorum: at
    /// least one of them held any revision that was in force earlier.
    ///
    /// Returns `None` without a quorum, and without a host list, since the number of peers is then
    /// unknown.
    pub(super) fn newest_by_quorum(&self) -> Option<Revision> {
        let count = self.possible_holders().count() + self.silent_hosts();
        if count == 0 || self.listed.is_empty() {
            return None;
        }
        // Any `count - replicas + 1` of the peers include a holder of any revision in force.
        let quorum = count - required_replicas(count) + 1;
        let revisions: Vec<Revision> = self
            .possible_holders()
            .filter_map(|member| self.reports.get(&member.id))
            .filter(|report| report.established)
            .map(|report| report.known)
            .collect();
        match revisions.len() >= quorum {
            true => revisions.into_iter().max(),
            false => None,
        }
    }

    /// Returns a random live member that holds the newest revision after `held`, preferably in the
    /// local node's zone, with that revision; `None` if no member holds a later one.
    pub(super) fn choose_source(
        &self,
        held: Revision,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Option<(&Member, Revision)> {
        let sources: Vec<(&Member, Revision)> = self
            .live()
            .filter(|member| {
                self.backoffs
                    .get(&member.id)
                    .is_none_or(|until| *until <= now)
            })
            .map(|member| (member, self.newest_of(member)))
            .filter(|(_, revision)| *revision > held)
            .collect();
        let newest = sources.iter().map(|(_, revision)| *revision).max()?;
        let (same_zone, other_zones): (Vec<_>, Vec<_>) = sources
            .into_iter()
            .filter(|(_, revision)| *revision == newest)
            .partition(|(member, _)| member.zone == self.local.zone);
        let preferred = if same_zone.is_empty() {
            other_zones
        } else {
            same_zone
        };
        preferred.choose(rng).copied()
    }

    /// Returns the live members that have not reported that they are established.
    pub(super) fn not_established(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| {
            self.reports
                .get(&member.id)
                .is_none_or(|report| !report.established)
        })
    }

    /// Returns up to `count` random live members other than the local node.
    pub(super) fn sample(&self, count: usize, rng: &mut ChaCha8Rng) -> Vec<&Member> {
        let live: Vec<&Member> = self.live().collect();
        live.sample(rng, count).copied().collect()
    }
}

/// Returns how many of `peers` other nodes must hold a revision before it comes into force.
fn required_replicas(peers: usize) -> usize {
    match peers {
        MIN_PEERS.. => REQUIRED_REPLICAS,
        _ => peers.min(1),
    }
}
