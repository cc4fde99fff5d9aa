//! Elections (thesis, 3.4, 3.6.1) with pre-vote (9.6).

use super::Node;
use crate::leadership::Leadership;
use crate::log::LogPosition;
use crate::role::Role;
use crate::{Message, Mutation, Payload};
use std::collections::BTreeSet;
use types::{LogIndex, NodeId, Term};

impl Node {
    /// Handles a vote or pre-vote request, or a reply to one.
    pub(super) fn step_election(&mut self, from: NodeId, message: &Message) {
        match *message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => self.on_pre_vote(from, term, log_position(last_term, last_index)),
            Message::PreVoteReply { term, granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote {
                term,
                last_index,
                last_term,
                transfer,
            } => self.on_vote(from, term, log_position(last_term, last_index), transfer),
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted),
            _ => {}
        }
    }

    /// Restarts the election timer. A voter that is unfit to lead waits longer.
    pub(super) fn reset_election_timer(&mut self) {
        let is_degraded =
            self.options.transfer_when_degraded && self.follower_link_health().is_unfit_to_lead();
        self.election_timer
            .reset(self.clock, &self.options, is_degraded);
    }

    fn reset_election_timer_for_retry(&mut self) {
        let last_contact = self.leader_last_contact;
        let restriction_ends = last_contact.map(|at| at + self.options.election_timeout);
        let not_before = restriction_ends.unwrap_or_default().max(self.may_vote_from);
        self.election_timer
            .reset_for_retry(self.clock, &self.options, not_before);
    }

    /// Returns whether this node must not grant a vote: it leads, it accepted a
    /// message from a leader less than an election timeout ago, or it may have
    /// done so before it restarted. The lease depends on this restriction
    /// (thesis, 6.4.1).
    fn is_vote_restricted(&self) -> bool {
        if self.role.is_leader() {
            return true;
        }
        if self.options.disables(Mutation::VoteDespiteLeader) {
            return false;
        }
        let is_recent = |at| self.clock.since(at) < self.options.election_timeout;
        self.clock < self.may_vote_from || self.leader_last_contact.is_some_and(is_recent)
    }

    /// Starts a pre-vote. A node that is not a voter only restarts its timer.
    pub(super) fn on_election_timeout(&mut self) {
        if !self.is_voter() {
            self.leader = None;
            self.reset_election_timer();
            return;
        }
        if self.options.disables(Mutation::SkipPreVote) {
            self.start_election(false);
            return;
        }
        self.become_pre_candidate();
    }

    fn become_pre_candidate(&mut self) {
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        self.reset_election_timer_for_retry();
        let log_end = self.log.end();
        let term = next_term(self.term);
        for to in self.other_voters() {
            let message = Message::PreVote {
                term,
                last_index: log_end.index,
                last_term: log_end.term,
            };
            self.send(to, message);
        }
        self.count_pre_votes();
    }

    /// Returns the voters except this node.
    pub(super) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.membership().voters.keys();
        voters.filter(|n| **n != self.id).copied().collect()
    }

    /// Becomes a candidate in the next term; `transfer` is set if a leadership
    /// transfer started the election. The vote requests wait for the sync:
    /// otherwise a candidate that crashed could win by votes that were granted
    /// for log entries that it lost.
    pub(super) fn start_election(&mut self, transfer: bool) {
        if !self.is_voter() {
            self.become_follower(self.term, None);
            return;
        }
        self.last_election_by_transfer = transfer;
        self.term = next_term(self.term);
        self.voted_for = Some(self.id);
        self.leader = None;
        self.snapshot_receiver.clear();
        self.role = Role::Candidate(BTreeSet::new());
        self.reset_election_timer_for_retry();
        tracing::info!(node = %self.id, term = %self.term, transfer, "election started");
        let log_end = self.log.end();
        for to in self.other_voters() {
            let message = Message::Vote {
                term: self.term,
                last_index: log_end.index,
                last_term: log_end.term,
                transfer,
            };
            self.send_after_persist(to, message);
        }
    }

    /// Becomes a follower in `term`, which is not below the node's own, with
    /// `leader` if it is known.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.snapshot_receiver.clear();
        }
        if self.role.is_leader() {
            self.reset_election_timer();
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    fn become_leader(&mut self) {
        tracing::info!(node = %self.id, term = %self.term, "won election");
        let first_index = self.log.push(self.term, Payload::Noop);
        let leadership = Leadership::new(first_index, self.clock, self.last_election_by_transfer);
        self.role = Role::Leader(leadership);
        self.leader = Some(self.id);
        self.update_members();
        self.begin_round();
    }

    fn on_pre_vote(&mut self, from: NodeId, term: Term, log_end: LogPosition) {
        let granted = term > self.term && !self.is_vote_restricted() && log_end >= self.log.end();
        let reply = Message::PreVoteReply {
            term: if granted { term } else { self.term },
            granted,
        };
        self.send(from, reply);
    }

    fn on_pre_vote_reply(&mut self, from: NodeId, term: Term, granted: bool) {
        if !granted {
            self.step_down_if_outdated(term);
            return;
        }
        if term != next_term(self.term) {
            return;
        }
        if let Role::PreCandidate(votes) = &mut self.role {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let Role::PreCandidate(votes) = &self.role
            && self.is_quorum(votes)
        {
            self.start_election(false);
        }
    }

    fn on_vote(&mut self, from: NodeId, term: Term, log_end: LogPosition, transfer: bool) {
        // Checked before the term is adopted: if a voter whose votes are
        // restricted adopted the higher term, the leader would step down.
        if term >= self.term && !transfer && self.is_vote_restricted() {
            return;
        }
        self.step_down_if_outdated(term);
        let may_vote_for_candidate = match self.voted_for {
            Some(candidate) => candidate == from,
            None => self.leader.is_none(),
        };
        let granted = term == self.term && may_vote_for_candidate && log_end >= self.log.end();
        if granted {
            self.voted_for = Some(from);
            self.reset_election_timer();
        }
        let reply = Message::VoteReply {
            term: self.term,
            granted,
        };
        self.send_after_persist(from, reply);
    }

    fn on_vote_reply(&mut self, from: NodeId, term: Term, granted: bool) {
        self.step_down_if_outdated(term);
        if !granted || term != self.term {
            return;
        }
        if let Role::Candidate(votes) = &mut self.role {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts the votes and becomes leader with a quorum of them. The node's
    /// own vote counts once it is synced.
    pub(super) fn count_votes(&mut self) {
        let Role::Candidate(votes) = &self.role else {
            return;
        };
        let mut votes = votes.clone();
        if self.persist_queue.synced_term() == self.term {
            votes.insert(self.id);
        }
        if self.is_quorum(&votes) {
            self.become_leader();
        }
    }

    fn is_quorum(&self, nodes: &BTreeSet<NodeId>) -> bool {
        let membership = self.membership();
        let voters = membership.voters.keys();
        voters.filter(|n| nodes.contains(n)).count() >= membership.quorum()
    }

    /// Becomes a follower without a known leader if `term` is above the node's
    /// own.
    pub(super) fn step_down_if_outdated(&mut self, term: Term) {
        if term > self.term {
            self.become_follower(term, None);
        }
    }
}

fn log_position(term: Term, index: LogIndex) -> LogPosition {
    LogPosition { term, index }
}

fn next_term(term: Term) -> Term {
    Term(term.0.saturating_add(1))
}
