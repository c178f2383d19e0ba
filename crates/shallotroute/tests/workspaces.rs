//! Workspaces and API keys on all paths from callers to backend servers.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_soak::scripted::{self, Answer, Call, Desk, Request, Script, Step, response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// API keys of the workspace `alpha`, one of `beta`, and one that no workspace has. Each contains [`MARK`].
const ALPHA: &str = "Token key-mark-alpha-1";
const ALPHA_TOO: &str = "tOkEn key-mark-alpha-2";
const BETA: &str = "Token key-mark-beta";
const UNKNOWN: &str = "Token key-mark-unknown";

/// Occurs in each key, and must not occur in a log, a dump, a metric or a message to a server.
const MARK: &str = "key-mark";

/// The time within which a change takes effect.
const TIMEOUT: Duration = Duration::from_secs(10);

fn workspaces() -> Value {
    json!([
        {"name": "alpha", "apiKeys": ["key-mark-alpha-1", "key-mark-alpha-2"], "priority": 1},
        {"name": "beta", "apiKeys": ["key-mark-beta"]},
    ])
}

/// Returns the workspaces after the first key of `alpha` was removed.
fn without_first_key() -> Value {
    json!([{"name": "alpha", "apiKeys": ["key-mark-alpha-2"]}, {"name": "beta", "apiKeys": ["key-mark-beta"]}])
}

async fn start(script: Script, nodes: usize) -> Desk {
    let binary = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    let scripts = vec![Arc::clone(&script), Arc::clone(&script), script];
    Desk::start_with(binary, scripts, nodes, Some(workspaces()))
        .await
        .expect("the stand-ins should start and the nodes should be ready")
}

fn success(id: &str) -> Vec<Step> {
    let headers = [("x-request-id", id), ("x-server-stamp", "s.200")];
    vec![Step::Write(response(200, &headers, id))]
}

/// Returns the steps that send an event of a stream.
fn event(id: &str, number: u64) -> Vec<Step> {
    let headers = [
        ("x-request-id", id),
        ("x-server-stamp", "s.200"),
        ("x-weight-versions", "1"),
    ];
    let event = format!("id: {number}\ndata: {id}\n\n");
    vec![
        Step::Write(scripted::chunked(200, &headers)),
        Step::Write(scripted::chunk(&event)),
    ]
}

/// Returns a script by which the first attempt of each request fails: it is rejected, or a stream breaks off after its
/// first event and `pause`. The second attempt succeeds.
fn failing_first(pause: Duration) -> Script {
    let last = std::sync::Mutex::new(String::new());
    Arc::new(move |request: &Request| {
        let id = request.id();
        let is_first = std::mem::replace(
            &mut *last.lock().expect("no holder of the lock panics"),
            id.to_owned(),
        ) != id;
        let is_stream = ["/streams/", "/jobs/"]
            .iter()
            .any(|prefix| request.target.starts_with(prefix));
        match (is_stream, is_first && !id.starts_with("ready")) {
            (false, true) if id.starts_with("retry") => {
                let headers = [("x-request-id", id), ("x-not-executed", "1")];
                vec![Step::Write(response(503, &headers, ""))]
            }
            (false, _) => success(id),
            (true, is_first) => {
                let mut steps = event(id, request.resume_after() + 1);
                steps.extend(match is_first && id.starts_with("broken") {
                    true => vec![Step::Wait(pause), Step::Close],
                    false => vec![Step::Write(scripted::LAST_CHUNK.to_vec())],
                });
                steps
            }
        }
    })
}

/// Returns what the servers got of a request: the workspaces that were named, one for each attempt.
fn workspaces_at_servers(desk: &Desk, id: &str) -> Vec<Option<String>> {
    let requests = desk.requests();
    let of_request = requests.iter().filter(|request| request.id() == id);
    of_request
        .map(|request| request.headers.get("x-tenant").cloned())
        .collect()
}

/// Checks that no API key has reached a server, a log, a dump or a metric.
async fn expect_no_key(desk: &Desk, nodes: usize) {
    for request in desk.requests() {
        let headers = format!("{:?}", request.headers);
        expect_that!(headers, not(contains_substring(MARK)));
        expect_that!(headers, not(contains_substring("authorization")));
    }
    for node in 0..nodes {
        let (dump, metrics) = desk.state(node).await;
        expect_that!(dump.to_string(), not(contains_substring(MARK)));
        expect_that!(dump["configuration"]["workspaces"][0]["name"], eq("alpha"));
        expect_that!(metrics, not(contains_substring(MARK)));
        expect_that!(desk.log_of(node), not(contains_substring(MARK)));
    }
    expect_that!(desk.errors(), not(contains_substring(MARK)));
}

/// Guards against a caller that is served without a key, that poses as another workspace, or whose key reaches a
/// server, on first and later attempts and on streams.
#[gtest]
#[tokio::test]
async fn servers_learn_the_workspace_and_never_the_key() {
    let desk = start(failing_first(Duration::from_millis(30)), 1).await;
    let (none, alpha) = (None, Some("alpha"));
    let cases = [
        ("/again/plain", Some(ALPHA), 200, alpha, 1),
        ("/once/plain", Some(ALPHA_TOO), 200, alpha, 1),
        ("/again/retry", Some(BETA), 200, Some("beta"), 2),
        ("/streams/plain", Some(ALPHA), 200, alpha, 1),
        ("/streams/broken", Some(ALPHA_TOO), 200, alpha, 2),
        ("/open/without", None, 200, none, 1),
        ("/open/unknown", Some(UNKNOWN), 200, none, 1),
        ("/open/known", Some(ALPHA), 200, alpha, 1),
        ("/again/missing", None, 401, none, 0),
        ("/again/unknown", Some(UNKNOWN), 401, none, 0),
        ("/streams/unknown", Some(UNKNOWN), 401, none, 0),
        (
            "/once/scheme",
            Some("Bearer key-mark-alpha-1"),
            401,
            none,
            0,
        ),
        ("/jobs/unknown", Some(UNKNOWN), 401, none, 0),
    ];
    for (target, key, status, workspace, attempts) in cases {
        let id = target.rsplit('/').next().unwrap_or_default();
        let id = format!("{id}{}", target.replace('/', "-"));
        // The caller poses as another workspace, and has the headers removed that the node sets.
        let mut headers = vec![("x-tenant", "forged"), ("connection", "x-tenant")];
        headers.extend(key.map(|key| ("authorization", key)));
        let answer = desk.send(target, &id, &headers).await;
        expect_that!(
            answer.status.map(|status| status.as_u16()),
            some(eq(status)),
            "{target}"
        );
        let expected = vec![workspace.map(str::to_owned); attempts];
        expect_that!(workspaces_at_servers(&desk, &id), eq(&expected), "{target}");
    }
    expect_no_key(&desk, 1).await;
}

/// Sends the head of a request whose body does not follow, and returns the connection.
async fn send_head(desk: &Desk, target: &str, id: &str, key: &str) -> TcpStream {
    let mut stream = TcpStream::connect(desk.address(0))
        .await
        .expect("the node should accept connections");
    let head = format!(
        "POST {target} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\nauthorization: {key}\r\n\
         content-length: 2\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the node should read the head");
    stream
}

/// Returns the status line of the response on a connection.
async fn read_status(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 12];
    let reading = stream.read_exact(&mut bytes);
    let read = tokio::time::timeout(TIMEOUT, reading).await;
    expect_that!(read.is_ok_and(|read| read.is_ok()), eq(true));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Removes the first key of `alpha`, and waits until the node rejects it.
async fn remove_first_key(desk: &Desk) {
    desk.set_workspaces(&without_first_key());
    let began = Instant::now();
    let key = [("authorization", ALPHA)];
    while desk.send("/again/poll", "poll", &key).await.status != Some(StatusCode::UNAUTHORIZED) {
        assert_that!(began.elapsed(), lt(TIMEOUT));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a caller without a valid key that makes a node read a body, and against a request that is sent
/// although its key was removed while its body arrived.
#[gtest]
#[tokio::test]
async fn a_key_counts_when_the_request_is_sent() {
    let desk = start(failing_first(Duration::ZERO), 1).await;
    let mut unknown = send_head(&desk, "/again/head", "head", UNKNOWN).await;
    expect_that!(read_status(&mut unknown).await, eq("HTTP/1.1 401"));
    // A caller that does not wait for the response still gets it.
    for number in 0..20 {
        let call = Call {
            node: 0,
            method: "POST",
            target: "/again/large",
            id: "large",
            headers: &[("authorization", UNKNOWN)],
            body: vec![b'x'; 1 << 20],
        };
        let status = desk.call(call).await.status;
        expect_that!(status, some(eq(StatusCode::UNAUTHORIZED)), "{number}");
    }
    let mut waiting = Vec::new();
    for (target, id) in [("/again/a", "a"), ("/streams/b", "b"), ("/jobs/c", "c")] {
        waiting.push((id, send_head(&desk, target, id, ALPHA).await));
    }
    remove_first_key(&desk).await;
    for (id, stream) in &mut waiting {
        let body = stream.write_all(b"{}").await;
        expect_that!(body.is_ok(), eq(true));
        expect_that!(read_status(stream).await, eq("HTTP/1.1 401"), "{id}");
        expect_that!(workspaces_at_servers(&desk, id), is_empty());
    }
    let other_key = [("authorization", ALPHA_TOO)];
    let answer = desk.send("/again/other", "other", &other_key).await;
    expect_that!(answer.status, some(eq(StatusCode::OK)));
    expect_no_key(&desk, 1).await;
}

/// Guards against an attempt after the first one that is sent although the key was removed meanwhile: a hedged attempt,
/// a retry and the resumption of a stream.
#[gtest]
#[tokio::test]
async fn later_attempts_are_not_sent_with_a_removed_key() {
    let breaking = failing_first(Duration::from_millis(900));
    let script: Script = Arc::new(move |request: &Request| match request.id() {
        // The first server runs it and gives no response.
        "hedged" => vec![Step::Wait(Duration::from_millis(900)), Step::Close],
        _ => breaking(request),
    });
    let desk = start(script, 1).await;
    let key = [("authorization", ALPHA)];
    let (hedged, stream, ()) = tokio::join!(
        desk.send("/again/hedged", "hedged", &key),
        desk.send("/streams/broken", "broken", &key),
        async {
            // After the first attempts and before the hedged one, which is due after 220 ms.
            tokio::time::sleep(Duration::from_millis(60)).await;
            remove_first_key(&desk).await;
        }
    );
    expect_that!(workspaces_at_servers(&desk, "hedged"), len(eq(1)));
    expect_that!(hedged.status, some(eq(StatusCode::BAD_GATEWAY)));
    expect_that!(workspaces_at_servers(&desk, "broken"), len(eq(1)));
    expect_that!(stream.status, some(eq(StatusCode::OK)));
    expect_that!(stream.is_complete, eq(false));
}

/// Calls a node about the batch job `job`.
async fn call(desk: &Desk, node: usize, method: &str, target: &str, key: Option<&str>) -> Answer {
    let headers: Vec<_> = key.map(|key| ("authorization", key)).into_iter().collect();
    let items =
        json!({"X-Tenant": "forged", "Authorization": "Token key-mark-item", "X-Model": "m"});
    let body = match method {
        "POST" => scripted::job(&["item-0", "item-1"], &items),
        _ => Vec::new(),
    };
    let call = Call {
        node,
        method,
        target,
        id: "job",
        headers: &headers,
        body,
    };
    desk.call(call).await
}

/// Checks who may call the nodes about the job of `alpha`.
async fn expect_only_alpha(desk: &Desk, context: &str) {
    let calls = [
        ("GET", "/lots/job?after=0"),
        ("GET", "/items/job?id=item-0"),
        ("POST", "/jobs/job"),
    ];
    for node in 0..2 {
        for (method, target) in calls {
            let own = if method == "POST" { 202 } else { 200 };
            for (key, status) in [
                (Some(ALPHA), own),
                (Some(ALPHA_TOO), own),
                (Some(BETA), 404),
                (Some(UNKNOWN), 401),
                (None, 401),
            ] {
                let answer = call(desk, node, method, target, key).await;
                let answered = answer.status.map(|status| status.as_u16());
                expect_that!(
                    answered,
                    some(eq(status)),
                    "{context}: {method} {target} at node {node} with {key:?}"
                );
            }
        }
        for (key, status) in [(Some(BETA), 404), (Some(UNKNOWN), 401), (None, 401)] {
            let answer = call(desk, node, "DELETE", "/lots/job", key).await;
            let answered = answer.status.map(|status| status.as_u16());
            expect_that!(answered, some(eq(status)), "{context}: end with {key:?}");
        }
    }
}

/// Waits until two nodes know that both of them are registered, and read the host list from the store, which names the
/// servers by the links of the node that reads it.
async fn await_members(desk: &Desk) {
    let began = Instant::now();
    for node in 0..2 {
        loop {
            let (dump, _) = desk.state(node).await;
            let members = dump["members"]["nodes"].as_array().map(Vec::len);
            if members == Some(2) && dump["view"]["watches_store"] == true {
                break;
            }
            assert_that!(began.elapsed(), lt(TIMEOUT));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Waits until the results of the job can be read.
async fn await_results(desk: &Desk) -> bool {
    let began = Instant::now();
    while began.elapsed() < TIMEOUT {
        let page = call(desk, 0, "GET", "/lots/job?after=0", Some(ALPHA_TOO)).await;
        if page.body.contains("item-0") && page.body.contains("item-1") {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Guards against a job that another workspace can read, end or submit again, at its owner or at another node, of this
/// or an earlier build, and against items that reach servers as another workspace.
#[gtest]
#[tokio::test]
async fn a_job_belongs_to_its_workspace() {
    let desk = start(failing_first(Duration::ZERO), 2).await;
    await_members(&desk).await;
    let submitted = call(&desk, 0, "POST", "/jobs/job", Some(ALPHA)).await;
    expect_that!(submitted.status, some(eq(StatusCode::ACCEPTED)));
    expect_only_alpha(&desk, "at once").await;
    expect_that!(await_results(&desk).await, eq(true));
    for item in ["item-0", "item-1"] {
        let named = workspaces_at_servers(&desk, item);
        expect_that!(named, each(some(eq("alpha"))), "{item}");
        expect_that!(named, not(is_empty()));
        // The scoring requests of the system have no workspace.
        let scored = workspaces_at_servers(&desk, &format!("{item}-score"));
        expect_that!(scored, each(none()));
        expect_that!(scored, not(is_empty()));
    }
    for node in 0..2 {
        desk.hide_protocol(node)
            .expect("the nodes should be registered");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_only_alpha(&desk, "at nodes of an earlier build").await;
    let ended = call(&desk, 1, "DELETE", "/lots/job", Some(ALPHA_TOO)).await;
    expect_that!(ended.status, some(eq(StatusCode::OK)));
    expect_no_key(&desk, 2).await;
}

/// Returns whether the job `job` has ended at its owner; `None` if no node runs it.
async fn has_ended(desk: &Desk) -> Option<bool> {
    for node in 0..2 {
        let (dump, _) = desk.state(node).await;
        if let Some(job) = dump["jobs"].as_array().and_then(|jobs| jobs.first()) {
            return job["ended"].as_bool();
        }
    }
    None
}

/// Guards against another workspace that ends a job since the node that it asked can't tell, for the time being, whose
/// job it is, and against an end that is lost then.
#[gtest]
#[tokio::test]
async fn an_end_that_is_stored_late_is_that_of_the_jobs_workspace() {
    let script: Script = Arc::new(|request: &Request| match request.id().starts_with("item") {
        true => vec![Step::Wait(Duration::from_secs(8)), Step::Close],
        false => success(request.id()),
    });
    let desk = start(script, 2).await;
    await_members(&desk).await;
    for node in 0..2 {
        desk.hide_protocol(node)
            .expect("the nodes should be registered");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let submitted = call(&desk, 0, "POST", "/jobs/job", Some(ALPHA)).await;
    expect_that!(submitted.status, some(eq(StatusCode::ACCEPTED)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (key, by_others) in [
        (BETA, StatusCode::NOT_FOUND),
        (ALPHA, StatusCode::SERVICE_UNAVAILABLE),
    ] {
        desk.set_store_available(false);
        let mut statuses = Vec::new();
        for node in 0..2 {
            let answer = call(&desk, node, "DELETE", "/lots/job", Some(key)).await;
            statuses.extend(answer.status);
        }
        // The owner knows the workspace, and the other node does not.
        let unknown = StatusCode::SERVICE_UNAVAILABLE;
        expect_that!(
            statuses,
            unordered_elements_are![eq(&by_others), eq(&unknown)],
            "{key}"
        );
        desk.set_store_available(true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        expect_that!(has_ended(&desk).await, some(eq(key == ALPHA)), "{key}");
    }
}

/// Guards against other headers than before where the configuration has no workspaces.
#[gtest]
#[tokio::test]
async fn headers_stay_as_they_are_without_workspaces() {
    let script: Script = Arc::new(|request: &Request| success(request.id()));
    let binary = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    let desk = Desk::start(binary, vec![script])
        .await
        .expect("the stand-ins should start and the node should be ready");
    let headers = [("authorization", "Token own"), ("x-tenant", "own")];
    let answer = desk.send("/again/one", "one", &headers).await;
    expect_that!(answer.status, some(eq(StatusCode::OK)));
    let requests = desk.requests();
    let sent = requests.iter().find(|request| request.id() == "one");
    for (name, value) in headers {
        let received = sent.and_then(|request| request.headers.get(name));
        expect_that!(received.map(String::as_str), some(eq(value)));
    }
    let (dump, _) = desk.state(0).await;
    expect_that!(dump["configuration"]["workspaces"], eq(&Value::Null));
}

/// Guards against a request that reaches a server with its key or as another workspace because another node relays it.
#[gtest]
#[tokio::test]
async fn a_relayed_request_keeps_its_workspace() {
    let desk = start(failing_first(Duration::ZERO), 2).await;
    await_members(&desk).await;
    desk.cut_links(0);
    let headers = [("authorization", ALPHA), ("x-tenant", "forged")];
    let began = Instant::now();
    for number in 0.. {
        let id = format!("relayed-{number}");
        let answer = desk.send(&format!("/again/{id}"), &id, &headers).await;
        let named = workspaces_at_servers(&desk, &id);
        expect_that!(named, each(some(eq("alpha"))));
        let (dump, _) = desk.state(0).await;
        if dump["links"] == "lost" && answer.status == Some(StatusCode::OK) {
            break;
        }
        assert_that!(began.elapsed(), lt(TIMEOUT));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    expect_no_key(&desk, 2).await;
}

/// Guards against an invalid configuration that takes effect, and against its keys in the log.
#[gtest]
#[tokio::test]
async fn an_invalid_configuration_is_reported_whole_and_without_its_keys() {
    let desk = start(failing_first(Duration::ZERO), 1).await;
    desk.set_workspaces(&json!([
        {"name": "alpha", "apiKeys": ["key-mark-shared"]},
        {"name": "alpha", "apiKeys": ["key-mark-other"]},
        {"apiKeys": ["key-mark-shared"]},
        {"name": "gamma", "apiKeys": "key-mark-text"},
    ]));
    let began = Instant::now();
    let line = loop {
        let log = desk.log();
        let line = log
            .lines()
            .find(|line| line.contains("two workspaces have"));
        if let Some(line) = line {
            break line.to_owned();
        }
        assert_that!(began.elapsed(), lt(TIMEOUT));
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    for problem in ["has no name", "API key in common", "`apiKeys` is malformed"] {
        expect_that!(line, contains_substring(problem));
    }
    let key = [("authorization", ALPHA)];
    let answer = desk.send("/again/still", "still", &key).await;
    expect_that!(answer.status, some(eq(StatusCode::OK)));
    let answer = desk.send(
        "/again/new",
        "new",
        &[("authorization", "Token key-mark-other")],
    );
    expect_that!(answer.await.status, some(eq(StatusCode::UNAUTHORIZED)));
    expect_no_key(&desk, 1).await;
}
