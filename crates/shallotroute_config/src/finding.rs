//! What the check finds in operators' objects.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One fault or doubt with its place.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{file}:{line}: {severity}: {object}: {field}: {message}")]
pub struct Finding {
    /// Whether it forbids the publication.
    pub severity: Severity,
    /// The object as `kind/name`, or `document` when it can't be told.
    pub object: String,
    /// The path of the field, as `servers[1].slots`; empty for the whole object.
    pub field: String,
    /// The file as the operator named it.
    pub file: String,
    /// The line in the file, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// Whether a finding forbids the publication.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// It does.
    #[display("error")]
    Error,
    /// It is shown and recorded with the revision.
    #[display("warning")]
    Warning,
}

/// Tells whether the findings forbid the publication.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity == Severity::Error)
}
