//! Cluster configuration document.

use crate::Key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{
    ConfigurationVersion, LicenceName, Milliseconds, PoolName, QueueName, Resources, TenantId,
};

/// Complete cluster configuration of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClusterConfiguration {
    /// Pools of runners. Each runner reports its pool in its heartbeats.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Queues, each bound to a pool.
    pub queues: BTreeMap<QueueName, QueueSettings>,
    /// Contracts of the tenants.
    pub tenants: BTreeMap<TenantId, TenantSettings>,
    /// Licences, each with a number of seats for the whole cluster.
    pub licences: BTreeMap<LicenceName, LicenceSettings>,
    /// Bearer keys of callers, operators and runners; secrets are stored as hashes.
    pub keys: Vec<Key>,
    /// Leases and timings of the whole cluster.
    pub timings: Timings,
    /// Version that this document was made from. `None` means the version one below its
    /// own; since versions may skip numbers, the field must be set where they do.
    pub replaces: Option<ConfigurationVersion>,
    /// Handling of queues and tenants that this document leaves out.
    pub left_out: LeftOutQueues,
    /// Text that this document was translated from, opaque to the cluster, for tools
    /// with a format of their own. `None` if no such text was sent.
    pub source: Option<String>,
}

/// Handling of queues and tenants that a new document leaves out while they have
/// unfinished jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOutQueues {
    /// The document is rejected; the operator must first drain the queues or cancel the
    /// jobs.
    #[default]
    Refuse,
    /// The queues and tenants keep their last settings, and the queues drain, until a
    /// later document is applied when they have no unfinished jobs.
    Drain,
}

/// Settings of a licence, which limits the number of concurrent runs that need it, over
/// all pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceSettings {
    /// Number of seats. With 0, tasks that need the licence do not start.
    pub seats: u32,
}

/// Settings of a pool of runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Resources of the largest runner in the pool. A job with a task that needs more is
    /// rejected at submission, even while no runner is up.
    pub largest_runner: Resources,
}

/// Mode of a queue: whether it accepts submissions and whether its tasks start. The modes
/// allow a stepwise migration of a queue to the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueMode {
    /// Submissions are accepted; placements are decided and logged, but no task starts.
    Shadow,
    /// Submissions are accepted and tasks start.
    #[default]
    Active,
    /// Submissions are accepted, but no task starts.
    Paused,
    /// Submissions are rejected; the jobs in the queue are finished.
    Draining,
}

/// Pool, mode, limit and priority of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Pool on whose runners the tasks run.
    pub pool: PoolName,
    /// Whether the queue accepts submissions and starts tasks.
    pub mode: QueueMode,
    /// Maximum number of unfinished jobs in the queue. Further submissions are rejected
    /// with a time after which to retry.
    pub max_unfinished_jobs: u64,
    /// Priority among the queues of the pool; work of a queue with a lower number starts
    /// first.
    pub priority: u8,
}

/// Contract of a tenant: share, resource limit, error budget and submission limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantSettings {
    /// Fair share of each pool, in percent, 1 to 100. A tenant above its share is skipped
    /// while a tenant below its own share has a task that could start.
    pub share_percent: u32,
    /// Maximum resources that the runs of the tenant hold together, over all runners.
    pub resource_limit: Resources,
    /// Late and failed jobs that the tenant's contract allows.
    pub error_budget: ErrorBudget,
    /// Average number of submissions accepted per second; excess ones are rejected
    /// immediately.
    pub submits_per_second: u32,
    /// Number of submissions accepted without delay in one burst after a pause (capacity
    /// of the token bucket).
    pub submit_burst: u32,
    /// Maximum number of unfinished jobs of the tenant; further submissions are rejected
    /// immediately.
    pub max_unfinished_jobs: u64,
}

/// Late and failed jobs that a tenant's contract allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBudget {
    /// Time from submission to first run above which a job is late.
    pub late_after: Milliseconds,
    /// Allowed number of late jobs per thousand.
    pub late_per_thousand: u32,
    /// Allowed number of failed jobs per thousand.
    pub failed_per_thousand: u32,
}

/// Leases, backoffs and retention of the whole cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timings {
    /// Length of the run lease: a runner stops its runs this long after it sent the last
    /// heartbeat that was confirmed.
    pub run_lease: Milliseconds,
    /// Additional time that the leader waits after the run lease, since clocks run at
    /// different rates.
    pub run_lease_margin: Milliseconds,
    /// Delay before the first retry of a failed task; doubled for each further one.
    pub retry_backoff: Milliseconds,
    /// Maximum delay before a retry of a failed task.
    pub max_retry_backoff: Milliseconds,
    /// Time for which a finished job is kept, so that a resent submission is recognized.
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
