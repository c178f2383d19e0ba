//! Tests of the planner of rolling updates: concurrency, assignment of models, and lost orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::{
    capacity::{Backlog, Demand},
    rolling_update::{Order, OrderOutcome, Planner, Report},
    server::Server,
};
use shallotroute_types::{name::Name, version::Version};

/// Servers that carry out the planner's orders, each after a load time.
struct Simulation {
    planner: Planner,
    servers: Vec<Server>,
    loads: Vec<(Instant, Order)>,
    load_time: Duration,
    /// A server whose loads take longer than the others'.
    slow: Option<(Name, Duration)>,
    /// The number of orders to servers that were still loading.
    premature_orders: usize,
    now: Instant,
    max_concurrent_loads: usize,
    orders: usize,
    backlog: Backlog,
}

impl Simulation {
    fn new(servers: usize, models: &[&str]) -> Self {
        let models: BTreeMap<Name, Version> = models
            .iter()
            .map(|model| (Name::from(*model), Version(1)))
            .collect();
        let servers = (0..servers)
            .map(|index| Server {
                id: format!("server-{index}").into(),
                service: "llm".into(),
                address: ([10, 0, 0, 1], 80).into(),
                zone: "zone".into(),
                slots: 6,
                is_draining: false,
                leaves_after: None,
                is_spot: false,
                born: 1,
                software: "v1".into(),
                models: models.clone(),
            })
            .collect();
        Self {
            planner: Planner::default(),
            servers,
            loads: Vec::new(),
            load_time: Duration::from_millis(900),
            slow: None,
            premature_orders: 0,
            now: Instant::now(),
            max_concurrent_loads: 0,
            orders: 0,
            backlog: Backlog::default(),
        }
    }

    fn run(&mut self, targets: &BTreeMap<Name, Version>, period: Duration) {
        let end = self.now + period;
        while self.now < end {
            self.now += Duration::from_millis(50);
            let now = self.now;
            for (_, order) in self.loads.extract_if(.., |(done, _)| *done <= now) {
                let server = self
                    .servers
                    .iter_mut()
                    .find(|server| server.id == order.server);
                if let Some(server) = server {
                    server.models.insert(order.model, order.version);
                }
            }
            for server in self.planner.due_checks(now) {
                let report = self.report(&server);
                self.planner.record_report(&server, report, now);
            }
            for order in self
                .planner
                .plan(targets, &self.servers, &self.backlog, now)
            {
                self.orders += 1;
                if self
                    .loads
                    .iter()
                    .any(|(_, load)| load.server == order.server)
                {
                    self.premature_orders += 1;
                    self.planner
                        .record_outcome(&order, OrderOutcome::Unknown, now);
                    continue;
                }
                self.planner
                    .record_outcome(&order, OrderOutcome::Accepted, now);
                let load_time = match &self.slow {
                    Some((server, load_time)) if *server == order.server => *load_time,
                    _ => self.load_time,
                };
                self.loads.push((now + load_time, order));
            }
            self.max_concurrent_loads = self.max_concurrent_loads.max(self.loads.len());
        }
    }

    fn report(&self, id: &Name) -> Report {
        let server = self.servers.iter().find(|server| server.id == *id);
        Report {
            born: 1,
            is_busy: self.loads.iter().any(|(_, load)| load.server == *id),
            accepted_orders: 0,
            models: server.map_or_else(BTreeMap::new, |server| server.models.clone()),
        }
    }

    /// Returns the number of servers that have loaded at least a version of a model.
    fn servers_with_version(&self, model: &str, version: u64) -> usize {
        self.servers
            .iter()
            .filter(|server| server.models[&Name::from(model)] >= Version(version))
            .count()
    }
}

fn targets(versions: &[(&str, u64)]) -> BTreeMap<Name, Version> {
    versions
        .iter()
        .map(|(model, version)| (Name::from(*model), Version(*version)))
        .collect()
}

/// Guards against servers that fall behind a model with a new version every four seconds, and against
/// more than two concurrent loads of eight servers.
#[gtest]
fn one_model_updates_all_servers_two_at_a_time() {
    let mut simulation = Simulation::new(8, &["m"]);
    for version in 2..8 {
        simulation.run(&targets(&[("m", version)]), Duration::from_secs(4));
        expect_that!(
            simulation.servers_with_version("m", version),
            eq(8),
            "version {version}"
        );
    }
    expect_that!(simulation.max_concurrent_loads, le(2));
    expect_that!(simulation.orders, eq(6 * 8));
}

/// Guards against orders to servers that are still loading because their loads take longer than the
/// estimate. Such orders are rejected, and too many servers load at a time.
#[gtest]
fn servers_get_no_order_before_their_load_has_ended() {
    for load_time in [200, 900, 1600, 2500] {
        let mut simulation = Simulation::new(8, &["m"]);
        simulation.load_time = Duration::from_millis(load_time);
        let update_time =
            simulation.load_time.max(Duration::from_millis(900)) * 4 + Duration::from_secs(2);
        for version in 2..8 {
            simulation.run(&targets(&[("m", version)]), update_time);
            expect_that!(
                simulation.servers_with_version("m", version),
                eq(8),
                "{load_time} ms, {version}"
            );
        }
        expect_that!(simulation.max_concurrent_loads, le(2), "{load_time} ms");
        expect_that!(simulation.premature_orders, eq(0), "{load_time} ms");
    }
}

/// Guards against idle time between loads that are much shorter than the initial estimate.
#[gtest]
fn the_estimate_adapts_to_short_loads() {
    let mut simulation = Simulation::new(8, &["m"]);
    simulation.load_time = Duration::from_millis(300);
    for version in 2..12 {
        simulation.run(&targets(&[("m", version)]), Duration::from_secs(4));
    }
    simulation.run(&targets(&[("m", 12)]), Duration::from_millis(2200));
    expect_that!(simulation.servers_with_version("m", 12), eq(8));
}

/// Guards against one slow server that raises the estimate and so delays the updates of the others.
#[gtest]
fn one_slow_server_does_not_raise_the_estimate() {
    let mut simulation = Simulation::new(8, &["m"]);
    simulation.slow = Some(("server-3".into(), Duration::from_secs(3)));
    for version in 2..8 {
        simulation.run(&targets(&[("m", version)]), Duration::from_secs(5));
        // Two at a time: seven loads of 0.9 s and one of 3 s last 5 s if none waits for another.
        expect_that!(
            simulation.servers_with_version("m", version),
            ge(7),
            "version {version}"
        );
    }
    expect_that!(simulation.max_concurrent_loads, le(2));
}

/// Guards against models without up-to-date servers when four models share 38 servers, and against
/// more concurrent loads or orders than the servers need.
#[gtest]
fn several_models_share_the_servers_evenly() {
    let models = ["ant", "bee", "cow", "dog"];
    let mut simulation = Simulation::new(38, &models);
    for version in 2..9 {
        let named: Vec<(&str, u64)> = models.iter().map(|model| (*model, version)).collect();
        simulation.run(&targets(&named), Duration::from_secs(5));
        for model in models {
            // A training step may use the named version and the one before.
            expect_that!(
                simulation.servers_with_version(model, version - 1),
                ge(9),
                "{model} {version}"
            );
        }
    }
    expect_that!(simulation.max_concurrent_loads, le(8));
    expect_that!(simulation.orders, le(7 * 40));
}

/// Guards against starvation of the model whose name sorts last when the models' versions are named at
/// different times.
#[gtest]
fn no_model_is_starved() {
    let models = ["ant", "bee", "cow", "zebra"];
    let mut simulation = Simulation::new(38, &models);
    for version in 2..7 {
        for late in 1..=models.len() {
            let named: Vec<(&str, u64)> = models
                .iter()
                .enumerate()
                .map(|(index, model)| (*model, if index < late { version } else { version - 1 }))
                .collect();
            simulation.run(&targets(&named), Duration::from_secs(1));
        }
    }
    for model in models {
        expect_that!(simulation.servers_with_version(model, 5), ge(9), "{model}");
    }
}

/// Guards against an order with a guessed count of accepted orders after an order with an unknown
/// outcome.
#[gtest]
fn an_order_with_unknown_outcome_clears_the_expected_count() -> Result<()> {
    let mut simulation = Simulation::new(1, &["m"]);
    let named = targets(&[("m", 2)]);
    let first = simulation.planner.plan(
        &named,
        &simulation.servers,
        &Backlog::default(),
        simulation.now,
    );
    let [first] = &first[..] else {
        return fail!("one order expected, got {first:?}");
    };
    expect_that!(first.expected_orders, none());
    let report = Report {
        born: 1,
        is_busy: false,
        accepted_orders: 4,
        models: BTreeMap::from([(Name::from("m"), Version(1))]),
    };
    simulation
        .planner
        .record_report(&first.server, report, simulation.now);
    simulation
        .planner
        .record_outcome(first, OrderOutcome::Unknown, simulation.now);
    expect_that!(
        simulation.planner.plan(
            &named,
            &simulation.servers,
            &Backlog::default(),
            simulation.now
        ),
        is_empty()
    );
    let later = simulation.now + Duration::from_secs(1);
    let again = simulation
        .planner
        .plan(&named, &simulation.servers, &Backlog::default(), later);
    expect_that!(
        again,
        elements_are![matches_pattern!(Order {
            expected_orders: none(),
            ..
        })]
    );
    Ok(())
}

/// Guards against a server that accepts an order and never loads: the host list shows the old version,
/// and the order is given again.
#[gtest]
fn a_load_that_never_happened_is_ordered_again() -> Result<()> {
    let mut simulation = Simulation::new(1, &["m"]);
    let named = targets(&[("m", 2)]);
    let report = Report {
        born: 1,
        is_busy: false,
        accepted_orders: 0,
        models: BTreeMap::from([(Name::from("m"), Version(1))]),
    };
    let id = simulation.servers[0].id.clone();
    simulation
        .planner
        .record_report(&id, report, simulation.now);
    let first = simulation.planner.plan(
        &named,
        &simulation.servers,
        &Backlog::default(),
        simulation.now,
    );
    simulation
        .planner
        .record_outcome(&first[0], OrderOutcome::Accepted, simulation.now);
    let trusted = simulation.now + Duration::from_secs(2);
    expect_that!(
        simulation
            .planner
            .plan(&named, &simulation.servers, &Backlog::default(), trusted),
        is_empty()
    );
    let corrected = simulation.now + Duration::from_secs(5);
    let again =
        simulation
            .planner
            .plan(&named, &simulation.servers, &Backlog::default(), corrected);
    expect_that!(
        again,
        elements_are![matches_pattern!(Order {
            expected_orders: some(eq(&1)),
            ..
        })]
    );
    Ok(())
}

/// Guards against checks that pile up at a server which answers none.
#[gtest]
fn a_silent_server_is_checked_once_per_timeout() {
    let mut simulation = Simulation::new(1, &["m"]);
    let named = targets(&[("m", 2)]);
    let orders = simulation.planner.plan(
        &named,
        &simulation.servers,
        &Backlog::default(),
        simulation.now,
    );
    simulation
        .planner
        .record_outcome(&orders[0], OrderOutcome::Accepted, simulation.now);
    let mut checks = 0;
    for _ in 0..20 {
        simulation.now += Duration::from_millis(100);
        checks += simulation.planner.due_checks(simulation.now).len();
    }
    // The first check comes after 0.9 s, the second 0.8 s later.
    expect_that!(checks, eq(2));
}

/// Guards against needless reassignment of the remaining servers when some leave.
#[gtest]
fn assignments_are_stable_when_servers_leave() {
    let models = ["ant", "bee"];
    let mut simulation = Simulation::new(20, &models);
    simulation.run(&targets(&[("ant", 2), ("bee", 2)]), Duration::from_secs(8));
    let updated_to_ant = |simulation: &Simulation| -> BTreeSet<Name> {
        let servers = simulation.servers.iter();
        servers
            .filter(|server| server.models[&Name::from("ant")] > Version(1))
            .map(|server| server.id.clone())
            .collect()
    };
    let before = updated_to_ant(&simulation);
    simulation.servers.truncate(16);
    simulation.run(&targets(&[("ant", 3), ("bee", 3)]), Duration::from_secs(8));
    let after = updated_to_ant(&simulation);
    let moved = after.difference(&before).count();
    expect_that!(moved, le(2));
}

/// Returns averages of these numbers of items.
fn backlog(items: &[(&str, usize)]) -> Backlog {
    let demands: Vec<Demand> = items
        .iter()
        .map(|(model, items)| Demand {
            service: "llm".into(),
            model: (*model).into(),
            items: *items,
        })
        .collect();
    let start = Instant::now();
    let mut backlog = Backlog::default();
    for second in 0..100 {
        backlog.update(demands.iter(), start + Duration::from_secs(second));
    }
    backlog
}

/// Returns how many servers follow each model after some versions of all models.
fn followers(servers: usize, items: &[(&str, usize)]) -> Vec<usize> {
    let models: Vec<&str> = items.iter().map(|(model, _)| *model).collect();
    let mut simulation = Simulation::new(servers, &models);
    simulation.backlog = backlog(items);
    for version in 2..6 {
        let targets = models
            .iter()
            .map(|model| (Name::from(*model), Version(version)))
            .collect();
        simulation.run(&targets, Duration::from_secs(6));
    }
    let follows = |model: &str| {
        let is_current = |server: &&Server| server.models.get(model) == Some(&Version(5));
        simulation.servers.iter().filter(is_current).count()
    };
    models.into_iter().map(follows).collect()
}

/// Guards against a trainer that falls behind while servers of another one idle. If there are enough
/// servers, they are divided in proportion to the work.
#[gtest]
fn servers_follow_the_models_that_need_them() {
    expect_that!(
        followers(40, &[("large", 60), ("medium", 30), ("small", 10)]),
        eq(&vec![24, 12, 4])
    );
    // Without any work the division is even.
    expect_that!(
        followers(9, &[("a", 0), ("b", 0), ("c", 0)]),
        eq(&vec![3, 3, 3])
    );
}

/// Guards against trainers that are all late when there are too few servers: those that need little
/// get it, and the others the same number, which is more than an even division gives them.
#[gtest]
fn small_models_are_served_when_servers_are_short() {
    let counts = followers(13, &[("a", 3), ("b", 9), ("c", 90), ("d", 100)]);
    expect_that!(counts, eq(&vec![1, 3, 5, 4]).or(eq(&vec![1, 3, 4, 5])));
}

/// Guards against servers that change their model with every small change of the work.
#[gtest]
fn small_changes_of_the_work_move_no_server() {
    let mut simulation = Simulation::new(40, &["a", "b"]);
    let targets = |version| {
        let target = |model: &str| (Name::from(model), Version(version));
        BTreeMap::from([target("a"), target("b")])
    };
    simulation.backlog = backlog(&[("a", 50), ("b", 50)]);
    simulation.run(&targets(2), Duration::from_secs(8));
    simulation.orders = 0;
    simulation.backlog = backlog(&[("a", 54), ("b", 46)]);
    simulation.run(&targets(2), Duration::from_secs(8));
    expect_that!(simulation.orders, eq(0));
}

/// Guards against orders without use when the number of servers changes: a server that joins with the newest
/// versions serves at once, and one that drains gets no order.
#[gtest]
fn joining_and_draining_servers_get_no_orders() {
    let mut simulation = Simulation::new(12, &["m"]);
    let targets = BTreeMap::from([("m".into(), Version(2))]);
    simulation.run(&targets, Duration::from_secs(10));
    simulation.orders = 0;
    for index in 0..6 {
        let mut joined = simulation.servers[index].clone();
        joined.id = format!("joined-{index}").into();
        simulation.servers.push(joined);
    }
    simulation.run(&targets, Duration::from_secs(10));
    expect_that!(simulation.orders, eq(0));

    for server in &mut simulation.servers[..6] {
        server.is_draining = true;
    }
    simulation.run(
        &BTreeMap::from([("m".into(), Version(3))]),
        Duration::from_secs(20),
    );
    let versions = simulation.servers.iter();
    let versions: Vec<u64> = versions.map(|server| server.models["m"].0).collect();
    expect_that!(versions[..6], each(eq(&2)));
    expect_that!(versions[6..], each(eq(&3)));
}
