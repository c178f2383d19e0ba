//! The state machine by which a node discovers revisions, fetches them and puts them in force.
//!
//! Nodes persist nothing, yet a restarted node must not return to an earlier revision. Two rules
//! ensure this: a revision comes into force only when enough other nodes hold a replica of it, and
//! a starting node applies nothing before it has read the head or received reports from a quorum.

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

/// The long-poll timeout of a watch of the head.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a watch or read of the head confirms the configuration.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(6);

/// The interval between a watcher's reads of the head, which find changes that a lost watch missed.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// The initial interval between reads of the head by a node that is not established. It doubles
/// after each failure, so that a fleet that restarts during an outage does not overload the
/// key-value service.
const STARTUP_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of doublings of [`STARTUP_READ_INTERVAL`].
const MAX_READ_DOUBLINGS: u32 = 3;

/// The interval between exchanges of reports with a random member (anti-entropy).
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of members with which a node exchanges reports as soon as it receives a revision.
const FANOUT: usize = 3;

/// The number of members with which a starting node exchanges reports at once; bounds its
/// connections in a large fleet.
const STARTUP_FANOUT: usize = 64;

/// How long a starting node collects reports before it uses them. Longer than the 3 s after which
/// the other nodes declare a silent node dead, so none of them still counts the replicas that this
/// node held before its restart.
const REPORT_COLLECTION_TIME: Duration = Duration::from_secs(4);

/// How long a starting node waits for heartbeats (five periods) before it regards the members that
/// it knows as complete.
const FIRST_HEARTBEATS_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a starting node waits for listed hosts that send no heartbeat. The host list lags by up
/// to 30 s, so such a host may be gone, or may be a backend server that is in no revision yet.
const SILENT_HOSTS_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay after a failed watch, load or fetch.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum number of revisions that wait to come into force. A node that retained only the
/// newest one would starve during a burst of publications, since no other node holds that one yet.
const MAX_PENDING: usize = 16;

/// The state machine of one node. The driver feeds it [`Event`]s and executes the [`Action`]s that
/// it returns.
#[derive(Debug)]
pub struct Adoption {
    local: Local,
    peers: Peers,
    /// Revisions newer than the one in force, oldest first.
    pending: VecDeque<Replica>,
    in_force: Option<Replica>,
    applied_at: Option<Instant>,
    head: Option<Head>,
    head_version: u64,
    is_established: bool,
    /// The lowest revision that may come into force.
    min_revision: Revision,
    started_at: Instant,
    resumed_at: Option<Instant>,
    /// The start of the latest successful watch or read of the head.
    read_at: Option<Instant>,
    read_failures: u32,
    is_watching: bool,
    is_reading: bool,
    is_loading: bool,
    is_fetching: bool,
    next_watch: Instant,
    next_read: Instant,
    next_load: Instant,
    next_fetch: Instant,
    next_compare: Instant,
    rejected_revisions: u64,
}

impl Adoption {
    /// Creates the state of a node that starts at `now`.
    pub fn new(local: Local, now: Instant) -> Self {
        Self {
            peers: Peers::new(local.clone()),
            local,
            pending: VecDeque::new(),
            in_force: None,
            applied_at: None,
            head: None,
            head_version: 0,
            is_established: false,
            min_revision: Revision::default(),
            started_at: now,
            resumed_at: None,
            read_at: None,
            read_failures: 0,
            is_watching: false,
            is_reading: false,
            is_loading: false,
            is_fetching: false,
            next_watch: now,
            next_read: now,
            next_load: now,
            next_fetch: now,
            next_compare: now,
            rejected_revisions: 0,
        }
    }

    /// Processes an event and returns the actions to execute; they may run concurrently.
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
                    Origin::Store => self.is_loading = false,
                    Origin::Peer(_) | Origin::Publication => self.is_fetching = false,
                }
                if self.on_received(origin, bundle, now) {
                    self.compare_with_random(FANOUT, &mut actions, rng);
                }
            }
            Event::Published(bundle) => {
                if self.on_received(Origin::Publication, Some(bundle), now) {
                    self.compare_with_random(FANOUT, &mut actions, rng);
                }
            }
            Event::Reported(report) => drop(self.peers.record_report(report)),
            Event::Resumed => self.on_resumed(now),
            Event::Tick => {}
        }
        self.establish(now);
        self.request_head(now, &mut actions, rng);
        self.request_revision(now, &mut actions, rng);
        self.exchange_reports(now, &mut actions, rng);
        self.apply(now, &mut actions);
        actions
    }

    /// Returns the number of the newest revision that the node holds; 0 if it holds none.
    pub fn known(&self) -> Revision {
        self.newest()
            .map(|replica| replica.snapshot.revision())
            .unwrap_or_default()
    }

    /// Returns the newest revision that the node holds, whether or not it is in force.
    pub fn newest(&self) -> Option<&Replica> {
        self.pending.back().or(self.in_force.as_ref())
    }

    /// Returns the part with this hash if any revision that the node holds contains it.
    pub fn part(&self, hash: &str) -> Option<Part> {
        let replicas = self.pending.iter().rev().chain(&self.in_force);
        replicas.into_iter().find_map(|replica| replica.part(hash))
    }

    /// Returns the revision in force; `None` until the first one is applied.
    pub fn in_force(&self) -> Option<&Replica> {
        self.in_force.as_ref()
    }

    /// Returns the time at which the node applied the revision in force.
    pub fn applied_at(&self) -> Option<Instant> {
        self.applied_at
    }

    /// Returns the newest head that the node has read from the key-value service itself.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the number of revisions that were rejected since the start of the process, for a
    /// wrong hash, malformed content or a contradiction to the head.
    pub fn rejected_revisions(&self) -> u64 {
        self.rejected_revisions
    }

    /// Returns whether the node is established: it has learned, from the head or a quorum, of every
    /// revision that it may have had in force before its restart.
    pub fn is_established(&self) -> bool {
        self.is_established
    }

    /// Returns whether the node is one of those that watch the head for its availability zone.
    pub fn is_watcher(&self) -> bool {
        self.peers.is_watcher()
    }

    /// Returns the age of the latest confirmation that the configuration is recent; `None` if there
    /// was none.
    ///
    /// Contact with a majority of the members confirms it continuously; otherwise its age is the
    /// time since the latest watch or read of the head.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        if !self.is_established {
            return None;
        }
        match self.peers.has_majority() {
            true => Some(Duration::ZERO),
            false => self.read_at.map(|read| now.saturating_duration_since(read)),
        }
    }

    /// Returns the latest time as of which the revision in force was certainly the newest one: the
    /// start of the latest watch or read of the head. Returns `None` before the first one and while
    /// a newer revision is known.
    pub fn current_as_of(&self) -> Option<Instant> {
        self.read_at
            .filter(|_| revision(self.in_force.as_ref()) >= self.min_revision)
    }

    /// Returns whether the configuration is recent enough for new work.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmation_age(now)
            .is_some_and(|age| age < CONFIRMATION_TTL)
    }

    /// Returns the report for other nodes.
    pub fn report(&self) -> Report {
        Report {
            node: self.local.id.clone(),
            incarnation: self.local.incarnation,
            known: self.known(),
            in_force: revision(self.in_force.as_ref()),
            established: self.is_established && self.known() >= self.min_revision,
        }
    }

    /// Schedules a read of the head at once, also if one is in progress: the response to that one
    /// may have been sent before the pause.
    fn on_resumed(&mut self, now: Instant) {
        self.resumed_at = Some(now);
        self.is_reading = false;
        self.read_failures = 0;
        self.next_read = now;
    }

    /// Returns whether the process resumed and has not read the head since.
    fn is_outdated(&self) -> bool {
        self.resumed_at.is_some() && self.read_at < self.resumed_at
    }

    fn on_head(&mut self, call: Call, version: u64, head: Head, asked: Instant) {
        self.end_call(call);
        self.read_at = self.read_at.max(Some(asked));
        self.read_failures = 0;
        self.is_established = true;
        self.min_revision = self.min_revision.max(head.revision);
        // Calls may end out of order.
        if version >= self.head_version {
            self.head_version = version;
            self.head = Some(head);
        }
    }

    fn on_head_failed(&mut self, call: Call, now: Instant, rng: &mut ChaCha8Rng) {
        self.end_call(call);
        match call {
            Call::Watch => self.next_watch = now + jitter(RETRY_DELAY, rng),
            Call::Read => self.read_failures += 1,
        }
    }

    fn end_call(&mut self, call: Call) {
        match call {
            Call::Watch => self.is_watching = false,
            Call::Read => self.is_reading = false,
        }
    }

    /// Stores a revision if it is valid and newer than all that the node holds; returns whether it
    /// was stored.
    fn on_received(&mut self, origin: Origin, bundle: Option<Bundle>, now: Instant) -> bool {
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
            Some(_) => self.rejected_revisions += 1,
            None => {}
        }
        match origin {
            Origin::Store => self.next_load = now + RETRY_DELAY,
            Origin::Peer(peer) => {
                self.next_fetch = now + RETRY_DELAY;
                self.peers.record_failure(&peer, now);
            }
            Origin::Publication => {}
        }
        false
    }

    /// Returns whether a revision is newer than all that the node holds and consistent with the
    /// head that the node has read.
    fn is_acceptable(&self, snapshot: &Snapshot) -> bool {
        snapshot.revision() > self.known()
            && self.head.as_ref().is_none_or(|head| {
                head.revision != snapshot.revision() || head.record.as_ref() == Some(&snapshot.hash)
            })
    }

    /// Becomes established by the reports of a quorum, when the head can't be read.
    fn establish(&mut self, now: Instant) {
        if self.is_established || now < self.started_at + REPORT_COLLECTION_TIME {
            return;
        }
        if let Some(newest) = self.peers.newest_by_quorum() {
            self.is_established = true;
            self.min_revision = self.min_revision.max(newest);
        }
    }

    fn request_head(&mut self, now: Instant, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        let is_watch_due = !self.is_watching && now >= self.next_watch;
        let is_read_due = !self.is_reading && now >= self.next_read;
        if !is_watch_due && !is_read_due {
            return;
        }
        let is_watcher = self.peers.is_watcher();
        if is_watch_due && !is_watcher {
            self.next_watch = now + RETRY_DELAY;
        } else if is_watch_due {
            self.is_watching = true;
            actions.push(Action::Watch {
                known: self.head_version,
                wait: WATCH_TIMEOUT,
            });
        }
        let is_outdated = self.is_outdated();
        let interval = match self.is_established && !is_outdated {
            true => READ_INTERVAL,
            false => STARTUP_READ_INTERVAL * (1 << self.read_failures.min(MAX_READ_DOUBLINGS)),
        };
        if is_read_due {
            self.next_read = now + jitter(interval, rng);
            // Outside the majority, only the node's own reads confirm its configuration.
            if is_watcher || is_outdated || !self.is_established || !self.peers.has_majority() {
                self.is_reading = true;
                actions.push(Action::Read);
            }
        }
    }

    /// Fetches a newer revision from a peer that holds it. Watchers also load it from the key-value
    /// service, since no peer may hold it yet; other nodes do so only if no peer holds it.
    fn request_revision(&mut self, now: Instant, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        let known = self.known();
        let source = self.peers.choose_source(known, now, rng);
        let head = self.head.as_ref().filter(|head| head.revision > known);
        let is_load_due = !self.is_loading && now >= self.next_load;
        if let Some(hash) = head.and_then(|head| head.record.clone())
            && is_load_due
            && (source.is_none() || self.peers.is_watcher())
        {
            self.is_loading = true;
            actions.push(Action::Load(hash));
        }
        if let Some((member, revision)) = source
            && !self.is_fetching
            && now >= self.next_fetch
        {
            self.is_fetching = true;
            actions.push(Action::Fetch {
                peer: member.id.clone(),
                address: member.address,
                revision,
            });
        }
    }

    fn exchange_reports(&mut self, now: Instant, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + jitter(COMPARE_INTERVAL, rng);
        match self.is_established {
            true => self.compare_with_random(1, actions, rng),
            false => {
                let not_established = self.peers.not_established().take(STARTUP_FANOUT);
                actions.extend(not_established.map(compare));
            }
        }
    }

    fn compare_with_random(&self, count: usize, actions: &mut Vec<Action>, rng: &mut ChaCha8Rng) {
        actions.extend(self.peers.sample(count, rng).into_iter().map(compare));
    }

    /// Returns whether the node knows enough of its peers to derive the required number of replicas
    /// from their count. A node that has just started or is partitioned may know none and must not
    /// conclude that no replica is required.
    fn knows_peers(&self, now: Instant) -> bool {
        let uptime = now.saturating_duration_since(self.started_at);
        self.peers.has_enough_peers()
            || uptime >= FIRST_HEARTBEATS_TIMEOUT && self.peers.silent_hosts() == 0
            || uptime >= SILENT_HOSTS_TIMEOUT
    }

    /// Puts the newest pending revision in force that enough other nodes hold.
    fn apply(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_established || !self.knows_peers(now) {
            return;
        }
        let ready = self.pending.iter().rposition(|replica| {
            let revision = replica.snapshot.revision();
            revision >= self.min_revision && self.peers.is_replicated(revision)
        });
        let Some(index) = ready else { return };
        let replica = self.pending.drain(..=index).next_back();
        if let Some(replica) = replica {
            actions.push(Action::Apply(Arc::clone(&replica.snapshot)));
            self.in_force = Some(replica);
            self.applied_at = Some(now);
        }
    }
}

/// Returns the revision of a replica; 0 if there is none.
fn revision(replica: Option<&Replica>) -> Revision {
    replica
        .map(|replica| replica.snapshot.revision())
        .unwrap_or_default()
}

fn compare(member: &Member) -> Action {
    Action::Compare {
        peer: member.id.clone(),
        address: member.address,
    }
}

/// Returns a random duration within 25% of `duration`, so that the nodes' calls spread out.
fn jitter(duration: Duration, rng: &mut ChaCha8Rng) -> Duration {
    duration.mul_f64(rng.random_range(0.75..=1.25))
}
