//! Backend servers in trouble whose responses have a status that is none.

use std::{path::Path, sync::Arc};

use googletest::prelude::*;
use http::StatusCode;
use shallotroute_soak::scripted::{Desk, Request, Script, Step, response};

/// Status lines that a server in trouble sends in place of its own. Only 200 to 599 end a request.
const STATUS_LINES: [&str; 7] = [
    "HTTP/1.1 000 ",
    "HTTP/1.1 000",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 Odd",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
];

/// Starts a node and three servers. The first `faulty` servers answer requests for `odd-*` with a status line.
async fn start(line: &'static str, faulty: usize) -> Desk {
    let script: Script = Arc::new(move |request: &Request| {
        let id = request.id();
        let headers = [("x-request-id", id), ("x-server-stamp", "s.200")];
        let own = response(200, &headers, &format!("id: 1\ndata: {id}\n\n"));
        if !id.starts_with("odd") || request.server >= faulty {
            return vec![Step::Write(own)];
        }
        let own = String::from_utf8_lossy(&own).into_owned();
        let (_, rest) = own
            .split_once("\r\n")
            .expect("a response has a status line");
        vec![
            Step::Write(format!("{line}\r\n{rest}").into_bytes()),
            Step::Close,
        ]
    });
    Desk::start(
        Path::new(env!("CARGO_BIN_EXE_shallotroute")),
        vec![Arc::clone(&script), Arc::clone(&script), script],
    )
    .await
    .expect("the stand-ins should start and the node should be ready")
}

/// Guards against a response that is passed to the caller although its status is none, on each path of a request.
#[gtest]
#[tokio::test]
async fn a_status_that_is_none_is_no_answer() {
    for line in STATUS_LINES {
        let desk = start(line, 3).await;
        for prefix in ["/once/", "/again/", "/streams/"] {
            let answer = desk.send(&format!("{prefix}odd"), "odd-1", &[]).await;
            let expected = any!(
                none(),
                some(eq(StatusCode::BAD_GATEWAY)),
                some(eq(StatusCode::GATEWAY_TIMEOUT))
            );
            expect_that!(answer.status, expected, "{line}, {prefix}, {answer:?}");
        }
    }
}

/// Guards against a request that fails although another server answers it.
#[gtest]
#[tokio::test]
async fn another_server_answers_after_a_status_that_is_none() {
    for line in STATUS_LINES {
        let desk = start(line, 2).await;
        for prefix in ["/again/", "/streams/"] {
            let answer = desk.send(&format!("{prefix}odd"), "odd-1", &[]).await;
            expect_that!(
                answer.status,
                some(eq(StatusCode::OK)),
                "{line}, {prefix}, {answer:?}"
            );
        }
    }
}
