//! Roles and network addresses of daemons.

use crate::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Role of a daemon, fixed at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Holds a replica of the log; the leader among the coordinators runs the scheduler.
    Coordinator,
    /// Serves the HTTP requests of callers and operators.
    Gateway,
    /// Forwards heartbeats and orders between the leader and the runner on its machine.
    Agent,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Coordinator => "coordinator",
            Self::Gateway => "gateway",
            Self::Agent => "agent",
        })
    }
}

/// Identity, role, zone and peer socket of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// Identity of the daemon. A process that starts with an empty disk draws a new one.
    pub node: NodeId,
    /// Role that the daemon was started in.
    pub role: Role,
    /// Zone, from the settings of the daemon.
    pub zone: ZoneName,
    /// IP address and port at which other daemons reach its peer listener.
    pub socket: SocketAddr,
}
