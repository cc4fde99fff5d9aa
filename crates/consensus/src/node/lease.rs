//! The leader's lease (thesis, 6.4.1) and check-quorum (6.2).
//!
//! Why two nodes never hold the lease at once, given clocks of equal rate: a
//! follower that accepts a message of a leader grants no vote for one election
//! timeout from its receipt. The leader dates the lease from when it began the
//! round that the follower echoes, which is no later, and the lease is shorter
//! than the election timeout. A new leader needs the vote of some member of
//! every quorum, thus of one that answered the round, and grants of that voter
//! come after the old lease expired. A voter that restarts has lost its
//! promise and therefore waits a whole election timeout. The one vote that is
//! granted despite the promise is that of a leadership transfer, see
//! [`super::leadership_transfer`]. The clock advances while the process is
//! suspended, so a leader that resumes finds its rounds too old before it
//! acts.

use super::Node;
use crate::Mutation;
use types::{Monotonic, NodeId};

impl Node {
    /// Returns whether this node leads, has committed an entry of its own term,
    /// and a quorum answered a round that began less than the lease ago. The
    /// caller must check it after every wakeup and just before each effect.
    pub fn holds_lease(&self, now: Monotonic) -> bool {
        let now = now.max(self.clock);
        let Some(leadership) = self.role.leadership() else {
            return false;
        };
        let keeps_lease = self.options.disables(Mutation::LeaseDuringTransfer);
        if leadership.has_given_up_lease() && !keeps_lease {
            return false;
        }
        let answered_at = leadership.quorum_answered_at(self.id, self.membership(), now);
        self.has_committed_own_term()
            && answered_at.is_some_and(|at| now.since(at) < self.options.leader_lease)
    }

    /// Returns whether this node leads and has committed an entry of its own
    /// term.
    pub(super) fn has_committed_own_term(&self) -> bool {
        let leadership = self.role.leadership();
        leadership.is_some_and(|leadership| self.commit >= leadership.first_index())
    }

    /// Records that a follower replied in the leader's own term.
    pub(super) fn record_reply(&mut self, from: NodeId, round: u64) {
        let date_from_reply = self.options.disables(Mutation::LeaseFromReply);
        if let Some(leadership) = self.role.leadership_mut() {
            leadership.record_reply(
                from,
                round,
                date_from_reply,
                self.clock,
                &self.link_monitor,
                &self.options,
            );
        }
    }

    /// Returns false if this node leads without a reply of a quorum for an
    /// election timeout.
    pub(super) fn has_quorum_contact(&self) -> bool {
        let timeout = self.options.election_timeout;
        self.role.leadership().is_none_or(|leadership| {
            leadership.has_quorum_contact(self.id, self.membership(), self.clock, timeout)
        })
    }
}
