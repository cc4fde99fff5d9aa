//! Store of one coordinator's log, snapshot and identity.
//!
//! A batch is one record in the newest segment and costs one sync. A batch with
//! a snapshot first makes the snapshot file durable, then starts a new segment
//! whose checkpoint refers to the file. The sync of that segment makes the
//! snapshot the current one; only then are obsolete files removed. Each
//! checkpoint also repeats the hard state, so the removal of older segments
//! never loses it.

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

/// Maximum total size of the commands in one batch, and of the data in one
/// snapshot, in bytes.
const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// Changes written by one call, with one sync of the log. After a crash a batch
/// is present completely or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// New hard state; `None` if it is unchanged.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the log up to the snapshot's index, or the whole
    /// log if it has no entry with that index and term. A snapshot older than
    /// the current one is ignored. `None` if the batch has no snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries to append. They overwrite all earlier entries from the first
    /// one's index on.
    pub entries: Vec<Entry>,
}

/// Limits of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreOptions {
    /// Size of a segment, in bytes, from which on the next batch starts a new
    /// segment. A segment's last batch may exceed it.
    pub segment_bytes: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Open store and the state recovered from its files.
#[derive(Debug)]
pub struct Opened<D: Disk> {
    /// Store, ready for further batches.
    pub store: Store<D>,
    /// Saved identity, or `None` if none was saved yet.
    pub identity: Option<Identity>,
    /// State for [`consensus::Node::new`].
    pub recovered: Recovered,
    /// Length of the torn tail that was truncated, in bytes.
    pub truncated_bytes: u64,
}

/// Data folder of one coordinator, open for writing.
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
    /// Number of the newest snapshot file on the disk; `None` if there is none.
    snapshot_on_disk: Option<u64>,
    /// Whether a write is in progress or has failed.
    failed: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the store: reads all files, truncates a torn tail and rejects other
    /// damage.
    ///
    /// The newest segment is rewritten and synced before the function returns,
    /// since after a failed sync the operating system may return bytes that
    /// never reached the disk.
    ///
    /// # Errors
    ///
    /// * [`StorageError::Damaged`], [`StorageError::Version`] or
    ///   [`StorageError::IdentityMissing`] if the folder is rejected; the folder
    ///   is then unchanged.
    /// * [`StorageError::Disk`] if an operation on the disk fails.
    pub fn open(disk: D) -> Result<Opened<D>, StorageError> {
        Self::open_with(disk, StoreOptions::default())
    }

    /// Opens the store as [`Store::open`] does, with other limits than the
    /// default ones.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Store::open`].
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
    /// Returns the errors of [`Store::write`].
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
    /// * [`StorageError::InvalidBatch`] if the entries leave a gap in the log or
    ///   begin within the snapshot, or if the batch is too large; nothing is
    ///   written.
    /// * [`StorageError::Disk`] if an operation on the disk fails; the batch may
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

    /// Returns an error if the entries leave a gap in the log or begin within the
    /// snapshot, or if commands or snapshot are too large.
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

    /// Marks the store as failed. The caller resets the mark once the write has
    /// succeeded.
    fn begin_write(&mut self) -> Result<(), StorageError> {
        self.require_usable()?;
        self.failed = true;
        Ok(())
    }

    /// Returns [`StorageError::Failed`] if an earlier write failed.
    fn require_usable(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        Ok(())
    }

    /// Writes and syncs a snapshot file. The snapshot becomes the current one with
    /// the checkpoint of the segment that has the same number.
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

    /// Returns the checkpoint with which segment `number`, the next one, starts.
    fn checkpoint(&self, number: u64) -> Checkpoint {
        Checkpoint {
            hard_state: self.state.hard_state,
            snapshot: self.state.snapshot,
            first_segment: self.state.first_segment(number),
            previous_bytes: self.segment_length,
        }
    }

    /// Starts segment `number` with one record that has the checkpoint and
    /// `entries`, and syncs it.
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

    /// Replaces the newest segment with its verified bytes, and syncs it.
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
        let current_snapshot = self.state.snapshot.map(|snapshot| snapshot.file);
        if let Some(on_disk) = self.snapshot_on_disk
            && Some(on_disk) != current_snapshot
        {
            obsolete.push(snapshot_file(on_disk));
        }
        self.oldest_segment = first;
        self.snapshot_on_disk = current_snapshot;
        folder::remove_files(&mut self.disk, &obsolete)
    }
}

/// Returns the size of an entry's command in bytes; 0 for other payloads.
fn command_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    postcard::to_stdvec(value).map_err(|error| BatchError::Encode(error).into())
}
