//! Access to the repository's files for the tests that compare pages with code.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod crates;
pub mod markdown;
pub mod rust;

use std::fs;
use std::path::{Path, PathBuf};

/// Returns the root folder of the repository.
pub fn root() -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.canonicalize().unwrap()
}

/// Reads a file of the repository, given by its path from the root.
pub fn read(name: &str) -> String {
    let path = root().join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns all files below a folder whose name has the given ending, sorted by
/// path; none if the folder does not exist.
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

/// Asserts that there are no problems. The failure message lists all of them.
pub fn assert_none(problems: &[String]) {
    assert!(problems.is_empty(), "\n{}\n", problems.join("\n"));
}
