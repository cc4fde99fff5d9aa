//! Error budgets: the shares of late and failed jobs of a tenant, compared with
//! the shares that its configuration allows. Counted since the election of the
//! leader.

use configuration::ErrorBudget;
use std::collections::BTreeMap;
use types::{JobState, Milliseconds, TenantId};

/// Numbers of ended jobs of one tenant.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EndedJobs {
    pub(super) total: u64,
    pub(super) late: u64,
    pub(super) failed: u64,
}

impl EndedJobs {
    /// Returns whether more jobs per thousand were late or failed than allowed.
    pub(super) fn exceeds(&self, budget: &ErrorBudget) -> bool {
        let is_over = |count: u64, allowed: u32| count * 1_000 > u64::from(allowed) * self.total;
        is_over(self.late, budget.late_per_thousand)
            || is_over(self.failed, budget.failed_per_thousand)
    }
}

/// Ended jobs of all tenants.
#[derive(Debug, Default)]
pub(super) struct ErrorBudgets {
    tenants: BTreeMap<TenantId, EndedJobs>,
}

impl ErrorBudgets {
    /// Returns the numbers of ended jobs of a tenant.
    pub(super) fn ended_jobs(&self, tenant: &TenantId) -> EndedJobs {
        self.tenants.get(tenant).copied().unwrap_or_default()
    }

    /// Counts a job that reached a final state. The job is late if the time that
    /// it `waited` for its start is longer than `late_after`.
    pub(super) fn record_job_end(
        &mut self,
        tenant: &TenantId,
        state: JobState,
        waited: Option<Milliseconds>,
        late_after: Option<Milliseconds>,
    ) {
        let is_late = waited
            .zip(late_after)
            .is_some_and(|(waited, after)| waited > after);
        let ended = self.tenants.entry(tenant.clone()).or_default();
        ended.total += 1;
        ended.late += u64::from(is_late);
        ended.failed += u64::from(state == JobState::Failed);
    }
}
