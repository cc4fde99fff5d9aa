//! Every cut and every flipped byte of a log: opened with a correct prefix,
//! or rejected with the file's name. What was synced before the last record is
//! never silently lost.
#![allow(clippy::unwrap_used)]

mod common;

use common::{SMALL_SEGMENTS, SharedDisk, entries, history, open, states, vote};
use consensus::Recovered;
use storage::{Batch, Disk, Identity, MemoryDisk, StorageError, Store, StoreOptions};
use types::{LogIndex, NodeId};

const ONE_SEGMENT: StoreOptions = StoreOptions {
    segment_bytes: 1 << 20,
};

fn written(batches: &[Batch], options: StoreOptions) -> MemoryDisk {
    let opened = Store::open_with(MemoryDisk::new(), options).unwrap();
    let mut store = opened.store;
    let identity = Identity {
        node: NodeId(9),
        cluster: None,
        initial: Default::default(),
    };
    store.save_identity(&identity).unwrap();
    for batch in batches {
        store.write(batch).unwrap();
    }
    store.into_disk()
}

fn last_segment(disk: &MemoryDisk) -> String {
    let names = disk.list().unwrap();
    let segments = names.into_iter().filter(|name| name.starts_with("log-"));
    segments.max().unwrap()
}

fn assert_rejected(result: Result<storage::Opened<MemoryDisk>, StorageError>, file: &str) {
    match result.map(|opened| opened.recovered) {
        Err(StorageError::Damaged { file: named, .. }) => assert_eq!(named, file),
        Err(StorageError::Version { file: named, .. }) => assert_eq!(named, file),
        other => panic!("{file} should have been refused: {other:?}"),
    }
}

fn small_log() -> Vec<Batch> {
    vec![vote(1), entries(1..=2, 1), entries(2..=3, 2), vote(2)]
}

/// End of each record of the last segment, the checkpoint's included.
fn record_ends(batches: &[Batch], options: StoreOptions) -> Vec<usize> {
    (0..=batches.len())
        .map(|count| {
            let disk = written(&batches[..count], options);
            disk.read(&last_segment(&disk)).unwrap().len()
        })
        .collect()
}

#[test]
fn every_cut_of_one_segment_opens_with_the_whole_records_before_it() {
    let batches = small_log();
    let states = states(&batches);
    let disk = written(&batches, ONE_SEGMENT);
    let ends = record_ends(&batches, ONE_SEGMENT);
    let file = last_segment(&disk);
    for length in 0..*ends.last().unwrap() {
        let mut cut = disk.clone();
        cut.damage(&file, |bytes| bytes.truncate(length)).unwrap();
        let result = Store::open_with(cut, ONE_SEGMENT);
        let whole = ends.iter().filter(|end| **end <= length).count();
        if whole == 0 {
            // The first checkpoint was synced before the identity was saved.
            assert_rejected(result, &file);
            continue;
        }
        let opened = result.unwrap();
        assert_eq!(opened.recovered, states[whole - 1], "cut at {length}");
        assert_eq!(
            usize::try_from(opened.truncated_bytes).unwrap(),
            length - ends[whole - 1]
        );
    }
}

#[test]
fn every_flipped_bit_of_one_segment_is_refused_or_cuts_the_last_record_only() {
    let batches = small_log();
    let states = states(&batches);
    let disk = written(&batches, ONE_SEGMENT);
    let ends = record_ends(&batches, ONE_SEGMENT);
    let last_start = ends[ends.len() - 2];
    let file = last_segment(&disk);
    for position in 0..*ends.last().unwrap() {
        for bit in 0..8 {
            let mut flipped = disk.clone();
            flipped
                .damage(&file, |bytes| bytes[position] ^= 1 << bit)
                .unwrap();
            let result = Store::open_with(flipped, ONE_SEGMENT);
            if position < last_start {
                assert_rejected(result, &file);
                continue;
            }
            let opened = result.unwrap();
            assert_eq!(opened.recovered, states[states.len() - 2]);
            assert_eq!(
                usize::try_from(opened.truncated_bytes).unwrap(),
                ends.last().unwrap() - last_start
            );
        }
    }
}

#[test]
fn every_damaged_byte_of_every_file_is_refused_or_cuts_the_last_record_only() {
    // The last record begins a segment, so that the one before it counts as
    // earlier, and both shapes of a rotation are covered.
    for count in 1..=history().len() {
        let batches = &history()[..count];
        let states = states(batches);
        let disk = written(batches, SMALL_SEGMENTS);
        let last = last_segment(&disk);
        for file in disk.list().unwrap() {
            for position in 0..disk.read(&file).unwrap().len() {
                let mut flipped = disk.clone();
                flipped
                    .damage(&file, |bytes| bytes[position] ^= 0x40)
                    .unwrap();
                check_damaged(flipped, &file, &last, &states);
                let mut cut = disk.clone();
                cut.damage(&file, |bytes| bytes.truncate(position)).unwrap();
                if file != last {
                    assert_rejected(Store::open_with(cut, SMALL_SEGMENTS), &file);
                    continue;
                }
                if let Ok(opened) = Store::open_with(cut, SMALL_SEGMENTS) {
                    assert!(states.contains(&opened.recovered));
                }
            }
        }
    }
}

fn check_damaged(disk: MemoryDisk, file: &str, last: &str, states: &[Recovered]) {
    let result = Store::open_with(disk, SMALL_SEGMENTS);
    match result {
        Ok(opened) => {
            assert_eq!(file, last);
            assert_eq!(opened.recovered, states[states.len() - 2]);
            assert!(opened.truncated_bytes > 0);
        }
        // A spoiled start of the last segment may lead back to a snapshot that
        // is no longer there.
        Err(StorageError::Damaged { file: named, .. }) => {
            assert!(named == file || file == last, "{named} for {file}");
        }
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn a_missing_segment_or_snapshot_is_refused() {
    let disk = written(&history(), SMALL_SEGMENTS);
    let last = last_segment(&disk);
    for file in disk.list().unwrap() {
        if file == last || file == "identity" {
            continue;
        }
        let mut missing = disk.clone();
        missing.remove(&file).unwrap();
        missing.sync_folder().unwrap();
        assert_rejected(Store::open_with(missing, SMALL_SEGMENTS), &file);
    }
}

#[test]
fn a_log_or_snapshot_without_its_identity_is_refused() {
    for count in 0..=history().len() {
        let mut missing = written(&history()[..count], SMALL_SEGMENTS);
        missing.remove("identity").unwrap();
        missing.sync_folder().unwrap();
        let shared = SharedDisk::of(missing);
        let changes = shared.memory().changes();
        match Store::open_with(shared.clone(), SMALL_SEGMENTS) {
            Ok(opened) => assert_eq!((count, opened.identity), (0, None)),
            Err(error) => {
                assert!(matches!(error, StorageError::IdentityMissing), "{error}");
                assert!(error.to_string().contains("no identity file"));
                assert!(count > 0, "an empty log");
                assert_eq!(shared.memory().changes(), changes, "it stays as it was");
            }
        }
    }
}

#[test]
fn a_refused_folder_stays_as_it_was() {
    let mut disk = written(&small_log(), ONE_SEGMENT);
    let file = last_segment(&disk);
    disk.damage(&file, |bytes| bytes[30] ^= 1).unwrap();
    let changes = disk.changes();
    let (mut before, mut after) = (disk.clone(), disk);
    before.fail_from(changes);
    assert_rejected(Store::open_with(before, ONE_SEGMENT), &file);
    after.damage(&file, |bytes| bytes[30] ^= 1).unwrap();
    assert_eq!(open(after).truncated_bytes, 0);
}

#[test]
fn another_format_version_is_named() {
    let mut disk = written(&small_log(), ONE_SEGMENT);
    let file = last_segment(&disk);
    disk.damage(&file, |bytes| {
        bytes[8..12].copy_from_slice(&7u32.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..20]);
        bytes[20..24].copy_from_slice(&checksum.to_le_bytes());
    })
    .unwrap();
    match Store::open(disk).map(|opened| opened.recovered) {
        Err(StorageError::Version {
            found, supported, ..
        }) => {
            assert_eq!((found, supported), (7, storage::FORMAT_VERSION));
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_torn_record_whose_payload_holds_a_copied_record_is_cut() {
    let copied = {
        let disk = written(&small_log(), ONE_SEGMENT);
        disk.read(&last_segment(&disk)).unwrap()
    };
    let mut batch = entries(1..=1, 1);
    batch.entries[0].payload = consensus::Payload::Command(copied.into());
    let mut disk = written(&[vote(1), batch], ONE_SEGMENT);
    let file = last_segment(&disk);
    disk.damage(&file, |bytes| {
        bytes.pop();
    })
    .unwrap();
    let opened = Store::open(disk).unwrap();
    assert!(opened.recovered.entries.is_empty());
    assert_eq!(opened.recovered.hard_state.commit, LogIndex(1));
}
