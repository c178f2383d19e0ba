//! One job at its owner: single cases.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_batch::{
    record::{Draft, DraftState, Item, Listed, Outcome, Reward, Sample, Specification},
    run::{Action, Close, Event, Limits, Rating, Run},
};
use shallotroute_types::{name::Name, version::Version};

fn limits() -> Limits {
    Limits {
        concurrency: 8,
        ratings: 4,
        attempts: 3,
        rating_attempts: 2,
        stall: Duration::from_millis(700),
        slow: Vec::new(),
        spare: 0,
        single_version: false,
    }
}

fn specification(items: usize, rated: bool) -> Arc<Specification> {
    let items = (0..items)
        .map(|index| Item {
            id: format!("item-{index}").into(),
            group: format!("group-{}", index / 2).into(),
            path: "/run".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            expected_tokens: Some(u32::try_from(index).unwrap_or_default()),
            reward: rated.then(|| Reward {
                id: format!("reward-{index}").into(),
                host: "desk.example".to_owned(),
                path: "/rate".to_owned(),
                body: Vec::new(),
            }),
        })
        .collect();
    Arc::new(Specification {
        host: "llm.example".to_owned(),
        path: "/jobs/1".to_owned(),
        model: "m".into(),
        oldest: Version(4),
        wanted_groups: 1,
        items,
    })
}

fn run(items: usize, rated: bool, now: Instant) -> Run {
    let give_up_at = now + Duration::from_secs(20);
    Run::new(specification(items, rated), Vec::new(), give_up_at)
}

/// Starts what may start, all at one server.
fn advance(run: &mut Run, limits: &Limits, now: Instant) -> Vec<Action> {
    run.advance(limits, now, &mut |_| Some(Name::from("server")))
}

/// Returns the attempts that the actions start, with their items and the events they follow.
fn started(actions: &[Action]) -> Vec<(u64, usize, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Generate {
                attempt,
                item,
                after,
                ..
            } => Some((*attempt, *item, *after)),
            _ => None,
        })
        .collect()
}

fn piece(number: u64, version: u64) -> Event {
    Event::Piece {
        number,
        data: format!("data {number}"),
        version: Version(version),
    }
}

fn texts(run: &mut Run, now: Instant) -> Vec<Listed> {
    let chunk = run.chunk(now + Duration::from_secs(1));
    chunk.map_or_else(Vec::new, |chunk| chunk.results)
}

/// Guards against a text that starts late because short ones came first.
#[gtest]
fn the_longest_expected_texts_start_first() {
    let now = Instant::now();
    let mut run = run(6, false, now);
    let mut limits = limits();
    limits.concurrency = 2;
    let actions = advance(&mut run, &limits, now);
    let items: Vec<usize> = started(&actions).iter().map(|start| start.1).collect();
    expect_that!(items, elements_are![eq(&5), eq(&4)]);
}

/// Guards against a missing, doubled or reordered event in a text.
#[gtest]
fn a_broken_stream_goes_on_after_its_last_event() {
    let now = Instant::now();
    let mut run = run(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(attempt, piece(1, 4), &limits, now);
    run.handle(attempt, piece(1, 4), &limits, now);
    run.handle(attempt, piece(2, 5), &limits, now);
    run.handle(attempt, Event::Closed(Close::Broken), &limits, now);
    let (again, _, after) = started(&advance(&mut run, &limits, now))[0];
    expect_that!(after, eq(2));
    // What the first run still sends is not part of the text any more.
    run.handle(attempt, piece(3, 4), &limits, now);
    run.handle(again, piece(3, 6), &limits, now);
    run.handle(again, Event::Closed(Close::Whole), &limits, now);
    let expected = Sample {
        text: "data 1\ndata 2\ndata 3".to_owned(),
        versions: vec![Version(4), Version(5), Version(6)],
        score: None,
    };
    expect_that!(
        texts(&mut run, now),
        elements_are![eq(&Listed {
            item: 0,
            outcome: Outcome::Completed(expected)
        })]
    );
}

/// Guards against an item that is run for ever: its run broke off after the last event, and the
/// server has no event to add. Seen on the users' platform as 63 runs of one item.
#[gtest]
fn a_run_after_the_last_event_ends_the_text() {
    let now = Instant::now();
    let mut run = run(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(attempt, piece(1, 4), &limits, now);
    run.handle(attempt, Event::Closed(Close::Broken), &limits, now);
    let (again, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(again, Event::Closed(Close::Whole), &limits, now);
    expect_that!(texts(&mut run, now), len(eq(1)));
}

/// Guards against an empty answer to a whole run that counts as a text.
#[gtest]
fn an_answer_without_any_event_is_no_text() {
    let now = Instant::now();
    let mut run = run(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(attempt, Event::Closed(Close::Whole), &limits, now);
    expect_that!(texts(&mut run, now), is_empty());
}

/// Guards against a skipped event, and against a text with tokens of a version that is too old.
#[gtest]
fn gaps_and_old_versions_end_a_run() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut run = run(1, false, now);
    let limits = limits();
    let (first, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(first, piece(1, 4), &limits, now);
    let actions = run.handle(first, piece(3, 4), &limits, now);
    expect_that!(
        actions,
        elements_are![eq(&Action::Cancel { attempt: first })]
    );
    let (second, _, after) = started(&advance(&mut run, &limits, later))[0];
    expect_that!(after, eq(1));
    run.handle(second, piece(2, 3), &limits, later);
    let (_, _, after) = started(&advance(&mut run, &limits, later + Duration::from_secs(1)))[0];
    expect_that!(after, eq(0));
}

/// Guards against a mixed text where a trainer wants one version.
#[gtest]
fn a_single_version_text_restarts_at_a_change() {
    let now = Instant::now();
    let mut run = run(1, false, now);
    let mut limits = limits();
    limits.single_version = true;
    let (attempt, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(attempt, piece(1, 4), &limits, now);
    let actions = run.handle(attempt, piece(2, 5), &limits, now);
    expect_that!(actions, elements_are![eq(&Action::Cancel { attempt })]);
    let later = now + Duration::from_secs(1);
    expect_that!(started(&advance(&mut run, &limits, later))[0].2, eq(0));
}

/// Answers a silent server: the run goes on at another one.
#[gtest]
fn a_stalled_run_moves_and_avoids_its_server() {
    let now = Instant::now();
    let mut run = run(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(attempt, piece(1, 4), &limits, now);
    let before = now + Duration::from_millis(699);
    expect_that!(advance(&mut run, &limits, before), is_empty());
    let mut avoided = Vec::new();
    let actions = run.advance(&limits, now + limits.stall, &mut |wish| {
        avoided = wish.avoid.to_vec();
        Some(Name::from("other"))
    });
    expect_that!(actions[0], eq(&Action::Cancel { attempt }));
    expect_that!(started(&actions)[0].2, eq(1));
    expect_that!(avoided, elements_are![eq(&Name::from("server"))]);
}

/// Answers slow servers: as many runs leave as there are free slots elsewhere, and none for ever.
#[gtest]
fn runs_leave_slow_servers_as_far_as_there_is_room() {
    let now = Instant::now();
    let mut run = run(4, false, now);
    let mut limits = limits();
    limits.slow = vec!["server".into()];
    limits.spare = 3;
    expect_that!(started(&advance(&mut run, &limits, now)), len(eq(4)));
    let mut moves = 0;
    for tenth in 1..60 {
        let later = now + Duration::from_millis(100 * tenth);
        for attempt in run.attempts() {
            run.handle(
                attempt,
                piece(run.last_event(attempt) + 1, 4),
                &limits,
                later,
            );
        }
        let actions = advance(&mut run, &limits, later);
        let cancelled = actions
            .iter()
            .filter(|action| matches!(action, Action::Cancel { .. }))
            .count();
        expect_that!(cancelled, le(3));
        moves += cancelled;
    }
    expect_that!(moves, all!(ge(3), le(12)));
}

/// Guards against an item that is given up too early or never.
#[gtest]
fn items_are_abandoned_only_for_the_reasons_that_allow_it() {
    let now = Instant::now();
    let limits = limits();
    let mut run = run(4, true, now);
    let starts = started(&advance(&mut run, &limits, now));
    let attempt_of = |item: usize| {
        let start = starts.iter().find(|start| start.1 == item);
        start.map_or(0, |start| start.0)
    };
    run.handle(
        attempt_of(0),
        Event::Closed(Close::Impossible),
        &limits,
        now,
    );
    run.handle(attempt_of(1), Event::Closed(Close::Failed), &limits, now);
    run.handle(attempt_of(2), piece(1, 4), &limits, now);
    run.handle(attempt_of(2), Event::Closed(Close::Whole), &limits, now);
    run.handle(attempt_of(3), Event::Closed(Close::Refused), &limits, now);
    let mut later = now;
    for _ in 0..40 {
        later += Duration::from_millis(100);
        for action in advance(&mut run, &limits, later) {
            match action {
                Action::Generate {
                    attempt, item: 1, ..
                } => {
                    run.handle(attempt, Event::Closed(Close::Failed), &limits, later);
                }
                Action::Generate { attempt, .. } => {
                    run.handle(attempt, Event::Closed(Close::Refused), &limits, later);
                }
                Action::Rate { attempt, .. } => {
                    run.handle(attempt, Event::Rated(Rating::Failed), &limits, later);
                }
                Action::Cancel { .. } => {}
            }
        }
    }
    let mut abandoned: Vec<u32> = texts(&mut run, later)
        .iter()
        .filter(|listed| listed.outcome == Outcome::Abandoned)
        .map(|listed| listed.item)
        .collect();
    abandoned.sort_unstable();
    // Item 3 was only ever refused; it waits on.
    expect_that!(abandoned, elements_are![eq(&0), eq(&1), eq(&2)]);
    run.written();
    advance(&mut run, &limits, now + Duration::from_secs(21));
    expect_that!(
        texts(&mut run, now + Duration::from_secs(21)),
        elements_are![eq(&Listed {
            item: 3,
            outcome: Outcome::Abandoned
        })]
    );
}

/// Guards against a rating before the text is whole, and against a result without its score.
#[gtest]
fn a_text_is_rated_when_it_is_whole() {
    let now = Instant::now();
    let limits = limits();
    let mut run = run(1, true, now);
    let (attempt, _, _) = started(&advance(&mut run, &limits, now))[0];
    run.handle(attempt, piece(1, 4), &limits, now);
    expect_that!(advance(&mut run, &limits, now), is_empty());
    run.handle(attempt, Event::Closed(Close::Whole), &limits, now);
    let actions = advance(&mut run, &limits, now);
    let [Action::Rate { attempt, item: 0 }] = actions[..] else {
        panic!("one rating expected, got {actions:?}");
    };
    expect_that!(texts(&mut run, now), is_empty());
    run.handle(attempt, Event::Rated(Rating::Lost), &limits, now);
    expect_that!(texts(&mut run, now), is_empty());
    let later = now + Duration::from_millis(100);
    let actions = advance(&mut run, &limits, later);
    let [Action::Rate { attempt, .. }] = actions[..] else {
        panic!("a second rating expected, got {actions:?}");
    };
    let score = Event::Rated(Rating::Score("stamp".to_owned()));
    run.handle(attempt, score, &limits, later);
    let outcome = &texts(&mut run, later)[0].outcome;
    expect_that!(
        outcome,
        matches_pattern!(Outcome::Completed(matches_pattern!(Sample {
            score: some(eq("stamp")),
            ..
        })))
    );
}

/// Guards against a write for each result, and against a last result that waits for nothing.
#[gtest]
fn results_gather_until_they_have_waited_or_all_are_there() {
    let now = Instant::now();
    let limits = limits();
    let mut run = run(4, false, now);
    let finish = |run: &mut Run, attempt: u64, now: Instant| {
        run.handle(attempt, piece(1, 4), &limits, now);
        run.handle(attempt, Event::Closed(Close::Whole), &limits, now);
    };
    let attempts: Vec<u64> = started(&advance(&mut run, &limits, now))
        .iter()
        .map(|start| start.0)
        .collect();
    finish(&mut run, attempts[0], now);
    expect_that!(run.chunk(now + Duration::from_millis(249)), none());
    finish(&mut run, attempts[1], now + Duration::from_millis(200));
    let chunk = run.chunk(now + Duration::from_millis(250));
    expect_that!(chunk.map(|chunk| chunk.results.len()), some(eq(2)));
    // The next write waits for the answer to this one.
    expect_that!(run.chunk(now + Duration::from_secs(1)), none());
    run.written();
    expect_that!(run.results().len(), eq(2));
    let later = now + Duration::from_secs(1);
    finish(&mut run, attempts[2], later);
    finish(&mut run, attempts[3], later);
    let chunk = run.chunk(later);
    expect_that!(chunk.map(|chunk| chunk.results.len()), some(eq(2)));
    run.written();
    expect_that!(run.complete_groups(), eq(2));
}

/// Guards against a trainer that waits for the last group that it wants.
#[gtest]
fn the_last_wanted_groups_are_written_at_once() {
    let now = Instant::now();
    let limits = limits();
    // One group is wanted; items 2 and 3 are of another one.
    let mut run = run(4, false, now);
    let starts = started(&advance(&mut run, &limits, now));
    let attempt_of = |item: usize| {
        let start = starts.iter().find(|start| start.1 == item);
        start.map_or(0, |start| start.0)
    };
    for item in [0, 2] {
        run.handle(attempt_of(item), piece(1, 4), &limits, now);
        run.handle(attempt_of(item), Event::Closed(Close::Whole), &limits, now);
    }
    expect_that!(run.chunk(now), none());
    run.handle(attempt_of(1), piece(1, 4), &limits, now);
    run.handle(attempt_of(1), Event::Closed(Close::Whole), &limits, now);
    let chunk = run.chunk(now);
    expect_that!(chunk.map(|chunk| chunk.results.len()), some(eq(3)));
}

/// Answers a job whose texts all end together: its ratings leave room for callers of the service.
#[gtest]
fn ratings_leave_room_for_others() {
    let now = Instant::now();
    let limits = limits();
    let mut run = run(8, true, now);
    for (attempt, _, _) in started(&advance(&mut run, &limits, now)) {
        run.handle(attempt, piece(1, 4), &limits, now);
        run.handle(attempt, Event::Closed(Close::Whole), &limits, now);
    }
    expect_that!(advance(&mut run, &limits, now), len(eq(limits.ratings)));
    expect_that!(advance(&mut run, &limits, now), is_empty());
    let attempt = run.attempts()[0];
    let score = Event::Rated(Rating::Score("stamp".to_owned()));
    run.handle(attempt, score, &limits, now);
    expect_that!(advance(&mut run, &limits, now), len(eq(1)));
}

/// Guards against an item that runs after its trainer has ended the job.
#[gtest]
fn nothing_runs_after_the_end() {
    let now = Instant::now();
    let limits = limits();
    let mut run = run(3, false, now);
    let attempts = started(&advance(&mut run, &limits, now)).len();
    expect_that!(run.end().len(), eq(attempts));
    expect_that!(advance(&mut run, &limits, now), is_empty());
    expect_that!(run.in_progress(), eq(0));
}

/// Guards against drafts of a former owner that replace listed results or runs in progress.
#[gtest]
fn drafts_fill_only_what_is_open() {
    let now = Instant::now();
    let limits = limits();
    let outcome = |text: &str| {
        Outcome::Completed(Sample {
            text: text.to_owned(),
            versions: vec![Version(4)],
            score: None,
        })
    };
    let listed = |item, text| Listed {
        item,
        outcome: outcome(text),
    };
    let done = |item, text| Draft {
        item,
        state: DraftState::Done(outcome(text)),
    };
    let written = vec![listed(1, "written")];
    let give_up_at = now + Duration::from_secs(20);
    let mut run = Run::new(specification(4, false), written.clone(), give_up_at);
    let partial = Draft {
        item: 2,
        state: DraftState::Partial {
            last_event: 7,
            text: "seven".to_owned(),
            versions: vec![Version(4)],
        },
    };
    run.restore(
        vec![
            done(0, "kept"),
            done(1, "other"),
            done(9, "nobody's"),
            partial,
        ],
        now,
    );
    expect_that!(texts(&mut run, now), elements_are![eq(&listed(0, "kept"))]);
    expect_that!(run.results(), eq(&written[..]));
    let starts: Vec<(usize, u64)> = started(&advance(&mut run, &limits, now))
        .iter()
        .map(|start| (start.1, start.2))
        .collect();
    expect_that!(starts, elements_are![eq(&(3, 0)), eq(&(2, 7))]);
    // What runs already is not replaced.
    run.restore(vec![done(3, "late")], now);
    expect_that!(run.attempts(), len(eq(2)));
}

/// Answers an owner that dies in the middle of long texts: others have what grew, and only that.
#[gtest]
fn drafts_are_shared_as_texts_grow() {
    let now = Instant::now();
    let limits = limits();
    let mut run = run(2, false, now);
    let attempt = started(&advance(&mut run, &limits, now))[0].0;
    let mut shared = BTreeMap::new();
    let mut sizes = Vec::new();
    for number in 1..=25 {
        run.handle(attempt, piece(number, 4), &limits, now);
        for draft in run.drafts(&mut shared, false) {
            sizes.push(draft.progress());
        }
    }
    expect_that!(sizes, elements_are![eq(&10), eq(&20)]);
    run.handle(attempt, Event::Closed(Close::Whole), &limits, now);
    expect_that!(run.drafts(&mut shared, false), is_empty());
    let results = run.drafts(&mut shared, true);
    expect_that!(results, len(eq(1)));
    expect_that!(run.drafts(&mut shared, true), is_empty());
}

/// Guards against ended jobs that hold what only work needs while readers still come, and against results
/// that are lost with it.
#[gtest]
fn a_released_job_keeps_its_results() {
    let now = Instant::now();
    let results = vec![Listed {
        item: 1,
        outcome: Outcome::Completed(Sample {
            text: "a text".to_owned(),
            versions: vec![Version(4)],
            score: None,
        }),
    }];
    let mut whole = Specification::clone(&specification(2, true));
    for item in &mut whole.items {
        item.body = b"a prompt".to_vec();
    }
    let give_up_at = now + Duration::from_secs(20);
    let mut run = Run::new(Arc::new(whole.clone()), results.clone(), give_up_at);
    expect_false!(run.is_released());
    run.release();
    expect_true!(run.is_released());
    expect_that!(run.results(), eq(&results));
    let kept = run.specification();
    expect_that!((&kept.host, &kept.path), eq((&whole.host, &whole.path)));
    for (kept, item) in kept.items.iter().zip(&whole.items) {
        expect_that!((&kept.id, &kept.group), eq((&item.id, &item.group)));
        expect_that!(kept.body, is_empty());
        expect_that!(kept.reward, none());
    }
}
