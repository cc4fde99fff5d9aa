//! Messages of the session between a daemon and the leader.

use serde::{Deserialize, Serialize};
use types::{Address, ClusterId, ConfigurationVersion, Milliseconds, RunnerId, Term};

/// Opens or renews a session with the leader.
///
/// Gateways, agents and coordinators that are not members yet send one keep-alive
/// per session interval. Members also send keep-alives, to report the
/// configuration version that they have applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAlive {
    /// Number of the keep-alive, increasing within one process and repeated in
    /// the lease.
    pub sequence: u64,
    /// Version of the sender's configuration replica. For a member, the version
    /// that the member has applied.
    pub configuration: ConfigurationVersion,
    /// Runners of the sender. Empty unless the sender is an agent.
    pub runners: Vec<RunnerId>,
    /// Whether the sender is shutting down, which ends the session.
    pub leaving: bool,
    /// Cluster of the sender. `None` for a coordinator with an empty disk.
    pub cluster: Option<ClusterId>,
}

/// Reply of the leader to a keep-alive.
///
/// Sent only while the leader lease is valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionLease {
    /// Term of the leader.
    pub term: Term,
    /// Address of the leader.
    pub leader: Address,
    /// Cluster of the leader.
    pub cluster: ClusterId,
    /// Number of the keep-alive that is answered. The lease starts at the time at
    /// which that keep-alive was sent.
    pub sequence: u64,
    /// Length of the session lease, in milliseconds.
    pub lease: Milliseconds,
    /// Configuration version in force. If the receiver's replica is older, the
    /// configuration follows in a separate message.
    pub configuration: ConfigurationVersion,
    /// Addresses of the coordinators that are alive.
    pub coordinators: Vec<Address>,
    /// Addresses of gateways and agents that are alive. Only some leases contain
    /// them, so an empty list does not mean that there are none.
    pub others: Vec<Address>,
}
