//! A scoring service that is short of capacity: thirteen of its fourteen servers name limits, and the
//! last one rejects what it can't run. Only the decisions run: jobs, balancers, permits and retries.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_batch::{
    job::{Action, Choice, Event, GenerationEnd, Job, Limits, ScoringEnd},
    record::{Item, Scorer, Specification},
};
use shallotroute_fleet::{
    admission::{
        Policy, Request,
        governor::{self, Admission, End, Governor, Source},
    },
    limit::{Class, Divider, Rate, Reply, Role, Statement},
    retry::{self, AttemptFailure, Attempts, Decision, RequestFailure},
    server::{Balancer, Outcome, Requirements, Server},
};
use shallotroute_types::{name::Name, version::Version};

const TICK: Duration = Duration::from_millis(5);
const SERVERS: usize = 14;
const NODES: usize = 6;
const SLOTS: usize = 3;
const SERVICE_TIME: Duration = Duration::from_millis(40);
const REJECTION_TIME: Duration = Duration::from_millis(5);
/// The rate that each of the thirteen servers names, in requests per second.
const LIMIT: f64 = 5.0;
const LIMITED: std::ops::Range<u64> = 5..25;
const END: u64 = 55;
const ITEMS: usize = 200;
const STEP: Duration = Duration::from_secs(4);
const ABANDON_AFTER: Duration = Duration::from_secs(60);
/// How often a caller comes back after it was told that its request did not run.
const RETURNS: u32 = 2;

fn limits() -> Limits {
    Limits {
        leaving_servers: BTreeMap::new(),
        max_generating: ITEMS,
        max_scoring: 4,
        max_attempts: 3,
        max_scoring_attempts: 3,
        stall_timeout: Duration::from_secs(60),
        slow_servers: Vec::new(),
        free_slots: BTreeMap::new(),
        event_interval: None,
        requires_single_version: false,
        scoring_room: usize::MAX,
        random: 0.5,
    }
}

fn specification() -> Arc<Specification> {
    let items = (0..ITEMS).map(|index| Item {
        id: format!("item-{index}").into(),
        group: format!("group-{}", index / 4).into(),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        expected_tokens: None,
        scorer: Some(Scorer {
            id: format!("reward-{index}").into(),
            host: "desk.example".to_owned(),
            path: "/rate".to_owned(),
            body: Vec::new(),
        }),
    });
    Arc::new(Specification {
        workspace: None,
        host: "llm.example".to_owned(),
        path: "/jobs/1".to_owned(),
        model: "m".into(),
        min_version: Version(1),
        wanted_groups: 1,
        items: items.collect(),
    })
}

/// Who has sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sender {
    /// An attempt to score an item of a job of a node.
    Scoring {
        job: usize,
        attempt: u64,
        is_repeat: bool,
    },
    /// A caller, by its index.
    Caller(usize),
}

/// What happens at a time.
#[derive(Clone, Copy)]
enum Happening {
    /// An item's output is complete.
    Generated {
        node: usize,
        job: usize,
        attempt: u64,
    },
    /// A response arrives at a node.
    Response {
        node: usize,
        server: usize,
        sender: Sender,
        has_run: bool,
    },
    /// A caller's request is to be decided on.
    Caller(usize),
    /// A caller sends a request again.
    Return {
        node: usize,
        priority: u8,
        returns: u32,
    },
}

struct Node {
    balancer: Balancer,
    governor: Governor,
    jobs: Vec<Job>,
}

struct Caller {
    node: usize,
    priority: u8,
    attempts: Attempts,
    returns: u32,
    /// Whether the request in flight is a repeat.
    is_repeat: bool,
    has_ended: bool,
}

/// What a run has counted.
#[derive(Debug, Default)]
struct Counts {
    arrivals: [usize; SERVERS],
    /// The arrivals of scorings and of callers' requests.
    by_class: [usize; 2],
    /// The callers that got a response in the end, by priority.
    served_callers: [usize; 3],
    refused_callers: [usize; 3],
    scored: usize,
    items: usize,
}

/// What differs between runs.
#[derive(Clone, Copy)]
struct Load {
    has_limits: bool,
    policy: Policy,
    /// The interval between two callers' requests at one node.
    caller_interval: Duration,
}

struct Fleet {
    start: Instant,
    elapsed: Duration,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    running: [usize; SERVERS],
    homes: Divider,
    callers: Vec<Caller>,
    agenda: BTreeMap<(Duration, u64), Happening>,
    sequence: u64,
    load: Load,
    counts: Counts,
}

fn server_name(index: usize) -> Name {
    format!("s{index:02}").into()
}

impl Fleet {
    fn new(load: Load) -> Self {
        let start = Instant::now();
        let node = |index: usize| {
            let zone = "z".into();
            let mut balancer = Balancer::new(zone).with_seed(index as u64 + 1);
            for server in 0..SERVERS {
                balancer.insert(Server {
                    is_spot: false,
                    leaves_after: None,
                    id: server_name(server),
                    service: "rate".into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    zone: "z".into(),
                    slots: SLOTS,
                    is_draining: false,
                    born: 1,
                    software: "v1".into(),
                    models: BTreeMap::new(),
                });
            }
            Node {
                balancer,
                governor: Governor::new(start),
                jobs: Vec::new(),
            }
        };
        Self {
            start,
            elapsed: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(7),
            nodes: (0..NODES).map(node).collect(),
            running: [0; SERVERS],
            homes: Divider::default(),
            callers: Vec::new(),
            agenda: BTreeMap::new(),
            sequence: 0,
            load,
            counts: Counts::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    fn plan(&mut self, delay: Duration, happening: Happening) {
        self.sequence += 1;
        let at = self.elapsed + delay.max(TICK);
        self.agenda.insert((at, self.sequence), happening);
    }

    fn is_limited(&self, server: usize) -> bool {
        self.load.has_limits && server + 1 < SERVERS && LIMITED.contains(&self.elapsed.as_secs())
    }

    fn run(mut self) -> Counts {
        let end = Duration::from_secs(END);
        let mut next_caller = Duration::ZERO;
        let mut next_step = Duration::ZERO;
        while self.elapsed < end {
            let is_loaded = self.elapsed < Duration::from_secs(LIMITED.end);
            if is_loaded && self.elapsed >= next_step {
                next_step += STEP;
                (0..NODES).for_each(|node| self.start_step(node));
            }
            if is_loaded && self.elapsed >= next_caller {
                next_caller += self.load.caller_interval;
                for node in 0..NODES {
                    let priority = self.random.random_range(0..3);
                    self.start_caller(node, priority, 0);
                }
            }
            while let Some(entry) = self.agenda.first_entry()
                && entry.key().0 <= self.elapsed
            {
                let happening = entry.remove();
                self.handle(happening);
            }
            (0..NODES).for_each(|node| self.advance(node));
            self.elapsed += TICK;
        }
        for job in self.nodes.iter().flat_map(|node| &node.jobs) {
            self.counts.items += job.item_counts().ready;
        }
        self.counts
    }

    fn start_step(&mut self, node: usize) {
        let now = self.now();
        let mut job = Job::new(specification(), Vec::new(), now + ABANDON_AFTER);
        let actions = job.advance(&limits(), now, &mut |_| {
            Some(Choice {
                server: "model".into(),
                software: "v1".into(),
            })
        });
        let index = self.nodes[node].jobs.len();
        self.nodes[node].jobs.push(job);
        for action in actions {
            if let Action::Generate { attempt, .. } = action {
                let delay = self.random.random_range(500..3_000);
                let generated = Happening::Generated {
                    node,
                    job: index,
                    attempt,
                };
                self.plan(Duration::from_millis(delay), generated);
            }
        }
    }

    fn advance(&mut self, node: usize) {
        let now = self.now();
        for job in 0..self.nodes[node].jobs.len() {
            let limits = Limits {
                scoring_room: self.nodes[node].governor.scoring_room(now),
                ..limits()
            };
            let actions = self.nodes[node].jobs[job].advance(&limits, now, &mut |_| None);
            for action in actions {
                if let Action::RequestScore { attempt, .. } = action {
                    self.score(node, job, attempt);
                }
            }
        }
    }

    /// Does what `shallotroute_resident::score` does.
    fn score(&mut self, node: usize, job: usize, attempt: u64) {
        let now = self.now();
        let is_repeat = self.nodes[node].jobs[job].is_scoring_repeated(attempt);
        let random = self.random.random();
        let governor = &mut self.nodes[node].governor;
        if let Admission::Deferred(delay) = governor.admit_scoring(is_repeat, random, now) {
            return self.end_scoring(node, job, attempt, ScoringEnd::Deferred(delay));
        }
        let sender = Sender::Scoring {
            job,
            attempt,
            is_repeat,
        };
        if let Err(wait) = self.send(node, &[], Class::Batch, sender) {
            let governor = &mut self.nodes[node].governor;
            governor.finish(Source::Scoring, is_repeat, End::Unsent(wait), random, now);
            let delay = wait.unwrap_or(Duration::from_millis(50));
            let delay = governor::spread(delay, random);
            self.end_scoring(node, job, attempt, ScoringEnd::Deferred(delay));
        }
    }

    fn end_scoring(&mut self, node: usize, job: usize, attempt: u64, end: ScoringEnd) {
        let now = self.now();
        let job = &mut self.nodes[node].jobs[job];
        let limits = Limits {
            random: self.random.random(),
            ..limits()
        };
        job.handle_event(attempt, Event::ScoringEnded(end), &limits, now);
    }

    /// Does what `shallotroute_resident::limit` does. If no server got the request, returns the time until the
    /// next permit of one with a limit, if there is one.
    fn send(
        &mut self,
        node: usize,
        avoid: &[Name],
        class: Class,
        sender: Sender,
    ) -> std::result::Result<(), Option<Duration>> {
        let now = self.now();
        let requirements = Requirements {
            service: "rate",
            model: None,
            software: None,
            avoid,
            cached_on: None,
            batch_rank: None,
            class,
        };
        for _ in 0..4 {
            let balancer = &mut self.nodes[node].balancer;
            let Some(id) = balancer
                .choose(&requirements, now)
                .map(|server| server.id.clone())
            else {
                break;
            };
            let reply = match balancer.limit_claim(&id, class, now) {
                Some(claim) => self.homes.decide(&claim, Role::Home, now),
                None => Reply::Unlimited,
            };
            match reply {
                Reply::Denied(wait) => balancer.record_denial(&id, class, wait, now),
                _ => {
                    self.arrive(node, &id, class, sender);
                    return Ok(());
                }
            }
        }
        Err(self.nodes[node].balancer.next_permit(&requirements, now))
    }

    fn arrive(&mut self, node: usize, id: &Name, class: Class, sender: Sender) {
        let server: usize = id[1..].parse().expect("the name should end with the index");
        self.nodes[node].balancer.record_start(id);
        if let Sender::Caller(index) = sender {
            self.callers[index].attempts.record_attempt(id);
        }
        if LIMITED.contains(&self.elapsed.as_secs()) {
            self.counts.arrivals[server] += 1;
            self.counts.by_class[usize::from(class == Class::Caller)] += 1;
        }
        let has_run = self.running[server] < SLOTS;
        self.running[server] += usize::from(has_run);
        let delay = match has_run {
            true => SERVICE_TIME.mul_f64(self.random.random_range(0.7..1.3)),
            false => REJECTION_TIME,
        };
        let response = Happening::Response {
            node,
            server,
            sender,
            has_run,
        };
        self.plan(delay, response);
    }

    fn handle(&mut self, happening: Happening) {
        let now = self.now();
        match happening {
            Happening::Generated { node, job, attempt } => {
                let job = &mut self.nodes[node].jobs[job];
                let event = Event::Generated {
                    number: 1,
                    data: "text".to_owned(),
                    version: Version(1),
                };
                job.handle_event(attempt, event, &limits(), now);
                let end = Event::GenerationEnded(GenerationEnd::Complete);
                job.handle_event(attempt, end, &limits(), now);
            }
            Happening::Response {
                node,
                server,
                sender,
                has_run,
            } => self.respond(node, server, sender, has_run),
            Happening::Caller(index) => self.decide(index),
            Happening::Return {
                node,
                priority,
                returns,
            } => self.start_caller(node, priority, returns),
        }
    }

    fn respond(&mut self, node: usize, server: usize, sender: Sender, has_run: bool) {
        let now = self.now();
        let statement = match self.is_limited(server) {
            true => Statement::Limited(Rate::new(LIMIT).expect("the rate should be valid")),
            false => Statement::Unlimited,
        };
        let outcome = match has_run {
            true => Outcome::Succeeded(SERVICE_TIME),
            false => Outcome::Rejected,
        };
        self.running[server] -= usize::from(has_run);
        let id = server_name(server);
        let balancer = &mut self.nodes[node].balancer;
        if let Some(observation) = balancer.record_limit(&id, statement, now) {
            self.homes.record(&observation, now);
            // The home tells all nodes.
            for other in &mut self.nodes {
                other.balancer.record_limit(&id, statement, now);
            }
        }
        self.nodes[node].balancer.record_end(&id, outcome, now);
        let (source, is_repeat) = match sender {
            Sender::Scoring { is_repeat, .. } => (Source::Scoring, is_repeat),
            Sender::Caller(index) => {
                let caller = &mut self.callers[index];
                (Source::Caller, std::mem::take(&mut caller.is_repeat))
            }
        };
        let end = match has_run {
            true => End::Responded(SERVICE_TIME),
            false => End::Rejected,
        };
        let random = self.random.random();
        let governor = &mut self.nodes[node].governor;
        governor.finish(source, is_repeat, end, random, now);
        match sender {
            Sender::Scoring { job, attempt, .. } => {
                self.counts.scored += usize::from(has_run);
                let end = match has_run {
                    true => ScoringEnd::Score("1".to_owned()),
                    false => ScoringEnd::NoResponse,
                };
                self.end_scoring(node, job, attempt, end);
            }
            Sender::Caller(index) if has_run => {
                let caller = &mut self.callers[index];
                caller.has_ended = true;
                self.counts.served_callers[usize::from(caller.priority)] += 1;
            }
            Sender::Caller(index) => {
                let failure = AttemptFailure::NotRun;
                self.callers[index].attempts.record_failure(failure, now);
                self.decide(index);
            }
        }
    }

    /// Begins a request as `shallotroute_resident::admission` does.
    fn start_caller(&mut self, node: usize, priority: u8, returns: u32) {
        let started_at = self.now();
        let random = self.random.random();
        let request = Request {
            priority,
            target_latency: Duration::from_millis(150),
            timeout: Duration::from_secs(1),
        };
        let governor = &mut self.nodes[node].governor;
        governor.record_request(priority, started_at);
        let shortage = governor.shortage(started_at);
        let policy = self.load.policy;
        if let Some(retry_after) = request.refusal(policy, &shortage, random) {
            return self.come_back(node, priority, returns, retry_after);
        }
        let attempts = Attempts::new(retry::Policy {
            is_idempotent: true,
            max_attempts: 2,
            started_at,
            target_latency: request.target_latency,
            deadline: started_at + request.timeout,
        });
        self.callers.push(Caller {
            node,
            priority,
            attempts: attempts
                .with_spread(random)
                .with_patience(request.patience(policy, &shortage, random)),
            returns,
            is_repeat: false,
            has_ended: false,
        });
        self.decide(self.callers.len() - 1);
    }

    /// Does what `shallotroute_resident::forward` does.
    fn decide(&mut self, index: usize) {
        let now = self.now();
        loop {
            let caller = &mut self.callers[index];
            if caller.has_ended {
                return;
            }
            let node = caller.node;
            match caller.attempts.decide(now) {
                Decision::Send => {
                    let avoid = caller.attempts.servers().to_vec();
                    caller.is_repeat = caller.attempts.is_repeat();
                    let governor = &mut self.nodes[node].governor;
                    if caller.is_repeat && !governor.take_repeat(now) {
                        caller.attempts.record_denied(now);
                        continue;
                    }
                    let sender = Sender::Caller(index);
                    let Err(wait) = self.send(node, &avoid, Class::Caller, sender) else {
                        continue;
                    };
                    let caller = &mut self.callers[index];
                    match wait {
                        Some(wait) => caller.attempts.record_limited(wait, now),
                        None => caller.attempts.record_no_server(now),
                    }
                    if caller.is_repeat {
                        self.nodes[node].governor.return_repeat();
                    }
                }
                Decision::WaitUntil(until) => {
                    if self.load.policy == Policy::ByCost {
                        self.nodes[node].governor.record_waiting_caller(until);
                    }
                    let wait = until.saturating_duration_since(now);
                    return self.plan(wait, Happening::Caller(index));
                }
                Decision::Fail(failure) => {
                    caller.has_ended = true;
                    let (priority, returns) = (caller.priority, caller.returns);
                    let RequestFailure::NotRun { retry_after } = failure else {
                        self.counts.refused_callers[usize::from(priority)] += 1;
                        return;
                    };
                    return self.come_back(node, priority, returns, retry_after);
                }
            }
        }
    }

    /// Tells a caller that its request did not run; it comes back as it is advised.
    fn come_back(&mut self, node: usize, priority: u8, returns: u32, retry_after: Duration) {
        let now = self.now();
        self.nodes[node].governor.record_refusal(now);
        if returns == RETURNS {
            self.counts.refused_callers[usize::from(priority)] += 1;
            return;
        }
        let returning = Happening::Return {
            node,
            priority,
            returns: returns + 1,
        };
        self.plan(retry_after, returning);
    }
}

const SHORT: Load = Load {
    has_limits: true,
    policy: Policy::FirstCome,
    caller_interval: Duration::from_millis(60),
};

/// Guards against scorings that are repeated at once when a server rejects them: on a day with limits at 13 of 14
/// servers the last one got 180,354 rejected requests of 193,180, and callers waited behind them.
#[gtest]
fn a_scoring_service_that_is_short_gets_no_storm_of_repeats() {
    let has_limits = false;
    let usual = Fleet::new(Load {
        has_limits,
        ..SHORT
    })
    .run();
    let total = |counts: &Counts| counts.arrivals.iter().sum::<usize>();
    for policy in [Policy::FirstCome, Policy::ByCost] {
        let short = Fleet::new(Load { policy, ..SHORT }).run();
        let context = format!("{policy:?}, usual: {usual:?}, short: {short:?}");
        expect_that!(total(&short) * 10, le(total(&usual) * 12), "{context}");
        // Callers alone need less than what the servers can run.
        let served: usize = short.served_callers.iter().sum();
        let refused: usize = short.refused_callers.iter().sum();
        expect_that!(served * 100, ge(95 * (served + refused)), "{context}");
        // What waited is scored once the servers take requests again.
        expect_that!(short.scored, eq(short.items), "{context}");
    }
    expect_that!(usual.scored, eq(usual.items));
}

/// Guards against urgent callers that are refused as often as others when callers alone need more than a
/// service can run, and against others that are never served.
#[gtest]
fn urgent_callers_are_served_first_when_a_service_is_short() {
    let run = |policy| {
        let caller_interval = Duration::from_millis(25);
        Fleet::new(Load {
            policy,
            caller_interval,
            ..SHORT
        })
        .run()
    };
    let (first_come, by_cost) = (run(Policy::FirstCome), run(Policy::ByCost));
    let context = format!("first come: {first_come:?}, by cost: {by_cost:?}");
    expect_that!(
        by_cost.refused_callers[0],
        lt(first_come.refused_callers[0] / 2),
        "{context}"
    );
    expect_that!(by_cost.refused_callers.is_sorted(), eq(true), "{context}");
    expect_that!(by_cost.served_callers[2], gt(0), "{context}");
}
