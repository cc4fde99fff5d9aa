//! Choice of the runners that are reserved for starving tasks, and the end of
//! these reservations.

use crate::backfill::Backfill;
use crate::index::{ListIndex, PoolIndex, RunnerIndex};
use crate::runner::Runner;
use crate::view::View;
use types::{Now, Resources, TaskRef};

/// At most one in this many runners of a pool is reserved, but always at least
/// one may be.
const RUNNERS_PER_BACKFILL: usize = 10;

/// Maximum duration of a reservation, as a multiple of `reserve_after`. After
/// that, the task waits for `reserve_after` again before another runner is
/// reserved for it.
const MAX_BACKFILL_FACTOR: u64 = 24;

/// Result of an attempt to reserve a runner for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BackfillAttempt {
    /// No runner of the pool can be reserved for the task.
    NoSuitableRunner,
    /// A runner is reserved, or no reservation may be made now.
    Finished,
}

impl View {
    /// Returns the task that the runner is reserved for; `None` when it is not
    /// reserved. Releases a reservation that is no longer valid.
    pub(crate) fn reserved_task(&mut self, runner: RunnerIndex, now: Now) -> Option<TaskRef> {
        let backfill = self.backfills.get(runner)?;
        if self.is_backfill_valid(runner, backfill, now) {
            return Some(backfill.task);
        }
        self.backfills.release(runner);
        self.tasks.restart_wait(backfill.task, now.monotonic);
        None
    }

    fn is_backfill_valid(&self, runner: RunnerIndex, backfill: Backfill, now: Now) -> bool {
        let Some(entry) = self.tasks.get(backfill.task) else {
            return false;
        };
        let Some(needs) = self.shapes.get(entry.shape) else {
            return false;
        };
        let queue = &self.queues[self.lists[entry.list].queue];
        let reserve_after = self.options.reserve_after.0;
        let max_length = reserve_after.saturating_mul(MAX_BACKFILL_FACTOR);
        let state = &self.runners[runner];
        entry.status.is_waiting()
            && queue.starts_tasks()
            && now.monotonic.since(backfill.reserved_at).0 <= max_length
            && self.list_allows(entry.list, &needs.resources, now)
            && self.pull_rejection(runner, now).is_none()
            && state.pool().is_some()
            && state.pool() == queue.pool
            && state.could_run(needs)
    }

    /// Releases the reservations of a pool that are no longer valid.
    pub(crate) fn review_backfills(&mut self, pool: PoolIndex, now: Now) {
        for runner in self.backfills.runners(pool) {
            self.reserved_task(runner, now);
        }
    }

    /// Reserves a runner of the pool for a starving task: the one that lacks
    /// the fewest resources for it.
    pub(crate) fn reserve_runner(
        &mut self,
        task: TaskRef,
        pool: PoolIndex,
        now: Now,
    ) -> BackfillAttempt {
        if !self.options.policy.backfill_reservations {
            return BackfillAttempt::Finished;
        }
        let max_reserved = (self.pools[pool].runner_count() / RUNNERS_PER_BACKFILL).max(1);
        if self.backfills.count(pool) >= max_reserved {
            self.review_backfills(pool, now);
        }
        let is_reserved = self.backfills.find_runner(task, pool).is_some();
        if is_reserved || self.backfills.count(pool) >= max_reserved {
            return BackfillAttempt::Finished;
        }
        let Some(runner) = self.best_runner(task, pool, now) else {
            return BackfillAttempt::NoSuitableRunner;
        };
        let backfill = Backfill {
            task,
            reserved_at: now.monotonic,
        };
        self.backfills.reserve(runner, pool, backfill);
        BackfillAttempt::Finished
    }

    /// Reserves a runner for a starving task of a list. Without this, a tenant
    /// that is seldom drawn would depend on the draw to get a reservation.
    pub(crate) fn reserve_for_starving_task(&mut self, index: ListIndex, now: Now) {
        let list = &self.lists[index];
        let Some(pool) = self.queues[list.queue].starting_pool() else {
            return;
        };
        if self.is_above_share(list, pool) {
            return;
        }
        for task in self.starving_tasks(index, now) {
            if self.reserve_runner(task, pool, now) == BackfillAttempt::Finished {
                return;
            }
        }
    }

    fn starving_tasks(&self, index: ListIndex, now: Now) -> Vec<TaskRef> {
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let headroom = self.urgent_headroom(index, now.monotonic);
        let is_allowed = |needs: &Resources| tenant.allows_with_headroom(needs, &headroom);
        self.scanned_heads(list.pending())
            .filter(|head| {
                self.count_scan();
                let needs = self.shapes.get(head.shape);
                needs.is_some_and(|needs| is_allowed(&needs.resources))
                    && self.starves(head.order.task, now)
            })
            .map(|head| head.order.task)
            .collect()
    }

    /// Returns the unreserved runner that lacks the fewest resources for the
    /// task; among equals, the first.
    fn best_runner(&self, task: TaskRef, pool: PoolIndex, now: Now) -> Option<RunnerIndex> {
        self.count_scans(self.pools[pool].runner_count());
        let needs = self.shapes.get(self.tasks.get(task)?.shape)?;
        self.pools[pool]
            .runners()
            .filter(|runner| self.backfills.get(*runner).is_none())
            .filter(|runner| self.runners[*runner].could_run(needs))
            .filter(|runner| self.pull_rejection(*runner, now).is_none())
            .filter(|runner| self.is_below_step_limit(needs, *runner))
            .min_by_key(|runner| missing_per_thousand(&needs.resources, &self.runners[*runner]))
    }
}

/// Returns the resources that are missing on a runner, in thousandths of its
/// capacity, summed over all kinds.
fn missing_per_thousand(needs: &Resources, runner: &Runner) -> u64 {
    let Some(last) = &runner.reported else {
        return u64::MAX;
    };
    let missing = needs.minus(&runner.free());
    let per_thousand = |missing: u32, all: u32| u64::from(missing) * 1_000 / u64::from(all.max(1));
    per_thousand(missing.slots, last.capacity.slots)
        + per_thousand(missing.cpu_milli, last.capacity.cpu_milli)
        + per_thousand(missing.memory_mib, last.capacity.memory_mib)
        + per_thousand(missing.gpus, last.capacity.gpus)
}
