//! The consistency check of whole sets, with one fixture per case.
//!
//! A fixture lists its expected findings in comments: `# finds: LINE SEVERITY OBJECT FIELD`. FIELD
//! is `-` for the whole object; OBJECT may contain spaces.

use std::{collections::BTreeSet, fs, path::PathBuf};

use googletest::prelude::*;
use shallotroute_config::{check, document::Source};

fn fixtures() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/check");
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the fixtures should be readable")
        .map(|entry| entry.expect("the fixtures should be readable").path())
        .collect();
    files.sort();
    files
}

/// Guards against missed findings, false ones, and findings with a wrong line or field.
#[gtest]
fn each_fixture_has_exactly_its_findings() {
    for path in fixtures() {
        let text = fs::read_to_string(&path).expect("the fixture should be readable");
        let expected: BTreeSet<String> = text
            .lines()
            .filter_map(|line| line.strip_prefix("# finds: "))
            .map(str::to_owned)
            .collect();
        let file = path.display().to_string();
        let source = Source {
            file: file.clone(),
            text,
        };
        let findings = check::files(&[source]).findings;
        let found: BTreeSet<String> = findings
            .iter()
            .map(|finding| {
                let field = match finding.field.as_str() {
                    "" => "-",
                    field => field,
                };
                let (line, severity) = (finding.line, finding.severity);
                format!("{line} {severity} {} {field}", finding.object)
            })
            .collect();
        expect_that!(found, eq(&expected), "{file}: {findings:#?}");
    }
}

/// Guards against a duplicate that is missed because its original is in another file, and against a
/// finding that does not say where the original is.
#[gtest]
fn duplicate_in_another_file_names_both_locations() {
    let text = "kind: model\nname: m\n".to_owned();
    let source = |file: &str| Source {
        file: file.into(),
        text: text.clone(),
    };
    let findings = check::files(&[source("a.yaml"), source("b.yaml")]).findings;
    let duplicate = findings
        .iter()
        .find(|finding| finding.message.contains("same kind and name"));
    expect_that!(
        duplicate.map(|finding| (
            finding.file.as_str(),
            finding.line,
            finding.message.as_str()
        )),
        some((eq("b.yaml"), eq(2), contains_substring("a.yaml:1")))
    );
}
