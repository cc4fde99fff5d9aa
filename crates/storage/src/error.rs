//! Errors of the store.

use thiserror::Error;

/// Operation on a disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DiskOperation {
    /// Create the data folder.
    #[error("create")]
    Create,
    /// Lock the data folder.
    #[error("lock")]
    Lock,
    /// List the data folder.
    #[error("list")]
    List,
    /// Read a file.
    #[error("read")]
    Read,
    /// Write a file.
    #[error("write")]
    Write,
    /// Append to a file.
    #[error("append to")]
    Append,
    /// Sync a file or the data folder.
    #[error("sync")]
    Sync,
    /// Rename a temporary file to its final name.
    #[error("rename to")]
    Rename,
    /// Remove a file.
    #[error("remove")]
    Remove,
}

/// Why bytes do not verify. In the tail of the newest segment this may be a
/// torn write; elsewhere it is damage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unverified {
    /// The file's header is short, or its checksum does not match.
    #[error("the header is not whole")]
    Header,
    /// The file ends within a record's header.
    #[error("the record's header is cut off")]
    RecordHeaderTruncated,
    /// The bytes do not begin with the mark of a record.
    #[error("no record begins here")]
    NoRecordMark,
    /// The file ends within a record's payload.
    #[error("the record is cut off")]
    RecordTruncated,
    /// The record's checksum does not match.
    #[error("the record's checksum does not match")]
    Checksum,
}

/// Damage to synced data.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Damage {
    /// Bytes that cannot be a torn tail do not verify.
    #[error(transparent)]
    Unverified(#[from] Unverified),
    /// Bytes do not verify, but a record after them does.
    #[error("{cause}, yet a whole record follows at byte {next_record}")]
    BeforeRecord {
        /// Why the bytes do not verify.
        cause: Unverified,
        /// Offset of the record, in bytes.
        next_record: usize,
    },
    /// The header is whole, but of another file.
    #[error("the header belongs to another file")]
    HeaderOfOtherFile,
    /// A file of one record is longer than its record.
    #[error("there are bytes behind the record")]
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
    #[error("the first record is not whole")]
    FirstRecord,
    /// A segment has no record.
    #[error("there is no record")]
    NoRecord,
    /// The first record of a segment has no checkpoint.
    #[error("the first record is no checkpoint")]
    NoCheckpoint,
    /// A segment between two others is missing.
    #[error("the segment is missing")]
    SegmentMissing,
    /// A segment has another length than the next checkpoint records.
    #[error("the segment is not as long as the next one says")]
    SegmentLength {
        /// Length in the next segment's checkpoint, in bytes.
        expected: Option<u64>,
        /// Length of the segment, in bytes.
        found: usize,
    },
    /// The snapshot in force is missing.
    #[error("the snapshot is missing")]
    SnapshotMissing,
    /// The snapshot has another index or term than the checkpoint records.
    #[error("the snapshot is not the one that the log names")]
    SnapshotMismatch,
    /// An entry does not follow the entries before it.
    #[error("entries are missing")]
    EntryGap,
    /// The first entry does not follow the snapshot.
    #[error("entries from {first} to {next} are missing")]
    EntriesAfterSnapshot {
        /// First index that is missing.
        first: u64,
        /// First index that is present.
        next: u64,
    },
}

/// Why a batch, or an identity, cannot be written.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BatchError {
    /// The entries leave a gap, or begin within the snapshot.
    #[error("its entries do not follow the log")]
    Gap,
    /// The data does not fit in one record.
    #[error("it is too large for one record")]
    TooLarge,
    /// The data cannot be encoded.
    #[error("it cannot be encoded")]
    Encode(postcard::Error),
}

/// Errors on the files of one data folder.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("{operation} {file}: {source}")]
    Disk {
        /// The operation that failed.
        operation: DiskOperation,
        /// The file, or the folder.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Damage that is not a torn tail: synced data is lost.
    #[error("{file} is damaged at byte {offset}: {damage}; refusing to start from it")]
    Damaged {
        /// The file.
        file: String,
        /// Offset at which the damage begins, in bytes.
        offset: u64,
        /// The damage.
        damage: Damage,
    },
    /// A log or snapshot without an identity: the node whose votes and entries
    /// they are is unknown. The identity is saved before either is written.
    #[error(
        "the data folder holds a log or a snapshot but no identity file; refusing to start \
         from it: bring the file back, or start with an empty folder as a new coordinator"
    )]
    IdentityMissing,
    /// A file of another format version.
    #[error("{file} has format version {found}, this program reads {supported}")]
    Version {
        /// The file.
        file: String,
        /// Version in the file.
        found: u32,
        /// Version that this program writes and reads.
        supported: u32,
    },
    /// The batch is invalid. Nothing was written.
    #[error("the batch cannot be written: {reason}")]
    InvalidBatch {
        /// Why.
        reason: BatchError,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown
    /// until the store is opened again.
    #[error("an earlier write failed; the store must be opened again")]
    Failed,
}

impl StorageError {
    pub(crate) fn damaged(file: &str, offset: usize, damage: impl Into<Damage>) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            damage: damage.into(),
        }
    }

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
