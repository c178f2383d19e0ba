//! Validation of engines' responses, streaming and non-streaming.

use googletest::prelude::*;
use shallotroute_routing::validation::{self, Fault, Validator};

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

fn validate(events: &[String]) -> validation::Result<bool> {
    let mut validator = Validator::new("a.1");
    for event in events {
        validator.validate_event(event.as_bytes())?;
    }
    Ok(validator.is_done())
}

const DONE: &str = "data: [DONE]\n\n";

/// Guards against a complete stream with keep-alive comments and `\r\n` being rejected.
#[test]
fn accepts_a_complete_stream() {
    let events = [
        ": keep-alive\n\n".into(),
        chunk("a.1", 0, false),
        chunk("a.1", 1, true).replace('\n', "\r\n"),
        DONE.into(),
    ];
    assert_that!(validate(&events), eq(Ok(true)));
    assert_that!(validate(&events[..3]), eq(Ok(false)));
}

/// Guards against lost, repeated, reordered and foreign events and early end markers that pass unnoticed.
#[test]
fn detects_each_fault() {
    let gap = |expected, found| Fault::Gap { expected, found };
    let engine_error = "data: {\"error\":{\"message\":\"out of memory\"}}\n\n";
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
        (vec![chunk("a.1", 0, false), DONE.into()], Fault::Incomplete),
        (vec![DONE.into()], Fault::Incomplete),
        (vec!["data: {\"id\":\n\n".into()], Fault::Malformed),
        (vec![engine_error.into()], Fault::EngineError),
        (
            vec![chunk("a.1", 0, true), DONE.into(), DONE.into()],
            Fault::Malformed,
        ),
    ];
    for (events, fault) in cases {
        assert_that!(validate(&events), eq(Err(fault)), "{events:?}");
    }
}

/// Guards against a stream that lacks its last tokens but has the end marker: only the engine's token
/// count shows it.
#[test]
fn detects_missing_last_tokens_by_the_engine_count() {
    let last = chunk("a.1", 0, true).replace("completion_tokens\":1", "completion_tokens\":2");
    let fault = Fault::Gap {
        expected: 2,
        found: 1,
    };
    assert_that!(validate(&[last, DONE.into()]), eq(Err(fault)));
}

/// Guards against non-streaming responses that are foreign, truncated or unfinished being
/// accepted.
#[test]
fn validates_non_streaming_responses() {
    let body = br#"{"id":"a.1","choices":[{"index":0,"finish_reason":"stop"}]}"#;
    assert_that!(validation::validate_body("a.1", body), eq(Ok(None)));
    assert_that!(
        validation::validate_body("b.1", body),
        eq(Err(Fault::Foreign))
    );
    assert_that!(
        validation::validate_body("a.1", &body[..30]),
        eq(Err(Fault::Malformed))
    );
    let unfinished = br#"{"id":"a.1","choices":[{"index":0,"finish_reason":null}]}"#;
    assert_that!(
        validation::validate_body("a.1", unfinished),
        eq(Err(Fault::Incomplete))
    );
}

/// Guards against an event that is split over packets being taken for a complete one.
#[test]
fn finds_event_ends() {
    assert_that!(validation::event_length(b"data: x\n\ndata", 0), some(eq(9)));
    assert_that!(
        validation::event_length(b"data: x\r\n\r\n", 0),
        some(eq(11))
    );
    assert_that!(validation::event_length(b"data: x\ndata: y\n", 0), none());
}
