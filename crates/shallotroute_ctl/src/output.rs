//! Formats the results of commands as text.

use std::fmt::Write;

use serde_json::Value;
use shallotroute_config::{
    api::{CheckResponse, History, Publication, RevisionDetails, Status},
    finding::Finding,
    snapshot::Changes,
};

/// The output of a command.
pub(crate) struct Output {
    /// The result as text, printed on standard output.
    pub(crate) text: String,
    /// The result as JSON, printed instead of the text with `--json`.
    pub(crate) value: Value,
    /// The reason for [`Exit::Refused`](crate::Exit::Refused), printed on standard error; `None`
    /// if the command succeeded.
    pub(crate) refusal: Option<String>,
}

impl Output {
    pub(crate) fn new(text: String, value: &impl serde::Serialize) -> Self {
        Self {
            text,
            value: serde_json::to_value(value).unwrap_or_default(),
            refusal: None,
        }
    }

    pub(crate) fn with_refusal(mut self, refusal: Option<String>) -> Self {
        self.refusal = refusal;
        self
    }
}

pub(crate) fn format_check(response: &CheckResponse) -> String {
    let mut text = format_findings(&response.findings);
    if response.accepted {
        text.push_str("the set is consistent\n");
        text.push_str(&format_changes(&response.changes));
    }
    text
}

pub(crate) fn format_publication(publication: &Publication) -> String {
    format_findings(&publication.findings) + &format_changes(&publication.changes)
}

pub(crate) fn format_findings(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("{finding}\n"))
        .collect()
}

pub(crate) fn format_changes(changes: &Changes) -> String {
    let groups = [
        ("added", &changes.added),
        ("changed", &changes.changed),
        ("removed", &changes.removed),
    ];
    let mut text = String::new();
    for (word, objects) in groups {
        for object in objects {
            let _ = writeln!(text, "{word} {object}");
        }
    }
    text
}

pub(crate) fn format_status(status: &Status) -> String {
    let accepted = match status.accepted {
        Some(revision) => revision.to_string(),
        None => "unknown (the key-value service can't be read)".into(),
    };
    let age = match status.confirmation_age_ms {
        Some(millis) => format!("{millis} ms ago"),
        None => "never".into(),
    };
    let mut text = format!(
        "node {}\naccepted {accepted}\nknown {}\nin force {}\nconfirmed {} ({age})\n",
        status.node, status.known, status.in_force, status.confirmed
    );
    for member in &status.members {
        let _ = writeln!(
            text,
            "{:<24} {:<16} {:<8} known {} in force {}",
            member.node.as_str(),
            member.zone.as_str(),
            member.state.to_string(),
            member.known,
            member.in_force
        );
    }
    text
}

pub(crate) fn format_history(history: &History) -> String {
    let mut text = String::new();
    for entry in &history.entries {
        let record = &entry.record;
        let _ = writeln!(
            text,
            "revision {} at {} by {}: {}",
            record.revision, entry.time, record.author, record.reason
        );
        for line in format_changes(&record.changes).lines() {
            let _ = writeln!(text, "  {line}");
        }
    }
    if let Some(next) = &history.next {
        let _ = writeln!(text, "older revisions: --from {next}");
    }
    text
}

/// Formats a revision as YAML that can be published again.
pub(crate) fn format_revision(details: &RevisionDetails) -> String {
    let record = &details.entry.record;
    let mut text = format!(
        "# revision {} at {} by {}\n# reason: {}\n",
        record.revision,
        details.entry.time,
        record.author,
        record.reason.replace('\n', " ")
    );
    for object in &details.objects {
        text.push_str("---\n");
        match serde_json::to_string_pretty(object) {
            // YAML includes JSON.
            Ok(json) => text.push_str(&json),
            Err(error) => {
                let _ = write!(text, "# not writable: {error}");
            }
        }
        text.push('\n');
    }
    text
}

pub(crate) fn format_json(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
