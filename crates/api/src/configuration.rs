//! JSON bodies: the configuration document.

use crate::BodyError;
use crate::key::KeyBody;
use configuration::{
    ClusterConfiguration, ErrorBudget, LeftOutQueues, LicenceSettings, PoolSettings, QueueSettings,
    TenantSettings, Timings,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{
    ConfigurationVersion, LicenceName, Milliseconds, PoolName, QueueName, Resources, TenantId,
};

/// The whole document, in JSON or TOML.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationBody {
    /// The version this document was made from; without it the one before its
    /// own. Versions may skip numbers then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<u64>,
    /// What becomes of queues and tenants left out while they hold unfinished
    /// jobs.
    #[serde(default)]
    pub left_out: LeftOut,
    /// The text this document was translated from, opaque here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
    /// Leases and waits.
    #[serde(default)]
    pub timings: TimingsBody,
    /// Pools of runners.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, PoolBody>,
    /// Queues.
    #[serde(default)]
    pub queues: BTreeMap<QueueName, QueueBody>,
    /// Tenant contracts.
    #[serde(default)]
    pub tenants: BTreeMap<TenantId, TenantBody>,
    /// Licences with a number of seats.
    #[serde(default)]
    pub licences: BTreeMap<LicenceName, LicenceBody>,
    /// Bearer keys; with none, every request is let in.
    #[serde(default)]
    pub keys: Vec<KeyBody>,
}

/// What becomes of queues and tenants left out while they hold unfinished jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOut {
    /// The document is refused.
    #[default]
    Refuse,
    /// They stay under their last settings, and the queues drain.
    Drain,
}

impl From<LeftOutQueues> for LeftOut {
    fn from(left_out: LeftOutQueues) -> Self {
        match left_out {
            LeftOutQueues::Refuse => Self::Refuse,
            LeftOutQueues::Drain => Self::Drain,
        }
    }
}

impl From<LeftOut> for LeftOutQueues {
    fn from(left_out: LeftOut) -> Self {
        match left_out {
            LeftOut::Refuse => Self::Refuse,
            LeftOut::Drain => Self::Drain,
        }
    }
}

/// A licence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LicenceBody {
    /// Runs that may take a seat of it at once, over all pools.
    pub seats: u32,
}

impl From<LicenceSettings> for LicenceBody {
    fn from(licence: LicenceSettings) -> Self {
        Self {
            seats: licence.seats,
        }
    }
}

impl From<LicenceBody> for LicenceSettings {
    fn from(body: LicenceBody) -> Self {
        Self { seats: body.seats }
    }
}

/// A pool of runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolBody {
    /// The largest runner the pool is built from.
    pub largest_runner: CapacityBody,
}

/// All a runner has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityBody {
    /// Places for tasks.
    pub slots: u32,
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub gpus: u32,
}

impl From<Resources> for CapacityBody {
    fn from(resources: Resources) -> Self {
        Self {
            slots: resources.slots,
            cpu_milli: resources.cpu_milli,
            memory_mib: resources.memory_mib,
            gpus: resources.gpus,
        }
    }
}

impl From<CapacityBody> for Resources {
    fn from(body: CapacityBody) -> Self {
        Self {
            slots: body.slots,
            cpu_milli: body.cpu_milli,
            memory_mib: body.memory_mib,
            gpus: body.gpus,
        }
    }
}

/// What a tenant may hold over all runners; an absent kind has no ceiling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CeilingBody {
    /// Places for tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Processor time in thousandths of a core.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cpu_milli: Option<u32>,
    /// Memory in MiB.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mib: Option<u32>,
    /// Whole accelerators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gpus: Option<u32>,
}

impl From<Resources> for CeilingBody {
    fn from(ceiling: Resources) -> Self {
        let limited = |amount: u32| (amount != u32::MAX).then_some(amount);
        Self {
            slots: limited(ceiling.slots),
            cpu_milli: limited(ceiling.cpu_milli),
            memory_mib: limited(ceiling.memory_mib),
            gpus: limited(ceiling.gpus),
        }
    }
}

impl From<CeilingBody> for Resources {
    fn from(body: CeilingBody) -> Self {
        Self {
            slots: body.slots.unwrap_or(u32::MAX),
            cpu_milli: body.cpu_milli.unwrap_or(u32::MAX),
            memory_mib: body.memory_mib.unwrap_or(u32::MAX),
            gpus: body.gpus.unwrap_or(u32::MAX),
        }
    }
}

/// How far a queue has been moved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
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

impl From<configuration::QueueMode> for QueueMode {
    fn from(mode: configuration::QueueMode) -> Self {
        match mode {
            configuration::QueueMode::Shadow => Self::Shadow,
            configuration::QueueMode::Active => Self::Active,
            configuration::QueueMode::Paused => Self::Paused,
            configuration::QueueMode::Draining => Self::Draining,
        }
    }
}

impl From<QueueMode> for configuration::QueueMode {
    fn from(mode: QueueMode) -> Self {
        match mode {
            QueueMode::Shadow => Self::Shadow,
            QueueMode::Active => Self::Active,
            QueueMode::Paused => Self::Paused,
            QueueMode::Draining => Self::Draining,
        }
    }
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueBody {
    /// The pool its tasks run on.
    pub pool: PoolName,
    /// How far it has been moved in.
    #[serde(default)]
    pub mode: QueueMode,
    /// Unfinished jobs it may hold.
    #[serde(default = "default_queue_jobs")]
    pub max_unfinished_jobs: u64,
    /// Place among the queues of its pool: work of a lower number goes first.
    #[serde(default)]
    pub priority: u8,
}

fn default_queue_jobs() -> u64 {
    100_000
}

/// A tenant contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantBody {
    /// Fair share of each pool, in percent.
    pub share_percent: u32,
    /// Resource ceiling over all runners.
    #[serde(default)]
    pub most: CeilingBody,
    /// What lateness and failure the contract allows.
    #[serde(default)]
    pub error_budget: ErrorBudgetBody,
    /// Submits taken a second, averaged.
    #[serde(default = "default_submits")]
    pub submits_per_second: u32,
    /// Submits taken at once above the average.
    #[serde(default = "default_burst")]
    pub submit_burst: u32,
    /// Unfinished jobs it may have.
    #[serde(default = "default_tenant_jobs")]
    pub max_unfinished_jobs: u64,
}

fn default_submits() -> u32 {
    100
}

fn default_burst() -> u32 {
    200
}

fn default_tenant_jobs() -> u64 {
    10_000
}

/// What lateness and failure a contract allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ErrorBudgetBody {
    /// A job that waits longer than this for its first run is late.
    pub late_after_ms: u64,
    /// Late jobs allowed in a thousand.
    pub late_per_thousand: u32,
    /// Failed jobs allowed in a thousand.
    pub failed_per_thousand: u32,
}

impl Default for ErrorBudgetBody {
    fn default() -> Self {
        Self {
            late_after_ms: 60_000,
            late_per_thousand: 10,
            failed_per_thousand: 10,
        }
    }
}

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

impl From<TenantSettings> for TenantBody {
    fn from(tenant: TenantSettings) -> Self {
        Self {
            share_percent: tenant.share_percent,
            most: tenant.ceiling.into(),
            error_budget: ErrorBudgetBody {
                late_after_ms: tenant.error_budget.late_after.0,
                late_per_thousand: tenant.error_budget.late_per_thousand,
                failed_per_thousand: tenant.error_budget.failed_per_thousand,
            },
            submits_per_second: tenant.submits_per_second,
            submit_burst: tenant.submit_burst,
            max_unfinished_jobs: tenant.max_unfinished_jobs,
        }
    }
}

impl From<TenantBody> for TenantSettings {
    fn from(body: TenantBody) -> Self {
        Self {
            share_percent: body.share_percent,
            ceiling: body.most.into(),
            error_budget: ErrorBudget {
                late_after: Milliseconds(body.error_budget.late_after_ms),
                late_per_thousand: body.error_budget.late_per_thousand,
                failed_per_thousand: body.error_budget.failed_per_thousand,
            },
            submits_per_second: body.submits_per_second,
            submit_burst: body.submit_burst,
            max_unfinished_jobs: body.max_unfinished_jobs,
        }
    }
}

impl From<QueueSettings> for QueueBody {
    fn from(queue: QueueSettings) -> Self {
        Self {
            pool: queue.pool,
            mode: queue.mode.into(),
            max_unfinished_jobs: queue.max_unfinished_jobs,
            priority: queue.priority,
        }
    }
}

impl From<QueueBody> for QueueSettings {
    fn from(body: QueueBody) -> Self {
        Self {
            pool: body.pool,
            mode: body.mode.into(),
            max_unfinished_jobs: body.max_unfinished_jobs,
            priority: body.priority,
        }
    }
}

impl From<PoolSettings> for PoolBody {
    fn from(pool: PoolSettings) -> Self {
        Self {
            largest_runner: pool.largest_runner.into(),
        }
    }
}

impl From<PoolBody> for PoolSettings {
    fn from(body: PoolBody) -> Self {
        Self {
            largest_runner: body.largest_runner.into(),
        }
    }
}

impl ConfigurationBody {
    /// The document, once its keys are found whole. Whether it makes sense is
    /// [`configuration::validate()`]'s to say.
    pub fn into_document(self) -> Result<ClusterConfiguration, BodyError> {
        let numbered = self.keys.into_iter().enumerate();
        let keys = numbered
            .map(|(position, key)| key.into_key(&format!("keys[{position}]")))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(ClusterConfiguration {
            pools: convert(self.pools),
            queues: convert(self.queues),
            tenants: convert(self.tenants),
            licences: convert(self.licences),
            keys,
            timings: self.timings.into(),
            replaces: self.replaces.map(ConfigurationVersion),
            left_out: self.left_out.into(),
            source: self.source,
        })
    }
}

impl From<ClusterConfiguration> for ConfigurationBody {
    fn from(document: ClusterConfiguration) -> Self {
        Self {
            timings: document.timings.into(),
            pools: convert(document.pools),
            queues: convert(document.queues),
            tenants: convert(document.tenants),
            licences: convert(document.licences),
            keys: document.keys.into_iter().map(KeyBody::from).collect(),
            replaces: document.replaces.map(|version| version.0),
            left_out: document.left_out.into(),
            source: document.source,
        }
    }
}

fn convert<Name: Ord, Source, Target: From<Source>>(
    map: BTreeMap<Name, Source>,
) -> BTreeMap<Name, Target> {
    map.into_iter()
        .map(|(name, value)| (name, Target::from(value)))
        .collect()
}
