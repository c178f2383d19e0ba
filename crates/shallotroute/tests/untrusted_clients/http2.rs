//! Crowds that speak HTTP/2, where one connection carries many requests.

use std::net::SocketAddr;

use googletest::prelude::*;
use shallotroute_soak::scripted::NodeAddresses;

use crate::{crowd, desk::expect_withstood};

/// The number of connections of a crowd.
const CONNECTIONS: usize = 100;

/// The number of requests of a connection whose bodies stop short, which is how many the library allows by default.
const REQUESTS: usize = 200;

/// The size of a body that stops short, in bytes.
const BODY_BYTES: usize = 512;

/// The number of requests of a connection with large heads, some 288 MB on all connections.
const LARGE_HEADS: usize = 60;

/// The size of the headers of such a head, each in bytes.
const LARGE_HEADERS: [usize; 4] = [12 << 10; 4];

/// A port of a node.
struct Port {
    name: &'static str,
    /// What precedes the protocol.
    prefix: &'static [u8],
    path: &'static str,
    address: fn(NodeAddresses) -> SocketAddr,
}

const PORTS: [Port; 4] = [
    Port {
        name: "callers",
        prefix: b"",
        path: "/once/crowd",
        address: |node| node.callers,
    },
    Port {
        name: "nodes",
        // Selects the service of relayed requests.
        prefix: &[5],
        path: "/once/crowd",
        address: |node| node.peers,
    },
    Port {
        name: "readiness",
        prefix: b"",
        path: "/ready",
        address: |node| node.readiness,
    },
    Port {
        name: "metrics",
        prefix: b"",
        path: "/admin/v1/dump",
        address: |node| node.metrics,
    },
];

/// The type of a frame (RFC 9113, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Data = 0,
    Headers = 1,
    Settings = 4,
    Continuation = 9,
}

/// The flag of the last frame of a head.
const END_HEADERS: u8 = 4;

/// The largest frame that each server accepts.
const MAX_FRAME_BYTES: usize = 16 << 10;

fn push_frame(bytes: &mut Vec<u8>, kind: Kind, flags: u8, stream: u32, payload: &[u8]) {
    let length = u32::try_from(payload.len()).expect("frames are small");
    bytes.extend(&length.to_be_bytes()[1..]);
    bytes.extend([kind as u8, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
}

/// Appends a string of a head (RFC 7541, section 5.2).
fn push_string(head: &mut Vec<u8>, string: &[u8]) {
    let Some(mut rest) = string.len().checked_sub(127) else {
        head.push(u8::try_from(string.len()).expect("the length is below 127"));
        return head.extend(string);
    };
    head.push(127);
    while rest >= 128 {
        head.push((rest % 128) as u8 | 128);
        rest /= 128;
    }
    head.push(rest as u8);
    head.extend(string);
}

/// Appends a header that is not indexed (RFC 7541, section 6.2.2).
fn push_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.push(0);
    push_string(head, name.as_bytes());
    push_string(head, value);
}

/// Returns the bytes of a connection with requests that stop short of their end.
fn unfinished_requests(port: &Port, count: usize, headers: &[usize]) -> Vec<u8> {
    let mut bytes = [port.prefix, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"].concat();
    push_frame(&mut bytes, Kind::Settings, 0, 0, &[]);
    for number in 0..count {
        // `:method: POST` and `:scheme: http` of the static table, then `:path` and `:authority` by their names in it.
        let mut head = vec![0x83, 0x86, 4];
        push_string(&mut head, port.path.as_bytes());
        head.push(1);
        push_string(&mut head, b"desk.example");
        push_header(&mut head, "host", b"desk.example");
        push_header(
            &mut head,
            "x-request-id",
            format!("crowd-{number}").as_bytes(),
        );
        push_header(&mut head, "shallotroute-server", b"scripted-0");
        for (index, length) in headers.iter().enumerate() {
            push_header(
                &mut head,
                &format!("x-filler-{index}"),
                &vec![b'f'; *length],
            );
        }
        let stream = 2 * u32::try_from(number).expect("the count is small") + 1;
        let mut kind = Kind::Headers;
        let mut frames = head.chunks(MAX_FRAME_BYTES).peekable();
        while let Some(frame) = frames.next() {
            let flags = if frames.peek().is_none() {
                END_HEADERS
            } else {
                0
            };
            push_frame(&mut bytes, kind, flags, stream, frame);
            kind = Kind::Continuation;
        }
        push_frame(&mut bytes, Kind::Data, 0, stream, &[b'b'; BODY_BYTES]);
    }
    bytes
}

async fn expect_requests_withstood(case: &str, count: usize, headers: &[usize]) {
    for port in &PORTS {
        expect_withstood(&format!("HTTP/2, {}, {case}", port.name), async |desk| {
            let bytes = unfinished_requests(port, count, headers);
            crowd::write((port.address)(desk.node(0)), CONNECTIONS, bytes).await
        })
        .await;
    }
}

/// Guards against memory that grows with requests that stop short of their end, many on a connection.
#[gtest]
#[tokio::test]
async fn bodies_that_stop_short() {
    expect_requests_withstood("short", REQUESTS, &[]).await;
}

/// Guards against memory that grows with the heads of requests, many on a connection.
#[gtest]
#[tokio::test]
async fn large_heads() {
    expect_requests_withstood("large heads", LARGE_HEADS, &LARGE_HEADERS).await;
}
