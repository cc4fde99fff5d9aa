//! Role of a node in its term, with the state that belongs to the role.

use crate::leadership::Leadership;
use std::collections::BTreeSet;
use types::NodeId;

/// Role of a node in its term.
#[derive(Debug)]
pub(crate) enum Role {
    /// Follower or learner.
    Follower,
    /// Pre-candidate, with the voters that granted the pre-vote.
    PreCandidate(BTreeSet<NodeId>),
    /// Candidate, with the other voters that granted their vote; its own vote
    /// counts once it is synced.
    Candidate(BTreeSet<NodeId>),
    /// Leader of its term, with the replication state of the other members.
    Leader(Leadership),
}

impl Role {
    /// Returns whether the node is the leader of its term.
    pub fn is_leader(&self) -> bool {
        matches!(self, Self::Leader(_))
    }

    /// Returns the state of the leader; `None` in other roles.
    pub fn leadership(&self) -> Option<&Leadership> {
        match self {
            Self::Leader(leadership) => Some(leadership),
            Self::Follower | Self::PreCandidate(_) | Self::Candidate(_) => None,
        }
    }

    /// Returns the state of the leader, to be modified; `None` in other roles.
    pub fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match self {
            Self::Leader(leadership) => Some(leadership),
            Self::Follower | Self::PreCandidate(_) | Self::Candidate(_) => None,
        }
    }
}
