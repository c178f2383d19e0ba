//! Finds the line of a field in the text of a YAML document.
//!
//! The YAML library reports no positions of values, so the text is searched by its indentation.

/// Returns the line of the field at `path` (such as `servers[1].slots`), counted from 0.
///
/// An empty path stands for the whole document. Where the layout is not one field per line, returns
/// the line of the nearest enclosing field that is found.
pub(crate) fn line_of(text: &str, path: &str) -> usize {
    let lines: Vec<&str> = text.lines().collect();
    let first = lines
        .iter()
        .position(|line| is_content(line))
        .unwrap_or_default();
    let mut range = Range {
        start: 0,
        end: lines.len(),
    };
    let mut found = first;
    for segment in path.split('.').filter(|segment| !segment.is_empty()) {
        let (key, index) = split_index(segment);
        let Some(line) = find_key(&lines, &range, key) else {
            break;
        };
        found = line;
        range = find_block(&lines, line, range.end);
        if let Some(index) = index {
            let Some(item) = find_item(&lines, &range, index) else {
                break;
            };
            found = item.start;
            range = item;
        }
    }
    found
}

/// Lines `start..end`, counted from 0.
struct Range {
    start: usize,
    end: usize,
}

fn is_content(line: &str) -> bool {
    let text = line.trim();
    !text.is_empty() && !text.starts_with('#')
}

fn split_index(segment: &str) -> (&str, Option<usize>) {
    match segment
        .strip_suffix(']')
        .and_then(|rest| rest.split_once('['))
    {
        Some((key, index)) => (key, index.parse().ok()),
        None => (segment, None),
    }
}

/// Returns the column of the first key on a line, after the dash of a list item.
fn column(line: &str) -> usize {
    line.len() - line.trim_start_matches([' ', '-']).len()
}

fn indent(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

fn find_key(lines: &[&str], range: &Range, key: &str) -> Option<usize> {
    let content = || (range.start..range.end).filter(|&line| is_content(lines[line]));
    let level = content().map(|line| column(lines[line])).min()?;
    content().find(|&line| {
        let text = lines[line];
        column(text) == level
            && text[level..]
                .trim_start_matches(['"', '\''])
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim_start_matches(['"', '\'', ' ']).starts_with(':'))
    })
}

/// Returns the lines of the value of the key on line `key`; YAML permits a list at the key's own
/// indentation.
fn find_block(lines: &[&str], key: usize, end: usize) -> Range {
    let level = column(lines[key]);
    let block_end = (key + 1..end)
        .find(|&line| {
            is_content(lines[line])
                && indent(lines[line]) <= level
                && !lines[line].trim_start().starts_with("- ")
        })
        .unwrap_or(end);
    Range {
        start: key + 1,
        end: block_end,
    }
}

/// Returns the lines of the list item at `index`.
fn find_item(lines: &[&str], range: &Range, index: usize) -> Option<Range> {
    let dashes: Vec<usize> = (range.start..range.end)
        .filter(|&line| lines[line].trim_start().starts_with('-'))
        .collect();
    let level = dashes.first().map(|&line| indent(lines[line]))?;
    let items: Vec<usize> = dashes
        .into_iter()
        .filter(|&line| indent(lines[line]) == level)
        .collect();
    let start = *items.get(index)?;
    let end = items.get(index + 1).copied().unwrap_or(range.end);
    Some(Range { start, end })
}
