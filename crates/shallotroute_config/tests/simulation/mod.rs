//! A deterministic simulation of a fleet: the state machines of adoption and publication on a
//! simulated network, clock and key-value service with injected faults.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_config::{
    adoption::{Action, Adoption, Call, Event, Local, Origin, Report},
    bundle::Bundle,
};
use shallotroute_types::{
    member::{Member, State, View},
    name::Name,
    node::Incarnation,
    revision::Revision,
};

mod fault;
mod operator;
mod store;

pub(crate) use fault::{Fault, any_faults};
use operator::Operation;
use store::Store;

/// The time by which all faults have ended.
pub(crate) const FAULTS_END_MS: u64 = 12_000;

/// The end of the run: late enough for the last delayed write, the timeout of the last publication,
/// and the 6 s within which a revision must be in force on all nodes (requirement R9).
pub(crate) const END_MS: u64 = 30_000;

const HEARTBEAT_INTERVAL_MS: u64 = 200;
const SUSPECT_AFTER_MS: u64 = 1_000;
const DEAD_AFTER_MS: u64 = 3_000;
const TICK_INTERVAL_MS: u64 = 100;
const FAILURE_LATENCY_MS: u64 = 100;

/// A scheduled step of the simulation. A `usize` is the index of a node, the `u64` after it the
/// node's incarnation; steps for an earlier incarnation are dropped.
enum Occurrence {
    Start(usize),
    Tick(usize, u64),
    SendHeartbeats(usize, u64),
    HeartbeatReceived(usize, Member),
    Deliver(usize, u64, Event),
    /// The watch with this identity ends.
    WatchEnded(u64),
    /// A call reaches the key-value service or a peer; carries the start of the call and the report
    /// of the caller.
    CallArrived(usize, u64, Action, Instant, Report),
    Fault(Fault),
    Operator(operator::Occurrence),
}

/// A node; only its name and zone survive a restart.
struct Node {
    name: Name,
    zone: Name,
    incarnation: u64,
    /// `None` while the node is down.
    adoption: Option<Adoption>,
    /// The time and content of the last heartbeat of each other node.
    heartbeats: BTreeMap<usize, (u64, Member)>,
}

/// A long poll of the head that waits at the key-value service.
struct Watch {
    identity: u64,
    node: usize,
    incarnation: u64,
    known: u64,
    asked: Instant,
}

/// The state of the whole fleet.
pub(crate) struct Simulation {
    /// The simulated time since `started_at`, in milliseconds.
    now: u64,
    started_at: Instant,
    /// Scheduled steps by time and order of scheduling.
    queue: BTreeMap<(u64, u64), Occurrence>,
    sequence: u64,
    rng: ChaCha8Rng,
    store: Store,
    nodes: Vec<Node>,
    watches: Vec<Watch>,
    partition: Option<fault::Sides>,
    /// The number of partitions so far.
    partitions: u64,
    operations: Vec<Operation>,
    /// The newest revision that each node ever had in force, also before a restart.
    newest_applied: Vec<Revision>,
    /// Descriptions of violated invariants.
    pub(crate) violations: Vec<String>,
}

impl Simulation {
    pub(crate) fn new(count: usize, faults: &[Fault], seed: u64) -> Self {
        let node = |index: usize| Node {
            name: format!("n{index}").into(),
            zone: format!("z{}", index % 3).into(),
            incarnation: 0,
            adoption: None,
            heartbeats: BTreeMap::new(),
        };
        let mut simulation = Self {
            now: 0,
            started_at: Instant::now(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            nodes: (0..count).map(node).collect(),
            watches: Vec::new(),
            partition: None,
            partitions: 0,
            operations: Vec::new(),
            newest_applied: vec![Revision(0); count],
            violations: Vec::new(),
        };
        for index in 0..count {
            let delay = simulation.rng.random_range(0..TICK_INTERVAL_MS);
            simulation.schedule(delay, Occurrence::Start(index));
        }
        for fault in faults {
            simulation.schedule(fault.at(), Occurrence::Fault(fault.clone()));
        }
        simulation
    }

    /// Runs to the end and returns the violated invariants.
    pub(crate) fn run(mut self) -> Vec<String> {
        while let Some(((time, _), occurrence)) = self.queue.pop_first() {
            if time > END_MS {
                break;
            }
            self.now = time;
            self.process(occurrence);
        }
        self.now = END_MS;
        self.check_invariants();
        self.violations
    }

    fn schedule(&mut self, delay: u64, occurrence: Occurrence) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, occurrence);
    }

    fn instant(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now)
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..=15)
    }

    fn is_current(&self, node: usize, incarnation: u64) -> bool {
        let node = &self.nodes[node];
        node.incarnation == incarnation && node.adoption.is_some()
    }

    /// Returns whether two nodes can exchange messages.
    fn is_connected(&self, from: usize, to: usize) -> bool {
        self.partition
            .as_ref()
            .is_none_or(|sides| sides.is_small(from) == sides.is_small(to))
    }

    /// Returns whether a node can reach the key-value service and the service is up.
    fn is_served(&self, node: usize) -> bool {
        self.store.is_up
            && self
                .partition
                .as_ref()
                .is_none_or(|sides| sides.has_store(node))
    }

    fn process(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Start(node) => self.start(node),
            Occurrence::Tick(node, incarnation) => {
                if self.is_current(node, incarnation) {
                    let view = self.view(node);
                    self.deliver(node, incarnation, Event::Members(Arc::new(view)));
                    self.schedule(TICK_INTERVAL_MS, Occurrence::Tick(node, incarnation));
                }
            }
            Occurrence::SendHeartbeats(node, incarnation) => {
                self.send_heartbeats(node, incarnation)
            }
            Occurrence::HeartbeatReceived(to, member) => self.receive_heartbeat(to, member),
            Occurrence::Deliver(node, incarnation, event) => self.deliver(node, incarnation, event),
            Occurrence::WatchEnded(identity) => {
                self.end_watches(|watch| watch.identity == identity)
            }
            Occurrence::CallArrived(node, incarnation, action, asked, report) => {
                self.serve_call(node, incarnation, action, asked, report);
            }
            Occurrence::Fault(fault) => self.inject(fault),
            Occurrence::Operator(occurrence) => self.process_operation(occurrence),
        }
    }

    fn start(&mut self, index: usize) {
        let now = self.instant();
        let names = self.nodes.iter().map(|node| node.name.clone()).collect();
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let local = Local {
            id: node.name.clone(),
            zone: node.zone.clone(),
            incarnation: Incarnation(node.incarnation),
        };
        node.adoption = Some(Adoption::new(local, now));
        node.heartbeats.clear();
        let incarnation = node.incarnation;
        self.deliver(index, incarnation, Event::Hosts(names));
        self.schedule(0, Occurrence::Tick(index, incarnation));
        self.schedule(0, Occurrence::SendHeartbeats(index, incarnation));
    }

    fn stop(&mut self, index: usize) {
        self.nodes[index].adoption = None;
        self.watches.retain(|watch| watch.node != index);
    }

    fn member(&self, index: usize) -> Member {
        let node = &self.nodes[index];
        let report = node.adoption.as_ref().map(Adoption::report);
        Member {
            id: node.name.clone(),
            region: "r".into(),
            zone: node.zone.clone(),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(node.incarnation),
            state: State::Alive,
            known: report.as_ref().map_or(Revision(0), |report| report.known),
            in_force: report.map_or(Revision(0), |report| report.in_force),
        }
    }

    fn send_heartbeats(&mut self, index: usize, incarnation: u64) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let member = self.member(index);
        for other in 0..self.nodes.len() {
            if other != index && self.is_connected(index, other) {
                let latency = self.latency();
                self.schedule(
                    latency,
                    Occurrence::HeartbeatReceived(other, member.clone()),
                );
            }
        }
        self.schedule(
            HEARTBEAT_INTERVAL_MS,
            Occurrence::SendHeartbeats(index, incarnation),
        );
    }

    fn receive_heartbeat(&mut self, to: usize, member: Member) {
        let from = self.nodes.iter().position(|node| node.name == member.id);
        let from = from.expect("the sender should be a node");
        let now = self.now;
        let received = &mut self.nodes[to].heartbeats;
        let is_newer = received
            .get(&from)
            .is_none_or(|(_, last)| last.incarnation <= member.incarnation);
        if is_newer {
            received.insert(from, (now, member));
        }
    }

    /// Returns a node's view of the members, without nodes that sent it no heartbeat since its
    /// start.
    fn view(&self, index: usize) -> View {
        let node = &self.nodes[index];
        let mut members = vec![self.member(index)];
        for (time, member) in node.heartbeats.values() {
            let state = match self.now - time {
                age if age < SUSPECT_AFTER_MS => State::Alive,
                age if age < DEAD_AFTER_MS => State::Suspect,
                _ => State::Dead,
            };
            let member = member.clone();
            members.push(Member { state, ..member });
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let live = members
            .iter()
            .filter(|member| member.state != State::Dead)
            .count();
        View {
            local: Some(node.name.clone()),
            majority: live * 2 > self.nodes.len(),
            members,
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: Event) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let now = self.instant();
        let Some(adoption) = &mut self.nodes[index].adoption else {
            return;
        };
        for action in adoption.handle(event, now, &mut self.rng) {
            self.execute(index, incarnation, action);
        }
    }

    fn reply(&mut self, node: usize, incarnation: u64, event: Event) {
        let latency = self.latency();
        self.schedule(latency, Occurrence::Deliver(node, incarnation, event));
    }

    fn execute(&mut self, node: usize, incarnation: u64, action: Action) {
        let asked = self.instant();
        let store_latency = self.latency() + self.store.delay;
        let delay = match &action {
            Action::Apply(snapshot) => return self.check_applied(node, snapshot),
            Action::Watch { known, wait } => {
                let identity = self.sequence;
                self.watches.push(Watch {
                    identity,
                    node,
                    incarnation,
                    known: *known,
                    asked,
                });
                let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                let is_due = self.store.version() != *known || !self.is_served(node);
                let delay = if is_due { store_latency } else { wait };
                return self.schedule(delay, Occurrence::WatchEnded(identity));
            }
            Action::Read | Action::Load(_) => store_latency,
            Action::Fetch { .. } | Action::Compare { .. } => self.latency(),
        };
        if let Some(adoption) = &self.nodes[node].adoption {
            let report = adoption.report();
            let arrival = Occurrence::CallArrived(node, incarnation, action, asked, report);
            self.schedule(delay, arrival);
        }
    }

    fn serve_call(
        &mut self,
        node: usize,
        incarnation: u64,
        action: Action,
        asked: Instant,
        own: Report,
    ) {
        let event = match action {
            Action::Load(hash) => Event::Received {
                origin: Origin::Store,
                bundle: self.store.bundle(&hash).filter(|_| self.is_served(node)),
            },
            Action::Fetch { peer, revision, .. } => Event::Received {
                bundle: self.fetch(node, self.index(&peer), revision),
                origin: Origin::Peer(peer),
            },
            Action::Compare { peer, .. } => {
                let peer = self.index(&peer);
                if !self.is_connected(node, peer) {
                    return;
                }
                self.deliver(peer, self.nodes[peer].incarnation, Event::Reported(own));
                match &self.nodes[peer].adoption {
                    Some(adoption) => Event::Reported(adoption.report()),
                    None => return,
                }
            }
            _ => return self.answer_head(node, incarnation, Call::Read, asked),
        };
        self.reply(node, incarnation, event);
    }

    fn index(&self, name: &Name) -> usize {
        let index = self.nodes.iter().position(|node| node.name == *name);
        index.expect("an action should name a node")
    }

    fn fetch(&self, node: usize, peer: usize, revision: Revision) -> Option<Bundle> {
        let adoption = self.nodes[peer].adoption.as_ref()?;
        let replica = adoption.newest()?;
        (self.is_connected(node, peer) && replica.snapshot.revision() >= revision)
            .then(|| (*replica.bundle).clone())
    }

    fn answer_head(&mut self, node: usize, incarnation: u64, call: Call, asked: Instant) {
        if !self.is_served(node) {
            let event = Event::HeadFailed(call);
            self.schedule(
                FAILURE_LATENCY_MS,
                Occurrence::Deliver(node, incarnation, event),
            );
            return;
        }
        let (version, head) = self.store.head();
        let event = Event::Head {
            call,
            version,
            head,
            asked,
        };
        self.reply(node, incarnation, event);
    }

    fn end_watches(&mut self, ends: impl Fn(&Watch) -> bool) {
        let watches = std::mem::take(&mut self.watches);
        let (ended, waiting) = watches.into_iter().partition(ends);
        self.watches = waiting;
        let ended: Vec<Watch> = ended;
        for watch in ended {
            self.answer_head(watch.node, watch.incarnation, Call::Watch, watch.asked);
        }
    }

    /// Ends the watches whose known version of the head is outdated.
    fn wake_watches(&mut self) {
        let version = self.store.version();
        self.end_watches(|watch| watch.known != version);
    }

    /// Checks the invariants on a revision that a node puts in force: it is no earlier than any
    /// before, and it is part of the chain.
    fn check_applied(&mut self, index: usize, snapshot: &shallotroute_config::snapshot::Snapshot) {
        let revision = snapshot.revision();
        let name = &self.nodes[index].name;
        if revision < self.newest_applied[index] {
            let newest_applied = self.newest_applied[index];
            self.violations.push(format!(
                "{} ms: {name} reverts from {newest_applied} to {revision}",
                self.now
            ));
        }
        if self.store.hash_at(revision).as_deref() != Some(snapshot.hash.as_str()) {
            let message = format!(
                "{} ms: {name} applies {revision}, which is not in the chain",
                self.now
            );
            self.violations.push(message);
        }
        self.newest_applied[index] = revision.max(self.newest_applied[index]);
    }

    /// Checks the invariants that hold at the end of the run.
    fn check_invariants(&mut self) {
        let newest = self.store.head().1.revision;
        let now = self.instant();
        for node in &self.nodes {
            let in_force = node.adoption.as_ref().and_then(Adoption::in_force);
            let in_force = in_force.map(|replica| replica.snapshot.revision());
            let confirmed = node.adoption.as_ref().map(|state| state.is_confirmed(now));
            if in_force.unwrap_or_default() != newest || confirmed != Some(true) {
                self.violations.push(format!(
                    "{} ends with {in_force:?} instead of {newest}, confirmed {confirmed:?}",
                    node.name
                ));
            }
        }
        for operation in &self.operations {
            let is_in_chain = self.store.contains(&operation.hash);
            self.violations.extend(operation.contradiction(is_in_chain));
        }
    }

    fn wall_clock(&self) -> std::time::SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.now)
    }
}
