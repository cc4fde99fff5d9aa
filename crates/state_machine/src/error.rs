//! Errors of reading and writing the state's bytes.

use thiserror::Error;

/// Error of encoding or decoding a command or snapshot.
#[derive(Debug, Error)]
pub enum StateMachineError {
    /// A log entry cannot be encoded or decoded.
    #[error("a log entry does not hold a command: {0}")]
    Command(postcard::Error),
    /// A snapshot cannot be encoded or decoded.
    #[error("a snapshot does not hold a record: {0}")]
    Snapshot(postcard::Error),
    /// The snapshot has another format version.
    #[error("the snapshot has format version {found}, this program reads {supported}")]
    Version {
        /// Version found.
        found: u32,
        /// Version supported.
        supported: u32,
    },
    /// Parts of the snapshot contradict each other.
    #[error("a snapshot contradicts itself: {0}")]
    Inconsistent(#[from] SnapshotInconsistency),
}

/// Contradiction within a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SnapshotInconsistency {
    /// Bytes follow the end of the snapshot.
    #[error("bytes follow the snapshot")]
    TrailingBytes,
    /// The snapshot is too short for a format version.
    #[error("the snapshot has no version")]
    NoVersion,
    /// Too many applied configurations, or one newer than that in force.
    #[error("the taken configurations do not fit the version")]
    AppliedConfigurations,
    /// The last job number leaves none for further jobs.
    #[error("there are no more job numbers")]
    JobNumbersExhausted,
    /// A job's number is above the last one, or two jobs have it.
    #[error("a job has an impossible number")]
    JobNumber,
    /// A job has more steps or tasks than allowed.
    #[error("a job is larger than allowed")]
    JobTooLarge,
    /// A finished job has no end time, or an unfinished one has.
    #[error("a job's end does not fit its state")]
    JobEnd,
    /// A task's step or position is not in its job.
    #[error("a job has an unknown task")]
    UnknownTask,
    /// An open run belongs to no known task.
    #[error("an open run has no task")]
    RunWithoutTask,
    /// A task has more open runs than allowed, or two runs have one identifier.
    #[error("a task has too many open runs")]
    TooManyOpenRuns,
    /// A lost run is not among the closed runs of its job.
    #[error("a lost run is no closed run of its job")]
    LostRun,
}
