//! Tests that proxies forward data and inject their faults.

use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use shallotroute_http::client::Client;
use shallotroute_platform::{error::Kind, http, store::Store as _};
use shallotroute_standin::{
    proxy::{Fault, Tcp, Udp},
    store::Store,
};
use tokio::net::UdpSocket;

const TIMEOUT: Duration = Duration::from_secs(2);

async fn start_store() -> (Store, Tcp, http::Store) {
    let store = Store::start().await.expect("a free port");
    let proxy = Tcp::start(store.address()).await.expect("a free port");
    let adapter = http::Store::new(Client::new(TIMEOUT), proxy.address(), TIMEOUT);
    (store, proxy, adapter)
}

// Guards against a fault that also loses the request, so that tests of lost responses would test
// nothing.
#[tokio::test]
async fn lost_answer_follows_a_forwarded_request() {
    let (store, proxy, adapter) = start_store().await;
    proxy.set_fault(Fault {
        lose_responses: true,
        ..Fault::default()
    });
    let report = adapter
        .compare_and_swap("k", 0, Bytes::from("a"))
        .await
        .expect_err("lost");
    assert_that!(report.current_context().kind, eq(&Kind::Lost));
    assert_that!(store.peek("k"), some(anything()));
    proxy.set_fault(Fault::default());
    assert_that!(adapter.get("k").await.expect("up"), some(anything()));
}

// Guards against a black hole that passes data of its direction, holds the other direction or
// closes connections.
#[tokio::test]
async fn black_hole_holds_only_its_direction() {
    let (store, proxy, adapter) = start_store().await;
    proxy.set_fault(Fault {
        blackhole_requests: true,
        ..Fault::default()
    });
    let report = adapter
        .compare_and_swap("k", 0, Bytes::from("a"))
        .await
        .expect_err("held");
    assert_that!(report.current_context().kind, eq(&Kind::Lost));
    assert_that!(store.peek("k"), none());
    proxy.set_fault(Fault {
        blackhole_responses: true,
        ..Fault::default()
    });
    let report = adapter
        .compare_and_swap("l", 0, Bytes::from("a"))
        .await
        .expect_err("held");
    assert_that!(report.current_context().kind, eq(&Kind::Lost));
    assert_that!(store.peek("l"), some(anything()));
}

// Guards against a delay or a cut that has no effect on connections that are already open.
#[tokio::test]
async fn cut_and_delay_apply_to_open_connections() {
    let (_store, proxy, adapter) = start_store().await;
    adapter.get("k").await.expect("up");
    let delay = Duration::from_millis(50);
    proxy.set_fault(Fault {
        delay,
        ..Fault::default()
    });
    let started = Instant::now();
    adapter.get("k").await.expect("up");
    assert_that!(started.elapsed(), ge(delay * 2));
    proxy.set_fault(Fault {
        cut: true,
        ..Fault::default()
    });
    assert_that!(adapter.get("k").await, err(anything()));
}

// Guards against responses that reach the wrong client and a cut proxy that still forwards
// datagrams.
#[tokio::test]
async fn datagrams_are_forwarded_both_ways_until_the_proxy_is_cut() {
    let server = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let proxy = Udp::start(server.local_addr().expect("bound"))
        .await
        .expect("a free port");
    let client = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut buffer = [0; 16];
    client
        .send_to(b"ping", proxy.address())
        .await
        .expect("sent");
    let (length, from) = server.recv_from(&mut buffer).await.expect("received");
    assert_that!(&buffer[..length], eq(b"ping"));
    server.send_to(b"pong", from).await.expect("sent");
    let length = client.recv(&mut buffer).await.expect("received");
    assert_that!(&buffer[..length], eq(b"pong"));
    proxy.set_fault(Fault {
        cut: true,
        ..Fault::default()
    });
    client
        .send_to(b"ping", proxy.address())
        .await
        .expect("sent");
    let silence = tokio::time::timeout(Duration::from_millis(100), server.recv_from(&mut buffer));
    assert_that!(silence.await, err(anything()));
}
