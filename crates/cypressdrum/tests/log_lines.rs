//! The lines of the log and the table that explains them are the same.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use support::markdown::Page;
use support::{assert_none, crates, rust};

/// Where the table stands.
const PAGE: &str = "docs/OPERATIONS.md";
const HEADING: &str = "Log lines";
/// level, message, meaning, usual cause, what to do, metric to look at.
const COLUMNS: usize = 6;
/// What begins the name of every metric.
const METRIC: &str = "cypressdrum_";

/// Level and message of a line.
type Line = (String, String);

/// Every line that the sources log, with the places that log it.
fn lines_in_code() -> BTreeMap<Line, Vec<String>> {
    let mut lines: BTreeMap<Line, Vec<String>> = BTreeMap::new();
    for (name, source) in crates::sources() {
        for logged in rust::logged(&source) {
            let place = format!("{name}:{}", logged.line);
            let message = logged.message.unwrap_or_default();
            let line = (logged.level.to_owned(), message);
            lines.entry(line).or_default().push(place);
        }
    }
    lines
}

/// The rows of the table, with their lines in the page.
fn rows() -> Vec<(usize, Vec<String>)> {
    Page::read(PAGE).table(HEADING)
}

/// Level and message that a row is about.
fn line_of(cells: &[String]) -> Option<Line> {
    let message = cells.get(1)?.strip_prefix('`')?.strip_suffix('`')?;
    Some((cells.first()?.clone(), message.to_owned()))
}

#[test]
fn every_line_of_the_log_has_a_message() {
    let lines = lines_in_code();
    assert!(!lines.is_empty(), "the sources log something");
    let unnamed = lines.iter().filter(|((_, message), _)| message.is_empty());
    let problems: Vec<String> = unnamed
        .map(|((level, _), places)| format!("{}: {level}! without a message", places.join(", ")))
        .collect();
    assert_none(&problems);
}

#[test]
fn every_line_of_the_log_stands_in_the_table() {
    let rows = rows();
    let told: BTreeSet<Line> = rows
        .iter()
        .filter_map(|(_, cells)| line_of(cells))
        .collect();
    let untold = lines_in_code().into_iter();
    let problems: Vec<String> = untold
        .filter(|(line, _)| !told.contains(line))
        .map(|((level, message), places)| {
            format!("{}: {level} `{message}` is not told", places.join(", "))
        })
        .collect();
    assert_none(&problems);
}

#[test]
fn every_row_of_the_table_is_a_line_of_the_log() {
    let lines = lines_in_code();
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for (number, cells) in rows() {
        let place = format!("{PAGE}:{number}");
        match line_of(&cells) {
            Some(line) if !lines.contains_key(&line) => {
                problems.push(format!("{place}: nothing logs {} `{}`", line.0, line.1));
            }
            Some(line) => {
                if !seen.insert(line) {
                    problems.push(format!("{place}: told twice"));
                }
            }
            None => problems.push(format!("{place}: the message is no code span")),
        }
    }
    assert_none(&problems);
}

#[test]
fn every_row_of_the_table_is_filled() {
    let mut problems = Vec::new();
    for (number, cells) in rows() {
        if cells.len() != COLUMNS || cells.iter().any(String::is_empty) {
            problems.push(format!(
                "{PAGE}:{number}: {COLUMNS} filled cells are wanted"
            ));
        }
    }
    assert_none(&problems);
}

#[test]
fn every_metric_that_the_table_names_is_recorded() {
    let sources = crates::sources();
    let recorded = |name: &str| {
        let literal = format!("\"{name}\"");
        sources.iter().any(|(_, source)| source.contains(&literal))
    };
    let mut problems = Vec::new();
    for (number, cells) in rows() {
        let words = cells.last().map(String::as_str).unwrap_or_default();
        let words = words.split(|c: char| !c.is_alphanumeric() && c != '_');
        for name in words.filter(|word| word.starts_with(METRIC)) {
            if !recorded(name) {
                problems.push(format!("{PAGE}:{number}: nothing records {name}"));
            }
        }
    }
    assert_none(&problems);
}

#[test]
fn messages_are_lower_case_without_a_full_stop_or_values() {
    let mut problems = Vec::new();
    for ((level, message), places) in lines_in_code() {
        let capital = message.starts_with(char::is_uppercase);
        if capital || message.ends_with('.') || message.contains('{') {
            problems.push(format!("{}: {level} `{message}`", places.join(", ")));
        }
    }
    assert_none(&problems);
}
