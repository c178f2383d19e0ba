//! Finds the line of a field in the text of a YAML document.

/// Returns the line of the field at `path` (as `servers[1].slots`), counted from 0; the line of the
/// nearest enclosing field when the text has another layout than one field a line.
pub(crate) fn find(text: &str, path: &str) -> usize {
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
        range = block(&lines, line, range.end);
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

/// Returns the column of a line's first key, after the dash of a list item.
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

/// Returns the lines below a key; a list may stand at the key's own indent.
fn block(lines: &[&str], key: usize, end: usize) -> Range {
    let level = column(lines[key]);
    let stop = (key + 1..end)
        .find(|&line| {
            is_content(lines[line])
                && indent(lines[line]) <= level
                && !lines[line].trim_start().starts_with("- ")
        })
        .unwrap_or(end);
    Range {
        start: key + 1,
        end: stop,
    }
}

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
