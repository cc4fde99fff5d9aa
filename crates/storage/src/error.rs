//! Errors of the store.

use thiserror::Error;

/// What can go wrong with the files of one data folder.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system refused.
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
    #[error("{file} is damaged at byte {offset}: {problem}; refusing to start from it")]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins.
        offset: u64,
        /// What was found.
        problem: String,
    },
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
}
