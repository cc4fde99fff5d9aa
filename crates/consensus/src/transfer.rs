//! State of a leadership transfer (thesis, 3.10); `node::leadership_transfer`
//! explains why a transfer is safe.

use types::{LogIndex, Monotonic, NodeId};

/// Why a leader transfers leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransferReason {
    /// An operator or a shutdown asked for it: if the transfer fails, this
    /// node continues to lead.
    Requested,
    /// The links of the leader are degraded: if the transfer fails, this node
    /// becomes a follower.
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
    /// A transfer to `target` that times out at `deadline`.
    pub fn new(target: NodeId, deadline: Monotonic, reason: TransferReason) -> Self {
        Self {
            target,
            deadline,
            reason,
            timeout_now_sent: false,
        }
    }

    /// The voter that is to lead.
    pub fn target(&self) -> NodeId {
        self.target
    }

    /// When the transfer times out.
    pub fn deadline(&self) -> Monotonic {
        self.deadline
    }

    /// Why the leader transfers leadership.
    pub fn reason(&self) -> TransferReason {
        self.reason
    }

    /// Returns whether `TimeoutNow` was queued: from then on the leader has no
    /// lease in this term.
    pub fn timeout_now_sent(&self) -> bool {
        self.timeout_now_sent
    }

    /// Marks `TimeoutNow` as queued if the target's log, which matches up to
    /// `matched`, is complete. Returns whether it did so now.
    pub fn mark_sent_if_caught_up(&mut self, matched: LogIndex, last_index: LogIndex) -> bool {
        if self.timeout_now_sent || matched < last_index {
            return false;
        }
        self.timeout_now_sent = true;
        true
    }
}
