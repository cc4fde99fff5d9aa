//! Public interface of the scheduler.

use crate::decision::{Decision, NotPlacedReason};
use crate::options::{AuditReport, Published, RunnerView, SchedulerOptions, SeatUsage};
use crate::pull::StarvationSearch;
use crate::view::View;
use configuration::ClusterConfiguration;
use types::{
    JobNumber, LicenceName, Now, OpenRun, QueueName, Resources, RunId, RunnerId, RunnerReport,
    TaskMeta, TaskRef, TenantId, Term, WallTime,
};

/// The leader's view of waiting and running work.
///
/// Every step is idempotent. Equal calls with an equal seed lead to equal
/// decisions. The cost of a reserve grows with the number of tenants drawn and
/// with the logarithm of the number of waiting tasks.
#[derive(Debug, Clone)]
pub struct Scheduler {
    view: View,
}

impl Scheduler {
    /// Creates an empty view for the leader of `term`, which new run
    /// identifiers carry. `seed` determines all random draws.
    pub fn new(options: SchedulerOptions, term: Term, seed: u64) -> Self {
        Self {
            view: View::new(options, term, seed),
        }
    }

    /// Applies the queues, pools, licences and tenant contracts of a
    /// configuration. Work of a queue or tenant that it leaves out stays in the
    /// view and starts no more runs.
    pub fn configure(&mut self, document: &ClusterConfiguration) {
        self.view.configure(document);
    }

    /// Adds a task unless it is pending or running. Atomic step.
    pub fn publish(&mut self, meta: TaskMeta, now: Now) -> Published {
        self.view.record_time(now);
        self.view.add_task(meta, now)
    }

    /// Adds a run that is open in the replicated state. Called after an
    /// election, before the run's task is published. `is_lasting` tells whether the run
    /// goes on until its job is cancelled. Idempotent.
    pub fn adopt_run(&mut self, run: OpenRun, is_lasting: bool) {
        self.view.adopt_run(run, is_lasting);
    }

    /// Performs one pull for one runner. Draws uniformly among the runnable
    /// tenants of the pool's queues (a tenant with work in two queues counts
    /// once in each), takes that tenant's oldest startable task that fits, and
    /// binds it. Returns `None` when nothing may start. Atomic step.
    pub fn reserve(&mut self, runner: &RunnerId, now: Now) -> Option<Decision> {
        self.view.record_time(now);
        let runner = self.view.runners.find(runner)?;
        self.view.admit_due(now);
        self.view.reserve(runner, StarvationSearch::Enabled, now)
    }

    /// Pulls for all runners with free resources until `limit` tasks are placed
    /// or nothing more may start. Also reports changed reasons of tasks that
    /// stay pending, a bounded number in each call.
    pub fn place(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        self.view.record_time(now);
        self.view.place(now, limit)
    }

    /// Closes a run whose task may run again, and publishes the task. If the
    /// run is not open, publishes the task if it is absent. Atomic step.
    pub fn reschedule(&mut self, run: RunId, meta: TaskMeta, now: Now) {
        self.view.record_time(now);
        if let Some(closed) = self.view.close_run(run) {
            self.view.remove_task(closed.task);
        }
        self.view.add_task(meta, now);
    }

    /// Closes a run and removes its task. Atomic step; idempotent.
    pub fn remove_run(&mut self, run: RunId) {
        if let Some(closed) = self.view.close_run(run) {
            self.remove(closed.task);
        }
    }

    /// Removes a task that will never start again. Its open runs count until
    /// they are removed. Atomic step; idempotent.
    pub fn remove(&mut self, task: TaskRef) {
        self.view.failed_on.remove(&task);
        self.view.remove_task(task);
    }

    /// Applies a runner's heartbeat unless a newer one was applied.
    pub fn heartbeat(&mut self, report: &RunnerReport, now: Now) {
        self.view.record_time(now);
        self.view.apply_heartbeat(report, now);
    }

    /// Sets whether an operator has set a runner to draining.
    pub fn set_draining(&mut self, runner: &RunnerId, draining: bool) {
        let index = self.view.runners.get_or_insert(runner);
        self.view.runners[index].drained_by_operator = draining;
    }

    /// Records the outcome of a run for the health of its runner. Returns whether the
    /// runner goes on probation because of it.
    pub fn record_outcome(
        &mut self,
        runner: &RunnerId,
        task: TaskRef,
        failed: bool,
        now: Now,
    ) -> bool {
        self.view
            .record_outcome(runner, task, failed, now.monotonic)
    }

    /// Returns why a ready task is not running; `None` when the view does not
    /// have the task or nothing prevents its start.
    pub fn explain(&self, task: TaskRef, now: Now) -> Option<NotPlacedReason> {
        self.view.explain(task, now)
    }

    /// Returns since when, as far as this leader knows, no runner that reports
    /// can meet the needs of a waiting task, even when it is empty; `None` when
    /// one can, or when the pool has no runner at all.
    pub fn unmet_since(&self, task: TaskRef, now: Now) -> Option<WallTime> {
        self.view.unmet_since(task, now)
    }

    /// Returns the state of all runners that have reported to this leader.
    pub fn runners(&self, now: Now) -> Vec<RunnerView> {
        self.view.runner_views(now.monotonic)
    }

    /// Compares the view with the replicated state for the jobs numbered
    /// `from..=to`, of which `ready` are all ready tasks, and corrects the view.
    ///
    /// A task with all the runs it may have is skipped. A waiting task that is
    /// not ready is removed; one that differs or is missing is published again.
    pub fn audit(
        &mut self,
        from: JobNumber,
        to: JobNumber,
        ready: &[TaskMeta],
        now: Now,
    ) -> AuditReport {
        self.view.audit(from, to, ready, now)
    }

    /// Returns the earliest start time of the delayed tasks; `None` when there
    /// are none.
    pub fn next_start_time(&self) -> Option<WallTime> {
        self.view.tasks.next_start_time()
    }

    /// Returns the number of a tenant's tasks in a queue that could start if
    /// there were capacity.
    pub fn pending_count(&self, queue: &QueueName, tenant: &TenantId) -> usize {
        let list = self.view.find_list(queue, tenant);
        list.map_or(0, |list| list.pending().len())
    }

    /// Returns the resources that the tenant's open runs use in all pools.
    pub fn usage(&self, tenant: &TenantId) -> Resources {
        let index = self.view.tenants.find(tenant);
        index.map_or(Resources::ZERO, |index| self.view.tenants[index].usage())
    }

    /// Returns the seats of a licence in use and the tasks that wait for
    /// capacity or a licence seat.
    pub fn seat_usage(&self, licence: &LicenceName) -> SeatUsage {
        let licence = self.view.licences.get(licence);
        licence.map_or_else(SeatUsage::default, |licence| SeatUsage {
            used: licence.used(),
            waiting_tasks: licence.waiting_in(|_| true),
        })
    }

    /// Returns the number of open runs of all tenants.
    pub fn open_run_count(&self) -> usize {
        self.view.runs.len()
    }

    /// Returns the number of tasks and runners examined so far. As a measure of
    /// the view's work it is the same on every machine.
    pub fn scan_cost(&self) -> u64 {
        self.view.scan_cost()
    }

    /// Makes scans examine lists, runners and tasks also when bounds and indexes
    /// show that nothing fits. Lets tests prove that a leader needs them.
    pub fn scan_all(&mut self) {
        self.view.skips_by_bounds = false;
        self.view.uses_indexes = false;
    }

    /// Makes scans examine the first task of every shape in place of the indexes.
    /// Lets tests prove that the indexes change no decision.
    pub fn scan_without_indexes(&mut self) {
        self.view.uses_indexes = false;
    }

    /// Returns the number of published tasks, waiting and running.
    pub fn task_count(&self) -> usize {
        self.view.tasks.len()
    }
}
