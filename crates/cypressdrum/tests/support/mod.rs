//! The repository as the tests of its pages read it.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod crates;
pub mod markdown;
pub mod rust;

use std::fs;
use std::path::{Path, PathBuf};

/// The root of the repository.
pub fn root() -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.canonicalize().unwrap()
}

/// A file of the repository, named from its root.
pub fn read(name: &str) -> String {
    let path = root().join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Every file below a folder whose name has this ending, in order.
pub fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let Ok(entries) = fs::read_dir(folder) else {
        return found;
    };
    for entry in entries {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files_below(&path, ending));
        } else if path.to_string_lossy().ends_with(ending) {
            found.push(path);
        }
    }
    found.sort();
    found
}

/// Fails with every problem at once.
pub fn assert_none(problems: &[String]) {
    assert!(problems.is_empty(), "\n{}\n", problems.join("\n"));
}
