//! What the history has shown of one job, task or run.

use crate::ExpectedStep;
use std::collections::{BTreeMap, BTreeSet};
use types::{JobKey, JobState, Milliseconds, Resources, RunId, RunnerId, StepName};

/// A run stopped this much before its time limit may still have been stopped
/// for it: the limit is measured from a moment before the start was seen.
const TIME_LIMIT_TOLERANCE: Milliseconds = Milliseconds(500);

/// A task within its job.
pub(super) type TaskKey = (StepName, u32);

/// What is known of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct JobFacts {
    steps: Vec<ExpectedStep>,
    /// Whether submits of different content were sent: either may have won.
    is_ambiguous: bool,
    /// Most copies of each step over all contents sent.
    copies: BTreeMap<StepName, u32>,
    was_sent: bool,
    /// The earliest among the contents sent; None when one has no start time.
    pub(super) not_before: Option<Milliseconds>,
    pub(super) acknowledged_at: Option<Milliseconds>,
    pub(super) cancel_sent: bool,
    pub(super) cancel_acknowledged_at: Option<Milliseconds>,
    /// The first final state read.
    pub(super) final_state: Option<JobState>,
    pub(super) tasks: BTreeMap<TaskKey, TaskFacts>,
    pub(super) done_by_step: BTreeMap<StepName, u32>,
}

/// What is known of a task.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskFacts {
    pub(super) open: BTreeSet<RunId>,
    /// When a run of it last began or ended.
    pub(super) changed_at: Milliseconds,
    pub(super) done_at: Option<Milliseconds>,
    /// The run that was first seen to end done.
    pub(super) done_run: Option<RunId>,
    /// Runs that ended failed, in the order of their ends.
    pub(super) failed: Vec<RunId>,
    /// Stopped runs that may count as failed, since they reached their limit.
    pub(super) overdue_stops: u32,
}

impl TaskFacts {
    /// Runs that failed, and those that may have.
    fn max_failures(&self) -> u32 {
        count(self.failed.len()) + self.overdue_stops
    }
}

/// A run that was seen to start.
#[derive(Debug, Clone)]
pub(super) struct RunFacts {
    pub(super) job: JobKey,
    pub(super) task: TaskKey,
    pub(super) runner: RunnerId,
    pub(super) resources: Resources,
    pub(super) started_at: Milliseconds,
    /// When it ended; None while it is open.
    pub(super) ended_at: Option<Milliseconds>,
    /// When its runner's lease would have ended, as of its end.
    pub(super) lease_until: Option<Milliseconds>,
    /// Whether its runner knows that the record has its end.
    pub(super) end_recorded: bool,
    /// Whether its runner's process ended after it, unless recorded before.
    pub(super) end_forgotten: bool,
}

impl RunFacts {
    /// Returns whether it is going on.
    pub(super) fn is_open(&self) -> bool {
        self.ended_at.is_none()
    }
}

impl JobFacts {
    /// What the job's submit said of a step, when that is certain.
    pub(super) fn step(&self, name: &StepName) -> Option<&ExpectedStep> {
        let mut steps = self.certain_steps()?.iter();
        steps.find(|step| step.name == *name)
    }

    /// What the job's first submit said of a step; another one may have won.
    pub(super) fn likely_step(&self, name: &StepName) -> Option<&ExpectedStep> {
        self.steps.iter().find(|step| step.name == *name)
    }

    /// All steps, when they are certain.
    pub(super) fn certain_steps(&self) -> Option<&[ExpectedStep]> {
        (self.was_sent && !self.is_ambiguous).then_some(&self.steps)
    }

    /// Tasks of a step that ended done: all of a gang once one has.
    pub(super) fn done_in(&self, step: &StepName) -> u32 {
        let done = self.done_by_step.get(step).copied().unwrap_or(0);
        match self.likely_step(step) {
            Some(expected) if expected.gang && done > 0 => expected.tasks,
            _ => done,
        }
    }

    /// Most copies of a step over all contents sent, at least 1.
    pub(super) fn allowed_copies(&self, step: &StepName) -> u32 {
        self.copies.get(step).copied().unwrap_or(1)
    }

    /// Returns whether every task ended done; None when the steps are not certain.
    pub(super) fn is_done(&self) -> Option<bool> {
        let mut steps = self.certain_steps()?.iter();
        Some(steps.all(|step| self.done_in(&step.name) >= step.tasks))
    }

    /// Returns whether a task may have used up its allowed failures by `at`; `run_of`
    /// finds what was observed of a run.
    pub(super) fn may_have_failed<'a>(
        &self,
        run_of: impl Fn(RunId) -> Option<&'a RunFacts>,
        at: Milliseconds,
    ) -> bool {
        let Some(mut steps) = self.certain_steps().map(<[_]>::iter) else {
            return true;
        };
        steps.any(|step| {
            self.has_used_up(step, |task| {
                let open = task.open.iter().filter_map(|run| run_of(*run));
                let overdue = open.filter(|run| is_overdue(run.started_at, at, step.time_limit));
                task.max_failures() + count(overdue.count())
            })
        })
    }

    /// Takes a submit of the job.
    pub(super) fn take_submit(&mut self, steps: &[ExpectedStep], not_before: Option<Milliseconds>) {
        for step in steps {
            let copies = self.copies.entry(step.name.clone()).or_insert(1);
            *copies = (*copies).max(step.max_copies);
        }
        if !self.was_sent {
            self.was_sent = true;
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

    /// Returns whether a task has, without the runs that are still open: enough to
    /// know that work may be over.
    pub(super) fn has_used_up_failures(&self) -> bool {
        match self.certain_steps().map(<[_]>::iter) {
            Some(mut steps) => steps.any(|step| self.has_used_up(step, TaskFacts::max_failures)),
            None => self.tasks.values().any(|task| task.max_failures() > 0),
        }
    }

    /// Returns whether a task has more failures than its step allows. A gang fails
    /// as a whole, each time by any of its members.
    fn has_used_up(&self, step: &ExpectedStep, failures: impl Fn(&TaskFacts) -> u32) -> bool {
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

/// Returns whether a run that started at `started` may have reached its limit.
pub(super) fn is_overdue(
    started: Milliseconds,
    now: Milliseconds,
    limit: Option<Milliseconds>,
) -> bool {
    limit.is_none_or(|limit| now + TIME_LIMIT_TOLERANCE >= started + limit)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
