//! Orders to load versions: how many at a time, to whom, and what a lost one leaves behind.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_fleet::{
    server::Server,
    wave::{End, Order, Planner, Report},
};
use shallotroute_types::{name::Name, version::Version};

/// Servers whose loads take some time, as a stand-in for what the planner can't see.
struct World {
    planner: Planner,
    servers: Vec<Server>,
    loads: Vec<(Instant, Order)>,
    load_time: Duration,
    /// A server whose loads take longer than the others'.
    slow: Option<(Name, Duration)>,
    /// Orders to servers that still loaded.
    early: usize,
    now: Instant,
    most_at_once: usize,
    orders: usize,
}

impl World {
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
                draining: false,
                born: 1,
                models: models.clone(),
            })
            .collect();
        Self {
            planner: Planner::default(),
            servers,
            loads: Vec::new(),
            load_time: Duration::from_millis(900),
            slow: None,
            early: 0,
            now: Instant::now(),
            most_at_once: 0,
            orders: 0,
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
            for server in self.planner.checks(now) {
                let report = self.report(&server);
                self.planner.report(&server, report, now);
            }
            for order in self.planner.plan(targets, &self.servers, now) {
                self.orders += 1;
                if self
                    .loads
                    .iter()
                    .any(|(_, load)| load.server == order.server)
                {
                    self.early += 1;
                    self.planner.finish(&order, End::Unknown, now);
                    continue;
                }
                self.planner.finish(&order, End::Accepted, now);
                let load_time = match &self.slow {
                    Some((server, load_time)) if *server == order.server => *load_time,
                    _ => self.load_time,
                };
                self.loads.push((now + load_time, order));
            }
            self.most_at_once = self.most_at_once.max(self.loads.len());
        }
    }

    fn report(&self, id: &Name) -> Report {
        let server = self.servers.iter().find(|server| server.id == *id);
        Report {
            born: 1,
            busy: self.loads.iter().any(|(_, load)| load.server == *id),
            orders: 0,
            models: server.map_or_else(BTreeMap::new, |server| server.models.clone()),
        }
    }

    /// Counts the servers that have a model in at least a version.
    fn having(&self, model: &str, version: u64) -> usize {
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

/// Answers one model with a new version every four seconds: all servers follow, two at a time.
#[gtest]
fn one_model_moves_all_servers_in_small_waves() {
    let mut world = World::new(8, &["m"]);
    for version in 2..8 {
        world.run(&targets(&[("m", version)]), Duration::from_secs(4));
        expect_that!(world.having("m", version), eq(8), "version {version}");
    }
    expect_that!(world.most_at_once, le(2));
    expect_that!(world.orders, eq(6 * 8));
}

/// Guards against orders to servers whose loads take longer than others did: they were refused, and
/// more servers loaded at a time than may.
#[gtest]
fn loads_of_any_length_are_awaited() {
    for load_time in [200, 900, 1600, 2500] {
        let mut world = World::new(8, &["m"]);
        world.load_time = Duration::from_millis(load_time);
        let wave = world.load_time.max(Duration::from_millis(900)) * 4 + Duration::from_secs(2);
        for version in 2..8 {
            world.run(&targets(&[("m", version)]), wave);
            expect_that!(
                world.having("m", version),
                eq(8),
                "{load_time} ms, {version}"
            );
        }
        expect_that!(world.most_at_once, le(2), "{load_time} ms");
        expect_that!(world.early, eq(0), "{load_time} ms");
    }
}

/// Guards against waves that are slower than the loads: the time of a load is learned, also when it
/// is much shorter than supposed.
#[gtest]
fn the_time_of_a_load_is_learned() {
    let mut world = World::new(8, &["m"]);
    world.load_time = Duration::from_millis(300);
    for version in 2..12 {
        world.run(&targets(&[("m", version)]), Duration::from_secs(4));
    }
    world.run(&targets(&[("m", 12)]), Duration::from_millis(2200));
    expect_that!(world.having("m", 12), eq(8));
}

/// Guards against waves that wait for what one slow server needs: the other loads are awaited only as
/// long as they last.
#[gtest]
fn one_slow_server_leaves_the_time_of_the_others() {
    let mut world = World::new(8, &["m"]);
    world.slow = Some(("server-3".into(), Duration::from_secs(3)));
    for version in 2..8 {
        world.run(&targets(&[("m", version)]), Duration::from_secs(5));
        // Two at a time: seven loads of 0.9 s and one of 3 s last 5 s if none waits for another.
        expect_that!(world.having("m", version), ge(7), "version {version}");
    }
    expect_that!(world.most_at_once, le(2));
}

/// Answers four models that share 38 servers: each keeps servers of its own up to date, and the loads
/// stay within what the servers bear.
#[gtest]
fn several_models_divide_the_servers() {
    let models = ["ant", "bee", "cow", "dog"];
    let mut world = World::new(38, &models);
    for version in 2..9 {
        let named: Vec<(&str, u64)> = models.iter().map(|model| (*model, version)).collect();
        world.run(&targets(&named), Duration::from_secs(5));
        for model in models {
            // A step may use the named version and the one before.
            expect_that!(world.having(model, version - 1), ge(9), "{model} {version}");
        }
    }
    expect_that!(world.most_at_once, le(8));
    expect_that!(world.orders, le(7 * 40));
}

/// Answers models that are named at different times: the last name in the alphabet is not starved.
#[gtest]
fn no_model_is_starved() {
    let models = ["ant", "bee", "cow", "zebra"];
    let mut world = World::new(38, &models);
    for version in 2..7 {
        for late in 1..=models.len() {
            let named: Vec<(&str, u64)> = models
                .iter()
                .enumerate()
                .map(|(index, model)| (*model, if index < late { version } else { version - 1 }))
                .collect();
            world.run(&targets(&named), Duration::from_secs(1));
        }
    }
    for model in models {
        expect_that!(world.having(model, 5), ge(9), "{model}");
    }
}

/// Guards against an order under a count of accepted orders that is only guessed.
#[gtest]
fn a_lost_order_makes_the_count_unknown() -> Result<()> {
    let mut world = World::new(1, &["m"]);
    let named = targets(&[("m", 2)]);
    let first = world.planner.plan(&named, &world.servers, world.now);
    let [first] = &first[..] else {
        return fail!("one order expected, got {first:?}");
    };
    expect_that!(first.accepted_before, none());
    let report = Report {
        born: 1,
        busy: false,
        orders: 4,
        models: BTreeMap::from([(Name::from("m"), Version(1))]),
    };
    world.planner.report(&first.server, report, world.now);
    world.planner.finish(first, End::Unknown, world.now);
    expect_that!(
        world.planner.plan(&named, &world.servers, world.now),
        is_empty()
    );
    let later = world.now + Duration::from_secs(1);
    let again = world.planner.plan(&named, &world.servers, later);
    expect_that!(
        again,
        elements_are![matches_pattern!(Order {
            accepted_before: none(),
            ..
        })]
    );
    Ok(())
}

/// Guards against trust in a load that the server never did: the host list corrects it.
#[gtest]
fn a_load_that_did_not_happen_is_ordered_again() -> Result<()> {
    let mut world = World::new(1, &["m"]);
    let named = targets(&[("m", 2)]);
    let report = Report {
        born: 1,
        busy: false,
        orders: 0,
        models: BTreeMap::from([(Name::from("m"), Version(1))]),
    };
    let id = world.servers[0].id.clone();
    world.planner.report(&id, report, world.now);
    let first = world.planner.plan(&named, &world.servers, world.now);
    world.planner.finish(&first[0], End::Accepted, world.now);
    let trusted = world.now + Duration::from_secs(2);
    expect_that!(
        world.planner.plan(&named, &world.servers, trusted),
        is_empty()
    );
    let corrected = world.now + Duration::from_secs(5);
    let again = world.planner.plan(&named, &world.servers, corrected);
    expect_that!(
        again,
        elements_are![matches_pattern!(Order {
            accepted_before: some(eq(&1)),
            ..
        })]
    );
    Ok(())
}

/// Guards against a pile of questions to a server that answers none.
#[gtest]
fn a_silent_server_is_asked_once_at_a_time() {
    let mut world = World::new(1, &["m"]);
    let named = targets(&[("m", 2)]);
    let orders = world.planner.plan(&named, &world.servers, world.now);
    world.planner.finish(&orders[0], End::Accepted, world.now);
    let mut asked = 0;
    for _ in 0..20 {
        world.now += Duration::from_millis(100);
        asked += world.planner.checks(world.now).len();
    }
    // From 0.9 s on, one question and, 0.8 s later, the next.
    expect_that!(asked, eq(2));
}

/// Guards against a division that moves servers between models for no reason.
#[gtest]
fn the_division_stays_when_servers_leave() {
    let models = ["ant", "bee"];
    let mut world = World::new(20, &models);
    world.run(&targets(&[("ant", 2), ("bee", 2)]), Duration::from_secs(8));
    let followers = |world: &World| -> BTreeSet<Name> {
        let servers = world.servers.iter();
        servers
            .filter(|server| server.models[&Name::from("ant")] > Version(1))
            .map(|server| server.id.clone())
            .collect()
    };
    let before = followers(&world);
    world.servers.truncate(16);
    world.run(&targets(&[("ant", 3), ("bee", 3)]), Duration::from_secs(8));
    let after = followers(&world);
    let moved = after.difference(&before).count();
    expect_that!(moved, le(2));
}
