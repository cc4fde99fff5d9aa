//! Compares the log lines in the sources with the table that explains them.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use support::markdown::Page;
use support::{assert_none, crates, rust};

/// Page with the table of log lines.
const PAGE: &str = "docs/OPERATIONS.md";
/// Heading above the table.
const HEADING: &str = "Log lines";
/// Columns of the table: level, message, meaning, usual cause, remedy, metric.
const COLUMNS: usize = 6;
/// Prefix of every metric name.
const METRIC_PREFIX: &str = "cypressdrum_";

/// Level and message of a log line.
type LogLine = (String, String);

/// Returns every log line of the sources, each with the locations that write it.
fn log_lines_in_sources() -> BTreeMap<LogLine, Vec<String>> {
    let mut lines: BTreeMap<LogLine, Vec<String>> = BTreeMap::new();
    for (name, source) in crates::sources() {
        for call in rust::log_calls(&source) {
            let location = format!("{name}:{}", call.line);
            let message = call.message.unwrap_or_default();
            let line = (call.level.to_owned(), message);
            lines.entry(line).or_default().push(location);
        }
    }
    lines
}

/// Returns the rows of the table, each with its line number in the page.
fn table_rows() -> Vec<(usize, Vec<String>)> {
    Page::read(PAGE).table(HEADING)
}

/// Returns the level and message that a row describes; `None` if its message is
/// not a code span.
fn log_line_of(cells: &[String]) -> Option<LogLine> {
    let message = cells.get(1)?.strip_prefix('`')?.strip_suffix('`')?;
    Some((cells.first()?.clone(), message.to_owned()))
}

#[test]
fn every_log_line_has_message() {
    let lines = log_lines_in_sources();
    assert!(!lines.is_empty(), "no log lines found in the sources");
    let without_message = lines.iter().filter(|((_, message), _)| message.is_empty());
    let problems: Vec<String> = without_message
        .map(|((level, _), locations)| {
            format!("{}: {level}! without a message", locations.join(", "))
        })
        .collect();
    assert_none(&problems);
}

#[test]
fn every_log_line_is_in_table() {
    let rows = table_rows();
    let documented: BTreeSet<LogLine> = rows
        .iter()
        .filter_map(|(_, cells)| log_line_of(cells))
        .collect();
    let lines = log_lines_in_sources().into_iter();
    let problems: Vec<String> = lines
        .filter(|(line, _)| !documented.contains(line))
        .map(|((level, message), locations)| {
            format!(
                "{}: {level} `{message}` is not in the table of {PAGE}",
                locations.join(", ")
            )
        })
        .collect();
    assert_none(&problems);
}

#[test]
fn every_table_row_is_a_log_line() {
    let lines = log_lines_in_sources();
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for (number, cells) in table_rows() {
        let location = format!("{PAGE}:{number}");
        match log_line_of(&cells) {
            Some(line) if !lines.contains_key(&line) => {
                problems.push(format!(
                    "{location}: no source logs {} `{}`",
                    line.0, line.1
                ));
            }
            Some(line) => {
                if !seen.insert(line) {
                    problems.push(format!("{location}: duplicate row"));
                }
            }
            None => problems.push(format!("{location}: the message is not a code span")),
        }
    }
    assert_none(&problems);
}

#[test]
fn every_table_row_has_all_cells_filled() {
    let mut problems = Vec::new();
    for (number, cells) in table_rows() {
        if cells.len() != COLUMNS || cells.iter().any(String::is_empty) {
            problems.push(format!(
                "{PAGE}:{number}: expected {COLUMNS} non-empty cells"
            ));
        }
    }
    assert_none(&problems);
}

#[test]
fn every_metric_named_in_table_is_recorded() {
    let sources = crates::sources();
    let recorded = |name: &str| {
        let literal = format!("\"{name}\"");
        sources.iter().any(|(_, source)| source.contains(&literal))
    };
    let mut problems = Vec::new();
    for (number, cells) in table_rows() {
        let words = cells.last().map(String::as_str).unwrap_or_default();
        let words = words.split(|c: char| !c.is_alphanumeric() && c != '_');
        for name in words.filter(|word| word.starts_with(METRIC_PREFIX)) {
            if !recorded(name) {
                problems.push(format!("{PAGE}:{number}: no source records {name}"));
            }
        }
    }
    assert_none(&problems);
}

#[test]
fn log_messages_are_lower_case_without_full_stop_or_values() {
    let mut problems = Vec::new();
    for ((level, message), locations) in log_lines_in_sources() {
        let capital = message.starts_with(char::is_uppercase);
        if capital || message.ends_with('.') || message.contains('{') {
            problems.push(format!("{}: {level} `{message}`", locations.join(", ")));
        }
    }
    assert_none(&problems);
}
