//! JSON bodies of pools, capacities and resource limits.

use configuration::PoolSettings;
use serde::{Deserialize, Serialize};
use types::Resources;

/// A pool of runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolBody {
    /// Capacity of the largest runner of the pool. A task that needs more is
    /// rejected at submit, even while no runner is up.
    pub largest_runner: CapacityBody,
}

/// Amount of each kind of resource, such as the capacity of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityBody {
    /// Number of task slots.
    pub slots: u32,
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of whole accelerators. Default 0.
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

/// Limit on the resources that a tenant's runs use over all runners. A kind that
/// is absent is not limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceLimitBody {
    /// Number of task slots. Absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Processor time, in thousandths of a core. Absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cpu_milli: Option<u32>,
    /// Memory, in MiB. Absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mib: Option<u32>,
    /// Number of whole accelerators. Absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gpus: Option<u32>,
}

impl From<Resources> for ResourceLimitBody {
    fn from(resource_limit: Resources) -> Self {
        let limited = |amount: u32| (amount != u32::MAX).then_some(amount);
        Self {
            slots: limited(resource_limit.slots),
            cpu_milli: limited(resource_limit.cpu_milli),
            memory_mib: limited(resource_limit.memory_mib),
            gpus: limited(resource_limit.gpus),
        }
    }
}

impl From<ResourceLimitBody> for Resources {
    fn from(body: ResourceLimitBody) -> Self {
        Self {
            slots: body.slots.unwrap_or(u32::MAX),
            cpu_milli: body.cpu_milli.unwrap_or(u32::MAX),
            memory_mib: body.memory_mib.unwrap_or(u32::MAX),
            gpus: body.gpus.unwrap_or(u32::MAX),
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
