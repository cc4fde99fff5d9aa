//! Settings of an agent.

use crate::gateway::read_session_timings;
use crate::node::read_listener;
use crate::reader::Reader;
use crate::{LogLevel, NodeSettings, RoleSettings};
use std::net::SocketAddr;

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// What all roles have.
    pub node: NodeSettings,
    /// Key `http_listen`: socket for runners; also livez, readyz and metrics.
    pub http_listen: SocketAddr,
    /// Table `timings`.
    pub timings: AgentTimings,
}

impl RoleSettings for AgentSettings {
    fn read(reader: &mut Reader) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let http_listen = read_listener(reader, "http_listen", node.as_ref());
        let timings = AgentTimings::read(reader);
        Some(Self {
            node: node?,
            http_listen: http_listen?,
            timings,
        })
    }

    fn node(&self) -> &NodeSettings {
        &self.node
    }

    fn with_log_level(mut self, level: LogLevel) -> Self {
        self.node.log.level = level;
        self
    }
}

/// Table `timings` of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentTimings {
    /// Time between keep-alives to the leader. Default 400.
    pub session_interval_ms: u64,
    /// The configuration replica counts for this long after the leader's last
    /// word. Default 1800.
    pub replica_valid_ms: u64,
    /// An order without the runner's answer for this long is unknown.
    /// Default 1000.
    pub order_timeout_ms: u64,
    /// A jump of the clock that counts as a freeze. Default 1000.
    pub freeze_after_ms: u64,
}

impl AgentTimings {
    fn read(reader: &mut Reader) -> Self {
        let (session_interval_ms, replica_valid_ms) = read_session_timings(reader);
        Self {
            session_interval_ms,
            replica_valid_ms,
            order_timeout_ms: reader.ranged("timings.order_timeout_ms", 1_000, 20..=60_000),
            freeze_after_ms: reader.ranged("timings.freeze_after_ms", 1_000, 100..=60_000),
        }
    }
}
