//! Choice of the runners that are reserved for starving tasks, and the end of
//! these reservations.

use crate::backfill::Backfill;
use crate::head::{Match, ShapeHead, TaskOrder};
use crate::index::{ListIndex, PoolIndex, RunnerIndex};
use crate::needs_tree::HeadSummary;
use crate::pending::HeadQuery;
use crate::runner::Runner;
use crate::runner_kind::RunnerKind;
use crate::task::TaskStatus;
use crate::view::View;
use indexmap::IndexSet;
use types::{LicenceName, Milliseconds, Monotonic, Now, Resources, TaskRef};

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

/// Starving task with the runner that can be reserved for it.
#[derive(Debug, Clone, Copy)]
struct StarvingTask {
    task: TaskRef,
    runner: RunnerIndex,
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
        self.restart_wait(backfill.task, now.monotonic);
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
        let state = &self.runners[runner];
        entry.status.is_waiting()
            && queue.starts_tasks()
            && now.monotonic.since(backfill.reserved_at) <= self.max_backfill_duration()
            && self.list_allows(entry.list, &needs.resources, now)
            && self.pull_rejection(runner, now).is_none()
            && state.pool().is_some()
            && state.pool() == queue.pool
            && state.could_run(needs)
            && needs
                .resources
                .fits_in(&self.foreseeable(runner, now.monotonic))
    }

    /// Returns the resources of a runner that can be expected to be free before a
    /// reservation of it ends.
    ///
    /// As in EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System", 1995), a
    /// reservation needs an estimate of when its capacity becomes free. Runs without a
    /// foreseeable end leave their resources to no reservation, which would hold
    /// back others for as long as they last.
    pub(crate) fn foreseeable(&self, runner: RunnerIndex, now: Monotonic) -> Resources {
        self.runners[runner].foreseeable(self.max_backfill_duration(), now)
    }

    /// Returns the maximum duration of a reservation.
    pub(crate) fn max_backfill_duration(&self) -> Milliseconds {
        let reserve_after = self.options.reserve_after.0;
        Milliseconds(reserve_after.saturating_mul(MAX_BACKFILL_FACTOR))
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
        if !self.may_reserve_runner(pool, now) || self.backfills.find_runner(task, pool).is_some() {
            return BackfillAttempt::Finished;
        }
        let Some(runner) = self.best_runner(task, pool, now) else {
            return BackfillAttempt::NoSuitableRunner;
        };
        self.reserve_for_task(runner, pool, task, now);
        BackfillAttempt::Finished
    }

    /// Returns whether one more runner of the pool may be reserved.
    fn may_reserve_runner(&mut self, pool: PoolIndex, now: Now) -> bool {
        if !self.options.policy.backfill_reservations {
            return false;
        }
        let max_reserved = (self.pools[pool].runner_count() / RUNNERS_PER_BACKFILL).max(1);
        if self.backfills.count(pool) >= max_reserved {
            self.review_backfills(pool, now);
        }
        self.backfills.count(pool) < max_reserved
    }

    fn reserve_for_task(&mut self, runner: RunnerIndex, pool: PoolIndex, task: TaskRef, now: Now) {
        let backfill = Backfill {
            task,
            reserved_at: now.monotonic,
        };
        self.backfills.reserve(runner, pool, backfill);
    }

    /// Reserves a runner for the first starving task of a list that some runner
    /// could take. Without this, a tenant that is seldom drawn would depend on
    /// the draw to get a reservation.
    pub(crate) fn reserve_for_starving_task(&mut self, index: ListIndex, now: Now) {
        let list = &self.lists[index];
        let Some(pool) = self.queues[list.queue].starting_pool() else {
            return;
        };
        let may_starve =
            !list.pending().is_empty() && self.has_waited_long(list.waiting_since(), now);
        if !may_starve || self.is_above_share(list, pool) || !self.may_reserve_runner(pool, now) {
            return;
        }
        if let Some(starving) = self.find_starving_task(index, pool, now) {
            self.reserve_for_task(starving.runner, pool, starving.task, now);
        }
    }

    /// Finds the first starving task of a list for which a runner of the pool
    /// can be reserved. Returns `None` also when a runner is reserved for a task
    /// of the list that comes before.
    fn find_starving_task(
        &self,
        index: ListIndex,
        pool: PoolIndex,
        now: Now,
    ) -> Option<StarvingTask> {
        let list = &self.lists[index];
        let headroom = self.urgent_headroom(index, now.monotonic);
        let allowance = self.tenants[list.tenant].allowance_with_headroom(&headroom)?;
        let reserved = self.first_reserved_task(index, pool);
        let mut best = reserved.map(|order| Match { order, value: None });
        for kind in self.reservable_kinds(pool, now) {
            let largest = allowance.component_min(&kind.foreseeable);
            // A seat may become free at any time, so that a task without one
            // starves as well.
            let query = HeadQuery {
                labels: &kind.labels,
                has_seats: |_: Option<&LicenceName>| true,
                may_match: |heads: &HeadSummary| {
                    heads.bounds.min.fits_in(&largest)
                        && self.has_waited_long(heads.waiting_since, now)
                },
            };
            let mut accept = |head: &ShapeHead| {
                let needs = self.matching_shape(head, &query)?;
                if !needs.resources.fits_in(&largest) || !self.starves(head, now) {
                    return None;
                }
                let task = head.order.task;
                let runner = self.best_runner(task, pool, now)?;
                Some(Some(StarvingTask { task, runner }))
            };
            self.find_head(list.pending(), &query, &mut accept, &mut best);
        }
        best?.value
    }

    /// Returns the first pending task of the list that a runner of the pool is
    /// reserved for; `None` when there is none.
    fn first_reserved_task(&self, index: ListIndex, pool: PoolIndex) -> Option<TaskOrder> {
        let reserved = self.backfills.tasks(pool);
        let of_list = reserved.filter_map(|task| {
            let entry = self.tasks.get(task)?;
            let is_pending = entry.list == index && entry.status == TaskStatus::Pending;
            is_pending.then(|| entry.order(task))
        });
        of_list.min()
    }

    /// Returns the different kinds of the pool's runners that may pull and are
    /// not reserved.
    fn reservable_kinds(&self, pool: PoolIndex, now: Now) -> IndexSet<RunnerKind> {
        self.count_scans(self.pools[pool].runner_count());
        let reservable = self.pools[pool]
            .runners()
            .filter(|runner| self.backfills.get(*runner).is_none())
            .filter(|runner| self.pull_rejection(*runner, now).is_none());
        self.runner_kinds(reservable, now.monotonic)
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
            .filter(|runner| {
                needs
                    .resources
                    .fits_in(&self.foreseeable(*runner, now.monotonic))
            })
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
