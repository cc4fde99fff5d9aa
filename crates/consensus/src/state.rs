//! Persistent state of Raft: entries, hard state, membership, snapshots.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use types::{LogIndex, NodeId, Term};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Command, new membership or no-op.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term. With it the entries of
    /// earlier terms are committed (thesis, 6.4).
    Noop,
    /// A command for the state machine, opaque to Raft.
    Command(Arc<[u8]>),
    /// A new membership, in force as soon as it is in the log.
    Membership(Membership),
}

/// Estimated size of one member in a membership entry, in bytes.
const MEMBER_BYTES: usize = 40;

impl Payload {
    /// Returns the estimated size in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Noop => 0,
            Self::Command(command) => command.len(),
            Self::Membership(membership) => {
                MEMBER_BYTES * (membership.voters.len() + membership.learners.len())
            }
        }
    }
}

/// Voters and learners with their peer addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// Members that count for elections and commits.
    pub voters: BTreeMap<NodeId, SocketAddr>,
    /// Members that receive the log without a vote (thesis, 4.2.1).
    pub learners: BTreeMap<NodeId, SocketAddr>,
}

impl Membership {
    /// Returns the peer address of a member; `None` for other nodes.
    pub fn socket(&self, node: NodeId) -> Option<SocketAddr> {
        self.voters
            .get(&node)
            .or_else(|| self.learners.get(&node))
            .copied()
    }

    /// Returns the number of voters in a quorum, the smallest majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// State that must be synced before a vote or a reply to an append is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received this node's vote in that term; `None` if it gave
    /// no vote.
    pub voted_for: Option<NodeId>,
    /// Highest index known to be committed; only a hint, which shortens a
    /// restart.
    pub commit: LogIndex,
}

/// Metadata of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last index that the snapshot covers.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the log, and the membership there.
    pub meta: SnapshotMeta,
    /// The encoded state machine, opaque to Raft.
    pub data: Arc<[u8]>,
}

/// State recovered from the disk at start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Recovered {
    /// Hard state; the default for a new node.
    pub hard_state: HardState,
    /// Newest complete snapshot; `None` if there is none.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Role of a node in its term, as reported in [`crate::Status`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftRole {
    /// Receives the log and has no vote.
    Learner,
    /// Replicates a leader's log, or waits for a leader.
    Follower,
    /// Requests pre-votes, without a new term (thesis, 9.6).
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Appends entries and replicates them.
    Leader,
}
