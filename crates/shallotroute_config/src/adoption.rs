//! How a node learns of revisions, gets them and puts them in force.
//!
//! A revision comes into force only when enough other nodes hold it, and a node that starts applies
//! nothing before it has read the head or heard from enough other nodes. Together these keep a node
//! from returning to an earlier revision after a restart, although nodes store nothing.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use shallotroute_types::{member::Member, revision::Revision};

use crate::{
    bundle::{Bundle, Head, Part},
    snapshot::Snapshot,
};

mod message;
mod peer;

pub use message::{Action, Call, Event, Local, Origin, Replica, Report};
use peer::Peers;

/// How long one watch of the head waits.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a read of the head confirms the configuration.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(6);

/// The time between a watcher's reads of the head, which find what a lost watch missed.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// The time between reads of the head by a node that is not established; doubled after each failure,
/// so that a fleet that restarts in an outage does not hold the key-value service down.
const START_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The most doublings of [`START_READ_INTERVAL`].
const MAX_DOUBLINGS: u32 = 3;

/// The time between comparisons with a random member.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// How many members are told at once of a revision that the node has just got.
const FANOUT: usize = 3;

/// How many members a starting node asks at once; a bound on its connections in a large fleet.
const START_COMPARISONS: usize = 64;

/// How long a starting node collects members before it trusts their answers. It is longer than the
/// 3 s after which the others declare a silent node dead, so none of them counts what the node held
/// before its restart.
const SETTLE: Duration = Duration::from_secs(4);

/// How long a starting node waits for heartbeats, five of them, before it takes the members that it
/// knows for all there are.
const FIRST_HEARTBEATS: Duration = Duration::from_secs(1);

/// How long a starting node waits for listed hosts that it does not hear. The host list lags by up to
/// 30 s, so such a host may be gone, or a backend server that no revision has yet.
const UNHEARD_LIMIT: Duration = Duration::from_secs(30);

/// The pause after a failed watch, load or fetch.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How many revisions that are not in force are kept. A burst of publications would starve a node
/// that keeps only the newest one, since nobody else holds that one yet.
const MAX_PENDING: usize = 16;

/// The revisions of one node.
#[derive(Debug)]
pub struct Adoption {
    local: Local,
    peers: Peers,
    /// Oldest first; all are newer than the one in force.
    pending: VecDeque<Replica>,
    in_force: Option<Replica>,
    applied: Option<Instant>,
    head: Option<Head>,
    version: u64,
    established: bool,
    /// No revision below it comes into force.
    floor: Revision,
    started: Instant,
    resumed: Option<Instant>,
    read_at: Option<Instant>,
    read_failures: u32,
    watching: bool,
    reading: bool,
    loading: bool,
    fetching: bool,
    next_watch: Instant,
    next_read: Instant,
    next_load: Instant,
    next_fetch: Instant,
    next_compare: Instant,
    rejected: u64,
}

impl Adoption {
    /// Makes the state of a node that has just started.
    pub fn new(local: Local, now: Instant) -> Self {
        Self {
            peers: Peers::new(local.clone()),
            local,
            pending: VecDeque::new(),
            in_force: None,
            applied: None,
            head: None,
            version: 0,
            established: false,
            floor: Revision::default(),
            started: now,
            resumed: None,
            read_at: None,
            read_failures: 0,
            watching: false,
            reading: false,
            loading: false,
            fetching: false,
            next_watch: now,
            next_read: now,
            next_load: now,
            next_fetch: now,
            next_compare: now,
            rejected: 0,
        }
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: Event, now: Instant, rng: &mut ChaCha8Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Members(view) => self.peers.set_view(view),
            Event::Hosts(names) => self.peers.set_listed(names),
            Event::Head {
                call,
                version,
                head,
                asked,
            } => self.on_head(call, version, head, asked),
            Event::HeadFailed(call) => self.on_head_failed(call, now, rng),
            Event::Received { origin, bundle } => {
                match origin {
                    Origin::Store => self.loading = false,
                    Origin::Peer(_) | Origin::Publication => self.fetching = false,
                }
                if self.on_arrived(origin, bundle, now) {
                    self.compare(FANOUT, &mut actions, rng);
                }
            }
            Event::Published(bundle) => {
                if self.on_arrived(Origin::Publication, Some(bundle), now) {
                    self.compare(FANOUT, &mut actions, rng);
                }
            }
            Event::Reported(report) => drop(self.peers.record_report(report)),
            Event::Resumed => self.on_resumed(now),
            Event::Tick => {}
        }
        self.establish(now);
        self.ask_head(now, &mut actions, rng);
        self.ask_revision(now, &mut actions, rng);
        self.ask_peers(now, &mut actions, rng);
        self.apply(now, &mut actions);
        actions
    }

    /// Returns the newest revision that the node holds.
    pub fn known(&self) -> Revision {
        self.newest()
            .map(|held| held.snapshot.revision())
            .unwrap_or_default()
    }

    /// Returns the newest revision that the node holds, with its bytes.
    pub fn newest(&self) -> Option<&Replica> {
        self.pending.back().or(self.in_force.as_ref())
    }

    /// Returns a part of any revision that the node holds.
    pub fn part(&self, hash: &str) -> Option<Part> {
        let held = self.pending.iter().rev().chain(&self.in_force);
        held.into_iter().find_map(|held| held.part(hash))
    }

    /// Returns the revision in force.
    pub fn in_force(&self) -> Option<&Replica> {
        self.in_force.as_ref()
    }

    /// Returns when the revision in force came into force.
    pub fn applied_at(&self) -> Option<Instant> {
        self.applied
    }

    /// Returns the newest head that the node has read itself.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns how many revisions were refused because of a wrong hash or an unreadable content.
    pub fn rejected_revisions(&self) -> u64 {
        self.rejected
    }

    /// Tells whether the node knows of every revision that it had in force before its start.
    pub fn is_established(&self) -> bool {
        self.established
    }

    /// Tells whether the node watches the head for its availability zone.
    pub fn is_watcher(&self) -> bool {
        self.peers.is_watcher()
    }

    /// Returns how long ago the configuration was confirmed; none if never.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        if !self.established {
            return None;
        }
        match self.peers.has_majority() {
            true => Some(Duration::ZERO),
            false => self.read_at.map(|read| now.saturating_duration_since(read)),
        }
    }

    /// Returns when the node asked for the head that names its revision in force as the newest one.
    pub fn current_as_of(&self) -> Option<Instant> {
        self.read_at
            .filter(|_| revision(self.in_force.as_ref()) >= self.floor)
    }

    /// Tells whether the node may take new work.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmation_age(now)
            .is_some_and(|age| age < CONFIRMATION_TTL)
    }

    /// Returns what other nodes are told.
    pub fn report(&self) -> Report {
        Report {
            node: self.local.id.clone(),
            incarnation: self.local.incarnation,
            known: self.known(),
            in_force: revision(self.in_force.as_ref()),
            established: self.established && self.known() >= self.floor,
        }
    }

    /// Reads the head at once. A read in progress may have been answered before the pause.
    fn on_resumed(&mut self, now: Instant) {
        self.resumed = Some(now);
        self.reading = false;
        self.read_failures = 0;
        self.next_read = now;
    }

    /// Tells whether the head was not read since the process was resumed.
    fn is_outdated(&self) -> bool {
        self.resumed.is_some() && self.read_at < self.resumed
    }

    fn on_head(&mut self, call: Call, version: u64, head: Head, asked: Instant) {
        self.ended(call);
        self.read_at = self.read_at.max(Some(asked));
        self.read_failures = 0;
        self.established = true;
        self.floor = self.floor.max(head.revision);
        // Two reads may end in the other order.
        if version >= self.version {
            self.version = version;
            self.head = Some(head);
        }
    }

    fn on_head_failed(&mut self, call: Call, now: Instant, rng: &mut ChaCha8Rng) {
        self.ended(call);
        match call {
            Call::Watch => self.next_watch = now + jitter(RETRY_PAUSE, rng),
            Call::Read => self.read_failures += 1,
        }
    }

    fn ended(&mut self, call: Call) {
        match call {
            Call::Watch => self.watching = false,
            Call::Read => self.reading = false,
        }
    }

    /// Keeps a revision if it is whole and newer than all that the node holds.
    fn on_arrived(&mut self, origin: Origin, bundle: Option<Bundle>, now: Instant) -> bool {
        match bundle.map(|bundle| (bundle.open(), bundle)) {
            Some((Ok(snapshot), bundle)) if self.is_acceptable(&snapshot) => {
                self.peers.set_servers(&snapshot.set);
                self.pending.push_back(Replica {
                    snapshot: Arc::new(snapshot),
                    bundle: Arc::new(bundle),
                    origin,
                    since: now,
                });
                if self.pending.len() > MAX_PENDING {
                    self.pending.pop_front();
                }
                return true;
            }
            Some((Ok(snapshot), _)) if snapshot.revision() <= self.known() => {}
            Some(_) => self.rejected += 1,
            None => {}
        }
        match origin {
            Origin::Store => self.next_load = now + RETRY_PAUSE,
            Origin::Peer(peer) => {
                self.next_fetch = now + RETRY_PAUSE;
                self.peers.record_failure(&peer, now);
            }
            Origin::Publication => {}
        }
        false
    }

    /// Tells whether a revision is newer than all that the node holds and agrees with the head that
    /// the node has read.
    fn is_acceptable(&self, snapshot: &Snapshot) -> bool {
        snapshot.revision() > self.known()
            && self.head.as_ref().is_none_or(|head| {
                head.revision != snapshot.revision() || head.record.as_ref() == Some(&snapshot.hash)
            })
    }

    fn establish(&mut self, now: Instant) {
        if self.established || now < self.started + SETTLE {
            return;
        }
        if let Some(newest) = self.peers.quorum() {
            self.established = true;
            self.floor = self.floor.max(newest);
        }
    }

    fn ask_head(&mut self, now: Instant, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        let watch_due = !self.watching && now >= self.next_watch;
        let read_due = !self.reading && now >= self.next_read;
        if !watch_due && !read_due {
            return;
        }
        let watcher = self.peers.is_watcher();
        if watch_due && !watcher {
            self.next_watch = now + RETRY_PAUSE;
        } else if watch_due {
            self.watching = true;
            actions.push(Action::Watch {
                known: self.version,
                wait: WATCH_TIMEOUT,
            });
        }
        let outdated = self.is_outdated();
        let interval = match self.established && !outdated {
            true => READ_INTERVAL,
            false => START_READ_INTERVAL * (1 << self.read_failures.min(MAX_DOUBLINGS)),
        };
        if read_due {
            self.next_read = now + jitter(interval, rng);
            // A node without a majority can be confirmed only by its own reads.
            if watcher || outdated || !self.established || !self.peers.has_majority() {
                self.reading = true;
                actions.push(Action::Read);
            }
        }
    }

    /// Asks a node that holds a newer revision. The key-value service is asked as well by the nodes
    /// that watch the head, since nobody may hold its revision yet, and by others if nobody does.
    fn ask_revision(&mut self, now: Instant, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        let known = self.known();
        let source = self.peers.source(known, now, rng);
        let head = self.head.as_ref().filter(|head| head.revision > known);
        let load_due = !self.loading && now >= self.next_load;
        if let Some(hash) = head.and_then(|head| head.record.clone())
            && load_due
            && (source.is_none() || self.peers.is_watcher())
        {
            self.loading = true;
            actions.push(Action::Load(hash));
        }
        if let Some((member, revision)) = source
            && !self.fetching
            && now >= self.next_fetch
        {
            self.fetching = true;
            actions.push(Action::Fetch {
                peer: member.id.clone(),
                address: member.address,
                revision,
            });
        }
    }

    fn ask_peers(&mut self, now: Instant, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + jitter(COMPARE_INTERVAL, rng);
        match self.established {
            true => self.compare(1, actions, rng),
            false => {
                let silent = self.peers.unanswered().take(START_COMPARISONS);
                actions.extend(silent.map(compare));
            }
        }
    }

    fn compare(&self, count: usize, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        actions.extend(self.peers.sample(count, rng).into_iter().map(compare));
    }

    /// Tells whether the members that the node knows are enough to count holders among. A node that
    /// has just started or is cut off may know none of the others and must not count to 0.
    fn knows_peers(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        self.peers.has_enough_peers()
            || age >= FIRST_HEARTBEATS && self.peers.unheard() == 0
            || age >= UNHEARD_LIMIT
    }

    /// Puts the newest pending revision in force that enough other nodes hold.
    fn apply(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.established || !self.knows_peers(now) {
            return;
        }
        let ready = self.pending.iter().rposition(|held| {
            let revision = held.snapshot.revision();
            revision >= self.floor && self.peers.is_replicated(revision)
        });
        let Some(index) = ready else { return };
        let held = self.pending.drain(..=index).next_back();
        if let Some(held) = held {
            actions.push(Action::Apply(Arc::clone(&held.snapshot)));
            self.in_force = Some(held);
            self.applied = Some(now);
        }
    }
}

fn revision(held: Option<&Replica>) -> Revision {
    held.map(|held| held.snapshot.revision())
        .unwrap_or_default()
}

fn compare(member: &Member) -> Action {
    Action::Compare {
        peer: member.id.clone(),
        address: member.address,
    }
}

/// Returns three quarters to five quarters of a duration, so that nodes don't call in step.
fn jitter(duration: Duration, rng: &mut ChaCha8Rng) -> Duration {
    duration.mul_f64(rng.random_range(0.75..=1.25))
}
