//! Opens and closes runs, and updates the tables that count them.

use crate::run::Run;
use crate::run_duration::RunDuration;
use crate::task::TaskStatus;
use crate::view::View;
use types::{OpenRun, RunId, TaskRef};

impl View {
    /// Adds a run that is open in the replicated state. Idempotent.
    pub(crate) fn adopt_run(&mut self, open: OpenRun, is_lasting: bool) {
        if self.runs.contains(open.run) {
            return;
        }
        self.runs.reserve_id(open.run);
        let queue = self.queues.get_or_insert(&open.queue);
        let tenant = self.tenants.get_or_insert(&open.tenant);
        let run = Run {
            task: open.task,
            tenant,
            list: self.list_index_of_pair(queue, tenant),
            pool: self.queues[queue].pool,
            runner: self.runners.get_or_insert(&open.runner),
            incarnation: open.incarnation,
            resources: open.resources,
            duration: RunDuration::of_open_run(&open, is_lasting),
            licence: open.licence,
        };
        self.open_run(open.run, run);
    }

    /// Opens a run: adds it to the tables of its tenant, list, runner, licence
    /// and task.
    pub(crate) fn open_run(&mut self, id: RunId, run: Run) {
        let now = self.latest();
        let (tenant, task) = (run.tenant, run.task);
        self.tenants[tenant].add_run(&run.resources, run.pool);
        self.lists[run.list].demand.add_run(&run.resources, now);
        self.runners[run.runner].bind(id, &run, now);
        if let Some(licence) = &run.licence {
            self.licences.acquire_seat(licence);
        }
        self.runs.insert(id, run);
        self.update_status_of_running(task);
        self.refresh_tenant(tenant);
    }

    /// Closes a run: removes it from these tables. Returns `None` when it was
    /// not open.
    pub(crate) fn close_run(&mut self, id: RunId) -> Option<Run> {
        let run = self.runs.remove(id)?;
        self.tenants[run.tenant].remove_run(&run.resources, run.pool);
        self.lists[run.list].demand.remove_run(&run.resources);
        if let Some(licence) = &run.licence {
            self.licences.release_seat(licence);
        }
        self.runners[run.runner].unbind(id);
        self.refresh_tenant(run.tenant);
        Some(run)
    }

    /// Updates the status of a task after a run of it was opened. A run may be
    /// adopted after its task was published; the task may then start once less.
    fn update_status_of_running(&mut self, task: TaskRef) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let status = if self.runs.count_of_task(task) >= entry.max_copies as usize {
            TaskStatus::Bound
        } else if entry.status == TaskStatus::Delayed {
            TaskStatus::Delayed
        } else {
            TaskStatus::Copyable
        };
        self.set_status(task, status);
    }
}
