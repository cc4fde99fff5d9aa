//! Errors of encoding and decoding commands and snapshots.

use thiserror::Error;

/// Error of encoding or decoding a command or snapshot.
#[derive(Debug, Error)]
pub enum StateMachineError {
    /// A command of the log cannot be encoded or decoded.
    #[error("cannot encode or decode a command: {0}")]
    Command(postcard::Error),
    /// A snapshot cannot be encoded or decoded.
    #[error("cannot encode or decode a snapshot: {0}")]
    Snapshot(postcard::Error),
    /// The snapshot has a format version that this program does not read.
    #[error("the snapshot has format version {found}, this program reads {supported}")]
    Version {
        /// Format version of the snapshot.
        found: u32,
        /// Format version that this program reads.
        supported: u32,
    },
    /// Parts of the snapshot contradict each other.
    #[error("the snapshot is inconsistent: {0}")]
    Inconsistent(#[from] SnapshotInconsistency),
}

/// Contradiction between parts of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SnapshotInconsistency {
    /// Bytes follow the end of the snapshot.
    #[error("bytes follow the end of the snapshot")]
    TrailingBytes,
    /// The snapshot is too short for a format version.
    #[error("the snapshot is too short for a format version")]
    NoVersion,
    /// The digests of applied configurations are too many, or one belongs to a
    /// version above the one in force.
    #[error("the applied configurations do not fit the version in force")]
    AppliedConfigurations,
    /// The last job number is the highest possible one, so a further job could
    /// get no number.
    #[error("no job number is left for further jobs")]
    JobNumbersExhausted,
    /// A job's number is above the last one, or two jobs have it.
    #[error("a job's number is above the last job number, or two jobs have it")]
    JobNumber,
    /// A job has more steps or tasks than allowed.
    #[error("a job has more steps or tasks than allowed")]
    JobTooLarge,
    /// A finished job has no end time, or an unfinished job has one.
    #[error("a job's end time does not fit its state")]
    JobEnd,
    /// A stored task's step or position does not exist in its job.
    #[error("a stored task does not exist in its job")]
    UnknownTask,
    /// An entry belongs to no stored job, or two jobs with entries have one identifier.
    #[error("an entry has no job of its own, or two jobs with entries have one identifier")]
    Entry,
    /// An open run belongs to no known task.
    #[error("an open run belongs to no known task")]
    RunWithoutTask,
    /// A task has more open runs than allowed, or two runs have one identifier.
    #[error("a task has too many open runs, or two open runs have one identifier")]
    TooManyOpenRuns,
    /// A lost run is not among the closed runs of its job, or its task does not
    /// exist.
    #[error("a lost run is not among the closed runs of its job, or has no task")]
    LostRun,
}
