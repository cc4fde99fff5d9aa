//! Heartbeats of runners, the capacity of pools, and outcomes of runs.

use crate::index::{PoolIndex, RunnerIndex};
use crate::options::RunnerView;
use crate::runner::{Reported, Runner};
use crate::view::View;
use types::{Milliseconds, Monotonic, Now, Resources, RunnerId, RunnerReport, TaskRef};

/// At most one in this many runners of a pool may be on probation at the same
/// time.
const RUNNERS_PER_PROBATION: usize = 3;

/// Age of the last heartbeat at which a runner without open runs is removed
/// from its pool. Until then operators see how long the runner has been
/// unresponsive.
const REMOVE_AFTER: Milliseconds = Milliseconds(600_000);

/// Resources of a pool's runners that take work: responsive and not draining.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PoolUsage {
    capacity: Resources,
    used: Resources,
}

impl PoolUsage {
    /// Returns whether less than half of each kind of resource is in use.
    pub(crate) fn is_under_half(&self) -> bool {
        let (used, all) = (&self.used, &self.capacity);
        let is_under = |used: u32, all: u32| all == 0 || used < all.div_ceil(2);
        is_under(used.slots, all.slots)
            && is_under(used.cpu_milli, all.cpu_milli)
            && is_under(used.memory_mib, all.memory_mib)
            && is_under(used.gpus, all.gpus)
    }
}

impl View {
    /// Applies a runner's heartbeat unless a newer one was applied.
    pub(crate) fn apply_heartbeat(&mut self, report: &RunnerReport, now: Now) {
        let runner = self.runners.get_or_insert(&report.runner);
        if self.runners[runner].is_stale(report) {
            return;
        }
        let pool = self.pools.get_or_insert(&report.pool);
        let last = self.runners[runner].reported.as_ref();
        let old_pool = last.map(|last| last.pool);
        let is_unchanged = last.is_some_and(|last| {
            last.pool == pool && last.capacity == report.capacity && last.rack == report.rack
        });
        let was_present = self.runners[runner].present(now.monotonic).is_some();
        self.runners[runner].apply_report(report, pool, now.monotonic);
        if was_present && is_unchanged {
            return;
        }
        if let Some(old_pool) = old_pool.filter(|old_pool| *old_pool != pool) {
            self.backfills.release(runner);
            self.pools[old_pool].remove_runner(runner);
            self.update_capacity(old_pool, now.monotonic);
        }
        self.pools[pool].add_runner(runner, &report.rack);
        self.update_capacity(pool, now.monotonic);
    }

    /// Recomputes the capacity of a pool, which tenants' shares refer to, and how much of
    /// it is in use.
    fn update_capacity(&mut self, pool: PoolIndex, now: Monotonic) {
        let mut capacity = Resources::ZERO;
        let mut usage = PoolUsage::default();
        for runner in self.pools[pool].runners() {
            let state = &self.runners[runner];
            let Some(last) = state.present(now) else {
                continue;
            };
            capacity = capacity.plus(&last.capacity);
            if state.takes_work(now, self.options.unresponsive_after) {
                usage.capacity = usage.capacity.plus(&last.capacity);
                usage.used = usage.used.plus(&last.capacity.minus(&state.free()));
            }
        }
        self.pools[pool].capacity = capacity;
        self.record_usage(pool, &usage, now);
    }

    /// Removes runners without open runs whose last heartbeat is at least
    /// `REMOVE_AFTER` old.
    pub(crate) fn remove_unresponsive(&mut self, pool: PoolIndex, now: Monotonic) {
        let is_unresponsive = |runner: &Runner| {
            let last = runner.reported.as_ref();
            runner.open_runs() == 0
                && last.is_none_or(|last| now.since(last.received_at) >= REMOVE_AFTER)
        };
        let unresponsive: Vec<RunnerIndex> = self.pools[pool]
            .runners()
            .filter(|runner| is_unresponsive(&self.runners[*runner]))
            .collect();
        for runner in unresponsive {
            self.backfills.release(runner);
            self.runners[runner].reported = None;
            self.pools[pool].remove_runner(runner);
        }
        self.update_capacity(pool, now);
    }

    /// Records the outcome of a run for its runner's health and, if it failed,
    /// for the placement of its task. Returns whether the runner goes on probation.
    pub(crate) fn record_outcome(
        &mut self,
        runner: &RunnerId,
        task: TaskRef,
        failed: bool,
        now: Monotonic,
    ) -> bool {
        let Some(index) = self.runners.find(runner) else {
            return false;
        };
        if !failed {
            self.runners[index].health.record_done(now);
            return false;
        }
        if self.runs.has_task(task) || self.tasks.contains(task) {
            self.failed_on.entry(task).or_default().insert(index);
        }
        if self.is_late_failure_of_lasting_run(index, task, now) {
            return false;
        }
        let threshold = if self.options.policy.probation {
            self.options.probation_failures
        } else {
            u32::MAX
        };
        let health = &mut self.runners[index].health;
        let reached_threshold = health.record_failed(task.job, threshold, now);
        let starts_probation = self.options.policy.probation
            && reached_threshold
            && self.may_go_on_probation(index, now);
        if starts_probation {
            let duration = self.options.probation;
            self.runners[index].health.start_probation(now, duration);
        }
        starts_probation
    }

    /// Returns whether the task lasts until its job is cancelled, and its run on the runner
    /// has been active for long. Such a run may fail at any time, which says nothing about
    /// its runner.
    fn is_late_failure_of_lasting_run(
        &self,
        runner: RunnerIndex,
        task: TaskRef,
        now: Monotonic,
    ) -> bool {
        let entry = self.tasks.get(task);
        let is_lasting = entry.is_some_and(|entry| entry.rules.endless);
        let mut runs = self.runs.of_task_on_runner(task, runner);
        is_lasting && runs.any(|run| self.runners[runner].has_outlasted_trial(run, now))
    }

    /// Returns whether one more runner of the pool may go on probation. If runs
    /// fail on many runners, the runners are not the cause and must remain
    /// available.
    fn may_go_on_probation(&self, runner: RunnerIndex, now: Monotonic) -> bool {
        let Some(last) = &self.runners[runner].reported else {
            return false;
        };
        let pool = &self.pools[last.pool];
        let on_probation = pool
            .runners()
            .filter(|other| self.runners[*other].health.on_probation(now));
        on_probation.count() < pool.runner_count() / RUNNERS_PER_PROBATION
    }

    /// Returns the state of all runners that have reported to this leader.
    pub(crate) fn runner_views(&self, now: Monotonic) -> Vec<RunnerView> {
        let runners = self.runners.iter();
        runners
            .filter_map(|(name, runner)| {
                let last = runner.reported.as_ref()?;
                self.runner_view(name, runner, last, now)
            })
            .collect()
    }

    fn runner_view(
        &self,
        name: &RunnerId,
        runner: &Runner,
        last: &Reported,
        now: Monotonic,
    ) -> Option<RunnerView> {
        Some(RunnerView {
            runner: name.clone(),
            incarnation: last.incarnation,
            pool: self.pools.name(last.pool)?.clone(),
            rack: last.rack.clone(),
            labels: last.labels.as_ref().clone(),
            capacity: last.capacity,
            free: runner.free(),
            open_runs: u32::try_from(runner.open_runs()).unwrap_or(u32::MAX),
            draining: runner.is_draining(),
            on_probation: runner.health.on_probation(now),
            since_last_contact: now.since(last.received_at),
        })
    }
}
