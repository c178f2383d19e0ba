//! The project's own interface: callers, trainers, operators and the port for other nodes.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use googletest::prelude::*;
use http::Method;
use serde_json::json;
use shallotroute_http::client::Client;
use shallotroute_standin::{
    admin::{self, Operator},
    caller::Caller,
    cluster::{Cluster, Layout, OPERATOR_KEY},
    configuration::{Configuration, Server},
    engine::{self, Engine},
    scorer::Scorer,
    service::Service,
};

use crate::{
    crowd::{self, Crowd, Delivery, Framing, Upload},
    run_alone,
    watch::{Bound, Watch},
};

/// What the node may use in these tests, and has to stay within.
const BOUND: Bound = Bound {
    memory_mb: 128,
    descriptors: 400,
};

const CALLER_KEY: &str = "caller-key";
const TRAINER_KEY: &str = "trainer-key";
const MODEL: &str = "pricing";

/// Timeout for the node to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// How long an ordinary request is tried again; the tests check no times.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// A node and its stand-ins.
struct Testbed {
    cluster: Cluster,
    engine: Engine,
    service: Service,
    scorer: Scorer,
}

/// The listener that a crowd turns to.
#[derive(Clone, Copy, Debug)]
enum Port {
    Callers,
    Admin,
    Peers,
}

impl Testbed {
    async fn start() -> Self {
        let engine = Engine::start(engine::Settings::new("engine-0", MODEL, 1))
            .await
            .expect("a free port");
        let service = Service::start("desk-0").await.expect("a free port");
        let scorer = Scorer::start().await.expect("a free port");
        let mut layout = Layout::new("lk-west", &["colombo"]);
        layout.memory_mb = Some(BOUND.memory_mb);
        layout.descriptors = Some(BOUND.descriptors);
        let program = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
        let cluster = Cluster::start(program, &layout)
            .await
            .expect("the node should start");
        let testbed = Self {
            cluster,
            engine,
            service,
            scorer,
        };
        testbed.publish().await;
        testbed
    }

    async fn publish(&self) {
        let server = |name: &str, address| {
            vec![Server {
                name: name.to_owned(),
                address,
                zone: "colombo".to_owned(),
                slots: 8,
            }]
        };
        let engines = server("engine-0", self.engine.address());
        let services = server("desk-0", self.service.address());
        let trainer = json!({
            "model": MODEL, "pool": "engines", "scorer": "scores", "staleness_bound": 2,
        });
        let configuration = Configuration::new()
            .with_model(MODEL)
            .with_engines("engines", &[MODEL], "checked", "adaptive", &engines)
            .with_services("quotes", "/quotes", true, &services)
            .with(
                "scorer",
                "scores",
                json!({ "address": self.scorer.address() }),
            )
            .with_caller("caller", CALLER_KEY, "interactive")
            .with_trainer("trainer", TRAINER_KEY, trainer);
        let live = self.cluster.await_live(START_TIMEOUT).await;
        live.unwrap_or_else(|report| panic!("{report:?}\n{}", self.cluster.logs(20)));
        let response = self
            .cluster
            .operator
            .publish(self.cluster.admin(0), &configuration.to_yaml(), "test")
            .await
            .expect("the node should respond");
        expect_that!(admin::published_revision(&response), some(gt(0)));
        let ready = self.cluster.await_ready(START_TIMEOUT).await;
        ready.unwrap_or_else(|report| panic!("{report:?}\n{}", self.cluster.logs(20)));
    }

    fn address(&self, port: Port) -> SocketAddr {
        let settings = self.cluster.nodes[0].settings();
        match port {
            Port::Callers => settings.callers,
            Port::Admin => settings.admin,
            Port::Peers => settings.peers,
        }
    }

    fn watch(&self) -> Watch {
        let pid = self.cluster.nodes[0].pid().expect("the node should run");
        let ports = [Port::Callers, Port::Admin, Port::Peers];
        Watch::start(pid, ports.map(|port| self.address(port).port()).to_vec())
    }

    /// Sends an ordinary request of a caller and one of an operator until they are answered.
    async fn expect_ordinary_answers(&self, case: &str) {
        let mut last = None;
        let trying = async {
            loop {
                // Other clients, since a connection that was open before the crowd shows less.
                let client = || Client::new(Duration::from_secs(1));
                let caller = Caller::new(client(), CALLER_KEY);
                let operator = Operator::new(client(), OPERATOR_KEY);
                let address = self.address(Port::Callers);
                let reply = caller
                    .call(address, Method::POST, "/quotes/0", None, "ordinary")
                    .await;
                let is_ready = operator.is_ready(self.address(Port::Admin));
                if reply.is_ok() && is_ready.await {
                    return;
                }
                last = Some(reply.result);
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, trying).await;
        expect_that!(answered.is_ok(), eq(true), "{case}: {last:?}");
    }
}

/// Lets a crowd act on a node, and checks the node during it, and that ordinary requests are answered while the crowd's
/// connections are still open.
async fn expect_withstood(case: &str, act: impl AsyncFnOnce(&Testbed) -> Crowd) {
    let _alone = run_alone().await;
    let testbed = Testbed::start().await;
    testbed.expect_ordinary_answers(case).await;
    let watch = testbed.watch();
    let crowd = act(&testbed).await;
    testbed.expect_ordinary_answers(case).await;
    watch.expect_within(BOUND, case);
    drop(crowd);
    testbed.expect_ordinary_answers(case).await;
    expect_that!(
        testbed.cluster.logs(1000),
        not(contains_substring("panicked"))
    );
}

/// Returns the request line and headers of a request with a key.
fn head(method: &str, path: &str, key: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n")
}

/// Lets a crowd send bodies.
async fn expect_bodies_withstood(
    case: &str,
    (port, head, count, bytes): (Port, String, usize, usize),
    framing: Framing,
    delivery: Delivery,
) {
    expect_withstood(case, async |testbed| {
        let body: Arc<[u8]> = Arc::from(vec![b'b'; bytes]);
        crowd::upload(testbed.address(port), count, |_| Upload {
            head: head.clone(),
            body: Arc::clone(&body),
            framing,
            delivery,
        })
        .await
    })
    .await;
}

/// Returns 50 requests of a caller with bodies of the largest size, 200 MB together.
fn caller_bodies() -> (Port, String, usize, usize) {
    let head = head("POST", "/quotes/0", CALLER_KEY);
    (Port::Callers, head, 50, 4 << 20)
}

/// Guards against memory that grows with the number of callers' bodies that stop short of their end.
#[gtest]
#[tokio::test]
async fn bodies_that_stop_short() {
    let delivery = Delivery::Short;
    expect_bodies_withstood(
        "own, length, short",
        caller_bodies(),
        Framing::Length,
        delivery,
    )
    .await;
    expect_bodies_withstood(
        "own, chunked, short",
        caller_bodies(),
        Framing::Chunked,
        delivery,
    )
    .await;
}

/// Guards against memory that grows with callers' bodies that arrive in pieces.
#[gtest]
#[tokio::test]
async fn bodies_in_pieces() {
    let delivery = Delivery::ShortInPieces;
    expect_bodies_withstood(
        "own, length, pieces",
        caller_bodies(),
        Framing::Length,
        delivery,
    )
    .await;
    expect_bodies_withstood(
        "own, chunked, pieces",
        caller_bodies(),
        Framing::Chunked,
        delivery,
    )
    .await;
}

/// Guards against memory that grows with callers' complete bodies, and with their responses, which nobody reads: the
/// service echoes the bodies.
#[gtest]
#[tokio::test]
async fn whole_bodies_at_once() {
    let delivery = Delivery::Whole;
    expect_bodies_withstood(
        "own, length, whole",
        caller_bodies(),
        Framing::Length,
        delivery,
    )
    .await;
    expect_bodies_withstood(
        "own, chunked, whole",
        caller_bodies(),
        Framing::Chunked,
        delivery,
    )
    .await;
}

/// Guards against memory that grows with trainers' submissions that stop short of their end.
#[gtest]
#[tokio::test]
async fn submissions_of_trainers_that_stop_short() {
    let head = head("PUT", "/v1/trainers/trainer/steps/1", TRAINER_KEY);
    let bodies = (Port::Callers, head, 16, 15 << 20);
    expect_bodies_withstood(
        "own, trainer, short",
        bodies,
        Framing::Length,
        Delivery::Short,
    )
    .await;
}

/// Guards against memory that grows with administration calls that stop short of their end.
#[gtest]
#[tokio::test]
async fn administration_calls_that_stop_short() {
    let head = head("POST", "/admin/v1/publications", OPERATOR_KEY);
    let bodies = (Port::Admin, head, 10, 30 << 20);
    expect_bodies_withstood(
        "own, admin, short",
        bodies,
        Framing::Length,
        Delivery::Short,
    )
    .await;
}

/// Guards against heads that never end: their memory and their connections.
#[gtest]
#[tokio::test]
async fn heads_without_end() {
    expect_withstood("own, heads", async |testbed| {
        let line = format!("x-filler: {}\r\n", "f".repeat(6000));
        let head = head("GET", "/quotes/0", CALLER_KEY) + &line.repeat(60);
        crowd::write(testbed.address(Port::Callers), 500, head.into_bytes()).await
    })
    .await;
}

/// Guards against connections without a byte that take all file descriptors.
#[gtest]
#[tokio::test]
async fn silent_connections() {
    for port in [Port::Callers, Port::Admin, Port::Peers] {
        expect_withstood("own, silent", async |testbed| {
            let bytes = match port {
                // The service of the configuration's revisions.
                Port::Peers => vec![1],
                Port::Callers | Port::Admin => Vec::new(),
            };
            crowd::write(testbed.address(port), 600, bytes).await
        })
        .await;
    }
}

/// Guards against memory that grows with frames of other nodes that stop short of their end.
#[gtest]
#[tokio::test]
async fn frames_that_stop_short() {
    expect_withstood("own, frames", async |testbed| {
        // The service of trainers' steps.
        let mut bytes = vec![3];
        bytes.extend((32_u32 << 20).to_be_bytes());
        bytes.extend(vec![0; 8 << 20]);
        crowd::write(testbed.address(Port::Peers), 30, bytes).await
    })
    .await;
}

/// Guards against memory that grows with responses that nobody reads.
#[gtest]
#[tokio::test]
async fn responses_that_nobody_reads() {
    expect_withstood("own, unread", async |testbed| {
        let mut request = head("POST", "/quotes/0", CALLER_KEY).into_bytes();
        let body = vec![b'b'; 1 << 20];
        request.extend(format!("content-length: {}\r\n\r\n", body.len()).into_bytes());
        request.extend(body);
        crowd::write(testbed.address(Port::Callers), 150, request.repeat(2)).await
    })
    .await;
}
