//! Runners kept free for a large task that small ones would starve.

use crate::Scheduler;
use crate::queue::ListIndex;
use crate::runner::RunnerIndex;
use crate::task::TaskStatus;
use configuration::QueueMode;
use types::{Monotonic, Now, Resources, TaskRef};

/// One runner in this many may be kept free, and at least one in a pool.
const RUNNERS_PER_BACKFILL: usize = 10;

/// A runner is kept free for at most this many times `reserve_after`; then the
/// task waits as long as at first before another one is.
const MAX_BACKFILL_FACTOR: u64 = 24;

/// The task a runner is kept free for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backfill {
    pub(crate) task: TaskRef,
    pub(crate) since: Monotonic,
}

impl Scheduler {
    /// The task that the runner is kept free for, while the hold stands; a
    /// hold that lost its cause is released.
    pub(crate) fn reserved_task(&mut self, runner: RunnerIndex, now: Now) -> Option<TaskRef> {
        let backfill = self.runners[runner].backfill?;
        if self.backfill_is_valid(runner, backfill, now) {
            return Some(backfill.task);
        }
        self.release_backfill(runner);
        if let Some(entry) = self.tasks.get_mut(&backfill.task) {
            entry.waiting_since = now.monotonic;
        }
        None
    }

    fn backfill_is_valid(&self, runner: RunnerIndex, backfill: Backfill, now: Now) -> bool {
        let Some(entry) = self.tasks.get(&backfill.task) else {
            return false;
        };
        let Some(shape) = self.shapes.get(entry.shape) else {
            return false;
        };
        let list = &self.lists[entry.list];
        let queue = &self.queues[list.queue];
        let reported = self.runners[runner].reported.as_ref();
        let max_wait = self
            .options
            .reserve_after
            .0
            .saturating_mul(MAX_BACKFILL_FACTOR);
        let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
        matches!(entry.status, TaskStatus::Pending | TaskStatus::Gathered)
            && starts_work
            && now.monotonic.since(backfill.since).0 <= max_wait
            && self.list_allows(entry.list, &shape.resources, now)
            && self.pull_rejection(runner, now).is_none()
            && reported.is_some_and(|last| {
                Some(last.pool) == queue.pool
                    && shape.resources.fits_in(&last.capacity)
                    && shape.matches(&last.labels)
            })
    }

    pub(crate) fn release_backfill(&mut self, runner: RunnerIndex) {
        self.runners[runner].backfill = None;
        for pool in 0..self.pools.len() {
            self.pools[pool].backfills.remove(&runner);
        }
    }

    /// Releases what no longer has a cause, in the whole pool.
    pub(crate) fn review_backfills(&mut self, pool: usize, now: Now) {
        let reserved: Vec<RunnerIndex> = self.pools[pool].backfills.iter().copied().collect();
        for runner in reserved {
            self.reserved_task(runner, now);
        }
    }

    /// Keeps the most suitable runner free for a task that waits too long;
    /// false when the task found none.
    pub(crate) fn reserve_runner_for(&mut self, task: TaskRef, pool: usize, now: Now) -> bool {
        if !self.options.policy.backfill_reservations {
            return true;
        }
        let allowed = (self.pools[pool].runners.len() / RUNNERS_PER_BACKFILL).max(1);
        if self.pools[pool].backfills.len() >= allowed {
            self.review_backfills(pool, now);
        }
        if self.holder_of(task, pool).is_some() || self.pools[pool].backfills.len() >= allowed {
            return true;
        }
        let Some(runner) = self.most_suitable_runner(task, pool, now) else {
            return false;
        };
        self.pools[pool].backfills.insert(runner);
        self.runners[runner].backfill = Some(Backfill {
            task,
            since: now.monotonic,
        });
        true
    }

    /// The runner that is kept free for the task.
    pub(crate) fn holder_of(&self, task: TaskRef, pool: usize) -> Option<RunnerIndex> {
        let mut backfills = self.pools[pool].backfills.iter().copied();
        backfills.find(|runner| {
            let backfill = self.runners[*runner].backfill;
            backfill.is_some_and(|backfill| backfill.task == task)
        })
    }

    /// Keeps a runner free for the first task of a list that waits too long,
    /// so that a tenant seldom drawn does not depend on the draw for it.
    pub(crate) fn relieve_list(&mut self, index: ListIndex, now: Now) {
        let list = &self.lists[index];
        let queue = &self.queues[list.queue];
        let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
        let Some(pool) = queue.pool.filter(|_| starts_work) else {
            return;
        };
        let tenant = &self.tenants[list.tenant];
        if tenant.is_above_share(pool, &self.pools[pool].capacity) {
            return;
        }
        let headroom = self.urgent_headroom_of(index, now.monotonic);
        let heads = self.scan_depth(list.pending.heads());
        let starving: Vec<TaskRef> = heads
            .filter(|((_, task), shape)| {
                self.record_scan();
                let needs = self.shapes.get(*shape);
                let allowed = needs.is_some_and(|n| tenant.allows_beside(&n.resources, &headroom));
                allowed && self.starves(*task, now)
            })
            .map(|((_, task), _)| task)
            .collect();
        for task in starving {
            if self.reserve_runner_for(task, pool, now) {
                return;
            }
        }
    }

    // The runner that lacks least; among equals the first known.
    fn most_suitable_runner(&self, task: TaskRef, pool: usize, now: Now) -> Option<RunnerIndex> {
        self.record_scans(self.pools[pool].runners.len());
        let needs = self.shapes.get(self.tasks.get(&task)?.shape)?;
        let suitable = |runner: &RunnerIndex| {
            let runner = &self.runners[*runner];
            let Some(last) = &runner.reported else {
                return false;
            };
            runner.backfill.is_none()
                && needs.resources.fits_in(&last.capacity)
                && needs.matches(&last.labels)
        };
        let runners = self.pools[pool].runners.iter().copied();
        runners
            .filter(suitable)
            .filter(|runner| self.pull_rejection(*runner, now).is_none())
            .filter(|runner| self.is_below_step_limit(needs, *runner))
            .min_by_key(|runner| lack(&needs.resources, &self.runners[*runner]))
    }
}

// What is missing on a runner, in thousandths of its capacity over all kinds.
fn lack(needs: &Resources, runner: &crate::runner::Runner) -> u64 {
    let Some(last) = &runner.reported else {
        return u64::MAX;
    };
    let missing = needs.minus(&runner.free());
    let part = |missing: u32, all: u32| u64::from(missing) * 1_000 / u64::from(all.max(1));
    part(missing.slots, last.capacity.slots)
        + part(missing.cpu_milli, last.capacity.cpu_milli)
        + part(missing.memory_mib, last.capacity.memory_mib)
        + part(missing.gpus, last.capacity.gpus)
}
