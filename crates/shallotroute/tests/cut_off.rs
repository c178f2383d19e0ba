//! A node that loses the store and all other nodes, where keys are revoked strictly.

use std::{path::Path, time::Duration};

use googletest::prelude::*;
use shallotroute_soak::cut_off::{self, Return};

/// Cuts a node off, and checks that it is taken out of rotation before its configuration is older than the bound and
/// returns with a current one.
async fn expect_the_node_returns(way: Return) {
    let report = cut_off::run(Path::new(env!("CARGO_BIN_EXE_shallotroute")), way)
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.findings, is_empty(), "{report:?}");
    // Below the age from which nodes leave the rotation, 3 s, and from which they seek proofs, 2 s.
    expect_that!(report.quiet_age_ms, lt(2000), "{report:?}");
    // The first nodes of three zones fetch a proof each second, in ten seconds; the watches are few.
    expect_that!(report.quiet_calls, all!(ge(27), le(42)), "{report:?}");
    let (unready_after, ready_after) = (report.unready_after, report.ready_after);
    expect_that!(
        unready_after,
        some(all!(
            ge(Duration::from_millis(1500)),
            lt(Duration::from_millis(4500))
        )),
        "{report:?}"
    );
    expect_that!(ready_after, some(lt(Duration::from_secs(6))), "{report:?}");
}

/// Guards against a node that decides about keys by a configuration which may be older than the bound, or that does
/// not return when it reaches the store again.
#[gtest]
#[tokio::test]
async fn a_node_that_was_cut_off_returns_with_the_store() {
    expect_the_node_returns(Return::Store).await;
}

/// Guards against a node that stays out of rotation although others can prove its configuration, and against nodes
/// that take the time of their own suspension for fresh.
#[gtest]
#[tokio::test]
async fn a_node_that_was_cut_off_returns_with_the_other_nodes() {
    expect_the_node_returns(Return::Nodes).await;
}

/// Guards against nodes that pass a proof around among themselves while the store is away, and against a late return.
#[gtest]
#[tokio::test]
async fn all_nodes_leave_the_rotation_without_the_store_and_return_with_it() {
    let report = cut_off::run_outage(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.findings, is_empty(), "{report:?}");
    expect_that!(
        report.unready_after,
        some(lt(Duration::from_millis(4500))),
        "{report:?}"
    );
    expect_that!(
        report.ready_after,
        some(lt(Duration::from_secs(4))),
        "{report:?}"
    );
}

/// Guards against nodes that leave the rotation during an upgrade, or call sources of the former build by a call that
/// those do not know.
#[gtest]
#[tokio::test]
async fn a_node_whose_source_gives_no_proofs_fetches_its_own() {
    let binary = Path::new(env!("CARGO_BIN_EXE_shallotroute"));
    let report = cut_off::run_beside_former_build(binary)
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(report.findings, is_empty(), "{report:?}");
    expect_that!(report.quiet_age_ms, all!(ge(1500), lt(3000)), "{report:?}");
    expect_that!(report.quiet_calls, le(48), "{report:?}");
}

/// Guards against additional calls to the store where nothing bounds the revocation of keys.
#[gtest]
#[tokio::test]
async fn without_a_bound_only_watches_call_the_store() {
    let calls = cut_off::count_calls_without_bound(Path::new(env!("CARGO_BIN_EXE_shallotroute")))
        .await
        .expect("the stand-ins and the program should start");
    expect_that!(calls.others, eq(0));
    // The first nodes of three zones each watch for 1.9 s at a time.
    expect_that!(calls.watches, all!(ge(12), le(18)));
}
