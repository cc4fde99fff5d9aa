//! A coordinator with the simulated disk and state of its machine.

use coordinator::{Coordinator, Input};
use storage::{MemoryDisk, Store};

/// Machine of one coordinator.
pub struct Server {
    /// Running coordinator; `None` if it is stopped or was killed.
    pub core: Option<Coordinator>,
    pub port: u16,
    pub store: Option<Store<MemoryDisk>>,
    /// Whether syncs of the disk do not complete.
    pub disk_held: bool,
    /// Numbers of the writes whose sync has not completed.
    pub held_syncs: Vec<u64>,
    /// Whether the process is frozen: it handles no input and gets no ticks.
    pub frozen: bool,
    /// Inputs that arrived during the freeze.
    pub waiting: Vec<Input>,
    /// Identity of the process if the disk contains none.
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

    /// Creates a machine with the disk of another one.
    pub fn from_disk(port: u16, store: Option<Store<MemoryDisk>>) -> Self {
        Self {
            store,
            ..Self::new(port, u64::from(port - 7_999))
        }
    }
}
