//! Leases and waits.

use configuration::Timings;
use serde::{Deserialize, Serialize};
use types::Milliseconds;

/// Leases and waits that hold in the whole cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingsBody {
    /// How long a runner keeps its runs after the heartbeat last confirmed.
    pub run_lease_ms: u64,
    /// What the leader waits beyond the lease.
    pub run_lease_margin_ms: u64,
    /// First wait before a failed task is tried again.
    pub retry_backoff_ms: u64,
    /// Longest wait before a failed task is tried again.
    pub max_retry_backoff_ms: u64,
    /// How long a finished job's identifier stays known.
    pub retention_ms: u64,
}

impl Default for TimingsBody {
    fn default() -> Self {
        Timings::default().into()
    }
}

impl From<Timings> for TimingsBody {
    fn from(timings: Timings) -> Self {
        Self {
            run_lease_ms: timings.run_lease.0,
            run_lease_margin_ms: timings.run_lease_margin.0,
            retry_backoff_ms: timings.retry_backoff.0,
            max_retry_backoff_ms: timings.max_retry_backoff.0,
            retention_ms: timings.retention.0,
        }
    }
}

impl From<TimingsBody> for Timings {
    fn from(body: TimingsBody) -> Self {
        Self {
            run_lease: Milliseconds(body.run_lease_ms),
            run_lease_margin: Milliseconds(body.run_lease_margin_ms),
            retry_backoff: Milliseconds(body.retry_backoff_ms),
            max_retry_backoff: Milliseconds(body.max_retry_backoff_ms),
            retention: Milliseconds(body.retention_ms),
        }
    }
}
