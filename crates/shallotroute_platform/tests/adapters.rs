//! Tests of the HTTP adapters against the stand-ins of the platform and of backend servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::Report;
use futures::{StreamExt, TryStreamExt, future};
use googletest::prelude::*;
use shallotroute_http::client::Client;
use shallotroute_platform::{
    engine::{Engine as _, Event, Generate, Load},
    error::{Error, Kind},
    host::{self, List as _},
    http,
    scorer::{self, Scorer as _},
    store::Store as _,
};
use shallotroute_standin::{
    engine::{End, Engine, Fault, Refusal, Settings, StreamFault, SwapFault},
    host::List,
    scorer::Scorer,
    store::{self, Store},
    text,
};
use shallotroute_types::{fence::Fence, name::Name, outcome::Outcome, sample, version::Version};

/// Far above the duration of any call, so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(5);
const MODEL: &str = "pricing";

fn client() -> Client {
    Client::new(TIMEOUT)
}

fn store_adapter(store: &Store) -> http::Store {
    http::Store::new(client(), store.address(), TIMEOUT)
}

fn engine_adapter() -> http::Engine {
    http::Engine::new(client())
}

fn generate_request(request_id: &str) -> Generate {
    Generate {
        request_id: request_id.to_owned(),
        model: Name::from(MODEL),
        prompt: "a quote for springs".to_owned(),
        max_tokens: 64,
        priority: 10,
    }
}

fn load_command(fence: u64, version: u64) -> Load {
    Load {
        fence: Fence(fence),
        model: Name::from(MODEL),
        version: Version(version),
        source: None,
    }
}

async fn start_engine(edit: impl FnOnce(&mut Settings)) -> Engine {
    let mut settings = Settings::new("e1", MODEL, 7);
    settings.length.sigma = 0.0;
    edit(&mut settings);
    Engine::start(settings).await.expect("a free port")
}

fn kind(report: &Report<Error>) -> Kind {
    report.current_context().kind.clone()
}

async fn collect_events(
    address: SocketAddr,
    id: &str,
) -> std::result::Result<Vec<Event>, Report<Error>> {
    let adapter = engine_adapter();
    let stream = adapter.generate(address, generate_request(id)).await?;
    stream.try_collect().await
}

// Guards against reporting a write as safe to repeat although it may have taken effect: the store
// applies the write, then its response is lost.
#[tokio::test]
async fn a_write_without_a_response_has_an_unknown_outcome() {
    let store = Store::start().await.expect("a free port");
    let adapter = store_adapter(&store);
    store.set_fault(store::Fault {
        lose_every: 1,
        ..store::Fault::default()
    });
    let lost = adapter
        .compare_and_swap("config/head", 0, Bytes::from("a"))
        .await;
    let report = lost.expect_err("the answer is lost");
    assert_that!(kind(&report), eq(&Kind::Lost));
    assert_that!(report.current_context().outcome(), eq(Outcome::Unknown));
    assert_that!(store.peek("config/head"), some(anything()));

    store.set_down(true).await.expect("stopping can't fail");
    let down = adapter
        .compare_and_swap("config/head", 1, Bytes::from("b"))
        .await;
    let report = down.expect_err("the service is down");
    assert_that!(kind(&report), eq(&Kind::Unreachable));
}

// Guards against a compare-and-swap that overwrites a value which another writer stored since the
// read.
#[tokio::test]
async fn a_write_with_a_wrong_version_conflicts_and_reports_the_found_version() {
    let store = Store::start().await.expect("a free port");
    let adapter = store_adapter(&store);
    let first = adapter
        .compare_and_swap("lease/a b", 0, Bytes::from("a"))
        .await;
    assert_that!(first.expect("written"), eq(1));
    let second = adapter
        .compare_and_swap("lease/a b", 0, Bytes::from("b"))
        .await;
    let report = second.expect_err("the key has a value");
    assert_that!(kind(&report), eq(&Kind::Conflict { found: 1 }));
    let entry = adapter
        .get("lease/a b")
        .await
        .expect("up")
        .expect("a value");
    assert_that!(entry.value, eq(&Bytes::from("a")));
    let keys = adapter.list("lease/").await.expect("up");
    assert_that!(keys, elements_are![eq("lease/a b")]);
    assert_that!(adapter.get("none").await.expect("up"), none());
}

// Guards against a watch that polls, returns before a change, or misses it.
#[tokio::test]
async fn a_watch_returns_at_a_change_and_counts_as_one_call() {
    let store = Store::start().await.expect("a free port");
    let adapter = store_adapter(&store);
    let long = Duration::from_secs(20);
    let watch = adapter.watch("config/head", 0, long);
    let write = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        adapter
            .compare_and_swap("config/head", 0, Bytes::from("a"))
            .await
    };
    let (watched, written) = future::join(watch, write).await;
    written.expect("up");
    assert_that!(watched.expect("up").expect("a value").version, eq(1));
    let over = adapter.watch("config/head", 1, Duration::from_millis(20));
    assert_that!(over.await.expect("up").expect("a value").version, eq(1));
    assert_that!(store.counts().watch, eq(2));
}

// Guards against a host list that shows a change before its lag has passed, or never.
#[tokio::test]
async fn hosts_appear_after_the_lag_of_the_list() {
    let list = List::start(Vec::new()).await.expect("a free port");
    let adapter = http::HostList::new(client(), list.address(), TIMEOUT);
    list.set_lag(Duration::from_millis(50));
    list.set("a", host::State::Leaving);
    list.set_lag(Duration::from_secs(60));
    list.remove("a");
    let shown = async {
        loop {
            let hosts = adapter.hosts().await.expect("up");
            if let [host] = hosts.as_slice() {
                return host.state;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let state = tokio::time::timeout(TIMEOUT, shown).await;
    assert_that!(state, ok(eq(&host::State::Leaving)));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_that!(adapter.hosts().await.expect("up").len(), eq(1));
}

// Guards against lost, repeated or misattributed tokens in a response without faults.
#[tokio::test]
async fn a_complete_response_has_every_token_once_and_an_end() {
    let engine = start_engine(|_| ()).await;
    let events = collect_events(engine.address(), "r1").await.expect("up");
    let mut next = 0;
    let mut full_text = String::new();
    for event in &events {
        match event {
            Event::Tokens {
                request_id,
                start,
                count,
                text,
                ..
            } => {
                assert_that!(request_id, eq("r1"));
                assert_that!(*start, eq(next));
                next += count;
                full_text.push_str(text);
            }
            Event::End { tokens, .. } => assert_that!(*tokens, eq(next)),
        }
    }
    assert_that!(events.last(), some(pat!(Event::End { .. })));
    let tokens = text::parse(&full_text).expect("the engine's own text");
    assert_that!(tokens.len(), eq(next as usize));
    let record = &engine.generations()[0];
    assert_that!(record.produced(), eq(next));
    assert_that!(record.end.map(|(end, _)| end), some(eq(End::Complete)));
}

// Guards against taking a stream that was cut off or truncated for a complete response.
#[tokio::test]
async fn a_cut_or_truncated_stream_ends_with_lost() {
    let engine = start_engine(|_| ()).await;
    for fault in [StreamFault::Cut, StreamFault::Truncated] {
        engine.set_fault(Fault {
            stream: Some(fault),
            ..Fault::default()
        });
        let report = collect_events(engine.address(), "r1")
            .await
            .expect_err("cut");
        assert_that!(kind(&report), eq(&Kind::Lost));
    }
}

// Guards against an adapter that drops chunks of other requests or sorts chunks. Its user checks
// the identity and the order, so it must see what the engine sent.
#[tokio::test]
async fn foreign_and_reordered_chunks_are_passed_on_unchanged() {
    let engine = start_engine(|_| ()).await;
    let with = |fault| {
        engine.set_fault(Fault {
            stream: Some(fault),
            ..Fault::default()
        });
    };
    with(StreamFault::Foreign);
    let foreign = collect_events(engine.address(), "r1").await.expect("up");
    let is_foreign = |event: &Event| matches!(event, Event::Tokens { request_id, .. } if request_id == "foreign");
    assert_that!(foreign.iter().any(is_foreign), eq(true));
    with(StreamFault::Reordered);
    let reordered = collect_events(engine.address(), "r1").await.expect("up");
    let starts: Vec<u32> = reordered
        .iter()
        .filter_map(|event| match event {
            Event::Tokens { start, .. } => Some(*start),
            Event::End { .. } => None,
        })
        .collect();
    assert_that!(starts.is_sorted(), eq(false));
}

// Guards against reporting the outcome of a rejected request as unknown, or a stopped engine as
// anything but unreachable.
#[tokio::test]
async fn a_rejected_request_did_not_run_and_a_stopped_engine_is_unreachable() {
    let engine = start_engine(|_| ()).await;
    engine.set_fault(Fault {
        refusal: Some(Refusal::Leaving),
        ..Fault::default()
    });
    let refused = collect_events(engine.address(), "r1")
        .await
        .expect_err("leaving");
    assert_that!(kind(&refused), eq(&Kind::Refused("leaving".to_owned())));
    assert_that!(refused.current_context().outcome(), eq(Outcome::NotRun));
    assert_that!(engine.generations(), is_empty());
    engine.crash();
    let down = collect_events(engine.address(), "r1")
        .await
        .expect_err("down");
    assert_that!(kind(&down), eq(&Kind::Unreachable));
}

// Guards against a dropped stream whose generation continues to occupy a slot of the engine.
#[tokio::test]
async fn dropping_a_stream_frees_its_slot() {
    let engine = start_engine(|settings| {
        settings.slots = 1;
        settings.tokens_per_second = 100.0;
    })
    .await;
    let adapter = engine_adapter();
    let mut stream = adapter
        .generate(engine.address(), generate_request("r1"))
        .await
        .expect("up");
    stream.next().await.expect("a chunk").expect("whole so far");
    drop(stream);
    let freed = async {
        while engine.state().running > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let freed = tokio::time::timeout(Duration::from_secs(2), freed).await;
    assert_that!(freed, ok(anything()));
    assert_that!(
        engine.generations()[0].end.map(|(end, _)| end),
        some(eq(End::Stopped))
    );
}

// Guards against reporting one version for all tokens of a stream during which weights are swapped.
#[tokio::test]
async fn tokens_report_their_versions_across_a_weight_swap() {
    let engine = start_engine(|settings| {
        settings.tokens_per_second = 50.0;
        settings.load_time = Duration::from_millis(400);
    })
    .await;
    let adapter = engine_adapter();
    let load = adapter.load(engine.address(), load_command(1, 1), Duration::from_secs(2));
    let (events, loaded) = future::join(collect_events(engine.address(), "r1"), load).await;
    loaded.expect("up");
    let mut versions: Vec<u64> = events
        .expect("up")
        .iter()
        .filter_map(|event| match event {
            Event::Tokens { version, .. } => Some(version.0),
            Event::End { .. } => None,
        })
        .collect();
    versions.dedup();
    assert_that!(versions, elements_are![eq(&0), eq(&1)]);
    assert_that!(engine.generations()[0].spans.len(), eq(2));
}

// Guards against an engine that executes the command of an earlier lease holder, and against
// reporting the outcome of a fenced command as unknown. Engines that don't check fencing numbers
// execute it.
#[tokio::test]
async fn an_old_fencing_number_is_rejected_only_by_engines_that_check_it() {
    for fencing in [true, false] {
        let engine = start_engine(|settings| settings.fencing = fencing).await;
        let adapter = engine_adapter();
        let limit = Duration::from_secs(2);
        adapter
            .load(engine.address(), load_command(5, 2), limit)
            .await
            .expect("up");
        let old = adapter
            .load(engine.address(), load_command(4, 1), limit)
            .await;
        match fencing {
            true => assert_that!(kind(&old.expect_err("fenced")), eq(&Kind::Fenced)),
            false => assert_that!(old, ok(anything())),
        }
        let version = if fencing { Version(2) } else { Version(1) };
        assert_that!(engine.state().models[MODEL], eq(version));
    }
}

// Guards against reporting a weight swap as not executed although it may have been: the engine
// fails halfway, or its response is lost.
#[tokio::test]
async fn a_partial_weight_swap_and_a_lost_response_have_an_unknown_outcome() {
    let engine = start_engine(|_| ()).await;
    for (fault, models) in [(SwapFault::ResponseLost, 1), (SwapFault::Partial, 0)] {
        engine.set_fault(Fault {
            swap: Some(fault),
            ..Fault::default()
        });
        let adapter = engine_adapter();
        let swap = adapter.load(engine.address(), load_command(1, 1), Duration::from_secs(2));
        assert_that!(kind(&swap.await.expect_err("fails")), eq(&Kind::Lost));
        assert_that!(engine.state().models.len(), eq(models));
    }
}

// Guards against taking a scorer's failure for a score.
#[tokio::test]
async fn a_score_is_returned_and_a_failure_is_an_error() {
    let scorer = Scorer::start().await.expect("a free port");
    let adapter = http::Scorer::new(client());
    let request = scorer::Request {
        sample: sample::Identity {
            trainer: Name::from("t"),
            step: 1,
            group: 2,
            index: 3,
        },
        prompt: "p".to_owned(),
        text: "t".to_owned(),
    };
    let score = adapter
        .score(scorer.address(), request.clone(), TIMEOUT)
        .await;
    assert_that!(score.expect("up"), eq(Scorer::score_of("t")));
    scorer.set_fault(shallotroute_standin::scorer::Fault {
        fail_every: 1,
        ..Default::default()
    });
    let failed = adapter.score(scorer.address(), request, TIMEOUT).await;
    assert_that!(kind(&failed.expect_err("fails")), eq(&Kind::Lost));
}
