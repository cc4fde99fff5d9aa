//! The leader's lease (thesis, 6.4.1) and check-quorum (6.2).
//!
//! Two nodes never hold the lease at once, provided that their clocks run at
//! equal rates:
//!
//! * A follower that accepts a message from a leader grants no vote for one
//!   election timeout from its receipt. This is the vote restriction.
//! * The leader's lease begins at the start of the round that the follower
//!   echoes, which is no later than the receipt, and the lease is shorter than
//!   the election timeout.
//! * A new leader needs the vote of some member of every quorum, thus of one
//!   that answered the round. That voter grants its vote only after the old
//!   lease expired.
//! * A voter that restarts has lost its restriction, and therefore grants no
//!   vote for a whole election timeout.
//! * Only an election by a leadership transfer overrides the restriction, see
//!   [`super::leadership_transfer`].
//! * The clock advances while the process is suspended, so the rounds of a
//!   leader that resumes are too old before it acts.

use super::Node;
use crate::Mutation;
use types::{Monotonic, NodeId};

impl Node {
    /// Returns whether this node is the leader, has committed an entry of its
    /// own term, and a quorum answered a round that began less than the lease
    /// ago. The caller must check this after every wakeup and just before each
    /// effect that requires the lease.
    pub fn holds_lease(&self, now: Monotonic) -> bool {
        let now = now.max(self.clock);
        let Some(leadership) = self.role.leadership() else {
            return false;
        };
        let keeps_lease_during_transfer = self.options.disables(Mutation::LeaseDuringTransfer);
        if leadership.has_given_up_lease() && !keeps_lease_during_transfer {
            return false;
        }
        let round_begun_at = leadership.quorum_round_begun_at(self.id, self.membership(), now);
        self.has_committed_own_term()
            && round_begun_at.is_some_and(|at| now.since(at) < self.options.leader_lease)
    }

    /// Returns whether this node is the leader and has committed an entry of
    /// its own term.
    pub(super) fn has_committed_own_term(&self) -> bool {
        let leadership = self.role.leadership();
        leadership.is_some_and(|leadership| self.commit >= leadership.first_index())
    }

    /// Records that a follower replied in the leader's own term.
    pub(super) fn record_reply(&mut self, from: NodeId, round: u64) {
        let lease_from_reply = self.options.disables(Mutation::LeaseFromReply);
        if let Some(leadership) = self.role.leadership_mut() {
            leadership.record_reply(
                from,
                round,
                lease_from_reply,
                self.clock,
                &self.link_monitor,
                &self.options,
            );
        }
    }

    /// Returns false if this node is the leader and no quorum has replied for
    /// an election timeout.
    pub(super) fn has_quorum_contact(&self) -> bool {
        let timeout = self.options.election_timeout;
        self.role.leadership().is_none_or(|leadership| {
            leadership.has_quorum_contact(self.id, self.membership(), self.clock, timeout)
        })
    }
}
