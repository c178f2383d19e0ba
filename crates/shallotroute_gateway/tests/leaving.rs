//! Tests that leaving servers get no new work, from whichever source the node learns of it.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;
use shallotroute_config::{
    object::{Object, ServerState},
    set::Set,
};
use shallotroute_context::freshness::{Input, MAX_WAIT};
use shallotroute_http::body;
use shallotroute_platform::{
    engine::State,
    host::{self, Host},
};
use shallotroute_types::{name::Name, version::Version};
use support::{Backend, Node};

/// The time after which a leaving server must get no new work (requirement R7).
const LEAVING_BOUND: Duration = Duration::from_secs(3);

struct Fixture {
    node: Node,
    leaving: Backend,
    is_refusing: Arc<AtomicBool>,
    objects: Vec<Object>,
    _other: Backend,
}

async fn start_fixture() -> Fixture {
    let is_refusing = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&is_refusing);
    let leaving = Backend::start(move |request| {
        let refused = flag.load(Ordering::Relaxed);
        async move {
            match refused {
                true => support::refusal("leaving"),
                false => support::engine_response(&request, 2),
            }
        }
    })
    .await;
    let other_server =
        Backend::start(|request| async move { support::engine_response(&request, 2) }).await;
    let servers = vec![
        support::server("leaving", leaving.address),
        support::server("stays", other_server.address),
    ];
    let objects = support::objects(servers, Vec::new());
    let node = Node::start(Set::new(objects.clone())).await;
    for _ in 0..4 {
        assert_that!(node.completion(false).await.status(), eq(StatusCode::OK));
    }
    assert_that!(leaving.count(), eq(2));
    Fixture {
        node,
        leaving,
        is_refusing,
        objects,
        _other: other_server,
    }
}

impl Fixture {
    /// Sends requests for half of the bound. Checks that all succeed, and that none of the last 100
    /// ms reaches the leaving server.
    async fn check_no_late_work(&self) {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < LEAVING_BOUND / 2 {
            let before = self.leaving.count();
            assert_that!(
                self.node.completion(true).await.status(),
                eq(StatusCode::OK)
            );
            if self.leaving.count() > before {
                last = Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_that!(
            last.unwrap_or_default(),
            lt(LEAVING_BOUND / 2 - Duration::from_millis(100))
        );
    }
}

/// Guards against new work for a server that the host list names as leaving.
#[tokio::test]
async fn avoids_a_server_that_the_host_list_names_as_leaving() {
    let fixture = start_fixture().await;
    let host = Host {
        name: Name::from("leaving"),
        state: host::State::Leaving,
    };
    fixture.node.hosts.send_replace(Arc::new(vec![host]));
    fixture.check_no_late_work().await;
    assert_that!(fixture.leaving.count(), eq(2));
}

/// Guards against new work for a server that its object in the configuration names as leaving.
#[tokio::test]
async fn avoids_a_server_that_operators_set_to_leaving() {
    let mut fixture = start_fixture().await;
    for object in &mut fixture.objects {
        if let Object::Pool(pool) = object
            && let Some(server) = pool.servers.first_mut()
        {
            server.state = ServerState::Leaving;
        }
    }
    let set = Set::new(fixture.objects.clone());
    fixture
        .node
        .configuration
        .send_replace(Some(support::snapshot(2, &set)));
    fixture.check_no_late_work().await;
    assert_that!(fixture.leaving.count(), eq(2));
}

/// Guards against new work for an engine that reports that it is leaving.
#[tokio::test]
async fn avoids_an_engine_that_reports_leaving() {
    let fixture = start_fixture().await;
    let state = State {
        leaving: true,
        ..State::default()
    };
    let address = fixture.leaving.address;
    fixture
        .node
        .engines
        .states
        .lock()
        .unwrap()
        .insert(address, state);
    fixture.check_no_late_work().await;
}

impl Fixture {
    /// Sends four requests at once, and checks that all succeed and none reaches the leaving
    /// server.
    async fn check_no_work_after_pause(&self) {
        let requests = (0..4).map(|_| self.node.completion(false));
        for response in futures::future::join_all(requests).await {
            expect_that!(response.status(), eq(StatusCode::OK));
        }
        expect_that!(self.leaving.count(), eq(2));
    }
}

/// Simulates a pause of the process of 2 s, which the node detects at its next check. Regular
/// heartbeats follow.
fn simulate_pause(node: &Node) {
    let freshness = Arc::clone(&node.context.freshness);
    freshness.heartbeat(Instant::now() - Duration::from_secs(2));
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            freshness.heartbeat(Instant::now());
        }
    });
}

/// Records that the node has read the configuration and the host list after a pause.
fn record_platform_read(node: &Node) {
    let freshness = &node.context.freshness;
    for input in [Input::Configuration, Input::Hosts] {
        expect_true!(freshness.is_stale(input, Instant::now()));
        freshness.record_read(input, Instant::now());
    }
}

/// Guards against new work for a server that started to leave during a pause of the process, when
/// the node chooses by the host list from before the pause.
#[gtest]
#[tokio::test]
async fn avoids_a_server_that_the_host_list_names_as_leaving_after_a_pause() {
    let fixture = start_fixture().await;
    simulate_pause(&fixture.node);
    let read = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let host = Host {
            name: Name::from("leaving"),
            state: host::State::Leaving,
        };
        fixture.node.hosts.send_replace(Arc::new(vec![host]));
        record_platform_read(&fixture.node);
    };
    tokio::join!(fixture.check_no_work_after_pause(), read);
}

/// Guards against new work for an engine that started to leave during a pause of the process, when
/// the node chooses by the report from before the pause.
#[gtest]
#[tokio::test]
async fn avoids_an_engine_that_reports_leaving_after_a_pause() {
    let fixture = start_fixture().await;
    let state = State {
        leaving: true,
        ..State::default()
    };
    let states = &fixture.node.engines.states;
    states
        .lock()
        .unwrap()
        .insert(fixture.leaving.address, state);
    *fixture.node.engines.delay.lock().unwrap() = Duration::from_millis(300);
    simulate_pause(&fixture.node);
    record_platform_read(&fixture.node);
    fixture.check_no_work_after_pause().await;
}

/// Guards against nodes that each send requests to a leaving server, because the host list does not
/// name it yet and the first node that was refused does not tell the others.
#[gtest]
#[tokio::test]
async fn avoids_a_server_that_refused_another_node() {
    let fixture = start_fixture().await;
    let set = Set::new(fixture.objects.clone());
    let other = Node::start_as("node-2", set, Duration::ZERO).await;
    expect_that!(other.completion(false).await.status(), eq(StatusCode::OK));
    let view = Arc::new(support::view(&[&fixture.node, &other]));
    fixture.node.members.send_replace(view);
    fixture.is_refusing.store(true, Ordering::Relaxed);
    fixture.check_no_late_work().await;
    let refused = fixture.leaving.count();
    for _ in 0..4 {
        expect_that!(other.completion(false).await.status(), eq(StatusCode::OK));
    }
    expect_that!(fixture.leaving.count(), eq(refused));
}

/// Guards against new work, after a pause or a start, for a server that refused another node as
/// leaving when the host list does not name it yet.
#[gtest]
#[tokio::test]
async fn avoids_a_server_that_refused_another_node_after_a_pause() {
    let fixture = start_fixture().await;
    fixture.is_refusing.store(true, Ordering::Relaxed);
    fixture.check_no_late_work().await;
    expect_that!(fixture.leaving.count(), eq(3));
    let set = Set::new(fixture.objects.clone());
    let other = Node::start_as("node-2", set, Duration::ZERO).await;
    let view = Arc::new(support::view(&[&fixture.node, &other]));
    other.members.send_replace(view);
    simulate_pause(&other);
    record_platform_read(&other);
    for _ in 0..4 {
        expect_that!(other.completion(false).await.status(), eq(StatusCode::OK));
    }
    expect_that!(fixture.leaving.count(), eq(3));
}

/// Guards against a node that serves nothing after a pause while the platform is unreachable.
#[gtest]
#[tokio::test]
async fn requests_wait_at_most_the_limit_after_a_pause_during_a_platform_outage() {
    let fixture = start_fixture().await;
    simulate_pause(&fixture.node);
    let started = Instant::now();
    let response = fixture.node.completion(false).await;
    expect_that!(response.status(), eq(StatusCode::OK));
    expect_that!(started.elapsed(), ge(MAX_WAIT));
    expect_that!(started.elapsed(), lt(MAX_WAIT + Duration::from_secs(1)));
}

/// Guards against a request that waits for fresh state until its time is nearly over, and is then
/// sent, or refused when its caller has gone.
#[gtest]
#[tokio::test]
async fn rejects_a_short_request_while_the_state_of_servers_is_stale() {
    let fixture = start_fixture().await;
    simulate_pause(&fixture.node);
    let text = format!(r#"{{"model":"{}","prompt":"leek price?"}}"#, support::MODEL);
    let request = fixture.node.request(Method::POST, "/v1/completions");
    let request = request.header("x-request-timeout-ms", "800");
    let started = Instant::now();
    let response = fixture
        .node
        .send(request.body(body::full(text)).unwrap())
        .await;
    expect_that!(started.elapsed(), lt(Duration::from_millis(700)));
    expect_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_true!(response.headers().contains_key("retry-after"));
    let error = support::read_error(response).await;
    expect_that!(error["code"].as_str(), some(eq("not_ready")));
    expect_that!(error["outcome"].as_str(), some(eq("not_run")));
    expect_that!(fixture.leaving.count(), eq(2));
}

/// Guards against new work for an engine that reports a withdrawn version of the model.
#[tokio::test]
async fn avoids_an_engine_with_a_withdrawn_version() {
    let mut fixture = start_fixture().await;
    let state = State {
        models: [(Name::from(support::MODEL), Version(7))].into(),
        ..State::default()
    };
    let states = &fixture.node.engines.states;
    states
        .lock()
        .unwrap()
        .insert(fixture.leaving.address, state);
    let version = json!({"kind": "model_version", "name": "seventh", "model": support::MODEL,
        "version": 7, "state": "withdrawn"});
    let version = serde_json::from_value(version).unwrap();
    fixture.objects.push(version);
    let set = Set::new(fixture.objects.clone());
    let snapshot = Some(support::snapshot(2, &set));
    fixture.node.configuration.send_replace(snapshot);
    fixture.check_no_late_work().await;
}

/// Guards against new work for an engine that is swapping its weights while another one is free.
#[tokio::test]
async fn avoids_an_engine_that_swaps_weights() {
    let fixture = start_fixture().await;
    let state = State {
        swapping: Some(Name::from(support::MODEL)),
        ..State::default()
    };
    let states = &fixture.node.engines.states;
    states
        .lock()
        .unwrap()
        .insert(fixture.leaving.address, state);
    fixture.check_no_late_work().await;
}

/// Guards against a server that refused as leaving and that each new request tries again.
#[tokio::test]
async fn avoids_a_server_that_refused_as_leaving() {
    let fixture = start_fixture().await;
    fixture.is_refusing.store(true, Ordering::Relaxed);
    fixture.check_no_late_work().await;
    assert_that!(fixture.leaving.count(), eq(3));
}
