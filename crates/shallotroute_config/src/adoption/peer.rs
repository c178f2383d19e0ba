//! What a node knows of the others' revisions.

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

/// How many nodes of each availability zone watch the head.
const WATCHERS_PER_ZONE: usize = 2;

/// How many other nodes have to hold a revision before it comes into force.
const HOLDERS: usize = 2;

/// The fewest peers of which [`HOLDERS`] are needed. Among fewer, one holder is enough: a node that
/// fails while the host list still names it would otherwise hold up every publication.
const PEERS_FOR_HOLDERS: usize = HOLDERS + 1;

/// How long a node that failed is not asked for a revision.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// The members with their reports.
#[derive(Debug)]
pub(super) struct Peers {
    local: Local,
    view: Arc<View>,
    /// The live hosts in the host list: nodes and backend servers.
    listed: BTreeSet<Name>,
    /// The backend servers in the newest revision that the node holds.
    servers: BTreeSet<Name>,
    reports: HashMap<Id, Report>,
    failures: HashMap<Id, Instant>,
}

impl Peers {
    pub(super) fn new(local: Local) -> Self {
        Self {
            local,
            view: Arc::default(),
            listed: BTreeSet::new(),
            servers: BTreeSet::new(),
            reports: HashMap::new(),
            failures: HashMap::new(),
        }
    }

    pub(super) fn set_view(&mut self, view: Arc<View>) {
        // The view's members are sorted by name.
        let known = |id: &Id| view.members.binary_search_by(|member| member.id.cmp(id));
        self.reports.retain(|id, _| known(id).is_ok());
        self.view = view;
    }

    pub(super) fn set_servers(&mut self, set: &Set) {
        let servers = set.pools.values().flat_map(|pool| &pool.servers);
        self.servers = servers.map(|server| server.name.clone()).collect();
    }

    pub(super) fn set_listed(&mut self, names: Vec<Name>) {
        self.listed = names.into_iter().collect();
    }

    /// Notes a report and tells whether it says more than the last one of that node.
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
        self.failures.retain(|_, until| *until > now);
        self.failures.insert(peer.clone(), now + FAILURE_PAUSE);
    }

    pub(super) fn has_majority(&self) -> bool {
        self.view.majority
    }

    /// Tells whether this node is one of those that watch the head for their zone.
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
    /// the host list still names, because the list says which nodes are to come back.
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

    /// Returns the newest revision that a member is known to hold since its last start.
    fn known(&self, member: &Member) -> Revision {
        match self.reports.get(&member.id) {
            Some(report) if report.incarnation > member.incarnation => report.known,
            Some(report) if report.incarnation == member.incarnation => {
                report.known.max(member.known)
            }
            Some(_) | None => member.known,
        }
    }

    /// Tells whether there are enough peers that knowing more of them would not raise the number of
    /// holders that a revision needs.
    pub(super) fn has_enough_peers(&self) -> bool {
        self.possible_holders().take(PEERS_FOR_HOLDERS).count() == PEERS_FOR_HOLDERS
    }

    /// Returns the number of live hosts that seem to be nodes and that the node never heard from.
    pub(super) fn unheard(&self) -> usize {
        let heard: BTreeSet<&Id> = self.view.members.iter().map(|member| &member.id).collect();
        let unheard = |name: &&Name| !heard.contains(*name) && !self.servers.contains(*name);
        self.listed
            .iter()
            .filter(|name| **name != self.local.id)
            .filter(unheard)
            .count()
    }

    /// Tells whether enough other nodes hold `revision` or a later one.
    pub(super) fn is_replicated(&self, revision: Revision) -> bool {
        let needed = holders_needed(self.possible_holders().count());
        let holders = self.live().filter(|member| self.known(member) >= revision);
        holders.take(needed).count() == needed
    }

    /// Returns the newest revision among the established peers' reports when enough of them have
    /// reported that at least one holder of any revision in force earlier is among them.
    ///
    /// Without a host list the node can't tell how many peers there are, and there is no such answer.
    pub(super) fn quorum(&self) -> Option<Revision> {
        let count = self.possible_holders().count() + self.unheard();
        if count == 0 || self.listed.is_empty() {
            return None;
        }
        // Of count peers, count - holders + 1 answers include one holder of any revision in force.
        let needed = count - holders_needed(count) + 1;
        let answers: Vec<Revision> = self
            .possible_holders()
            .filter_map(|member| self.reports.get(&member.id))
            .filter(|report| report.established)
            .map(|report| report.known)
            .collect();
        match answers.len() >= needed {
            true => answers.into_iter().max(),
            false => None,
        }
    }

    /// Returns a live member that holds a revision after `held`: in the same zone if there is one.
    pub(super) fn source(
        &self,
        held: Revision,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Option<(&Member, Revision)> {
        let usable: Vec<(&Member, Revision)> = self
            .live()
            .filter(|member| {
                self.failures
                    .get(&member.id)
                    .is_none_or(|until| *until <= now)
            })
            .map(|member| (member, self.known(member)))
            .filter(|(_, known)| *known > held)
            .collect();
        let newest = usable.iter().map(|(_, known)| *known).max()?;
        let (near, far): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .filter(|(_, known)| *known == newest)
            .partition(|(member, _)| member.zone == self.local.zone);
        let group = if near.is_empty() { far } else { near };
        group.choose(rng).copied()
    }

    /// Returns the live members that have not reported as established nodes.
    pub(super) fn unanswered(&self) -> impl Iterator<Item = &Member> {
        self.live().filter(|member| {
            self.reports
                .get(&member.id)
                .is_none_or(|report| !report.established)
        })
    }

    /// Returns up to `count` random live members.
    pub(super) fn sample(&self, count: usize, rng: &mut ChaCha8Rng) -> Vec<&Member> {
        let live: Vec<&Member> = self.live().collect();
        live.sample(rng, count).copied().collect()
    }
}

/// Returns how many of `peers` other nodes have to hold a revision before it comes into force.
fn holders_needed(peers: usize) -> usize {
    match peers {
        PEERS_FOR_HOLDERS.. => HOLDERS,
        _ => peers.min(1),
    }
}
