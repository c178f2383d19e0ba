//! The table of members of one node: a state machine that receives and sends heartbeats and produces
//! [`View`]s.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shallotroute_types::{
    member::{Member, State, View},
    node::{Id, Incarnation},
    revision::Revision,
};

use crate::{
    datagram::Frame,
    entry::{Change, Entry},
    timing::{self, Timing},
};

mod receive;
mod send;

/// The number of suspects that are notified between two rounds. When many members are silent, the fault
/// is likely on this side, and in a fleet of 1,700 nodes more notices would exceed the byte budget.
const MAX_SUSPECT_NOTICES: usize = 2;

/// The gap between two ticks above which the process is considered to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// The settings of a [`Table`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The local node in its initial state.
    pub local: Member,
    /// Addresses through which other nodes are found.
    pub seeds: Vec<SocketAddr>,
    /// The seed of all random choices, such as the targets of a round.
    pub seed: u64,
}

/// A node in the host list of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// The name of the node.
    pub id: Id,
    /// Whether the host list shows the node as leaving.
    pub leaving: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. The driver sends this event every 50 ms.
    Tick,
    /// An authentic datagram arrived.
    Received(Box<Frame>),
    /// The nodes in the host list; empty when the list could not be read.
    HostsListed(Vec<ListedHost>),
    /// The local node holds a revision.
    RevisionKnown(Revision),
    /// The local node applies a revision.
    RevisionInForce(Revision),
    /// The number of requests in progress at the local node.
    Load(u32),
    /// The local node starts to drain: it takes no new work.
    Drain,
    /// The local node stops.
    Stop,
}

/// An output of the state machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram to each of the addresses.
    Send {
        /// The addresses of the receivers.
        to: Vec<SocketAddr>,
        /// The content of the datagram.
        frame: Box<Frame>,
    },
    /// The received datagram was ignored because it was replayed or out of order.
    Replayed,
    /// The received datagram was ignored because it names the local node as its sender.
    Own,
    /// The result of [`Table::view`] may have changed.
    ViewChanged,
}

/// The table of members of one node.
#[derive(Debug)]
pub struct Table {
    local: Member,
    seeds: Vec<SocketAddr>,
    entries: BTreeMap<Id, Entry>,
    /// The nodes in the host list, with whether each is listed as leaving.
    listed_hosts: BTreeMap<Id, bool>,
    rng: ChaCha8Rng,
    timing: Timing,
    /// The sequence number of the last datagram.
    sequence: u64,
    /// The number of requests in progress at the local node.
    load: u32,
    /// The targets that remain in the current pass over all participants.
    remaining_targets: Vec<Id>,
    /// The last member whose unchanged state was repeated.
    repeat_cursor: Option<Id>,
    next_round: Instant,
    next_probe: Instant,
    last_round: Instant,
    /// When members that another node seems to miss may be sent again.
    next_completion: Instant,
    /// The number of suspects that may still be notified before the next round.
    suspect_notices_left: usize,
    last_tick: Instant,
    /// When the local process last resumed after a pause.
    resumed_at: Instant,
    /// Whether the next round is sent without waiting for the interval.
    is_round_urgent: bool,
    has_majority: bool,
    /// When the node last heard from a majority.
    last_majority: Option<Instant>,
}

impl Table {
    /// Creates a table that contains only the local node.
    pub fn new(config: Config, now: Instant) -> Self {
        let mut table = Self {
            local: config.local,
            seeds: config.seeds,
            entries: BTreeMap::new(),
            listed_hosts: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            timing: Timing::new(1, 0, 1.0),
            sequence: 0,
            load: 0,
            remaining_targets: Vec::new(),
            repeat_cursor: None,
            next_round: now,
            next_probe: now,
            last_round: now,
            next_completion: now,
            suspect_notices_left: MAX_SUSPECT_NOTICES,
            last_tick: now,
            resumed_at: now,
            is_round_urgent: false,
            has_majority: false,
            last_majority: None,
        };
        table.has_majority = table.hears_majority(now);
        table
    }

    /// Processes an event and returns the actions that the driver must perform.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received(frame) => self.receive(&frame, now, &mut actions),
            Event::HostsListed(listed) => self.set_listed_hosts(listed, now, &mut actions),
            Event::RevisionKnown(revision) => {
                self.is_round_urgent |= revision > self.local.known;
                self.local.known = self.local.known.max(revision);
                actions.push(Action::ViewChanged);
            }
            Event::RevisionInForce(revision) => {
                self.is_round_urgent |= revision > self.local.in_force;
                self.local.in_force = self.local.in_force.max(revision);
                actions.push(Action::ViewChanged);
            }
            Event::Load(load) => self.load = load,
            Event::Drain => self.set_local_state(State::Leaving, &mut actions),
            Event::Stop => {
                self.set_local_state(State::Dead, &mut actions);
                self.announce_departure(now, &mut actions);
            }
        }
        actions
    }

    /// Returns the members as the rest of the node sees them, with the local node and with the host list
    /// applied to their states.
    pub fn view(&self) -> View {
        let mut members: Vec<Member> = self
            .entries
            .values()
            .map(|entry| self.with_listed_state(&entry.member))
            .collect();
        members.push(self.with_listed_state(&self.local));
        members.sort_by(|left, right| left.id.cmp(&right.id));
        View {
            local: Some(self.local.id.clone()),
            members,
            majority: self.has_majority,
        }
    }

    /// Returns the interval and the timeouts in use, which change with the size of the fleet.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Returns the local node's incarnation, which rises with each refuted suspicion.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Returns the other members, sorted by name, without the states in the host list.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the member in the state that other parts of the node see: a member that the host list
    /// shows as leaving takes no roles, whatever it reports itself.
    fn with_listed_state(&self, member: &Member) -> Member {
        let mut member = member.clone();
        let is_listed_leaving = self.listed_hosts.get(&member.id).copied().unwrap_or(false);
        if is_listed_leaving && matches!(member.state, State::Alive | State::Suspect) {
            member.state = State::Leaving;
        }
        member
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_tick = now;
        let (resumed_at, timing, transmission_count) =
            (self.resumed_at, self.timing, self.transmission_count());
        let mut has_changed = false;
        let mut suspects = Vec::new();
        for entry in self.entries.values_mut() {
            let change = entry.tick(now, resumed_at, &timing);
            has_changed |= change.has_new_state;
            if change.should_spread {
                entry.transmissions_left = transmission_count;
            }
            if change.has_new_state && entry.member.state == State::Suspect {
                suspects.push(entry.member.clone());
            }
        }
        suspects.truncate(self.suspect_notices_left);
        self.suspect_notices_left -= suspects.len();
        for member in suspects {
            self.notify(member, now, actions);
        }
        has_changed |= self.remove_dead(now);
        has_changed |= self.update_majority(now);
        if has_changed {
            actions.push(Action::ViewChanged);
        }
        self.send_due(now, actions);
    }

    /// Removes dead members that are no longer in the host list or have been silent for
    /// [`timing::REMOVE_AFTER`]. Returns whether any were removed.
    fn remove_dead(&mut self, now: Instant) -> bool {
        let previous = self.entries.len();
        let (listed, has_majority) = (&self.listed_hosts, self.has_majority);
        self.entries.retain(|id, entry| {
            // Without a host list, an isolated node must not remove the others, because it would then
            // count as a majority alone.
            let can_remove = has_majority || !listed.is_empty();
            let is_silent = can_remove && entry.silence(now) >= timing::REMOVE_AFTER;
            let is_unlisted = !listed.is_empty() && !listed.contains_key(id);
            // A dead member is kept while its death spreads, because an update from a node that has not
            // learned of the death would add it again.
            let is_spreading =
                entry.transmissions_left > 0 || entry.silence(now) < timing::MAJORITY_TIMEOUT;
            entry.member.state != State::Dead || !(is_silent || is_unlisted && !is_spreading)
        });
        previous != self.entries.len()
    }

    /// Returns whether the majority was lost or regained.
    fn update_majority(&mut self, now: Instant) -> bool {
        let previous = self.has_majority;
        self.has_majority = self.hears_majority(now);
        if self.has_majority {
            self.last_majority = Some(now);
        }
        previous != self.has_majority
    }

    /// Returns whether the node recently heard of a majority of the hosts that are listed and not leaving,
    /// or of the known members while no such host is listed.
    fn hears_majority(&self, now: Instant) -> bool {
        let expected_hosts: BTreeSet<&Id> = self
            .listed_hosts
            .iter()
            .filter_map(|(id, leaving)| (!leaving).then_some(id))
            .collect();
        if expected_hosts.is_empty() {
            let heard = self
                .entries
                .keys()
                .filter(|id| self.was_heard_recently(id, now));
            return (heard.count() + 1) * 2 > self.entries.len() + 1;
        }
        let heard = expected_hosts
            .iter()
            .filter(|id| self.was_heard_recently(id, now))
            .count();
        heard * 2 > expected_hosts.len()
    }

    /// Returns whether a node counts towards the majority. The limit is longer than the death timeout of
    /// 3 s, so a member that was just declared dead still counts.
    fn was_heard_recently(&self, id: &Id, now: Instant) -> bool {
        let is_recent = |entry: &Entry| entry.silence(now) <= timing::MAJORITY_TIMEOUT;
        *id == self.local.id || self.entries.get(id).is_some_and(is_recent)
    }

    fn set_listed_hosts(
        &mut self,
        listed: Vec<ListedHost>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.listed_hosts = listed
            .into_iter()
            .map(|host| (host.id, host.leaving))
            .collect();
        self.update_majority(now);
        actions.push(Action::ViewChanged);
    }

    fn set_local_state(&mut self, state: State, actions: &mut Vec<Action>) {
        if self.local.state != state {
            self.local.state = state;
            self.is_round_urgent = true;
            actions.push(Action::ViewChanged);
        }
    }

    /// Schedules the gossip of a change to a member, and signals a change of the view.
    fn record_change(&mut self, id: &Id, change: Change, actions: &mut Vec<Action>) {
        if change.should_spread {
            let transmission_count = self.transmission_count();
            if let Some(entry) = self.entries.get_mut(id) {
                entry.transmissions_left = transmission_count;
            }
        }
        if change.has_new_state || change.has_new_revision {
            actions.push(Action::ViewChanged);
        }
    }

    /// Returns how many datagrams carry a changed state: a few more rounds than push gossip needs.
    fn transmission_count(&self) -> u32 {
        let members = self.entries.len() + 2;
        TRANSMISSIONS_PER_DOUBLING * members.ilog2()
    }
}

/// The number of datagrams that carry a changed state, per doubling of the fleet's size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// Returns whether a member takes part in gossip. A leaving member does.
fn is_participant(member: &Member) -> bool {
    member.state != State::Dead
}
