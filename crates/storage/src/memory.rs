//! In-memory [`Disk`] that loses unsynced data in a crash, for simulation and
//! tests.
//!
//! Written and synced state are separate, for the bytes of each file and for
//! the names in the folder. A crash may keep any prefix of a file's unsynced
//! bytes, corrupt the end of that prefix, and keep or lose each unsynced change
//! of a name. Clones share content until one of them writes.

use crate::Disk;
use crate::convert::to_usize;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;

/// On average one in this many files with unsynced bytes is corrupted in a
/// crash.
const CORRUPT_ONE_IN: u32 = 3;
/// Maximum number of bytes that a crash corrupts at the end of a file.
const MAX_CORRUPTED_BYTES: usize = 64;

/// Content of a file, written and synced.
#[derive(Debug, Clone, Default)]
struct File {
    /// Content that a read returns.
    bytes: Arc<Vec<u8>>,
    /// Number of synced bytes from the start of `bytes`; 0 while `replaced` is
    /// set.
    synced: usize,
    /// Synced content that an unsynced write or truncation replaced. `None` if
    /// the file was only appended to since its last sync.
    replaced: Option<Arc<Vec<u8>>>,
}

/// Change of a name that becomes durable when the folder is synced.
#[derive(Debug, Clone)]
enum NameChange {
    Create { name: String, file: u64 },
    Rename { from: String, to: String, file: u64 },
    Remove { name: String },
}

/// Folder in memory, with injected crashes, errors and damage.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    /// Files by number. A number is never reused, so a file keeps its number
    /// when it is renamed.
    files: BTreeMap<u64, File>,
    next_file: u64,
    /// Numbers of the files by current name.
    names: BTreeMap<String, u64>,
    /// Numbers of the files by name at the last sync of the folder.
    synced_names: BTreeMap<String, u64>,
    /// Changes of names since the last sync of the folder, in order.
    unsynced_names: Vec<NameChange>,
    /// Number of changes so far, failed ones included.
    changes: u64,
    /// Number of the first change that fails; `None` without an injected error.
    fail_from: Option<u64>,
    /// Maximum total size of all files, in bytes; `None` if unlimited.
    capacity: Option<u64>,
}

impl MemoryDisk {
    /// Creates an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates a power loss after which `rng` decides which unsynced changes
    /// are kept. Clears the errors injected by [`MemoryDisk::fail_from`].
    pub fn crash(&mut self, rng: &mut impl Rng) {
        let changes = std::mem::take(&mut self.unsynced_names);
        for change in changes {
            if rng.random() {
                apply_change(&mut self.synced_names, change);
            }
        }
        for file in self.files.values_mut() {
            file.crash(rng);
        }
        self.restart();
    }

    /// Simulates a power loss that loses all unsynced changes.
    pub fn crash_losing_unsynced(&mut self) {
        for file in self.files.values_mut() {
            file.restore_synced();
        }
        self.restart();
    }

    /// Simulates a power loss that keeps all unsynced changes.
    pub fn crash_keeping_unsynced(&mut self) {
        self.synced_names = self.names.clone();
        for file in self.files.values_mut() {
            file.sync();
        }
        self.restart();
    }

    /// Replaces the disk with an empty one, without limit or injected errors.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of changes so far, failed ones included: writes,
    /// truncations, syncs, renames and removals.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Makes every change from number `change` on fail until the next crash. If
    /// the first one that fails is a write or an append, it writes half of its
    /// bytes.
    pub fn fail_from(&mut self, change: u64) {
        self.fail_from = Some(change);
    }

    /// Limits the total size of all files to `bytes`, or removes the limit if
    /// `None`. A write beyond the limit writes the bytes that fit and fails.
    pub fn set_capacity(&mut self, bytes: Option<u64>) {
        self.capacity = bytes;
    }

    /// Changes a file's synced content, to simulate damage.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::NotFound`] if the file does not exist.
    pub fn damage(&mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        let file = self.file_mut(name)?;
        change(Arc::make_mut(&mut file.bytes));
        file.sync();
        Ok(())
    }

    /// Resets the names to the synced ones and clears injected errors.
    fn restart(&mut self) {
        self.unsynced_names.clear();
        self.names = self.synced_names.clone();
        self.drop_unnamed_files();
        self.fail_from = None;
    }

    /// Drops the files that have no current or synced name and that no unsynced
    /// change names.
    fn drop_unnamed_files(&mut self) {
        let mut named: BTreeSet<u64> = self.names.values().copied().collect();
        named.extend(self.synced_names.values());
        for change in &self.unsynced_names {
            if let NameChange::Create { file, .. } | NameChange::Rename { file, .. } = change {
                named.insert(*file);
            }
        }
        self.files.retain(|file, _| named.contains(file));
    }

    fn file(&self, name: &str) -> io::Result<&File> {
        let number = self.names.get(name).ok_or_else(not_found)?;
        self.files.get(number).ok_or_else(not_found)
    }

    fn file_mut(&mut self, name: &str) -> io::Result<&mut File> {
        let number = self.names.get(name).ok_or_else(not_found)?;
        self.files.get_mut(number).ok_or_else(not_found)
    }

    /// Returns the file of this name, and creates it if necessary.
    fn file_or_new(&mut self, name: &str) -> &mut File {
        let number = match self.names.get(name) {
            Some(number) => *number,
            None => self.create(name),
        };
        self.files.entry(number).or_default()
    }

    /// Adds the name of a new file and returns the file's number.
    fn create(&mut self, name: &str) -> u64 {
        let file = self.next_file;
        self.next_file += 1;
        self.names.insert(name.to_owned(), file);
        self.unsynced_names.push(NameChange::Create {
            name: name.to_owned(),
            file,
        });
        file
    }

    /// Counts a change. Returns an error if one is injected for this change.
    fn begin_change(&mut self) -> io::Result<()> {
        let change = self.changes;
        self.changes += 1;
        if self.fail_from.is_some_and(|first| change >= first) {
            return Err(injected_error());
        }
        Ok(())
    }

    /// Counts a write of `requested` bytes that frees `freed` bytes, and returns
    /// how many of them to write, and the result to return.
    fn begin_write(&mut self, requested: usize, freed: usize) -> WriteOutcome {
        let is_first_failure = self.fail_from == Some(self.changes);
        if let Err(error) = self.begin_change() {
            let written = if is_first_failure { requested / 2 } else { 0 };
            return WriteOutcome {
                written,
                result: Err(error),
            };
        }
        let used: usize = self.files.values().map(|file| file.bytes.len()).sum();
        let capacity = self.capacity.map_or(usize::MAX, to_usize);
        let free = capacity.saturating_sub(used - freed);
        if requested <= free {
            return WriteOutcome {
                written: requested,
                result: Ok(()),
            };
        }
        WriteOutcome {
            written: free,
            result: Err(io::ErrorKind::StorageFull.into()),
        }
    }
}

/// Number of bytes that a write writes, and its result.
struct WriteOutcome {
    written: usize,
    result: io::Result<()>,
}

impl File {
    /// Makes the current content the synced one.
    fn sync(&mut self) {
        self.synced = self.bytes.len();
        self.replaced = None;
    }

    /// Restores the synced content.
    fn restore_synced(&mut self) {
        match self.replaced.take() {
            Some(synced) => self.bytes = synced,
            None if self.synced < self.bytes.len() => {
                Arc::make_mut(&mut self.bytes).truncate(self.synced);
            }
            None => {}
        }
        self.sync();
    }

    /// Replaces the content. The synced content is kept in `replaced`, so that a
    /// crash can restore it.
    fn replace(&mut self, bytes: Vec<u8>) {
        let old = std::mem::replace(&mut self.bytes, Arc::new(bytes));
        if self.replaced.is_none() {
            let mut synced = old;
            if self.synced < synced.len() {
                Arc::make_mut(&mut synced).truncate(self.synced);
            }
            self.replaced = Some(synced);
        }
        self.synced = 0;
    }

    /// Simulates a power loss: keeps a random prefix of the unsynced bytes, and
    /// corrupts the end of some files.
    fn crash(&mut self, rng: &mut impl Rng) {
        if self.replaced.is_some() && rng.random() {
            self.restore_synced();
            return;
        }
        let unsynced = self.bytes.len() - self.synced;
        if unsynced > 0 {
            let retained = self.synced + rng.random_range(0..=unsynced);
            let synced = self.synced;
            let bytes = Arc::make_mut(&mut self.bytes);
            bytes.truncate(retained);
            if rng.random_ratio(1, CORRUPT_ONE_IN) {
                corrupt_end(bytes, synced, rng);
            }
        }
        self.sync();
    }
}

/// Overwrites the last bytes, but none of the first `synced` ones, with random
/// bytes or zeros.
fn corrupt_end(bytes: &mut [u8], synced: usize, rng: &mut impl Rng) {
    let start = synced.max(bytes.len().saturating_sub(MAX_CORRUPTED_BYTES));
    let Some(end) = bytes.get_mut(start..) else {
        return;
    };
    if rng.random() {
        rng.fill(end);
    } else {
        end.fill(0);
    }
}

/// Applies a change of a name to `names`.
fn apply_change(names: &mut BTreeMap<String, u64>, change: NameChange) {
    match change {
        NameChange::Create { name, file } => {
            names.insert(name, file);
        }
        NameChange::Rename { from, to, file } => {
            if names.get(&from) == Some(&file) {
                names.remove(&from);
            }
            names.insert(to, file);
        }
        NameChange::Remove { name } => {
            names.remove(&name);
        }
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

fn injected_error() -> io::Error {
    io::Error::other("injected failure")
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        self.file(file).map(|file| file.bytes.as_ref().clone())
    }

    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let freed = self.file(file).map_or(0, |file| file.bytes.len());
        let outcome = self.begin_write(bytes.len(), freed);
        let written = bytes.iter().take(outcome.written).copied().collect();
        self.file_or_new(file).replace(written);
        outcome.result
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let outcome = self.begin_write(bytes.len(), 0);
        let file = self.file_or_new(file);
        Arc::make_mut(&mut file.bytes).extend(bytes.iter().take(outcome.written));
        outcome.result
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.begin_change()?;
        let file = self.file_mut(file)?;
        let mut bytes = file.bytes.as_ref().clone();
        bytes.truncate(to_usize(length));
        file.replace(bytes);
        Ok(())
    }

    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        self.begin_change()?;
        self.file_mut(file)?.sync();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.begin_change()?;
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
        self.drop_unnamed_files();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_change()?;
        let file = self.names.remove(from).ok_or_else(not_found)?;
        self.names.insert(to.to_owned(), file);
        self.unsynced_names.push(NameChange::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
            file,
        });
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.begin_change()?;
        self.names.remove(file).ok_or_else(not_found)?;
        self.unsynced_names.push(NameChange::Remove {
            name: file.to_owned(),
        });
        Ok(())
    }
}
