//! Open runs: binding, adopting and closing them.

use crate::Scheduler;
use crate::queue::ListIndex;
use crate::runner::RunnerIndex;
use types::{LicenceName, OpenRun, Resources, RunId, RunnerIncarnation, TaskRef};

/// An open run (source: an entry of the running set).
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) task: TaskRef,
    pub(crate) tenant: usize,
    pub(crate) list: ListIndex,
    pub(crate) pool: Option<usize>,
    pub(crate) runner: RunnerIndex,
    pub(crate) incarnation: RunnerIncarnation,
    pub(crate) resources: Resources,
    pub(crate) licence: Option<LicenceName>,
}

impl Scheduler {
    pub(crate) fn next_run(&mut self) -> RunId {
        self.last_sequence += 1;
        RunId {
            term: self.term,
            sequence: self.last_sequence,
        }
    }

    pub(crate) fn enter_open_run(&mut self, open: OpenRun) {
        if self.runs.contains_key(&open.run) {
            return;
        }
        // A view rebuilt within its term must not use a sequence twice.
        if open.run.term == self.term {
            self.last_sequence = self.last_sequence.max(open.run.sequence);
        }
        let queue = self.queue_index(&open.queue);
        let tenant = self.tenant_index(&open.tenant);
        let run = Run {
            task: open.task,
            tenant,
            list: self.list_of_pair(queue, tenant),
            pool: self.queues[queue].pool,
            runner: self.runner_index(&open.runner),
            incarnation: open.incarnation,
            resources: open.resources,
            licence: open.licence,
        };
        self.open_run(open.run, run);
    }

    /// Counts a run for its tenant, task and runner.
    pub(crate) fn open_run(&mut self, id: RunId, run: Run) {
        let tenant = &mut self.tenants[run.tenant];
        tenant.usage = tenant.usage.plus(&run.resources);
        if let Some(pool) = run.pool {
            let usage = tenant.usage_by_pool.entry(pool).or_default();
            *usage = usage.plus(&run.resources);
        }
        self.lists[run.list]
            .demand
            .acquire(&run.resources, self.latest);
        self.runners[run.runner].bind(id, run.incarnation, run.resources);
        self.runs_of.entry(run.task).or_default().push(id);
        if let Some(licence) = &run.licence {
            self.seats.take(licence);
        }
        let (tenant, task) = (run.tenant, run.task);
        self.runs.insert(id, run);
        self.bind_if_full(task);
        self.refresh_tenant(tenant);
    }

    /// Stops counting a run; None when it was not open.
    pub(crate) fn close_run(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        let tenant = &mut self.tenants[run.tenant];
        tenant.usage = tenant.usage.minus(&run.resources);
        if let Some(pool) = run.pool
            && let Some(usage) = tenant.usage_by_pool.get_mut(&pool)
        {
            *usage = usage.minus(&run.resources);
            if *usage == Resources::ZERO {
                tenant.usage_by_pool.remove(&pool);
            }
        }
        self.lists[run.list].demand.let_go(&run.resources);
        if let Some(licence) = &run.licence {
            self.seats.give_back(licence);
        }
        self.runners[run.runner].unbind(id);
        if let Some(runs) = self.runs_of.get_mut(&run.task) {
            runs.retain(|other| *other != id);
            if runs.is_empty() {
                self.runs_of.remove(&run.task);
            }
        }
        self.refresh_tenant(run.tenant);
        Some(run)
    }

    /// Returns whether the task has an open run on the runner.
    pub(crate) fn runs_on(&self, task: TaskRef, runner: RunnerIndex) -> bool {
        let runs = self.runs_of.get(&task).into_iter().flatten();
        runs.filter_map(|run| self.runs.get(run))
            .any(|run| run.runner == runner)
    }

    // A run adopted after its task was published leaves fewer starts to it.
    fn bind_if_full(&mut self, task: TaskRef) {
        let open_runs = self.runs_of.get(&task).map_or(0, Vec::len);
        let Some(entry) = self.tasks.get(&task) else {
            return;
        };
        let status = if open_runs >= entry.max_copies as usize {
            crate::task::TaskStatus::Bound
        } else if entry.status == crate::task::TaskStatus::Delayed {
            crate::task::TaskStatus::Delayed
        } else {
            crate::task::TaskStatus::Copies
        };
        self.stand(task, status);
    }
}
