//! Error budgets: jobs that ended late or failed, compared with what the
//! contract allows. Counted since the leader's election.

use configuration::ErrorBudget;
use std::collections::BTreeMap;
use types::{JobState, Milliseconds, TenantId};

/// Jobs of one tenant that ended.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EndedJobs {
    pub(super) total: u64,
    pub(super) late: u64,
    pub(super) failed: u64,
}

impl EndedJobs {
    /// Returns whether more jobs in a thousand were late or failed than allowed.
    pub(super) fn exceeds(&self, budget: &ErrorBudget) -> bool {
        let over = |count: u64, allowed: u32| count * 1_000 > u64::from(allowed) * self.total;
        over(self.late, budget.late_per_thousand) || over(self.failed, budget.failed_per_thousand)
    }
}

/// What each tenant has used of its budget.
#[derive(Debug, Default)]
pub(super) struct ErrorBudgets {
    tenants: BTreeMap<TenantId, EndedJobs>,
}

impl ErrorBudgets {
    /// The jobs of a tenant that ended.
    pub(super) fn ended_jobs(&self, tenant: &TenantId) -> EndedJobs {
        self.tenants.get(tenant).copied().unwrap_or_default()
    }

    /// Counts a job that reached a final state after it `waited` for its start.
    /// It is late if it waited for longer than `late_after`.
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
