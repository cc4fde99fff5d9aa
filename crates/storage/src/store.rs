//! The store of one coordinator.
//!
//! A batch is one record in the newest segment and one sync. A batch with a
//! snapshot first makes the snapshot's file durable, then begins a new segment
//! whose checkpoint names it: with the sync of that segment the snapshot is in
//! force, and only then the obsolete files are removed. Each checkpoint also
//! repeats the hard state, so that the removal of older segments never loses
//! it.

use crate::error::BatchError;
use crate::folder;
use crate::frame::{
    FileKind, HEADER_BYTES, RECORD_HEADER_BYTES, encode_header, encode_single, push_record,
};
use crate::log::{Checkpoint, LogState, RecordRef, SnapshotReference};
use crate::name::{FIRST_SEGMENT, IDENTITY_FILE, IDENTITY_NUMBER, segment_file, snapshot_file};
use crate::recovery::{LastSegment, recover};
use crate::{Disk, Identity, StorageError};
use consensus::{Entry, HardState, Payload, Recovered, Snapshot};
use serde::Serialize;

/// Largest size of the commands in one batch, and of the data in one snapshot,
/// in bytes.
const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// Changes that one call writes, with one sync of the log. After a crash a
/// batch is present as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the log up to its index, or the whole log if the
    /// log has no entry with that index and term. A snapshot older than the one
    /// in force is ignored.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; they overwrite the entries written earlier from the
    /// first one's index on.
    pub entries: Vec<Entry>,
}

/// Limits of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOptions {
    /// Size in bytes from which on a segment gets no further batch. The last
    /// batch of a segment may exceed it.
    pub segment_bytes: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
        }
    }
}

/// An open store and the state recovered from it.
#[derive(Debug)]
pub struct Opened<D: Disk> {
    /// The store, ready for batches.
    pub store: Store<D>,
    /// The identity, if one is saved.
    pub identity: Option<Identity>,
    /// State for [`consensus::Node::new`].
    pub recovered: Recovered,
    /// Length of the torn tail that was truncated, in bytes.
    pub truncated_bytes: u64,
}

/// The files of one coordinator.
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    options: StoreOptions,
    state: LogState,
    /// Number of the newest segment.
    segment: u64,
    /// Length of the newest segment, in bytes.
    segment_length: u64,
    /// Number of the oldest segment on the disk.
    oldest_segment: u64,
    /// Number of the newest snapshot file on the disk.
    snapshot_on_disk: Option<u64>,
    /// Set while a write is in progress; stays set if it fails.
    failed: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the store: reads all files, truncates a torn tail and rejects other
    /// damage.
    ///
    /// The newest segment is rewritten and synced before this returns: after a
    /// failed sync the operating system may show bytes that never reached the
    /// disk.
    ///
    /// # Errors
    ///
    /// * [`StorageError::Damaged`], [`StorageError::Version`] and
    ///   [`StorageError::IdentityMissing`] if the folder is rejected; it is then
    ///   unchanged.
    /// * [`StorageError::Disk`] if an operation on the disk fails.
    pub fn open(disk: D) -> Result<Opened<D>, StorageError> {
        Self::open_with(disk, StoreOptions::default())
    }

    /// As [`Store::open`], with the given limits.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn open_with(disk: D, options: StoreOptions) -> Result<Opened<D>, StorageError> {
        let recovery = recover(&disk)?;
        let mut store = Self {
            disk,
            options,
            segment: FIRST_SEGMENT,
            segment_length: 0,
            oldest_segment: FIRST_SEGMENT,
            snapshot_on_disk: recovery.state.snapshot.map(|snapshot| snapshot.file),
            state: recovery.state,
            failed: false,
        };
        match recovery.last {
            Some(last) => store.rewrite_segment(&last)?,
            None => store.begin_segment(FIRST_SEGMENT, &[])?,
        }
        store.oldest_segment = store.state.first_segment(store.segment);
        let current = segment_file(store.segment);
        let mut obsolete = recovery.obsolete_files;
        obsolete.retain(|file| *file != current);
        folder::remove_files(&mut store.disk, &obsolete)?;
        Ok(Opened {
            store,
            identity: recovery.identity,
            recovered: recovery.recovered,
            truncated_bytes: recovery.truncated_bytes,
        })
    }

    /// Replaces the identity atomically and syncs it.
    ///
    /// # Errors
    ///
    /// As [`Store::write`].
    pub fn save_identity(&mut self, identity: &Identity) -> Result<(), StorageError> {
        let payload = encode(identity)?;
        let bytes = encode_single(FileKind::Identity, IDENTITY_NUMBER, &payload)?;
        self.begin_write()?;
        folder::replace_file(&mut self.disk, IDENTITY_FILE, &bytes)?;
        self.failed = false;
        Ok(())
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    ///
    /// * [`StorageError::InvalidBatch`] if the batch does not follow the log or
    ///   is too large; nothing is written.
    /// * [`StorageError::Disk`] if an operation on the disk fails: the batch may
    ///   or may not be present at the next open.
    /// * [`StorageError::Failed`] for every call after a failed write.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        self.require_usable()?;
        let snapshot = batch.snapshot.as_ref();
        let snapshot = snapshot.filter(|new| self.state.accepts_snapshot(new));
        if batch.hard_state.is_none() && snapshot.is_none() && batch.entries.is_empty() {
            return Ok(());
        }
        self.validate(snapshot, &batch.entries)?;
        self.begin_write()?;
        let is_full = self.segment_length >= self.options.segment_bytes;
        let rotates = snapshot.is_some() || is_full;
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
            self.remove_obsolete()?;
        } else {
            self.append_record(batch)?;
        }
        self.failed = false;
        Ok(())
    }

    /// Returns the disk, for tests that crash and reopen it.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Rejects a batch before anything is written.
    fn validate(&self, snapshot: Option<&Snapshot>, entries: &[Entry]) -> Result<(), StorageError> {
        if !self.state.can_append(snapshot, entries) {
            return Err(BatchError::Gap.into());
        }
        let entry_bytes: usize = entries.iter().map(command_bytes).sum();
        let snapshot_bytes = snapshot.map_or(0, |snapshot| snapshot.data.len());
        if entry_bytes.max(snapshot_bytes) > MAX_PAYLOAD_BYTES {
            return Err(BatchError::TooLarge.into());
        }
        Ok(())
    }

    /// Marks the store as failed until the write has succeeded.
    fn begin_write(&mut self) -> Result<(), StorageError> {
        self.require_usable()?;
        self.failed = true;
        Ok(())
    }

    fn require_usable(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        Ok(())
    }

    /// Makes a snapshot's file durable. The checkpoint of the segment of the
    /// same number puts it in force.
    fn install(&mut self, snapshot: &Snapshot, number: u64) -> Result<(), StorageError> {
        let payload = encode(snapshot)?;
        let bytes = encode_single(FileKind::Snapshot, number, &payload)?;
        folder::replace_file(&mut self.disk, &snapshot_file(number), &bytes)?;
        self.state.install(SnapshotReference {
            file: number,
            index: snapshot.meta.index,
            term: snapshot.meta.term,
        });
        Ok(())
    }

    /// Appends a batch to the newest segment and syncs it.
    fn append_record(&mut self, batch: &Batch) -> Result<(), StorageError> {
        let payload = encode(&RecordRef {
            checkpoint: None,
            hard_state: batch.hard_state,
            entries: &batch.entries,
        })?;
        let mut bytes = Vec::with_capacity(payload.len() + RECORD_HEADER_BYTES);
        push_record(&mut bytes, self.segment, self.segment_length, &payload)?;
        folder::append_to_file(&mut self.disk, &segment_file(self.segment), &bytes)?;
        self.segment_length += bytes.len() as u64;
        Ok(())
    }

    /// The checkpoint of the next segment, `number`.
    fn checkpoint(&self, number: u64) -> Checkpoint {
        Checkpoint {
            hard_state: self.state.hard_state,
            snapshot: self.state.snapshot,
            first_segment: self.state.first_segment(number),
            previous_bytes: self.segment_length,
        }
    }

    /// Begins a segment with a checkpoint and, in the same record, entries.
    fn begin_segment(&mut self, number: u64, entries: &[Entry]) -> Result<(), StorageError> {
        let payload = encode(&RecordRef {
            checkpoint: Some(self.checkpoint(number)),
            hard_state: None,
            entries,
        })?;
        let mut bytes = encode_header(FileKind::Log, number);
        push_record(&mut bytes, number, HEADER_BYTES as u64, &payload)?;
        folder::write_file(&mut self.disk, &segment_file(number), &bytes)?;
        folder::sync_folder(&mut self.disk)?;
        self.segment = number;
        self.segment_length = bytes.len() as u64;
        Ok(())
    }

    /// Rewrites the verified bytes of the newest segment.
    fn rewrite_segment(&mut self, last: &LastSegment) -> Result<(), StorageError> {
        folder::replace_file(&mut self.disk, &segment_file(last.number), &last.bytes)?;
        self.segment = last.number;
        self.segment_length = last.bytes.len() as u64;
        Ok(())
    }

    /// Removes the files that the newest segment's checkpoint made obsolete.
    fn remove_obsolete(&mut self) -> Result<(), StorageError> {
        let first = self.state.first_segment(self.segment);
        let mut obsolete: Vec<String> = (self.oldest_segment..first).map(segment_file).collect();
        let in_force = self.state.snapshot.map(|snapshot| snapshot.file);
        if let Some(on_disk) = self.snapshot_on_disk
            && Some(on_disk) != in_force
        {
            obsolete.push(snapshot_file(on_disk));
        }
        self.oldest_segment = first;
        self.snapshot_on_disk = in_force;
        folder::remove_files(&mut self.disk, &obsolete)
    }
}

/// Size of an entry's command, in bytes.
fn command_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    postcard::to_stdvec(value).map_err(|error| BatchError::Encode(error).into())
}
