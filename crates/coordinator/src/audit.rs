//! The leader's view beside the record, slice by slice, all the time; and the
//! forgetting of jobs that ended long ago.

use crate::leader::{Leader, Rebuild, Waiting};
use state_machine::{Command, StateMachine};
use types::{JobNumber, Milliseconds, Now, WallTime};

/// Time between two slices.
const AUDIT_INTERVAL: Milliseconds = Milliseconds(200);
/// Jobs in a slice.
const AUDIT_JOBS: usize = 64;
/// Time between two batches of forgetting.
const FORGET_INTERVAL: Milliseconds = Milliseconds(10_000);
/// Jobs forgotten in a batch.
const FORGET_JOBS: u32 = 2_000;

/// Where the next slice begins.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AuditCursor {
    after: Option<JobNumber>,
}

/// Compares the next slice; what differs is put right, counted and logged.
pub(crate) fn audit_when_due(leader: &mut Leader, state_machine: &StateMachine, now: Now) {
    if now.monotonic < leader.timers.audit || leader.rebuild != Rebuild::Done {
        return;
    }
    leader.timers.audit = now.monotonic + AUDIT_INTERVAL;
    let after = leader.audit.after;
    let ready = state_machine.ready_tasks(after, AUDIT_JOBS);
    let from = after.map(JobNumber::next).unwrap_or_default();
    let last = ready.iter().map(|meta| meta.task.job).max();
    let to = last.unwrap_or(JobNumber(u64::MAX));
    let report = leader.scheduler.audit(from, to, &ready, now);
    leader.audit.after = last;
    let divergences = report.republished + report.removed;
    if divergences > 0 {
        leader.placement_due = true;
        tracing::warn!(
            republished = report.republished,
            removed = report.removed,
            "audit repaired the scheduler: it differed from the state machine"
        );
    }
    metrics::counter!("cypressdrum_audit_divergences_total").increment(divergences);
    metrics::counter!("cypressdrum_audit_compared_total").increment(report.compared);
}

/// Proposes to forget jobs whose retention has passed.
pub(crate) fn forget_when_due(leader: &mut Leader, state_machine: &StateMachine, now: Now) {
    if now.monotonic < leader.timers.forget {
        return;
    }
    leader.timers.forget = now.monotonic + FORGET_INTERVAL;
    let retention = leader.timings.retention.0;
    let ended_before = WallTime(now.wall.0.saturating_sub(retention));
    let any = !state_machine.jobs(None, None, None, 1).is_empty();
    if any && ended_before.0 > 0 {
        let command = Command::Forget {
            ended_before,
            limit: FORGET_JOBS,
        };
        leader.propose(command, Waiting::Nobody);
    }
}
