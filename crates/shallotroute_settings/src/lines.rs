//! Lines of fields in block-style YAML, which the YAML library does not tell.

use std::collections::HashMap;

/// The line of each field by dotted path; items of sequences are numbered from 0.
#[derive(Debug, Default)]
pub(crate) struct Lines(HashMap<String, usize>);

/// An open mapping or sequence item.
struct Open {
    indent: usize,
    path: String,
    next_item: usize,
}

impl Lines {
    /// Finds the fields in a text.
    pub(crate) fn new(text: &str) -> Self {
        let mut lines = Self::default();
        let mut open: Vec<Open> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            lines.scan(line, index + 1, &mut open);
        }
        lines
    }

    /// Returns the line of a field, or that of the nearest field around it.
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

    fn scan(&mut self, line: &str, number: usize, open: &mut Vec<Open>) {
        let mut rest = line.trim_start();
        let mut indent = line.len() - rest.len();
        if rest.is_empty() || rest.starts_with('#') {
            return;
        }
        while let Some(item) = rest.strip_prefix("- ") {
            open.retain(|parent| parent.indent < indent || parent.path_is_sequence_at(indent));
            let path = Self::item_path(open);
            self.0.entry(path.clone()).or_insert(number);
            let inner = item.trim_start();
            indent += rest.len() - inner.len();
            rest = inner;
            open.push(Open {
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
        open.retain(|parent| parent.indent < indent);
        let key = key.trim().trim_matches(['"', '\'']);
        let path = match open.last() {
            Some(parent) => format!("{}.{key}", parent.path),
            None => key.to_owned(),
        };
        self.0.entry(path.clone()).or_insert(number);
        self.scan_flow(value, &path, number);
        open.push(Open {
            indent,
            path,
            next_item: 0,
        });
    }

    /// Records the keys of a flow mapping such as `{id: a, zone: b}` that stands on one line.
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

    fn item_path(open: &mut [Open]) -> String {
        match open.last_mut() {
            Some(parent) => {
                let path = format!("{}.{}", parent.path, parent.next_item);
                parent.next_item += 1;
                path
            }
            None => "0".to_owned(),
        }
    }
}

impl Open {
    /// YAML allows the dash of an item at the indentation of the key that holds the sequence.
    fn path_is_sequence_at(&self, indent: usize) -> bool {
        self.indent == indent && !self.path.ends_with(|last: char| last.is_ascii_digit())
    }
}
