//! Table of backfill reservations.
//!
//! As in backfill scheduling, smaller tasks use idle capacity, but a runner
//! that is reserved for a starving task or gang takes no other task.

use crate::index::{PoolIndex, RunnerIndex};
use crate::step::StepRef;
use std::collections::{BTreeMap, BTreeSet};
use types::{Monotonic, TaskRef};

/// Reservation of a runner for a starving task or gang.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backfill {
    /// Task that the runner is reserved for; for a gang, its first task.
    pub(crate) task: TaskRef,
    pub(crate) reserved_at: Monotonic,
}

/// Backfill reservations, at most one for each runner.
#[derive(Debug, Clone, Default)]
pub(crate) struct BackfillTable {
    by_runner: BTreeMap<RunnerIndex, Backfill>,
    by_pool: BTreeMap<PoolIndex, BTreeSet<RunnerIndex>>,
}

impl BackfillTable {
    /// Returns the reservation of a runner; `None` when it is not reserved.
    pub(crate) fn get(&self, runner: RunnerIndex) -> Option<Backfill> {
        self.by_runner.get(&runner).copied()
    }

    /// Reserves a runner of the pool, unless it is reserved already.
    pub(crate) fn reserve(&mut self, runner: RunnerIndex, pool: PoolIndex, backfill: Backfill) {
        self.by_pool.entry(pool).or_default().insert(runner);
        self.by_runner.entry(runner).or_insert(backfill);
    }

    /// Releases a runner. Idempotent.
    pub(crate) fn release(&mut self, runner: RunnerIndex) {
        if self.by_runner.remove(&runner).is_none() {
            return;
        }
        for runners in self.by_pool.values_mut() {
            runners.remove(&runner);
        }
    }

    /// Returns the number of reserved runners of a pool.
    pub(crate) fn count(&self, pool: PoolIndex) -> usize {
        self.by_pool.get(&pool).map_or(0, BTreeSet::len)
    }

    /// Returns the reserved runners of a pool in order.
    pub(crate) fn runners(&self, pool: PoolIndex) -> Vec<RunnerIndex> {
        self.reserved(pool).map(|(runner, _)| runner).collect()
    }

    /// Returns the runner that is reserved for a task.
    pub(crate) fn find_runner(&self, task: TaskRef, pool: PoolIndex) -> Option<RunnerIndex> {
        self.reserved(pool)
            .find(|(_, backfill)| backfill.task == task)
            .map(|(runner, _)| runner)
    }

    /// Returns the tasks that runners of a pool are reserved for.
    pub(crate) fn tasks(&self, pool: PoolIndex) -> impl Iterator<Item = TaskRef> + '_ {
        self.reserved(pool).map(|(_, backfill)| backfill.task)
    }

    /// Releases all runners of a pool that are reserved for a step.
    pub(crate) fn release_step(&mut self, step: StepRef, pool: PoolIndex) {
        let of_step = self
            .reserved(pool)
            .filter(|(_, backfill)| StepRef::of(backfill.task) == step);
        let runners: Vec<RunnerIndex> = of_step.map(|(runner, _)| runner).collect();
        for runner in runners {
            self.release(runner);
        }
    }

    fn reserved(&self, pool: PoolIndex) -> impl Iterator<Item = (RunnerIndex, Backfill)> + '_ {
        let runners = self.by_pool.get(&pool).into_iter().flatten();
        runners.filter_map(|runner| Some((*runner, self.get(*runner)?)))
    }
}
