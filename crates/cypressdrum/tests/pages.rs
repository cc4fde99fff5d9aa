//! Checks that every file, declaration and link target named in the pages exists.

mod support;

use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};
use support::crates::{self, Crate, exists};
use support::markdown::{Block, Link, Page, pages};
use support::{assert_none, read, rust};

/// Page whose numbered lists describe paths through the code step by step.
const STEPS_PAGE: &str = "docs/ARCHITECTURE.md";

/// Pages about older versions, which may name items that no longer exist. Their
/// links and files are still checked.
const HISTORICAL_PAGES: [&str; 3] = ["docs/ROADMAP.md", "docs/INCIDENTS.md", "docs/POLICY.md"];

/// Endings by which a code span counts as a file name.
const FILE_ENDINGS: [&str; 5] = [".rs", ".toml", ".md", ".json", ".jsonl"];
/// Folders at the root by which a code span counts as a path.
const FOLDERS: [&str; 5] = ["crates/", "docs/", "examples/", "deploy/", "platform/"];
/// Folders of a crate by which a code span such as `record/tests/runs` counts as a
/// path.
const CRATE_FOLDERS: [&str; 3] = ["src", "tests", "examples"];
/// External crates whose items the pages may name; they are not checked.
const OTHER_CRATES: [&str; 2] = ["std", "tokio"];

/// Runs a check over every block of the pages. The failure message lists all
/// problems with page and line.
fn check_blocks(pages: &[Page], check: impl Fn(&Page, &Block) -> Vec<String>) {
    let mut problems = Vec::new();
    for page in pages {
        for block in &page.blocks {
            let location = page.location(block);
            let found = check(page, block).into_iter();
            problems.extend(found.map(|problem| format!("{location}: {problem}")));
        }
    }
    assert_none(&problems);
}

#[test]
fn every_link_targets_existing_file_and_heading() {
    let pages = pages();
    let anchors: BTreeMap<&str, Vec<String>> = pages
        .iter()
        .map(|page| (page.name.as_str(), page.anchors()))
        .collect();
    check_blocks(&pages, |page, block| {
        let links = block.links().into_iter();
        links
            .filter(|link| !link.target.contains("://") && !link.target.starts_with("mailto:"))
            .filter_map(|link| link_problem(page, &link, &anchors))
            .collect()
    });
}

fn link_problem(page: &Page, link: &Link, anchors: &BTreeMap<&str, Vec<String>>) -> Option<String> {
    let (file, anchor) = match link.target.split_once('#') {
        Some((file, anchor)) => (file, Some(anchor)),
        None => (link.target.as_str(), None),
    };
    let target = match file {
        "" => page.name.clone(),
        file => resolve(&page.name, file),
    };
    if !exists(&target) {
        return Some(format!("{} targets a missing file", link.target));
    }
    let anchor = anchor?;
    let known = anchors.get(target.as_str());
    let found = known.is_some_and(|known| known.iter().any(|heading| heading == anchor));
    (!found).then(|| format!("{} targets a missing heading", link.target))
}

/// Resolves a relative link of a page to a path from the root.
fn resolve(page: &str, target: &str) -> String {
    let folder = Path::new(page).parent().unwrap_or(Path::new(""));
    let mut resolved = PathBuf::new();
    for component in folder.join(target).components() {
        match component {
            Component::ParentDir => {
                resolved.pop();
            }
            Component::CurDir => {}
            other => resolved.push(other),
        }
    }
    resolved.to_string_lossy().into_owned()
}

#[test]
fn every_path_in_code_span_exists() {
    check_blocks(&pages(), |_, block| {
        let spans = block.code_spans().into_iter();
        spans
            .filter(|span| is_path(span))
            .filter(|span| !path_exists(span))
            .map(|span| format!("`{span}` does not exist"))
            .collect()
    });
}

fn is_path(span: &str) -> bool {
    let has_path_form =
        span.contains('/') && !span.contains([' ', ':', '{']) && !span.starts_with('/');
    let has_known_part = FILE_ENDINGS.iter().any(|ending| span.ends_with(ending))
        || FOLDERS.iter().any(|folder| span.starts_with(folder));
    has_path_form && (has_known_part || is_short_path(span))
}

/// Returns whether a span is a path without `crates/`, such as `record/tests/runs`
/// for a file or folder below `crates/record`.
fn is_short_path(span: &str) -> bool {
    let mut parts = span.split('/');
    let first = parts.next().unwrap_or_default();
    let folder = parts.next().unwrap_or_default();
    let is_name = first.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    is_name && !first.is_empty() && CRATE_FOLDERS.contains(&folder)
}

/// Returns whether the path of a span exists. A `*` matches any crate, of which
/// one must have the path.
fn path_exists(span: &str) -> bool {
    let span = span.trim_end_matches('/');
    if let Some((before, after)) = span.split_once("/*") {
        let members = crates::all();
        let below = members.values().map(|member| &member.folder);
        return exists(before)
            && below
                .into_iter()
                .any(|folder| folder.join(&after[1..]).exists());
    }
    let short = format!("crates/{span}");
    let paths = [span, short.as_str()];
    paths
        .iter()
        .any(|path| exists(path) || exists(&format!("{path}.rs")))
}

#[test]
fn every_item_in_code_span_is_declared() {
    let crates = crates::all();
    let pages = pages().into_iter();
    let current: Vec<Page> = pages
        .filter(|page| !HISTORICAL_PAGES.contains(&page.name.as_str()))
        .collect();
    check_blocks(&current, |_, block| {
        let spans = block.code_spans().into_iter();
        spans
            .filter(|span| is_item(span))
            .filter_map(|span| item_problem(&span, &crates))
            .collect()
    });
}

/// Returns whether a span has the form `crate::module::item`, with or without `()`.
fn is_item(span: &str) -> bool {
    let path = span.strip_suffix("()").unwrap_or(span);
    let is_word = |word: &str| {
        !word.is_empty() && word.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    path.contains("::") && path.split("::").all(is_word)
}

fn is_type(word: &str) -> bool {
    word.starts_with(char::is_uppercase)
}

fn item_problem(span: &str, crates: &BTreeMap<String, Crate>) -> Option<String> {
    let path = span.strip_suffix("()").unwrap_or(span);
    let words: Vec<&str> = path.split("::").collect();
    let (first, rest) = words.split_first()?;
    if OTHER_CRATES.contains(first) {
        return None;
    }
    if is_type(first) {
        // `Type::item` of any crate.
        let known = |member: &Crate| rest.len() == 1 && member.declares(Some(first), rest[0]);
        let found = crates.values().any(known);
        return (!found).then(|| format!("`{span}` is not declared in any crate"));
    }
    match crates.get(*first) {
        Some(member) => {
            resolution_problem(member, rest).map(|problem| format!("`{span}`: {problem}"))
        }
        None => Some(format!("`{span}`: there is no crate {first}")),
    }
}

/// Returns the reason why `path`, without the crate's name, is not an item or module
/// of the crate; `None` if it is one.
fn resolution_problem(member: &Crate, path: &[&str]) -> Option<String> {
    let (last, before) = path.split_last()?;
    if member.has_module(path) {
        return None;
    }
    let (owner, modules) = match before.split_last() {
        Some((owner, modules)) if is_type(owner) => (Some(*owner), modules),
        _ => (None, before),
    };
    if !modules.is_empty() && !member.has_module(modules) {
        return Some(format!("there is no module {}", modules.join("::")));
    }
    let top = owner.unwrap_or(last);
    if modules.is_empty() && !member.reexports(top) {
        return Some(format!("lib.rs does not re-export {top}"));
    }
    let declared = member.declares(owner, last);
    (!declared).then(|| format!("{last} is not declared"))
}

#[test]
fn every_architecture_reference_names_declaration_in_its_file() {
    let page = Page::read(STEPS_PAGE);
    check_blocks(&[page], |page, block| {
        let links = block.links().into_iter();
        links
            .filter(|link| link.target.ends_with(".rs"))
            .filter_map(|link| reference_problem(page, &link, !block.is_numbered()))
            .collect()
    });
}

#[test]
fn every_architecture_step_references_source_file() {
    let page = Page::read(STEPS_PAGE);
    let steps = page.blocks.iter().filter(|block| block.is_numbered());
    let without = steps.filter(|block| {
        let mut links = block.links().into_iter();
        !links.any(|link| link.target.ends_with(".rs"))
    });
    let problems: Vec<String> = without
        .map(|block| {
            format!(
                "{}: the step references no source file",
                page.location(block)
            )
        })
        .collect();
    assert_none(&problems);
}

/// Returns the reason why a reference is invalid, or `None` if it is valid. Its form
/// is [`file.rs`](../crates/x/src/file.rs) `Type::function`. If `allow_any` is set,
/// the reference may name any declaration, else only a function, as in steps.
fn reference_problem(page: &Page, link: &Link, allow_any: bool) -> Option<String> {
    let file = resolve(&page.name, &link.target);
    let shown = link.text.trim_matches('`');
    let has_form = link.text == format!("`{shown}`") && file.ends_with(&format!("/{shown}"));
    let name = link
        .rest
        .strip_prefix(" `")
        .and_then(|rest| rest.split('`').next());
    let (true, Some(name)) = (has_form, name) else {
        return Some(format!(
            "{} does not have the form [`file.rs`](path) `name`",
            link.target
        ));
    };
    if !exists(&file) {
        return Some(format!("{} targets a missing file", link.target));
    }
    let (owner, item) = match name.rsplit_once("::") {
        Some((owner, item)) => (Some(owner), item),
        None => (None, name),
    };
    let declarations = rust::declarations(&read(&file));
    let found = declarations.iter().any(|declaration| {
        declaration.name == item
            && (allow_any || declaration.kind == "fn")
            && (owner.is_none() || declaration.owner.as_deref() == owner)
    });
    (!found).then(|| format!("{file} does not declare `{name}`"))
}
