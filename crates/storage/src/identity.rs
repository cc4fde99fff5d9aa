//! Persistent identity of a coordinator.

use consensus::Membership;
use serde::{Deserialize, Serialize};
use types::{ClusterId, NodeId};

/// Identity of the coordinator that owns a data folder.
///
/// The identity is created at the first start. Cluster and initial voters are
/// added once all initial coordinators agree on them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Identifier of the coordinator as a node of its cluster.
    pub node: NodeId,
    /// Cluster that the node belongs to, or `None` before it joins one.
    pub cluster: Option<ClusterId>,
    /// Voters agreed on at the cluster's first start; empty for a node that
    /// joined later. Before the node belongs to a cluster: the node itself if it
    /// may bootstrap one, otherwise empty.
    pub initial: Membership,
}
