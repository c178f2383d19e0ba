//! Selection of a backend server.

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

    /// Sends a request that finishes at once; returns the name of its server.
    fn send_and_finish(&mut self, prefix: Option<u64>) -> String {
        let choice = self.choose(prefix).unwrap();
        self.pool.record_finish(&choice.name);
        choice.name.to_string()
    }

    /// Sends `count` requests one after another; returns how many each server got.
    fn distribution(&mut self, count: u32) -> HashMap<String, u32> {
        let mut counts_by_server = HashMap::new();
        for _ in 0..count {
            *counts_by_server
                .entry(self.send_and_finish(None))
                .or_default() += 1;
        }
        counts_by_server
    }

    fn observe(&mut self, name: &str, evidence: Evidence, elapsed: Duration) {
        self.pool
            .record_attempt(&name.into(), evidence, elapsed, self.now);
    }

    fn report(&mut self, name: &str, load: u32, is_leaving: bool) {
        let entries = self.pool.server_counters(self.now);
        let (name, _, counters) = entries
            .into_iter()
            .find(|it| it.0.as_str() == name)
            .unwrap();
        let report = Some(Report { load, is_leaving });
        self.pool.apply_report(&name, counters, report, self.now);
    }

    /// Reports the weights of one model.
    fn weights(&mut self, name: &str, version: u64, swapping: Option<&str>) {
        let entries = self.pool.server_counters(self.now);
        let (name, _, counters) = entries
            .into_iter()
            .find(|it| it.0.as_str() == name)
            .unwrap();
        let weights = Weights {
            versions: [(Name::from("model"), Version(version))].into(),
            swapping: swapping.map(Name::from),
        };
        self.pool.apply_weights(&name, counters, weights);
    }
}

/// Guards against a request to an engine that lost the model in a failed swap while another one has it.
#[test]
fn skips_an_engine_without_the_model() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.weights("s1", 1, None);
    let entries = fixture.pool.server_counters(fixture.now);
    let (name, _, counters) = entries.into_iter().next().unwrap();
    fixture
        .pool
        .apply_weights(&name, counters, Weights::default());
    assert_that!(
        fixture.distribution(30).contains_key(name.as_str()),
        eq(false)
    );
}

/// Guards against a request that waits for a weight swap while another engine is free, and against one that
/// fails when no other engine is.
#[test]
fn prefers_engines_that_are_not_swapping_weights() {
    for selection in [
        Selection::RoundRobin,
        Selection::LeastLoaded,
        Selection::Adaptive,
    ] {
        let mut fixture = Fixture::new(selection, 3);
        fixture.weights("s0", 1, Some("model"));
        fixture.weights("s1", 1, Some("another"));
        assert_that!(fixture.distribution(30).contains_key("s0"), eq(false));
        for name in ["s1", "s2"] {
            fixture.report(name, fixture.object.servers[0].slots, false);
        }
        assert_that!(fixture.distribution(30).contains_key("s0"), eq(true));
        // An outdated report of a swap is ignored.
        fixture.now += Duration::from_secs(6);
        assert_that!(fixture.distribution(30).len(), gt(1));
    }
}

/// Guards against requests to an engine with a withdrawn version, even when no other engine is left.
#[test]
fn a_withdrawn_version_gets_no_request() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.weights("s0", 1, None);
    fixture.weights("s1", 2, None);
    let withdrawn = |version| (Name::from("model"), Version(version));
    fixture.pool.set_withdrawn([withdrawn(1)].into());
    fixture.now += Duration::from_secs(60);
    assert_that!(fixture.distribution(30).contains_key("s0"), eq(false));
    fixture
        .pool
        .set_withdrawn([withdrawn(1), withdrawn(2)].into());
    assert_that!(fixture.choose(None), none());
    fixture.weights("s0", 3, None);
    assert_that!(fixture.send_and_finish(None), eq("s0"));
}

/// Guards against round robin that skips servers, and against least loaded that ignores the load.
#[test]
fn round_robin_and_least_loaded_use_all_servers() {
    let mut round_robin = Fixture::new(Selection::RoundRobin, 3);
    let names: Vec<String> = (0..4).map(|_| round_robin.send_and_finish(None)).collect();
    assert_that!(names, elements_are![eq("s0"), eq("s1"), eq("s2"), eq("s0")]);
    let mut least_loaded = Fixture::new(Selection::LeastLoaded, 3);
    let mut names: Vec<String> = (0..3)
        .map(|_| least_loaded.choose(None).unwrap().name.to_string())
        .collect();
    names.sort();
    assert_that!(names, elements_are![eq("s0"), eq("s1"), eq("s2")]);
}

/// Guards against herding: all requests going to the server with the lowest last report until the next one.
#[test]
fn corrects_a_report_by_the_requests_sent_since() {
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

/// Guards against prompts that lose their prefix cache although their server has free slots, and against
/// one server that gets all requests of a popular prompt.
#[test]
fn keeps_a_prompt_at_its_server_up_to_the_load_bound() {
    let mut fixture = Fixture::new(Selection::Adaptive, 8);
    let first = fixture.send_and_finish(Some(42));
    for _ in 0..20 {
        assert_that!(fixture.send_and_finish(Some(42)), eq(&first));
    }
    let mut counts = HashMap::<Name, u32>::new();
    for _ in 0..48 {
        *counts
            .entry(fixture.choose(Some(42)).unwrap().name)
            .or_default() += 1;
    }
    // 48 requests on 8 servers: 1.25 times the mean of 6 is 7.5, rounded up to 8.
    assert_that!(counts.values().max(), some(le(&8)));
    let servers: std::collections::HashSet<String> = (0..64)
        .map(|prefix| fixture.send_and_finish(Some(prefix * 7_919)))
        .collect();
    assert_that!(servers.len(), ge(4));
}

/// Guards against prompts that follow an outdated estimate after the engine has evicted their prefix, and
/// against prompts that leave the server that has it cached.
#[test]
fn follows_the_estimate_of_cached_prefixes() {
    let mut fixture = Fixture::new(Selection::Adaptive, 8);
    let hashed = fixture.choose(Some(42)).unwrap();
    assert_that!(hashed.reason, eq(Reason::Prefix));
    let cached = Name::from(if hashed.name.as_str() == "s0" {
        "s1"
    } else {
        "s0"
    });
    fixture
        .pool
        .record_prefix(42, &cached, Some(16), fixture.now);
    let choice = fixture.choose(Some(42)).unwrap();
    assert_that!(
        (choice.name, choice.reason),
        eq(&(cached.clone(), Reason::Cached))
    );
    fixture
        .pool
        .record_prefix(42, &cached, Some(0), fixture.now);
    assert_that!(fixture.choose(Some(42)).unwrap().name, eq(&hashed.name));
    fixture.pool.record_prefix(42, &cached, None, fixture.now);
    fixture.now += Duration::from_secs(121);
    assert_that!(fixture.choose(Some(42)).unwrap().name, eq(&hashed.name));
}

/// Guards against a slow server that keeps its full share of the requests, and one that never gets work
/// again.
#[test]
fn gives_a_slow_server_less_work() {
    let mut fixture = Fixture::new(Selection::Adaptive, 4);
    fixture.zone = Name::from("elsewhere");
    for name in ["s0", "s1", "s2", "s3"] {
        let millis = if name == "s3" { 500 } else { 20 };
        fixture.observe(name, Evidence::Complete, Duration::from_millis(millis));
    }
    let counts_by_server = fixture.distribution(1_000);
    assert_that!(
        counts_by_server["s3"],
        all!(ge(1), le(125)),
        "{counts_by_server:?}"
    );
    fixture.now += Duration::from_secs(11);
    let counts_by_server = fixture.distribution(1_000);
    assert_that!(counts_by_server["s3"], ge(150), "{counts_by_server:?}");
}

/// Guards against needless traffic between availability zones, and against an overloaded own zone while
/// others are free.
#[test]
fn prefers_its_own_zone() {
    let mut fixture = Fixture::new(Selection::Adaptive, 4);
    let counts_by_server = fixture.distribution(1_000);
    assert_that!(
        counts_by_server["s0"] + counts_by_server["s2"],
        ge(700),
        "{counts_by_server:?}"
    );
    fixture.report("s0", 8, false);
    fixture.report("s2", 8, false);
    let counts_by_server = fixture.distribution(1_000);
    assert_that!(
        counts_by_server["s1"] + counts_by_server["s3"],
        ge(700),
        "{counts_by_server:?}"
    );
}

/// Guards against requests to a server that any of the four sources reports as leaving.
#[test]
fn skips_leaving_servers() {
    let sources: [fn(&mut Fixture); 4] = [
        |it| it.pool.apply_host_list(|name| name.as_str() == "s0"),
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
            let counts_by_server = fixture.distribution(50);
            assert_that!(counts_by_server.get("s0"), none());
        }
    }
}

/// Guards against an old report that makes a leaving server available again, and against a server that stays
/// unavailable after a newer report.
#[test]
fn a_refusal_holds_until_a_newer_report() {
    let mut fixture = Fixture::new(Selection::RoundRobin, 1);
    let (name, _, counters) = fixture.pool.server_counters(fixture.now).remove(0);
    fixture.now += Duration::from_millis(10);
    fixture.observe("s0", Evidence::Refused(Refusal::Leaving), Duration::ZERO);
    let old = Some(Report {
        load: 0,
        is_leaving: false,
    });
    fixture.pool.apply_report(&name, counters, old, fixture.now);
    assert_that!(fixture.choose(None), none());
    fixture.now += Duration::from_millis(10);
    fixture.report("s0", 0, false);
    assert_that!(fixture.choose(None), some(anything()));
    let overtaken = Some(Report {
        load: 9,
        is_leaving: true,
    });
    fixture
        .pool
        .apply_report(&name, counters, overtaken, fixture.now);
    assert_that!(fixture.choose(None), some(anything()));
}

/// Guards against a fleet that sends more requests than the pool has slots, and against slots that stay free
/// while requests wait.
#[test]
fn the_capacity_is_an_equal_share_or_the_free_slots() {
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

/// Guards against repeated attempts at an overloaded server, and against a failing server that is never tried
/// again.
#[test]
fn backs_off_from_overloaded_and_failing_servers() {
    let mut fixture = Fixture::new(Selection::Adaptive, 2);
    fixture.observe("s0", Evidence::Refused(Refusal::Overloaded), Duration::ZERO);
    fixture.observe("s1", Evidence::NotSent, Duration::ZERO);
    assert_that!(fixture.send_and_finish(None), eq("s1"));
    fixture.observe("s1", Evidence::Refused(Refusal::Overloaded), Duration::ZERO);
    assert_that!(fixture.choose(None), none());
    fixture.now += Duration::from_secs(1);
    assert_that!(fixture.choose(None), some(anything()));
}
