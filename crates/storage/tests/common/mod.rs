//! Test support: a disk shared between test and store, a model of the store, and
//! builders of batches and identities.
#![allow(dead_code, clippy::unwrap_used)]

use consensus::{Entry, HardState, Payload, Recovered, Snapshot, SnapshotMeta};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use storage::{Batch, Disk, Identity, MemoryDisk, Opened, Store, StoreOptions};
use types::{ClusterId, LogIndex, NodeId, Term};

/// Options with segments that a few batches fill.
pub const SMALL_SEGMENTS: StoreOptions = StoreOptions { segment_bytes: 160 };

/// Disk whose clones share one [`MemoryDisk`]. It can skip syncs, as a faulty
/// store would.
#[derive(Debug, Clone, Default)]
pub struct SharedDisk {
    pub memory: Arc<Mutex<MemoryDisk>>,
    /// Whether syncs of files have no effect.
    pub skips_file_syncs: bool,
    /// Whether syncs of the folder have no effect.
    pub skips_folder_syncs: bool,
}

impl SharedDisk {
    pub fn new(memory: MemoryDisk) -> Self {
        Self {
            memory: Arc::new(Mutex::new(memory)),
            ..Self::default()
        }
    }

    pub fn memory(&self) -> MutexGuard<'_, MemoryDisk> {
        self.memory.lock().unwrap()
    }

    /// Makes all changes fail after `changes` more have succeeded.
    pub fn fail_after(&self, changes: u64) {
        let mut memory = self.memory();
        let first = memory.changes() + changes;
        memory.fail_from(first);
    }
}

impl Disk for SharedDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.memory().list()
    }
    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        self.memory().read(file)
    }
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.memory().write(file, bytes)
    }
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.memory().append(file, bytes)
    }
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        self.memory().truncate(file, length)
    }
    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        if self.skips_file_syncs {
            return Ok(());
        }
        self.memory().sync_file(file)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        if self.skips_folder_syncs {
            return Ok(());
        }
        self.memory().sync_folder()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.memory().rename(from, to)
    }
    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.memory().remove(file)
    }
}

pub fn entry(index: u64, term: u64) -> Entry {
    let text = format!("command {index} of term {term}");
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(Arc::from(text.as_bytes())),
    }
}

/// Builds a batch that appends the entries of `indexes`.
pub fn append_batch(indexes: impl Iterator<Item = u64>, term: u64) -> Batch {
    Batch {
        entries: indexes.map(|index| entry(index, term)).collect(),
        ..Batch::default()
    }
}

pub fn hard_state(term: u64) -> HardState {
    HardState {
        term: Term(term),
        voted_for: Some(NodeId(term * 7)),
        commit: LogIndex(term),
    }
}

/// Builds a batch with the hard state of `term`.
pub fn vote_batch(term: u64) -> Batch {
    Batch {
        hard_state: Some(hard_state(term)),
        ..Batch::default()
    }
}

pub fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        meta: SnapshotMeta {
            index: LogIndex(index),
            term: Term(term),
            membership: consensus::Membership {
                voters: BTreeMap::from([(NodeId(1), "127.0.0.1:7001".parse().unwrap())]),
                ..Default::default()
            },
        },
        data: Arc::from(format!("state at {index}").repeat(5).as_bytes()),
    }
}

/// Builds a batch with a snapshot that covers the log up to `index`.
pub fn snapshot_batch(index: u64, term: u64) -> Batch {
    Batch {
        snapshot: Some(snapshot(index, term)),
        ..Batch::default()
    }
}

pub fn identity(node: u64) -> Identity {
    Identity {
        node: NodeId(node),
        cluster: Some(ClusterId(3)),
        initial: Default::default(),
    }
}

/// Creates a disk with an identity and an empty log, as a coordinator has before
/// its first batch.
pub fn disk_with_identity() -> MemoryDisk {
    let mut store = open(MemoryDisk::new()).store;
    store.save_identity(&identity(1)).unwrap();
    store.into_disk()
}

/// Opens a store with [`SMALL_SEGMENTS`]; panics if the folder is rejected.
pub fn open<D: Disk>(disk: D) -> Opened<D> {
    Store::open_with(disk, SMALL_SEGMENTS).unwrap_or_else(|error| panic!("open failed: {error}"))
}

/// Applies a batch to the model, as a reference for [`Store::write`].
pub fn apply(model: &mut Recovered, batch: &Batch) {
    if let Some(hard_state) = batch.hard_state {
        model.hard_state = hard_state;
    }
    if let Some(snapshot) = &batch.snapshot {
        install_snapshot(model, snapshot);
    }
    if let Some(first) = batch.entries.first() {
        model.entries.retain(|entry| entry.index < first.index);
        model.entries.extend(batch.entries.iter().cloned());
    }
}

fn install_snapshot(model: &mut Recovered, snapshot: &Snapshot) {
    let current = model.snapshot.as_ref().map(|snapshot| &snapshot.meta);
    if current.is_some_and(|meta| meta.index > snapshot.meta.index) {
        return;
    }
    let position = (snapshot.meta.index, snapshot.meta.term);
    let log_contains = current.is_some_and(|meta| (meta.index, meta.term) == position)
        || model
            .entries
            .iter()
            .any(|entry| (entry.index, entry.term) == position);
    model
        .entries
        .retain(|entry| log_contains && entry.index > snapshot.meta.index);
    model.snapshot = Some(snapshot.clone());
}

/// Returns the model's state after each prefix of `batches`: after none, after
/// the first, and so on.
pub fn states(batches: &[Batch]) -> Vec<Recovered> {
    let mut state = Recovered::default();
    let mut states = vec![state.clone()];
    for batch in batches {
        apply(&mut state, batch);
        states.push(state.clone());
    }
    states
}

/// Returns batches with votes, overwrites, rotations, an own snapshot followed by
/// further entries of the log, and a received snapshot that is ahead of the log.
pub fn history() -> Vec<Batch> {
    let mut entries_and_vote = append_batch(4..=6, 2);
    entries_and_vote.hard_state = Some(hard_state(2));
    let mut received = snapshot_batch(20, 4);
    received.hard_state = Some(hard_state(4));
    received.entries = append_batch(21..=22, 4).entries;
    vec![
        vote_batch(1),
        append_batch(1..=5, 1),
        entries_and_vote,
        append_batch(7..=9, 2),
        snapshot_batch(6, 2),
        append_batch(9..=12, 3),
        vote_batch(3),
        received,
        append_batch(23..=25, 4),
        vote_batch(5),
        append_batch(25..=27, 5),
        append_batch(28..=28, 5),
    ]
}
