//! Names, kinds and labels of all metrics in the sources, beside recorded text
//! and the page for operators.

mod golden;

use golden::assert_text;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Macros that record a value, which are the kinds of metrics as well.
const KINDS: [&str; 3] = ["counter", "gauge", "histogram"];
/// Start of every name.
const PREFIX: &str = "cypressdrum_";

/// A metric as it stands in the sources.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Metric {
    name: String,
    kind: &'static str,
    labels: Vec<String>,
}

impl Metric {
    /// The metric of a macro's arguments: the name, then `label => value`.
    fn read(kind: &'static str, arguments: &str) -> Self {
        let mut arguments = arguments.split(',').map(str::trim);
        let name = literal(arguments.next().unwrap_or_default());
        let rest = arguments.filter(|argument| !argument.is_empty());
        let labels = rest.map(|argument| {
            let (label, _) = argument.split_once("=>").unwrap_or_default();
            literal(label.trim())
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

/// What stands between the quotes; a name that is put together is not seen here.
fn literal(text: &str) -> String {
    let inner = text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'));
    inner
        .unwrap_or_else(|| panic!("a literal is wanted, not {text:?}"))
        .to_owned()
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The folders with the sources of all crates, whatever these are called.
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
            found.push(Metric::read(kind, inside(&source[start + call.len()..])));
        }
    }
    found
}

/// The text up to the bracket that closes the one before it.
fn inside(text: &str) -> &str {
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
    panic!("a macro does not end: {text}");
}

fn metrics() -> BTreeSet<Metric> {
    let mut found = BTreeSet::new();
    for folder in source_folders() {
        collect_metrics(&folder, &mut found);
    }
    found
}

#[test]
fn names_kinds_and_labels_are_the_recorded_ones() {
    let lines: String = metrics().iter().map(Metric::line).collect();
    assert_text("metrics.txt", &lines);
}

/// Rows of the page's table, each from its name on.
fn rows(page: &str) -> Vec<&str> {
    let begins = format!("| `{PREFIX}");
    let lines = page.lines();
    lines.filter(|line| line.starts_with(&begins)).collect()
}

#[test]
fn the_page_lists_each_metric_with_its_kind_and_labels() {
    let page = fs::read_to_string(repository().join("docs/OPERATIONS.md")).unwrap();
    let rows = rows(&page);
    let mut missing = Vec::new();
    for metric in metrics() {
        let begins = format!("| `{}` | {} |", metric.name, metric.kind);
        let row = rows.iter().find(|row| row.starts_with(&begins));
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
fn the_page_lists_no_metric_that_there_is_not() {
    let page = fs::read_to_string(repository().join("docs/OPERATIONS.md")).unwrap();
    let names: BTreeSet<String> = metrics().into_iter().map(|metric| metric.name).collect();
    for row in rows(&page) {
        let name = row.split('`').nth(1).unwrap();
        assert!(names.contains(name), "{row}");
    }
}
