//! Errors of the record's own bytes.

use thiserror::Error;

/// Bytes that are not a command or snapshot of this format.
#[derive(Debug, Error)]
pub enum StateMachineError {
    /// A log entry that cannot be read.
    #[error("a log entry does not hold a command: {0}")]
    Command(postcard::Error),
    /// A snapshot that cannot be read.
    #[error("a snapshot does not hold a record: {0}")]
    Snapshot(postcard::Error),
    /// A snapshot of another format version.
    #[error("the snapshot has format version {found}, this program reads {supported}")]
    Version {
        /// Version found.
        found: u32,
        /// Version supported.
        supported: u32,
    },
    /// A snapshot whose parts contradict each other.
    #[error("a snapshot contradicts itself: {0}")]
    Inconsistent(&'static str),
}
