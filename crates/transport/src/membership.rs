//! Messages for the discovery of members and the bootstrap of a new cluster.

use serde::{Deserialize, Serialize};
use types::{Address, ClusterId, Term};

/// Members and leader as seen by one daemon, in reply to
/// [`PeerMessage::Discover`](crate::PeerMessage::Discover).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that the sender considers alive, including itself.
    pub members: Vec<Address>,
    /// Leader as seen by the sender. `None` if the sender has no leader.
    pub leader: Option<Address>,
    /// Term of the leader; without a leader, the highest term that the sender
    /// has seen.
    pub term: Term,
    /// Cluster of the sender. `None` if the sender has not joined a cluster.
    pub cluster: Option<ClusterId>,
}

/// A step of the bootstrap of a new cluster, between its initial coordinators.
///
/// The bootstrap succeeds only if all initial coordinators are present and their
/// disks are empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bootstrap {
    /// Announces a coordinator with an empty disk to the other initial
    /// coordinators.
    Announce {
        /// Number of initial coordinators in the sender's settings.
        expected: u32,
    },
    /// Proposes the cluster and its voters. Sent by the coordinator that performs
    /// the bootstrap, by default the one with the lowest node identifier.
    Propose {
        /// Identifier of the new cluster.
        cluster: ClusterId,
        /// Voters of the new cluster: all initial coordinators.
        voters: consensus::Membership,
    },
    /// Accepts a proposal after the sender has synced it to its disk.
    Accept {
        /// Identifier of the proposed cluster.
        cluster: ClusterId,
    },
}
