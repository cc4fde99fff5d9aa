//! Leadership transfer (thesis, 3.10).
//!
//! The target of `TimeoutNow` starts an election at once, and voters grant it
//! their votes despite the vote restriction (see [`super::lease`]). So the
//! leader of term T gives up its lease as soon as it queues `TimeoutNow`. It
//! does not regain the lease when the transfer times out, since the message may
//! arrive at any later time. Instead, if the transfer fails, this node starts
//! an election for term T+1 itself, again with the transfer flag. The flag
//! overrides only a restriction due to a leader of term T or before, and that
//! leader is this node, which gave up its lease. If the target starts its
//! election for T+1 as well, each voter grants its one vote of that term to one
//! of them. A leader that transferred leadership because its links are degraded
//! (see [`crate::link_health`]) starts no election: it becomes a follower.

use super::Node;
use crate::Message;
use crate::leadership::Leadership;
use crate::role::Role;
use crate::transfer::{Transfer, TransferReason};
use types::{Monotonic, NodeId, Term};

impl Node {
    /// Returns whether this node is the leader and transfers leadership.
    /// Proposals are rejected meanwhile.
    pub fn is_transferring_leadership(&self) -> bool {
        let leadership = self.role.leadership();
        leadership.is_some_and(Leadership::is_transferring)
    }

    /// Transfers leadership to the voter with the longest log and returns that
    /// voter; `None` if this node is not the leader or no other voter replied
    /// within the last election timeout. If a transfer is in progress, returns
    /// its target instead.
    ///
    /// Proposals are rejected from now on. If the target has not been elected
    /// within an election timeout, this node continues to lead, in a new term
    /// if it had sent `TimeoutNow`.
    pub fn transfer_leadership(&mut self, now: Monotonic) -> Option<NodeId> {
        self.advance_clock(now);
        let target = self.voter_with_longest_log();
        self.transfer_to(target?, TransferReason::Requested)
    }

    /// Transfers leadership to `target`, unless a transfer is in progress.
    /// Returns the target of the transfer in progress; `None` if this node is
    /// not the leader.
    fn transfer_to(&mut self, target: NodeId, reason: TransferReason) -> Option<NodeId> {
        let deadline = self.clock + self.options.election_timeout;
        let leadership = self.role.leadership_mut()?;
        if let Some(transfer) = leadership.transfer() {
            return Some(transfer.target());
        }
        leadership.begin_transfer(Transfer::new(target, deadline, reason));
        self.advance_transfer();
        Some(target)
    }

    /// Returns the voter with the longest log among those that replied within
    /// the last election timeout.
    pub(super) fn voter_with_longest_log(&self) -> Option<NodeId> {
        let max_reply_age = Some(self.options.election_timeout);
        let leadership = self.role.leadership()?;
        leadership.voter_with_longest_log(self.membership(), self.clock, max_reply_age)
    }

    /// Sends `TimeoutNow` once the target has the whole log.
    pub(super) fn advance_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Some(leadership) = self.role.leadership_mut() else {
            return;
        };
        let Some((target, reason)) = leadership.take_ready_target(last_index) else {
            return;
        };
        if reason == TransferReason::Degraded {
            self.link_monitor.record_degraded_transfer(self.clock);
        }
        self.send(target, Message::TimeoutNow { term: self.term });
    }

    /// Sends `TimeoutNow` to the voter with the longest log when this leader
    /// steps down for lack of a quorum. The leader never holds the lease of
    /// this term again, so the vote restriction may be overridden as in a
    /// transfer. If the link fails in one direction only, the voter thus does
    /// not wait until its restriction ends.
    pub(super) fn request_successor_election(&mut self) {
        let Some(leadership) = self.role.leadership() else {
            return;
        };
        let successor = leadership.voter_with_longest_log(self.membership(), self.clock, None);
        if let Some(to) = successor {
            self.send(to, Message::TimeoutNow { term: self.term });
        }
    }

    /// Ends a transfer that timed out.
    pub(super) fn expire_transfer(&mut self) {
        let Some(leadership) = self.role.leadership_mut() else {
            return;
        };
        let Some(transfer) = leadership.transfer() else {
            return;
        };
        if self.clock < transfer.deadline() {
            return;
        }
        if !transfer.timeout_now_sent() {
            leadership.cancel_transfer();
            return;
        }
        match transfer.reason() {
            // Voters with better links start an election when their vote
            // restriction ends.
            TransferReason::Degraded => self.become_follower(self.term, None),
            TransferReason::Requested => self.start_election(true),
        }
    }

    /// Starts an election at the request of the leader of `term`.
    pub(super) fn on_timeout_now(&mut self, term: Term) {
        let may_start_election = matches!(self.role, Role::Follower | Role::PreCandidate(_));
        if term == self.term && may_start_election && self.is_voter() {
            self.start_election(true);
        }
    }

    /// Transfers leadership if the leader's links have been degraded for long
    /// enough and another voter has healthy links. Called at each round of
    /// heartbeats.
    pub(super) fn transfer_if_degraded(&mut self) {
        let now = self.clock;
        let Some(leadership) = self.role.leadership_mut() else {
            return;
        };
        let health = leadership.link_health(self.membership_history.current(), &self.link_monitor);
        let is_due = leadership.update_degraded(health.is_degraded(), now, &self.options);
        if !self.options.transfer_when_degraded || !is_due || leadership.is_transferring() {
            return;
        }
        let target = leadership.healthiest_voter(
            self.membership_history.current(),
            &self.link_monitor,
            self.log.last_index(),
            now,
            &self.options,
        );
        let Some(target) = target else {
            return;
        };
        tracing::warn!(node = %self.id, term = %self.term, peer = %target,
            bad_links = health.bad_links, good_links = health.good_links,
            lag_ms = self.link_monitor.lag().0,
            "transferring leadership: links degraded");
        self.transfer_to(target, TransferReason::Degraded);
    }
}
