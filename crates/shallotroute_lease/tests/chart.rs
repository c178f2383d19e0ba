//! The embedded charts.

use googletest::prelude::*;

/// Guards against charts that do not fit the code, which would stop the node at its first use.
#[gtest]
fn embedded_charts_are_valid() {
    expect_that!(shallotroute_lease::phase::load(), ok(anything()));
    expect_that!(shallotroute_lease::engine::load(), ok(anything()));
}
