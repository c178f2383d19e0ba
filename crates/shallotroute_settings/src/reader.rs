//! Reads typed fields out of YAML values and collects what is wrong with them.

use std::{path::Path, str::FromStr};

use serde_yaml_ng::{Mapping, Value};

use crate::{finding::Finding, lines::Lines};

/// Collects findings while fields are read.
pub(crate) struct Reader<'a> {
    file: &'a Path,
    lines: Lines,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a Path, text: &str) -> Self {
        Self {
            file,
            lines: Lines::new(text),
            findings: Vec::new(),
        }
    }

    pub(crate) fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|finding| finding.line);
        self.findings
    }

    pub(crate) fn report(&mut self, path: &str, message: impl Into<String>) {
        let line = self.lines.line_of(path);
        self.findings
            .push(Finding::new(self.file, line, path, message));
    }

    /// Returns the mapping at `path` and reports keys that are not in `known`.
    pub(crate) fn mapping(
        &mut self,
        value: Option<&Value>,
        path: &str,
        known: &[&str],
    ) -> Option<Mapping> {
        let mapping = match value {
            None => {
                self.report(path, "is missing");
                return None;
            }
            Some(Value::Mapping(mapping)) => mapping.clone(),
            Some(_) => {
                self.report(path, "has to be a mapping");
                return None;
            }
        };
        for key in mapping.keys() {
            let name = key.as_str().unwrap_or("a key that is no text");
            if !known.contains(&name) {
                let full = join_path(path, name);
                self.report(
                    &full,
                    format!("unknown field; known are {}", known.join(", ")),
                );
            }
        }
        Some(mapping)
    }

    /// Returns the items of the sequence at `path`; a missing one is empty.
    pub(crate) fn sequence(&mut self, value: Option<&Value>, path: &str) -> Vec<Value> {
        match value {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Sequence(items)) => items.clone(),
            Some(_) => {
                self.report(path, "has to be a list");
                Vec::new()
            }
        }
    }

    /// Returns the text at `path`.
    pub(crate) fn text(&mut self, value: Option<&Value>, path: &str) -> Option<String> {
        match value {
            None | Some(Value::Null) => {
                self.report(path, "is missing");
                None
            }
            Some(Value::String(text)) => Some(text.clone()),
            Some(Value::Number(number)) => Some(number.to_string()),
            Some(Value::Bool(value)) => Some(value.to_string()),
            Some(_) => {
                self.report(path, "has to be a text");
                None
            }
        }
    }

    /// Returns the parsed text at `path`; `expected` says what would be right.
    pub(crate) fn parse<T: FromStr>(
        &mut self,
        value: Option<&Value>,
        path: &str,
        expected: &str,
    ) -> Option<T> {
        let text = self.text(value, path)?;
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(_) => {
                self.report(path, format!("`{text}` is not {expected}"));
                None
            }
        }
    }
}

/// Joins the parts of a dotted path.
pub(crate) fn join_path(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}
