//! Batches, opens and identity saves interrupted at every disk change. Guards
//! against a state that is neither the one before the operation nor the one
//! after it.
#![allow(clippy::unwrap_used)]

mod common;

use common::{
    SMALL_SEGMENTS, SharedDisk, append_batch, disk_with_identity, history, identity, open,
    snapshot_batch, states, vote_batch,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use storage::{Batch, Disk, MemoryDisk, StorageError, Store};
use types::LogIndex;

/// Crashes with random outcome per interrupted operation.
const RANDOM_CRASHES: u64 = 12;
/// Disk changes of the open of an existing folder: write, sync, rename, sync of
/// the folder.
const REOPEN_CHANGES: u64 = 4;
/// Disk changes of the open of a new folder: write, sync, sync of the folder.
const FIRST_OPEN_CHANGES: u64 = 3;

/// Returns the disk after several crashes: with all unsynced changes lost, with
/// all kept, and with random outcomes.
fn crashes(disk: &MemoryDisk) -> Vec<MemoryDisk> {
    let mut outcomes = vec![disk.clone(), disk.clone()];
    outcomes[0].crash_losing_unsynced();
    outcomes[1].crash_keeping_unsynced();
    for seed in 0..RANDOM_CRASHES {
        let mut crashed = disk.clone();
        crashed.crash(&mut ChaCha8Rng::seed_from_u64(seed));
        outcomes.push(crashed);
    }
    outcomes
}

#[test]
fn interrupted_batch_is_applied_completely_or_not_at_all() {
    let batches = history();
    let states = states(&batches);
    let mut disk = disk_with_identity();
    for (position, batch) in batches.iter().enumerate() {
        let mut failed_after = 0;
        loop {
            let shared = SharedDisk::new(disk.clone());
            let has_succeeded = write_failing_after(&shared, batch, failed_after);
            for crashed in crashes(&shared.memory()) {
                let opened = open(crashed);
                let applied = opened.recovered == states[position + 1];
                let unchanged = opened.recovered == states[position];
                assert!(applied || (!has_succeeded && unchanged), "batch {position}");
                check_no_obsolete_files(&opened.store.into_disk());
            }
            if has_succeeded {
                break;
            }
            failed_after += 1;
        }
        let mut store = open(disk).store;
        store.write(batch).unwrap();
        disk = store.into_disk();
    }
}

/// Writes a batch on a disk that fails after `changes` changes. Returns whether
/// the write succeeded.
fn write_failing_after(disk: &SharedDisk, batch: &Batch, changes: u64) -> bool {
    let mut store = open(disk.clone()).store;
    disk.fail_after(changes);
    match store.write(batch) {
        Ok(()) => true,
        Err(StorageError::Disk { .. }) => {
            assert!(matches!(
                store.write(&vote_batch(99)),
                Err(StorageError::Failed)
            ));
            let saved = store.save_identity(&identity(1));
            assert!(matches!(saved, Err(StorageError::Failed)));
            false
        }
        Err(error) => panic!("{error}"),
    }
}

/// Panics unless the disk has at most one snapshot and no temporary file, as
/// after each open.
fn check_no_obsolete_files(disk: &MemoryDisk) {
    let names = disk.list().unwrap();
    let snapshots = names.iter().filter(|name| name.starts_with("snapshot-"));
    assert!(snapshots.count() <= 1, "{names:?}");
    assert!(
        !names.iter().any(|name| name.ends_with(".tmp")),
        "{names:?}"
    );
}

#[test]
fn interrupted_open_loses_no_data() {
    let batches = history();
    let expected = states(&batches).pop().unwrap();
    let mut store = open(disk_with_identity()).store;
    for batch in &batches {
        store.write(batch).unwrap();
    }
    let mut disk = store.into_disk();
    let torn = disk
        .list()
        .unwrap()
        .into_iter()
        .filter(|n| n.starts_with("log-"));
    let torn = torn.max().unwrap();
    disk.damage(&torn, |bytes| bytes.extend([7; 9])).unwrap();
    for changes in 0..8 {
        let shared = SharedDisk::new(disk.clone());
        shared.fail_after(changes);
        let result = Store::open_with(shared.clone(), SMALL_SEGMENTS);
        assert_eq!(result.is_ok(), changes >= REOPEN_CHANGES);
        for crashed in crashes(&shared.memory()) {
            assert_eq!(open(crashed).recovered, expected);
        }
    }
    assert_eq!(open(disk).truncated_bytes, 9);
}

#[test]
fn interrupted_first_open_can_be_repeated() {
    for changes in 0..4 {
        let shared = SharedDisk::default();
        shared.fail_after(changes);
        let result = Store::open_with(shared.clone(), SMALL_SEGMENTS);
        assert_eq!(result.is_ok(), changes >= FIRST_OPEN_CHANGES);
        for crashed in crashes(&shared.memory()) {
            let opened = open(crashed);
            assert_eq!(opened.recovered, Default::default());
            assert_eq!(opened.identity, None);
        }
    }
}

#[test]
fn interrupted_identity_save_leaves_old_or_new_identity() {
    let mut store = open(MemoryDisk::new()).store;
    store.save_identity(&identity(1)).unwrap();
    let disk = store.into_disk();
    for changes in 0..5 {
        let shared = SharedDisk::new(disk.clone());
        let mut store = open(shared.clone()).store;
        shared.fail_after(changes);
        let saved = store.save_identity(&identity(2)).is_ok();
        assert_eq!(saved, changes >= 4);
        for crashed in crashes(&shared.memory()) {
            let recovered = open(crashed).identity.unwrap();
            let is_old = !saved && recovered == identity(1);
            assert!(is_old || recovered == identity(2));
        }
    }
}

#[test]
fn full_disk_fails_store_until_reopened() {
    let mut disk = disk_with_identity();
    disk.set_capacity(Some(700));
    let mut store = open(disk).store;
    let mut written = 0;
    let error = loop {
        match store.write(&append_batch(written + 1..=written + 1, 1)) {
            Ok(()) => written += 1,
            Err(error) => break error,
        }
    };
    assert!(error.to_string().contains("append"), "{error}");
    assert!(matches!(
        store.write(&vote_batch(1)),
        Err(StorageError::Failed)
    ));
    let mut disk = store.into_disk();
    disk.set_capacity(None);
    disk.crash_keeping_unsynced();
    let opened = open(disk);
    assert_eq!(opened.recovered.entries.len() as u64, written);
    let mut store = opened.store;
    store
        .write(&append_batch(written + 1..=written + 1, 1))
        .unwrap();
}

#[test]
fn batch_that_does_not_follow_log_is_rejected_without_change() {
    let mut store = open(disk_with_identity()).store;
    store.write(&append_batch(1..=5, 1)).unwrap();
    store.write(&snapshot_batch(3, 1)).unwrap();
    for invalid in [
        append_batch(7..=7, 1),
        append_batch(3..=4, 1),
        append_batch(0..=0, 1),
    ] {
        let rejected = store.write(&invalid);
        assert!(matches!(rejected, Err(StorageError::InvalidBatch { .. })));
    }
    let mut gap = append_batch(6..=7, 1);
    gap.entries[1].index = LogIndex(8);
    assert!(store.write(&gap).is_err());
    store.write(&snapshot_batch(2, 1)).unwrap();
    store.write(&Batch::default()).unwrap();
    store.write(&append_batch(6..=6, 1)).unwrap();
    let recovered = open(store.into_disk()).recovered;
    let indexes: Vec<u64> = recovered.entries.iter().map(|e| e.index.0).collect();
    assert_eq!(indexes, [4, 5, 6]);
}
