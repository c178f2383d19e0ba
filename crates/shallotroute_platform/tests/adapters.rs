//! The HTTP adapters against the stand-ins.

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

/// Far above what any call takes, so that a busy machine does not change a verdict.
const TIMEOUT: Duration = Duration::from_secs(5);
const MODEL: &str = "pricing";

fn client() -> Client {
    Client::new(TIMEOUT)
}

fn kv(store: &Store) -> http::Store {
    http::Store::new(client(), store.address(), TIMEOUT)
}

fn engines() -> http::Engine {
    http::Engine::new(client())
}

fn generate(request_id: &str) -> Generate {
    Generate {
        request_id: request_id.to_owned(),
        model: Name::from(MODEL),
        prompt: "a quote for springs".to_owned(),
        max_tokens: 64,
        priority: 10,
    }
}

fn load(fence: u64, version: u64) -> Load {
    Load {
        fence: Fence(fence),
        model: Name::from(MODEL),
        version: Version(version),
        source: None,
    }
}

async fn engine(edit: impl FnOnce(&mut Settings)) -> Engine {
    let mut settings = Settings::new("e1", MODEL, 7);
    settings.length.sigma = 0.0;
    edit(&mut settings);
    Engine::start(settings).await.expect("a free port")
}

fn kind(report: &Report<Error>) -> Kind {
    report.current_context().kind.clone()
}

async fn events(address: SocketAddr, id: &str) -> std::result::Result<Vec<Event>, Report<Error>> {
    let engines = engines();
    let stream = engines.generate(address, generate(id)).await?;
    stream.try_collect().await
}

// Guards against a retry of a write that may have taken effect being called safe.
#[tokio::test]
async fn a_lost_answer_of_a_write_is_lost_and_not_unreachable() {
    let store = Store::start().await.expect("a free port");
    let adapter = kv(&store);
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

// Guards against a compare-and-swap that overwrites another writer's value.
#[tokio::test]
async fn a_write_with_the_wrong_version_conflicts_and_names_the_found_one() {
    let store = Store::start().await.expect("a free port");
    let adapter = kv(&store);
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

// Guards against a watch that polls, returns early, or misses a change.
#[tokio::test]
async fn a_watch_returns_at_the_change_and_counts_once() {
    let store = Store::start().await.expect("a free port");
    let adapter = kv(&store);
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

// Guards against a host list that shows a leaving host before its lag is over, or never.
#[tokio::test]
async fn the_host_list_lags() {
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

// Guards against lost, repeated or misattributed tokens in an undisturbed answer.
#[tokio::test]
async fn a_whole_answer_has_every_token_once_and_an_end() {
    let engine = engine(|_| ()).await;
    let events = events(engine.address(), "r1").await.expect("up");
    let mut next = 0;
    let mut whole = String::new();
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
                whole.push_str(text);
            }
            Event::End { tokens, .. } => assert_that!(*tokens, eq(next)),
        }
    }
    assert_that!(events.last(), some(pat!(Event::End { .. })));
    let tokens = text::parse(&whole).expect("the engine's own text");
    assert_that!(tokens.len(), eq(next as usize));
    let record = &engine.generations()[0];
    assert_that!(record.produced(), eq(next));
    assert_that!(record.end.map(|(end, _)| end), some(eq(End::Complete)));
}

// Guards against a cut or truncated stream being taken for a whole answer.
#[tokio::test]
async fn a_cut_or_truncated_stream_ends_in_lost() {
    let engine = engine(|_| ()).await;
    for fault in [StreamFault::Cut, StreamFault::Truncated] {
        engine.set_fault(Fault {
            stream: Some(fault),
            ..Fault::default()
        });
        let report = events(engine.address(), "r1").await.expect_err("cut");
        assert_that!(kind(&report), eq(&Kind::Lost));
    }
}

// Guards against an adapter that hides chunks of other requests or their order from its user.
#[tokio::test]
async fn foreign_and_reordered_chunks_are_passed_on_as_they_came() {
    let engine = engine(|_| ()).await;
    let with = |fault| {
        engine.set_fault(Fault {
            stream: Some(fault),
            ..Fault::default()
        });
    };
    with(StreamFault::Foreign);
    let foreign = events(engine.address(), "r1").await.expect("up");
    let is_foreign = |event: &Event| matches!(event, Event::Tokens { request_id, .. } if request_id == "foreign");
    assert_that!(foreign.iter().any(is_foreign), eq(true));
    with(StreamFault::Reordered);
    let reordered = events(engine.address(), "r1").await.expect("up");
    let starts: Vec<u32> = reordered
        .iter()
        .filter_map(|event| match event {
            Event::Tokens { start, .. } => Some(*start),
            Event::End { .. } => None,
        })
        .collect();
    assert_that!(starts.is_sorted(), eq(false));
}

// Guards against a refusal being called unknown, or a crash being called not run.
#[tokio::test]
async fn a_refusal_did_not_run_and_a_stopped_engine_is_unreachable() {
    let engine = engine(|_| ()).await;
    engine.set_fault(Fault {
        refusal: Some(Refusal::Leaving),
        ..Fault::default()
    });
    let refused = events(engine.address(), "r1").await.expect_err("leaving");
    assert_that!(kind(&refused), eq(&Kind::Refused("leaving".to_owned())));
    assert_that!(refused.current_context().outcome(), eq(Outcome::NotRun));
    assert_that!(engine.generations(), is_empty());
    engine.crash();
    let down = events(engine.address(), "r1").await.expect_err("down");
    assert_that!(kind(&down), eq(&Kind::Unreachable));
}

// Guards against a dropped stream that keeps its place in the engine.
#[tokio::test]
async fn dropping_a_stream_frees_its_slot() {
    let engine = engine(|settings| {
        settings.slots = 1;
        settings.tokens_per_second = 100.0;
    })
    .await;
    let engines = engines();
    let mut stream = engines
        .generate(engine.address(), generate("r1"))
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

// Guards against tokens of a stream that spans a swap being reported with one version.
#[tokio::test]
async fn a_swap_in_mid_stream_shows_in_the_versions() {
    let engine = engine(|settings| {
        settings.tokens_per_second = 50.0;
        settings.load_time = Duration::from_millis(400);
    })
    .await;
    let engines = engines();
    let load = engines.load(engine.address(), load(1, 1), Duration::from_secs(2));
    let (events, loaded) = future::join(events(engine.address(), "r1"), load).await;
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

// Guards against an old lease holder's command being carried out, or being called unknown.
#[tokio::test]
async fn an_old_fencing_number_is_refused_only_where_it_is_checked() {
    for fencing in [true, false] {
        let engine = engine(|settings| settings.fencing = fencing).await;
        let engines = engines();
        let limit = Duration::from_secs(2);
        engines
            .load(engine.address(), load(5, 2), limit)
            .await
            .expect("up");
        let old = engines.load(engine.address(), load(4, 1), limit).await;
        match fencing {
            true => assert_that!(kind(&old.expect_err("fenced")), eq(&Kind::Fenced)),
            false => assert_that!(old, ok(anything())),
        }
        let version = if fencing { Version(2) } else { Version(1) };
        assert_that!(engine.state().models[MODEL], eq(version));
    }
}

// Guards against a swap of unknown result being called not done.
#[tokio::test]
async fn a_partial_swap_and_a_lost_answer_are_lost() {
    let engine = engine(|_| ()).await;
    for (fault, models) in [(SwapFault::ResponseLost, 1), (SwapFault::Partial, 0)] {
        engine.set_fault(Fault {
            swap: Some(fault),
            ..Fault::default()
        });
        let engines = engines();
        let swap = engines.load(engine.address(), load(1, 1), Duration::from_secs(2));
        assert_that!(kind(&swap.await.expect_err("fails")), eq(&Kind::Lost));
        assert_that!(engine.state().models.len(), eq(models));
    }
}

// Guards against a scorer's failure being taken for a score.
#[tokio::test]
async fn a_score_is_the_scorers_and_a_failure_is_an_error() {
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
