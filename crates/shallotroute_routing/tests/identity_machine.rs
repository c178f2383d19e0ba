//! A non-idempotent request runs at most once, and "not run" is true, whatever is lost, repeated,
//! late or restarted. The oracle only counts the runs of each identity.

use std::{
    collections::HashMap,
    time::{Duration, Instant, SystemTime},
};

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use shallotroute_routing::{
    identity::{Begin, Finish, Identity, Reply, SETTLE_TIME, Store},
    outcome::{Evidence, Refusal},
    quorum::{Decision, Round},
};
use shallotroute_types::{name::Name, outcome::Outcome};
use uuid::Uuid;

const NODES: usize = 3;

/// The clocks of the nodes differ by less than the margin.
const CLOCK_OFFSETS: [Duration; NODES] = [
    Duration::ZERO,
    Duration::from_millis(900),
    Duration::from_millis(1_800),
];

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a request with key number `key`; a new key carries the current time.
    Request {
        node: usize,
        key: usize,
    },
    Deliver(usize),
    Repeat(usize),
    Drop(usize),
    /// All messages in flight arrive, and the replies to them.
    Flush,
    /// Messages from and to one node are lost from now on.
    Cut(Option<usize>),
    /// A coordinator decides; if it sends, the attempt ends in this way.
    Decide(usize, Fate),
    Restart(usize),
    Fetch(usize),
    Pass(Duration),
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    NotSent,
    Refused,
    Whole,
    RanLost,
    NotRanLost,
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
        let fate = prop_oneof![
            1 => Just(Fate::NotSent),
            1 => Just(Fate::Refused),
            3 => Just(Fate::Whole),
            2 => Just(Fate::RanLost),
            1 => Just(Fate::NotRanLost),
        ];
        let pass = prop_oneof![
            4 => Just(20),
            2 => Just(400),
            2 => Just(2_500),
            1 => Just(650_000),
        ];
        prop_oneof![
            4 => (0..NODES, 0..2_usize).prop_map(|(node, key)| Event::Request { node, key }),
            4 => Just(Event::Flush),
            3 => proptest::option::of(0..NODES).prop_map(Event::Cut),
            12 => (0..16_usize).prop_map(Event::Deliver),
            2 => (0..64_usize).prop_map(Event::Repeat),
            2 => (0..64_usize).prop_map(Event::Drop),
            8 => (0..8_usize, fate).prop_map(|(run, fate)| Event::Decide(run, fate)),
            2 => (0..NODES).prop_map(Event::Restart),
            2 => (0..NODES).prop_map(Event::Fetch),
            3 => pass.prop_map(|millis| Event::Pass(Duration::from_millis(millis))),
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

struct Run {
    node: usize,
    identity: Identity,
    token: Uuid,
    round: Round,
}

struct World {
    start: Instant,
    elapsed: Duration,
    stores: Vec<Store>,
    restarted: Vec<Duration>,
    network: Vec<Envelope>,
    runs: Vec<Run>,
    keys: HashMap<usize, Identity>,
    tokens: u128,
    ran: HashMap<[u8; 32], u32>,
    cut: Option<usize>,
}

impl World {
    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn wall(&self, node: usize) -> SystemTime {
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
        let created = self.wall(1);
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
        self.runs.push(Run {
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
        if self.cut == Some(node) {
            return;
        }
        let now = self.wall(node);
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
                if let Some(run) = self.runs.iter_mut().find(|run| run.token == token) {
                    run.round.reply(node, Some(reply));
                }
            }
        }
    }

    fn decide(&mut self, index: usize, fate: Fate) {
        let Some(decision) = self.runs[index].round.decide(self.now()) else {
            return;
        };
        let run = self.runs.swap_remove(index);
        let ran = self.ran.entry(run.identity.hash).or_default();
        let outcome = match decision {
            Decision::Send => {
                let (evidence, runs) = match fate {
                    Fate::NotSent => (Evidence::NotSent, 0),
                    Fate::Refused => (Evidence::Refused(Refusal::Leaving), 0),
                    Fate::Whole => (Evidence::Whole, 1),
                    Fate::RanLost => (Evidence::NoResponse, 1),
                    Fate::NotRanLost => (Evidence::TimedOut, 0),
                };
                *ran += runs;
                evidence.outcome()
            }
            Decision::Replay(_) => Outcome::Ran,
            Decision::Refuse(refusal) => refusal.outcome(),
        };
        assert!(*ran <= 1, "the request ran {ran} times");
        match outcome {
            Outcome::NotRun => assert_eq!(*ran, 0, "the caller was told that it did not run"),
            Outcome::Ran => assert_eq!(*ran, 1, "the caller was told that it ran"),
            Outcome::Unknown => {}
        }
        let sent = decision == Decision::Send;
        let finish = Finish {
            identity: run.identity,
            token: run.token,
            outcome: if sent { outcome } else { Outcome::NotRun },
            response: None,
        };
        self.broadcast(run.token, &Message::Finish(finish));
    }

    fn restart(&mut self, node: usize) {
        self.stores[node] = Store::new(self.wall(node));
        self.restarted[node] = self.elapsed;
        self.runs.retain(|run| run.node != node);
    }

    fn fetch(&mut self, node: usize) {
        if self.elapsed < self.restarted[node] + SETTLE_TIME || self.cut.is_some() {
            return;
        }
        let others = (0..NODES).filter(|other| *other != node);
        let exports = others.map(|other| self.stores[other].export()).collect();
        let now = self.wall(node);
        self.stores[node].merge(exports, 0, |_| true, now);
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test(_state: &()) -> World {
        let mut world = World {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            stores: Vec::new(),
            restarted: vec![Duration::ZERO; NODES],
            network: Vec::new(),
            runs: Vec::new(),
            keys: HashMap::new(),
            tokens: 0,
            ran: HashMap::new(),
            cut: None,
        };
        for node in 0..NODES {
            world.stores.push(Store::new(world.wall(node)));
        }
        world.elapsed = Duration::from_secs(10);
        (0..NODES).for_each(|node| world.fetch(node));
        world
    }

    fn apply(mut world: World, _state: &(), event: Event) -> World {
        let (messages, runs) = (world.network.len(), world.runs.len());
        match event {
            Event::Request { node, key } => world.request(node, key),
            Event::Deliver(index) if messages > 0 => {
                let envelope = world.network.remove(index % messages);
                world.deliver(envelope);
            }
            Event::Repeat(index) if messages > 0 => {
                let envelope = world.network[index % messages].clone();
                world.network.push(envelope);
            }
            Event::Drop(index) if messages > 0 => drop(world.network.remove(index % messages)),
            Event::Flush => {
                while !world.network.is_empty() {
                    let envelope = world.network.remove(0);
                    world.deliver(envelope);
                }
            }
            Event::Cut(node) => world.cut = node,
            Event::Decide(index, fate) if runs > 0 => world.decide(index % runs, fate),
            Event::Restart(node) => world.restart(node),
            Event::Fetch(node) => world.fetch(node),
            Event::Pass(time) => world.elapsed += time,
            Event::Deliver(_) | Event::Repeat(_) | Event::Drop(_) | Event::Decide(..) => {}
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a second run of a non-idempotent request and a false "not run".
    #[test]
    fn a_request_runs_at_most_once(sequential 1..120 => Machine);
}
