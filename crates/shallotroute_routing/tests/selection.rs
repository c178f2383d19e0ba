//! The choice of a backend server.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shallotroute_config::object::{self, Backend, Selection, ServerState};
use shallotroute_routing::{
    outcome::{Evidence, Refusal},
    pool::{Choice, Pool, Query},
    selection::Reason,
    server::{Report, Weights},
};
use shallotroute_types::{name::Name, version::Version};

struct Fixture {
    pool: Pool,
    object: object::Pool,
    random: ChaCha8Rng,
    now: Instant,
    zone: Name,
}

impl Fixture {
    fn new(selection: Selection, count: u16) -> Self {
        let server = |index: u16| object::Server {
            name: Name::from(format!("s{index}")),
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            zone: Name::from(if index.is_multiple_of(2) { "a" } else { "b" }),
            slots: 8,
            state: ServerState::Active,
        };
        let object = object::Pool {
            name: Name::from("pool"),
            backend: Backend::Engine,
            fencing: None,
            models: Vec::new(),
            selection,
            servers: (0..count).map(server).collect(),
        };
        Self {
            pool: Pool::new(&object),
            object,
            random: ChaCha8Rng::seed_from_u64(11),
            now: Instant::now(),
            zone: Name::from("a"),
        }
    }

    fn choose(&mut self, prefix: Option<u64>) -> Option<Choice> {
        let query = Query {
            zone: &self.zone,
            prefix,
            models: &["model"],
            tried: &[],
        };
        self.pool.choose(&query, self.now, &mut self.random)
    }

    fn run(&mut self, prefix: Option<u64>) -> String {
        let choice = self.choose(prefix).unwrap();
        self.pool.finish(&choice.name);
        choice.name.to_string()
    }

    fn share(&mut self, count: u32) -> HashMap<String, u32> {
        let mut share = HashMap::new();
        for _ in 0..count {
            *share.entry(self.run(None)).or_default() += 1;
        }
        share
    }

    fn observe(&mut self, name: &str, evidence: Evidence, elapsed: Duration) {
        self.pool.observe(&name.into(), evidence, elapsed, self.now);
    }

    fn report(&mut self, name: &str, load: u32, leaving: bool) {
        let marks = self.pool.marks(self.now);
        let (name, _, mark) = marks.into_iter().find(|it| it.0.as_str() == name).unwrap();
        let report = Some(Report { load, leaving });
        self.pool.report(&name, mark, report, self.now);
    }

    fn weights(&mut self, name: &str, version: u64, swapping: Option<&str>) {
        let marks = self.pool.marks(self.now);
        let (name, _, mark) = marks.into_iter().find(|it| it.0.as_str() == name).unwrap();
        let weights = Weights {
            versions: [(Name::from("model"), Version(version))].into(),
            swapping: swapping.map(Name::from),
        };
        self.pool.weights(&name, mark, weights);
    }
}

/// Guards against a request to an engine that lost the model in a swap, while another one has it.
#[test]
fn an_engine_without_the_model_is_left_out() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.weights("s1", 1, None);
    let marks = fixture.pool.marks(fixture.now);
    let (name, _, mark) = marks.into_iter().next().unwrap();
    fixture.pool.weights(&name, mark, Weights::default());
    assert_that!(fixture.share(30).contains_key(name.as_str()), eq(false));
}

/// Guards against a request that waits for a swap while another engine is free, and against one that
/// fails when none is.
#[test]
fn an_engine_that_replaces_weights_is_the_last_resort() {
    for selection in [
        Selection::RoundRobin,
        Selection::LeastLoaded,
        Selection::Adaptive,
    ] {
        let mut fixture = Fixture::new(selection, 3);
        fixture.weights("s0", 1, Some("model"));
        fixture.weights("s1", 1, Some("another"));
        assert_that!(fixture.share(30).contains_key("s0"), eq(false));
        for name in ["s1", "s2"] {
            fixture.report(name, fixture.object.servers[0].slots, false);
        }
        assert_that!(fixture.share(30).contains_key("s0"), eq(true));
        // A report that is too old says nothing about a swap.
        fixture.now += Duration::from_secs(6);
        assert_that!(fixture.share(30).len(), gt(1));
    }
}

/// Guards against new work for a withdrawn version, also when no other engine is left.
#[test]
fn a_withdrawn_version_gets_no_request() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.weights("s0", 1, None);
    fixture.weights("s1", 2, None);
    let withdrawn = |version| (Name::from("model"), Version(version));
    fixture.pool.withdraw([withdrawn(1)].into());
    fixture.now += Duration::from_secs(60);
    assert_that!(fixture.share(30).contains_key("s0"), eq(false));
    fixture.pool.withdraw([withdrawn(1), withdrawn(2)].into());
    assert_that!(fixture.choose(None), none());
    fixture.weights("s0", 3, None);
    assert_that!(fixture.run(None), eq("s0"));
}

/// Guards against a baseline that skips servers or ignores the load.
#[test]
fn baselines_choose_as_named() {
    let mut round = Fixture::new(Selection::RoundRobin, 3);
    let names: Vec<String> = (0..4).map(|_| round.run(None)).collect();
    assert_that!(names, elements_are![eq("s0"), eq("s1"), eq("s2"), eq("s0")]);
    let mut least = Fixture::new(Selection::LeastLoaded, 3);
    let mut names: Vec<String> = (0..3)
        .map(|_| least.choose(None).unwrap().name.to_string())
        .collect();
    names.sort();
    assert_that!(names, elements_are![eq("s0"), eq("s1"), eq("s2")]);
}

/// Guards against all nodes sending to the server whose last report was the lowest.
#[test]
fn corrects_a_report_by_what_was_sent_since() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.zone = Name::from("elsewhere");
    fixture.report("s0", 4, false);
    fixture.report("s1", 0, false);
    let mut counts = HashMap::<String, u32>::new();
    for _ in 0..12 {
        let choice = fixture.choose(None).unwrap();
        *counts.entry(choice.name.to_string()).or_default() += 1;
    }
    assert_that!(counts["s1"], all!(ge(7), le(10)), "{counts:?}");
}

/// Guards against prompts that lose their prefix cache although their server has room, and against
/// one server that gets all requests of a popular prompt.
#[test]
fn keeps_a_prompt_at_its_server_until_it_is_loaded() {
    let mut fixture = Fixture::new(Selection::Adaptive, 8);
    let first = fixture.run(Some(42));
    for _ in 0..20 {
        assert_that!(fixture.run(Some(42)), eq(&first));
    }
    let mut counts = HashMap::<Name, u32>::new();
    for _ in 0..48 {
        *counts
            .entry(fixture.choose(Some(42)).unwrap().name)
            .or_default() += 1;
    }
    // 48 requests on 64 slots: 1.25 times the mean of 6 is 7.5, rounded up.
    assert_that!(counts.values().max(), some(le(&8)));
    let servers: std::collections::HashSet<String> = (0..64)
        .map(|prefix| fixture.run(Some(prefix * 7_919)))
        .collect();
    assert_that!(servers.len(), ge(4));
}

/// Guards against prompts that follow an old estimate after the engine has evicted their prefix, and
/// against prompts that leave the server that has it.
#[test]
fn follows_the_estimate_of_cached_prefixes() {
    let mut fixture = Fixture::new(Selection::Adaptive, 8);
    let home = fixture.choose(Some(42)).unwrap();
    assert_that!(home.reason, eq(Reason::Prefix));
    let other = Name::from(if home.name.as_str() == "s0" {
        "s1"
    } else {
        "s0"
    });
    fixture.pool.learn(42, &other, Some(16), fixture.now);
    let choice = fixture.choose(Some(42)).unwrap();
    assert_that!(
        (choice.name, choice.reason),
        eq(&(other.clone(), Reason::Cached))
    );
    fixture.pool.learn(42, &other, Some(0), fixture.now);
    assert_that!(fixture.choose(Some(42)).unwrap().name, eq(&home.name));
    fixture.pool.learn(42, &other, None, fixture.now);
    fixture.now += Duration::from_secs(121);
    assert_that!(fixture.choose(Some(42)).unwrap().name, eq(&home.name));
}

/// Guards against a slow server that keeps its full share and one that never gets work again.
#[test]
fn gives_a_slow_server_less_work() {
    let mut fixture = Fixture::new(Selection::Adaptive, 4);
    fixture.zone = Name::from("elsewhere");
    for name in ["s0", "s1", "s2", "s3"] {
        let millis = if name == "s3" { 500 } else { 20 };
        fixture.observe(name, Evidence::Whole, Duration::from_millis(millis));
    }
    let share = fixture.share(1_000);
    assert_that!(share["s3"], all!(ge(1), le(125)), "{share:?}");
    fixture.now += Duration::from_secs(11);
    let share = fixture.share(1_000);
    assert_that!(share["s3"], ge(150), "{share:?}");
}

/// Guards against needless traffic between availability zones and against an own zone that is
/// overloaded while others are free.
#[test]
fn prefers_its_own_zone() {
    let mut fixture = Fixture::new(Selection::Adaptive, 4);
    let share = fixture.share(1_000);
    assert_that!(share["s0"] + share["s2"], ge(700), "{share:?}");
    fixture.report("s0", 8, false);
    fixture.report("s2", 8, false);
    let share = fixture.share(1_000);
    assert_that!(share["s1"] + share["s3"], ge(700), "{share:?}");
}

/// Guards against new work for a server that any of the four sources calls leaving.
#[test]
fn leaves_out_leaving_servers() {
    let sources: [fn(&mut Fixture); 4] = [
        |it| it.pool.list(|name| name.as_str() == "s0"),
        |it| {
            let mut object = it.object.clone();
            object.servers[0].state = ServerState::Leaving;
            it.pool.update(&object);
        },
        |it| it.report("s0", 0, true),
        |it| it.observe("s0", Evidence::Refused(Refusal::Leaving), Duration::ZERO),
    ];
    for selection in [
        Selection::RoundRobin,
        Selection::LeastLoaded,
        Selection::Adaptive,
    ] {
        for source in sources {
            let mut fixture = Fixture::new(selection, 2);
            source(&mut fixture);
            let share = fixture.share(50);
            assert_that!(share.get("s0"), none());
        }
    }
}

/// Guards against an old report that brings a leaving server back, and one that stays out after it
/// has come back.
#[test]
fn a_refusal_holds_until_a_newer_report() {
    let mut fixture = Fixture::new(Selection::RoundRobin, 1);
    let (name, _, mark) = fixture.pool.marks(fixture.now).remove(0);
    fixture.now += Duration::from_millis(10);
    fixture.observe("s0", Evidence::Refused(Refusal::Leaving), Duration::ZERO);
    let old = Some(Report {
        load: 0,
        leaving: false,
    });
    fixture.pool.report(&name, mark, old, fixture.now);
    assert_that!(fixture.choose(None), none());
    fixture.now += Duration::from_millis(10);
    fixture.report("s0", 0, false);
    assert_that!(fixture.choose(None), some(anything()));
    let overtaken = Some(Report {
        load: 9,
        leaving: true,
    });
    fixture.pool.report(&name, mark, overtaken, fixture.now);
    assert_that!(fixture.choose(None), some(anything()));
}

/// Guards against a fleet that sends more than the pool has slots, and slots that stay free.
#[test]
fn the_capacity_is_a_share_or_what_is_free() {
    let mut fixture = Fixture::new(Selection::Adaptive, 4);
    assert_that!(fixture.pool.capacity(fixture.now, || 3), eq(32));
    for name in ["s0", "s1", "s2", "s3"] {
        fixture.report(name, 7, false);
    }
    fixture.now += Duration::from_secs(1);
    assert_that!(fixture.pool.capacity(fixture.now, || 3), eq(11));
    fixture.report("s0", 0, true);
    fixture.now += Duration::from_secs(1);
    assert_that!(fixture.pool.capacity(fixture.now, || 3), eq(8));
}

/// Guards against repeated attempts at an overloaded server, and a failing server that is never
/// tried again.
#[test]
fn holds_back_from_overloaded_and_failing_servers() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.observe("s0", Evidence::Refused(Refusal::Overloaded), Duration::ZERO);
    fixture.observe("s1", Evidence::NotSent, Duration::ZERO);
    assert_that!(fixture.run(None), eq("s1"));
    fixture.observe("s1", Evidence::Refused(Refusal::Overloaded), Duration::ZERO);
    assert_that!(fixture.choose(None), none());
    fixture.now += Duration::from_secs(1);
    assert_that!(fixture.choose(None), some(anything()));
}
