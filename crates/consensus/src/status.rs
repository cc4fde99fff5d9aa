//! The report of a node about its state, for operators and tests.

use crate::{LinkHealth, Membership, RaftRole};
use types::{LogIndex, Milliseconds, NodeId, Term};

/// State of a node at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: RaftRole,
    /// Its term.
    pub term: Term,
    /// The leader of that term, if the node knows it.
    pub leader: Option<NodeId>,
    /// Its commit index.
    pub commit: LogIndex,
    /// Index of the last entry of its log.
    pub last_index: LogIndex,
    /// The membership in force.
    pub membership: Membership,
    /// Leader only: time since the last reply of each other member.
    pub since_last_contact: Vec<(NodeId, Milliseconds)>,
    /// Leader only: last index known to match at each other member.
    pub matched: Vec<(NodeId, LogIndex)>,
    /// Health of this node's links: a leader measures it by heartbeat rounds,
    /// a follower by probes to the other followers.
    pub links: LinkHealth,
    /// The last [`LinkHealth`] that each other voter reported.
    pub peer_reports: Vec<(NodeId, LinkHealth)>,
    /// Transfers of leadership by this process because its links were degraded.
    pub degraded_transfers: u32,
}
