//! `shallotctl explain` against a node with stand-ins.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_ctl::Exit;
use shallotroute_http::{body, client::Client};
use shallotroute_soak::scripted::{Desk, Request, Script, Step, response};

const KEY: &str = "Token key-mark-alpha";
const HOST: &str = "desk.example";

async fn start() -> Desk {
    let script: Script = Arc::new(|request: &Request| {
        let headers = [("x-request-id", request.id()), ("x-server-stamp", "s.200")];
        vec![Step::Write(response(200, &headers, request.id()))]
    });
    let workspaces = json!([{"name": "alpha", "apiKeys": ["key-mark-alpha"], "priority": 1}]);
    let binary = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    let scripts = vec![Arc::clone(&script), Arc::clone(&script), script];
    Desk::start_with(binary, scripts, 1, Some(workspaces))
        .await
        .expect("the stand-ins should start and the node should be ready")
}

/// Explains a request. Returns the exit and what the command writes to standard output and standard error.
async fn explain(desk: &Desk, path: &str, id: &str, more: &[&str]) -> (Exit, String, String) {
    let node = desk.metrics_address(0).to_string();
    let request = [
        "explain", "--node", &node, "--host", HOST, "--path", path, "--id", id,
    ];
    let arguments = request.iter().chain(more).map(ToString::to_string);
    let arguments: Vec<String> = arguments.collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = shallotroute_ctl::run(&arguments, &mut out, &mut err).await;
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    let exit = exit.expect("memory should be writable");
    (exit, text(out), text(err))
}

/// Waits until the node knows that it is registered.
async fn await_registration(desk: &Desk) {
    let began = Instant::now();
    while desk.state(0).await.0["members"]["nodes"] == json!([]) {
        assert_that!(began.elapsed(), lt(Duration::from_secs(10)));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the counts of requests, their attempts and jobs.
async fn counts(desk: &Desk) -> Vec<String> {
    let (_, metrics) = desk.state(0).await;
    let names = [
        "requests",
        "attempts",
        "admissions",
        "jobs",
        "permits",
        "request_seconds",
    ];
    let is_count = |line: &&str| {
        names
            .iter()
            .any(|name| line.starts_with(&format!("shallotroute_site_{name}")))
    };
    metrics.lines().filter(is_count).map(Into::into).collect()
}

/// Guards against an explanation that names another server than the one that the request is then sent to, and against
/// one that sends or counts anything.
#[gtest]
#[tokio::test]
async fn requests_go_where_the_explanation_says() {
    let desk = start().await;
    for number in 0..12 {
        let id = format!("asked-{number}");
        let path = format!("/again/{id}");
        let before = counts(&desk).await;
        let (exit, out, err) =
            explain(&desk, &path, &id, &["--workspace", "alpha", "--json"]).await;
        expect_that!(exit, eq(Exit::Done), "{err}");
        let value: Value = serde_json::from_str(&out).expect("the output should be JSON");
        let first = &value["servers"][0];
        expect_that!(value["decision"]["outcome"], eq("sent"));
        expect_that!(value["access"]["priority"], eq(1));
        expect_that!(value["admission"]["retry_after_max_ms"], eq(&Value::Null));
        expect_that!(counts(&desk).await, eq(&before));
        let is_sent = desk.requests().iter().any(|request| request.id() == id);
        expect_that!(is_sent, eq(false));
        let answer = desk.send(&path, &id, &[("authorization", KEY)]).await;
        expect_that!(answer.status, some(eq(StatusCode::OK)));
        let requests = desk.requests();
        let sent = requests.iter().find(|request| request.id() == id);
        let server = sent.map(|request| format!("{}-{}", scripted_service(first), request.server));
        expect_that!(server.as_deref(), eq(first["id"].as_str()));
    }
    expect_that!(desk.log(), not(contains_substring("key-mark")));
}

/// Returns the part of a server's identity before its number.
fn scripted_service(server: &Value) -> &str {
    let id = server["id"].as_str().unwrap_or_default();
    id.rsplit_once('-').map_or(id, |(service, _)| service)
}

/// Guards against a refused request whose reason is missing, and against a workspace, such as a key that was given in its
/// place, that is repeated.
#[gtest]
#[tokio::test]
async fn refusals_are_explained() {
    let desk = start().await;
    let cases: [(&str, &[&str], &str); 4] = [
        ("/nowhere/x", &["--workspace", "alpha"], "(status 404)"),
        ("/again/x", &[], "(status 401)"),
        (
            "/again/x",
            &["--workspace", "key-mark-alpha"],
            "no workspace with this name",
        ),
        ("/jobs/x", &[], "(status 401)"),
    ];
    for (path, more, reason) in cases {
        let (exit, out, err) = explain(&desk, path, "x", more).await;
        expect_that!(exit, eq(Exit::Refused), "{path}");
        expect_that!(err, contains_substring(reason));
        expect_that!(format!("{out}{err}"), not(contains_substring("key-mark")));
    }
    let (exit, out, _) = explain(&desk, "/open/x", "x", &[]).await;
    expect_that!(exit, eq(Exit::Done));
    expect_that!(
        out,
        contains_substring("no key required, sent as anonymous")
    );
    await_registration(&desk).await;
    let (exit, out, _) = explain(&desk, "/jobs/x", "x", &["--workspace", "alpha"]).await;
    expect_that!(exit, eq(Exit::Done));
    expect_that!(out, contains_substring("owner      node-0"));
    expect_that!(out, contains_substring("due after 7500 ms"));
    let client = Client::new(Duration::from_secs(1));
    for query in [
        "host=h&path=a&id=i",
        "path=/a&id=i",
        "host=h&path=/a&id=i&key=key-mark",
        "",
    ] {
        let address = desk.metrics_address(0);
        let request = http::Request::get(format!("http://{address}/admin/v1/explain?{query}"));
        let request = request.body(body::empty()).expect("the query is valid");
        let response = client.send(request).await.expect("the node should respond");
        expect_that!(response.status(), eq(StatusCode::BAD_REQUEST), "{query}");
        let content = body::read(response.into_body(), 1 << 20).await;
        let content = content.expect("the response should be whole");
        expect_that!(
            String::from_utf8_lossy(&content),
            not(contains_substring("key-mark"))
        );
    }
}
