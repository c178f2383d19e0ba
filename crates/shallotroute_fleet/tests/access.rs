//! Tests of workspaces and of the authorization decision, also against a list of key and workspace pairs.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use shallotroute_fleet::{
    access::{Denial, Freshness, Grant, Identity, Verdict, decide, preview, recheck},
    route::{Kind, RequestLimits, Route, Share, Table},
    workspace::{Definition, Digest, Directory, Secret},
};

const STALE: Freshness = Freshness::Stale {
    retry_after: Duration::from_millis(250),
};

fn digest(key: &str) -> Digest {
    Secret::new([3; 32]).digest(key.as_bytes())
}

fn workspace(name: &str, keys: &[&str]) -> Definition {
    Definition {
        name: name.into(),
        priority: None,
        keys: keys.iter().map(|key| digest(key)).collect(),
    }
}

fn directory(workspaces: &[(&str, &[&str])]) -> Directory {
    let definitions = workspaces.iter().map(|(name, keys)| workspace(name, keys));
    Directory::new(definitions.collect()).expect("the workspaces are valid")
}

fn route(is_public: bool) -> Route {
    Route {
        name: "quotes".into(),
        host: "desk.example".into(),
        prefix: "/quotes/".into(),
        kind: Kind::Idempotent,
        shares: vec![Share {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(150),
        priority: 4,
        is_public,
        batch: None,
    }
}

fn table(workspaces: Option<Directory>) -> Table {
    let limits = RequestLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let table = Table::new(7, Vec::new(), Vec::new(), limits).expect("an empty table is valid");
    table.with_workspaces(workspaces)
}

/// Returns the grant of a request with a key.
fn grant(table: &Table, key: Option<&str>, is_public: bool) -> Grant {
    let route = route(is_public);
    decide(table, Some(&route), key.map(digest), Freshness::Fresh)
        .into_result()
        .expect("the request is granted")
}

/// Guards against an invalid configuration that takes effect, and against problems that are reported one by one.
#[gtest]
fn all_problems_of_workspaces_are_reported_without_keys() {
    let invalid = Directory::new(vec![
        workspace("alpha", &["shared", "shared"]),
        workspace("alpha", &[]),
        workspace("", &["shared"]),
        workspace("two\nlines", &[]),
    ]);
    let text = invalid.expect_err("the workspaces are invalid").to_string();
    expect_that!(
        text,
        eq(
            "two workspaces have the name `alpha`; workspace number 3 has no name; the name of workspace `two\\nlines` \
             has control characters or spaces around it; workspaces `alpha` and `` have an API key in common"
        )
    );
    expect_that!(text, not(contains_substring("shared")));
}

/// Guards against digests that reach a log, and against one process's digests that are the same as another's.
#[gtest]
fn digests_are_neither_shown_nor_the_same_everywhere() {
    expect_that!(format!("{:?}", digest("a")), eq("Digest(..)"));
    expect_that!(format!("{:?}", Secret::new([3; 32])), eq("Secret(..)"));
    let other = Secret::new([4; 32]).digest(b"a");
    expect_that!(digest("a") == other, eq(false));
}

/// Guards against an explanation of a decision that differs from the decision.
#[gtest]
fn a_preview_is_the_decision_about_a_valid_key() {
    let first = Definition {
        priority: Some(0),
        ..workspace("first", &["a"])
    };
    let directory = Directory::new(vec![first, workspace("second", &["b"])]);
    for table in [table(None), table(directory.ok())] {
        for (is_public, freshness) in [
            (true, Freshness::Fresh),
            (true, STALE),
            (false, Freshness::Fresh),
            (false, STALE),
        ] {
            for (name, key) in [
                (None, None),
                (Some("first"), Some("a")),
                (Some("second"), Some("b")),
            ] {
                let route = route(is_public);
                let decided =
                    decide(&table, Some(&route), key.map(digest), freshness).into_result();
                let decided =
                    decided.map(|grant| (grant.identity().clone(), grant.priority(&route)));
                let previewed = preview(&table, &route, name, freshness);
                expect_that!(
                    previewed,
                    eq(&decided),
                    "{is_public} {freshness:?} {name:?}"
                );
            }
        }
    }
}

/// Guards against a workspace whose priority is ignored, and against one without a priority that changes the route's.
#[gtest]
fn the_priority_of_a_workspace_overrides_that_of_the_route() {
    let first = Definition {
        priority: Some(0),
        ..workspace("first", &["a"])
    };
    let directory = Directory::new(vec![first, workspace("second", &["b"])]);
    let table = table(directory.ok());
    let route = route(false);
    expect_that!(grant(&table, Some("a"), false).priority(&route), eq(0));
    expect_that!(grant(&table, Some("b"), false).priority(&route), eq(4));
}

/// Guards against a request that is sent after its key was removed, moved or became doubtful while it waited.
#[gtest]
fn a_grant_holds_while_its_key_belongs_to_its_workspace() {
    let before = table(Some(directory(&[("alpha", &["a"]), ("beta", &["b"])])));
    let removed = table(Some(directory(&[("alpha", &[]), ("beta", &["b"])])));
    let moved = table(Some(directory(&[("alpha", &[]), ("beta", &["a"])])));
    let added = table(Some(directory(&[
        ("gamma", &["g"]),
        ("alpha", &["a", "c"]),
    ])));
    let unrestricted = table(None);
    let granted = grant(&before, Some("a"), false);
    let check =
        |table: &Table, grant: &Grant, freshness| recheck(table, grant, freshness).into_result();
    for (table, freshness, expected) in [
        (&before, Freshness::Fresh, Ok(granted.clone())),
        (&added, Freshness::Fresh, Ok(granted.clone())),
        // A configuration without workspaces serves all callers; the key still does not reach a server.
        (&unrestricted, STALE, Ok(granted.clone())),
        (&removed, Freshness::Fresh, Err(Denial::Unauthorized)),
        (&moved, Freshness::Fresh, Err(Denial::Unauthorized)),
        (&removed, STALE, Err(Denial::Unauthorized)),
        (
            &before,
            STALE,
            Err(Denial::Stale {
                retry_after: Duration::from_millis(250),
            }),
        ),
    ] {
        expect_that!(check(table, &granted, freshness), eq(&expected));
    }
    // A public route goes on while the configuration is stale.
    let public = grant(&before, Some("a"), true);
    expect_that!(check(&before, &public, STALE), eq(&Ok(public.clone())));
    expect_that!(
        check(&removed, &public, Freshness::Fresh),
        eq(&Err(Denial::Unauthorized))
    );
    let anonymous = grant(&before, None, true);
    expect_that!(check(&moved, &anonymous, STALE), eq(&Ok(anonymous.clone())));
    // The first configuration with workspaces applies to requests that wait.
    let early = grant(&unrestricted, Some("a"), false);
    expect_that!(early.identity(), eq(&Identity::Unrestricted));
    expect_that!(
        check(&before, &early, Freshness::Fresh),
        eq(&Ok(granted.clone()))
    );
    expect_that!(
        check(&removed, &early, Freshness::Fresh),
        eq(&Err(Denial::Unauthorized))
    );
    for own in [
        Grant::for_system(),
        Grant::for_item(Some(&"alpha".into()), None),
    ] {
        expect_that!(check(&removed, &own, STALE), eq(&Ok(own.clone())));
    }
}

/// Guards against items that reach servers with the headers of their trainer where workspaces exist.
#[gtest]
fn items_belong_to_the_workspace_of_their_job() {
    let with = table(Some(directory(&[("alpha", &["a"])])));
    let without = table(None);
    let alpha = "alpha".into();
    for (workspace, table, expected) in [
        (Some(&alpha), &with, Identity::Workspace("alpha".into())),
        (Some(&alpha), &without, Identity::Workspace("alpha".into())),
        (None, &with, Identity::Anonymous),
        (None, &without, Identity::Unrestricted),
    ] {
        let grant = Grant::for_item(workspace, Some(table));
        expect_that!(grant.identity(), eq(&expected));
    }
}

/// The names of the workspaces and keys of the property tests.
const NAMES: [&str; 3] = ["alpha", "beta", "gamma"];
const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// The owner of each key, if any, by its position in [`NAMES`].
type Owners = [Option<usize>; KEYS.len()];

fn owners() -> impl Strategy<Value = Owners> {
    proptest::array::uniform6(proptest::option::of(0..NAMES.len()))
}

fn table_of(owners: &Owners) -> Table {
    let definition = |index: usize| {
        let keys = KEYS.iter().zip(owners);
        let own = keys.filter(|(_, owner)| **owner == Some(index));
        workspace(NAMES[index], &own.map(|(key, _)| *key).collect::<Vec<_>>())
    };
    let definitions = (0..NAMES.len()).map(definition).collect();
    table(Some(
        Directory::new(definitions).expect("no key has two owners"),
    ))
}

/// The workspace of a key by the list of its owners.
fn owner(owners: &Owners, key: Option<usize>) -> Option<&'static str> {
    Some(NAMES[(*owners.get(key?)?)?])
}

proptest! {
    /// Guards against a key that is taken for another workspace's, and against a verdict that depends on anything but
    /// the owner of the key, the route and the freshness. The key at position 6 is unknown.
    #[test]
    fn verdicts_follow_the_owners_of_keys(
        owners in owners(),
        key in proptest::option::of(0..=KEYS.len()),
        is_public: Option<bool>,
        is_fresh: bool,
    ) {
        let table = table_of(&owners);
        let route = is_public.map(route);
        let presented = key.map(|key| digest(KEYS.get(key).unwrap_or(&"unknown")));
        let freshness = if is_fresh { Freshness::Fresh } else { STALE };
        let verdict = decide(&table, route.as_ref(), presented, freshness);
        let owner = owner(&owners, key);
        let serves_all = is_public == Some(true);
        let actual = match &verdict {
            Verdict::Granted(grant) => format!("{:?}", grant.workspace().map(|name| name.as_str())),
            Verdict::Unauthorized => "unauthorized".to_owned(),
            Verdict::Stale { .. } => "stale".to_owned(),
        };
        let expected = match (is_fresh, owner) {
            (true, Some(_)) => format!("{owner:?}"),
            (false, _) if key.is_some() && !serves_all => "stale".to_owned(),
            _ if serves_all => "None".to_owned(),
            _ => "unauthorized".to_owned(),
        };
        prop_assert_eq!(actual, expected);
    }

    /// Guards against a request that changes its workspace while it waits, or is sent with a key that its workspace no
    /// longer has, and against access to the jobs of another workspace.
    #[test]
    fn rechecks_follow_the_new_owners_of_keys(
        before in owners(),
        after in owners(),
        key in 0..KEYS.len(),
        is_public: bool,
    ) {
        let route = route(is_public);
        let (old, new) = (table_of(&before), table_of(&after));
        let verdict = decide(&old, Some(&route), Some(digest(KEYS[key])), Freshness::Fresh);
        let Verdict::Granted(grant) = verdict else {
            prop_assert!(before[key].is_none() && !is_public);
            return Ok(());
        };
        let is_granted = recheck(&new, &grant, Freshness::Fresh) == Verdict::Granted(grant.clone());
        prop_assert_eq!(is_granted, before[key].is_none() || before[key] == after[key]);
        for name in NAMES {
            prop_assert_eq!(grant.may_access(Some(name)), owner(&before, Some(key)) == Some(name));
        }
        prop_assert!(grant.may_access(None));
    }
}
