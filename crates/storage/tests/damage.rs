//! Damage to data folders: files truncated at every length or with a flipped bit
//! at every position, and missing files. Guards against the silent loss of
//! records before the last one: the store must open with a correct prefix of
//! the batches, or reject the folder and name the file.
#![allow(clippy::unwrap_used)]

mod common;

use common::{SMALL_SEGMENTS, SharedDisk, append_batch, history, open, states, vote_batch};
use consensus::Recovered;
use storage::{Batch, Disk, Identity, MemoryDisk, StorageError, Store, StoreOptions};
use types::{LogIndex, NodeId};

/// Options with which the whole log of a test is in one segment.
const ONE_SEGMENT: StoreOptions = StoreOptions {
    segment_bytes: 1 << 20,
};

/// Returns a disk with an identity and the given batches.
fn disk_with_batches(batches: &[Batch], options: StoreOptions) -> MemoryDisk {
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

/// Returns the name of the newest segment.
fn last_segment(disk: &MemoryDisk) -> String {
    let names = disk.list().unwrap();
    let segments = names.into_iter().filter(|name| name.starts_with("log-"));
    segments.max().unwrap()
}

/// Panics unless the open was rejected because of `file`.
fn assert_rejected(result: Result<storage::Opened<MemoryDisk>, StorageError>, file: &str) {
    match result.map(|opened| opened.recovered) {
        Err(StorageError::Damaged { file: reported, .. }) => assert_eq!(reported, file),
        Err(StorageError::Version { file: reported, .. }) => assert_eq!(reported, file),
        other => panic!("{file} must be rejected: {other:?}"),
    }
}

fn small_log() -> Vec<Batch> {
    vec![
        vote_batch(1),
        append_batch(1..=2, 1),
        append_batch(2..=3, 2),
        vote_batch(2),
    ]
}

/// Returns the end offset of each record of the last segment. The first record
/// is the checkpoint.
fn record_ends(batches: &[Batch], options: StoreOptions) -> Vec<usize> {
    (0..=batches.len())
        .map(|count| {
            let disk = disk_with_batches(&batches[..count], options);
            disk.read(&last_segment(&disk)).unwrap().len()
        })
        .collect()
}

#[test]
fn truncated_segment_opens_with_complete_records() {
    let batches = small_log();
    let states = states(&batches);
    let disk = disk_with_batches(&batches, ONE_SEGMENT);
    let ends = record_ends(&batches, ONE_SEGMENT);
    let file = last_segment(&disk);
    for length in 0..*ends.last().unwrap() {
        let mut truncated = disk.clone();
        truncated
            .damage(&file, |bytes| bytes.truncate(length))
            .unwrap();
        let result = Store::open_with(truncated, ONE_SEGMENT);
        let complete = ends.iter().filter(|end| **end <= length).count();
        if complete == 0 {
            // The first checkpoint was synced before the identity was saved.
            assert_rejected(result, &file);
            continue;
        }
        let opened = result.unwrap();
        assert_eq!(
            opened.recovered,
            states[complete - 1],
            "truncated to {length}"
        );
        assert_eq!(
            usize::try_from(opened.truncated_bytes).unwrap(),
            length - ends[complete - 1]
        );
    }
}

#[test]
fn flipped_bit_is_rejected_or_truncates_last_record_only() {
    let batches = small_log();
    let states = states(&batches);
    let disk = disk_with_batches(&batches, ONE_SEGMENT);
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
fn damaged_byte_in_any_file_is_rejected_or_truncates_last_record_only() {
    // Each prefix of the batches, so that some logs end with the record that
    // begins a segment and others with a later one. Rotations with and without
    // a snapshot are both covered.
    for count in 1..=history().len() {
        let batches = &history()[..count];
        let states = states(batches);
        let disk = disk_with_batches(batches, SMALL_SEGMENTS);
        let last = last_segment(&disk);
        for file in disk.list().unwrap() {
            for position in 0..disk.read(&file).unwrap().len() {
                let mut flipped = disk.clone();
                flipped
                    .damage(&file, |bytes| bytes[position] ^= 0x40)
                    .unwrap();
                check_damaged(flipped, &file, &last, &states);
                let mut truncated = disk.clone();
                truncated
                    .damage(&file, |bytes| bytes.truncate(position))
                    .unwrap();
                if file != last {
                    assert_rejected(Store::open_with(truncated, SMALL_SEGMENTS), &file);
                    continue;
                }
                if let Ok(opened) = Store::open_with(truncated, SMALL_SEGMENTS) {
                    assert!(states.contains(&opened.recovered));
                }
            }
        }
    }
}

/// Panics unless a folder with one damaged byte in `file` is rejected, or opens
/// without the last record.
fn check_damaged(disk: MemoryDisk, file: &str, last: &str, states: &[Recovered]) {
    let result = Store::open_with(disk, SMALL_SEGMENTS);
    match result {
        Ok(opened) => {
            assert_eq!(file, last);
            assert_eq!(opened.recovered, states[states.len() - 2]);
            assert!(opened.truncated_bytes > 0);
        }
        // If the first record of the last segment is damaged, the previous
        // segment may refer to a snapshot that was already removed.
        Err(StorageError::Damaged { file: reported, .. }) => {
            assert!(
                reported == file || file == last,
                "reported {reported} for damage to {file}"
            );
        }
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn missing_segment_or_snapshot_is_rejected() {
    let disk = disk_with_batches(&history(), SMALL_SEGMENTS);
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
fn log_or_snapshot_without_identity_is_rejected() {
    for count in 0..=history().len() {
        let mut missing = disk_with_batches(&history()[..count], SMALL_SEGMENTS);
        missing.remove("identity").unwrap();
        missing.sync_folder().unwrap();
        let shared = SharedDisk::new(missing);
        let changes = shared.memory().changes();
        match Store::open_with(shared.clone(), SMALL_SEGMENTS) {
            Ok(opened) => assert_eq!((count, opened.identity), (0, None)),
            Err(error) => {
                assert!(matches!(error, StorageError::IdentityMissing), "{error}");
                assert!(error.to_string().contains("no identity file"));
                assert!(count > 0, "an empty log must be accepted");
                assert_eq!(
                    shared.memory().changes(),
                    changes,
                    "the folder must be unchanged"
                );
            }
        }
    }
}

/// Guards against an open that writes before it rejects the folder: with a disk
/// that fails every change the error is still the damage, and the folder opens
/// once the damage is reverted.
#[test]
fn rejected_folder_is_unchanged() {
    let mut disk = disk_with_batches(&small_log(), ONE_SEGMENT);
    let file = last_segment(&disk);
    disk.damage(&file, |bytes| bytes[30] ^= 1).unwrap();
    let changes = disk.changes();
    let (mut read_only, mut repaired) = (disk.clone(), disk);
    read_only.fail_from(changes);
    assert_rejected(Store::open_with(read_only, ONE_SEGMENT), &file);
    repaired.damage(&file, |bytes| bytes[30] ^= 1).unwrap();
    assert_eq!(open(repaired).truncated_bytes, 0);
}

#[test]
fn other_format_version_is_reported() {
    let mut disk = disk_with_batches(&small_log(), ONE_SEGMENT);
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

/// Guards against a torn record that is taken for damage because its payload
/// contains the bytes of a valid record.
#[test]
fn torn_record_with_copied_record_in_payload_is_truncated() {
    let copied = {
        let disk = disk_with_batches(&small_log(), ONE_SEGMENT);
        disk.read(&last_segment(&disk)).unwrap()
    };
    let mut batch = append_batch(1..=1, 1);
    batch.entries[0].payload = consensus::Payload::Command(copied.into());
    let mut disk = disk_with_batches(&[vote_batch(1), batch], ONE_SEGMENT);
    let file = last_segment(&disk);
    disk.damage(&file, |bytes| {
        bytes.pop();
    })
    .unwrap();
    let opened = Store::open(disk).unwrap();
    assert!(opened.recovered.entries.is_empty());
    assert_eq!(opened.recovered.hard_state.commit, LogIndex(1));
}
