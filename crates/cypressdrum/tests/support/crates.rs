//! The crates of the workspace, listed from the file system so that renamed crates
//! are included.

use super::{files_below, read, root, rust};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// A crate of the workspace.
#[derive(Debug)]
pub struct Crate {
    /// Folder that holds the crate's manifest.
    pub folder: PathBuf,
    /// Declarations in the sources of the crate, without those in functions.
    pub declarations: Vec<rust::Declaration>,
}

impl Crate {
    fn read(folder: PathBuf) -> Self {
        let files = files_below(&folder.join("src"), ".rs").into_iter();
        let sources = files.map(|file| fs::read_to_string(file).unwrap());
        Self {
            declarations: sources
                .flat_map(|source| rust::declarations(&source))
                .collect(),
            folder,
        }
    }

    /// Returns whether a file exists for the module of the given path.
    pub fn has_module(&self, modules: &[&str]) -> bool {
        let path = self.folder.join("src").join(modules.join("/"));
        path.with_extension("rs").is_file() || path.join("mod.rs").is_file()
    }

    /// Returns whether `lib.rs` re-exports the item.
    pub fn reexports(&self, item: &str) -> bool {
        let library = fs::read_to_string(self.folder.join("src/lib.rs")).unwrap_or_default();
        let mut statements = library.split(';');
        let public = statements.by_ref().filter(|text| text.contains("pub use "));
        public
            .flat_map(|text| text.split(|c: char| !c.is_alphanumeric() && c != '_'))
            .any(|word| word == item)
    }

    /// Returns whether the sources declare the item. If an owner is given, the item
    /// must be a function, constant or variant of that type or trait.
    pub fn declares(&self, owner: Option<&str>, item: &str) -> bool {
        let has_name = |declaration: &&rust::Declaration| declaration.name == item;
        let mut found = self.declarations.iter().filter(has_name);
        found.any(|declaration| owner.is_none() || declaration.owner.as_deref() == owner)
    }
}

/// Returns all crates by their name in code.
pub fn all() -> BTreeMap<String, Crate> {
    let mut folders = vec![root().join("platform")];
    let entries = fs::read_dir(root().join("crates")).unwrap();
    folders.extend(entries.map(|entry| entry.unwrap().path()));
    let with_manifest = folders.into_iter().filter(|folder| is_crate(folder));
    with_manifest
        .map(|folder| (crate_name(&folder), Crate::read(folder)))
        .collect()
}

fn is_crate(folder: &Path) -> bool {
    folder.join("Cargo.toml").is_file()
}

/// Returns the name of the library if the manifest sets one, else the name of the
/// package, with underscores.
fn crate_name(folder: &Path) -> String {
    let manifest = folder.join("Cargo.toml");
    let manifest: toml::Table = toml::from_str(&fs::read_to_string(manifest).unwrap()).unwrap();
    let name = |table: &str| manifest.get(table)?.get("name")?.as_str();
    let name = name("lib").or_else(|| name("package")).unwrap();
    name.replace('-', "_")
}

/// Returns whether a path from the root names a file or folder of the repository.
pub fn exists(path: &str) -> bool {
    root().join(path).exists()
}

/// Returns the source files of all crates, as path from the root and text.
pub fn sources() -> Vec<(String, String)> {
    let root = root();
    let crates = all();
    let files = crates
        .values()
        .flat_map(|member| files_below(&member.folder.join("src"), ".rs"));
    files
        .map(|file| {
            let name = file.strip_prefix(&root).unwrap();
            let name = name.to_string_lossy().into_owned();
            let text = read(&name);
            (name, text)
        })
        .collect()
}
