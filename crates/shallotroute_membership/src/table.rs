//! One node's table of members: heartbeats in, heartbeats and views out.

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
    member::{Change, Entry},
    pace::{self, Pace},
};

mod receive;
mod send;

/// Suspects that are told between two rounds. When many are silent, the fault is likely on this side,
/// and with 1,700 nodes more would exceed the budget of bytes.
const MAX_TOLD: usize = 2;

/// A gap between two ticks after which the node counts as having been paused.
pub const PAUSE: Duration = Duration::from_millis(500);

/// The settings of a table.
#[derive(Clone, Debug)]
pub struct Config {
    /// The local node as it starts.
    pub local: Member,
    /// Addresses through which other nodes are found.
    pub seeds: Vec<SocketAddr>,
    /// The seed of the random choice of targets.
    pub seed: u64,
}

/// A node in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The node.
    pub id: Id,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected every 50 ms.
    Tick,
    /// An authentic datagram arrived.
    Received(Box<Frame>),
    /// The nodes in the host list; empty when it can't be read.
    Listed(Vec<Listed>),
    /// The local node holds a revision.
    Known(Revision),
    /// The local node applies a revision.
    InForce(Revision),
    /// The number of requests in progress at the local node.
    Load(u32),
    /// The local node takes no new work.
    Drain,
    /// The local node stops.
    Stop,
}

/// An output.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram to each of the addresses.
    Send {
        /// The addresses.
        to: Vec<SocketAddr>,
        /// The datagram.
        frame: Box<Frame>,
    },
    /// The datagram was replayed or arrived out of order, and was ignored.
    Replayed,
    /// The datagram claims to be from the local node, and was ignored.
    Own,
    /// The view changed.
    Changed,
}

/// The members that one node knows.
#[derive(Debug)]
pub struct Table {
    local: Member,
    seeds: Vec<SocketAddr>,
    entries: BTreeMap<Id, Entry>,
    listed: BTreeMap<Id, bool>,
    random: ChaCha8Rng,
    pace: Pace,
    sequence: u64,
    load: u32,
    /// Targets that remain in the current pass over all members.
    targets: Vec<Id>,
    /// The last member whose state was sent though it had not changed.
    cursor: Option<Id>,
    next_round: Instant,
    next_probe: Instant,
    last_round: Instant,
    next_answer: Instant,
    /// How many more suspects may be told before the next round.
    may_tell: usize,
    ticked: Instant,
    resumed: Instant,
    /// Whether the next round does not wait for its interval.
    urgent: bool,
    majority: bool,
    confirmed: Option<Instant>,
}

impl Table {
    /// Starts with the local node alone.
    pub fn new(config: Config, now: Instant) -> Self {
        let mut table = Self {
            local: config.local,
            seeds: config.seeds,
            entries: BTreeMap::new(),
            listed: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(config.seed),
            pace: Pace::new(1, 0, 1.0),
            sequence: 0,
            load: 0,
            targets: Vec::new(),
            cursor: None,
            next_round: now,
            next_probe: now,
            last_round: now,
            next_answer: now,
            may_tell: MAX_TOLD,
            ticked: now,
            resumed: now,
            urgent: false,
            majority: false,
            confirmed: None,
        };
        table.majority = table.hears_majority(now);
        table
    }

    /// Processes an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Received(frame) => self.receive(&frame, now, &mut actions),
            Event::Listed(listed) => self.list(listed, now, &mut actions),
            Event::Known(revision) => {
                self.urgent |= revision > self.local.known;
                self.local.known = self.local.known.max(revision);
                actions.push(Action::Changed);
            }
            Event::InForce(revision) => {
                self.urgent |= revision > self.local.in_force;
                self.local.in_force = self.local.in_force.max(revision);
                actions.push(Action::Changed);
            }
            Event::Load(load) => self.load = load,
            Event::Drain => self.leave(State::Leaving, &mut actions),
            Event::Stop => {
                self.leave(State::Dead, &mut actions);
                self.farewell(now, &mut actions);
            }
        }
        actions
    }

    /// Returns the members as the rest of the node sees them.
    pub fn view(&self) -> View {
        let mut members: Vec<Member> = self
            .entries
            .values()
            .map(|entry| self.viewed(&entry.member))
            .collect();
        members.push(self.viewed(&self.local));
        members.sort_by(|left, right| left.id.cmp(&right.id));
        View {
            local: Some(self.local.id.clone()),
            members,
            majority: self.majority,
        }
    }

    /// Returns the time limits in use.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Returns the local node's incarnation, which rises with each refuted suspicion.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Returns what is known of each other member.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// A member that the host list shows as leaving takes no roles, whatever it says of itself.
    fn viewed(&self, member: &Member) -> Member {
        let mut member = member.clone();
        let leaving = self.listed.get(&member.id).copied().unwrap_or(false);
        if leaving && matches!(member.state, State::Alive | State::Suspect) {
            member.state = State::Leaving;
        }
        member
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.saturating_duration_since(self.ticked) > PAUSE {
            self.resumed = now;
        }
        self.ticked = now;
        let (resumed, pace, spread) = (self.resumed, self.pace, self.spread());
        let mut changed = false;
        let mut suspects = Vec::new();
        for entry in self.entries.values_mut() {
            let change = entry.tick(now, resumed, &pace);
            changed |= change.state;
            if change.spread {
                entry.spread = spread;
            }
            if change.state && entry.member.state == State::Suspect {
                suspects.push(entry.member.clone());
            }
        }
        suspects.truncate(self.may_tell);
        self.may_tell -= suspects.len();
        for member in suspects {
            self.tell(member, now, actions);
        }
        changed |= self.forget(now);
        changed |= self.update_majority(now);
        if changed {
            actions.push(Action::Changed);
        }
        self.send_due(now, actions);
    }

    /// Forgets members that are dead and no longer listed, or silent for long.
    fn forget(&mut self, now: Instant) -> bool {
        let before = self.entries.len();
        let (listed, majority) = (&self.listed, self.majority);
        self.entries.retain(|id, entry| {
            // Without a list, a node that is cut off must not forget the others and then count as a
            // majority alone.
            let may_forget = majority || !listed.is_empty();
            let silent = may_forget && entry.silence(now) >= pace::FORGET_AFTER;
            let unlisted = !listed.is_empty() && !listed.contains_key(id);
            // A death spreads for a while before the member is forgotten, or news would revive it.
            let spreading = entry.spread > 0 || entry.silence(now) < pace::MAJORITY_WITHIN;
            entry.member.state != State::Dead || !(silent || unlisted && !spreading)
        });
        before != self.entries.len()
    }

    fn update_majority(&mut self, now: Instant) -> bool {
        let before = self.majority;
        self.majority = self.hears_majority(now);
        if self.majority {
            self.confirmed = Some(now);
        }
        before != self.majority
    }

    /// Tells whether there was news of a majority of the nodes that are listed to stay, or of the
    /// known ones without a list.
    fn hears_majority(&self, now: Instant) -> bool {
        let staying: BTreeSet<&Id> = self
            .listed
            .iter()
            .filter_map(|(id, leaving)| (!leaving).then_some(id))
            .collect();
        if staying.is_empty() {
            let heard = self.entries.keys().filter(|id| self.hears(id, now));
            return (heard.count() + 1) * 2 > self.entries.len() + 1;
        }
        let heard = staying.iter().filter(|id| self.hears(id, now)).count();
        heard * 2 > staying.len()
    }

    /// A member that was declared dead after 3 s was still heard within 6 s.
    fn hears(&self, id: &Id, now: Instant) -> bool {
        let heard = |entry: &Entry| entry.silence(now) <= pace::MAJORITY_WITHIN;
        *id == self.local.id || self.entries.get(id).is_some_and(heard)
    }

    fn list(&mut self, listed: Vec<Listed>, now: Instant, actions: &mut Vec<Action>) {
        self.listed = listed
            .into_iter()
            .map(|host| (host.id, host.leaving))
            .collect();
        self.update_majority(now);
        actions.push(Action::Changed);
    }

    fn leave(&mut self, state: State, actions: &mut Vec<Action>) {
        if self.local.state != state {
            self.local.state = state;
            self.urgent = true;
            actions.push(Action::Changed);
        }
    }

    /// Notes what a report changed.
    fn note(&mut self, id: &Id, change: Change, actions: &mut Vec<Action>) {
        if change.spread {
            let spread = self.spread();
            if let Some(entry) = self.entries.get_mut(id) {
                entry.spread = spread;
            }
        }
        if change.state || change.revision {
            actions.push(Action::Changed);
        }
    }

    /// Returns how many datagrams carry a changed state: a few rounds more than push gossip needs.
    fn spread(&self) -> u32 {
        let members = self.entries.len() + 2;
        FANOUT_ROUNDS * members.ilog2()
    }
}

/// Rounds of gossip per doubling of the fleet for which a changed state is repeated.
const FANOUT_ROUNDS: u32 = 3;

/// Tells whether a member takes part in gossip; a leaving one does.
fn is_live(member: &Member) -> bool {
    member.state != State::Dead
}
