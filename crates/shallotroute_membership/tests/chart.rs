//! The embedded state chart.

use googletest::prelude::*;

/// Guards against a chart whose states and events differ from the code, which would make the node panic
/// at the chart's first use.
#[gtest]
fn embedded_chart_is_valid() {
    expect_that!(shallotroute_membership::phase::load(), ok(anything()));
}
