//! The ports of a node for its readiness check and for operators, which clients may reach as well.

use std::{net::SocketAddr, sync::Arc};

use googletest::prelude::*;
use shallotroute_soak::scripted::NodeAddresses;

use crate::{
    crowd::{self, Delivery, Framing, Upload},
    desk::{BODY_BYTES, UPLOADS, expect_withstood},
};

/// A port of a node.
struct Port {
    name: &'static str,
    /// A path that it serves.
    path: &'static str,
    address: fn(NodeAddresses) -> SocketAddr,
}

const PORTS: [Port; 2] = [
    Port {
        name: "readiness",
        path: "/ready",
        address: |node| node.readiness,
    },
    Port {
        name: "metrics",
        path: "/admin/v1/dump",
        address: |node| node.metrics,
    },
];

/// Guards against memory that grows with bodies at these ports that stop short of their end, which nobody asks for.
#[gtest]
#[tokio::test]
async fn bodies_that_stop_short() {
    for Port {
        name,
        path,
        address,
    } in PORTS
    {
        for framing in [Framing::Length, Framing::Chunked] {
            expect_withstood(&format!("{name}, {framing:?}, short"), async |desk| {
                let body: Arc<[u8]> = Arc::from(vec![b'b'; BODY_BYTES]);
                crowd::upload(address(desk.node(0)), UPLOADS, |number| Upload {
                    head: format!("POST {path}?{number} HTTP/1.1\r\nhost: desk.example\r\n"),
                    body: Arc::clone(&body),
                    framing,
                    delivery: Delivery::Short,
                })
                .await
            })
            .await;
        }
    }
}

/// Guards against heads at these ports that never end: their memory and their connections.
#[gtest]
#[tokio::test]
async fn heads_without_end() {
    for Port {
        name,
        path,
        address,
    } in PORTS
    {
        expect_withstood(&format!("{name}, heads"), async |desk| {
            let line = format!("x-filler: {}\r\n", "f".repeat(1000));
            let head = format!(
                "GET {path} HTTP/1.1\r\nhost: desk.example\r\n{}",
                line.repeat(15)
            );
            crowd::write(address(desk.node(0)), 500, head.into_bytes()).await
        })
        .await;
    }
}

/// Guards against connections without a byte that take all file descriptors.
#[gtest]
#[tokio::test]
async fn silent_connections() {
    for Port { name, address, .. } in PORTS {
        expect_withstood(&format!("{name}, silent"), async |desk| {
            crowd::write(address(desk.node(0)), 600, Vec::new()).await
        })
        .await;
    }
}

/// Guards against memory that grows with responses at these ports that nobody reads.
#[gtest]
#[tokio::test]
async fn responses_that_nobody_reads() {
    for Port {
        name,
        path,
        address,
    } in PORTS
    {
        expect_withstood(&format!("{name}, unread"), async |desk| {
            let request = format!("GET {path} HTTP/1.1\r\nhost: desk.example\r\n\r\n");
            crowd::write(address(desk.node(0)), 80, request.repeat(200).into_bytes()).await
        })
        .await;
    }
}
