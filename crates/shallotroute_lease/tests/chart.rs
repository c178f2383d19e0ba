//! The embedded state charts.

use googletest::prelude::*;

/// Guards against a chart whose states and events differ from the code, which would make the node panic
/// at the chart's first use.
#[gtest]
fn embedded_charts_are_valid() {
    expect_that!(shallotroute_lease::phase::load(), ok(anything()));
    expect_that!(shallotroute_lease::engine::load(), ok(anything()));
}
