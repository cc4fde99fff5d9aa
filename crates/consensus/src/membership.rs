//! Which membership is in force, and how it changes.
//!
//! A membership is in force as soon as it is in the log, committed or not,
//! and ends when its entry is truncated. One voter may change at a time, so
//! quorums of neighbouring memberships always share a voter.

use crate::node::{ProposeError, Role};
use crate::{Membership, Node, Payload, SnapshotMeta};
use types::{LogIndex, Monotonic, NodeId};

/// The memberships named by snapshot and log, oldest first.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    base: (LogIndex, Membership),
    later: Vec<(LogIndex, Membership)>,
}

impl MembershipHistory {
    pub fn new(index: LogIndex, membership: Membership) -> Self {
        Self {
            base: (index, membership),
            later: Vec::new(),
        }
    }

    fn newest(&self) -> &(LogIndex, Membership) {
        self.later.last().unwrap_or(&self.base)
    }

    /// The membership in force.
    pub fn current(&self) -> &Membership {
        &self.newest().1
    }

    /// The index of the entry that put it in force.
    pub fn current_index(&self) -> LogIndex {
        self.newest().0
    }

    /// The membership at `index`; none before what is remembered.
    pub fn at(&self, index: LogIndex) -> Option<&Membership> {
        let later = self.later.iter().rev().find(|(at, _)| *at <= index);
        match later {
            Some((_, membership)) => Some(membership),
            None if self.base.0 <= index => Some(&self.base.1),
            None => None,
        }
    }

    pub fn push(&mut self, index: LogIndex, membership: Membership) {
        self.later.push((index, membership));
    }

    pub fn truncate_from(&mut self, index: LogIndex) {
        self.later.retain(|(at, _)| *at < index);
    }

    /// Forgets the memberships before the one in force at `index`.
    pub fn compact(&mut self, index: LogIndex) {
        let passed = self.later.partition_point(|(at, _)| *at <= index);
        if let Some(base) = self.later.drain(..passed).next_back() {
            self.base = base;
        }
    }

    /// Starts anew from a snapshot's membership, with the log's tail after it.
    pub fn install(&mut self, index: LogIndex, membership: Membership) {
        self.later.retain(|(at, _)| *at > index);
        self.base = (index, membership);
    }
}

/// Voters in just one of the two memberships.
fn changed_voters(old: &Membership, new: &Membership) -> usize {
    let removed = old.voters.keys().filter(|n| !new.voters.contains_key(n));
    let added = new.voters.keys().filter(|n| !old.voters.contains_key(n));
    removed.count() + added.count()
}

impl Node {
    pub(crate) fn membership(&self) -> &Membership {
        self.history.current()
    }

    /// True if this node has a vote in the membership in force.
    pub(crate) fn is_voter(&self) -> bool {
        self.membership().voters.contains_key(&self.id)
    }

    /// The other members, voters and learners.
    pub(crate) fn other_members(&self) -> Vec<NodeId> {
        let membership = self.membership();
        let voters = membership.voters.keys();
        let members = voters.chain(membership.learners.keys());
        let mut others: Vec<NodeId> = members.filter(|n| **n != self.id).copied().collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Appends a new membership that differs by at most one voter; learners
    /// may change freely.
    ///
    /// A leader that has not yet committed an entry of its own term answers
    /// [`ProposeError::ChangeInProgress`]: an earlier term's change may still
    /// be under way without its knowledge, and two such changes need not have
    /// a voter in common.
    pub fn propose_membership(
        &mut self,
        now: Monotonic,
        membership: Membership,
    ) -> Result<LogIndex, ProposeError> {
        self.observe(now);
        self.check_may_propose()?;
        if self.history.current_index() > self.commit || !self.has_committed_own_term() {
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
        self.history.push(index, membership);
        self.follow_members();
        Ok(index)
    }

    /// Brings the leader's progress list in line with the membership.
    pub(crate) fn follow_members(&mut self) {
        let others = self.other_members();
        let next = self.log.last_index();
        let now = self.clock;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.follow_members(&others, next, now);
        }
    }

    /// What a snapshot that covers the log up to `index` has to say of itself;
    /// none if there is nothing before it, or if it is not committed or lies
    /// too far back.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        if index == LogIndex(0) || index > self.commit {
            return None;
        }
        Some(SnapshotMeta {
            index,
            term: self.log.term_at(index)?,
            membership: self.history.at(index)?.clone(),
        })
    }
}
