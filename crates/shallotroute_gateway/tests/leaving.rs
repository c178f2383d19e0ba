//! Leaving servers get no new work.

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

/// The bound of R7.
const BOUND: Duration = Duration::from_secs(3);

struct Fixture {
    node: Node,
    leaving: Backend,
    refuses: Arc<AtomicBool>,
    objects: Vec<Object>,
    _stays: Backend,
}

async fn fixture() -> Fixture {
    let refuses = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&refuses);
    let leaving = Backend::start(move |request| {
        let refused = flag.load(Ordering::Relaxed);
        async move {
            match refused {
                true => support::refusal("leaving"),
                false => support::engine_answer(&request, 2),
            }
        }
    })
    .await;
    let stays = Backend::start(|request| async move { support::engine_answer(&request, 2) }).await;
    let servers = vec![
        support::server("leaving", leaving.address),
        support::server("stays", stays.address),
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
        refuses,
        objects,
        _stays: stays,
    }
}

impl Fixture {
    /// Sends requests for a while and checks that all succeed and that none comes to the leaving
    /// server after the bound.
    async fn check(&self) {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < BOUND / 2 {
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
            lt(BOUND / 2 - Duration::from_millis(100))
        );
    }
}

/// Guards against new work for a server that the host list calls leaving.
#[tokio::test]
async fn by_the_host_list() {
    let fixture = fixture().await;
    let host = Host {
        name: Name::from("leaving"),
        state: host::State::Leaving,
    };
    fixture.node.hosts.send_replace(Arc::new(vec![host]));
    fixture.check().await;
    assert_that!(fixture.leaving.count(), eq(2));
}

/// Guards against new work for a server that the operators' object calls leaving.
#[tokio::test]
async fn by_the_operators_object() {
    let mut fixture = fixture().await;
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
    fixture.check().await;
    assert_that!(fixture.leaving.count(), eq(2));
}

/// Guards against new work for a server whose state report says that it leaves.
#[tokio::test]
async fn by_the_state_report() {
    let fixture = fixture().await;
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
    fixture.check().await;
}

impl Fixture {
    async fn check_after_a_pause(&self) {
        let requests = (0..4).map(|_| self.node.completion(false));
        for response in futures::future::join_all(requests).await {
            expect_that!(response.status(), eq(StatusCode::OK));
        }
        expect_that!(self.leaving.count(), eq(2));
    }
}

/// Makes the node take its next look for the first one after a pause of two seconds. From then on
/// it beats.
fn pause(node: &Node) {
    let freshness = Arc::clone(&node.context.freshness);
    freshness.heartbeat(Instant::now() - Duration::from_secs(2));
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            freshness.heartbeat(Instant::now());
        }
    });
}

/// Notes that a node has read the platform after a pause.
fn read_platform(node: &Node) {
    let freshness = &node.context.freshness;
    for input in [Input::Configuration, Input::Hosts] {
        expect_true!(freshness.is_stale(input, Instant::now()));
        freshness.record_read(input, Instant::now());
    }
}

/// Guards against new work, after a pause of the process, for a server that left meanwhile and that
/// the host list of before does not call leaving.
#[gtest]
#[tokio::test]
async fn by_the_host_list_after_a_pause() {
    let fixture = fixture().await;
    pause(&fixture.node);
    let read = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let host = Host {
            name: Name::from("leaving"),
            state: host::State::Leaving,
        };
        fixture.node.hosts.send_replace(Arc::new(vec![host]));
        read_platform(&fixture.node);
    };
    tokio::join!(fixture.check_after_a_pause(), read);
}

/// Guards against new work, after a pause of the process, for a server whose last report is from
/// before.
#[gtest]
#[tokio::test]
async fn by_the_state_report_after_a_pause() {
    let fixture = fixture().await;
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
    pause(&fixture.node);
    read_platform(&fixture.node);
    fixture.check_after_a_pause().await;
}

/// Guards against a leaving server that the host list does not show yet and that each node tries
/// for itself.
#[gtest]
#[tokio::test]
async fn by_its_refusals_of_another_node() {
    let fixture = fixture().await;
    let set = Set::new(fixture.objects.clone());
    let other = Node::start_as("node-2", set, Duration::ZERO).await;
    expect_that!(other.completion(false).await.status(), eq(StatusCode::OK));
    let view = Arc::new(support::view(&[&fixture.node, &other]));
    fixture.node.members.send_replace(view);
    fixture.refuses.store(true, Ordering::Relaxed);
    fixture.check().await;
    let refused = fixture.leaving.count();
    for _ in 0..4 {
        expect_that!(other.completion(false).await.status(), eq(StatusCode::OK));
    }
    expect_that!(fixture.leaving.count(), eq(refused));
}

/// Guards against new work, after a pause or a start, for a server that refused another node as
/// leaving and that the host list does not show yet.
#[gtest]
#[tokio::test]
async fn by_its_refusals_of_another_node_after_a_pause() {
    let fixture = fixture().await;
    fixture.refuses.store(true, Ordering::Relaxed);
    fixture.check().await;
    expect_that!(fixture.leaving.count(), eq(3));
    let set = Set::new(fixture.objects.clone());
    let other = Node::start_as("node-2", set, Duration::ZERO).await;
    let view = Arc::new(support::view(&[&fixture.node, &other]));
    other.members.send_replace(view);
    pause(&other);
    read_platform(&other);
    for _ in 0..4 {
        expect_that!(other.completion(false).await.status(), eq(StatusCode::OK));
    }
    expect_that!(fixture.leaving.count(), eq(3));
}

/// Guards against a node that serves nothing while the platform is away after a pause.
#[gtest]
#[tokio::test]
async fn a_pause_in_an_outage_of_the_platform_delays_requests_by_the_limit() {
    let fixture = fixture().await;
    pause(&fixture.node);
    let started = Instant::now();
    let response = fixture.node.completion(false).await;
    expect_that!(response.status(), eq(StatusCode::OK));
    expect_that!(started.elapsed(), ge(MAX_WAIT));
    expect_that!(started.elapsed(), lt(MAX_WAIT + Duration::from_secs(1)));
}

/// Guards against a request that is sent when its time is nearly over, and against a refusal that
/// comes when the caller has gone.
#[gtest]
#[tokio::test]
async fn a_request_with_little_time_is_refused_while_servers_are_unknown() {
    let fixture = fixture().await;
    pause(&fixture.node);
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
    let error = support::error(response).await;
    expect_that!(error["code"].as_str(), some(eq("not_ready")));
    expect_that!(error["outcome"].as_str(), some(eq("not_run")));
    expect_that!(fixture.leaving.count(), eq(2));
}

/// Guards against new work for an engine that reports a withdrawn version of the model.
#[tokio::test]
async fn by_a_withdrawn_version() {
    let mut fixture = fixture().await;
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
    fixture.check().await;
}

/// Guards against new work for an engine that replaces the weights while another one is free.
#[tokio::test]
async fn by_a_swap() {
    let fixture = fixture().await;
    let state = State {
        swapping: Some(Name::from(support::MODEL)),
        ..State::default()
    };
    let states = &fixture.node.engines.states;
    states
        .lock()
        .unwrap()
        .insert(fixture.leaving.address, state);
    fixture.check().await;
}

/// Guards against a leaving server that each new request tries again.
#[tokio::test]
async fn by_its_refusals() {
    let fixture = fixture().await;
    fixture.refuses.store(true, Ordering::Relaxed);
    fixture.check().await;
    assert_that!(fixture.leaving.count(), eq(3));
}
