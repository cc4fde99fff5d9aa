//! Whether a coordinator is ready, and why it is not.

use thiserror::Error;

/// Whether this process should count as ready.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// It serves as the leader or follows one.
    Ready,
    /// It can neither serve nor follow.
    NotReady(NotReadyReason),
}

/// Why a coordinator is not ready.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotReadyReason {
    /// Its log or snapshot cannot be read; it serves no more.
    #[error("{error}")]
    StateUnreadable {
        /// The error, as text.
        error: String,
    },
    /// It hands over and ends.
    #[error("stopping")]
    Stopping,
    /// It has neither bootstrapped nor joined a cluster.
    #[error("belongs to no cluster yet")]
    NoCluster,
    /// The membership that it knows does not name it.
    #[error("waits to be taken in by the cluster")]
    NotMember,
    /// It knows no leader at this moment.
    #[error("knows no leader")]
    NoLeader,
}
