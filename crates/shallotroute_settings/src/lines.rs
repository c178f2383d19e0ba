//! Finds the line numbers of fields in block-style YAML, since the YAML library does not
//! provide them for values.

use std::collections::HashMap;

/// Line numbers, counted from 1, by the dotted path of the field. Items of sequences are
/// numbered from 0.
#[derive(Debug, Default)]
pub(crate) struct Lines(HashMap<String, usize>);

/// A key or a sequence item whose nested fields may follow.
struct Parent {
    indent: usize,
    path: String,
    next_item: usize,
}

impl Lines {
    /// Scans the text of a YAML file for its fields.
    pub(crate) fn new(text: &str) -> Self {
        let mut lines = Self::default();
        let mut parents: Vec<Parent> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            lines.scan(line, index + 1, &mut parents);
        }
        lines
    }

    /// Returns the line of a field. A field that the text does not contain has the line of the
    /// nearest field that would enclose it, or line 1.
    pub(crate) fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.0.get(path) {
                return *line;
            }
            match path.rfind('.') {
                Some(dot) => path = &path[..dot],
                None => return 1,
            }
        }
    }

    fn scan(&mut self, line: &str, number: usize, parents: &mut Vec<Parent>) {
        let mut rest = line.trim_start();
        let mut indent = line.len() - rest.len();
        if rest.is_empty() || rest.starts_with('#') {
            return;
        }
        while let Some(item) = rest.strip_prefix("- ") {
            parents.retain(|parent| parent.indent < indent || parent.is_sequence_at(indent));
            let path = Self::next_item_path(parents);
            self.0.entry(path.clone()).or_insert(number);
            let inner = item.trim_start();
            indent += rest.len() - inner.len();
            rest = inner;
            parents.push(Parent {
                indent: indent - 1,
                path,
                next_item: 0,
            });
        }
        let Some((key, value)) = rest.split_once(':') else {
            return;
        };
        if !value.is_empty() && !value.starts_with(' ') {
            return;
        }
        parents.retain(|parent| parent.indent < indent);
        let key = key.trim().trim_matches(['"', '\'']);
        let path = match parents.last() {
            Some(parent) => format!("{}.{key}", parent.path),
            None => key.to_owned(),
        };
        self.0.entry(path.clone()).or_insert(number);
        self.scan_flow(value, &path, number);
        parents.push(Parent {
            indent,
            path,
            next_item: 0,
        });
    }

    /// Records the keys of a flow mapping on one line, such as `{id: a, zone: b}`.
    fn scan_flow(&mut self, value: &str, path: &str, number: usize) {
        let Some(inner) = value.trim().strip_prefix('{') else {
            return;
        };
        for pair in inner.trim_end_matches('}').split(',') {
            if let Some((key, _)) = pair.split_once(':') {
                let key = key.trim().trim_matches(['"', '\'']);
                self.0.entry(format!("{path}.{key}")).or_insert(number);
            }
        }
    }

    fn next_item_path(parents: &mut [Parent]) -> String {
        match parents.last_mut() {
            Some(parent) => {
                let path = format!("{}.{}", parent.path, parent.next_item);
                parent.next_item += 1;
                path
            }
            None => "0".to_owned(),
        }
    }
}

impl Parent {
    /// Returns whether this is the key of a sequence whose items have the indentation `indent`.
    /// YAML allows the dash of an item at the indentation of the key that contains the sequence.
    fn is_sequence_at(&self, indent: usize) -> bool {
        self.indent == indent && !self.path.ends_with(|last: char| last.is_ascii_digit())
    }
}
