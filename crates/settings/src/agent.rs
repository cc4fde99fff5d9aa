//! Settings of the agent role.

use crate::node::read_listener;
use crate::reader::Reader;
use crate::session::SessionTimings;
use crate::{LogLevel, NodeSettings, RoleSettings};
use std::net::SocketAddr;

/// Settings of an agent, read from its file and flags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings that all roles share.
    pub node: NodeSettings,
    /// Key `http_listen`: listener for runners, and for livez, readyz and metrics.
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
    /// Interval between keep-alives to the leader, in milliseconds. Default 400.
    pub session_interval_ms: u64,
    /// Time for which the configuration replica stays valid after the leader
    /// confirmed it, in milliseconds. Default 1800.
    pub replica_valid_ms: u64,
    /// Time after which the result of an unanswered order is unknown, in
    /// milliseconds. Default 1000.
    pub order_timeout_ms: u64,
    /// Minimum gap of the clock that counts as a suspend of the machine, in
    /// milliseconds. Default 1000.
    pub freeze_after_ms: u64,
}

impl AgentTimings {
    fn read(reader: &mut Reader) -> Self {
        let session = SessionTimings::read(reader);
        Self {
            session_interval_ms: session.interval_ms,
            replica_valid_ms: session.replica_valid_ms,
            order_timeout_ms: reader.ranged("timings.order_timeout_ms", 1_000, 20..=60_000),
            freeze_after_ms: reader.ranged("timings.freeze_after_ms", 1_000, 100..=60_000),
        }
    }
}
