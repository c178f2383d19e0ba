//! Tests of the copy of a prefix that nodes serve to their followers.

use googletest::prelude::*;
use shallotroute_fleet::replica::{Change, Replica, Update};

fn put(key: &str, revision: u64, value: &'static str) -> Change<&'static str> {
    Change {
        key: key.into(),
        revision,
        value: Some(value),
    }
}

fn removal(key: &str, revision: u64) -> Change<&'static str> {
    Change {
        key: key.into(),
        revision,
        value: None,
    }
}

fn entries(
    list: &[(&str, u64, &'static str)],
) -> Vec<(shallotroute_types::name::Name, u64, &'static str)> {
    list.iter()
        .map(|(key, revision, value)| ((*key).into(), *revision, *value))
        .collect()
}

/// Guards against a follower that misses a change or gets one twice.
#[gtest]
fn a_follower_gets_the_changes_after_its_revision() {
    let mut replica = Replica::new();
    expect_that!(replica.since(Some(0)), none());
    replica.replace(entries(&[("a", 3, "one")]), 10);
    replica.apply([put("a", 11, "two"), put("b", 13, "one")], 14);
    expect_that!(
        replica.since(Some(10)),
        some(eq(&(
            Update::Changes(vec![put("a", 11, "two"), put("b", 13, "one")]),
            14
        )))
    );
    expect_that!(
        replica.since(Some(11)),
        some(eq(&(Update::Changes(vec![put("b", 13, "one")]), 14)))
    );
    expect_that!(
        replica.since(Some(14)),
        some(eq(&(Update::Changes(vec![]), 14)))
    );
}

/// Guards against followers that all read the store after their source has read it anew: the source
/// derives the changes, with the removals that it missed.
#[gtest]
fn a_source_that_reads_the_store_again_derives_the_changes() {
    let mut replica = Replica::new();
    replica.replace(entries(&[("a", 3, "one"), ("b", 4, "one")]), 10);
    let changes = replica.replace(entries(&[("b", 25, "two"), ("c", 22, "one")]), 30);
    let expected = vec![put("c", 22, "one"), put("b", 25, "two"), removal("a", 30)];
    expect_that!(changes, eq(&expected));
    expect_that!(
        replica.since(Some(10)),
        some(eq(&(Update::Changes(expected), 30)))
    );
}

/// Guards against an entry that is lost because it was written between the pages of a read, and
/// against a read that arrives after newer changes and undoes them.
#[gtest]
fn a_read_does_not_undo_newer_changes() {
    let mut replica = Replica::new();
    replica.replace(entries(&[("a", 3, "one")]), 10);
    replica.apply([put("own", 12, "mine")], 0);
    replica.replace(entries(&[("a", 3, "one")]), 11);
    expect_that!(replica.replace(entries(&[]), 9), is_empty());
    expect_that!(
        replica.since(None),
        some(eq(&(
            Update::Snapshot(vec![put("a", 3, "one"), put("own", 12, "mine")]),
            11
        )))
    );
    expect_that!(replica.apply([put("own", 12, "mine")], 12), is_empty());
    expect_that!(replica.apply([put("own", 8, "former")], 12), is_empty());
    expect_that!(replica.apply([removal("own", 7)], 12), is_empty());
}

/// Guards against a gap in the changes of a follower that is behind the oldest change, and against one
/// that keeps an entry which was removed meanwhile.
#[gtest]
fn a_follower_that_is_far_behind_gets_all_entries() -> Result<()> {
    let mut source = Replica::new();
    let mut follower = Replica::new();
    source.replace(entries(&[("a", 3, "one"), ("b", 4, "one")]), 10);
    follower.replace(entries(&[("a", 3, "one"), ("b", 4, "one")]), 10);
    source.apply([removal("b", 11)], 11);
    source.apply((12..5000).map(|revision| put("a", revision, "many")), 5000);
    let Some((Update::Snapshot(all), revision)) = source.since(follower.revision()) else {
        return fail!("expected all entries");
    };
    let all = all
        .into_iter()
        .filter_map(|change| Some((change.key, change.revision, change.value?)));
    follower.replace(all, revision);
    expect_that!(follower.since(None), eq(&source.since(None)));
    let Some((Update::Changes(recent), _)) = source.since(Some(4990)) else {
        return fail!("expected the recent changes");
    };
    expect_that!(recent.len(), eq(9));
    Ok(())
}

/// Guards against a lower revision for a follower that is ahead of its source.
#[gtest]
fn a_follower_ahead_of_its_source_keeps_its_revision() {
    let mut replica = Replica::<&str>::new();
    replica.replace(entries(&[]), 10);
    expect_that!(
        replica.since(Some(20)),
        some(eq(&(Update::Changes(vec![]), 20)))
    );
}

/// Guards against a source that sends thousands of entries to each of its followers whenever many of
/// them change at once, as at new versions of the weights.
#[gtest]
fn a_follower_of_a_large_prefix_gets_only_changes() -> Result<()> {
    let mut replica = Replica::new();
    let keys: Vec<String> = (0..3000).map(|index| format!("server-{index}")).collect();
    let entries = keys.iter().map(|key| (key.as_str().into(), 1, "one"));
    replica.replace(entries, 10);
    let changes = keys
        .iter()
        .zip(11..)
        .map(|(key, revision)| put(key, revision, "two"));
    replica.apply(changes, 3010);
    let Some((Update::Changes(changes), 3010)) = replica.since(Some(10)) else {
        return fail!("expected only the changes");
    };
    expect_that!(changes.len(), eq(3000));
    Ok(())
}

/// Guards against a node that never loads a prefix: it has registered, and so applied a write of its
/// own, before its first read of the prefix, which then did not count as the first.
#[gtest]
fn own_writes_before_the_first_read_do_not_count_as_one() {
    let mut replica = Replica::new();
    replica.apply([put("own", 12, "one")], 0);
    expect_that!(replica.revision(), none());
    let changes = replica.replace(entries(&[("a", 3, "one"), ("own", 12, "one")]), 13);
    expect_that!(
        changes,
        eq(&vec![put("a", 3, "one"), put("own", 12, "one")])
    );
    expect_that!(replica.revision(), some(eq(13)));
    expect_that!(
        replica.since(Some(13)),
        some(eq(&(Update::Changes(vec![]), 13)))
    );
    // A follower that was complete before the own write gets everything.
    expect_that!(
        replica.since(Some(11)),
        some(eq(&(Update::Snapshot(changes), 13)))
    );
}
