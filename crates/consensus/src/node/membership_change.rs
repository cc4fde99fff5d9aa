//! Membership changes by one voter at a time (thesis, 4.1): the quorums of two
//! successive memberships always share a voter.

use super::Node;
use crate::{Membership, Payload, ProposeError};
use types::{LogIndex, Monotonic, NodeId};

/// Returns the number of voters that are in only one of the two memberships.
fn changed_voters(old: &Membership, new: &Membership) -> usize {
    let removed = old.voters.keys().filter(|n| !new.voters.contains_key(n));
    let added = new.voters.keys().filter(|n| !old.voters.contains_key(n));
    removed.count() + added.count()
}

impl Node {
    /// Returns the membership in force, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        self.membership_history.current()
    }

    /// Returns whether this node is a voter in the membership in force.
    pub(super) fn is_voter(&self) -> bool {
        self.membership().voters.contains_key(&self.id)
    }

    /// Returns the other members, voters and learners, in ascending order.
    fn other_members(&self) -> Vec<NodeId> {
        let membership = self.membership();
        let voters = membership.voters.keys();
        let members = voters.chain(membership.learners.keys());
        let mut others: Vec<NodeId> = members.filter(|n| **n != self.id).copied().collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Appends a new membership and returns its index. It may differ from the
    /// membership in force by one voter and by any number of learners.
    ///
    /// # Errors
    ///
    /// * [`ProposeError::NotLeader`] as for [`Node::propose`].
    /// * [`ProposeError::ChangeInProgress`] if the last change is not
    ///   committed, or the leader has not committed an entry of its own term: a
    ///   change of an earlier term may be in progress that is not in the
    ///   leader's log, and the quorums of two such changes need not have a
    ///   voter in common.
    /// * [`ProposeError::NoVoters`] and [`ProposeError::MoreThanOneVoter`] for
    ///   a membership that is not allowed.
    pub fn propose_membership(
        &mut self,
        now: Monotonic,
        membership: Membership,
    ) -> Result<LogIndex, ProposeError> {
        self.advance_clock(now);
        self.check_may_propose()?;
        if self.membership_history.current_index() > self.commit || !self.has_committed_own_term() {
            return Err(ProposeError::ChangeInProgress);
        }
        if membership.voters.is_empty() {
            return Err(ProposeError::NoVoters);
        }
        if changed_voters(self.membership(), &membership) > 1 {
            return Err(ProposeError::MoreThanOneVoter);
        }
        let payload = Payload::Membership(membership.clone());
        let index = self.log.push(self.term, payload);
        self.membership_history.push(index, membership);
        self.update_members();
        Ok(index)
    }

    /// Updates the members to which the leader replicates.
    pub(super) fn update_members(&mut self) {
        let others = self.other_members();
        let last_index = self.log.last_index();
        if let Some(leadership) = self.role.leadership_mut() {
            leadership.update_members(&others, last_index, self.clock);
        }
    }
}
