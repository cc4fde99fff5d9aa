//! Errors of the store.

use thiserror::Error;

/// What can go wrong with the files of one data folder.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system rejected.
    #[error("{action} {file}: {source}")]
    Disk {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// Damage that is not a torn tail: data that was synced is gone.
    #[error("{file} is damaged at byte {offset}: {reason}; refusing to start from it")]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins.
        offset: u64,
        /// What was found.
        reason: String,
    },
    /// A log or snapshot without an identity: it cannot be told whose votes
    /// and entries they are. The identity is saved before either is written.
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
        /// Version this program writes and reads.
        supported: u32,
    },
    /// A batch that does not join the log, or is too large for one record.
    /// Nothing was written.
    #[error("the batch cannot be written: {reason}")]
    InvalidBatch {
        /// Why.
        reason: &'static str,
    },
    /// An earlier write or sync failed, so that nothing is known of what the
    /// disk holds; only opening it again tells.
    #[error("an earlier write failed; the store must be opened again")]
    Failed,
}

impl StorageError {
    pub(crate) fn damaged(file: &str, offset: usize, reason: impl Into<String>) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset: offset as u64,
            reason: reason.into(),
        }
    }

    pub(crate) fn disk(action: &'static str, file: &str, source: std::io::Error) -> Self {
        Self::Disk {
            action,
            file: file.to_owned(),
            source,
        }
    }
}
