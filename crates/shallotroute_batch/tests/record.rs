//! Tests of the encoding of records between nodes of two builds, which run side by side during an upgrade.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde::{Deserialize, Serialize};
use shallotroute_batch::{
    job::{Action, Choice, Job, Limits},
    record::{self, Checkpoint, CheckpointState, Item, Outcome, Sample, Specification},
};
use shallotroute_types::{name::Name, version::Version};

/// The layout of [`Checkpoint`] in builds that don't know the software of an output.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldCheckpoint {
    item: u32,
    state: OldState,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldState {
    Partial {
        last_event: u64,
        #[serde(rename = "text")]
        output: String,
        versions: Vec<Version>,
    },
    Done(Outcome),
}

/// The layout of [`Specification`] in builds without workspaces.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldSpecification {
    host: String,
    path: String,
    model: Name,
    min_version: Version,
    wanted_groups: u32,
    items: Vec<Item>,
}

fn outcome() -> Outcome {
    Outcome::Completed(Sample {
        output: "a\nb".to_owned(),
        versions: vec![Version(4)],
        score: None,
    })
}

fn limits() -> Limits {
    Limits {
        max_generating: 8,
        max_scoring: 0,
        max_attempts: 3,
        max_scoring_attempts: 3,
        stall_timeout: Duration::from_millis(700),
        slow_servers: Vec::new(),
        leaving_servers: BTreeMap::new(),
        free_slots: BTreeMap::from([("v1".into(), 8)]),
        event_interval: None,
        requires_single_version: false,
        scoring_room: usize::MAX,
        random: 0.5,
    }
}

fn specification() -> Arc<Specification> {
    let items = (0..2).map(|index| Item {
        id: format!("item-{index}").into(),
        group: "group".into(),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        expected_tokens: None,
        scorer: None,
    });
    Arc::new(Specification {
        host: "llm.example".to_owned(),
        path: "/jobs/1".to_owned(),
        model: "m".into(),
        min_version: Version(1),
        wanted_groups: 1,
        items: items.collect(),
        workspace: None,
    })
}

/// Guards against an output of unknown software that a node of this build resumes, and against the loss
/// of outcomes in the same record.
#[gtest]
fn records_of_the_earlier_build_are_read_and_their_outputs_not_resumed() -> Result<()> {
    let old = vec![
        OldCheckpoint {
            item: 0,
            state: OldState::Partial {
                last_event: 2,
                output: "a\nb".to_owned(),
                versions: vec![Version(4)],
            },
        },
        OldCheckpoint {
            item: 1,
            state: OldState::Done(outcome()),
        },
    ];
    let checkpoints: Vec<Checkpoint> =
        record::decode("checkpoints", &record::encode(&old)).or_fail()?;
    let partial = CheckpointState::Partial {
        last_event: 2,
        output: "a\nb".to_owned(),
        versions: vec![Version(4)],
    };
    expect_that!(checkpoints[0].state, eq(&partial));
    expect_that!(checkpoints[1].state, eq(&CheckpointState::Done(outcome())));
    let now = Instant::now();
    let mut job = Job::new(specification(), Vec::new(), now + Duration::from_secs(20));
    job.restore(checkpoints, now);
    let actions = job.advance(&limits(), now, &mut |_| {
        Some(Choice {
            server: "server".into(),
            software: "v1".into(),
        })
    });
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Generate {
            item: eq(&0),
            resume_after: eq(&0),
            ..
        })]
    );
    Ok(())
}

/// Guards against an output whose software an earlier build does not know and that it would resume
/// anywhere, and against outcomes that it can't read.
#[gtest]
fn the_earlier_build_rejects_outputs_and_reads_outcomes() -> Result<()> {
    let generated = Checkpoint {
        item: 1,
        state: CheckpointState::Generated {
            last_event: 2,
            output: "a\nb".to_owned(),
            versions: vec![Version(4)],
            software: "v1".into(),
        },
    };
    let done = Checkpoint {
        item: 1,
        state: CheckpointState::Done(outcome()),
    };
    let encoded = record::encode(&vec![generated]);
    let read: record::Result<Vec<OldCheckpoint>> = record::decode("checkpoints", &encoded);
    expect_that!(read, err(anything()));
    let encoded = record::encode(&vec![done]);
    let read: Vec<OldCheckpoint> = record::decode("checkpoints", &encoded).or_fail()?;
    let expected = OldCheckpoint {
        item: 1,
        state: OldState::Done(outcome()),
    };
    expect_that!(read, elements_are![eq(&expected)]);
    Ok(())
}

/// Guards against a record with appended data that a node of an earlier build misreads, and against one of
/// an earlier build that this build rejects.
#[gtest]
fn appended_data_is_ignored_by_earlier_builds_and_may_be_missing() -> Result<()> {
    let extended = record::encode_extended(&7_u32, &Some("w1".to_owned()));
    expect_that!(record::decode::<u32>("number", &extended).or_fail()?, eq(7));
    let (number, name): (u32, Option<String>) =
        record::decode_extended("number", &extended).or_fail()?;
    expect_that!(number, eq(7));
    expect_that!(name, some(eq("w1")));
    let (number, name): (u32, Option<String>) =
        record::decode_extended("number", &record::encode(&7_u32)).or_fail()?;
    expect_that!(number, eq(7));
    expect_that!(name, none());
    let cut = &extended[..extended.len() - 1];
    expect_that!(
        record::decode_extended::<u32, Option<String>>("number", cut),
        err(anything())
    );
    Ok(())
}

/// Guards against a specification that a node of the earlier build misreads, against one of it whose job loses its
/// items, and against other bytes for a job without a workspace.
#[gtest]
fn the_workspace_of_a_job_is_read_by_builds_that_know_it() -> Result<()> {
    let without = Arc::unwrap_or_clone(specification());
    let with = Specification {
        workspace: Some("alpha".into()),
        ..without.clone()
    };
    let old = OldSpecification {
        host: without.host.clone(),
        path: without.path.clone(),
        model: without.model.clone(),
        min_version: without.min_version,
        wanted_groups: without.wanted_groups,
        items: without.items.clone(),
    };
    expect_that!(without.encode(), eq(&record::encode(&old)));
    for new in [without, with] {
        let read: OldSpecification = record::decode("specification", &new.encode()).or_fail()?;
        expect_that!(read, eq(&old));
        expect_that!(Specification::decode(&new.encode()), ok(eq(&new)));
    }
    Ok(())
}

/// Guards against a job that belongs to nobody, so that each workspace may access it, once it has ended.
#[gtest]
fn an_ended_job_keeps_its_workspace() {
    let specification = Arc::new(Specification {
        workspace: Some("alpha".into()),
        ..Arc::unwrap_or_clone(specification())
    });
    let mut job = Job::new(specification, Vec::new(), Instant::now());
    job.release_payloads();
    expect_that!(
        job.specification().workspace,
        some(eq(&Name::from("alpha")))
    );
}

/// Guards against parts of a large specification that are not those of its encoding.
#[gtest]
fn parts_are_those_of_the_whole_encoding() {
    let record = vec![vec![9_u8; record::MAX_PART_BYTES], vec![8_u8; 1000]];
    let encoded = record::encode(&record);
    let expected: Vec<Vec<u8>> = encoded
        .chunks(record::MAX_PART_BYTES)
        .map(<[u8]>::to_vec)
        .collect();
    expect_that!(record::encode_parts(&record) == expected, eq(true));

    // The workspace also starts a part of its own, and crosses the end of one.
    let mut specification = Arc::unwrap_or_clone(specification());
    specification.items[0].body = vec![7; record::MAX_PART_BYTES + 1000];
    // The length of a long body takes two bytes more than that of an empty one.
    let rest = 2 * record::MAX_PART_BYTES - record::encode(&specification).len() - 2;
    specification.items[1].body = vec![6; rest];
    expect_that!(
        record::encode(&specification).len(),
        eq(2 * record::MAX_PART_BYTES)
    );
    for spare in [0, 3, 1000] {
        let kept = specification.items[1].body.len() - spare;
        specification.items[1].body.truncate(kept);
        for workspace in [None, Some(Name::from("alpha"))] {
            specification.workspace = workspace;
            let encoded = specification.encode();
            let expected: Vec<Vec<u8>> = encoded
                .chunks(record::MAX_PART_BYTES)
                .map(<[u8]>::to_vec)
                .collect();
            expect_that!(specification.encode_parts() == expected, eq(true));
        }
    }
}
