//! Reads typed fields from YAML values and collects findings for those that are invalid.

use std::{path::Path, str::FromStr};

use serde_yaml_ng::{Mapping, Value};

use crate::{finding::Finding, lines::Lines};

/// Reads fields and collects the findings. Paths are dotted paths of fields in the file.
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

    /// Returns the findings in the order of their lines.
    pub(crate) fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|finding| finding.line);
        self.findings
    }

    /// Adds a finding at the line of the field at `path`.
    pub(crate) fn report(&mut self, path: &str, message: impl Into<String>) {
        let line = self.lines.line_of(path);
        self.findings
            .push(Finding::new(self.file, line, path, message));
    }

    /// Returns the mapping at `path`, and reports its keys that are not in `known`.
    ///
    /// Reports a missing value or one that is not a mapping, and returns `None` for it.
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
            let name = key.as_str().unwrap_or("a key that is not a string");
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

    /// Returns the items of the optional sequence at `path`; none if it is missing or invalid.
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

    /// Returns the scalar at `path` as text, or reports that it is missing or not a scalar.
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
                self.report(path, "has to be a string");
                None
            }
        }
    }

    /// Returns the parsed scalar at `path`, or reports that it is not `expected`, a description
    /// such as "a number of cores".
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

/// Appends a key to a dotted path, which is empty at the root of the file.
pub(crate) fn join_path(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}
