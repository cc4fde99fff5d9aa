//! Compares names, kinds and labels of all metrics in the sources with a golden
//! file and with the tables in docs/OPERATIONS.md.

mod golden;

use golden::assert_text;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Macros that record a value; their names are also the kinds of metrics.
const KINDS: [&str; 3] = ["counter", "gauge", "histogram"];
/// Prefix of every metric name.
const PREFIX: &str = "cypressdrum_";

/// A metric as recorded by a macro call in the sources.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Metric {
    name: String,
    kind: &'static str,
    labels: Vec<String>,
}

impl Metric {
    /// Parses the arguments of a macro call: the name, then `label => value`.
    fn parse(kind: &'static str, arguments: &str) -> Self {
        let mut arguments = arguments.split(',').map(str::trim);
        let name = unquote(arguments.next().unwrap_or_default());
        let rest = arguments.filter(|argument| !argument.is_empty());
        let labels = rest.map(|argument| {
            let (label, _) = argument.split_once("=>").unwrap_or_default();
            unquote(label.trim())
        });
        assert!(name.starts_with(PREFIX), "{name}");
        Self {
            kind,
            labels: labels.collect(),
            name,
        }
    }

    fn line(&self) -> String {
        let parts = [
            vec![self.name.clone(), self.kind.to_owned()],
            self.labels.clone(),
        ];
        parts.concat().join(" ") + "\n"
    }
}

/// Returns the text between the quotes of a string literal. Fails for any other
/// expression, such as a name built by `format!`.
fn unquote(text: &str) -> String {
    let inner = text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'));
    inner
        .unwrap_or_else(|| panic!("expected a string literal, found {text:?}"))
        .to_owned()
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the source folder of every crate, read from the file system so that
/// renamed crates are included.
fn source_folders() -> Vec<PathBuf> {
    let crates = fs::read_dir(repository().join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    let folders = crates.chain([repository().join("platform")]);
    folders.map(|folder| folder.join("src")).collect()
}

fn collect_metrics(folder: &Path, found: &mut BTreeSet<Metric>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_metrics(&path, found);
        } else {
            found.extend(metrics_of(&fs::read_to_string(&path).unwrap()));
        }
    }
}

fn metrics_of(source: &str) -> Vec<Metric> {
    let mut found = Vec::new();
    for kind in KINDS {
        let call = format!("{kind}!(");
        for (start, _) in source.match_indices(&call) {
            found.push(Metric::parse(
                kind,
                until_closing_parenthesis(&source[start + call.len()..]),
            ));
        }
    }
    found
}

/// Returns the text up to the parenthesis that closes the one just before `text`.
fn until_closing_parenthesis(text: &str) -> &str {
    let mut depth = 1;
    for (position, character) in text.char_indices() {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..position];
        }
    }
    panic!("unclosed macro call: {text}");
}

fn metrics() -> BTreeSet<Metric> {
    let mut found = BTreeSet::new();
    for folder in source_folders() {
        collect_metrics(&folder, &mut found);
    }
    found
}

#[test]
fn names_kinds_and_labels_match_golden_file() {
    let lines: String = metrics().iter().map(Metric::line).collect();
    assert_text("metrics.txt", &lines);
}

/// Returns the table rows of a page that describe a metric.
fn rows(page: &str) -> Vec<&str> {
    let start = format!("| `{PREFIX}");
    let lines = page.lines();
    lines.filter(|line| line.starts_with(&start)).collect()
}

#[test]
fn page_lists_every_metric_with_kind_and_labels() {
    let page = fs::read_to_string(repository().join("docs/OPERATIONS.md")).unwrap();
    let rows = rows(&page);
    let mut missing = Vec::new();
    for metric in metrics() {
        let start = format!("| `{}` | {} |", metric.name, metric.kind);
        let row = rows.iter().find(|row| row.starts_with(&start));
        let names_labels = |row: &&str| {
            let labels = metric.labels.iter();
            labels
                .map(|label| format!("`{label}`"))
                .all(|label| row.contains(&label))
        };
        if !row.is_some_and(names_labels) {
            missing.push(metric.line());
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn page_lists_no_unknown_metric() {
    let page = fs::read_to_string(repository().join("docs/OPERATIONS.md")).unwrap();
    let names: BTreeSet<String> = metrics().into_iter().map(|metric| metric.name).collect();
    for row in rows(&page) {
        let name = row.split('`').nth(1).unwrap();
        assert!(names.contains(name), "{row}");
    }
}
