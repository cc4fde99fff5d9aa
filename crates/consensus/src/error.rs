//! Errors of proposals.

use thiserror::Error;

/// Reason for which a node rejects a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This node is not the leader, or is transferring leadership.
    #[error("this node is not the leader")]
    NotLeader,
    /// An earlier membership change is not committed yet, or this leader has
    /// not committed an entry of its own term yet.
    #[error("a membership change is still in progress")]
    ChangeInProgress,
    /// The new membership differs from the old one by more than one voter.
    #[error("a membership change may add or remove one voter at a time")]
    MoreThanOneVoter,
    /// The new membership has no voter.
    #[error("a membership needs at least one voter")]
    NoVoters,
}
