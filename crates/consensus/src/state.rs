//! What Raft keeps: entries, hard state, membership, snapshots.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use types::{LogIndex, NodeId, Term};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A leader's first entry: it lets earlier terms' entries commit.
    Noop,
    /// A command for the state machine, opaque here.
    Command(Arc<[u8]>),
    /// A new membership, in force as soon as it is in the log.
    Membership(Membership),
}

/// The bytes a member of a membership is counted with.
const MEMBER_BYTES: usize = 40;

impl Payload {
    /// About how long it is.
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

/// Voters and learners with their peer sockets.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose acknowledgements count.
    pub voters: BTreeMap<NodeId, SocketAddr>,
    /// Members that receive the log and do not vote.
    pub learners: BTreeMap<NodeId, SocketAddr>,
}

impl Membership {
    /// The socket of any member.
    pub fn socket(&self, node: NodeId) -> Option<SocketAddr> {
        self.voters
            .get(&node)
            .or_else(|| self.learners.get(&node))
            .copied()
    }

    /// Voters needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// What must be on disk before a vote or an acknowledgement leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Whom this node voted for in that term.
    pub voted_for: Option<NodeId>,
    /// Highest index known committed; a hint that saves work at restart.
    pub commit: LogIndex,
}

/// What a snapshot covers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last index it covers.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
    /// Membership at that index.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// What it covers.
    pub meta: SnapshotMeta,
    /// The state machine's bytes, opaque here.
    pub data: Arc<[u8]>,
}

/// What was found on disk at start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Recovered {
    /// The hard state; default for a new node.
    pub hard_state: HardState,
    /// The newest whole snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without holes.
    pub entries: Vec<Entry>,
}

/// The role of a node in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftRole {
    /// Receives the log without a vote.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won, without raising its term.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Appends and replicates.
    Leader,
}
