//! Settings of the gateway role.

use crate::node::read_listener;
use crate::reader::Reader;
use crate::session::SessionTimings;
use crate::{LogLevel, NodeSettings, RoleSettings};
use std::net::SocketAddr;

/// Settings of a gateway, read from its file and flags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Settings that all roles share.
    pub node: NodeSettings,
    /// Key `http_listen`: listener for callers and operators, and for livez,
    /// readyz and metrics.
    pub http_listen: SocketAddr,
    /// Table `timings`.
    pub timings: GatewayTimings,
    /// Table `limits`.
    pub limits: GatewayLimits,
}

impl RoleSettings for GatewaySettings {
    fn read(reader: &mut Reader) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let http_listen = read_listener(reader, "http_listen", node.as_ref());
        let timings = GatewayTimings::read(reader);
        let limits = GatewayLimits::read(reader);
        Some(Self {
            node: node?,
            http_listen: http_listen?,
            timings,
            limits,
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

/// Table `timings` of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayTimings {
    /// Interval between keep-alives to the leader, in milliseconds. Default 400.
    pub session_interval_ms: u64,
    /// Time for which the configuration replica stays valid after the leader
    /// confirmed it, in milliseconds. Default 1800.
    pub replica_valid_ms: u64,
    /// Time after which an unanswered request is sent again, in milliseconds.
    /// Default 400.
    pub resend_after_ms: u64,
}

impl GatewayTimings {
    fn read(reader: &mut Reader) -> Self {
        let session = SessionTimings::read(reader);
        Self {
            session_interval_ms: session.interval_ms,
            replica_valid_ms: session.replica_valid_ms,
            resend_after_ms: reader.ranged("timings.resend_after_ms", 400, 20..=60_000),
        }
    }
}

/// Table `limits` of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayLimits {
    /// Maximum number of pending requests. Default 1024.
    pub max_waiting_requests: usize,
}

impl GatewayLimits {
    fn read(reader: &mut Reader) -> Self {
        Self {
            max_waiting_requests: reader.ranged(
                "limits.max_waiting_requests",
                1_024,
                1..=1_000_000,
            ),
        }
    }
}
