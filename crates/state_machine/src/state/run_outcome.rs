//! Effect of a closed run on its task: the task is done, failed, or may run again
//! after a backoff.

use super::job::{Job, Progress};
use configuration::Timings;
use types::{Milliseconds, Outcome, RunClose, TaskRef, WallTime};

/// Closed run, with the data that decides the outcome of its task.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunOutcome<'a> {
    /// Task that the run belongs to.
    pub(super) task: TaskRef,
    /// Attempt number of the run; late reports give the task's newest attempt.
    pub(super) attempt: u32,
    /// Reason for which the run closed.
    pub(super) close: &'a RunClose,
    /// Wall time of the leader at which the run closed.
    pub(super) closed_at: WallTime,
}

/// Applies the outcome of a closed run to its unfinished task and returns
/// whether the task failed by that.
///
/// A failure beyond the allowed number fails the task even if another copy is
/// running, because copies race for one result and share the allowed failures.
/// A failure that was reported late fails the task only after the last open run
/// of the task has closed.
pub(super) fn apply_run_outcome(job: &mut Job, run: RunOutcome<'_>, timings: &Timings) -> bool {
    let Some(entry) = job.task(run.task) else {
        return false;
    };
    let max_failures = entry.spec.allowed_failures;
    let (endless, gang) = (entry.spec.rules.endless, entry.spec.rules.gang);
    let done = *run.close == RunClose::Ended(Outcome::Done);
    let failure = run.close.is_failure();
    if endless {
        if done || failure {
            let backoff_until = run.closed_at + timings.retry_backoff;
            job.change_task(run.task, |task| task.backoff_until = backoff_until);
        }
        return false;
    }
    if gang && failure {
        return apply_gang_failure(job, run, max_failures, timings);
    }
    let mut failed = false;
    job.change_task(run.task, |task| {
        if done {
            task.progress = Progress::Done;
            return;
        }
        if failure {
            task.failed_runs = task.failed_runs.saturating_add(1);
            task.backoff_until = run.closed_at + backoff(timings, task.failed_runs);
        }
        let may_fail = failure || task.open_runs == 0;
        failed = may_fail && u32::from(task.failed_runs) > max_failures;
        if failed {
            task.progress = Progress::Failed;
        }
    });
    failed
}

/// Counts a failure that is reported late, while the task has an open run. The
/// task does not fail yet, because the open run may still succeed.
pub(super) fn count_late_failure(job: &mut Job, task_ref: TaskRef) {
    job.change_task(task_ref, |task| {
        task.failed_runs = task.failed_runs.saturating_add(1);
    });
}

/// Counts a failure for all tasks of a gang and returns whether it failed the
/// gang. Each attempt counts at most once, however many of its runs failed.
fn apply_gang_failure(
    job: &mut Job,
    run: RunOutcome<'_>,
    max_failures: u32,
    timings: &Timings,
) -> bool {
    let attempt = u16::try_from(run.attempt).unwrap_or(u16::MAX);
    let is_counted = job
        .task(run.task)
        .is_some_and(|entry| entry.task.failed_attempt >= attempt);
    if is_counted {
        return false;
    }
    let mut failed = false;
    let members: Vec<TaskRef> = job.step_tasks(run.task.job, run.task.step).collect();
    for member in members {
        job.change_task(member, |task| {
            task.failed_attempt = attempt;
            task.failed_runs = task.failed_runs.saturating_add(1);
            task.backoff_until = run.closed_at + backoff(timings, task.failed_runs);
            failed = u32::from(task.failed_runs) > max_failures;
            if failed && member == run.task {
                task.progress = Progress::Failed;
            }
        });
    }
    failed
}

/// Returns the backoff after the given number of failures: `retry_backoff`,
/// doubled with each further failure up to `max_retry_backoff`.
fn backoff(timings: &Timings, failures: u8) -> Milliseconds {
    let doublings = u32::from(failures.saturating_sub(1));
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let wait = timings.retry_backoff.0.saturating_mul(factor);
    Milliseconds(wait).min(timings.max_retry_backoff)
}
