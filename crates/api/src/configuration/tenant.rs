//! JSON bodies of tenant contracts.

use super::ResourceLimitBody;
use configuration::{ErrorBudget, TenantSettings};
use serde::{Deserialize, Serialize};
use types::Milliseconds;

/// Contract of a tenant: share, resource limit, error budget and submit limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantBody {
    /// Fair share of each pool, in percent (1 to 100). A tenant above it is
    /// skipped while another tenant below its share has a task that could start.
    pub share_percent: u32,
    /// Limit on the resources of the tenant's runs over all runners. No limit
    /// if absent.
    #[serde(default)]
    #[serde(rename = "most")]
    pub resource_limit: ResourceLimitBody,
    /// Shares of late and of failed jobs that the tenant's contract allows.
    #[serde(default)]
    pub error_budget: ErrorBudgetBody,
    /// Submits accepted per second on average, default 100. Further submits
    /// are rejected immediately.
    #[serde(default = "default_submits")]
    pub submits_per_second: u32,
    /// Submits accepted without delay in one burst after a pause (capacity of the
    /// token bucket), default 200.
    #[serde(default = "default_burst")]
    pub submit_burst: u32,
    /// Maximum number of unfinished jobs, default 10 000. Further submits are
    /// rejected immediately.
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

/// Error budget: the shares of late and of failed jobs that a tenant's contract
/// allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ErrorBudgetBody {
    /// Longest wait from submit to the reservation of the first run for which a
    /// job is not late, in milliseconds. Default 60 000.
    pub late_after_ms: u64,
    /// Late jobs allowed per thousand ended jobs (0 to 1000). Default 10.
    pub late_per_thousand: u32,
    /// Failed jobs allowed per thousand ended jobs (0 to 1000). Default 10.
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

impl From<TenantSettings> for TenantBody {
    fn from(tenant: TenantSettings) -> Self {
        Self {
            share_percent: tenant.share_percent,
            resource_limit: tenant.resource_limit.into(),
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
            resource_limit: body.resource_limit.into(),
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
