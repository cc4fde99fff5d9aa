//! Late reports: outcomes that runners report for runs that were closed as lost.
//!
//! Such a run stays closed, but its outcome still counts while its task is
//! unfinished: a task that was done must not start again, and a failure counts
//! against the task's allowed failures. Lost runs are therefore stored until
//! their late report is applied or their job is forgotten.
//!
//! A late report also counts if the task has started again in the meantime. A
//! success finishes the task and makes its open run obsolete. A failure is
//! counted at once, but can fail the task only when the open run closes without
//! a result. For a gang that has started again, late reports have no effect:
//! only its new runs decide.

use super::StateMachine;
use super::jobs::is_unfinished;
use super::run_outcome::{RunOutcome, apply_run_outcome, count_late_failure};
use crate::Change;
use types::{OpenRun, Outcome, RunClose, RunId, TaskRef, WallTime};

impl StateMachine {
    /// Returns whether the run was closed as lost and a late report of its outcome
    /// would still count.
    pub fn awaits_late_report(&self, run: RunId) -> bool {
        self.lost_runs.contains_key(&run)
    }

    /// Stores a run that was closed as lost, if its late report would count.
    pub(super) fn record_if_lost(&mut self, run: &OpenRun, close: &RunClose) {
        let unfinished = self
            .jobs
            .get(&run.task.job)
            .is_some_and(|job| is_unfinished(job, run.task));
        if *close == RunClose::Lost && unfinished {
            self.lost_runs.insert(run.run, run.task);
        }
    }

    /// Applies the late report of a lost run. Has no effect for other closed runs.
    pub(super) fn apply_late_report(
        &mut self,
        run: RunId,
        close: &RunClose,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let RunClose::Ended(outcome) = close else {
            return;
        };
        let Some(task) = self.lost_runs.remove(&run) else {
            return;
        };
        if *outcome != Outcome::Stopped {
            self.apply_late_outcome(task, close, at, changes);
        }
    }

    /// Applies the late success or failure of a lost run to its task.
    fn apply_late_outcome(
        &mut self,
        task: TaskRef,
        close: &RunClose,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(entry) = job.task(task) else {
            return;
        };
        let has_open_run = entry.task.open_runs > 0;
        let is_endless = entry.spec.rules.endless;
        let backoff_until = entry.task.backoff_until;
        let attempt = u32::from(entry.task.attempts);
        if !is_unfinished(job, task) || (has_open_run && job.is_gang(task.step)) {
            return;
        }
        if has_open_run && close.is_failure() && !is_endless {
            return count_late_failure(job, task);
        }
        let outcome = RunOutcome {
            task,
            attempt,
            close,
            closed_at: at,
        };
        let failed = apply_run_outcome(job, outcome, &self.document.timings);
        // The task became ready when the run was closed as lost, and has waited
        // longer than any backoff since. A late failure therefore only counts
        // against the allowed failures and starts no new backoff.
        job.change_task(task, |task| task.backoff_until = backoff_until);
        self.indexes.refresh(task.job, job);
        self.apply_task_outcome(task, close, failed, at, changes);
    }
}
