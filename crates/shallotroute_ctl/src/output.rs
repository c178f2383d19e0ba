//! Results as text for people.

use std::fmt::Write;

use serde_json::Value;
use shallotroute_config::{
    api::{CheckResponse, History, Publication, RevisionDetails, Status},
    finding::Finding,
    snapshot::Changes,
};

/// What a command prints.
pub(crate) struct Report {
    /// For people.
    pub(crate) text: String,
    /// For programs.
    pub(crate) value: Value,
    /// Why the command counts as refused, if it does.
    pub(crate) refusal: Option<String>,
}

impl Report {
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

pub(crate) fn verdict(verdict: &CheckResponse) -> String {
    let mut text = findings(&verdict.findings);
    if verdict.accepted {
        text.push_str("the set is consistent\n");
        text.push_str(&changes(&verdict.changes));
    }
    text
}

pub(crate) fn publication(publication: &Publication) -> String {
    findings(&publication.findings) + &changes(&publication.changes)
}

pub(crate) fn findings(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("{finding}\n"))
        .collect()
}

pub(crate) fn changes(changes: &Changes) -> String {
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

pub(crate) fn status(status: &Status) -> String {
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

pub(crate) fn history(history: &History) -> String {
    let mut text = String::new();
    for entry in &history.entries {
        let record = &entry.record;
        let _ = writeln!(
            text,
            "revision {} at {} by {}: {}",
            record.revision, entry.time, record.author, record.reason
        );
        for line in changes(&record.changes).lines() {
            let _ = writeln!(text, "  {line}");
        }
    }
    if let Some(next) = &history.next {
        let _ = writeln!(text, "older revisions: --from {next}");
    }
    text
}

/// Writes a revision as YAML that can be published again.
pub(crate) fn shown(shown: &RevisionDetails) -> String {
    let record = &shown.entry.record;
    let mut text = format!(
        "# revision {} at {} by {}\n# reason: {}\n",
        record.revision,
        shown.entry.time,
        record.author,
        record.reason.replace('\n', " ")
    );
    for object in &shown.objects {
        text.push_str("---\n");
        match serde_json::to_string_pretty(object) {
            // JSON is YAML.
            Ok(json) => text.push_str(&json),
            Err(error) => {
                let _ = write!(text, "# not writable: {error}");
            }
        }
        text.push('\n');
    }
    text
}

pub(crate) fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
