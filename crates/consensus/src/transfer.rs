//! State of a leadership transfer (thesis, 3.10); `node::leadership_transfer`
//! explains why a transfer is safe.

use types::{LogIndex, Monotonic, NodeId};

/// Reason for a leadership transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransferReason {
    /// Requested by an operator or by a shutdown. If the transfer fails, this
    /// node continues to lead.
    Requested,
    /// Degraded links of the leader. If the transfer fails, this node becomes a
    /// follower.
    Degraded,
}

/// A transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    target: NodeId,
    deadline: Monotonic,
    reason: TransferReason,
    timeout_now_sent: bool,
}

impl Transfer {
    /// Creates a transfer to `target` that times out at `deadline`.
    pub fn new(target: NodeId, deadline: Monotonic, reason: TransferReason) -> Self {
        Self {
            target,
            deadline,
            reason,
            timeout_now_sent: false,
        }
    }

    /// Returns the voter that is to become the leader.
    pub fn target(&self) -> NodeId {
        self.target
    }

    /// Returns when the transfer times out.
    pub fn deadline(&self) -> Monotonic {
        self.deadline
    }

    /// Returns the reason for the transfer.
    pub fn reason(&self) -> TransferReason {
        self.reason
    }

    /// Returns whether `TimeoutNow` was queued. From then on the leader does
    /// not hold the lease in this term.
    pub fn timeout_now_sent(&self) -> bool {
        self.timeout_now_sent
    }

    /// Marks `TimeoutNow` as queued if the target has the whole log, which
    /// matches up to `matched` there. Returns whether this call marked it.
    pub fn mark_sent_if_caught_up(&mut self, matched: LogIndex, last_index: LogIndex) -> bool {
        if self.timeout_now_sent || matched < last_index {
            return false;
        }
        self.timeout_now_sent = true;
        true
    }
}
