//! The scheduler's public steps; each module beside this one has one part.

use crate::gang::Gangs;
use crate::options::{AuditReport, Published, RunnerView, SchedulerOptions};
use crate::queue::{ListIndex, Pool, Queue, Tenant, TenantList};
use crate::run::Run;
use crate::runner::{Runner, RunnerIndex};
use crate::scan::Starving;
use crate::seats::Seats;
use crate::shape::ShapeTable;
use crate::table::Table;
use crate::task::Task;
use crate::{Decision, NotPlacedReason};
use configuration::ClusterConfiguration;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use types::{
    JobNumber, Monotonic, Now, OpenRun, PoolName, QueueName, Resources, RunId, RunnerId,
    RunnerReport, TaskMeta, TaskRef, TenantId, Term, WallTime,
};

/// The leader's view of waiting and running work.
///
/// Every step is idempotent, and equal calls with an equal seed lead to equal
/// decisions. The cost of a reserve grows with the tenants drawn and with the
/// logarithm of the tasks waiting.
#[derive(Debug, Clone)]
pub struct Scheduler {
    pub(crate) options: SchedulerOptions,
    pub(crate) term: Term,
    pub(crate) last_sequence: u64,
    pub(crate) random: ChaCha8Rng,
    pub(crate) pools: Table<PoolName, Pool>,
    pub(crate) queues: Table<QueueName, Queue>,
    pub(crate) tenants: Table<TenantId, Tenant>,
    pub(crate) runners: Table<RunnerId, Runner>,
    pub(crate) lists: Vec<TenantList>,
    pub(crate) list_of: BTreeMap<(usize, usize), ListIndex>,
    pub(crate) shapes: ShapeTable,
    pub(crate) tasks: BTreeMap<TaskRef, Task>,
    pub(crate) delayed: BTreeSet<(WallTime, TaskRef)>,
    pub(crate) runs: BTreeMap<RunId, Run>,
    pub(crate) runs_of: BTreeMap<TaskRef, Vec<RunId>>,
    pub(crate) gangs: Gangs,
    pub(crate) seats: Seats,
    /// The runners on which an unfinished task failed.
    pub(crate) failed_on: BTreeMap<TaskRef, BTreeSet<RunnerIndex>>,
    pub(crate) reason_cursor: usize,
    pub(crate) search_backfills_after: Monotonic,
    /// The latest time given.
    pub(crate) latest: Monotonic,
    /// Runners and lists that nothing could fit are passed over.
    pub(crate) passes_over: bool,
    /// See [`Scheduler::scan_cost`].
    scan_cost: Cell<u64>,
}

impl Scheduler {
    /// An empty view of the leader of `term`; run identifiers carry the term.
    pub fn new(options: SchedulerOptions, term: Term, seed: u64) -> Self {
        Self {
            options,
            term,
            last_sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            pools: Table::default(),
            queues: Table::default(),
            tenants: Table::default(),
            runners: Table::default(),
            lists: Vec::new(),
            list_of: BTreeMap::new(),
            shapes: ShapeTable::default(),
            tasks: BTreeMap::new(),
            delayed: BTreeSet::new(),
            runs: BTreeMap::new(),
            runs_of: BTreeMap::new(),
            gangs: Gangs::default(),
            seats: Seats::default(),
            failed_on: BTreeMap::new(),
            reason_cursor: 0,
            search_backfills_after: Monotonic::default(),
            latest: Monotonic::default(),
            passes_over: true,
            scan_cost: Cell::new(0),
        }
    }

    /// Takes queues, pools and tenant contracts; tenants at a new limit become
    /// runnable or stop being so. Work of a queue or tenant that is left out
    /// stays in the view and starts no more runs.
    pub fn configure(&mut self, document: &ClusterConfiguration) {
        self.take_configuration(document);
    }

    /// Atomic step: adds a task unless it is present, pending or running.
    pub fn publish(&mut self, meta: TaskMeta, now: Now) -> Published {
        self.record_time(now);
        self.add_task(meta, now)
    }

    /// Enters a run that the record holds open (after an election, before its
    /// task is published). Idempotent.
    pub fn adopt_run(&mut self, run: OpenRun) {
        self.enter_open_run(run);
    }

    /// Atomic step: one pull for one runner. Draws uniformly among the
    /// runnable tenants of the pool's queues (a tenant that waits in two
    /// queues counts once in each), takes that tenant's oldest startable task
    /// that fits, and binds it. None when nothing may start.
    pub fn reserve(&mut self, runner: &RunnerId, now: Now) -> Option<Decision> {
        self.record_time(now);
        let runner = self.runners.find(runner)?;
        self.admit_due(now);
        self.pull(runner, Starving::Search, now)
    }

    /// Derives pulls from all known room, at most `limit` placements, and
    /// reports changed reasons of what stays, a bounded number in each call.
    pub fn place(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        self.record_time(now);
        self.place_all(now, limit)
    }

    /// Atomic step: the run is over and its task may run again. For a run
    /// that is not open it publishes the task if it is absent.
    pub fn reschedule(&mut self, run: RunId, meta: TaskMeta, now: Now) {
        self.record_time(now);
        if let Some(closed) = self.close_run(run) {
            self.remove_task(closed.task);
        }
        self.add_task(meta, now);
    }

    /// Atomic step: the run is over, and its task with it. Idempotent.
    pub fn remove_run(&mut self, run: RunId) {
        if let Some(closed) = self.close_run(run) {
            self.failed_on.remove(&closed.task);
            self.remove_task(closed.task);
        }
    }

    /// Atomic step: the task will never start again; its open runs go on
    /// counting until they are removed. Idempotent.
    pub fn remove(&mut self, task: TaskRef) {
        self.failed_on.remove(&task);
        self.remove_task(task);
    }

    /// Takes a runner's heartbeat: room, labels, draining, what it holds. One
    /// that is older than the last taken is passed over.
    pub fn heartbeat(&mut self, report: &RunnerReport, now: Now) {
        self.record_time(now);
        self.take_heartbeat(report, now);
    }

    /// An operator's word on a runner.
    pub fn set_draining(&mut self, runner: &RunnerId, draining: bool) {
        let index = self.runner_index(runner);
        self.runners[index].drained_by_operator = draining;
    }

    /// Records how a run on a runner ended, for the runner's health.
    pub fn record_outcome(&mut self, runner: &RunnerId, task: TaskRef, failed: bool, now: Now) {
        self.take_outcome(runner, task, failed, now.monotonic);
    }

    /// Why a ready task is not running; None when the view does not hold it or
    /// nothing stands against its start.
    pub fn explain(&self, task: TaskRef, now: Now) -> Option<NotPlacedReason> {
        self.reason_of(task, now)
    }

    /// All runners that this leader has heard.
    pub fn runners(&self, now: Now) -> Vec<RunnerView> {
        self.view_runners(now)
    }

    /// Compares the view with the record for the jobs numbered `from..=to`:
    /// `ready` is everything the record holds ready there. A task that has
    /// all the runs it may have is left alone; what waits in the view and is
    /// not ready in the record is removed, what differs or is missing is
    /// published again.
    pub fn audit(
        &mut self,
        from: JobNumber,
        to: JobNumber,
        ready: &[TaskMeta],
        now: Now,
    ) -> AuditReport {
        self.audit_slice(from, to, ready, now)
    }

    /// When a task's time comes next, if one waits for it.
    pub fn next_start_time(&self) -> Option<WallTime> {
        self.delayed.first().map(|(time, _)| *time)
    }

    /// Tasks of a tenant in a queue that could start now but for room.
    pub fn pending_count(&self, queue: &QueueName, tenant: &TenantId) -> usize {
        let pair = self.queues.find(queue).zip(self.tenants.find(tenant));
        let list = pair.and_then(|pair| self.list_of.get(&pair));
        list.map_or(0, |list| self.lists[*list].pending.len())
    }

    /// What the tenant's open runs hold in all pools.
    pub fn usage(&self, tenant: &TenantId) -> Resources {
        let index = self.tenants.find(tenant);
        index.map_or(Resources::ZERO, |index| self.tenants[index].usage)
    }

    /// Open runs of all tenants.
    pub fn open_run_count(&self) -> usize {
        self.runs.len()
    }

    /// Tasks, runners and gangs looked at so far: what the work of this view
    /// is counted in, the same on every machine.
    pub fn scan_cost(&self) -> u64 {
        self.scan_cost.get()
    }

    /// Passes over nothing any more, for proofs of what that is worth.
    pub fn scan_all(&mut self) {
        self.passes_over = false;
    }

    fn record_time(&mut self, now: Now) {
        self.latest = self.latest.max(now.monotonic);
    }

    pub(crate) fn record_scan(&self) {
        self.record_scans(1);
    }

    pub(crate) fn record_scans(&self, scan_cost: usize) {
        let scan_cost = u64::try_from(scan_cost).unwrap_or(u64::MAX);
        self.scan_cost
            .set(self.scan_cost.get().saturating_add(scan_cost));
    }

    /// Published tasks, waiting and running.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }
}
