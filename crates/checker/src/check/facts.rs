//! Observed state of one job, task or run.

use crate::ExpectedStep;
use std::collections::{BTreeMap, BTreeSet};
use types::{JobKey, JobState, Milliseconds, Resources, RunId, RunnerId, StepName};

/// A run that stops up to this long before its time limit may still have timed
/// out: the limit counts from a moment before the start was observed.
const TIME_LIMIT_TOLERANCE: Milliseconds = Milliseconds(500);

/// Key of a task within its job: the step, and the index within the step.
pub(super) type TaskKey = (StepName, u32);

/// Observed state of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct JobFacts {
    /// Steps of the first submit.
    steps: Vec<ExpectedStep>,
    /// Whether submits with different steps were sent, so that it is unknown
    /// which of them created the job.
    is_ambiguous: bool,
    /// Highest number of copies of each step in any submit.
    max_copies: BTreeMap<StepName, u32>,
    has_submit: bool,
    /// Earliest start in any submit; None if one of them has none.
    pub(super) not_before: Option<Milliseconds>,
    pub(super) acknowledged_at: Option<Milliseconds>,
    pub(super) cancel_sent: bool,
    pub(super) cancel_acknowledged_at: Option<Milliseconds>,
    /// First final state that a caller read.
    pub(super) final_state: Option<JobState>,
    pub(super) tasks: BTreeMap<TaskKey, TaskFacts>,
    /// Number of tasks of each step that ended done.
    pub(super) done_by_step: BTreeMap<StepName, u32>,
}

/// Observed state of a task.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskFacts {
    pub(super) open_runs: BTreeSet<RunId>,
    /// Time at which a run of the task last started or ended.
    pub(super) changed_at: Milliseconds,
    /// Time of the first done end; None if no run has ended done.
    pub(super) done_at: Option<Milliseconds>,
    /// Run that ended done first.
    pub(super) done_run: Option<RunId>,
    /// Runs that ended failed, in the order of their ends.
    pub(super) failed_runs: Vec<RunId>,
    /// Number of stopped runs that may have reached their time limit and count as
    /// failed.
    pub(super) possible_timeouts: u32,
}

impl TaskFacts {
    /// Returns the number of runs that failed or may count as failed.
    fn max_failures(&self) -> u32 {
        count(self.failed_runs.len()) + self.possible_timeouts
    }
}

/// Observed state of a run that started.
#[derive(Debug, Clone)]
pub(super) struct RunFacts {
    pub(super) job: JobKey,
    pub(super) task: TaskKey,
    pub(super) runner: RunnerId,
    pub(super) resources: Resources,
    pub(super) started_at: Milliseconds,
    /// Time of the run's end; None while the run is open.
    pub(super) ended_at: Option<Milliseconds>,
    /// Expiry of the runner's run lease, as of the run's end; None if it is
    /// unknown.
    pub(super) lease_until: Option<Milliseconds>,
    /// Whether the runner was notified that the run's end is recorded.
    pub(super) end_recorded: bool,
    /// Whether the runner's process ended after the run, before the runner was
    /// notified that the run's end is recorded.
    pub(super) end_lost: bool,
}

impl RunFacts {
    /// Returns whether the run has not ended yet.
    pub(super) fn is_open(&self) -> bool {
        self.ended_at.is_none()
    }
}

impl JobFacts {
    /// Returns a step of the job; None if submits with different steps were sent,
    /// or none has the step.
    pub(super) fn step(&self, name: &StepName) -> Option<&ExpectedStep> {
        let mut steps = self.definite_steps()?.iter();
        steps.find(|step| step.name == *name)
    }

    /// Returns a step of the job's first submit, although a different submit may
    /// have created the job.
    pub(super) fn probable_step(&self, name: &StepName) -> Option<&ExpectedStep> {
        self.steps.iter().find(|step| step.name == *name)
    }

    /// Returns all steps; None if no submit, or submits with different steps, were
    /// sent.
    pub(super) fn definite_steps(&self) -> Option<&[ExpectedStep]> {
        (self.has_submit && !self.is_ambiguous).then_some(&self.steps)
    }

    /// Returns the number of tasks of a step that ended done. The first done end in
    /// a gang counts for all of its tasks.
    pub(super) fn done_tasks(&self, step: &StepName) -> u32 {
        let done = self.done_by_step.get(step).copied().unwrap_or(0);
        match self.probable_step(step) {
            Some(expected) if expected.gang && done > 0 => expected.tasks,
            _ => done,
        }
    }

    /// Returns the highest number of copies of a step in any submit, at least 1.
    pub(super) fn allowed_copies(&self, step: &StepName) -> u32 {
        self.max_copies.get(step).copied().unwrap_or(1)
    }

    /// Returns whether every task ended done; None if the steps are not definite.
    pub(super) fn is_done(&self) -> Option<bool> {
        let mut steps = self.definite_steps()?.iter();
        Some(steps.all(|step| self.done_tasks(&step.name) >= step.tasks))
    }

    /// Returns whether a task may have failed more often than allowed by `at`.
    /// `find_run` returns the observed state of a run.
    pub(super) fn may_have_failed<'a>(
        &self,
        find_run: impl Fn(RunId) -> Option<&'a RunFacts>,
        at: Milliseconds,
    ) -> bool {
        let Some(mut steps) = self.definite_steps().map(<[_]>::iter) else {
            return true;
        };
        steps.any(|step| {
            self.exceeds_allowed_failures(step, |task| {
                let open_runs = task.open_runs.iter().filter_map(|run| find_run(*run));
                let timed_out =
                    open_runs.filter(|run| may_have_timed_out(run.started_at, at, step.time_limit));
                task.max_failures() + count(timed_out.count())
            })
        })
    }

    /// Records a submit of the job.
    pub(super) fn record_submit(
        &mut self,
        steps: &[ExpectedStep],
        not_before: Option<Milliseconds>,
    ) {
        for step in steps {
            let max_copies = self.max_copies.entry(step.name.clone()).or_insert(1);
            *max_copies = (*max_copies).max(step.max_copies);
        }
        if !self.has_submit {
            self.has_submit = true;
            self.steps = steps.to_vec();
            self.not_before = not_before;
            return;
        }
        self.is_ambiguous |= self.steps != steps;
        self.not_before = self
            .not_before
            .zip(not_before)
            .map(|(one, two)| one.min(two));
    }

    /// Returns whether a task may have failed more often than allowed, open runs
    /// not counted, so that the job may have no work left.
    pub(super) fn may_have_exceeded_failures(&self) -> bool {
        match self.definite_steps().map(<[_]>::iter) {
            Some(mut steps) => {
                steps.any(|step| self.exceeds_allowed_failures(step, TaskFacts::max_failures))
            }
            None => self.tasks.values().any(|task| task.max_failures() > 0),
        }
    }

    /// Returns whether a task of the step has more failures than allowed. A gang
    /// fails as a whole, so the failures of all its tasks add up.
    fn exceeds_allowed_failures(
        &self,
        step: &ExpectedStep,
        failures: impl Fn(&TaskFacts) -> u32,
    ) -> bool {
        let tasks = self.tasks.iter().filter(|(key, _)| key.0 == step.name);
        let failures = tasks.map(|(_, task)| failures(task));
        let max = if step.gang {
            failures.sum()
        } else {
            failures.max().unwrap_or(0)
        };
        max > step.allowed_failures
    }
}

/// Returns whether a run that started at `started_at` may have reached its time
/// limit by `now`. Without a known limit, any run may have.
pub(super) fn may_have_timed_out(
    started_at: Milliseconds,
    now: Milliseconds,
    time_limit: Option<Milliseconds>,
) -> bool {
    time_limit.is_none_or(|limit| now + TIME_LIMIT_TOLERANCE >= started_at + limit)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
