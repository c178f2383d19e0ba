//! Entries of the host list that another writer has left.

use std::{path::Path, sync::Arc, time::Duration};

use googletest::prelude::*;
use http::StatusCode;
use serde_json::{Value, json};
use shallotroute_soak::scripted::{self, Desk, Request, Step, response};

/// How deeply an odd entry is nested: more than the stack of a recursive parser holds.
const DEPTH: usize = 20_000;

/// Returns the value of a field that is nested deeply.
fn nested(open: &str, close: &str) -> String {
    open.repeat(DEPTH) + &close.repeat(DEPTH)
}

/// Returns an entry with another value of one field, which need not be JSON.
fn with(entry: &Value, field: &str, value: &str) -> Vec<u8> {
    let mut odd = entry.clone();
    odd[field] = json!("@");
    odd.to_string().replace("\"@\"", value).into_bytes()
}

/// Returns entries that can't be read, or have fields of other types.
fn malformed(entry: &Value) -> Vec<Vec<u8>> {
    let text = entry.to_string();
    let mut values = vec![
        Vec::new(),
        b"\0\x01\xff\xfe".to_vec(),
        text.as_bytes()[..text.len() / 2].to_vec(),
        [&b"\xef\xbb\xbf"[..], text.as_bytes()].concat(),
        text.replace("colombo", "\u{0}").into_bytes(),
        nested("[", "]").into_bytes(),
        nested("{\"models\":", "}").into_bytes(),
        with(entry, "models", &nested("[", "]")),
        with(entry, "models", &nested("{\"name\":", "}")),
    ];
    const FIELDS: [&str; 8] = [
        "service", "address", "zone", "version", "slots", "state", "born", "models",
    ];
    const VALUES: [&str; 10] = [
        "null",
        "{}",
        "[[]]",
        "-1",
        "1.5",
        "true",
        "1e999",
        "1e30",
        "18446744073709551616",
        "-9223372036854775809",
    ];
    for field in FIELDS {
        values.extend(VALUES.map(|value| with(entry, field, value)));
    }
    values
}

/// Returns entries with fields of the right types and values that no server has.
fn out_of_range(entry: &Value) -> Vec<Vec<u8>> {
    const SLOTS: [&str; 4] = ["0", "18446744073709551615", "4294967296", "100000"];
    const ADDRESSES: [&str; 10] = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1",
        "[::1]:80",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "nowhere:80",
        "",
    ];
    let mut values: Vec<Vec<u8>> = SLOTS.map(|slots| with(entry, "slots", slots)).into();
    values.extend(ADDRESSES.map(|address| with(entry, "address", &format!("\"{address}\""))));
    let long = format!("\"{}\"", "x".repeat(10_000));
    values.extend(["service", "zone", "version"].map(|field| with(entry, field, &long)));
    values.extend(["service", "zone"].map(|field| with(entry, field, "\"\"")));
    values
}

/// Returns odd entries: identity and value. All but one point in their fields have the form of `entry`.
fn odd_entries(entry: &Value) -> Vec<(String, Vec<u8>)> {
    const IDENTITIES: [&str; 8] = [
        "",
        " ",
        "a b",
        "line\nbreak",
        "nul\0",
        "\u{7f}",
        "\u{fc}ber",
        "a/b",
    ];
    let values = malformed(entry).into_iter().chain(out_of_range(entry));
    let numbered = values
        .enumerate()
        .map(|(number, value)| (format!("odd-{number}"), value));
    let text = entry.to_string().into_bytes();
    let identities = IDENTITIES.map(|id| (id.to_owned(), text.clone()));
    numbered.chain(identities).collect()
}

/// Guards against a node that ends, stops following the host list, or uses a server that an entry does not name properly,
/// because another writer has left odd entries in the list.
#[gtest]
#[tokio::test]
async fn odd_entries_of_the_host_list_name_no_server_and_harm_no_other() {
    let script = |request: &Request| {
        let headers = [("x-request-id", request.id()), ("x-server-stamp", "s")];
        vec![Step::Write(match request.target.as_str() {
            "/report" => scripted::report(1, 0),
            "/order" => response(409, &[], ""),
            _ => response(200, &headers, "whole"),
        })]
    };
    let desk = Desk::start(
        Path::new(env!("CARGO_BIN_EXE_shallotroute")),
        vec![Arc::new(script), Arc::new(script)],
    )
    .await
    .expect("the stand-ins should start and the node should be ready");
    let entry = desk.entry();
    for (id, value) in odd_entries(&entry) {
        desk.write_entry(&id, value);
    }
    // Orders are given to the servers of all entries.
    desk.announce_version();
    tokio::time::sleep(Duration::from_secs(2)).await;
    for number in 0..40 {
        let id = format!("request-{number}");
        let answer = desk.send(&format!("/again/{id}"), &id, &[]).await;
        expect_that!(answer.status, some(eq(StatusCode::OK)), "{id}");
    }
    for request in desk.requests() {
        if request.target != "/report" {
            let server = format!("scripted-{}", request.server);
            let expected = request.headers.get("x-expect-instance");
            expect_that!(expected, some(eq(&server)), "{request:?}");
        }
    }
    // A change of the list arrives after all of them.
    desk.write_entry("scripted-0", b"gone".to_vec());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let before = desk.requests().len();
    for number in 0..20 {
        let id = format!("later-{number}");
        let answer = desk.send(&format!("/again/{id}"), &id, &[]).await;
        expect_that!(answer.status, some(eq(StatusCode::OK)), "{id}");
    }
    let is_gone = |request: &Request| request.server == 0 && request.target.contains("later");
    expect_that!(desk.requests()[before..].iter().any(is_gone), eq(false));
    expect_that!(desk.is_running().await, eq(true));
    expect_that!(desk.errors(), not(contains_substring("panicked")));
}
