//! Closing of runs through the log, and its consequences for the leader.

use crate::leader::Leader;
use state_machine::StateMachine;
use transport::DecisionEvent;
use types::{Now, OpenRun, Outcome, RunClose, RunId, RunnerId, TaskMeta, TaskRef};

impl Leader {
    /// Closes a run through the log, unless its close is already proposed.
    pub(super) fn close_run(&mut self, run: RunId, close: RunClose) {
        if let Some(close) = self.runs.begin_close(run, close) {
            self.proposals.add_close(close);
        }
    }

    /// Handles the close of a run. `retry` is the task if it is to run again.
    pub(super) fn handle_run_closed(
        &mut self,
        state_machine: &StateMachine,
        run: OpenRun,
        close: RunClose,
        retry: Option<TaskMeta>,
        now: Now,
    ) {
        self.runs.remove(run.run);
        if matches!(close, RunClose::Ended(_)) {
            self.runners.record_end(run.runner.clone(), run.run);
        }
        // Recorded before the task is placed again, so that the scheduler
        // prefers another runner.
        let is_done = close == RunClose::Ended(Outcome::Done);
        if is_done || close.is_failure() {
            self.record_outcome(&run.runner, run.task, close.is_failure(), now);
        }
        match retry {
            Some(_) if close == RunClose::Rejected => {
                self.release_after_delay(run.run, run.task, now.monotonic);
            }
            Some(meta) => self.scheduler.reschedule(run.run, meta, now),
            None => self.scheduler.remove_run(run.run),
        }
        metrics::counter!("cypressdrum_runs_closed_total", "close" => close_name(&close))
            .increment(1);
        let event = DecisionEvent::Closed {
            run: run.run,
            task: run.task,
            runner: run.runner,
            close,
            at: now.wall,
        };
        self.decisions
            .record(state_machine.job_key(run.task.job), event);
    }

    /// Records the outcome of a run for the health of its runner.
    pub(super) fn record_outcome(
        &mut self,
        runner: &RunnerId,
        task: TaskRef,
        failed: bool,
        now: Now,
    ) {
        if self.scheduler.record_outcome(runner, task, failed, now) {
            tracing::info!(%runner, "runner went on probation");
            metrics::counter!("cypressdrum_probations_total").increment(1);
        }
    }
}

/// Returns the value of the label `close` of the counter of closed runs.
fn close_name(close: &RunClose) -> &'static str {
    match close {
        RunClose::Ended(Outcome::Done) => "done",
        RunClose::Ended(Outcome::Failed(_)) => "failed",
        RunClose::Ended(Outcome::Stopped) => "stopped",
        RunClose::Revoked => "revoked",
        RunClose::Lost => "lost",
        RunClose::Rejected => "rejected",
        RunClose::TimedOut => "timed_out",
    }
}
