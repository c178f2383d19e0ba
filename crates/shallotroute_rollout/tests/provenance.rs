//! Spans come only from the engine's reports, and only complete streams become samples.

mod support;

use googletest::prelude::*;
use shallotroute_rollout::{
    provenance::{Chunk, Recorder},
    scheduler::Event,
};
use shallotroute_types::{provenance::Span, version::Version};
use support::{Harness, configuration, key, pool, specification, trainer};

fn chunk(start: u32, count: u32, version: u64) -> Chunk {
    Chunk {
        start,
        count,
        text: format!("{start} "),
        version: Version(version),
    }
}

/// Guards against spans that hide a weight swap in the middle of a stream.
#[gtest]
fn each_version_has_its_span() {
    let mut recorder = Recorder::new("x");
    for chunk in [
        chunk(0, 3, 4),
        chunk(3, 2, 4),
        chunk(5, 1, 5),
        chunk(6, 1, 4),
    ] {
        expect_that!(recorder.push("x", &chunk), ok(eq(&true)));
    }
    let product = recorder.finish("x", 7).unwrap().unwrap();
    let span = |start, end, version| Span {
        start,
        end,
        version: Version(version),
    };
    expect_that!(
        product.spans,
        eq(&[span(0, 5, 4), span(5, 6, 5), span(6, 7, 4)])
    );
    expect_that!(product.text, eq("0 3 5 6 "));
}

/// Guards against accepting a stream with missing or repeated tokens or with tokens of another
/// attempt.
#[gtest]
fn incomplete_and_foreign_streams_are_rejected() {
    let mut recorder = Recorder::new("x");
    expect_that!(recorder.push("x", &chunk(0, 3, 4)), ok(eq(&true)));
    expect_that!(recorder.push("y", &chunk(3, 1, 4)), ok(eq(&false)));
    expect_that!(recorder.push("x", &chunk(4, 1, 4)), err(anything()));
    expect_that!(recorder.push("x", &chunk(0, 3, 4)), err(anything()));
    expect_that!(recorder.finish("y", 3), ok(none()));
    expect_that!(recorder.finish("x", 4), err(anything()));
    expect_that!(Recorder::new("x").finish("x", 0), err(anything()));
}

/// Guards against text of a failed attempt in the sample of a later attempt. Events of the failed
/// one arrive late, also on the later one's stream.
#[gtest]
fn late_events_of_an_earlier_attempt_are_dropped() {
    let mut harness = Harness::new(configuration(pool(2, 1), vec![trainer("a")]));
    harness.report(5);
    let key = key("a", 0);
    harness.event(Event::Submitted(key.clone(), specification(1, 1)));
    let (first, start) = harness.running.pop_first().unwrap();
    harness.event(Event::Tokens(first, start.identity.clone(), chunk(0, 2, 4)));
    harness.event(Event::AttemptFailed(
        first,
        shallotroute_types::outcome::Outcome::Unknown,
    ));
    harness.pass(std::time::Duration::from_secs(1), 5);
    let second = *harness.running.keys().next().unwrap();
    harness.event(Event::Tokens(first, start.identity.clone(), chunk(2, 2, 4)));
    harness.event(Event::Tokens(
        second,
        start.identity.clone(),
        chunk(0, 9, 4),
    ));
    harness.event(Event::AttemptEnded(second, start.identity, 9));
    harness.finish(5);
    let pull = harness.pull(&key, &[], 5);
    let sample = &harness.responses[&pull].as_ref().unwrap().groups[0].samples[0];
    expect_that!(sample.text, eq(&format!("[{second}:0]")));
    expect_that!(sample.attempts, eq(2));
    expect_that!(sample.spans[0].version, eq(Version(5)));
}

/// Guards against samples on an engine whose weights are unknown because a load command has ended
/// with an unknown outcome.
#[gtest]
fn an_engine_gets_no_attempts_until_its_state_is_read_back() {
    let mut harness = Harness::new(configuration(pool(1, 4), vec![trainer("a")]));
    harness.report(5);
    harness.now += std::time::Duration::from_millis(250);
    harness.event(Event::Tick);
    let before = std::mem::take(&mut harness.polls);
    harness.event(Event::LoadStarted("engine-0".into(), "model-a".into()));
    harness.event(Event::Submitted(key("a", 0), specification(2, 1)));
    expect_that!(harness.started, eq(0));
    harness.event(Event::LoadEnded("engine-0".into()));
    // The answer to a poll that was sent before the command ended does not show the command's
    // effect.
    for (server, number) in before {
        harness.event(Event::Polled(server, number, Some(support::loaded(5))));
    }
    expect_that!(harness.started, eq(0));
    harness.report(5);
    expect_that!(harness.started, eq(2));
}
