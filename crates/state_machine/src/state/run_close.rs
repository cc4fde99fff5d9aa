//! Closing of runs, and its consequences for tasks, gangs, steps and jobs.

use super::StateMachine;
use super::job::{Job, Progress, Step, TaskEntry};
use super::jobs::is_unfinished;
use super::run_outcome::{RunOutcome, apply_run_outcome};
use crate::mutation::Mutation;
use crate::{Change, ClosedRun, CommandReply};
use types::{JobState, OpenRun, Outcome, RunClose, RunId, TaskRef, WallTime};

impl StateMachine {
    /// Closes runs. A run that is unknown or already closed is skipped, except that
    /// the late report of a lost run is applied.
    pub(super) fn close_runs(
        &mut self,
        runs: &[ClosedRun],
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let mut closed = Vec::new();
        for run in runs {
            if let Some(open) = self.open_runs.remove(&run.run) {
                closed.push(run.run);
                self.close_run(open, run, at, changes);
            } else {
                self.apply_late_report(run.run, &run.close, at, changes);
            }
        }
        CommandReply::Closed { runs: closed }
    }

    /// Closes an open run and applies its outcome to its task, if that is unfinished.
    fn close_run(
        &mut self,
        run: OpenRun,
        closed: &ClosedRun,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let close = &closed.close;
        self.indexes.close_run(&run);
        let task = run.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.closed_runs.push(run.run);
        if let Some(checkpoint) = &closed.checkpoint {
            job.set_checkpoint(task, checkpoint);
        }
        let skips_failure = self.mutation == Some(Mutation::ForgetFailures) && close.is_failure();
        let decides = is_unfinished(job, task) && !skips_failure;
        remove_open_run(job, task);
        let outcome = RunOutcome {
            task,
            attempt: run.attempt,
            close,
            closed_at: at,
        };
        let failed = decides && apply_run_outcome(job, outcome, &self.document.timings);
        let retry = job.startable_meta(task);
        self.indexes.refresh(task.job, job);
        self.record_if_lost(&run, close);
        changes.push(Change::RunClosed {
            run,
            close: close.clone(),
            retry,
        });
        if decides {
            self.apply_task_outcome(task, close, failed, at, changes);
            self.report_gang(task, changes);
        }
    }

    /// Reports the consequences of a closed run for the rest of its gang: open runs
    /// that are obsolete now, or, when no run of the gang is open, its tasks that are
    /// ready again.
    fn report_gang(&self, task: TaskRef, changes: &mut Vec<Change>) {
        let Some(job) = self
            .jobs
            .get(&task.job)
            .filter(|job| job.is_gang(task.step))
        else {
            return;
        };
        let members: Vec<TaskRef> = job.step_tasks(task.job, task.step).collect();
        let open = members
            .iter()
            .flat_map(|member| self.indexes.runs_of(*member));
        let open: Vec<RunId> = open.collect();
        if open.is_empty() {
            let others = members.into_iter().filter(|member| *member != task);
            let ready = others.filter_map(|member| job.startable_meta(member));
            changes.extend(ready.map(Change::TaskReady));
            return;
        }
        let obsolete: Vec<RunId> = open
            .into_iter()
            .filter(|run| self.is_obsolete(*run))
            .collect();
        if !obsolete.is_empty() {
            changes.push(Change::RunsObsolete(obsolete));
        }
    }

    /// Completes all other tasks of the gang to which a completed task belongs. Their
    /// runs may close later. Has no effect outside a gang.
    fn complete_gang(&mut self, task: TaskRef, changes: &mut Vec<Change>) {
        let Some(job) = self
            .jobs
            .get_mut(&task.job)
            .filter(|job| job.is_gang(task.step))
        else {
            return;
        };
        let members: Vec<TaskRef> = job.step_tasks(task.job, task.step).collect();
        for member in members.into_iter().filter(|member| *member != task) {
            job.change_task(member, |member| member.progress = Progress::Done);
            changes.push(Change::TaskEnded {
                task: member,
                open_runs: Vec::new(),
            });
        }
        self.indexes.refresh(task.job, job);
    }

    /// Applies the end of a task to its step and job, if `failed` is set or `close`
    /// finishes the task.
    pub(super) fn apply_task_outcome(
        &mut self,
        task: TaskRef,
        close: &RunClose,
        failed: bool,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        if failed {
            changes.push(self.task_ended(task));
            let reason = self.failure_reason(task, close);
            self.end_job(task.job, JobState::Failed, reason, at, changes);
        } else if self.finishes_task(task, close) {
            changes.push(self.task_ended(task));
            self.complete_gang(task, changes);
            let job = self.jobs.get(&task.job);
            let step = job.and_then(|job| job.steps.get(usize::from(task.step)));
            if step.is_some_and(Step::is_done) {
                self.complete_step(task.job, task.step, at, changes);
            }
        }
    }

    /// Returns whether the close of a run finishes its task successfully. A task of
    /// an endless step never finishes.
    fn finishes_task(&self, task: TaskRef, close: &RunClose) -> bool {
        !self.is_endless(task) && *close == RunClose::Ended(Outcome::Done)
    }

    /// Returns the reason that a job gives for the failure of its task.
    fn failure_reason(&self, task_ref: TaskRef, close: &RunClose) -> Option<String> {
        let TaskEntry { spec, task, .. } = self.jobs.get(&task_ref.job)?.task(task_ref)?;
        let last_failure = match close {
            RunClose::Ended(Outcome::Failed(reason)) => reason.as_str(),
            RunClose::TimedOut => "it ran past its time limit",
            RunClose::Ended(Outcome::Done | Outcome::Stopped)
            | RunClose::Lost
            | RunClose::Revoked
            | RunClose::Rejected => "told late, while it ran again",
        };
        let (name, failed) = (&spec.name, task.failed_runs);
        Some(format!(
            "task {} of step {name} failed {failed} times, last: {last_failure}",
            task_ref.task
        ))
    }
}

/// Reduces a task's number of open runs by one.
fn remove_open_run(job: &mut Job, task_ref: TaskRef) {
    job.change_task(task_ref, |task| {
        task.open_runs = task.open_runs.saturating_sub(1);
    });
}
