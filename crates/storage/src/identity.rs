//! Identity of a coordinator.

use consensus::Membership;
use serde::{Deserialize, Serialize};
use types::{ClusterId, NodeId};

/// Identity of the coordinator that owns a data folder. It is created at the
/// first start; cluster and initial voters are added once all initial
/// coordinators agree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Identity of the node.
    pub node: NodeId,
    /// The cluster, once the node belongs to one.
    pub cluster: Option<ClusterId>,
    /// Voters agreed at the cluster's first start; empty for a node that joined
    /// later.
    pub initial: Membership,
}
