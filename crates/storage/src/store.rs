//! The store of one coordinator.
//!
//! A batch is one record in the newest segment and one sync. A batch with a
//! snapshot first makes the snapshot's file durable, then opens a new segment
//! whose first record names it: with the sync of that segment the snapshot is
//! in force, and only then the old files go. Each segment's first record also
//! repeats the hard state, so that dropping older segments never loses it.

use crate::frame::{
    FileKind, HEADER_BYTES, RECORD_HEADER_BYTES, encode_header, encode_single, push_record,
};
use crate::log::{Checkpoint, LogState, RecordParts, SnapshotMark};
use crate::name::{IDENTITY_FILE, segment_file, snapshot_file, temporary_file};
use crate::recovery::{FIRST_SEGMENT, IDENTITY_NUMBER, LastSegment, recover};
use crate::{Disk, StorageError};
use consensus::{Entry, HardState, Membership, Payload, Recovered, Snapshot};
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use types::{ClusterId, NodeId};

/// Most bytes of commands in one batch, and of data in one snapshot.
const MAX_PAYLOAD_BYTES: usize = 1 << 30;

const TOO_LARGE: StorageError = StorageError::InvalidBatch {
    reason: "it is too large for one record",
};

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

/// What one call writes, with one sync of the log. After a crash a batch is
/// there whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces everything up to its index. When the log does
    /// not hold that index with that term, the whole log goes. One older than
    /// the snapshot in force is passed over.
    pub snapshot: Option<Snapshot>,
    /// Entries; those already written from the first one's index on are revocation.
    pub entries: Vec<Entry>,
}

/// Limits of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOptions {
    /// A segment that has reached this many bytes gets no further batch; it is
    /// longer only if a single batch is.
    pub segment_bytes: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
        }
    }
}

/// An open store and what it held.
#[derive(Debug)]
pub struct Opened<D: Disk> {
    /// The store, ready for batches.
    pub store: Store<D>,
    /// The identity, if the disk is not empty.
    pub identity: Option<Identity>,
    /// State to hand to [`consensus::Node::new`].
    pub recovered: Recovered,
    /// Bytes of torn tail that were cut.
    pub truncated_bytes: u64,
}

/// The files of one coordinator.
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    options: StoreOptions,
    state: LogState,
    /// The newest segment's number and length.
    segment: u64,
    segment_length: u64,
    /// Oldest segment and newest snapshot file on the disk.
    oldest_segment: u64,
    snapshot_on_disk: Option<u64>,
    /// Set while a write is under way; stays set when it fails.
    failed: bool,
}

impl<D: Disk> Store<D> {
    /// Reads all files, cuts a torn tail, rejects damage elsewhere.
    ///
    /// The newest segment is written anew and synced before this returns:
    /// after a failed sync the system may show bytes that the disk never got.
    pub fn open(disk: D) -> Result<Opened<D>, StorageError> {
        Self::open_with(disk, StoreOptions::default())
    }

    /// As [`Store::open`], with other limits.
    pub fn open_with(disk: D, options: StoreOptions) -> Result<Opened<D>, StorageError> {
        let recovery = recover(&disk)?;
        let mut store = Self {
            disk,
            options,
            segment: FIRST_SEGMENT,
            segment_length: 0,
            oldest_segment: FIRST_SEGMENT,
            snapshot_on_disk: recovery.state.snapshot.map(|mark| mark.file),
            state: recovery.state,
            failed: false,
        };
        match recovery.last {
            Some(last) => store.renew_segment(&last)?,
            None => store.begin_segment(FIRST_SEGMENT, &[])?,
        }
        store.oldest_segment = store.state.first_segment(store.segment);
        let leftovers = recovery.leftovers.into_iter();
        let current = segment_file(store.segment);
        store.remove_all(leftovers.filter(|file| *file != current).collect())?;
        Ok(Opened {
            store,
            identity: recovery.identity,
            recovered: recovery.recovered,
            truncated_bytes: recovery.truncated_bytes,
        })
    }

    /// Writes the identity beside the old one, renames and syncs.
    pub fn save_identity(&mut self, identity: &Identity) -> Result<(), StorageError> {
        let payload = encode(identity)?;
        let bytes =
            encode_single(FileKind::Identity, IDENTITY_NUMBER, &payload).ok_or(TOO_LARGE)?;
        self.begin_write()?;
        self.replace_file(IDENTITY_FILE, &bytes)?;
        self.failed = false;
        Ok(())
    }

    /// Writes a batch; on return it is synced. After an error of the disk the
    /// batch may or may not be found at the next open, and all calls are
    /// rejected until then.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        self.require_sound()?;
        let snapshot = batch.snapshot.as_ref().filter(|new| self.state.takes(new));
        if batch.hard_state.is_none() && snapshot.is_none() && batch.entries.is_empty() {
            return Ok(());
        }
        self.check(snapshot, &batch.entries)?;
        self.begin_write()?;
        let full = self.segment_length >= self.options.segment_bytes;
        let rotates = snapshot.is_some() || full;
        let segment = self.segment + u64::from(rotates);
        if let Some(snapshot) = snapshot {
            self.install(snapshot, segment)?;
        }
        if let Some(hard_state) = batch.hard_state {
            self.state.hard_state = hard_state;
        }
        self.state.append(&batch.entries, segment);
        if rotates {
            self.begin_segment(segment, &batch.entries)?;
            self.remove_old()?;
        } else {
            self.append_record(batch)?;
        }
        self.failed = false;
        Ok(())
    }

    /// Gives the disk back, for tests that crash and reopen it.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Rejects a batch before anything is written.
    fn check(&self, snapshot: Option<&Snapshot>, entries: &[Entry]) -> Result<(), StorageError> {
        if !self.state.joins(snapshot, entries) {
            return Err(StorageError::InvalidBatch {
                reason: "its entries do not follow the log",
            });
        }
        let entry_bytes: usize = entries.iter().map(command_bytes).sum();
        let snapshot_bytes = snapshot.map_or(0, |snapshot| snapshot.data.len());
        if entry_bytes.max(snapshot_bytes) > MAX_PAYLOAD_BYTES {
            return Err(TOO_LARGE);
        }
        Ok(())
    }

    /// Begins to change files; whoever ends without an error clears `failed`.
    fn begin_write(&mut self) -> Result<(), StorageError> {
        self.require_sound()?;
        self.failed = true;
        Ok(())
    }

    fn require_sound(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        Ok(())
    }

    /// Makes a snapshot's file durable; the segment of the same number puts it
    /// in force.
    fn install(&mut self, snapshot: &Snapshot, number: u64) -> Result<(), StorageError> {
        let payload = encode(snapshot)?;
        let bytes = encode_single(FileKind::Snapshot, number, &payload).ok_or(TOO_LARGE)?;
        self.replace_file(&snapshot_file(number), &bytes)?;
        self.state.install(SnapshotMark {
            file: number,
            index: snapshot.meta.index,
            term: snapshot.meta.term,
        });
        Ok(())
    }

    /// Adds a batch to the newest segment and syncs it.
    fn append_record(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let payload = encode(&RecordParts {
            checkpoint: None,
            hard_state: batch.hard_state,
            entries: &batch.entries,
        })?;
        let mut bytes = Vec::with_capacity(payload.len() + RECORD_HEADER_BYTES);
        if !push_record(&mut bytes, self.segment, self.segment_length, &payload) {
            return Err(TOO_LARGE);
        }
        let file = segment_file(self.segment);
        self.disk
            .append(&file, &bytes)
            .map_err(|source| StorageError::disk("append to", &file, source))?;
        self.sync_file(&file)?;
        self.segment_length += bytes.len() as u64;
        Ok(())
    }

    /// The checkpoint that opens segment `number`, the next one.
    fn checkpoint(&self, number: u64) -> Checkpoint {
        Checkpoint {
            hard_state: self.state.hard_state,
            snapshot: self.state.snapshot,
            first_segment: self.state.first_segment(number),
            previous_bytes: self.segment_length,
        }
    }

    /// Starts a segment with a checkpoint and, in the same record, entries.
    fn begin_segment(&mut self, number: u64, entries: &[Entry]) -> Result<(), StorageError> {
        let payload = encode(&RecordParts {
            checkpoint: Some(self.checkpoint(number)),
            hard_state: None,
            entries,
        })?;
        let mut bytes = encode_header(FileKind::Log, number);
        if !push_record(&mut bytes, number, HEADER_BYTES as u64, &payload) {
            return Err(TOO_LARGE);
        }
        let file = segment_file(number);
        self.write_file(&file, &bytes)?;
        self.sync_folder()?;
        self.segment = number;
        self.segment_length = bytes.len() as u64;
        Ok(())
    }

    /// Writes the verified bytes of the newest segment anew.
    fn renew_segment(&mut self, last: &LastSegment) -> Result<(), StorageError> {
        self.replace_file(&segment_file(last.number), &last.bytes)?;
        self.segment = last.number;
        self.segment_length = last.bytes.len() as u64;
        Ok(())
    }

    /// Removes what the newest segment's checkpoint made superfluous.
    fn remove_old(&mut self) -> Result<(), StorageError> {
        let first = self.state.first_segment(self.segment);
        let mut old: Vec<String> = (self.oldest_segment..first).map(segment_file).collect();
        let in_force = self.state.snapshot.map(|mark| mark.file);
        if let Some(number) = self
            .snapshot_on_disk
            .filter(|on_disk| Some(*on_disk) != in_force)
        {
            old.push(snapshot_file(number));
        }
        self.oldest_segment = first;
        self.snapshot_on_disk = in_force;
        self.remove_all(old)
    }

    fn remove_all(&mut self, files: Vec<String>) -> Result<(), StorageError> {
        if files.is_empty() {
            return Ok(());
        }
        for file in &files {
            match self.disk.remove(file) {
                // A temporary file may have been used and renamed since.
                Err(source) if source.kind() == ErrorKind::NotFound => {}
                result => result.map_err(|source| StorageError::disk("remove", file, source))?,
            }
        }
        self.sync_folder()
    }

    /// Puts a file in the place of another so that either is there whole.
    fn replace_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = temporary_file(file);
        self.write_file(&temporary, bytes)?;
        self.disk
            .rename(&temporary, file)
            .map_err(|source| StorageError::disk("rename to", file, source))?;
        self.sync_folder()
    }

    fn write_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.disk
            .write(file, bytes)
            .map_err(|source| StorageError::disk("write", file, source))?;
        self.sync_file(file)
    }

    fn sync_file(&mut self, file: &str) -> Result<(), StorageError> {
        self.disk
            .sync_file(file)
            .map_err(|source| StorageError::disk("sync", file, source))
    }

    fn sync_folder(&mut self) -> Result<(), StorageError> {
        self.disk
            .sync_folder()
            .map_err(|source| StorageError::disk("sync", "the data folder", source))
    }
}

fn command_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    postcard::to_stdvec(value).map_err(|_| StorageError::InvalidBatch {
        reason: "it cannot be encoded",
    })
}
