//! Spans come from the engine's reports alone.

mod support;

use googletest::prelude::*;
use shallotroute_rollout::{
    provenance::{Chunk, Recorder},
    scheduler::Event,
};
use shallotroute_types::{provenance::Span, version::Version};
use support::{Bench, configuration, key, pool, specification, trainer};

fn chunk(start: u32, count: u32, version: u64) -> Chunk {
    Chunk {
        start,
        count,
        text: format!("{start} "),
        version: Version(version),
    }
}

/// Guards against a swap in mid-stream that leaves no trace in the spans.
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

/// Guards against answers with missing, repeated or foreign tokens that count as whole.
#[gtest]
fn cut_and_foreign_answers_do_not_count() {
    let mut recorder = Recorder::new("x");
    expect_that!(recorder.push("x", &chunk(0, 3, 4)), ok(eq(&true)));
    expect_that!(recorder.push("y", &chunk(3, 1, 4)), ok(eq(&false)));
    expect_that!(recorder.push("x", &chunk(4, 1, 4)), err(anything()));
    expect_that!(recorder.push("x", &chunk(0, 3, 4)), err(anything()));
    expect_that!(recorder.finish("y", 3), ok(none()));
    expect_that!(recorder.finish("x", 4), err(anything()));
    expect_that!(Recorder::new("x").finish("x", 0), err(anything()));
}

/// Guards against text of an attempt that was given up in a sample of a later attempt.
#[gtest]
fn late_events_of_an_earlier_attempt_are_dropped() {
    let mut bench = Bench::new(configuration(pool(2, 1), vec![trainer("a")]));
    bench.report(5);
    let key = key("a", 0);
    bench.event(Event::Submitted(key.clone(), specification(1, 1)));
    let (first, start) = bench.running.pop_first().unwrap();
    bench.event(Event::Tokens(first, start.identity.clone(), chunk(0, 2, 4)));
    bench.event(Event::AttemptFailed(
        first,
        shallotroute_types::outcome::Outcome::Unknown,
    ));
    bench.pass(std::time::Duration::from_secs(1), 5);
    let second = *bench.running.keys().next().unwrap();
    bench.event(Event::Tokens(first, start.identity.clone(), chunk(2, 2, 4)));
    bench.event(Event::Tokens(
        second,
        start.identity.clone(),
        chunk(0, 9, 4),
    ));
    bench.event(Event::AttemptEnded(second, start.identity, 9));
    bench.finish(5);
    let pull = bench.pull(&key, &[], 5);
    let sample = &bench.answers[&pull].as_ref().unwrap().groups[0].samples[0];
    expect_that!(sample.text, eq(&format!("[{second}:0]")));
    expect_that!(sample.attempts, eq(2));
    expect_that!(sample.spans[0].version, eq(Version(5)));
}

/// Guards against samples on an engine whose weights are unknown after a failed command.
#[gtest]
fn an_engine_gets_nothing_until_its_state_is_read_back() {
    let mut bench = Bench::new(configuration(pool(1, 4), vec![trainer("a")]));
    bench.report(5);
    bench.now += std::time::Duration::from_millis(250);
    bench.event(Event::Tick);
    let before = std::mem::take(&mut bench.polls);
    bench.event(Event::LoadStarted("engine-0".into(), "model-a".into()));
    bench.event(Event::Submitted(key("a", 0), specification(2, 1)));
    expect_that!(bench.started, eq(0));
    bench.event(Event::LoadEnded("engine-0".into()));
    // The report of the poll from before the command's end does not tell what the command left.
    for (server, number) in before {
        bench.event(Event::Polled(server, number, Some(support::loaded(5))));
    }
    expect_that!(bench.started, eq(0));
    bench.report(5);
    expect_that!(bench.started, eq(2));
}
