//! Settings of a gateway.

use crate::node::read_listener;
use crate::reader::Reader;
use crate::{LogLevel, NodeSettings, RoleSettings};
use std::net::SocketAddr;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// What all roles have.
    pub node: NodeSettings,
    /// Key `http_listen`: socket for callers and operators; also livez, readyz
    /// and metrics.
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
    /// Time between keep-alives to the leader. Default 400.
    pub session_interval_ms: u64,
    /// The configuration replica counts for this long after the leader's last
    /// word. Default 1800.
    pub replica_valid_ms: u64,
    /// A request without an answer is sent again after this. Default 400.
    pub resend_after_ms: u64,
}

impl GatewayTimings {
    fn read(reader: &mut Reader) -> Self {
        let (session_interval_ms, replica_valid_ms) = read_session_timings(reader);
        Self {
            session_interval_ms,
            replica_valid_ms,
            resend_after_ms: reader.ranged("timings.resend_after_ms", 400, 20..=60_000),
        }
    }
}

/// Reads the two timings that gateways and agents share.
pub(crate) fn read_session_timings(reader: &mut Reader) -> (u64, u64) {
    let interval = reader.ranged("timings.session_interval_ms", 400_u64, 20..=10_000);
    let valid = reader.ranged("timings.replica_valid_ms", 1_800, 100..=60_000);
    if interval.saturating_mul(2) > valid {
        reader.message(
            "timings.session_interval_ms",
            "must be at most half of timings.replica_valid_ms, or one lost hello ends service",
        );
    }
    (interval, valid)
}

/// Table `limits` of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayLimits {
    /// Requests that may wait for the leader at once. Default 1024.
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
