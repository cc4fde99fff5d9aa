//! Messages of the session between a daemon and the leader.

use serde::{Deserialize, Serialize};
use types::{Address, ClusterId, ConfigurationVersion, Milliseconds, RunnerId, Term};

/// Opens or renews a session with the leader.
///
/// Gateways, agents and coordinators that are not members yet send one in every
/// session interval. Members send it too, to report the configuration that they
/// have applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAlive {
    /// Number of this keep-alive, rising within one process. The lease echoes
    /// it.
    pub sequence: u64,
    /// Version of the sender's configuration replica; of a member, the version
    /// that it has applied.
    pub configuration: ConfigurationVersion,
    /// Runners that the sender serves. Empty unless it is an agent.
    pub runners: Vec<RunnerId>,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Cluster of the sender. `None` for a coordinator with an empty disk.
    pub cluster: Option<ClusterId>,
}

/// The leader's answer to a keep-alive.
///
/// The leader sends it only while its own leader lease is valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionLease {
    /// Term of the leader.
    pub term: Term,
    /// Address of the leader.
    pub leader: Address,
    /// Cluster of the leader.
    pub cluster: ClusterId,
    /// Sequence of the keep-alive that is answered. The lease counts from the
    /// time at which that one was sent.
    pub sequence: u64,
    /// Length of the session lease, in milliseconds.
    pub lease: Milliseconds,
    /// Configuration version in force. If the receiver's replica is behind, the
    /// document follows in a message of its own.
    pub configuration: ConfigurationVersion,
    /// Coordinators that are alive.
    pub coordinators: Vec<Address>,
    /// Gateways and agents that are alive. Filled in some leases only; an empty
    /// list does not mean that there are none.
    pub others: Vec<Address>,
}
