//! The crates of the workspace, read from their folders: they may be renamed.

use super::{files_below, read, root, rust};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// One crate.
#[derive(Debug)]
pub struct Crate {
    /// Its folder.
    pub folder: PathBuf,
    /// What its sources declare.
    pub declared: Vec<rust::Declared>,
}

impl Crate {
    fn read(folder: PathBuf) -> Self {
        let files = files_below(&folder.join("src"), ".rs").into_iter();
        let sources = files.map(|file| fs::read_to_string(file).unwrap());
        Self {
            declared: sources.flat_map(|source| rust::declared(&source)).collect(),
            folder,
        }
    }

    /// Returns whether a module of this path has a file of its own.
    pub fn has_module(&self, modules: &[&str]) -> bool {
        let path = self.folder.join("src").join(modules.join("/"));
        path.with_extension("rs").is_file() || path.join("mod.rs").is_file()
    }

    /// Returns whether `lib.rs` gives the item out.
    pub fn gives_out(&self, item: &str) -> bool {
        let library = fs::read_to_string(self.folder.join("src/lib.rs")).unwrap_or_default();
        let mut statements = library.split(';');
        let public = statements.by_ref().filter(|text| text.contains("pub use "));
        public
            .flat_map(|text| text.split(|c: char| !c.is_alphanumeric() && c != '_'))
            .any(|word| word == item)
    }

    /// Returns whether the sources declare the item; with an owner, as its function,
    /// constant or variant.
    pub fn declares(&self, owner: Option<&str>, item: &str) -> bool {
        let fits = |declared: &&rust::Declared| declared.name == item;
        let mut found = self.declared.iter().filter(fits);
        found.any(|declared| owner.is_none() || declared.owner.as_deref() == owner)
    }
}

/// Every crate by the name that code uses for it.
pub fn all() -> BTreeMap<String, Crate> {
    let mut folders = vec![root().join("platform")];
    let entries = fs::read_dir(root().join("crates")).unwrap();
    folders.extend(entries.map(|entry| entry.unwrap().path()));
    let with_manifest = folders.into_iter().filter(|folder| is_crate(folder));
    with_manifest
        .map(|folder| (name_of(&folder), Crate::read(folder)))
        .collect()
}

fn is_crate(folder: &Path) -> bool {
    folder.join("Cargo.toml").is_file()
}

/// The library's name where the manifest gives one, else the package's.
fn name_of(folder: &Path) -> String {
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

/// The sources of the daemons and tools, as paths from the root with their text.
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
