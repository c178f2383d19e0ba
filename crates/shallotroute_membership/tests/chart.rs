//! The embedded chart.

use googletest::prelude::*;

/// Guards against a chart that does not fit the code, which would stop the node at its first use.
#[gtest]
fn embedded_chart_is_valid() {
    expect_that!(shallotroute_membership::phase::load(), ok(anything()));
}
