//! The configuration document.

use crate::Key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{
    ConfigurationVersion, LicenceName, Milliseconds, PoolName, QueueName, Resources, TenantId,
};

/// The whole cluster configuration under one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClusterConfiguration {
    /// Pools of runners. A runner names its pool in its heartbeat.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Queues, each bound to a pool.
    pub queues: BTreeMap<QueueName, QueueSettings>,
    /// Tenant contracts.
    pub tenants: BTreeMap<TenantId, TenantSettings>,
    /// Licences, each with a number of seats in the whole cluster.
    pub licences: BTreeMap<LicenceName, LicenceSettings>,
    /// Bearer keys of callers, operators and runners, as hashes.
    pub keys: Vec<Key>,
    /// Leases and waits that hold in the whole cluster.
    pub timings: Timings,
    /// The version that this document was made from; none for the one before
    /// its own. Versions may skip numbers, so it must be said then.
    pub replaces: Option<ConfigurationVersion>,
    /// What becomes of a queue that this document leaves out.
    pub left_out: LeftOutQueues,
    /// The text this document was translated from, opaque here, for tools that
    /// keep their own format.
    pub source: Option<String>,
}

/// What becomes of queues and tenants that a new document leaves out while
/// they hold unfinished jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOutQueues {
    /// The document is rejected: the operator drains or cancels first.
    #[default]
    Refuse,
    /// They stay under their last settings, and the queues drain, until a
    /// later document finds them empty.
    Drain,
}

/// A licence: so many runs that need it may go at once, over all pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceSettings {
    /// Seats; with none, work that needs one waits.
    pub seats: u32,
}

/// A pool of runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// The largest runner the pool is built from. A task that needs more is
    /// rejected at submit, even while no runner is up.
    pub largest_runner: Resources,
}

/// How far a queue has been moved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueMode {
    /// Decide and log, start nothing.
    Shadow,
    /// Decide and start.
    #[default]
    Active,
    /// Take submits, start nothing.
    Paused,
    /// Refuse submits, finish what is there.
    Draining,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The pool its tasks run on.
    pub pool: PoolName,
    /// How far it has been moved in.
    pub mode: QueueMode,
    /// Unfinished jobs it may hold; more are rejected with a time to come back.
    pub max_unfinished_jobs: u64,
    /// Place among the queues of its pool: work of a lower number goes first.
    pub priority: u8,
}

/// A tenant contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantSettings {
    /// Fair share of each pool, in percent. A tenant above it is passed over
    /// while another tenant below its own share has a task that could start.
    pub share_percent: u32,
    /// Resource resource limit: what its runs may hold over all runners.
    pub resource_limit: Resources,
    /// What lateness and failure the contract allows.
    pub error_budget: ErrorBudget,
    /// Submits taken a second, averaged; more are rejected at once.
    pub submits_per_second: u32,
    /// Submits taken at once above the average.
    pub submit_burst: u32,
    /// Unfinished jobs it may have; more are rejected at once.
    pub max_unfinished_jobs: u64,
}

/// What lateness and failure a contract allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBudget {
    /// A job that waits longer than this for its first run is late.
    pub late_after: Milliseconds,
    /// Late jobs allowed in a thousand.
    pub late_per_thousand: u32,
    /// Failed jobs allowed in a thousand.
    pub failed_per_thousand: u32,
}

/// Leases and waits that hold in the whole cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timings {
    /// How long a runner keeps its runs after the heartbeat last confirmed.
    pub run_lease: Milliseconds,
    /// What the leader waits beyond the lease, for clocks that run apart.
    pub run_lease_margin: Milliseconds,
    /// First wait before a failed task is tried again; doubled each time.
    pub retry_backoff: Milliseconds,
    /// Longest wait before a failed task is tried again.
    pub max_retry_backoff: Milliseconds,
    /// How long a finished job's identifier stays known.
    pub retention: Milliseconds,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            run_lease: Milliseconds(18_000),
            run_lease_margin: Milliseconds(2_000),
            retry_backoff: Milliseconds(200),
            max_retry_backoff: Milliseconds(10_000),
            retention: Milliseconds(3_600_000),
        }
    }
}
