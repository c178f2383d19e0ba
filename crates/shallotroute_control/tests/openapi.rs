//! Compares the OpenAPI document with the routes of the code.

use std::collections::BTreeSet;

use googletest::prelude::*;
use shallotroute_control::api::ROUTES;

/// Guards against routes that are not documented and documented routes that do not exist.
///
/// The document has each path on a line with an indent of 2 and each method on a line with an
/// indent of 4, so the test needs no YAML parser.
#[gtest]
fn openapi_document_lists_exactly_the_routes() {
    let text = include_str!("../../../docs/openapi.yaml");
    let mut path = "";
    let mut documented = BTreeSet::new();
    for line in text.lines() {
        if let Some(found) = line.strip_prefix("  /") {
            path = found.trim_end_matches(':');
        } else if let Some(method) = line.strip_prefix("    ")
            && let "get:" | "post:" | "put:" | "delete:" = method
        {
            let method = method.trim_end_matches(':').to_uppercase();
            documented.insert(format!("{method} /{path}"));
        }
    }
    let routes: BTreeSet<String> = ROUTES
        .iter()
        .map(|route| format!("{} {}", route.method, route.path))
        .collect();
    expect_that!(documented, eq(&routes));
}
