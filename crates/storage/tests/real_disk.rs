//! Store and disk operations on a folder of the file system.
#![allow(clippy::unwrap_used)]

mod common;

use common::{history, identity, open, states};
use std::path::PathBuf;
use storage::{Disk, DiskOperation, RealDisk, StorageError};

/// Returns the path of a temporary folder, which is removed if it exists.
fn removed_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn each_reopen_recovers_all_written_batches() {
    let folder = removed_folder("history").join("deeper/data");
    let batches = history();
    let states = states(&batches);
    for (position, batch) in batches.iter().enumerate() {
        let mut opened = open(RealDisk::open(&folder).unwrap());
        assert_eq!(opened.recovered, states[position]);
        if position == 0 {
            opened.store.save_identity(&identity(1)).unwrap();
        }
        opened.store.write(batch).unwrap();
    }
    let opened = open(RealDisk::open(&folder).unwrap());
    assert_eq!(opened.recovered, states[batches.len()]);
}

#[test]
fn open_of_locked_folder_is_rejected() {
    let folder = removed_folder("in_use");
    let first = RealDisk::open(&folder).unwrap();
    let second = RealDisk::open(&folder);
    assert!(matches!(
        second,
        Err(StorageError::Disk {
            operation: DiskOperation::Lock,
            ..
        })
    ));
    drop(first);
    RealDisk::open(&folder).unwrap();
}

/// Guards against a race: concurrent opens create the same missing parent, and an
/// open must not fail because another one created it first.
#[test]
fn concurrent_opens_create_missing_parent_folder() {
    for round in 0..50 {
        let parent = removed_folder("race").join(format!("round-{round}"));
        let start = std::sync::Barrier::new(4);
        std::thread::scope(|scope| {
            for number in 0..4 {
                let folder = parent.join(format!("data-{number}"));
                let start = &start;
                scope.spawn(move || {
                    start.wait();
                    RealDisk::open(folder).unwrap();
                });
            }
        });
    }
}

#[test]
fn file_operations_change_content_and_names() {
    let mut disk = RealDisk::open(removed_folder("files")).unwrap();
    disk.append("a", b"one").unwrap();
    disk.append("a", b"two").unwrap();
    disk.sync_file("a").unwrap();
    disk.truncate("a", 4).unwrap();
    disk.append("a", b"!").unwrap();
    disk.rename("a", "b").unwrap();
    disk.append("a", b"new").unwrap();
    disk.write("b2", b"x").unwrap();
    disk.remove("b2").unwrap();
    disk.sync_folder().unwrap();
    assert_eq!(disk.read("b").unwrap(), b"onet!");
    assert_eq!(disk.read("a").unwrap(), b"new");
    assert_eq!(disk.list().unwrap(), ["a", "b", "lock"]);
}
