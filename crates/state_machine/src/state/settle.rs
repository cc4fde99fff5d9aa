//! What the end of a run means for its task: done, failed, or to be tried
//! again after a while.

use super::job::{Job, Progress};
use configuration::Timings;
use types::{Milliseconds, Outcome, RunClose, TaskRef, WallTime};

/// Records on an unfinished task how its run closed; true when the task failed
/// by it. The last allowed failure fails the task even while another copy is
/// going: copies race for one result and share the allowance. One that was
/// told late does so once no run of the task is open.
pub(super) fn settle(
    job: &mut Job,
    at: TaskRef,
    attempt: u32,
    close: &RunClose,
    timings: &Timings,
    now: WallTime,
) -> bool {
    let Some((step, _, _)) = job.task(at) else {
        return false;
    };
    let (allowed, rules) = (step.allowed_failures, step.rules.clone());
    let done = *close == RunClose::Ended(Outcome::Done);
    if rules.endless {
        if done || close.is_failure() {
            let again = now + timings.retry_backoff;
            job.change_task(at, |task| task.backoff_until = again);
        }
        return false;
    }
    if rules.gang && close.is_failure() {
        return settle_gang_failure(job, at, attempt, allowed, timings, now);
    }
    let mut failed = false;
    job.change_task(at, |task| {
        if done {
            task.progress = Progress::Done;
            return;
        }
        if close.is_failure() {
            task.failed_runs = task.failed_runs.saturating_add(1);
            task.backoff_until = now + backoff(timings, task.failed_runs);
        }
        let may_fail = close.is_failure() || task.open_runs == 0;
        failed = may_fail && u32::from(task.failed_runs) > allowed;
        if failed {
            task.progress = Progress::Failed;
        }
    });
    failed
}

/// Counts a failure that was told while the task runs again: that run may
/// still end it done.
pub(super) fn count_late_failure(job: &mut Job, at: TaskRef) {
    job.change_task(at, |task| {
        task.failed_runs = task.failed_runs.saturating_add(1);
    });
}

/// A gang fails as a whole, once by each number of its runs, whichever and
/// however many of its members failed.
fn settle_gang_failure(
    job: &mut Job,
    at: TaskRef,
    attempt: u32,
    allowed: u32,
    timings: &Timings,
    now: WallTime,
) -> bool {
    let attempt = u16::try_from(attempt).unwrap_or(u16::MAX);
    let counted = job
        .task(at)
        .is_some_and(|(_, _, task)| task.failed_attempt >= attempt);
    if counted {
        return false;
    }
    let mut failed = false;
    let members: Vec<TaskRef> = job.step_tasks(at.job, at.step).collect();
    for member in members {
        job.change_task(member, |task| {
            task.failed_attempt = attempt;
            task.failed_runs = task.failed_runs.saturating_add(1);
            task.backoff_until = now + backoff(timings, task.failed_runs);
            failed = u32::from(task.failed_runs) > allowed;
            if failed && member == at {
                task.progress = Progress::Failed;
            }
        });
    }
    failed
}

/// The wait after the given number of failures: doubled each time, bounded.
fn backoff(timings: &Timings, failures: u8) -> Milliseconds {
    let doublings = u32::from(failures.saturating_sub(1));
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let wait = timings.retry_backoff.0.saturating_mul(factor);
    Milliseconds(wait).min(timings.max_retry_backoff)
}
