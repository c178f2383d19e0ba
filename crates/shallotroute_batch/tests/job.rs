//! Tests of the state machine of a batch job, one case at a time.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_batch::{
    checkpoint::Schedule,
    job::{
        Action, Choice, Discard, DiscardReason, Event, GenerationEnd, Job, Limits, Preference,
        ScoringEnd,
    },
    record::{
        Checkpoint, CheckpointState, Item, ItemResult, Outcome, Sample, Scorer, Specification,
    },
};
use shallotroute_types::{name::Name, version::Version};

fn limits() -> Limits {
    Limits {
        max_generating: 8,
        max_scoring: 4,
        max_attempts: 3,
        max_scoring_attempts: 2,
        stall_timeout: Duration::from_millis(700),
        slow_servers: Vec::new(),
        leaving_servers: BTreeMap::new(),
        free_slots: BTreeMap::from([("v1".into(), 0)]),
        event_interval: None,
        requires_single_version: false,
        scoring_room: usize::MAX,
        random: 0.5,
    }
}

fn specification(items: usize, has_scorer: bool) -> Arc<Specification> {
    let items = (0..items)
        .map(|index| Item {
            id: format!("item-{index}").into(),
            group: format!("group-{}", index / 2).into(),
            path: "/run".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            expected_tokens: Some(u32::try_from(index).unwrap_or_default()),
            scorer: has_scorer.then(|| Scorer {
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
        min_version: Version(4),
        wanted_groups: 1,
        items,
        workspace: None,
    })
}

fn job(items: usize, has_scorer: bool, now: Instant) -> Job {
    let abandon_at = now + Duration::from_secs(20);
    Job::new(specification(items, has_scorer), Vec::new(), abandon_at)
}

fn choice(server: &str, software: &str) -> Choice {
    Choice {
        server: server.into(),
        software: software.into(),
    }
}

/// Advances the job with one server for all items.
fn advance(job: &mut Job, limits: &Limits, now: Instant) -> Vec<Action> {
    job.advance(limits, now, &mut |_| Some(choice("server", "v1")))
}

/// Returns the attempts to generate that the actions start: number, item, and last event before.
fn started_attempts(actions: &[Action]) -> Vec<(u64, usize, u64)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Generate {
                attempt,
                item,
                resume_after,
                ..
            } => Some((*attempt, *item, *resume_after)),
            _ => None,
        })
        .collect()
}

fn generated(number: u64, version: u64) -> Event {
    Event::Generated {
        number,
        data: format!("data {number}"),
        version: Version(version),
    }
}

fn ready_results(job: &mut Job, now: Instant) -> Vec<ItemResult> {
    let chunk = job.next_chunk(now + Duration::from_secs(1));
    chunk.map_or_else(Vec::new, |chunk| chunk.results)
}

/// Guards against a long output that delays its group because short ones started first.
#[gtest]
fn the_longest_expected_outputs_start_first() {
    let now = Instant::now();
    let mut job = job(6, false, now);
    let mut limits = limits();
    limits.max_generating = 2;
    let actions = advance(&mut job, &limits, now);
    let items: Vec<usize> = started_attempts(&actions)
        .iter()
        .map(|start| start.1)
        .collect();
    expect_that!(items, elements_are![eq(&5), eq(&4)]);
}

/// Guards against a missing, duplicated or reordered event in an output.
#[gtest]
fn an_interrupted_stream_resumes_after_its_last_event() {
    let now = Instant::now();
    let mut job = job(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(attempt, generated(1, 4), &limits, now);
    job.handle_event(attempt, generated(1, 4), &limits, now);
    job.handle_event(attempt, generated(2, 5), &limits, now);
    job.handle_event(
        attempt,
        Event::GenerationEnded(GenerationEnd::Interrupted),
        &limits,
        now,
    );
    let (resumed, _, resume_after) = started_attempts(&advance(&mut job, &limits, now))[0];
    expect_that!(resume_after, eq(2));
    // Late events of the first attempt are not part of the output.
    job.handle_event(attempt, generated(3, 4), &limits, now);
    job.handle_event(resumed, generated(3, 6), &limits, now);
    job.handle_event(
        resumed,
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    let expected = Sample {
        output: "data 1\ndata 2\ndata 3".to_owned(),
        versions: vec![Version(4), Version(5), Version(6)],
        score: None,
    };
    expect_that!(
        ready_results(&mut job, now),
        elements_are![eq(&ItemResult {
            item: 0,
            outcome: Outcome::Completed(expected)
        })]
    );
}

/// Guards against endless attempts for an item whose stream was interrupted after the last event: the
/// next server has no event to add. On the users' platform this took 63 attempts for one item.
#[gtest]
fn an_attempt_after_the_last_event_completes_the_output() {
    let now = Instant::now();
    let mut job = job(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(attempt, generated(1, 4), &limits, now);
    job.handle_event(
        attempt,
        Event::GenerationEnded(GenerationEnd::Interrupted),
        &limits,
        now,
    );
    let (resumed, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(
        resumed,
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    expect_that!(ready_results(&mut job, now), len(eq(1)));
}

/// Guards against an empty response that counts as a complete output.
#[gtest]
fn a_response_without_events_is_no_output() {
    let now = Instant::now();
    let mut job = job(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(
        attempt,
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    expect_that!(ready_results(&mut job, now), is_empty());
}

/// Guards against an output that lacks an event or has events of a version that is too old.
#[gtest]
fn gaps_and_old_versions_cancel_an_attempt() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut job = job(1, false, now);
    let limits = limits();
    let (first, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(first, generated(1, 4), &limits, now);
    let actions = job.handle_event(first, generated(3, 4), &limits, now);
    expect_that!(
        actions,
        elements_are![eq(&Action::Cancel { attempt: first })]
    );
    let (second, _, resume_after) = started_attempts(&advance(&mut job, &limits, later))[0];
    expect_that!(resume_after, eq(1));
    job.handle_event(second, generated(2, 3), &limits, later);
    let (_, _, resume_after) =
        started_attempts(&advance(&mut job, &limits, later + Duration::from_secs(1)))[0];
    expect_that!(resume_after, eq(0));
}

/// Guards against an output of several versions for a trainer that requires a single version.
#[gtest]
fn a_single_version_output_restarts_when_the_version_changes() {
    let now = Instant::now();
    let mut job = job(1, false, now);
    let mut limits = limits();
    limits.requires_single_version = true;
    let (attempt, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(attempt, generated(1, 4), &limits, now);
    let actions = job.handle_event(attempt, generated(2, 5), &limits, now);
    expect_that!(actions, elements_are![eq(&Action::Cancel { attempt })]);
    let later = now + Duration::from_secs(1);
    expect_that!(
        started_attempts(&advance(&mut job, &limits, later))[0].2,
        eq(0)
    );
}

/// Guards against an item that waits for a silent server: its attempt resumes at another one.
#[gtest]
fn a_stalled_attempt_migrates_and_avoids_its_server() {
    let now = Instant::now();
    let mut job = job(1, false, now);
    let limits = limits();
    let (attempt, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(attempt, generated(1, 4), &limits, now);
    let before = now + Duration::from_millis(699);
    expect_that!(advance(&mut job, &limits, before), is_empty());
    let mut avoided = Vec::new();
    let actions = job.advance(&limits, now + limits.stall_timeout, &mut |preference| {
        avoided = preference.avoid.to_vec();
        Some(choice("other", "v1"))
    });
    expect_that!(actions[0], eq(&Action::Cancel { attempt }));
    expect_that!(started_attempts(&actions)[0].2, eq(1));
    expect_that!(avoided, elements_are![eq(&Name::from("server"))]);
}

/// Guards against more migrations away from slow servers than other servers have free slots, and
/// against an item that migrates without end.
#[gtest]
fn migrations_from_slow_servers_are_limited() {
    let now = Instant::now();
    let mut job = job(4, false, now);
    let mut limits = limits();
    limits.slow_servers = vec!["server".into()];
    limits.free_slots = BTreeMap::from([("v1".into(), 3)]);
    expect_that!(
        started_attempts(&advance(&mut job, &limits, now)),
        len(eq(4))
    );
    let mut migrations = 0;
    for tenth in 1..60 {
        let later = now + Duration::from_millis(100 * tenth);
        for attempt in job.active_attempts() {
            job.handle_event(
                attempt,
                generated(job.last_event(attempt) + 1, 4),
                &limits,
                later,
            );
        }
        let actions = advance(&mut job, &limits, later);
        let cancelled = actions
            .iter()
            .filter(|action| matches!(action, Action::Cancel { .. }))
            .count();
        expect_that!(cancelled, le(3));
        migrations += cancelled;
    }
    expect_that!(migrations, all!(ge(3), le(12)));
}

/// Guards against an item that is abandoned too early or never.
#[gtest]
fn items_are_abandoned_only_for_valid_reasons() {
    let now = Instant::now();
    let limits = limits();
    let mut job = job(4, true, now);
    let starts = started_attempts(&advance(&mut job, &limits, now));
    let attempt_of = |item: usize| {
        let start = starts.iter().find(|start| start.1 == item);
        start.map_or(0, |start| start.0)
    };
    job.handle_event(
        attempt_of(0),
        Event::GenerationEnded(GenerationEnd::Unprocessable),
        &limits,
        now,
    );
    job.handle_event(
        attempt_of(1),
        Event::GenerationEnded(GenerationEnd::Failed),
        &limits,
        now,
    );
    job.handle_event(attempt_of(2), generated(1, 4), &limits, now);
    job.handle_event(
        attempt_of(2),
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    job.handle_event(
        attempt_of(3),
        Event::GenerationEnded(GenerationEnd::Rejected),
        &limits,
        now,
    );
    let mut later = now;
    for _ in 0..40 {
        later += Duration::from_millis(100);
        for action in advance(&mut job, &limits, later) {
            match action {
                Action::Generate {
                    attempt, item: 1, ..
                } => {
                    job.handle_event(
                        attempt,
                        Event::GenerationEnded(GenerationEnd::Failed),
                        &limits,
                        later,
                    );
                }
                Action::Generate { attempt, .. } => {
                    job.handle_event(
                        attempt,
                        Event::GenerationEnded(GenerationEnd::Rejected),
                        &limits,
                        later,
                    );
                }
                Action::RequestScore { attempt, .. } => {
                    job.handle_event(
                        attempt,
                        Event::ScoringEnded(ScoringEnd::Failed),
                        &limits,
                        later,
                    );
                }
                Action::Cancel { .. } => {}
                Action::ReportDiscard(discard) => panic!("one software version: {discard:?}"),
            }
        }
    }
    let mut abandoned: Vec<u32> = ready_results(&mut job, later)
        .iter()
        .filter(|item_result| item_result.outcome == Outcome::Abandoned)
        .map(|item_result| item_result.item)
        .collect();
    abandoned.sort_unstable();
    // Item 3 was only rejected and keeps waiting.
    expect_that!(abandoned, elements_are![eq(&0), eq(&1), eq(&2)]);
    job.commit_chunk();
    advance(&mut job, &limits, now + Duration::from_secs(21));
    expect_that!(
        ready_results(&mut job, now + Duration::from_secs(21)),
        elements_are![eq(&ItemResult {
            item: 3,
            outcome: Outcome::Abandoned
        })]
    );
}

/// Guards against a score for an incomplete output, and against a result without its score.
#[gtest]
fn an_output_is_scored_once_it_is_complete() {
    let now = Instant::now();
    let limits = limits();
    let mut job = job(1, true, now);
    let (attempt, _, _) = started_attempts(&advance(&mut job, &limits, now))[0];
    job.handle_event(attempt, generated(1, 4), &limits, now);
    expect_that!(advance(&mut job, &limits, now), is_empty());
    job.handle_event(
        attempt,
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    let actions = advance(&mut job, &limits, now);
    let [Action::RequestScore { attempt, item: 0 }] = actions[..] else {
        panic!("expected one scoring request, got {actions:?}");
    };
    expect_that!(ready_results(&mut job, now), is_empty());
    job.handle_event(
        attempt,
        Event::ScoringEnded(ScoringEnd::NoResponse),
        &limits,
        now,
    );
    expect_that!(ready_results(&mut job, now), is_empty());
    let later = now + Duration::from_millis(100);
    let actions = advance(&mut job, &limits, later);
    let [Action::RequestScore { attempt, .. }] = actions[..] else {
        panic!("expected a second scoring request, got {actions:?}");
    };
    let score = Event::ScoringEnded(ScoringEnd::Score("stamp".to_owned()));
    job.handle_event(attempt, score, &limits, later);
    let outcome = &ready_results(&mut job, later)[0].outcome;
    expect_that!(
        outcome,
        matches_pattern!(Outcome::Completed(matches_pattern!(Sample {
            score: some(eq("stamp")),
            ..
        })))
    );
}

/// Guards against one write for each result, and against a delay of the last result when no other can
/// follow.
#[gtest]
fn results_are_committed_together_after_a_delay_or_when_all_are_ready() {
    let now = Instant::now();
    let limits = limits();
    let mut job = job(4, false, now);
    let finish = |job: &mut Job, attempt: u64, now: Instant| {
        job.handle_event(attempt, generated(1, 4), &limits, now);
        job.handle_event(
            attempt,
            Event::GenerationEnded(GenerationEnd::Complete),
            &limits,
            now,
        );
    };
    let attempts: Vec<u64> = started_attempts(&advance(&mut job, &limits, now))
        .iter()
        .map(|start| start.0)
        .collect();
    finish(&mut job, attempts[0], now);
    expect_that!(job.next_chunk(now + Duration::from_millis(249)), none());
    finish(&mut job, attempts[1], now + Duration::from_millis(200));
    let chunk = job.next_chunk(now + Duration::from_millis(250));
    expect_that!(chunk.map(|chunk| chunk.results.len()), some(eq(2)));
    // There is one write at a time.
    expect_that!(job.next_chunk(now + Duration::from_secs(1)), none());
    job.commit_chunk();
    expect_that!(job.results().len(), eq(2));
    let later = now + Duration::from_secs(1);
    finish(&mut job, attempts[2], later);
    finish(&mut job, attempts[3], later);
    let chunk = job.next_chunk(later);
    expect_that!(chunk.map(|chunk| chunk.results.len()), some(eq(2)));
    job.commit_chunk();
    expect_that!(job.complete_group_count(), eq(2));
}

/// Guards against a trainer that waits for the commit delay of the last groups that it wants.
#[gtest]
fn the_last_wanted_groups_are_committed_without_delay() {
    let now = Instant::now();
    let limits = limits();
    // One group is wanted; items 2 and 3 belong to another one.
    let mut job = job(4, false, now);
    let starts = started_attempts(&advance(&mut job, &limits, now));
    let attempt_of = |item: usize| {
        let start = starts.iter().find(|start| start.1 == item);
        start.map_or(0, |start| start.0)
    };
    for item in [0, 2] {
        job.handle_event(attempt_of(item), generated(1, 4), &limits, now);
        job.handle_event(
            attempt_of(item),
            Event::GenerationEnded(GenerationEnd::Complete),
            &limits,
            now,
        );
    }
    expect_that!(job.next_chunk(now), none());
    job.handle_event(attempt_of(1), generated(1, 4), &limits, now);
    job.handle_event(
        attempt_of(1),
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    let chunk = job.next_chunk(now);
    expect_that!(chunk.map(|chunk| chunk.results.len()), some(eq(3)));
}

/// Guards against a job whose outputs complete at the same time and whose scoring requests then take all
/// capacity from callers of the scoring service.
#[gtest]
fn concurrent_scoring_requests_are_limited() {
    let now = Instant::now();
    let limits = limits();
    let mut job = job(8, true, now);
    for (attempt, _, _) in started_attempts(&advance(&mut job, &limits, now)) {
        job.handle_event(attempt, generated(1, 4), &limits, now);
        job.handle_event(
            attempt,
            Event::GenerationEnded(GenerationEnd::Complete),
            &limits,
            now,
        );
    }
    expect_that!(advance(&mut job, &limits, now), len(eq(limits.max_scoring)));
    expect_that!(advance(&mut job, &limits, now), is_empty());
    let attempt = job.active_attempts()[0];
    let score = Event::ScoringEnded(ScoringEnd::Score("stamp".to_owned()));
    job.handle_event(attempt, score, &limits, now);
    expect_that!(advance(&mut job, &limits, now), len(eq(1)));
}

/// Guards against attempts after the trainer has ended the job.
#[gtest]
fn no_attempt_starts_after_the_end() {
    let now = Instant::now();
    let limits = limits();
    let mut job = job(3, false, now);
    let attempts = started_attempts(&advance(&mut job, &limits, now)).len();
    expect_that!(job.stop().len(), eq(attempts));
    expect_that!(advance(&mut job, &limits, now), is_empty());
    expect_that!(job.active_attempt_count(), eq(0));
}

/// Guards against checkpoints of a former owner that replace committed results or attempts in progress.
#[gtest]
fn checkpoints_restore_only_items_without_progress() {
    let now = Instant::now();
    let limits = limits();
    let outcome = |output: &str| {
        Outcome::Completed(Sample {
            output: output.to_owned(),
            versions: vec![Version(4)],
            score: None,
        })
    };
    let item_result = |item, output| ItemResult {
        item,
        outcome: outcome(output),
    };
    let done = |item, output| Checkpoint {
        item,
        state: CheckpointState::Done(outcome(output)),
    };
    let committed = vec![item_result(1, "committed")];
    let abandon_at = now + Duration::from_secs(20);
    let mut job = Job::new(specification(4, false), committed.clone(), abandon_at);
    let partial = Checkpoint {
        item: 2,
        state: CheckpointState::Generated {
            last_event: 7,
            output: "seven".to_owned(),
            versions: vec![Version(4)],
            software: "v1".into(),
        },
    };
    job.restore(
        vec![
            done(0, "kept"),
            done(1, "other"),
            done(9, "nobody's"),
            partial,
        ],
        now,
    );
    expect_that!(
        ready_results(&mut job, now),
        elements_are![eq(&item_result(0, "kept"))]
    );
    expect_that!(job.results(), eq(&committed[..]));
    let starts: Vec<(usize, u64)> = started_attempts(&advance(&mut job, &limits, now))
        .iter()
        .map(|start| (start.1, start.2))
        .collect();
    expect_that!(starts, elements_are![eq(&(3, 0)), eq(&(2, 7))]);
    // An attempt in progress is not replaced.
    job.restore(vec![done(3, "late")], now);
    expect_that!(job.active_attempts(), len(eq(2)));
}

/// Guards against long outputs that are lost when their owner dies, and against checkpoints of outputs
/// that have hardly grown.
#[gtest]
fn checkpoints_are_taken_as_outputs_grow() {
    let now = Instant::now();
    let limits = limits();
    let mut job = job(2, false, now);
    let attempt = started_attempts(&advance(&mut job, &limits, now))[0].0;
    let mut replicated = BTreeMap::new();
    let mut sizes = Vec::new();
    for number in 1..=25 {
        job.handle_event(attempt, generated(number, 4), &limits, now);
        for checkpoint in job.checkpoints(&mut replicated, false) {
            sizes.push(checkpoint.progress());
        }
    }
    expect_that!(sizes, elements_are![eq(&10), eq(&20)]);
    job.handle_event(
        attempt,
        Event::GenerationEnded(GenerationEnd::Complete),
        &limits,
        now,
    );
    expect_that!(job.checkpoints(&mut replicated, false), is_empty());
    let results = job.checkpoints(&mut replicated, true);
    expect_that!(results, len(eq(1)));
    expect_that!(job.checkpoints(&mut replicated, true), is_empty());
}

/// Guards against ended jobs that hold memory for unfinished items while results are still read, and
/// against results that are freed with it.
#[gtest]
fn results_stay_readable_after_payloads_are_released() {
    let now = Instant::now();
    let results = vec![ItemResult {
        item: 1,
        outcome: Outcome::Completed(Sample {
            output: "a text".to_owned(),
            versions: vec![Version(4)],
            score: None,
        }),
    }];
    let mut whole = Specification::clone(&specification(2, true));
    for item in &mut whole.items {
        item.body = b"a prompt".to_vec();
    }
    let abandon_at = now + Duration::from_secs(20);
    let mut job = Job::new(Arc::new(whole.clone()), results.clone(), abandon_at);
    expect_false!(job.has_released_payloads());
    job.release_payloads();
    expect_true!(job.has_released_payloads());
    expect_that!(job.results(), eq(&results));
    let released = job.specification();
    expect_that!(
        (&released.host, &released.path),
        eq((&whole.host, &whole.path))
    );
    for (released, item) in released.items.iter().zip(&whole.items) {
        expect_that!((&released.id, &released.group), eq((&item.id, &item.group)));
        expect_that!(released.body, is_empty());
        expect_that!(released.scorer, none());
    }
}

/// Guards against an ended job whose owner answers without the results of the last write, although
/// other nodes have already read them from the store.
#[gtest]
fn a_write_in_progress_at_the_end_of_a_job_is_committed() {
    let now = Instant::now();
    let mut job = job(2, false, now);
    let attempts = started_attempts(&advance(&mut job, &limits(), now));
    for (attempt, ..) in attempts {
        job.handle_event(attempt, generated(1, 4), &limits(), now);
        let end = Event::GenerationEnded(GenerationEnd::Complete);
        job.handle_event(attempt, end, &limits(), now);
    }
    expect_that!(job.next_chunk(now), some(anything()));
    job.stop();
    expect_true!(job.is_writing());
    job.commit_chunk();
    expect_false!(job.is_writing());
    expect_that!(job.results(), len(eq(2)));
    expect_that!(job.next_chunk(now + Duration::from_secs(1)), none());
}

/// Returns limits with servers of these software versions and free slots.
fn limits_with_software(free_slots: &[(&str, usize)]) -> Limits {
    let free_slots = free_slots
        .iter()
        .map(|(software, count)| (Name::from(*software), *count));
    Limits {
        free_slots: free_slots.collect(),
        event_interval: Some(Duration::from_millis(40)),
        ..limits()
    }
}

/// Starts the only item of a job at a server of `v1`, and interrupts its stream after three events.
fn interrupted_job(now: Instant) -> Job {
    let mut job = job(1, false, now);
    let (attempt, ..) = started_attempts(&advance(&mut job, &limits(), now))[0];
    for number in 1..=3 {
        job.handle_event(attempt, generated(number, 4), &limits(), now);
    }
    let end = Event::GenerationEnded(GenerationEnd::Interrupted);
    job.handle_event(attempt, end, &limits(), now);
    job
}

fn reported_discards(actions: &[Action]) -> Vec<Discard> {
    let discards = actions.iter().filter_map(|action| match action {
        Action::ReportDiscard(discard) => Some(discard.clone()),
        _ => None,
    });
    discards.collect()
}

fn discard(reason: DiscardReason, events: u64) -> Discard {
    Discard {
        item: 0,
        software: "v1".into(),
        reason,
        events,
    }
}

/// Guards against an item that waits for software which no server has any more, and against outputs
/// that are discarded while the host list is empty.
#[gtest]
fn an_output_is_discarded_at_once_when_no_server_has_its_software() {
    let now = Instant::now();
    let mut job = interrupted_job(now);
    let actions = job.advance(&limits_with_software(&[]), now, &mut |_| None);
    expect_that!(actions, is_empty());
    let mut required = Vec::new();
    let limits = limits_with_software(&[("v2", 1)]);
    let actions = job.advance(&limits, now, &mut |preference| {
        required.push(preference.software.cloned());
        Some(choice("new", "v2"))
    });
    expect_that!(required, elements_are![none()]);
    expect_that!(
        reported_discards(&actions),
        elements_are![eq(&discard(DiscardReason::NotOffered, 3))]
    );
    expect_that!(started_attempts(&actions), elements_are![eq(&(2, 0, 0))]);
}

/// Guards against an item that starts again although a server of its software is about to have a free
/// slot, and against one that waits for longer than its events took, or for seconds.
#[gtest]
fn an_item_waits_for_its_software_as_long_as_its_events_take() {
    let slow = Duration::from_secs(1);
    for (interval, limit) in [
        (Some(Duration::from_millis(40)), 120),
        (Some(slow), 2000),
        (None, 500),
    ] {
        let now = Instant::now();
        let limits = Limits {
            event_interval: interval,
            ..limits_with_software(&[("v1", 0), ("v2", 4)])
        };
        let only_new = |preference: &Preference<'_>| {
            let is_old = preference.software.is_some_and(|name| **name == *"v1");
            (!is_old).then(|| choice("new", "v2"))
        };
        let mut job = interrupted_job(now);
        for wait in [0, limit - 1] {
            let at = now + Duration::from_millis(wait);
            expect_that!(job.advance(&limits, at, &mut { only_new }), is_empty());
        }
        let at = now + Duration::from_millis(limit);
        // An output is kept while no server of any software could start it.
        expect_that!(job.advance(&limits, at, &mut |_| None), is_empty());
        let actions = job.advance(&limits, at, &mut { only_new });
        expect_that!(
            reported_discards(&actions),
            elements_are![eq(&discard(DiscardReason::NoSlot, 3))]
        );
        expect_that!(started_attempts(&actions), elements_are![eq(&(2, 0, 0))]);
    }
}

/// Guards against items that wait although servers of other software are free, because an item before
/// them finds no server of its software.
#[gtest]
fn an_item_without_a_server_of_its_software_does_not_hold_up_others() {
    let now = Instant::now();
    let mut job = job(3, false, now);
    let mut one = limits();
    one.max_generating = 1;
    let (attempt, item, _) = started_attempts(&advance(&mut job, &one, now))[0];
    expect_that!(item, eq(2));
    job.handle_event(attempt, generated(1, 4), &one, now);
    let end = Event::GenerationEnded(GenerationEnd::Interrupted);
    job.handle_event(attempt, end, &one, now);
    let limits = limits_with_software(&[("v1", 0), ("v2", 4)]);
    let mut started = Vec::new();
    // The first pass fails also because the item avoids its server.
    for _ in 0..2 {
        let actions = job.advance(&limits, now, &mut |preference| {
            let is_free = preference.software.is_none();
            is_free.then(|| choice("new", "v2"))
        });
        started.extend(started_attempts(&actions));
    }
    let items: Vec<usize> = started.iter().map(|start| start.1).collect();
    expect_that!(items, elements_are![eq(&1), eq(&0)]);
}

/// Guards against an item that can't resume because it avoids the only servers of its software.
#[gtest]
fn an_item_returns_to_avoided_servers_if_no_other_has_its_software() {
    let now = Instant::now();
    let mut job = interrupted_job(now);
    let limits = limits_with_software(&[("v1", 4), ("v2", 4)]);
    let mut choose = |preference: &Preference<'_>| {
        let mut servers = [("server", "v1"), ("other", "v1"), ("new", "v2")].into_iter();
        let found = servers.find(|(server, software)| {
            let is_avoided = preference.avoid.contains(&Name::from(*server));
            let has_software = preference.software.is_none_or(|name| **name == **software);
            !is_avoided && has_software
        });
        found.map(|(server, software)| choice(server, software))
    };
    let (attempt, ..) = started_attempts(&job.advance(&limits, now, &mut choose))[0];
    let end = Event::GenerationEnded(GenerationEnd::Interrupted);
    job.handle_event(attempt, end, &limits, now);
    expect_that!(job.advance(&limits, now, &mut choose), is_empty());
    let actions = job.advance(&limits, now, &mut choose);
    expect_that!(started_attempts(&actions), elements_are![eq(&(3, 0, 3))]);
    expect_that!(reported_discards(&actions), is_empty());
}

/// Guards against migrations away from slow servers whose outputs then find no server of their software.
#[gtest]
fn an_output_leaves_a_slow_server_only_for_its_software() {
    let now = Instant::now();
    let later = now + Duration::from_millis(300);
    let migrated = |free_slots: &[(&str, usize)], has_output: bool| {
        let mut limits = limits_with_software(free_slots);
        let mut job = job(4, false, now);
        for (attempt, ..) in started_attempts(&advance(&mut job, &limits, now)) {
            if has_output {
                job.handle_event(attempt, generated(1, 4), &limits, later);
            }
        }
        limits.slow_servers = vec!["server".into()];
        let actions = job.advance(&limits, later, &mut |_| None);
        let is_cancel = |action: &&Action| matches!(action, Action::Cancel { .. });
        actions.iter().filter(is_cancel).count()
    };
    expect_that!(migrated(&[("v1", 0), ("v2", 9)], true), eq(0));
    expect_that!(migrated(&[("v1", 2), ("v2", 9)], true), eq(2));
    expect_that!(migrated(&[("v1", 1), ("v2", 2)], false), eq(3));
}

/// Guards against events that are attributed to the software that a server had before it started again,
/// and against the loss of an output to which the attempt has added nothing.
#[gtest]
fn an_attempt_at_a_server_whose_software_changed_discards_its_events() {
    let now = Instant::now();
    let end = Event::GenerationEnded(GenerationEnd::SoftwareChanged);
    for adds_event in [false, true] {
        let mut job = interrupted_job(now);
        let limits = limits_with_software(&[("v1", 4), ("v2", 4)]);
        let (attempt, ..) = started_attempts(&advance(&mut job, &limits, now))[0];
        if adds_event {
            job.handle_event(attempt, generated(4, 4), &limits, now);
        }
        let actions = job.handle_event(attempt, end.clone(), &limits, now);
        let (discards, resume_after) = match adds_event {
            true => (vec![discard(DiscardReason::Unattributed, 4)], 0),
            false => (Vec::new(), 3),
        };
        expect_that!(reported_discards(&actions), eq(&discards));
        let actions = advance(&mut job, &limits, now);
        expect_that!(started_attempts(&actions)[0].2, eq(resume_after));
    }
}

/// Guards against an output that is generated again after a discard and then lost with its owner,
/// because its checkpoint counts as older than that of the discarded one.
#[gtest]
fn an_output_that_starts_again_is_checkpointed_again() {
    let now = Instant::now();
    let limits = limits_with_software(&[("v2", 4)]);
    let mut job = job(1, false, now);
    let mut replicated = BTreeMap::new();
    let mut schedule = Schedule::default();
    let (attempt, ..) = started_attempts(&advance(&mut job, &limits, now))[0];
    for number in 1..=60 {
        job.handle_event(attempt, generated(number, 4), &limits, now);
    }
    expect_that!(job.checkpoints(&mut replicated, false), len(eq(1)));
    expect_that!(schedule.due(&job, now), some(len(eq(1))));
    let end = Event::GenerationEnded(GenerationEnd::Interrupted);
    job.handle_event(attempt, end, &limits, now);
    let actions = job.advance(&limits, now, &mut |_| Some(choice("new", "v2")));
    let (attempt, _, resume_after) = started_attempts(&actions)[0];
    expect_that!(resume_after, eq(0));
    for number in 1..=30 {
        job.handle_event(attempt, generated(number, 4), &limits, now);
    }
    let checkpoints = job.checkpoints(&mut replicated, false);
    expect_that!(
        checkpoints[..],
        elements_are![matches_pattern!(Checkpoint {
            state: matches_pattern!(CheckpointState::Generated {
                last_event: eq(&30),
                software: eq(&Name::from("v2")),
                ..
            }),
            ..
        })]
    );
    let later = now + Duration::from_secs(2);
    expect_that!(schedule.due(&job, later), some(len(eq(1))));
}

/// Guards against a step that waits for the text of a server which is gone: an output that can't end in the
/// time left is resumed at another server, and one that can ends where it is.
#[gtest]
fn an_output_leaves_a_server_that_is_gone_before_its_end() {
    let now = Instant::now();
    let migrated = |left_ms: u64, free: usize| -> Vec<(usize, u64)> {
        let mut limits = limits_with_software(&[("v1", free)]);
        limits.event_interval = Some(Duration::from_millis(400));
        let mut job = job(4, false, now);
        for (attempt, ..) in started_attempts(&advance(&mut job, &limits, now)) {
            job.handle_event(attempt, generated(1, 4), &limits, now);
        }
        let left = Duration::from_millis(left_ms);
        limits.leaving_servers = BTreeMap::from([("server".into(), left)]);
        let actions = job.advance(&limits, now, &mut |preference| {
            let is_avoided = preference.avoid.contains(&"server".into());
            is_avoided.then(|| choice("other", "v1"))
        });
        let started = started_attempts(&actions).into_iter();
        started.map(|(_, item, after)| (item, after)).collect()
    };
    // Items have as many events as their index says, and the first one is there.
    let none: Vec<(usize, u64)> = Vec::new();
    expect_that!(migrated(2_500, 9), eq(&none));
    expect_that!(migrated(700, 9), eq(&vec![(3, 1)]));
    expect_that!(migrated(300, 9), eq(&vec![(3, 1), (2, 1), (1, 1), (0, 1)]));
    expect_that!(migrated(300, 1), len(eq(1)));
    expect_that!(migrated(300, 0), eq(&none));
}
