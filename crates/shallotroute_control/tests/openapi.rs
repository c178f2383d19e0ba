//! The OpenAPI document against the routes of the code.

use std::collections::BTreeSet;

use googletest::prelude::*;
use shallotroute_control::api::ROUTES;

/// Guards against a route that is not documented, and a documented one that does not exist.
///
/// The document has one path a line at an indent of 2 and one method a line at an indent of 4, which
/// keeps the test free of a YAML library.
#[gtest]
fn the_document_has_exactly_the_routes() {
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
