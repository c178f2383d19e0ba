//! Tables of routes: what the check finds, and which route a request takes.

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_fleet::route::{Batch, Kind, Limits, Route, Service, Share, Table};

const LIMITS: Limits = Limits {
    head_bytes: 16_384,
    body_bytes: 1 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connections: 100,
        models: Vec::new(),
    }
}

fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        shares: shares
            .iter()
            .map(|(service, weight)| Share {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        attempts: 2,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(150),
        priority: 2,
        batch: None,
    }
}

fn table(routes: Vec<Route>) -> shallotroute_fleet::route::Result<Table> {
    Table::new(7, routes, vec![service("desk"), service("llm")], LIMITS)
}

/// Guards against a request that takes a shorter prefix while a longer one fits.
#[gtest]
fn the_longest_prefix_wins() -> Result<()> {
    let table = table(vec![
        route("short", "/quotes/", &[("desk", 1)]),
        route("long", "/quotes/springs/", &[("llm", 1)]),
    ])
    .or_fail()?;
    let name = |path| table.find("desk.example", path).map(|route| &*route.name);
    expect_that!(name("/quotes/springs/7"), some(eq("long")));
    expect_that!(name("/quotes/7"), some(eq("short")));
    expect_that!(name("/quotes"), none());
    expect_that!(table.find("other.example", "/quotes/7").is_none(), eq(true));
    Ok(())
}

/// Guards against a table that is taken over although its objects contradict one another.
#[gtest]
fn reports_all_findings_at_once() {
    let mut batch = route("batch", "/rollouts/", &[("llm", 1)]);
    batch.kind = Kind::Batch;
    let checked = table(vec![
        route("dangling", "/a/", &[("nobody", 1)]),
        route("malformed", "b", &[("desk", 1)]),
        route("empty", "/c/", &[]),
        route("twin", "/a/", &[("desk", 1)]),
        batch,
    ]);
    let text = checked.map_or_else(|findings| findings.to_string(), |_| String::new());
    for part in [
        "route `dangling`: service `nobody` does not exist",
        "route `malformed`: prefix `b` has to begin and end with a slash",
        "route `empty`: names no service",
        "routes `dangling` and `twin` share host `desk.example` and prefix `/a/`",
        "route `batch`: limits of batch jobs belong to batch routes",
    ] {
        expect_that!(text, contains_substring(part));
    }
}

/// Guards against shares that are not followed, and against a request that changes its service.
#[gtest]
fn shares_divide_requests_by_weight() {
    let route = route("split", "/q/", &[("desk", 90), ("llm", 10)]);
    let to_llm = (0..10_000)
        .filter(|index| route.service(&format!("request-{index}")).as_str() == "llm")
        .count();
    expect_that!(to_llm, all!(ge(800), le(1200)));
    expect_that!(route.service("request-1"), eq(route.service("request-1")));
}

/// Guards against a service whose trainers are not counted.
#[gtest]
fn counts_the_batch_routes_of_a_service() -> Result<()> {
    let batch = |name: &str, prefix: &str, single_version| {
        let mut route = route(name, prefix, &[("llm", 1)]);
        route.kind = Kind::Batch;
        route.batch = Some(Batch {
            due: Duration::from_secs(7),
            give_up: Duration::from_secs(20),
            single_version,
        });
        route
    };
    let table = table(vec![
        batch("one", "/one/", false),
        batch("two", "/two/", true),
        route("plain", "/q/", &[("desk", 1)]),
    ])
    .or_fail()?;
    expect_that!(table.batch_routes("llm"), eq(2));
    expect_that!(table.batch_routes("desk"), eq(0));
    expect_that!(table.single_version("llm"), eq(true));
    expect_that!(table.single_version("desk"), eq(false));
    Ok(())
}
