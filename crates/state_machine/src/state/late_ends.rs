//! Late ends: what a runner reports of a run that was given up as lost.
//!
//! The run stays closed and nothing is opened again. But where its task is
//! still unfinished, the end is news: a task that ended done must not start
//! again, and a failure uses up its allowance. So lost runs are remembered
//! until their late end has come or their job is forgotten.
//!
//! That holds though the task has started again meanwhile: a done end is the
//! end of it, and the run that goes on is of no use; a failure counts as soon as
//! that run ends without result. Only a gang that has started again goes by
//! its new runs alone.

use super::StateMachine;
use super::jobs::is_unfinished;
use super::settle::{count_late_failure, settle};
use crate::Change;
use types::{OpenRun, Outcome, RunClose, RunId, TaskRef, WallTime};

impl StateMachine {
    /// Returns whether the run was given up as lost and its end, should its runner
    /// speak again, is not in the record yet.
    pub fn awaits_late_end(&self, run: RunId) -> bool {
        self.lost_runs.contains_key(&run)
    }

    /// Remembers a run that was given up, while its end would still be news.
    pub(super) fn remember_lost(&mut self, run: &OpenRun, close: &RunClose) {
        let unfinished = self
            .jobs
            .get(&run.task.job)
            .is_some_and(|job| is_unfinished(job, run.task));
        if *close == RunClose::Lost && unfinished {
            self.lost_runs.insert(run.run, run.task);
        }
    }

    /// Takes the late end of a lost run; any other closed run stays as it is.
    pub(super) fn take_late_end(
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
            self.settle_late(task, close, at, changes);
        }
    }

    fn settle_late(
        &mut self,
        task: TaskRef,
        close: &RunClose,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((step, _, facts)) = job.task(task) else {
            return;
        };
        let runs_again = facts.open_runs > 0;
        let is_endless = step.rules.endless;
        let (backoff_until, attempt) = (facts.backoff_until, u32::from(facts.attempts));
        if !is_unfinished(job, task) || (runs_again && job.is_gang(task.step)) {
            return;
        }
        if runs_again && close.is_failure() && !is_endless {
            return count_late_failure(job, task);
        }
        let failed = settle(job, task, attempt, close, &self.document.timings, at);
        // The task was told ready when the run was given up, and has waited
        // longer than any backoff: a late failure only uses up its allowance.
        job.change_task(task, |task| task.backoff_until = backoff_until);
        self.indexes.refresh(task.job, job);
        self.follow_close(task, close, failed, at, changes);
    }
}
