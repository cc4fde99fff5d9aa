//! Snapshots, rotations and identities interrupted at every disk change.
#![allow(clippy::unwrap_used)]

mod common;

use common::{
    SMALL_SEGMENTS, SharedDisk, entries, founded, history, identity, install, open, states, vote,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use storage::{Batch, Disk, MemoryDisk, StorageError, Store};
use types::LogIndex;

const SEEDS_EACH: u64 = 12;
/// Write, sync, rename, sync of the folder.
const REOPEN_CHANGES: u64 = 4;
/// Write, sync, sync of the folder.
const FIRST_OPEN_CHANGES: u64 = 3;

/// Every outcome of a crash: nothing unsynced kept, all kept, and draws.
fn crashes(disk: &MemoryDisk) -> Vec<MemoryDisk> {
    let mut outcomes = vec![disk.clone(), disk.clone()];
    outcomes[0].crash_losing_unsynced();
    outcomes[1].crash_keeping_unsynced();
    for seed in 0..SEEDS_EACH {
        let mut crashed = disk.clone();
        crashed.crash(&mut ChaCha8Rng::seed_from_u64(seed));
        outcomes.push(crashed);
    }
    outcomes
}

#[test]
fn a_batch_interrupted_anywhere_is_there_whole_or_not_at_all() {
    let batches = history();
    let states = states(&batches);
    let mut disk = founded();
    for (position, batch) in batches.iter().enumerate() {
        let mut failed_after = 0;
        loop {
            let shared = SharedDisk::of(disk.clone());
            let done = write_failing_after(&shared, batch, failed_after);
            for crashed in crashes(&shared.memory()) {
                let opened = open(crashed);
                let applied = opened.recovered == states[position + 1];
                let untouched = opened.recovered == states[position];
                assert!(applied || (!done && untouched), "batch {position}");
                check_tidy(&opened.store.into_disk());
            }
            if done {
                break;
            }
            failed_after += 1;
        }
        let mut store = open(disk).store;
        store.write(batch).unwrap();
        disk = store.into_disk();
    }
}

/// Writes on a disk that fails after some changes; true when that was enough.
fn write_failing_after(disk: &SharedDisk, batch: &Batch, changes: u64) -> bool {
    let mut store = open(disk.clone()).store;
    disk.fail_after(changes);
    match store.write(batch) {
        Ok(()) => true,
        Err(StorageError::Disk { .. }) => {
            assert!(matches!(store.write(&vote(99)), Err(StorageError::Failed)));
            let saved = store.save_identity(&identity(1));
            assert!(matches!(saved, Err(StorageError::Failed)));
            false
        }
        Err(error) => panic!("{error}"),
    }
}

/// After an open there is at most one snapshot and no temporary file.
fn check_tidy(disk: &MemoryDisk) {
    let names = disk.list().unwrap();
    let snapshots = names.iter().filter(|name| name.starts_with("snapshot-"));
    assert!(snapshots.count() <= 1, "{names:?}");
    assert!(
        !names.iter().any(|name| name.ends_with(".tmp")),
        "{names:?}"
    );
}

#[test]
fn an_open_interrupted_anywhere_loses_nothing() {
    let batches = history();
    let expected = states(&batches).pop().unwrap();
    let mut store = open(founded()).store;
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
        let shared = SharedDisk::of(disk.clone());
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
fn a_first_open_interrupted_anywhere_can_be_repeated() {
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
fn an_identity_is_the_old_one_or_the_new_one() {
    let mut store = open(MemoryDisk::new()).store;
    store.save_identity(&identity(1)).unwrap();
    let disk = store.into_disk();
    for changes in 0..5 {
        let shared = SharedDisk::of(disk.clone());
        let mut store = open(shared.clone()).store;
        shared.fail_after(changes);
        let saved = store.save_identity(&identity(2)).is_ok();
        assert_eq!(saved, changes >= 4);
        for crashed in crashes(&shared.memory()) {
            let found = open(crashed).identity.unwrap();
            let old = !saved && found == identity(1);
            assert!(old || found == identity(2));
        }
    }
}

#[test]
fn a_full_disk_stops_the_store_until_it_is_opened_again() {
    let mut disk = founded();
    disk.set_capacity(Some(700));
    let mut store = open(disk).store;
    let mut written = 0;
    let error = loop {
        match store.write(&entries(written + 1..=written + 1, 1)) {
            Ok(()) => written += 1,
            Err(error) => break error,
        }
    };
    assert!(error.to_string().contains("append"), "{error}");
    assert!(matches!(store.write(&vote(1)), Err(StorageError::Failed)));
    let mut disk = store.into_disk();
    disk.set_capacity(None);
    disk.crash_keeping_unsynced();
    let opened = open(disk);
    assert_eq!(opened.recovered.entries.len() as u64, written);
    let mut store = opened.store;
    store.write(&entries(written + 1..=written + 1, 1)).unwrap();
}

#[test]
fn batches_that_do_not_join_the_log_are_refused_and_change_nothing() {
    let mut store = open(founded()).store;
    store.write(&entries(1..=5, 1)).unwrap();
    store.write(&install(3, 1)).unwrap();
    for wrong in [entries(7..=7, 1), entries(3..=4, 1), entries(0..=0, 1)] {
        let rejected = store.write(&wrong);
        assert!(matches!(rejected, Err(StorageError::InvalidBatch { .. })));
    }
    let mut gap = entries(6..=7, 1);
    gap.entries[1].index = LogIndex(8);
    assert!(store.write(&gap).is_err());
    store.write(&install(2, 1)).unwrap();
    store.write(&Batch::default()).unwrap();
    store.write(&entries(6..=6, 1)).unwrap();
    let recovered = open(store.into_disk()).recovered;
    let indexes: Vec<u64> = recovered.entries.iter().map(|e| e.index.0).collect();
    assert_eq!(indexes, [4, 5, 6]);
}
