//! Findings of the consistency check.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An error or a warning about an operator's object.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{file}:{line}: {severity}: {object}: {field}: {message}")]
pub struct Finding {
    /// Whether the finding prevents the publication.
    pub severity: Severity,
    /// The object as `kind/name`; only the kind if it has no name, `document` if it has no kind.
    pub object: String,
    /// The path of the field, such as `servers[1].slots`; empty for the whole object.
    pub field: String,
    /// The path of the file as given by the operator.
    pub file: String,
    /// The line in the file, from 1.
    pub line: usize,
    /// An explanation for the operator.
    pub message: String,
}

/// Whether a finding prevents the publication.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The set can't be published.
    #[display("error")]
    Error,
    /// The set can be published; the warning is stored in the revision's record.
    #[display("warning")]
    Warning,
}

/// Returns whether any finding prevents the publication.
pub fn has_errors(findings: &[Finding]) -> bool {
    findings
        .iter()
        .any(|finding| finding.severity == Severity::Error)
}
