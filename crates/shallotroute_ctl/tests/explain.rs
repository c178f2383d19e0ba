//! The command line of `shallotctl explain` and its errors.

use std::net::TcpListener;

use googletest::prelude::*;
use shallotroute_ctl::Exit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const NODE: [&str; 3] = ["--node", "127.0.0.1:1", "explain"];

/// Runs a command. Returns its exit and what it writes to standard output and standard error.
async fn run(arguments: &[&str]) -> (Exit, String, String) {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = shallotroute_ctl::run(&arguments, &mut out, &mut err).await;
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (
        exit.expect("memory should be writable"),
        text(out),
        text(err),
    )
}

/// Guards against incomplete or malformed input that is sent to a node or explained wrongly.
#[gtest]
#[tokio::test]
async fn wrong_usage_is_named() {
    let cases: [(&[&str], &str); 6] = [
        (&["--path", "/a", "--id", "i"], "--host"),
        (&["--host", "h", "--id", "i"], "--path"),
        (&["--host", "h", "--path", "/a"], "--id"),
        (
            &["--host", "", "--path", "/a", "--id", "i"],
            "--host is empty",
        ),
        (&["--host", "h", "--path", "a", "--id", "i"], "slash"),
        (&["--host", "h", "--path", "/a?b", "--id", "i"], "no query"),
    ];
    for (arguments, reason) in cases {
        let (exit, _, err) = run(&[&NODE[..], arguments].concat()).await;
        expect_that!(exit, eq(Exit::Usage), "{arguments:?}");
        expect_that!(err, contains_substring(reason));
    }
    let (exit, _, err) = run(&["explain", "--host", "h", "--path", "/a", "--id", "i"]).await;
    expect_that!(exit, eq(Exit::Usage));
    expect_that!(err, contains_substring("--node"));
}

/// Guards against an unclear error where no node listens.
#[gtest]
#[tokio::test]
async fn a_node_that_is_not_reachable_is_named() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let node = address.to_string();
    let arguments = [
        "explain", "--node", &node, "--host", "h", "--path", "/a", "--id", "i",
    ];
    let (exit, out, err) = run(&arguments).await;
    expect_that!(exit, eq(Exit::Refused));
    expect_that!(
        err,
        contains_substring(format!("connecting to {node} failed"))
    );
    expect_that!(out, eq(""));
}

/// Guards against an operator's key that is sent to a listener that needs none, against input that is not encoded, and
/// against an unclear error from a node that does not explain requests.
#[gtest]
#[tokio::test]
async fn the_call_has_no_key_and_its_input_is_encoded() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port should be free");
    let node = listener.local_addr().expect("the listener has an address");
    let serving = async {
        let (mut stream, _) = listener.accept().await.expect("the command should connect");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("the head should be whole"));
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n# EOF\n";
        let written = stream.write_all(response).await;
        written.expect("the command should read the response");
        String::from_utf8_lossy(&head).into_owned()
    };
    let node = node.to_string();
    let arguments = [
        "explain",
        "--node",
        &node,
        "--key",
        "secret",
        "--host",
        "h",
        "--path",
        "/a&id=x y",
        "--id",
        "i",
    ];
    let (head, (exit, _, err)) = tokio::join!(serving, run(&arguments));
    expect_that!(
        head,
        starts_with("GET /admin/v1/explain?host=h&path=%2Fa%26id%3Dx+y&id=i ")
    );
    expect_that!(head, not(contains_substring("secret")));
    expect_that!(exit, eq(Exit::Refused));
    expect_that!(err, contains_substring("does not explain requests"));
}
