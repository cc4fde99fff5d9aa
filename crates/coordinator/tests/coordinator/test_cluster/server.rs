//! A coordinator and what belongs to its machine.

use coordinator::{Coordinator, Input};
use storage::{MemoryDisk, Store};

/// A coordinator with its disk.
pub struct Server {
    pub core: Option<Coordinator>,
    pub port: u16,
    pub store: Option<Store<MemoryDisk>>,
    /// While true its syncs do not end.
    pub disk_held: bool,
    pub held_syncs: Vec<u64>,
    /// While true nothing reaches it and its clock does not tick.
    pub frozen: bool,
    pub waiting: Vec<Input>,
    pub next_identity: u64,
    pub stopped: bool,
}

impl Server {
    pub fn new(port: u16, next_identity: u64) -> Self {
        Self {
            core: None,
            port,
            store: None,
            disk_held: false,
            held_syncs: Vec::new(),
            frozen: false,
            waiting: Vec::new(),
            next_identity,
            stopped: false,
        }
    }

    /// One more coordinator with a disk that was taken from another.
    pub fn from_disk(port: u16, store: Option<Store<MemoryDisk>>) -> Self {
        Self {
            store,
            ..Self::new(port, u64::from(port - 7_999))
        }
    }
}
