//! Where a daemon listens, and which role it has.

use crate::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The role a daemon was started in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Keeps the record; its leader runs the scheduler.
    Coordinator,
    /// Serves callers and operators.
    Gateway,
    /// Serves the runner on its machine.
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

/// A daemon as others know it: identity, role, zone and peer socket.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// Identity; a process with an empty disk always has a new one.
    pub node: NodeId,
    /// The role.
    pub role: Role,
    /// The zone from its settings.
    pub zone: ZoneName,
    /// IP and port of the daemon's peer listener.
    pub socket: SocketAddr,
}
