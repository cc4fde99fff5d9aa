//! State of a node, as reported to operators and tests.

use crate::{LinkHealth, Membership, RaftRole};
use types::{LogIndex, Milliseconds, NodeId, Term};

/// State of a node at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Role of the node in `term`.
    pub role: RaftRole,
    /// Highest term that the node has seen.
    pub term: Term,
    /// Leader of `term`; `None` while the node has not received a message from
    /// one.
    pub leader: Option<NodeId>,
    /// Highest index known to be committed at the node.
    pub commit: LogIndex,
    /// Index of the last entry of the node's log.
    pub last_index: LogIndex,
    /// Membership in force, committed or not.
    pub membership: Membership,
    /// Time since the last reply of each other member; empty unless the node is
    /// the leader.
    pub since_last_contact: Vec<(NodeId, Milliseconds)>,
    /// Last index known to match at each other member; empty unless the node is
    /// the leader.
    pub matched: Vec<(NodeId, LogIndex)>,
    /// Health of this node's links: a leader measures it by heartbeat rounds,
    /// a follower by probes to the other followers.
    pub links: LinkHealth,
    /// The last [`LinkHealth`] that each other voter reported.
    pub peer_reports: Vec<(NodeId, LinkHealth)>,
    /// Number of leadership transfers by this process because its links were
    /// degraded.
    pub degraded_transfers: u32,
}
