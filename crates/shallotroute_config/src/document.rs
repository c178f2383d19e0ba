//! Parses operators' YAML files into objects and reports every fault with its line.

use std::sync::Arc;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_yaml_ng::{Mapping, Value};

use crate::{
    finding::{Finding, Severity},
    object::{Object, Server},
    position,
};

/// A YAML file of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// The path as findings show it.
    pub file: String,
    /// The content: YAML documents separated by `---`.
    pub text: String,
}

/// A parsed YAML document.
#[derive(Clone, Debug)]
pub struct Document {
    /// The parsed object.
    pub object: Object,
    /// The text that the object was parsed from.
    pub excerpt: Excerpt,
}

/// The part of a file that holds one YAML document.
#[derive(Clone, Debug)]
pub struct Excerpt {
    /// The path of the file as findings show it.
    pub file: Arc<str>,
    /// The line of the file on which the excerpt starts, from 1.
    pub start_line: usize,
    /// The text of the document, without its `---` marker.
    pub text: Arc<str>,
}

impl Excerpt {
    /// Returns a finding about `field` of `object`, with the line of that field.
    ///
    /// `field` is a path such as `servers[1].slots`; empty for the whole object.
    pub fn finding(
        &self,
        severity: Severity,
        object: &str,
        field: &str,
        message: impl Into<String>,
    ) -> Finding {
        Finding {
            severity,
            object: object.to_owned(),
            field: field.to_owned(),
            file: self.file.to_string(),
            line: self.start_line + position::line_of(&self.text, field),
            message: message.into(),
        }
    }
}

impl Document {
    /// Returns the object's identity as `kind/name`.
    pub fn identity(&self) -> String {
        format!("{}/{}", self.object.kind(), self.object.name())
    }

    /// Returns the line of the file on which the object starts, from 1.
    pub fn line(&self) -> usize {
        self.excerpt.start_line + position::line_of(&self.excerpt.text, "")
    }

    /// Returns a finding about a field of the object, see [`Excerpt::finding`].
    pub fn finding(&self, severity: Severity, field: &str, message: impl Into<String>) -> Finding {
        self.excerpt
            .finding(severity, &self.identity(), field, message)
    }
}

/// Parses all documents of all files.
///
/// A document with a fault yields findings and no object; an empty document yields neither.
pub fn read(sources: &[Source]) -> (Vec<Document>, Vec<Finding>) {
    let mut documents = Vec::new();
    let mut findings = Vec::new();
    for excerpt in sources.iter().flat_map(split) {
        match read_document(&excerpt) {
            Ok(Some(object)) => documents.push(Document { object, excerpt }),
            Ok(None) => {}
            Err(mut document_findings) => findings.append(&mut document_findings),
        }
    }
    (documents, findings)
}

/// Splits a file at its document markers, which YAML allows only at the start of a line.
fn split(source: &Source) -> Vec<Excerpt> {
    let file: Arc<str> = Arc::from(source.file.as_str());
    let mut excerpts = Vec::new();
    let mut text = String::new();
    let mut start_line = 1;
    for (index, line) in source.text.lines().enumerate() {
        if line == "---" || line.starts_with("--- ") || line == "..." {
            excerpts.push((start_line, std::mem::take(&mut text)));
            start_line = index + 1;
            // YAML content may follow the marker on the same line.
            text.push_str(line.trim_start_matches(['-', '.']));
        } else {
            text.push_str(line);
        }
        text.push('\n');
    }
    excerpts.push((start_line, text));
    excerpts
        .into_iter()
        .map(|(start_line, text)| Excerpt {
            file: Arc::clone(&file),
            start_line,
            text: text.into(),
        })
        .collect()
}

fn read_document(excerpt: &Excerpt) -> Result<Option<Object>, Vec<Finding>> {
    let fault = |field: &str, message: String| {
        vec![excerpt.finding(Severity::Error, "document", field, message)]
    };
    // Leading empty lines shift the line numbers in the parser's messages to those of the file.
    let text = "\n".repeat(excerpt.start_line - 1) + &excerpt.text;
    let value: Value = match serde_yaml_ng::from_str(&text) {
        Ok(value) => value,
        Err(error) => {
            let mut findings = fault("", format!("not readable as YAML: {error}"));
            if let Some(location) = error.location() {
                findings[0].line = location.line();
            }
            return Err(findings);
        }
    };
    match value {
        Value::Null => Ok(None),
        Value::Mapping(mapping) => read_mapping(excerpt, mapping).map(Some),
        Value::Bool(_)
        | Value::Number(_)
        | Value::String(_)
        | Value::Sequence(_)
        | Value::Tagged(_) => Err(fault("", "an object should be a mapping of fields".into())),
    }
}

fn read_mapping(excerpt: &Excerpt, mut mapping: Mapping) -> Result<Object, Vec<Finding>> {
    let object = raw_identity(&mapping);
    let mut faults = Vec::new();
    read_servers(&mut mapping, &mut faults);
    match read_fields::<Object>(mapping, "", &mut faults) {
        Some(object) if faults.is_empty() => Ok(object),
        Some(_) | None => Err(faults
            .into_iter()
            .map(|(field, message)| excerpt.finding(Severity::Error, &object, &field, message))
            .collect()),
    }
}

/// Returns the identity of an object that may lack its kind or name.
fn raw_identity(mapping: &Mapping) -> String {
    let text = |key: &str| mapping.get(key).and_then(Value::as_str);
    match (text("kind"), text("name")) {
        (Some(kind), Some(name)) => format!("{kind}/{name}"),
        (Some(kind), None) => kind.to_owned(),
        (None, Some(_) | None) => "document".to_owned(),
    }
}

/// Validates the servers of a pool one by one, so that each fault has its path, and removes the
/// invalid ones.
fn read_servers(mapping: &mut Mapping, faults: &mut Vec<(String, String)>) {
    let Some(Value::Sequence(servers)) = mapping.get_mut("servers") else {
        return;
    };
    let mut index = 0;
    servers.retain(|server| {
        let prefix = format!("servers[{index}].");
        index += 1;
        match server {
            Value::Mapping(fields) => {
                let earlier_faults = faults.len();
                read_fields::<Server>(fields.clone(), &prefix, faults);
                faults.len() == earlier_faults
            }
            Value::Null
            | Value::Bool(_)
            | Value::Number(_)
            | Value::String(_)
            | Value::Sequence(_)
            | Value::Tagged(_) => {
                let path = prefix.trim_end_matches('.').to_owned();
                faults.push((path, "a server should be a mapping of fields".into()));
                false
            }
        }
    });
}

/// Parses fields and collects the faults of all of them.
///
/// serde stops at the first fault. The field that causes it is then removed, or replaced by a
/// placeholder if it is missing, and the mapping is parsed again. Returns `None` when the rest
/// can't be parsed.
fn read_fields<T: DeserializeOwned>(
    mut mapping: Mapping,
    prefix: &str,
    faults: &mut Vec<(String, String)>,
) -> Option<T> {
    loop {
        let message = match parse::<T>(&mapping) {
            Ok(value) => return Some(value),
            Err(message) => message,
        };
        if let Some(field) = missing_field(&message) {
            push_missing(&format!("{prefix}{field}"), &message, faults);
            mapping.insert(Value::from(field), placeholder::<T>(&mapping, field)?);
            continue;
        }
        let Some(key) = faulty_field::<T>(&mapping, &message) else {
            faults.push((prefix.trim_end_matches('.').to_owned(), message));
            return None;
        };
        let name = key.as_str().unwrap_or("").to_owned();
        faults.push((format!("{prefix}{name}"), message));
        if name == "kind" {
            return None;
        }
        mapping.remove(&key);
    }
}

/// Returns the field that causes the fault `message`: the fault disappears without the field.
fn faulty_field<T: DeserializeOwned>(mapping: &Mapping, message: &str) -> Option<Value> {
    let is_cause = |key: &&Value| {
        let mut rest = mapping.clone();
        rest.remove(*key);
        parse::<T>(&rest).err().is_none_or(|other| other != message)
    };
    // Removing the kind replaces any fault by another one, so the kind is tried last.
    let kind = Value::from("kind");
    let (kinds, fields): (Vec<&Value>, Vec<&Value>) = mapping.keys().partition(|key| **key == kind);
    fields.into_iter().chain(kinds).find(is_cause).cloned()
}

fn parse<T: DeserializeOwned>(mapping: &Mapping) -> Result<T, String> {
    serde_yaml_ng::from_value(Value::Mapping(mapping.clone())).map_err(|error| error.to_string())
}

/// Returns the name of the missing field if `message` is serde's message about one.
fn missing_field(message: &str) -> Option<&str> {
    message
        .strip_prefix("missing field `")
        .and_then(|rest| rest.strip_suffix('`'))
}

/// Adds the fault of a missing field, unless the field was removed because of its own fault.
fn push_missing(path: &str, message: &str, faults: &mut Vec<(String, String)>) {
    if !faults.iter().any(|(other, _)| other == path) {
        faults.push((path.to_owned(), message.to_owned()));
    }
}

/// Returns a valid value for a missing field, so that parsing reaches the faults after it.
fn placeholder<T: DeserializeOwned>(mapping: &Mapping, field: &str) -> Option<Value> {
    let candidates = [
        Value::from("x"),
        Value::from(1),
        Value::Sequence(Vec::new()),
        Value::from("127.0.0.1:1"),
        Value::from("interactive"),
        Value::from("engine"),
    ];
    let key = Value::from(field);
    candidates.into_iter().find(|value| {
        let mut filled = mapping.clone();
        filled.insert(key.clone(), value.clone());
        match parse::<T>(&filled) {
            Ok(_) => true,
            Err(message) => missing_field(&message).is_some_and(|other| other != field),
        }
    })
}
