//! A state machine test of the idempotency records.
//!
//! Messages are lost, repeated and delayed, nodes restart and time passes. A non-idempotent request must run
//! at most once, and a caller must be told "not run" only when it did not run. The oracle only counts the
//! runs of each identity.

use std::{
    collections::HashMap,
    time::{Duration, Instant, SystemTime},
};

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use shallotroute_routing::{
    idempotency::{Begin, Finish, Identity, Reply, SETTLE_TIME, Store},
    outcome::{Evidence, Refusal},
    quorum::{Decision, Round},
};
use shallotroute_types::{name::Name, outcome::Outcome};
use uuid::Uuid;

const NODES: usize = 3;

/// The nodes' clocks, which differ by less than [`shallotroute_routing::idempotency::MAX_CLOCK_SKEW`].
const CLOCK_OFFSETS: [Duration; NODES] = [
    Duration::ZERO,
    Duration::from_millis(900),
    Duration::from_millis(1_800),
];

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a request with key number `key`; a new key carries the current time.
    Request { node: usize, key: usize },
    /// A message in flight arrives.
    Deliver(usize),
    /// A message in flight is duplicated.
    Repeat(usize),
    /// A message in flight is lost.
    Drop(usize),
    /// All messages in flight arrive, and the replies to them.
    Flush,
    /// Messages from and to one node are lost until the next such event.
    Isolate(Option<usize>),
    /// A coordinator decides; if it sends the request, the attempt has this result.
    Decide(usize, AttemptResult),
    /// A node restarts without its records and its requests in progress.
    Restart(usize),
    /// A node fetches the records of the others.
    Fetch(usize),
    /// Time passes.
    Advance(Duration),
}

#[derive(Clone, Copy, Debug)]
enum AttemptResult {
    NotSent,
    Refused,
    Complete,
    /// The request ran and its response was lost.
    RanResponseLost,
    /// The request was lost before it ran, without evidence of that.
    RequestLost,
}

#[derive(Clone, Debug)]
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Event> {
        let result = prop_oneof![
            1 => Just(AttemptResult::NotSent),
            1 => Just(AttemptResult::Refused),
            3 => Just(AttemptResult::Complete),
            2 => Just(AttemptResult::RanResponseLost),
            1 => Just(AttemptResult::RequestLost),
        ];
        let advance = prop_oneof![
            4 => Just(20),
            2 => Just(400),
            2 => Just(2_500),
            1 => Just(650_000),
        ];
        prop_oneof![
            4 => (0..NODES, 0..2_usize).prop_map(|(node, key)| Event::Request { node, key }),
            4 => Just(Event::Flush),
            3 => proptest::option::of(0..NODES).prop_map(Event::Isolate),
            12 => (0..16_usize).prop_map(Event::Deliver),
            2 => (0..64_usize).prop_map(Event::Repeat),
            2 => (0..64_usize).prop_map(Event::Drop),
            8 => (0..8_usize, result).prop_map(|(call, result)| Event::Decide(call, result)),
            2 => (0..NODES).prop_map(Event::Restart),
            2 => (0..NODES).prop_map(Event::Fetch),
            3 => advance.prop_map(|millis| Event::Advance(Duration::from_millis(millis))),
        ]
        .boxed()
    }

    fn apply(state: (), _event: &Event) {
        state
    }
}

#[derive(Clone, Debug)]
enum Message {
    Begin(Begin),
    Reply(Reply),
    Finish(Finish),
}

#[derive(Clone, Debug)]
struct Envelope {
    node: usize,
    token: Uuid,
    message: Message,
}

/// A request in progress at its coordinator.
struct Call {
    node: usize,
    identity: Identity,
    token: Uuid,
    round: Round,
}

struct Cluster {
    start: Instant,
    elapsed: Duration,
    stores: Vec<Store>,
    /// When each node last started, as elapsed time.
    restarted: Vec<Duration>,
    network: Vec<Envelope>,
    calls: Vec<Call>,
    keys: HashMap<usize, Identity>,
    tokens: u128,
    /// The number of runs by identity.
    run_counts: HashMap<[u8; 32], u32>,
    /// The node whose messages are lost.
    isolated: Option<usize>,
}

impl Cluster {
    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn wall_clock(&self, node: usize) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30) + self.elapsed + CLOCK_OFFSETS[node]
    }

    fn broadcast(&mut self, token: Uuid, message: &Message) {
        for node in 0..NODES {
            let message = message.clone();
            self.network.push(Envelope {
                node,
                token,
                message,
            });
        }
    }

    fn request(&mut self, node: usize, key: usize) {
        let created = self.wall_clock(1);
        let identity = *self.keys.entry(key).or_insert_with(|| {
            let since = created.duration_since(SystemTime::UNIX_EPOCH).unwrap();
            let millis = u64::try_from(since.as_millis()).unwrap();
            let mut random = [0; 10];
            random[9] = u8::try_from(key).unwrap();
            let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
            Identity::new(&Name::from("desk"), uuid.to_string().as_bytes())
        });
        self.tokens += 1;
        let token = Uuid::from_u128(self.tokens);
        let lifetime = Duration::from_secs(5);
        let begin = Begin {
            identity,
            token,
            lifetime,
        };
        self.broadcast(token, &Message::Begin(begin));
        let round = Round::new(NODES, self.now());
        self.calls.push(Call {
            node,
            identity,
            token,
            round,
        });
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            node,
            token,
            message,
        } = envelope;
        if self.isolated == Some(node) {
            return;
        }
        let now = self.wall_clock(node);
        match message {
            Message::Begin(begin) => {
                let message = Message::Reply(self.stores[node].begin(&begin, now));
                self.network.push(Envelope {
                    node,
                    token,
                    message,
                });
            }
            Message::Finish(finish) => self.stores[node].finish(finish, now),
            Message::Reply(reply) => {
                if let Some(call) = self.calls.iter_mut().find(|call| call.token == token) {
                    call.round.record_reply(node, Some(reply));
                }
            }
        }
    }

    fn decide(&mut self, index: usize, result: AttemptResult) {
        let Some(decision) = self.calls[index].round.decide(self.now()) else {
            return;
        };
        let call = self.calls.swap_remove(index);
        let run_count = self.run_counts.entry(call.identity.hash).or_default();
        let outcome = match decision {
            Decision::Send => {
                let (evidence, runs) = match result {
                    AttemptResult::NotSent => (Evidence::NotSent, 0),
                    AttemptResult::Refused => (Evidence::Refused(Refusal::Leaving), 0),
                    AttemptResult::Complete => (Evidence::Complete, 1),
                    AttemptResult::RanResponseLost => (Evidence::NoResponse, 1),
                    AttemptResult::RequestLost => (Evidence::TimedOut, 0),
                };
                *run_count += runs;
                evidence.outcome()
            }
            Decision::Replay(_) => Outcome::Ran,
            Decision::Refuse(refusal) => refusal.outcome(),
        };
        assert!(*run_count <= 1, "the request ran {run_count} times");
        match outcome {
            Outcome::NotRun => assert_eq!(*run_count, 0, "the caller was told that it did not run"),
            Outcome::Ran => assert_eq!(*run_count, 1, "the caller was told that it ran"),
            Outcome::Unknown => {}
        }
        let sent = decision == Decision::Send;
        let finish = Finish {
            identity: call.identity,
            token: call.token,
            outcome: if sent { outcome } else { Outcome::NotRun },
            response: None,
        };
        self.broadcast(call.token, &Message::Finish(finish));
    }

    fn restart(&mut self, node: usize) {
        self.stores[node] = Store::new(self.wall_clock(node));
        self.restarted[node] = self.elapsed;
        self.calls.retain(|call| call.node != node);
    }

    fn fetch(&mut self, node: usize) {
        if self.elapsed < self.restarted[node] + SETTLE_TIME || self.isolated.is_some() {
            return;
        }
        let others = (0..NODES).filter(|other| *other != node);
        let exports = others.map(|other| self.stores[other].export()).collect();
        let now = self.wall_clock(node);
        self.stores[node].merge(exports, 0, |_| true, now);
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = Cluster;
    type Reference = Oracle;

    fn init_test(_state: &()) -> Cluster {
        let mut cluster = Cluster {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            stores: Vec::new(),
            restarted: vec![Duration::ZERO; NODES],
            network: Vec::new(),
            calls: Vec::new(),
            keys: HashMap::new(),
            tokens: 0,
            run_counts: HashMap::new(),
            isolated: None,
        };
        for node in 0..NODES {
            cluster.stores.push(Store::new(cluster.wall_clock(node)));
        }
        cluster.elapsed = Duration::from_secs(10);
        (0..NODES).for_each(|node| cluster.fetch(node));
        cluster
    }

    fn apply(mut cluster: Cluster, _state: &(), event: Event) -> Cluster {
        let (messages, call_count) = (cluster.network.len(), cluster.calls.len());
        match event {
            Event::Request { node, key } => cluster.request(node, key),
            Event::Deliver(index) if messages > 0 => {
                let envelope = cluster.network.remove(index % messages);
                cluster.deliver(envelope);
            }
            Event::Repeat(index) if messages > 0 => {
                let envelope = cluster.network[index % messages].clone();
                cluster.network.push(envelope);
            }
            Event::Drop(index) if messages > 0 => drop(cluster.network.remove(index % messages)),
            Event::Flush => {
                while !cluster.network.is_empty() {
                    let envelope = cluster.network.remove(0);
                    cluster.deliver(envelope);
                }
            }
            Event::Isolate(node) => cluster.isolated = node,
            Event::Decide(index, result) if call_count > 0 => {
                cluster.decide(index % call_count, result)
            }
            Event::Restart(node) => cluster.restart(node),
            Event::Fetch(node) => cluster.fetch(node),
            Event::Advance(time) => cluster.elapsed += time,
            Event::Deliver(_) | Event::Repeat(_) | Event::Drop(_) | Event::Decide(..) => {}
        }
        cluster
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a second run of a non-idempotent request, and against a caller that is told "not run"
    /// although the request ran.
    #[test]
    fn a_request_runs_at_most_once(sequential 1..120 => Machine);
}
