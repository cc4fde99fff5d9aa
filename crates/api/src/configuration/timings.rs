//! JSON body of leases, backoffs and the retention.

use configuration::Timings;
use serde::{Deserialize, Serialize};
use types::Milliseconds;

/// Leases, backoffs and the retention, for the whole cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingsBody {
    /// Run lease, in milliseconds: the time for which a runner keeps its runs
    /// after it sent the heartbeat that was last confirmed.
    pub run_lease_ms: u64,
    /// Time that the leader waits after a run lease expires, in milliseconds. It
    /// covers differences between clocks.
    pub run_lease_margin_ms: u64,
    /// Backoff before the first retry of a failed task, in milliseconds. It
    /// doubles with each further failure.
    pub retry_backoff_ms: u64,
    /// Longest backoff before a retry, in milliseconds.
    pub max_retry_backoff_ms: u64,
    /// Time for which a finished job and its identifier are kept, in
    /// milliseconds.
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
