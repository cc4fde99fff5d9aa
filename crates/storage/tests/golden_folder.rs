//! Guards against unintended changes of the storage format: a data folder
//! recorded by an earlier build must open completely, and the same operations
//! must write the same bytes.
//!
//! If the files differ, the test keeps the files that it wrote in the target
//! folder for temporary files, and names that folder.
#![allow(clippy::unwrap_used)]

mod common;

use common::{SMALL_SEGMENTS, open, states};
use consensus::{Entry, HardState, Membership, Payload, Snapshot, SnapshotMeta};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use storage::{Batch, FORMAT_VERSION, Identity, Opened, RealDisk, Store};
use types::{ClusterId, LogIndex, NodeId, Term};

/// Format version of the recorded files.
const RECORDED_VERSION: u32 = 1;
/// Folder of the recorded files.
const RECORDED_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/folder");
/// Lock file, which is empty and not recorded.
const LOCK_FILE: &str = "lock";
/// Length of each command, in bytes.
const COMMAND_BYTES: usize = 24;

type Files = BTreeMap<String, Vec<u8>>;

/// Builds a membership with a voter for each port and one learner.
fn membership(ports: &[u16], learner: u16) -> Membership {
    let member = |port: &u16| {
        let socket = format!("10.20.30.40:{port}").parse().unwrap();
        (NodeId(u64::from(*port) + 1), socket)
    };
    Membership {
        voters: ports.iter().map(member).collect(),
        learners: BTreeMap::from([member(&learner)]),
    }
}

fn identity() -> Identity {
    Identity {
        node: NodeId(7_002),
        cluster: Some(ClusterId(4_242)),
        initial: membership(&[7_001, 7_002, 7_003], 7_004),
    }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload,
    }
}

/// Builds an entry whose command is derived from index and term, so that a
/// misplaced entry is detected.
fn command(index: u64, term: u64) -> Entry {
    let bytes = vec![u8::try_from(index + 16 * term).unwrap(); COMMAND_BYTES];
    entry(index, term, Payload::Command(Arc::from(bytes)))
}

fn commands(indexes: impl Iterator<Item = u64>, term: u64) -> Batch {
    Batch {
        hard_state: None,
        snapshot: None,
        entries: indexes.map(|index| command(index, term)).collect(),
    }
}

fn hard_state(term: u64, voted_for: Option<NodeId>, commit: u64) -> HardState {
    HardState {
        term: Term(term),
        voted_for,
        commit: LogIndex(commit),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        meta: SnapshotMeta {
            index: LogIndex(6),
            term: Term(3),
            membership: membership(&[7_002, 7_003, 7_004], 7_005),
        },
        data: (0..=255).collect(),
    }
}

/// Returns the batches of the recorded folder: a vote, entries, some of them
/// overwritten by a later leader, an own snapshot, and entries that fill several
/// segments after it.
fn batches() -> Vec<Batch> {
    let mut first = commands(2..=8, 2);
    first.hard_state = Some(hard_state(2, Some(NodeId(7_003)), 1));
    first.entries.insert(0, entry(1, 2, Payload::Noop));
    let mut overwriting = commands(6..=7, 3);
    let change = Payload::Membership(membership(&[7_002, 7_003, 7_004], 7_005));
    overwriting.entries.insert(0, entry(5, 3, change));
    let own_snapshot = Batch {
        hard_state: Some(hard_state(3, None, 7)),
        snapshot: Some(snapshot()),
        entries: Vec::new(),
    };
    let change = Payload::Membership(membership(&[7_002, 7_003, 7_004, 7_006], 7_007));
    let mut last = commands(14..=15, 4);
    last.hard_state = Some(hard_state(4, Some(NodeId(7_002)), 13));
    last.entries.push(entry(16, 4, change));
    vec![
        first,
        overwriting,
        own_snapshot,
        commands(8..=11, 3),
        commands(12..=13, 3),
        last,
    ]
}

/// Returns the path of a temporary folder.
fn temporary_folder(name: &str) -> PathBuf {
    let folders = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    folders.join("golden-folder").join(name)
}

/// Returns the path of a temporary folder, which is removed if it exists.
fn removed_folder(name: &str) -> PathBuf {
    let folder = temporary_folder(name);
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Reads all files of a folder except the lock file.
fn read_files(folder: &Path) -> Files {
    let listed = fs::read_dir(folder).into_iter().flatten();
    let names = listed.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names
        .filter(|name| name != LOCK_FILE)
        .map(|name| {
            let bytes = fs::read(folder.join(&name)).unwrap();
            (name, bytes)
        })
        .collect()
}

fn recorded_files() -> Files {
    read_files(Path::new(RECORDED_FOLDER))
}

fn open_folder(folder: &Path) -> Opened<RealDisk> {
    open(RealDisk::open(folder).unwrap())
}

/// Copies the recorded files to a temporary folder and opens it.
fn open_copy(name: &str) -> Opened<RealDisk> {
    let folder = removed_folder(name);
    fs::create_dir_all(&folder).unwrap();
    for (file, bytes) in recorded_files() {
        fs::write(folder.join(file), bytes).unwrap();
    }
    open_folder(&folder)
}

/// Panics unless the files of `folder` equal the recorded ones.
fn assert_equals_recorded(folder: &Path) {
    let (actual, recorded) = (read_files(folder), recorded_files());
    let names = actual.keys().chain(recorded.keys());
    let differing: Vec<&String> = names
        .filter(|name| actual.get(*name) != recorded.get(*name))
        .collect();
    assert!(
        differing.is_empty(),
        "{differing:?} of {} differ from the recorded files",
        folder.display()
    );
}

#[test]
fn recorded_operations_write_identical_files() {
    assert_eq!(FORMAT_VERSION, RECORDED_VERSION);
    let folder = removed_folder("written");
    let mut store = open_folder(&folder).store;
    store.save_identity(&identity()).unwrap();
    for batch in batches() {
        store.write(&batch).unwrap();
    }
    drop(store);
    assert_equals_recorded(&folder);
}

#[test]
fn recorded_folder_opens_with_complete_state() {
    let opened = open_copy("read");
    assert_eq!(opened.identity, Some(identity()));
    assert_eq!(opened.truncated_bytes, 0);
    let recovered = opened.recovered;
    assert_eq!(recovered.hard_state, hard_state(4, Some(NodeId(7_002)), 13));
    assert_eq!(recovered.snapshot, Some(snapshot()));
    let indexes: Vec<u64> = recovered
        .entries
        .iter()
        .map(|entry| entry.index.0)
        .collect();
    assert_eq!(indexes, (7..=16).collect::<Vec<u64>>());
    assert_eq!(recovered, states(&batches())[batches().len()]);
}

#[test]
fn opening_recorded_folder_leaves_files_unchanged() {
    drop(open_copy("reread"));
    assert_equals_recorded(&temporary_folder("reread"));
}

#[test]
fn recorded_folder_accepts_further_batches() {
    let mut opened = open_copy("continued");
    let more = commands(17..=18, 4);
    opened.store.write(&more).unwrap();
    let disk = opened.store.into_disk();
    let reopened = Store::open_with(disk, SMALL_SEGMENTS).unwrap();
    let mut expected = opened.recovered;
    expected.entries.extend(more.entries);
    assert_eq!(reopened.recovered, expected);
}
