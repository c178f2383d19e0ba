//! Responses of servers that stop at any byte of the head or the body and close or reset the connection.

use std::{
    collections::BTreeSet,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{StreamExt, stream};
use googletest::prelude::*;
use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_soak::scripted::{self, Answer, Bounds, Call, Desk, Request, Script, Step};

const BINARY: &str = env!("CARGO_BIN_EXE_shallotroute");

/// The number of servers. One cuts the first response to a request, and the others answer.
const SERVERS: usize = 12;

/// The number of requests at a time.
const PARALLEL: usize = 4;

/// The number of events of a stream.
const EVENTS: usize = 3;

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// How a server stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Close,
    Reset,
}

/// A response that ends before its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Cut {
    framing: Framing,
    stop: Stop,
    /// The number of bytes that are sent.
    length: usize,
}

impl Cut {
    /// Returns the identity of a request whose first response is cut so. All have the same length.
    fn id(self, attempt: usize) -> String {
        let framing = match self.framing {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "closed",
        };
        let stop = match self.stop {
            Stop::Close => "close",
            Stop::Reset => "reset",
        };
        format!("{attempt}-{framing}-{stop}-{:03}", self.length)
    }

    /// Parses the identity of a request or of its scoring.
    fn parse(id: &str) -> Option<Self> {
        let mut parts = id.split('-').skip(1);
        let framing = match parts.next()? {
            "length" => Framing::Length,
            "chunks" => Framing::Chunks,
            _ => Framing::Close,
        };
        let stop = match parts.next()? {
            "close" => Stop::Close,
            _ => Stop::Reset,
        };
        let length = parts.next()?.parse().ok()?;
        Some(Self {
            framing,
            stop,
            length,
        })
    }

    /// Returns all cuts of the response to a request with the identity `id`, but for those that nobody can notice: a body
    /// without a length ends where the server closes.
    fn all(target: &str, id: &str) -> Vec<Self> {
        let mut cuts = Vec::new();
        for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
            let whole = whole(framing, target, id);
            let head = head_length(&whole);
            for stop in [Stop::Close, Stop::Reset] {
                let noticed = match (framing, stop) {
                    (Framing::Close, Stop::Close) => head,
                    _ => whole.len(),
                };
                // Each byte of the head and of the end of the body once; the way that the server stops alternates.
                let lengths = (1..noticed).filter(|length| stop == Stop::Close || length % 5 == 0);
                cuts.extend(lengths.map(|length| Self {
                    framing,
                    stop,
                    length,
                }));
            }
        }
        cuts
    }
}

fn head_length(response: &[u8]) -> usize {
    let end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    end.map_or(0, |end| end + 4)
}

/// Returns the whole body of a response.
fn body(target: &str, id: &str) -> String {
    match target.starts_with("/streams/") || target.starts_with("/jobs/") {
        true => (1..=EVENTS)
            .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
            .collect(),
        false => format!("answer to {id}"),
    }
}

/// Returns the bytes of a whole response.
fn whole(framing: Framing, target: &str, id: &str) -> Vec<u8> {
    let stamp = format!("s.{id}");
    let headers = [
        ("x-request-id", id),
        ("x-server-stamp", stamp.as_str()),
        ("x-weight-versions", "1"),
    ];
    let body = body(target, id);
    match framing {
        Framing::Length => scripted::response(200, &headers, &body),
        Framing::Chunks => {
            let (first, second) = body.split_at(body.len() / 2);
            let parts = [
                scripted::chunked(200, &headers),
                scripted::chunk(first),
                scripted::chunk(second),
            ];
            [parts.concat(), scripted::LAST_CHUNK.to_vec()].concat()
        }
        Framing::Close => scripted::unframed(200, &headers, &body),
    }
}

/// Returns the script of servers that cut the first response to each request as its identity says. The identities of the
/// requests whose responses were cut are in the set.
fn cutting() -> (Vec<Script>, Arc<Mutex<BTreeSet<String>>>) {
    let cut: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let seen = Arc::clone(&cut);
    let script: Script = Arc::new(move |request: &Request| {
        let (id, target) = (request.id(), request.target.as_str());
        let first = seen
            .lock()
            .expect("no holder of the lock panics")
            .insert(id.to_owned());
        match Cut::parse(id).filter(|_| first) {
            Some(cut) => {
                let mut bytes = whole(cut.framing, target, id);
                bytes.truncate(cut.length);
                let end = match cut.stop {
                    Stop::Close => Step::Close,
                    Stop::Reset => Step::Reset,
                };
                vec![Step::Write(bytes), end]
            }
            None => vec![Step::Write(whole(Framing::Length, target, id))],
        }
    });
    (vec![script; SERVERS], cut)
}

/// Sends a request for each cut to the first node. Returns the answers that look like successes and are not whole.
async fn find_short_answers(
    desk: &Desk,
    prefix: &str,
    sent: &Mutex<BTreeSet<String>>,
) -> Vec<(String, Answer)> {
    let sample = Cut {
        framing: Framing::Length,
        stop: Stop::Close,
        length: 0,
    }
    .id(0);
    let cuts = Cut::all(prefix, &sample);
    let answers = stream::iter(cuts).map(|cut| async move {
        let mut last = None;
        for attempt in 0..8 {
            let id = cut.id(attempt);
            let answer = desk.send(&format!("{prefix}{id}"), &id, &[]).await;
            if sent
                .lock()
                .expect("no holder of the lock panics")
                .contains(&id)
            {
                return (id, Ok(answer));
            }
            last = Some(answer);
            // The servers are in back-off after the responses before.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        (cut.id(9), Err(last))
    });
    let answers: Vec<_> = answers.buffer_unordered(PARALLEL).collect().await;
    let unsent: Vec<_> = answers
        .iter()
        .filter(|(_, answer)| answer.is_err())
        .collect();
    expect_that!(
        unsent.len(),
        eq(0),
        "requests that reached no server, such as {:?}",
        unsent.first()
    );
    let is_short = |id: &str, answer: &Answer| {
        let is_success = answer.status.is_some_and(|status| status.is_success());
        is_success && answer.is_complete && answer.body != body(prefix, id)
    };
    answers
        .into_iter()
        .filter_map(|(id, answer)| Some((id, answer.ok()?)))
        .filter(|(id, answer)| is_short(id, answer))
        .collect()
}

/// Guards against a success with an empty or short body, framed as whole, because a server stopped in the middle of its
/// response: one that may run once, one that may be repeated, and a stream.
#[gtest]
#[tokio::test]
async fn a_response_that_is_cut_at_any_byte_does_not_look_whole() {
    let (scripts, sent) = cutting();
    let desk = Desk::start(Path::new(BINARY), scripts)
        .await
        .expect("the stand-ins should start and the node should be ready");
    for prefix in ["/once/", "/again/", "/streams/"] {
        expect_that!(
            find_short_answers(&desk, prefix, &sent).await,
            is_empty(),
            "{prefix}"
        );
    }
}

/// Guards against the same where another node passes the request on.
#[gtest]
#[tokio::test]
async fn a_relayed_response_that_is_cut_at_any_byte_does_not_look_whole() {
    let (scripts, sent) = cutting();
    let desk = Desk::start_with(Path::new(BINARY), scripts, 2, Some(json!([])))
        .await
        .expect("the stand-ins should start and the nodes should be ready");
    desk.await_relays(0)
        .await
        .expect("the other node should pass requests on");
    expect_that!(find_short_answers(&desk, "/open/", &sent).await, is_empty());
}

/// Guards against an item with an empty or short text, or with a part of a score, because its server or its scorer stopped in
/// the middle of the response.
#[gtest]
#[tokio::test]
async fn an_item_whose_responses_are_cut_at_any_byte_is_whole() {
    let bounds = Bounds {
        nodes: 1,
        memory_mb: 256,
        descriptors: 1000,
        max_body_bytes: 1 << 20,
    };
    let (scripts, _) = cutting();
    let desk = Desk::start_bounded(Path::new(BINARY), scripts, bounds)
        .await
        .expect("the stand-ins should start and the node should be ready");
    let call = |method, target: &'static str, body| Call {
        node: 0,
        method,
        target,
        id: "job",
        headers: &[("x-max-wait", "1000")],
        body,
    };
    let sample = Cut {
        framing: Framing::Length,
        stop: Stop::Close,
        length: 0,
    }
    .id(0);
    let ids: Vec<String> = Cut::all("/jobs/", &sample)
        .into_iter()
        .map(|cut| cut.id(0))
        .collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let job = scripted::job(&names, &json!({"X-Model": "scripted-model"}));
    let submitted = desk.call(call("POST", "/jobs/job", job)).await;
    expect_that!(submitted.status, some(eq(StatusCode::ACCEPTED)));
    let mut results = Vec::new();
    for _ in 0..60 {
        let target = "/lots/job?after=0";
        let page = desk.call(call("GET", target, Vec::new())).await;
        let page: Value = serde_json::from_str(&page.body).unwrap_or_default();
        results = page["results"].as_array().cloned().unwrap_or_default();
        if results.len() == ids.len() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    expect_that!(results.len(), eq(ids.len()));
    for result in &results {
        let id = result["id"].as_str().unwrap_or_default();
        let text: Vec<String> = (1..=EVENTS)
            .map(|number| format!("{id} {number}"))
            .collect();
        expect_that!(result["state"], eq(&json!("completed")), "{result}");
        expect_that!(result["text"], eq(&json!(text.join("\n"))), "{result}");
        expect_that!(
            result["score"],
            eq(&json!(format!("s.{id}-score"))),
            "{result}"
        );
    }
}
