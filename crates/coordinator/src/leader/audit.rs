//! Continuous audit, which compares the scheduler with the state machine, and
//! removal of jobs whose retention has passed.
//!
//! A slice is one step of the audit: it compares the next jobs in the order of
//! their numbers.

use crate::leader::Leader;
use crate::leader::periodic_timer::PeriodicTimer;
use crate::leader::proposals::ProposalOrigin;
use state_machine::{Command, StateMachine};
use types::{JobNumber, Milliseconds, Monotonic, Now, WallTime};

/// Time between the audits of two slices.
const AUDIT_INTERVAL: Milliseconds = Milliseconds(200);
/// Maximum number of jobs that one slice compares.
const AUDIT_JOBS: usize = 64;
/// Time between two commands that remove ended jobs.
const FORGET_INTERVAL: Milliseconds = Milliseconds(10_000);
/// Maximum number of jobs removed by one command.
const FORGET_JOBS: u32 = 2_000;

/// Position of the audit, and the timers of the audit and the removal.
#[derive(Debug)]
pub(super) struct AuditState {
    /// Last job of the previous slice. `None` if the next slice begins with the
    /// first job.
    after: Option<JobNumber>,
    audit_timer: PeriodicTimer,
    forget_timer: PeriodicTimer,
}

impl AuditState {
    /// Creates a state whose first slice begins with the first job.
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            after: None,
            audit_timer: PeriodicTimer::new(AUDIT_INTERVAL, now),
            forget_timer: PeriodicTimer::new(FORGET_INTERVAL, now),
        }
    }
}

impl Leader {
    /// Compares the next slice if an audit is due. Repairs, counts and logs the
    /// differences.
    pub(super) fn audit_when_due(&mut self, state_machine: &StateMachine, now: Now) {
        if !self.rebuild.is_done() || !self.audit.audit_timer.fire(now.monotonic) {
            return;
        }
        let after = self.audit.after;
        let ready = state_machine.ready_tasks(after, AUDIT_JOBS);
        let from = after.map(JobNumber::next).unwrap_or_default();
        let last = ready.iter().map(|meta| meta.task.job).max();
        let to = last.unwrap_or(JobNumber(u64::MAX));
        let report = self.scheduler.audit(from, to, &ready, now);
        self.audit.after = last;
        let divergences = report.republished + report.removed;
        if divergences > 0 {
            self.placement.request();
            tracing::warn!(
                republished = report.republished,
                removed = report.removed,
                "audit repaired the scheduler: it differed from the state machine"
            );
        }
        metrics::counter!("cypressdrum_audit_divergences_total").increment(divergences);
        metrics::counter!("cypressdrum_audit_compared_total").increment(report.compared);
    }

    /// Proposes to remove jobs whose retention has passed, if a removal is due.
    pub(super) fn forget_jobs_when_due(&mut self, state_machine: &StateMachine, now: Now) {
        if !self.audit.forget_timer.fire(now.monotonic) {
            return;
        }
        let retention = self.timings.retention.0;
        let ended_before = WallTime(now.wall.0.saturating_sub(retention));
        let has_jobs = !state_machine.jobs(None, None, None, 1).is_empty();
        if has_jobs && ended_before.0 > 0 {
            let command = Command::Forget {
                ended_before,
                limit: FORGET_JOBS,
            };
            self.proposals.add(command, ProposalOrigin::Internal);
        }
    }
}
