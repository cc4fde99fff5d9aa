//! Messages by which daemons find each other and a cluster starts for the
//! first time.

use serde::{Deserialize, Serialize};
use types::{Address, ClusterId, Term};

/// The members that a daemon knows, sent in answer to a discovery.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that the sender believes alive, itself included.
    pub members: Vec<Address>,
    /// Leader that the sender knows of, if any.
    pub leader: Option<Address>,
    /// Term of that leader.
    pub term: Term,
    /// Cluster of the sender, if it belongs to one.
    pub cluster: Option<ClusterId>,
}

/// A step of the first start of a cluster, between its initial coordinators.
///
/// The start succeeds only when all of them are present and their disks empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bootstrap {
    /// Announces an empty coordinator to the others.
    Announce {
        /// Number of initial coordinators in the sender's settings.
        expected: u32,
    },
    /// Proposes cluster and voters, from the coordinator with the lowest
    /// identity to the others.
    Propose {
        /// Identity of the new cluster.
        cluster: ClusterId,
        /// Its voters, which are all initial coordinators.
        voters: consensus::Membership,
    },
    /// Accepts a proposal that the sender has synced to its disk.
    Accept {
        /// Cluster that was proposed.
        cluster: ClusterId,
    },
}
