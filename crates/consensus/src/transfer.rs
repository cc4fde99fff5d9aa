//! Handing leadership over.
//!
//! The receiver of `TimeoutNow` stands at once, and its votes are given
//! despite the promise to the live leader. So from the moment `TimeoutNow` is
//! queued the leader of term T must not hold its lease, and not only until
//! the transfer times out: the message may arrive at any later time. A
//! transfer that failed therefore ends by this node's standing itself for
//! term T+1, again with the transfer flag. The flag overrides only promises
//! to a leader of term T or before, and that leader is this node, which gave
//! its lease up. If the late receiver stands for T+1 as well, each voter
//! gives its one vote of that term to one of them. A leader that transfers leadership since
//! it is degraded (see [`crate::link_health`]) does not stand again: it follows.

use crate::node::{Leadership, Role};
use crate::{Message, Node};
use types::{LogIndex, Monotonic, NodeId, Term};

/// A transfer under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    target: NodeId,
    deadline: Monotonic,
    /// Whether `TimeoutNow` was queued: the lease is given up for this term.
    sent: bool,
    /// This leader is degraded: it does not stand again if this fails.
    leaves_degraded_leader: bool,
}

impl Leadership {
    /// True once the lease is given up for this term.
    pub(crate) fn handed_over(&self) -> bool {
        self.transfer.as_ref().is_some_and(|t| t.sent)
    }

    /// When the transfer under way, if any, times out.
    pub(crate) fn transfer_deadline(&self) -> Option<Monotonic> {
        self.transfer.as_ref().map(|t| t.deadline)
    }
}

impl Node {
    /// Returns whether a transfer is under way: nothing can be proposed.
    pub fn is_handing_over(&self) -> bool {
        matches!(&self.role, Role::Leader(leadership) if leadership.transfer.is_some())
    }

    /// Hands leadership to the most advanced voter; returns it, if there is
    /// one. Proposals are rejected from now on. If the voter has not taken over
    /// within an election timeout this node goes on leading, in a new term if
    /// it had already told the voter to stand.
    pub fn transfer_leadership(&mut self, now: Monotonic) -> Option<NodeId> {
        self.observe(now);
        let target = self.furthest_voter();
        self.transfer_to(target?, false)
    }

    /// Hands leadership to this voter, unless a transfer is under way; returns
    /// whom it goes to.
    pub(crate) fn transfer_to(
        &mut self,
        target: NodeId,
        leaves_degraded_leader: bool,
    ) -> Option<NodeId> {
        let deadline = self.clock + self.options.election_timeout;
        let Role::Leader(leadership) = &mut self.role else {
            return None;
        };
        if let Some(transfer) = &leadership.transfer {
            return Some(transfer.target);
        }
        leadership.transfer = Some(Transfer {
            target,
            deadline,
            sent: false,
            leaves_degraded_leader,
        });
        self.advance_transfer();
        Some(target)
    }

    /// The voter with the longest log among those heard lately.
    pub(crate) fn furthest_voter(&self) -> Option<NodeId> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let voters = &self.membership().voters;
        leadership
            .progress
            .iter()
            .filter(|(node, _)| voters.contains_key(node))
            .filter(|(_, p)| self.clock.since(p.last_contact) < self.options.election_timeout)
            .max_by_key(|(_, p)| (p.matched, p.last_contact))
            .map(|(node, _)| *node)
    }

    /// Tells the target to stand once it has the whole log.
    pub(crate) fn advance_transfer(&mut self) {
        let last_index: LogIndex = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let progress = leadership.progress.get(&transfer.target);
        if transfer.sent || progress.is_none_or(|p| p.matched < last_index) {
            return;
        }
        transfer.sent = true;
        let to = transfer.target;
        if transfer.leaves_degraded_leader {
            self.record_degraded_transfer();
        }
        self.send(to, Message::TimeoutNow { term: self.term });
    }

    /// A leader that steps down in its term will never hold the lease of this
    /// term again, so the promise to it may be overridden as by a transfer. Where
    /// it can still be heard (it is cut off one way), the voter told stands at
    /// once, in place of waiting until its promise has run out.
    pub(crate) fn release_followers(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let voters = &self.membership().voters;
        let members = leadership.progress.iter();
        let successor = members
            .filter(|(node, _)| voters.contains_key(node))
            .max_by_key(|(_, progress)| (progress.matched, progress.last_contact))
            .map(|(node, _)| *node);
        if let Some(to) = successor {
            self.send(to, Message::TimeoutNow { term: self.term });
        }
    }

    /// Ends a transfer that took too long.
    pub(crate) fn check_transfer(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let deadline = leadership.transfer_deadline();
        if deadline.is_none_or(|at| self.clock < at) {
            return;
        }
        let leaves_degraded_leader = leadership
            .transfer
            .as_ref()
            .is_some_and(|t| t.leaves_degraded_leader);
        match leadership.handed_over() {
            // Others, better placed, stand when their promise has run out.
            true if leaves_degraded_leader => self.become_follower(self.term, None),
            true => self.stand(true),
            false => leadership.transfer = None,
        }
    }

    pub(crate) fn on_timeout_now(&mut self, term: Term) {
        let follows = matches!(self.role, Role::Follower | Role::PreCandidate(_));
        if term == self.term && follows && self.is_voter() {
            self.stand(true);
        }
    }
}
