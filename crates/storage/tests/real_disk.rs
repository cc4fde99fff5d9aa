//! The store on a folder of the operating system.
#![allow(clippy::unwrap_used)]

mod common;

use common::{history, identity, open, states};
use std::path::PathBuf;
use storage::{Disk, DiskOperation, RealDisk, StorageError};

fn fresh_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[test]
fn a_history_is_read_back_after_each_reopen() {
    let folder = fresh_folder("history").join("deeper/data");
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
fn a_folder_in_use_is_refused() {
    let folder = fresh_folder("in_use");
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

#[test]
fn folders_below_one_missing_parent_are_made_at_once() {
    for round in 0..50 {
        let parent = fresh_folder("race").join(format!("round-{round}"));
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
fn files_change_as_asked() {
    let mut disk = RealDisk::open(fresh_folder("files")).unwrap();
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
