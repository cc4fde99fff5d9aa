//! Errors that make the replicated state unreadable.

use state_machine::StateMachineError;
use thiserror::Error;
use types::LogIndex;

/// Error that stops the replica. Committed entries and snapshots must not be
/// skipped, so it cannot continue.
#[derive(Debug, Error)]
pub(crate) enum ReplicaError {
    /// A snapshot does not decode.
    #[error("snapshot at {index}: {source}")]
    RestoreSnapshot {
        index: LogIndex,
        source: StateMachineError,
    },
    /// A committed entry does not decode.
    #[error("entry {index}: {source}")]
    DecodeEntry {
        index: LogIndex,
        source: StateMachineError,
    },
    /// The state does not encode.
    #[error(transparent)]
    EncodeSnapshot(StateMachineError),
}
