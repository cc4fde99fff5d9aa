//! A disk in memory that loses what was not synced, for simulation and tests.
//!
//! Written and synced are kept apart for the bytes of each file and for the
//! names in the folder. A crash may keep any prefix of a file's unsynced
//! bytes, spoil its end, and keep or lose each unsynced change of a name.
//! Content is shared between clones until one of them writes.

use crate::Disk;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;

/// One file is spoiled in this many crashes with unsynced bytes.
const SPOIL_ONE_IN: u32 = 3;
/// Most bytes spoiled at the end of what a crash keeps.
const MAX_SPOILED_BYTES: usize = 64;

#[derive(Debug, Clone, Default)]
struct File {
    /// Content as read back.
    bytes: Arc<Vec<u8>>,
    /// Bytes from the start that a crash keeps, unless `replaced` is set.
    synced: usize,
    /// Synced content that was overwritten or cut since.
    replaced: Option<Arc<Vec<u8>>>,
}

/// A change of names that the folder's sync makes durable.
#[derive(Debug, Clone)]
enum NameChange {
    Create { name: String, file: u64 },
    Rename { from: String, to: String, file: u64 },
    Remove { name: String },
}

/// A folder in memory.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    files: BTreeMap<u64, File>,
    next_file: u64,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    unsynced_names: Vec<NameChange>,
    changes: u64,
    fail_from: Option<u64>,
    capacity: Option<u64>,
}

impl MemoryDisk {
    /// An empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Loses power: what was not synced is kept or lost by the draws of `rng`.
    /// Injected errors end.
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

    /// Loses power and everything that was not synced.
    pub fn crash_losing_unsynced(&mut self) {
        for file in self.files.values_mut() {
            file.keep_synced();
        }
        self.restart();
    }

    /// Loses power right after everything reached the disk by itself.
    pub fn crash_keeping_unsynced(&mut self) {
        self.synced_names = self.names.clone();
        for file in self.files.values_mut() {
            file.sync();
        }
        self.restart();
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    /// Changes asked for so far: writes, syncs, renames, removals.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Lets every change from the given one on fail, until the next crash. A
    /// write or append that fails first leaves half of its bytes.
    pub fn fail_from(&mut self, change: u64) {
        self.fail_from = Some(change);
    }

    /// Bounds the bytes of all files together; a write past it leaves what
    /// fits, and fails.
    pub fn set_capacity(&mut self, bytes: Option<u64>) {
        self.capacity = bytes;
    }

    /// Changes a file's synced content, as damage would.
    pub fn damage(&mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) -> io::Result<()> {
        let file = self.file_mut(name)?;
        change(Arc::make_mut(&mut file.bytes));
        file.sync();
        Ok(())
    }

    fn restart(&mut self) {
        self.unsynced_names.clear();
        self.names = self.synced_names.clone();
        self.drop_nameless();
        self.fail_from = None;
    }

    fn drop_nameless(&mut self) {
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

    fn file_or_new(&mut self, name: &str) -> &mut File {
        let number = match self.names.get(name) {
            Some(number) => *number,
            None => self.create(name),
        };
        self.files.entry(number).or_default()
    }

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

    /// Counts a change; false when it is to fail.
    fn begin(&mut self) -> bool {
        let change = self.changes;
        self.changes += 1;
        self.fail_from.is_none_or(|first| change < first)
    }

    fn begin_file_write(&mut self) -> io::Result<()> {
        if self.begin() {
            Ok(())
        } else {
            Err(injected())
        }
    }

    /// How many of `wanted` new bytes can be written, and the error if not all.
    fn admit(&mut self, wanted: usize, freed: usize) -> (usize, io::Result<()>) {
        let first_failure = self.fail_from == Some(self.changes);
        if !self.begin() {
            let half = if first_failure { wanted / 2 } else { 0 };
            return (half, Err(injected()));
        }
        let Some(capacity) = self.capacity else {
            return (wanted, Ok(()));
        };
        let used: usize = self.files.values().map(|file| file.bytes.len()).sum();
        let free = (capacity as usize).saturating_sub(used - freed);
        if wanted <= free {
            return (wanted, Ok(()));
        }
        (free, Err(io::ErrorKind::StorageFull.into()))
    }
}

impl File {
    fn sync(&mut self) {
        self.synced = self.bytes.len();
        self.replaced = None;
    }

    fn keep_synced(&mut self) {
        match self.replaced.take() {
            Some(old) => self.bytes = old,
            None if self.synced < self.bytes.len() => {
                Arc::make_mut(&mut self.bytes).truncate(self.synced);
            }
            None => {}
        }
        self.sync();
    }

    /// Puts other content in place; the synced one may come back.
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

    fn crash(&mut self, rng: &mut impl Rng) {
        if self.replaced.is_some() && rng.random() {
            self.keep_synced();
            return;
        }
        let unsynced = self.bytes.len() - self.synced;
        if unsynced > 0 {
            let retained = self.synced + rng.random_range(0..=unsynced);
            let synced = self.synced;
            let bytes = Arc::make_mut(&mut self.bytes);
            bytes.truncate(retained);
            if rng.random_ratio(1, SPOIL_ONE_IN) {
                spoil_end(bytes, synced, rng);
            }
        }
        self.sync();
    }
}

/// Overwrites the last unsynced bytes with noise.
fn spoil_end(bytes: &mut [u8], synced: usize, rng: &mut impl Rng) {
    let start = synced.max(bytes.len().saturating_sub(MAX_SPOILED_BYTES));
    let Some(end) = bytes.get_mut(start..) else {
        return;
    };
    if rng.random() {
        rng.fill(end);
    } else {
        end.fill(0);
    }
}

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

fn injected() -> io::Error {
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
        let (admitted, result) = self.admit(bytes.len(), freed);
        let written = bytes.iter().take(admitted).copied().collect();
        self.file_or_new(file).replace(written);
        result
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let (admitted, result) = self.admit(bytes.len(), 0);
        let file = self.file_or_new(file);
        Arc::make_mut(&mut file.bytes).extend(bytes.iter().take(admitted));
        result
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.begin_file_write()?;
        let file = self.file_mut(file)?;
        let mut bytes = file.bytes.as_ref().clone();
        bytes.truncate(length as usize);
        file.replace(bytes);
        Ok(())
    }

    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        self.begin_file_write()?;
        self.file_mut(file)?.sync();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.begin_file_write()?;
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
        self.drop_nameless();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_file_write()?;
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
        self.begin_file_write()?;
        self.names.remove(file).ok_or_else(not_found)?;
        self.unsynced_names.push(NameChange::Remove {
            name: file.to_owned(),
        });
        Ok(())
    }
}
