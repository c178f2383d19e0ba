//! Tests of the routing table: validation, matching of requests, and traffic split.

use std::time::Duration;

use googletest::prelude::*;
use shallotroute_fleet::route::{BatchLimits, Kind, RequestLimits, Route, Service, Share, Table};

const LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 16_384,
    max_body_bytes: 1 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        max_connections: 100,
        models: Vec::new(),
        scaling: None,
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
        max_attempts: 2,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        priority: 2,
        is_public: false,
        batch: None,
    }
}

fn table(routes: Vec<Route>) -> shallotroute_fleet::route::Result<Table> {
    Table::new(7, routes, vec![service("desk"), service("llm")], LIMITS)
}

/// Guards against a request that is routed by a shorter prefix although a longer one matches.
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

/// Guards against a table with invalid references, and against a report of only the first problem.
#[gtest]
fn all_problems_are_reported_at_once() {
    let mut batch = route("batch", "/rollouts/", &[("llm", 1)]);
    batch.kind = Kind::Batch;
    let result = table(vec![
        route("dangling", "/a/", &[("nobody", 1)]),
        route("malformed", "b", &[("desk", 1)]),
        route("empty", "/c/", &[]),
        route("twin", "/a/", &[("desk", 1)]),
        batch,
    ]);
    let text = result.map_or_else(|error| error.to_string(), |_| String::new());
    for part in [
        "route `dangling`: service `nobody` does not exist",
        "route `malformed`: prefix `b` must start and end with a slash",
        "route `empty`: no service is named",
        "routes `dangling` and `twin` have the same host `desk.example` and prefix `/a/`",
        "route `batch`: batch limits are required on batch routes and not allowed on others",
    ] {
        expect_that!(text, contains_substring(part));
    }
}

/// Guards against a traffic split that ignores the weights, and against a retried request that changes
/// its service.
#[gtest]
fn requests_are_split_by_weight() {
    let route = route("split", "/q/", &[("desk", 90), ("llm", 10)]);
    let to_llm = (0..10_000)
        .filter(|index| route.service_for(&format!("request-{index}")).as_str() == "llm")
        .count();
    expect_that!(to_llm, all!(ge(800), le(1200)));
    expect_that!(
        route.service_for("request-1"),
        eq(route.service_for("request-1"))
    );
}

/// Guards against batch routes that are not counted for their service, as the capacity of the service
/// is divided by their number.
#[gtest]
fn batch_routes_are_counted_per_service() -> Result<()> {
    let batch = |name: &str, prefix: &str, requires_single_version| {
        let mut route = route(name, prefix, &[("llm", 1)]);
        route.kind = Kind::Batch;
        route.batch = Some(BatchLimits {
            due_after: Duration::from_secs(7),
            abandon_after: Duration::from_secs(20),
            requires_single_version,
        });
        route
    };
    let table = table(vec![
        batch("one", "/one/", false),
        batch("two", "/two/", true),
        route("plain", "/q/", &[("desk", 1)]),
    ])
    .or_fail()?;
    expect_that!(table.batch_route_count("llm"), eq(2));
    expect_that!(table.batch_route_count("desk"), eq(0));
    expect_that!(table.requires_single_version("llm"), eq(true));
    expect_that!(table.requires_single_version("desk"), eq(false));
    Ok(())
}
