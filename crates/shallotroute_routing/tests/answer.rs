//! Checks of engines' responses.

use googletest::prelude::*;
use shallotroute_routing::answer::{self, Fault, Validator};

fn chunk(id: &str, start: u32, finish: bool) -> String {
    let reason = if finish { r#""stop""# } else { "null" };
    let usage = match finish {
        true => format!(r#","usage":{{"completion_tokens":{}}}"#, start + 1),
        false => String::new(),
    };
    format!(
        "data: {{\"id\":\"{id}\",\"choices\":[{{\"index\":0,\"text\":\"t\",\"finish_reason\":{reason}}}],\
         \"tokens\":{{\"start\":{start},\"count\":1,\"version\":3}}{usage}}}\n\n"
    )
}

fn check(events: &[String]) -> answer::Result<bool> {
    let mut validator = Validator::new("a.1");
    for event in events {
        validator.event(event.as_bytes())?;
    }
    Ok(validator.is_done())
}

const DONE: &str = "data: [DONE]\n\n";

/// Guards against a whole stream, with keep-alive comments and `\r\n`, being taken for a broken one.
#[test]
fn accepts_a_whole_stream() {
    let events = [
        ": keep-alive\n\n".into(),
        chunk("a.1", 0, false),
        chunk("a.1", 1, true).replace('\n', "\r\n"),
        DONE.into(),
    ];
    assert_that!(check(&events), eq(Ok(true)));
    assert_that!(check(&events[..3]), eq(Ok(false)));
}

/// Guards against lost, repeated, reordered and foreign events and early end markers.
#[test]
fn finds_each_fault() {
    let gap = |expected, found| Fault::Gap { expected, found };
    let failed = "data: {\"error\":{\"message\":\"out of memory\"}}\n\n";
    let cases = [
        (vec![chunk("b.1", 0, false)], Fault::Foreign),
        (vec![chunk("a.1", 1, false)], gap(0, 1)),
        (
            vec![chunk("a.1", 0, false), chunk("a.1", 0, false)],
            gap(1, 0),
        ),
        (
            vec![chunk("a.1", 0, true), chunk("a.1", 1, false)],
            gap(1, 1),
        ),
        (vec![chunk("a.1", 0, false), DONE.into()], Fault::Unfinished),
        (vec![DONE.into()], Fault::Unfinished),
        (vec!["data: {\"id\":\n\n".into()], Fault::Malformed),
        (vec![failed.into()], Fault::Failed),
        (
            vec![chunk("a.1", 0, true), DONE.into(), DONE.into()],
            Fault::Malformed,
        ),
    ];
    for (events, fault) in cases {
        assert_that!(check(&events), eq(Err(fault)), "{events:?}");
    }
}

/// Guards against a stream whose last tokens are missing although the end marker came.
#[test]
fn compares_the_engine_count() {
    let last = chunk("a.1", 0, true).replace("completion_tokens\":1", "completion_tokens\":2");
    let fault = Fault::Gap {
        expected: 2,
        found: 1,
    };
    assert_that!(check(&[last, DONE.into()]), eq(Err(fault)));
}

/// Guards against non-streaming responses that are foreign, cut or unfinished.
#[test]
fn checks_whole_responses() {
    let body = br#"{"id":"a.1","choices":[{"index":0,"finish_reason":"stop"}]}"#;
    assert_that!(answer::whole("a.1", body), eq(Ok(None)));
    assert_that!(answer::whole("b.1", body), eq(Err(Fault::Foreign)));
    assert_that!(answer::whole("a.1", &body[..30]), eq(Err(Fault::Malformed)));
    let open = br#"{"id":"a.1","choices":[{"index":0,"finish_reason":null}]}"#;
    assert_that!(answer::whole("a.1", open), eq(Err(Fault::Unfinished)));
}

/// Guards against events that are split over packets.
#[test]
fn finds_event_ends() {
    assert_that!(answer::event_length(b"data: x\n\ndata", 0), some(eq(9)));
    assert_that!(answer::event_length(b"data: x\r\n\r\n", 0), some(eq(11)));
    assert_that!(answer::event_length(b"data: x\ndata: y\n", 0), none());
}
