//! Errors of the store and of its disks.

use thiserror::Error;

/// Disk operation that failed, as named in error texts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DiskOperation {
    /// Creation of the data folder.
    #[error("create")]
    Create,
    /// Lock of the data folder.
    #[error("lock")]
    Lock,
    /// Listing of the data folder.
    #[error("list")]
    List,
    /// Read of a file.
    #[error("read")]
    Read,
    /// Write of a whole file.
    #[error("write")]
    Write,
    /// Append to a file.
    #[error("append to")]
    Append,
    /// Sync of a file or of the data folder.
    #[error("sync")]
    Sync,
    /// Rename of a temporary file to its final name.
    #[error("rename to")]
    Rename,
    /// Removal of a file.
    #[error("remove")]
    Remove,
}

/// Cause for which bytes do not verify. At the end of the newest segment this
/// may be a torn write; elsewhere it is damage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unverified {
    /// The file's header is incomplete, or its checksum does not match.
    #[error("the header is incomplete or its checksum does not match")]
    Header,
    /// The file ends within a record's header.
    #[error("the record's header is truncated")]
    RecordHeaderTruncated,
    /// The bytes do not begin with the mark of a record.
    #[error("the mark of a record is missing")]
    NoRecordMark,
    /// The file ends within a record's payload.
    #[error("the record is truncated")]
    RecordTruncated,
    /// The record's checksum does not match.
    #[error("the record's checksum does not match")]
    Checksum,
}

/// Damage to synced data, as opposed to a torn write.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Damage {
    /// Bytes do not verify where no torn write is possible.
    #[error(transparent)]
    Unverified(#[from] Unverified),
    /// Bytes do not verify, but a record after them does.
    #[error("{cause}, but a valid record follows at byte {next_record}")]
    BeforeRecord {
        /// Cause for which the bytes do not verify.
        cause: Unverified,
        /// Offset in the file of the record that verifies, in bytes.
        next_record: usize,
    },
    /// The header verifies, but has the kind or number of another file.
    #[error("the header belongs to another file")]
    HeaderOfOtherFile,
    /// A file with a single record (snapshot or identity) has bytes after it.
    #[error("there are bytes after the record")]
    TrailingBytes,
    /// The payload of a record is longer than its encoded content.
    #[error("the record is longer than its content")]
    TrailingPayload,
    /// The payload of a record cannot be decoded.
    #[error("{0}")]
    Decode(postcard::Error),
    /// The folder has other files but no segment.
    #[error("the log is missing")]
    LogMissing,
    /// The first record of the only segment does not verify.
    #[error("the first record does not verify")]
    FirstRecord,
    /// A segment has a header but no record.
    #[error("there is no record")]
    NoRecord,
    /// The first record of a segment has no checkpoint.
    #[error("the first record has no checkpoint")]
    NoCheckpoint,
    /// A segment is missing that later segments or the checkpoint require.
    #[error("the segment is missing")]
    SegmentMissing,
    /// A segment's length differs from the one in the next checkpoint.
    #[error("the length differs from the one recorded in the next segment")]
    SegmentLength {
        /// Length in the next segment's checkpoint, in bytes. `None` if that
        /// segment has no checkpoint.
        expected: Option<u64>,
        /// Length of the segment's verified bytes.
        found: usize,
    },
    /// The snapshot file that the checkpoint refers to is missing.
    #[error("the snapshot is missing")]
    SnapshotMissing,
    /// The snapshot's index or term differs from the one in the checkpoint.
    #[error("the snapshot's index or term differs from the log's checkpoint")]
    SnapshotMismatch,
    /// The indexes of the log's entries have a gap.
    #[error("entries are missing")]
    EntryGap,
    /// The first entry after the snapshot does not have the next index.
    #[error("entries from {first} to {next} are missing")]
    EntriesAfterSnapshot {
        /// First missing index, right after the snapshot.
        first: u64,
        /// Index of the first entry after the gap.
        next: u64,
    },
}

/// Cause for which a batch or an identity cannot be written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BatchError {
    /// The entries leave a gap, or begin at an index that the snapshot covers.
    #[error("its entries do not follow the log")]
    Gap,
    /// The data exceeds the maximum size of a record.
    #[error("it is too large for one record")]
    TooLarge,
    /// The encoder failed.
    #[error("it cannot be encoded")]
    Encode(postcard::Error),
}

/// Errors of the files in one data folder.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("{operation} {file}: {source}")]
    Disk {
        /// Operation that failed.
        operation: DiskOperation,
        /// Name of the file, or a description of the folder.
        file: String,
        /// Error of the operating system, or an injected one.
        source: std::io::Error,
    },
    /// The file is damaged other than by a torn write: synced data is lost.
    #[error("{file} is damaged at byte {offset}: {damage}; refusing to start from it")]
    Damaged {
        /// Name of the damaged or missing file.
        file: String,
        /// Offset at which the damage begins, in bytes; 0 for the whole file.
        offset: u64,
        /// Kind of the damage.
        damage: Damage,
    },
    /// The folder has a log or a snapshot but no identity, so it is unknown which
    /// node wrote its votes and entries. The identity is saved before any of
    /// them.
    #[error(
        "the data folder contains a log or a snapshot but no identity file; refusing to start \
         from it: restore the file, or start with an empty folder as a new coordinator"
    )]
    IdentityMissing,
    /// A file has another format version than this program reads.
    #[error("{file} has format version {found}, this program reads {supported}")]
    Version {
        /// Name of the file with the other version.
        file: String,
        /// Version in the file.
        found: u32,
        /// Version that this program writes and reads.
        supported: u32,
    },
    /// The batch is invalid. Nothing was written.
    #[error("the batch cannot be written: {reason}")]
    InvalidBatch {
        /// Cause for which the batch was rejected.
        reason: BatchError,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown
    /// until the store is opened again.
    #[error("an earlier write failed; the store must be opened again")]
    Failed,
}

impl StorageError {
    /// Creates a [`StorageError::Damaged`] from a byte offset in `file`.
    pub(crate) fn damaged(file: &str, offset: usize, damage: impl Into<Damage>) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            damage: damage.into(),
        }
    }

    /// Creates a [`StorageError::Disk`] for a file, or a description of the folder.
    pub(crate) fn disk(operation: DiskOperation, file: &str, source: std::io::Error) -> Self {
        Self::Disk {
            operation,
            file: file.to_owned(),
            source,
        }
    }
}

impl From<BatchError> for StorageError {
    fn from(reason: BatchError) -> Self {
        Self::InvalidBatch { reason }
    }
}
