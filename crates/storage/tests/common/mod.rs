//! A disk that tests reach while a store has it, a model of the store, and
//! builders of what it keeps.
#![allow(dead_code, clippy::unwrap_used)]

use consensus::{Entry, HardState, Payload, Recovered, Snapshot, SnapshotMeta};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use storage::{Batch, Disk, Identity, MemoryDisk, Opened, Store, StoreOptions};
use types::{ClusterId, LogIndex, NodeId, Term};

/// Small enough that a few batches fill a segment.
pub const SMALL_SEGMENTS: StoreOptions = StoreOptions { segment_bytes: 160 };

/// A disk whose clones are the same disk. It can leave out syncs, as a faulty
/// store would.
#[derive(Debug, Clone, Default)]
pub struct SharedDisk {
    pub memory: Arc<Mutex<MemoryDisk>>,
    pub skips_files: bool,
    pub skips_folder: bool,
}

impl SharedDisk {
    pub fn of(memory: MemoryDisk) -> Self {
        Self {
            memory: Arc::new(Mutex::new(memory)),
            ..Self::default()
        }
    }

    pub fn memory(&self) -> MutexGuard<'_, MemoryDisk> {
        self.memory.lock().unwrap()
    }

    /// Lets the changes after the next `changes` fail.
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
        if self.skips_files {
            return Ok(());
        }
        self.memory().sync_file(file)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        if self.skips_folder {
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

pub fn entries(indexes: impl Iterator<Item = u64>, term: u64) -> Batch {
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

pub fn vote(term: u64) -> Batch {
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

pub fn install(index: u64, term: u64) -> Batch {
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

/// A disk with an identity, synced, and nothing else: a coordinator writes no
/// batch before.
pub fn founded() -> MemoryDisk {
    let mut store = open(MemoryDisk::new()).store;
    store.save_identity(&identity(1)).unwrap();
    store.into_disk()
}

pub fn open<D: Disk>(disk: D) -> Opened<D> {
    Store::open_with(disk, SMALL_SEGMENTS).unwrap_or_else(|error| panic!("refused: {error}"))
}

/// What a batch means, said in the plainest way.
pub fn apply(model: &mut Recovered, batch: &Batch) {
    if let Some(hard_state) = batch.hard_state {
        model.hard_state = hard_state;
    }
    if let Some(snapshot) = &batch.snapshot {
        install_into(model, snapshot);
    }
    if let Some(first) = batch.entries.first() {
        model.entries.retain(|entry| entry.index < first.index);
        model.entries.extend(batch.entries.iter().cloned());
    }
}

fn install_into(model: &mut Recovered, snapshot: &Snapshot) {
    let current = model.snapshot.as_ref().map(|snapshot| &snapshot.meta);
    if current.is_some_and(|meta| meta.index > snapshot.meta.index) {
        return;
    }
    let wanted = (snapshot.meta.index, snapshot.meta.term);
    let held = current.is_some_and(|meta| (meta.index, meta.term) == wanted)
        || model
            .entries
            .iter()
            .any(|entry| (entry.index, entry.term) == wanted);
    model
        .entries
        .retain(|entry| held && entry.index > snapshot.meta.index);
    model.snapshot = Some(snapshot.clone());
}

/// States after no batch, the first, the first two, and so on.
pub fn states(batches: &[Batch]) -> Vec<Recovered> {
    let mut state = Recovered::default();
    let mut states = vec![state.clone()];
    for batch in batches {
        apply(&mut state, batch);
        states.push(state.clone());
    }
    states
}

/// A history with votes, overwrites, rotations, an own snapshot that the log
/// goes on behind, and a received one that the log does not hold.
pub fn history() -> Vec<Batch> {
    let mut both = entries(4..=6, 2);
    both.hard_state = Some(hard_state(2));
    let mut received = install(20, 4);
    received.hard_state = Some(hard_state(4));
    received.entries = entries(21..=22, 4).entries;
    vec![
        vote(1),
        entries(1..=5, 1),
        both,
        entries(7..=9, 2),
        install(6, 2),
        entries(9..=12, 3),
        vote(3),
        received,
        entries(23..=25, 4),
        vote(5),
        entries(25..=27, 5),
        entries(28..=28, 5),
    ]
}
