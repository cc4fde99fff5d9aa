//! Table of open runs.

use crate::index::{ListIndex, PoolIndex, RunnerIndex, TenantIndex};
use crate::run_duration::RunDuration;
use crate::step::StepRef;
use std::collections::BTreeMap;
use types::{LicenceName, Resources, RunId, RunnerIncarnation, TaskRef, Term};

/// Open run; an entry of the running set in the Job Pump.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) task: TaskRef,
    pub(crate) tenant: TenantIndex,
    pub(crate) list: ListIndex,
    /// Pool whose capacity the run uses; `None` for a queue without a pool.
    pub(crate) pool: Option<PoolIndex>,
    pub(crate) runner: RunnerIndex,
    pub(crate) incarnation: RunnerIncarnation,
    pub(crate) resources: Resources,
    pub(crate) licence: Option<LicenceName>,
    pub(crate) duration: RunDuration,
}

/// Open runs, and the sequence of new run identifiers.
#[derive(Debug, Clone)]
pub(crate) struct RunTable {
    term: Term,
    last_sequence: u64,
    runs: BTreeMap<RunId, Run>,
    by_task: BTreeMap<TaskRef, Vec<RunId>>,
}

impl RunTable {
    /// Creates an empty table; new run identifiers carry `term`.
    pub(crate) fn new(term: Term) -> Self {
        Self {
            term,
            last_sequence: 0,
            runs: BTreeMap::new(),
            by_task: BTreeMap::new(),
        }
    }

    /// Returns a run identifier that was not used before in this term.
    pub(crate) fn next_id(&mut self) -> RunId {
        self.last_sequence += 1;
        RunId {
            term: self.term,
            sequence: self.last_sequence,
        }
    }

    /// Prevents reuse of the identifier of an adopted run. A view that is
    /// rebuilt within its term adopts runs of that term.
    pub(crate) fn reserve_id(&mut self, run: RunId) {
        if run.term == self.term {
            self.last_sequence = self.last_sequence.max(run.sequence);
        }
    }

    /// Returns the number of open runs.
    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether the run is open.
    pub(crate) fn contains(&self, run: RunId) -> bool {
        self.runs.contains_key(&run)
    }

    /// Returns the open runs in order of identifier.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RunId, &Run)> {
        self.runs.iter().map(|(id, run)| (*id, run))
    }

    /// Adds an open run.
    pub(crate) fn insert(&mut self, id: RunId, run: Run) {
        self.by_task.entry(run.task).or_default().push(id);
        self.runs.insert(id, run);
    }

    /// Removes a run; returns `None` when it was not open.
    pub(crate) fn remove(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        if let Some(runs) = self.by_task.get_mut(&run.task) {
            runs.retain(|other| *other != id);
            if runs.is_empty() {
                self.by_task.remove(&run.task);
            }
        }
        Some(run)
    }

    /// Returns the number of open runs of a task.
    pub(crate) fn count_of_task(&self, task: TaskRef) -> usize {
        self.by_task.get(&task).map_or(0, Vec::len)
    }

    /// Returns whether the task has an open run.
    pub(crate) fn has_task(&self, task: TaskRef) -> bool {
        self.by_task.contains_key(&task)
    }

    /// Returns whether the task has an open run on the runner.
    pub(crate) fn has_task_on_runner(&self, task: TaskRef, runner: RunnerIndex) -> bool {
        self.of_task_on_runner(task, runner).next().is_some()
    }

    /// Returns the open runs of the task on the runner.
    pub(crate) fn of_task_on_runner(
        &self,
        task: TaskRef,
        runner: RunnerIndex,
    ) -> impl Iterator<Item = RunId> + '_ {
        let runs = self.by_task.get(&task).into_iter().flatten().copied();
        runs.filter(move |run| {
            let run = self.runs.get(run);
            run.is_some_and(|run| run.runner == runner)
        })
    }

    /// Returns the number of open runs of one step on a runner.
    pub(crate) fn count_of_step_on_runner(&self, step: StepRef, runner: RunnerIndex) -> usize {
        let tasks = self.by_task.range(step.task(0)..=step.task(u32::MAX));
        let runs = tasks.flat_map(|(_, runs)| runs);
        runs.filter_map(|run| self.runs.get(run))
            .filter(|run| run.runner == runner)
            .count()
    }
}
