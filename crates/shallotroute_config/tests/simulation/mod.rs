//! A simulated fleet: the state machines of adoption and publication over a simulated network, clock
//! and key-value service with faults.

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

/// When the last fault ends at the latest, in milliseconds.
pub(crate) const FAULTS_END: u64 = 12_000;

/// When the run ends: after the last delayed write and the last publication's time limit, and 6 s
/// more, within which a revision has to be in force everywhere (R9).
pub(crate) const END: u64 = 30_000;

const HEARTBEAT: u64 = 200;
const SUSPECTED: u64 = 1_000;
const DEAD: u64 = 3_000;
const TICK: u64 = 100;
const FAILURE: u64 = 100;

/// Something that will process at a time.
enum Occurrence {
    Start(usize),
    Tick(usize, u64),
    Heartbeat(usize, u64),
    Beat(usize, Member),
    Feed(usize, u64, Event),
    WatchEnd(u64),
    /// A call reaches the store or the peer that it asks.
    Arrive(usize, u64, Action, Instant, Report),
    Fault(Fault),
    Operator(operator::Occurrence),
}

/// A node, of which only the name outlives a restart.
struct Node {
    name: Name,
    zone: Name,
    incarnation: u64,
    adoption: Option<Adoption>,
    heard: BTreeMap<usize, (u64, Member)>,
}

struct Watch {
    identity: u64,
    node: usize,
    incarnation: u64,
    known: u64,
    asked: Instant,
}

/// The whole fleet.
pub(crate) struct Simulation {
    now: u64,
    zero: Instant,
    queue: BTreeMap<(u64, u64), Occurrence>,
    sequence: u64,
    rng: ChaCha8Rng,
    store: Store,
    nodes: Vec<Node>,
    watches: Vec<Watch>,
    partition: Option<fault::Partition>,
    cuts: u64,
    operations: Vec<Operation>,
    /// The highest revision that each node ever had in force.
    highest: Vec<Revision>,
    /// Broken promises.
    pub(crate) violations: Vec<String>,
}

impl Simulation {
    pub(crate) fn new(count: usize, faults: &[Fault], seed: u64) -> Self {
        let node = |index: usize| Node {
            name: format!("n{index}").into(),
            zone: format!("z{}", index % 3).into(),
            incarnation: 0,
            adoption: None,
            heard: BTreeMap::new(),
        };
        let mut simulation = Self {
            now: 0,
            zero: Instant::now(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            nodes: (0..count).map(node).collect(),
            watches: Vec::new(),
            partition: None,
            cuts: 0,
            operations: Vec::new(),
            highest: vec![Revision(0); count],
            violations: Vec::new(),
        };
        for index in 0..count {
            let delay = simulation.rng.random_range(0..TICK);
            simulation.after(delay, Occurrence::Start(index));
        }
        for fault in faults {
            simulation.after(fault.at(), Occurrence::Fault(fault.clone()));
        }
        simulation
    }

    /// Runs to the end and returns the violated invariants.
    pub(crate) fn run(mut self) -> Vec<String> {
        while let Some(((time, _), occurrence)) = self.queue.pop_first() {
            if time > END {
                break;
            }
            self.now = time;
            self.process(occurrence);
        }
        self.now = END;
        self.check_invariants();
        self.violations
    }

    fn after(&mut self, delay: u64, occurrence: Occurrence) {
        self.sequence += 1;
        let key = (self.now + delay, self.sequence);
        self.queue.insert(key, occurrence);
    }

    fn instant(&self) -> Instant {
        self.zero + Duration::from_millis(self.now)
    }

    fn latency(&mut self) -> u64 {
        self.rng.random_range(1..=15)
    }

    fn is_current(&self, node: usize, incarnation: u64) -> bool {
        let node = &self.nodes[node];
        node.incarnation == incarnation && node.adoption.is_some()
    }

    /// Tells whether two nodes can exchange messages.
    fn connected(&self, from: usize, to: usize) -> bool {
        self.partition
            .as_ref()
            .is_none_or(|cut| cut.is_small(from) == cut.is_small(to))
    }

    /// Tells whether the key-value service serves a node.
    fn served(&self, node: usize) -> bool {
        self.store.up
            && self
                .partition
                .as_ref()
                .is_none_or(|cut| cut.has_store(node))
    }

    fn process(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Start(node) => self.start(node),
            Occurrence::Tick(node, incarnation) => {
                if self.is_current(node, incarnation) {
                    let view = self.view(node);
                    self.feed(node, incarnation, Event::Members(Arc::new(view)));
                    self.after(TICK, Occurrence::Tick(node, incarnation));
                }
            }
            Occurrence::Heartbeat(node, incarnation) => self.heartbeat(node, incarnation),
            Occurrence::Beat(to, member) => self.beat(to, member),
            Occurrence::Feed(node, incarnation, event) => self.feed(node, incarnation, event),
            Occurrence::WatchEnd(identity) => self.end_watches(|watch| watch.identity == identity),
            Occurrence::Arrive(node, incarnation, action, asked, report) => {
                self.arrive(node, incarnation, action, asked, report);
            }
            Occurrence::Fault(fault) => self.fault(fault),
            Occurrence::Operator(occurrence) => self.operate(occurrence),
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
        node.heard.clear();
        let incarnation = node.incarnation;
        self.feed(index, incarnation, Event::Hosts(names));
        self.after(0, Occurrence::Tick(index, incarnation));
        self.after(0, Occurrence::Heartbeat(index, incarnation));
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

    fn heartbeat(&mut self, index: usize, incarnation: u64) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let member = self.member(index);
        for other in 0..self.nodes.len() {
            if other != index && self.connected(index, other) {
                let latency = self.latency();
                self.after(latency, Occurrence::Beat(other, member.clone()));
            }
        }
        self.after(HEARTBEAT, Occurrence::Heartbeat(index, incarnation));
    }

    fn beat(&mut self, to: usize, member: Member) {
        let from = self.nodes.iter().position(|node| node.name == member.id);
        let from = from.expect("the sender should be a node");
        let now = self.now;
        let heard = &mut self.nodes[to].heard;
        let newer = heard
            .get(&from)
            .is_none_or(|(_, last)| last.incarnation <= member.incarnation);
        if newer {
            heard.insert(from, (now, member));
        }
    }

    /// Returns the members as a node sees them; it does not know those that it never heard from.
    fn view(&self, index: usize) -> View {
        let node = &self.nodes[index];
        let mut members = vec![self.member(index)];
        for (time, member) in node.heard.values() {
            let state = match self.now - time {
                age if age < SUSPECTED => State::Alive,
                age if age < DEAD => State::Suspect,
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

    fn feed(&mut self, index: usize, incarnation: u64, event: Event) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let now = self.instant();
        let Some(adoption) = &mut self.nodes[index].adoption else {
            return;
        };
        for action in adoption.handle(event, now, &mut self.rng) {
            self.act(index, incarnation, action);
        }
    }

    fn reply(&mut self, node: usize, incarnation: u64, event: Event) {
        let latency = self.latency();
        self.after(latency, Occurrence::Feed(node, incarnation, event));
    }

    fn act(&mut self, node: usize, incarnation: u64, action: Action) {
        let asked = self.instant();
        let store = self.latency() + self.store.delay;
        let delay = match &action {
            Action::Apply(snapshot) => return self.applied(node, snapshot),
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
                let moved = self.store.version() != *known || !self.served(node);
                let delay = if moved { store } else { wait };
                return self.after(delay, Occurrence::WatchEnd(identity));
            }
            Action::Read | Action::Load(_) => store,
            Action::Fetch { .. } | Action::Compare { .. } => self.latency(),
        };
        if let Some(adoption) = &self.nodes[node].adoption {
            let report = adoption.report();
            let arrival = Occurrence::Arrive(node, incarnation, action, asked, report);
            self.after(delay, arrival);
        }
    }

    fn arrive(
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
                bundle: self.store.bundle(&hash).filter(|_| self.served(node)),
            },
            Action::Fetch { peer, revision, .. } => Event::Received {
                bundle: self.fetched(node, self.index(&peer), revision),
                origin: Origin::Peer(peer),
            },
            Action::Compare { peer, .. } => {
                let peer = self.index(&peer);
                if !self.connected(node, peer) {
                    return;
                }
                self.feed(peer, self.nodes[peer].incarnation, Event::Reported(own));
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

    fn fetched(&self, node: usize, peer: usize, revision: Revision) -> Option<Bundle> {
        let adoption = self.nodes[peer].adoption.as_ref()?;
        let held = adoption.newest()?;
        (self.connected(node, peer) && held.snapshot.revision() >= revision)
            .then(|| (*held.bundle).clone())
    }

    fn answer_head(&mut self, node: usize, incarnation: u64, call: Call, asked: Instant) {
        if !self.served(node) {
            let event = Event::HeadFailed(call);
            self.after(FAILURE, Occurrence::Feed(node, incarnation, event));
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

    /// Ends the watches that a write of the head has to wake.
    fn head_written(&mut self) {
        let version = self.store.version();
        self.end_watches(|watch| watch.known != version);
    }

    /// Checks what a node puts in force against the promises.
    fn applied(&mut self, index: usize, snapshot: &shallotroute_config::snapshot::Snapshot) {
        let revision = snapshot.revision();
        let name = &self.nodes[index].name;
        if revision < self.highest[index] {
            let highest = self.highest[index];
            self.violations.push(format!(
                "{} ms: {name} reverts from {highest} to {revision}",
                self.now
            ));
        }
        if self.store.hash_at(revision).as_deref() != Some(snapshot.hash.as_str()) {
            let message = format!("{} ms: {name} applies a foreign {revision}", self.now);
            self.violations.push(message);
        }
        self.highest[index] = revision.max(self.highest[index]);
    }

    /// Checks the invariants that hold at the end.
    fn check_invariants(&mut self) {
        let newest = self.store.head().1.revision;
        let now = self.instant();
        for node in &self.nodes {
            let in_force = node.adoption.as_ref().and_then(Adoption::in_force);
            let in_force = in_force.map(|held| held.snapshot.revision());
            let confirmed = node.adoption.as_ref().map(|state| state.is_confirmed(now));
            if in_force.unwrap_or_default() != newest || confirmed != Some(true) {
                self.violations.push(format!(
                    "{} ends with {in_force:?} instead of {newest}, confirmed {confirmed:?}",
                    node.name
                ));
            }
        }
        for operation in &self.operations {
            let listed = self.store.contains(&operation.hash);
            self.violations.extend(operation.check_invariants(listed));
        }
    }

    fn wall(&self) -> std::time::SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.now)
    }
}
