//! Error budgets: jobs that ended late or failed, beside what the contract
//! allows. Counted since the leader's election.

use crate::leader::Leader;
use configuration::ErrorBudget;
use state_machine::StateMachine;
use std::collections::BTreeMap;
use transport::DecisionEvent;
use types::{JobKey, JobState, Milliseconds, Now, TenantId};

/// Jobs of one tenant that ended.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Spent {
    pub(crate) ended: u64,
    pub(crate) late: u64,
    pub(crate) failed: u64,
}

impl Spent {
    /// Returns whether more jobs in a thousand were late or failed than allowed.
    pub(crate) fn exceeds(&self, budget: &ErrorBudget) -> bool {
        let over = |count: u64, allowed: u32| count * 1_000 > u64::from(allowed) * self.ended;
        over(self.late, budget.late_per_thousand) || over(self.failed, budget.failed_per_thousand)
    }
}

/// What each tenant has used of its budget.
#[derive(Debug, Default)]
pub(crate) struct Budgets {
    tenants: BTreeMap<TenantId, Spent>,
}

impl Budgets {
    pub(crate) fn spent(&self, tenant: &TenantId) -> Spent {
        self.tenants.get(tenant).copied().unwrap_or_default()
    }
}

impl Leader {
    /// Counts a job that reached a final state.
    pub(crate) fn job_ended(
        &mut self,
        state_machine: &StateMachine,
        key: JobKey,
        state: JobState,
        waited: Option<Milliseconds>,
        now: Now,
    ) {
        let settings = state_machine.configuration().1.tenants.get(&key.tenant);
        let late_after = settings.map(|settings| settings.error_budget.late_after);
        let late = waited
            .zip(late_after)
            .is_some_and(|(waited, after)| waited > after);
        let spent = self.budgets.tenants.entry(key.tenant.clone()).or_default();
        spent.ended += 1;
        spent.late += u64::from(late);
        spent.failed += u64::from(state == JobState::Failed);
        let at = now.wall;
        self.decisions
            .push(Some(key), DecisionEvent::JobEnded { state, at });
        metrics::counter!("cypressdrum_jobs_ended_total").increment(1);
    }
}
