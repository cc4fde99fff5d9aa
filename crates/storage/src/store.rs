//! The store of one coordinator.

use crate::{Disk, StorageError};
use consensus::{Entry, HardState, Membership, Recovered, Snapshot};
use serde::{Deserialize, Serialize};
use types::{ClusterId, NodeId};

/// Who this disk belongs to. Made at the first start, with the cluster and
/// its initial voters added once all initial coordinators agreed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The daemon's identity.
    pub node: NodeId,
    /// The cluster, once it belongs to one.
    pub cluster: Option<ClusterId>,
    /// Voters agreed at the cluster's first start; empty for a later joiner.
    pub initial: Membership,
}

/// What one call writes, with one sync of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces everything up to its index. When the log does
    /// not hold that index with that term, the whole log goes.
    pub snapshot: Option<Snapshot>,
    /// Entries; those already written from the first one's index on are void.
    pub entries: Vec<Entry>,
}

/// An open store and what it held.
pub struct Opened<D: Disk> {
    /// The store, ready for batches.
    pub store: Store<D>,
    /// The identity, if the disk is not empty.
    pub identity: Option<Identity>,
    /// State to hand to [`consensus::Node::new`].
    pub recovered: Recovered,
    /// Bytes of torn tail that were cut.
    pub cut_bytes: u64,
}

/// The files of one coordinator.
pub struct Store<D: Disk> {
    _disk: D,
}

impl<D: Disk> Store<D> {
    /// Reads all files, cuts a torn tail, refuses damage elsewhere.
    pub fn open(disk: D) -> Result<Opened<D>, StorageError> {
        let _ = disk;
        todo!()
    }

    /// Writes the identity beside the old one, renames and syncs.
    pub fn save_identity(&mut self, identity: &Identity) -> Result<(), StorageError> {
        let _ = identity;
        todo!()
    }

    /// Writes a batch; on return it is synced.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let _ = batch;
        todo!()
    }

    /// Gives the disk back, for tests that crash and reopen it.
    pub fn into_disk(self) -> D {
        self._disk
    }
}
