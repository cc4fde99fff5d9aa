//! Every file, function and link that the pages name is there.

mod support;

use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};
use support::crates::{self, Crate, exists};
use support::markdown::{Block, Link, Page, pages};
use support::{assert_none, read, rust};

/// The page whose numbered lists are steps through the code.
const STEPS_PAGE: &str = "docs/ARCHITECTURE.md";

/// Pages that tell of older versions: what they name in code may be gone since.
/// Their links and files are still checked.
const HISTORIES: [&str; 3] = ["docs/ROADMAP.md", "docs/INCIDENTS.md", "docs/POLICY.md"];

/// What a span that names a file ends in.
const FILE_ENDINGS: [&str; 5] = [".rs", ".toml", ".md", ".json", ".jsonl"];
/// Folders at the root that a span may begin with.
const FOLDERS: [&str; 5] = ["crates/", "docs/", "examples/", "deploy/", "platform/"];
/// Folders of a crate, by which a span such as `record/tests/runs` is known.
const CRATE_FOLDERS: [&str; 3] = ["src", "tests", "examples"];
/// First words of paths that name no crate of this workspace.
const OTHER_CRATES: [&str; 2] = ["std", "tokio"];

/// Runs a check over every block and fails with all that it finds.
fn check_blocks(pages: &[Page], check: impl Fn(&Page, &Block) -> Vec<String>) {
    let mut problems = Vec::new();
    for page in pages {
        for block in &page.blocks {
            let place = page.place(block);
            let found = check(page, block).into_iter();
            problems.extend(found.map(|problem| format!("{place}: {problem}")));
        }
    }
    assert_none(&problems);
}

#[test]
fn every_link_leads_to_a_file_and_a_heading() {
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
        return Some(format!("{} leads to no file", link.target));
    }
    let anchor = anchor?;
    let known = anchors.get(target.as_str());
    let found = known.is_some_and(|known| known.iter().any(|heading| heading == anchor));
    (!found).then(|| format!("{} leads to no heading", link.target))
}

/// A relative link of a page, as a path from the root.
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
fn every_path_in_code_exists() {
    check_blocks(&pages(), |_, block| {
        let spans = block.code_spans().into_iter();
        spans
            .filter(|span| is_path(span))
            .filter(|span| !path_exists(span))
            .map(|span| format!("`{span}` is not there"))
            .collect()
    });
}

fn is_path(span: &str) -> bool {
    let is_one = span.contains('/') && !span.contains([' ', ':', '{']) && !span.starts_with('/');
    let known = FILE_ENDINGS.iter().any(|ending| span.ends_with(ending))
        || FOLDERS.iter().any(|folder| span.starts_with(folder));
    is_one && (known || is_short_path(span))
}

/// `record/tests/runs` stands for a file or folder below `crates/record`.
fn is_short_path(span: &str) -> bool {
    let mut parts = span.split('/');
    let first = parts.next().unwrap_or_default();
    let folder = parts.next().unwrap_or_default();
    let is_name = first.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    is_name && !first.is_empty() && CRATE_FOLDERS.contains(&folder)
}

/// A `*` stands for every crate: one of them must fit.
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
fn every_item_in_code_is_declared() {
    let crates = crates::all();
    let pages = pages().into_iter();
    let current: Vec<Page> = pages
        .filter(|page| !HISTORIES.contains(&page.name.as_str()))
        .collect();
    check_blocks(&current, |_, block| {
        let spans = block.code_spans().into_iter();
        spans
            .filter(|span| is_item(span))
            .filter_map(|span| item_problem(&span, &crates))
            .collect()
    });
}

/// `crate::module::item`, with a call's empty brackets or without.
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
        // `Type::item`, of whichever crate.
        let known = |member: &Crate| rest.len() == 1 && member.declares(Some(first), rest[0]);
        let found = crates.values().any(known);
        return (!found).then(|| format!("`{span}` is declared nowhere"));
    }
    match crates.get(*first) {
        Some(member) => unresolved(member, rest).map(|why| format!("`{span}`: {why}")),
        None => Some(format!("`{span}`: no crate is called {first}")),
    }
}

/// Why the words after a crate's name name nothing in it.
fn unresolved(member: &Crate, words: &[&str]) -> Option<String> {
    let (last, before) = words.split_last()?;
    if member.has_module(words) {
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
    if modules.is_empty() && !member.gives_out(top) {
        return Some(format!("lib.rs does not give {top} out"));
    }
    let declared = member.declares(owner, last);
    (!declared).then(|| format!("{last} is not declared"))
}

#[test]
fn every_reference_of_the_architecture_names_a_declaration_of_its_file() {
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
fn every_step_of_the_architecture_names_a_file_and_its_function() {
    let page = Page::read(STEPS_PAGE);
    let steps = page.blocks.iter().filter(|block| block.is_numbered());
    let without = steps.filter(|block| {
        let mut links = block.links().into_iter();
        !links.any(|link| link.target.ends_with(".rs"))
    });
    let problems: Vec<String> = without
        .map(|block| format!("{}: the step names no function", page.place(block)))
        .collect();
    assert_none(&problems);
}

/// The one form: [`file.rs`](../crates/x/src/file.rs) `Type::function`. A step
/// names a function; other places may name any declaration.
fn reference_problem(page: &Page, link: &Link, any: bool) -> Option<String> {
    let file = resolve(&page.name, &link.target);
    let shown = link.text.trim_matches('`');
    let is_form = link.text == format!("`{shown}`") && file.ends_with(&format!("/{shown}"));
    let name = link
        .rest
        .strip_prefix(" `")
        .and_then(|rest| rest.split('`').next());
    let (true, Some(name)) = (is_form, name) else {
        return Some(format!("{} is not [`file.rs`](path) `name`", link.target));
    };
    if !exists(&file) {
        return Some(format!("{} leads to no file", link.target));
    }
    let (owner, item) = match name.rsplit_once("::") {
        Some((owner, item)) => (Some(owner), item),
        None => (None, name),
    };
    let declared = rust::declared(&read(&file));
    let found = declared.iter().any(|declared| {
        declared.name == item
            && (any || declared.kind == "fn")
            && (owner.is_none() || declared.owner.as_deref() == owner)
    });
    (!found).then(|| format!("{file} does not declare `{name}`"))
}
