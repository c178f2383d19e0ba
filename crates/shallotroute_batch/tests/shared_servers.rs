//! Replays of trainers that share model servers, in virtual time: six routes whose steps differ in work,
//! each with a node of its own that runs its jobs and knows of the others by their reports. The servers
//! are divided between the models, as their versions require.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_batch::{
    job::{Action, Choice, Event, GenerationEnd, Job, Limits},
    record::{Item, Specification},
};
use shallotroute_fleet::{
    capacity::{self, Backlog, Board, Demand, Load, Report},
    limit::Class,
    rolling_update::{OrderOutcome, Planner},
    server::{Balancer, Outcome, Rank, Requirements, Server},
};
use shallotroute_types::{name::Name, node::Incarnation, version::Version};

const TICK: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const EVENT_INTERVAL: Duration = Duration::from_millis(75);
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const SLOTS: usize = 6;
const STEPS: u32 = 8;

/// Items of a step and mean events of an output, by route.
const ROUTES: [(usize, u64); 6] = [(32, 4), (32, 12), (32, 13), (64, 6), (64, 12), (64, 13)];

/// How the servers and their slots are shared.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The same number of servers for each model and of slots for each route.
    EqualShares,
    /// Servers and slots by what the jobs lack.
    ByDemand,
}

struct Running {
    node: usize,
    attempt: u64,
    rank: Rank,
    next_event: u64,
    events: u64,
    next_at: Instant,
}

struct Node {
    jobs: Vec<(Rank, Job)>,
    balancer: Balancer,
    board: Board,
    first_step_at: Instant,
}

struct Replay {
    policy: Policy,
    now: Instant,
    nodes: Vec<Node>,
    /// The requests at each server, oldest first; the first [`SLOTS`] run.
    servers: BTreeMap<Name, Vec<Running>>,
    backlog: Backlog,
    /// The times from submission to end by route.
    step_times: Vec<Vec<Duration>>,
}

fn model(route: usize) -> Name {
    format!("m{route}").into()
}

/// Returns the events of an output: one in ten is five times as long as the others.
fn length(route: usize, item: usize) -> u64 {
    let mean = ROUTES[route].1;
    match item % 10 {
        3 => mean * 5,
        other => (mean * (3 + other as u64) / 10).max(1),
    }
}

fn job(route: usize, step: u32, now: Instant) -> Job {
    let items = (0..ROUTES[route].0).map(|index| Item {
        id: format!("{route}-{step}-{index}").into(),
        group: format!("group-{}", index / 8).into(),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        expected_tokens: Some(length(route, index) as u32),
        scorer: None,
    });
    let specification = Specification {
        host: "host".to_owned(),
        path: "/".to_owned(),
        model: model(route),
        min_version: Version(1),
        wanted_groups: 1,
        items: items.collect(),
        workspace: None,
    };
    let abandon_at = now + Duration::from_secs(600);
    Job::new(Arc::new(specification), Vec::new(), abandon_at)
}

impl Replay {
    /// `servers` model servers, divided as the policy says.
    fn new(policy: Policy, servers: usize) -> Self {
        let now = Instant::now();
        let mut replay = Self {
            policy,
            now,
            nodes: Vec::new(),
            servers: BTreeMap::new(),
            backlog: Backlog::default(),
            step_times: vec![Vec::new(); ROUTES.len()],
        };
        for route in 0..ROUTES.len() {
            replay.nodes.push(Node {
                jobs: Vec::new(),
                balancer: Balancer::new("zone".into()).with_seed(route as u64 + 1),
                board: Board::default(),
                first_step_at: now + Duration::from_millis(50) * route as u32,
            });
        }
        replay.divide(servers);
        replay
    }

    /// Lets the planner divide the servers by the work of the routes.
    fn divide(&mut self, count: usize) {
        let models: BTreeMap<Name, Version> = (0..ROUTES.len())
            .map(|route| (model(route), Version(0)))
            .collect();
        let mut servers: Vec<Server> = (0..count)
            .map(|index| Server {
                id: format!("server-{index:02}").into(),
                service: "llm".into(),
                address: ([10, 0, 0, 1], 80).into(),
                zone: "zone".into(),
                slots: SLOTS,
                is_draining: false,
                leaves_after: None,
                is_spot: false,
                born: 1,
                software: Name::from("v1"),
                models: models.clone(),
            })
            .collect();
        let work =
            |route: usize| -> u64 { (0..ROUTES[route].0).map(|item| length(route, item)).sum() };
        let demands: Vec<Demand> = (0..ROUTES.len())
            .map(|route| Demand {
                service: "llm".into(),
                model: model(route),
                // The average number of items in progress, by Little's law.
                items: (work(route) * EVENT_INTERVAL.as_millis() as u64
                    / STEP_INTERVAL.as_millis() as u64) as usize,
            })
            .collect();
        if self.policy == Policy::ByDemand {
            for second in 0..60 {
                let at = self.now + Duration::from_secs(second);
                self.backlog.update(demands.iter(), at);
            }
        }
        let targets = models
            .keys()
            .map(|model| (model.clone(), Version(1)))
            .collect();
        let mut planner = Planner::default();
        let mut now = self.now;
        for _ in 0..count * ROUTES.len() {
            now += Duration::from_secs(10);
            for order in planner.plan(&targets, &servers, &self.backlog, now) {
                planner.record_outcome(&order, OrderOutcome::AlreadyLoaded, now);
                if let Some(server) = servers.iter_mut().find(|server| server.id == order.server) {
                    server.models.insert(order.model, order.version);
                }
            }
        }
        for server in servers {
            self.servers.insert(server.id.clone(), Vec::new());
            for node in &mut self.nodes {
                node.balancer.insert(server.clone());
            }
        }
    }

    fn run(&mut self) {
        let start = self.now;
        let mut next_report = self.now;
        let mut submitted = [0; ROUTES.len()];
        while self.now < start + STEP_INTERVAL * STEPS + Duration::from_secs(20) {
            self.now += TICK;
            for (route, step) in submitted.iter_mut().enumerate() {
                let node = &mut self.nodes[route];
                if *step < STEPS && node.first_step_at + STEP_INTERVAL * *step <= self.now {
                    let job = job(route, *step, self.now);
                    node.jobs.push((Rank(u64::from(*step)), job));
                    *step += 1;
                }
            }
            if self.now >= next_report {
                next_report += REPORT_INTERVAL;
                self.exchange_reports();
            }
            self.generate();
            for route in 0..ROUTES.len() {
                self.advance(route);
            }
        }
    }

    fn demand(&self, route: usize, job: &Job) -> Demand {
        Demand {
            service: "llm".into(),
            model: model(route),
            items: job.open_item_count(),
        }
    }

    fn exchange_reports(&mut self) {
        if self.policy != Policy::ByDemand {
            return;
        }
        for sender in 0..self.nodes.len() {
            let node = &self.nodes[sender];
            let jobs = node
                .jobs
                .iter()
                .filter(|(_, job)| job.open_item_count() > 0);
            let report = Report {
                demands: jobs.map(|(_, job)| self.demand(sender, job)).collect(),
                loads: node
                    .balancer
                    .batch_loads()
                    .map(|(server, requests)| Load {
                        server: server.clone(),
                        requests,
                    })
                    .collect(),
            };
            let id = format!("node-{sender}").into();
            for (receiver, node) in self.nodes.iter_mut().enumerate() {
                if receiver != sender {
                    node.board
                        .record(&id, Incarnation(1), report.clone(), self.now);
                    let loads = node.board.loads(|_| Some(SLOTS), self.now);
                    node.balancer.set_foreign_loads(&loads);
                }
            }
        }
    }

    /// Generates the events that are due at all servers.
    fn generate(&mut self) {
        let mut events = Vec::new();
        for (server, requests) in &mut self.servers {
            for request in requests.iter_mut().take(SLOTS) {
                if request.next_at > self.now {
                    continue;
                }
                request.next_at = self.now + EVENT_INTERVAL;
                let event = match request.next_event > request.events {
                    true => Event::GenerationEnded(GenerationEnd::Complete),
                    false => Event::Generated {
                        number: request.next_event,
                        data: "x".to_owned(),
                        version: Version(1),
                    },
                };
                request.next_event += 1;
                events.push((
                    server.clone(),
                    request.node,
                    request.attempt,
                    request.rank,
                    event,
                ));
            }
            requests.retain(|request| request.next_event <= request.events + 1);
        }
        for (server, node, attempt, rank, event) in events {
            let node = &mut self.nodes[node];
            if matches!(event, Event::GenerationEnded(_)) {
                node.balancer
                    .record_end(&server, Outcome::Neutral, self.now);
                node.balancer.record_batch_end(&server, rank);
            }
            if let Some((_, job)) = node.jobs.iter_mut().find(|(other, _)| *other == rank) {
                job.handle_event(attempt, event, &limits(0), self.now);
            }
        }
    }

    fn advance(&mut self, route: usize) {
        let total = self.servers.len() * SLOTS;
        for index in 0..self.nodes[route].jobs.len() {
            let max_generating = match self.policy {
                Policy::EqualShares => total / ROUTES.len(),
                Policy::ByDemand => {
                    let node = &self.nodes[route];
                    let supply = node.balancer.supply("llm", &model(route), Version(1));
                    let own = self.demand(route, &node.jobs[index].1);
                    let others: Vec<Demand> = (0..node.jobs.len())
                        .filter(|other| *other != index)
                        .map(|other| self.demand(route, &node.jobs[other].1))
                        .collect();
                    capacity::job_slots(supply, &own, others.iter().chain(node.board.demands()))
                }
            };
            let now = self.now;
            let Node { jobs, balancer, .. } = &mut self.nodes[route];
            let (rank, job) = &mut jobs[index];
            let rank = *rank;
            let model = model(route);
            let actions = job.advance(&limits(max_generating), now, &mut |preference| {
                let requirements = Requirements {
                    service: "llm",
                    model: Some((&model, Version(1))),
                    software: preference.software.map(|name| &**name),
                    avoid: preference.avoid,
                    cached_on: preference.cached_on.map(|name| &**name),
                    batch_rank: Some(rank),
                    class: Class::Batch,
                };
                let server = balancer.choose(&requirements, now)?.id.clone();
                balancer.record_start(&server);
                balancer.record_batch_start(&server, rank);
                Some(Choice {
                    server,
                    software: "v1".into(),
                })
            });
            for action in actions {
                if let Action::Generate {
                    attempt,
                    item,
                    server,
                    ..
                } = action
                {
                    self.servers.entry(server).or_default().push(Running {
                        node: route,
                        attempt,
                        rank,
                        next_event: 1,
                        events: length(route, item),
                        next_at: now + EVENT_INTERVAL,
                    });
                }
            }
        }
        self.end_steps(route);
    }

    fn end_steps(&mut self, route: usize) {
        let now = self.now;
        let node = &mut self.nodes[route];
        let first_step_at = node.first_step_at;
        let times = &mut self.step_times[route];
        node.jobs.retain(|(rank, job)| {
            let is_open = job.open_item_count() > 0;
            if !is_open {
                let submitted_at = first_step_at + STEP_INTERVAL * rank.0 as u32;
                times.push(now.saturating_duration_since(submitted_at));
            }
            is_open
        });
    }

    /// Returns the time of the last step of each route.
    fn last_step_times(&self) -> Vec<Duration> {
        self.step_times
            .iter()
            .map(|times| match times.len() == STEPS as usize {
                true => times.last().copied().unwrap_or(Duration::MAX),
                false => Duration::MAX,
            })
            .collect()
    }
}

fn limits(max_generating: usize) -> Limits {
    Limits {
        max_generating,
        max_scoring: 0,
        max_attempts: 3,
        max_scoring_attempts: 3,
        stall_timeout: Duration::from_secs(600),
        slow_servers: Vec::new(),
        leaving_servers: BTreeMap::new(),
        free_slots: BTreeMap::from([("v1".into(), 0)]),
        event_interval: None,
        requires_single_version: false,
        scoring_room: usize::MAX,
        random: 0.5,
    }
}

fn last_step_times(policy: Policy, servers: usize) -> Vec<Duration> {
    let mut replay = Replay::new(policy, servers);
    replay.run();
    replay.last_step_times()
}

/// Guards against the trainers with the largest steps falling behind by a little with each step while
/// the servers of the smaller ones idle. There are enough slots for all of them.
#[gtest]
fn no_trainer_falls_behind_while_slots_are_idle() {
    let equal = last_step_times(Policy::EqualShares, 18);
    let by_demand = last_step_times(Policy::ByDemand, 18);
    let longest = |times: &[Duration]| times.iter().max().copied();
    // A trainer has two steps open at a time. With equal shares the replay shows the fault.
    expect_that!(longest(&equal), some(gt(STEP_INTERVAL * 2)));
    expect_that!(longest(&by_demand), some(le(STEP_INTERVAL * 2)));
}

/// Guards against a policy that makes all trainers late when servers are short: the small ones are served
/// as well as with equal shares.
#[gtest]
fn small_steps_are_in_time_when_servers_are_short() {
    let equal = last_step_times(Policy::EqualShares, 11);
    let by_demand = last_step_times(Policy::ByDemand, 11);
    for route in 0..3 {
        let limit = equal[route].max(Duration::from_secs(7));
        expect_that!(by_demand[route], le(limit), "route {route}");
    }
}
