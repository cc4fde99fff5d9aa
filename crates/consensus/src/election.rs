//! Elections: timeouts, pre-votes, votes and changes of role.

use crate::lease::Rounds;
use crate::node::{Leadership, Role};
use crate::{Message, Mutation, Node, Payload};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use types::{LogIndex, Milliseconds, NodeId, Term};

/// Term and index of the last entry of a log, in the order that compares logs.
type LogEnd = (Term, LogIndex);

/// A failed candidate waits at least this part of the election timeout.
const MIN_RETRY_DIVISOR: u64 = 4;

impl Node {
    /// Takes a message of an election.
    pub(crate) fn step_election(&mut self, from: NodeId, message: Message) {
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
            } => self.on_pre_vote(from, term, (last_term, last_index)),
            Message::PreVoteReply { term, granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote {
                term,
                last_index,
                last_term,
                transfer,
            } => self.on_vote(from, term, (last_term, last_index), transfer),
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted),
            _ => {}
        }
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let min_timeout = self.options.election_timeout.0;
        let spread = self.options.election_spread.0;
        let extra = self.random.random_range(0..spread.max(1));
        // A voter that is degraded lets the others stand first.
        let handicap = match self.options.transfer_when_degraded && self.own_link_health().is_poor()
        {
            true => spread,
            false => 0,
        };
        let wait = min_timeout.saturating_add(extra).saturating_add(handicap);
        self.election_deadline = self.clock + Milliseconds(wait);
    }

    /// When to try again if this attempt fails: soon, since what failed it is
    /// most often a second candidate or a voter that was bound for some
    /// moments longer. Never while this node is itself bound to a leader.
    fn reset_retry_deadline(&mut self) {
        let election_timeout = self.options.election_timeout;
        let min_timeout = election_timeout.0 / MIN_RETRY_DIVISOR;
        let extra = self.random.random_range(0..election_timeout.0.max(2) / 2);
        let retry = self.clock + Milliseconds(min_timeout.saturating_add(extra).max(1));
        let unbound = self.leader_last_contact.map(|at| at + election_timeout);
        let unbound = unbound.unwrap_or_default().max(self.votes_from);
        self.election_deadline = retry.max(unbound);
    }

    fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether this node must grant no vote: it leads, it heard a live
    /// leader less than an election timeout ago, or it may have heard one
    /// before it restarted. This promise is what makes the lease safe.
    fn is_bound_to_leader(&self) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            return true;
        }
        if self.options.has(Mutation::VoteDespiteLeader) {
            return false;
        }
        let is_recent = |at| self.clock.since(at) < self.options.election_timeout;
        self.clock < self.votes_from || self.leader_last_contact.is_some_and(is_recent)
    }

    pub(crate) fn on_election_timeout(&mut self) {
        if !self.is_voter() {
            self.leader = None;
            self.reset_election_deadline();
            return;
        }
        if self.options.has(Mutation::SkipPreVote) {
            self.stand(false);
            return;
        }
        self.become_pre_candidate();
    }

    fn become_pre_candidate(&mut self) {
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.id]));
        self.reset_retry_deadline();
        let (last_term, last_index) = self.log_end();
        let term = next_term(self.term);
        for to in self.other_voters() {
            let message = Message::PreVote {
                term,
                last_index,
                last_term,
            };
            self.send(to, message);
        }
        self.count_pre_votes();
    }

    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.membership().voters.keys();
        voters.filter(|n| **n != self.id).copied().collect()
    }

    /// Stands for election in the next term. The requests wait for the sync:
    /// a candidate that crashed could otherwise win by votes that were given
    /// to a log it has lost.
    pub(crate) fn stand(&mut self, transfer: bool) {
        if !self.is_voter() {
            self.become_follower(self.term, None);
            return;
        }
        self.campaigns_by_transfer = transfer;
        self.term = next_term(self.term);
        self.voted_for = Some(self.id);
        self.leader = None;
        self.incoming = None;
        self.role = Role::Candidate(BTreeSet::new());
        self.reset_retry_deadline();
        tracing::info!(node = %self.id, term = %self.term, transfer, "election started");
        let (last_term, last_index) = self.log_end();
        for to in self.other_voters() {
            let message = Message::Vote {
                term: self.term,
                last_index,
                last_term,
                transfer,
            };
            self.send_after_persist(to, message);
        }
    }

    /// Follows `leader` in `term`, which is not below the node's own.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.incoming = None;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.reset_election_deadline();
        }
        self.role = Role::Follower;
        self.leader = leader;
    }

    fn become_leader(&mut self) {
        tracing::info!(node = %self.id, term = %self.term, "won election");
        let first_index = self.log.push(self.term, Payload::Noop);
        self.role = Role::Leader(Leadership {
            progress: BTreeMap::new(),
            rounds: Rounds::new(),
            next_heartbeat: self.clock,
            first_index,
            transfer: None,
            elected_at: self.clock,
            by_transfer: self.campaigns_by_transfer,
            badly_placed_since: None,
        });
        self.leader = Some(self.id);
        self.follow_members();
        self.begin_round();
    }

    fn on_pre_vote(&mut self, from: NodeId, term: Term, end: LogEnd) {
        let granted = term > self.term && !self.is_bound_to_leader() && end >= self.log_end();
        let reply = Message::PreVoteReply {
            term: if granted { term } else { self.term },
            granted,
        };
        self.send(from, reply);
    }

    fn on_pre_vote_reply(&mut self, from: NodeId, term: Term, granted: bool) {
        if !granted {
            self.step_down_for(term);
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
            self.stand(false);
        }
    }

    fn on_vote(&mut self, from: NodeId, term: Term, end: LogEnd, transfer: bool) {
        // The promise comes before the term: a bound voter does not even take
        // the higher term, or the leader would fall with it.
        if term >= self.term && !transfer && self.is_bound_to_leader() {
            return;
        }
        self.step_down_for(term);
        let free = match self.voted_for {
            Some(candidate) => candidate == from,
            None => self.leader.is_none(),
        };
        let granted = term == self.term && free && end >= self.log_end();
        if granted {
            self.voted_for = Some(from);
            self.reset_election_deadline();
        }
        let reply = Message::VoteReply {
            term: self.term,
            granted,
        };
        self.send_after_persist(from, reply);
    }

    fn on_vote_reply(&mut self, from: NodeId, term: Term, granted: bool) {
        self.step_down_for(term);
        if !granted || term != self.term {
            return;
        }
        if let Role::Candidate(votes) = &mut self.role {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts the votes; the node's own counts once it is synced.
    pub(crate) fn count_votes(&mut self) {
        let Role::Candidate(votes) = &self.role else {
            return;
        };
        let mut votes = votes.clone();
        if self.batches.synced_term() == self.term {
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

    /// Takes a higher term, as a follower without a leader.
    pub(crate) fn step_down_for(&mut self, term: Term) {
        if term > self.term {
            self.become_follower(term, None);
        }
    }
}

fn next_term(term: Term) -> Term {
    Term(term.0.saturating_add(1))
}
