//! Readiness of a coordinator, and the reasons for which it is not ready.

use thiserror::Error;

/// Readiness of a coordinator, as reported on the admin listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// The coordinator is the leader with a valid lease, or follows a leader.
    Ready,
    /// The coordinator neither serves as the leader nor follows one.
    NotReady(NotReadyReason),
}

/// Reason for which a coordinator is not ready.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotReadyReason {
    /// The log or snapshot is unreadable, and the coordinator has stopped serving.
    #[error("{error}")]
    StateUnreadable {
        /// Text of the error that stopped the service.
        error: String,
    },
    /// A graceful shutdown is in progress.
    #[error("stopping")]
    Stopping,
    /// The coordinator has neither bootstrapped nor joined a cluster.
    #[error("belongs to no cluster yet")]
    NoCluster,
    /// The last known membership does not contain the coordinator.
    #[error("waits to be taken in by the cluster")]
    NotMember,
    /// No leader is known.
    #[error("knows no leader")]
    NoLeader,
}
